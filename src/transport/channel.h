// gRPC channels between the processes of the system. Every call has a deadline. A channel whose call exceeds it is
// replaced by one with a new connection, because a device on the path may have dropped the state of the old connection.
#pragma once

#include "control.grpc.pb.h"
#include "state/types.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <string>

namespace roserail
{

constexpr int MaxGrpcMessageBytes = 512 << 20;

// A channel to one remote process, which is created on first use.
class Channel
{
public:
    explicit Channel(std::string address);

    std::shared_ptr<grpc::Channel> get();
    // Drops the channel that a call used if the call exceeded its deadline.
    void handleStatus(const grpc::Status &status, const std::shared_ptr<grpc::Channel> &used);
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::string m_address;
    std::mutex m_mutex;
    std::shared_ptr<grpc::Channel> m_channel;
};

void setDeadline(grpc::ClientContext &context, Millis timeout);

} // namespace roserail
