// Server of the internal protocol. Accepts connections itself and passes their bytes on to gRPC, which limits neither their number, nor how
// long they stay idle, nor what they hold together.
#pragma once

#include "transport/loopbackpairs.h"
#include "transport/memorytrimmer.h"
#include "transport/meteredconnection.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace roserail
{

class GrpcServer
{
public:
    // Starts a server for the services; returns null if the address can't be bound.
    static std::unique_ptr<GrpcServer> start(const std::string &address, const std::vector<grpc::Service *> &services,
                                             IngressBudget &budget);
    ~GrpcServer();
    GrpcServer(const GrpcServer &) = delete;
    GrpcServer &operator=(const GrpcServer &) = delete;

    // Accepts nothing more, and ends calls that have not been answered by the deadline.
    void shutdown(std::chrono::system_clock::time_point deadline);

private:
    using ConnectionId = uint64_t;
    struct Connection {
        std::unique_ptr<MeteredConnection> metered;
        uint32_t peerEvents = 0; // that the loop waits for
        uint32_t innerEvents = 0;
    };
    using Connections = std::unordered_map<ConnectionId, Connection>;

    GrpcServer(int listener, const std::vector<grpc::Service *> &services, IngressBudget &budget);
    void run();
    void accept();
    bool passToGrpc(int socket);
    void serve(ConnectionId id, bool innerReady);
    void watch(int descriptor, uint64_t tag, uint32_t &watched, uint32_t events) const;
    void close(Connections::iterator position);
    void closeListener();
    bool makeConnectionFree();
    bool grow(BufferShare &share, size_t bytes);
    bool breakOffSlowest(const BufferShare &beneficiary);
    void review(Time now);
    void wake() const;
    void stopLoop();

    IngressBudget &m_budget;
    int m_listener;
    int m_wakeEvent; // when m_accepts or m_runs has changed
    int m_waiter; // of epoll
    std::atomic<bool> m_accepts = true;
    std::atomic<bool> m_runs = true;
    size_t m_maxConnections;
    LoopbackPairs m_pairs;
    ConnectionId m_newest = 0;
    Connections m_connections;
    // Of closed connections, whose handlers may be running; the times are when their memory is free.
    std::vector<std::pair<Time, std::unique_ptr<PeerCalls>>> m_closed;
    MemoryTrimmer m_trimmer;
    Time m_reviewedAt{};
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> m_acceptor;
    std::unique_ptr<grpc::Server> m_server;
    std::thread m_thread;
};

} // namespace roserail
