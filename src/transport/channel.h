// gRPC connections between the system's processes. Every call has a deadline; a channel whose call ran out of time is
// replaced by one with a new connection, because something between the two ends may have lost track of the old one.
#pragma once

#include "control.grpc.pb.h"
#include "state/types.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <string>

namespace roserail
{

constexpr int MaxGrpcMessageBytes = 512 << 20; // bytes

// One remote process, by address.
class Channel
{
public:
    explicit Channel(std::string address);

    std::shared_ptr<grpc::Channel> get();
    // Drops the connection if the status says that it may be dead.
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

// Sets a call's deadline.
void setDeadline(grpc::ClientContext &context, Millis timeout);

} // namespace roserail
