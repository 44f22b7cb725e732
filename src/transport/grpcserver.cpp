#include "transport/grpcserver.h"

#include "coordination/peerconnections.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/address.h"
#include "state/tunables.h"
#include "transport/channel.h"
#include "transport/clock.h"

#include <cerrno>
#include <fcntl.h>
#include <linux/tcp.h>
#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr int MinPingIntervalMs = 1000;
constexpr int ServerHandshakeTimeoutMs = 3000; // of a connection that sends no call; of the same order as header time-outs
constexpr int MaxConcurrentCalls = 256; // on one connection; a peer sends a few at a time
constexpr size_t DescriptorsPerConnection = 2;

void enable(int socket, int level, int option)
{
    const int on = 1;
    ::setsockopt(socket, level, option, &on, sizeof on);
}

// Returns a listening socket, or -1.
int listenAt(const std::string &address)
{
    const Result<HostPort> parsed = parseHostPort(address);
    if (parsed.has_error())
        return -1;
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_PASSIVE;
    addrinfo *found = nullptr;
    if (::getaddrinfo(parsed.value().host.c_str(), std::to_string(parsed.value().port).c_str(), &hints, &found) != 0)
        return -1;
    int listener = -1;
    for (const addrinfo *it = found; it != nullptr && listener < 0; it = it->ai_next) {
        listener = ::socket(it->ai_family, it->ai_socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, it->ai_protocol);
        if (listener < 0)
            continue;
        enable(listener, SOL_SOCKET, SO_REUSEADDR);
        enable(listener, IPPROTO_TCP, TCP_NODELAY); // connections inherit it
        if (::bind(listener, it->ai_addr, it->ai_addrlen) != 0 || ::listen(listener, ListenBacklog) != 0) {
            ::close(listener);
            listener = -1;
        }
    }
    ::freeaddrinfo(found);
    return listener;
}

uint64_t receivedBytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_received : 0;
}

} // namespace

std::unique_ptr<GrpcServer> GrpcServer::start(const std::string &address, const std::vector<grpc::Service *> &services,
                                              const IngressBudget &budget)
{
    const int listener = listenAt(address);
    if (listener < 0)
        return nullptr;
    std::unique_ptr<GrpcServer> server(new GrpcServer(listener, services, budget));
    return server->m_server ? std::move(server) : nullptr;
}

GrpcServer::GrpcServer(int listener, const std::vector<grpc::Service *> &services, const IngressBudget &budget)
    : m_listener(listener)
    , m_stopEvent(::eventfd(0, EFD_CLOEXEC))
    , m_maxConnections(budget.maxConnections(PeersDescriptorShare) / DescriptorsPerConnection)
{
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("internal");
    quota.Resize(2 * budget.maxMessageBytes);
    builder.SetResourceQuota(quota);
    m_acceptor = builder.experimental().AddExternalConnectionAcceptor(
        grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD, grpc::InsecureServerCredentials());
    builder.SetMaxReceiveMessageSize(int(budget.maxMessageBytes));
    builder.SetMaxSendMessageSize(MaxGrpcMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, ServerHandshakeTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, MaxConcurrentCalls);
    for (grpc::Service *it : services)
        builder.RegisterService(it);
    m_server = builder.BuildAndStart();
    if (m_server)
        m_thread = std::thread([this] { acceptConnections(); });
}

GrpcServer::~GrpcServer()
{
    closeListener();
    m_server.reset();
    for (const Connection &it : m_connections)
        ::close(it.handle);
    ::close(m_stopEvent);
}

void GrpcServer::shutdown(std::chrono::system_clock::time_point deadline)
{
    closeListener();
    m_server->Shutdown(deadline);
}

void GrpcServer::closeListener()
{
    if (m_thread.joinable()) {
        const uint64_t one = 1;
        while (::write(m_stopEvent, &one, sizeof one) < 0 && errno == EINTR) { }
        m_thread.join();
    }
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

void GrpcServer::acceptConnections()
{
    while (true) {
        std::vector<pollfd> waits{{m_stopEvent, POLLIN, 0}, {m_listener, POLLIN, 0}};
        for (const Connection &it : m_connections)
            waits.push_back({it.handle, 0, 0}); // gRPC shuts a connection down when it closes it
        if (::poll(waits.data(), waits.size(), -1) < 0)
            continue;
        if (waits[0].revents != 0)
            return;
        for (size_t i = m_connections.size(); i-- > 0;) {
            if (waits[2 + i].revents == 0)
                continue;
            ::close(m_connections[i].handle);
            m_connections.erase(m_connections.begin() + std::ptrdiff_t(i));
        }
        if (waits[1].revents != 0)
            accept();
    }
}

void GrpcServer::accept()
{
    static Counter &refused = metrics().counter("roserail_peer_connections_refused_total");
    static Counter &closed = metrics().counter("roserail_peer_connections_closed_for_others_total");
    const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            std::this_thread::sleep_for(AcceptRetryDelay);
        return;
    }
    if (m_connections.size() >= m_maxConnections) {
        const bool room = makeConnectionFree();
        (room ? closed : refused).add();
        logEvent(room ? "peer_connection_closed_for_another" : "peer_connection_refused", {{"connections", m_connections.size()}});
        if (!room) {
            ::close(socket);
            return;
        }
    }
    const int handle = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (handle < 0) {
        ::close(socket);
        return;
    }
    m_connections.push_back({handle, monotonicNow()});
    grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
    connection.listener_fd = m_listener;
    connection.fd = socket;
    m_acceptor->HandleNewConnection(&connection);
}

// Ends a connection so that another one can be served. Returns false if none can be ended.
bool GrpcServer::makeConnectionFree()
{
    std::vector<Transfer> transfers;
    for (const Connection &it : m_connections)
        transfers.push_back({it.acceptedAt, receivedBytes(it.handle)});
    const std::optional<size_t> least = leastUsedConnection(transfers, monotonicNow());
    if (!least)
        return false;
    ::shutdown(m_connections[*least].handle, SHUT_RDWR);
    ::close(m_connections[*least].handle);
    m_connections.erase(m_connections.begin() + std::ptrdiff_t(*least));
    return true;
}

} // namespace roserail
