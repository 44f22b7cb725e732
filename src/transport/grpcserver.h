// Server of the internal protocol. Accepts connections itself, because gRPC limits neither their number nor how long they stay idle.
#pragma once

#include "coordination/ingressbudget.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace roserail
{

class GrpcServer
{
public:
    // Starts a server for the services; returns null if the address can't be bound.
    static std::unique_ptr<GrpcServer> start(const std::string &address, const std::vector<grpc::Service *> &services,
                                             const IngressBudget &budget);
    ~GrpcServer();
    GrpcServer(const GrpcServer &) = delete;
    GrpcServer &operator=(const GrpcServer &) = delete;

    // Accepts nothing more, and ends calls that have not been answered by the deadline.
    void shutdown(std::chrono::system_clock::time_point deadline);

private:
    struct Connection {
        int handle = -1; // a duplicate of gRPC's descriptor: tells when the connection has ended, and can end it
        Time acceptedAt{};
    };

    GrpcServer(int listener, const std::vector<grpc::Service *> &services, const IngressBudget &budget);
    void acceptConnections();
    void accept();
    bool makeConnectionFree();
    void closeListener();

    int m_listener;
    int m_stopEvent;
    size_t m_maxConnections;
    std::vector<Connection> m_connections;
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> m_acceptor;
    std::unique_ptr<grpc::Server> m_server;
    std::thread m_thread;
};

} // namespace roserail
