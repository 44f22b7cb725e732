#include "transport/grpcserver.h"

#include "coordination/peerconnections.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/address.h"
#include "state/tunables.h"
#include "transport/channel.h"
#include "transport/clock.h"
#include "transport/socketoptions.h"

#include <array>
#include <cerrno>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis PeerUserTimeout = std::chrono::seconds(20); // for unacknowledged data
constexpr int MinPingIntervalMs = 1000;
constexpr int ServerHandshakeTimeoutMs = 3000; // of a connection that sends no call; of the same order as header time-outs
constexpr int MaxConcurrentCalls = 256; // on one connection; a peer sends a few at a time
constexpr size_t DescriptorsPerConnection = 3; // the peer's, and a pair through which gRPC is given its bytes
constexpr int PairBufferBytes = 16 << 10; // in each direction; the system permits twice as many
constexpr int MaxReadBytes = 64 << 10; // that gRPC makes room for at once
constexpr int LastAnswersTimeMs = 100; // for peers to take the last answers, once gRPC has shut down
constexpr size_t EventsPerTurn = 64;
// What the loop waits for, beside connections.
constexpr uint64_t WakeTag = 0;
constexpr uint64_t ListenerTag = 1;

uint64_t tagOf(uint64_t connection, bool inner)
{
    return 2 * connection + (inner ? 1 : 0);
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
        setSocketOption(listener, SOL_SOCKET, SO_REUSEADDR, 1);
        // Connections inherit these.
        setSocketOption(listener, IPPROTO_TCP, TCP_NODELAY, 1);
        setSocketOption(listener, IPPROTO_TCP, TCP_USER_TIMEOUT, int(PeerUserTimeout.count()));
        limitBuffersOfListener(listener);
        if (::bind(listener, it->ai_addr, it->ai_addrlen) != 0 || ::listen(listener, ListenBacklog) != 0) {
            ::close(listener);
            listener = -1;
        }
    }
    ::freeaddrinfo(found);
    return listener;
}

} // namespace

std::unique_ptr<GrpcServer> GrpcServer::start(const std::string &address, const std::vector<grpc::Service *> &services,
                                              IngressBudget &budget)
{
    const int listener = listenAt(address);
    if (listener < 0)
        return nullptr;
    std::unique_ptr<GrpcServer> server(new GrpcServer(listener, services, budget));
    return server->m_server ? std::move(server) : nullptr;
}

GrpcServer::GrpcServer(int listener, const std::vector<grpc::Service *> &services, IngressBudget &budget)
    : m_budget(budget)
    , m_listener(listener)
    , m_wakeEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_waiter(::epoll_create1(EPOLL_CLOEXEC))
    , m_maxConnections(budget.maxConnections(PeersDescriptorShare) / DescriptorsPerConnection)
    , m_pairs(PairBufferBytes)
{
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("internal");
    quota.Resize(budget.messages.totalBytes());
    builder.SetResourceQuota(quota);
    m_acceptor = builder.experimental().AddExternalConnectionAcceptor(
        grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD, grpc::InsecureServerCredentials());
    builder.SetMaxReceiveMessageSize(int(budget.maxMessageBytes));
    builder.SetMaxSendMessageSize(MaxGrpcMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, ServerHandshakeTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_TCP_MAX_READ_CHUNK_SIZE, MaxReadBytes);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, MaxConcurrentCalls);
    for (grpc::Service *it : services)
        builder.RegisterService(it);
    m_server = builder.BuildAndStart();
    if (m_server)
        m_thread = std::thread([this] { run(); });
}

GrpcServer::~GrpcServer()
{
    m_accepts = false;
    m_server.reset();
    stopLoop();
    closeListener();
    ::close(m_waiter);
    ::close(m_wakeEvent);
}

void GrpcServer::shutdown(std::chrono::system_clock::time_point deadline)
{
    m_accepts = false;
    wake();
    m_server->Shutdown(deadline);
    stopLoop();
}

void GrpcServer::wake() const
{
    const uint64_t one = 1;
    while (::write(m_wakeEvent, &one, sizeof one) < 0 && errno == EINTR) { }
}

void GrpcServer::stopLoop()
{
    m_runs = false;
    wake();
    if (m_thread.joinable())
        m_thread.join();
}

void GrpcServer::closeListener()
{
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

void GrpcServer::run()
{
    uint32_t watched = 0;
    watch(m_wakeEvent, WakeTag, watched, EPOLLIN);
    watched = 0;
    watch(m_listener, ListenerTag, watched, EPOLLIN);
    Time lastAnswersUntil = Time::max();
    std::array<epoll_event, EventsPerTurn> events;
    while (monotonicNow() < lastAnswersUntil && (m_runs || !m_connections.empty())) {
        const bool holds = m_budget.messages.usedBytes() > 0 || !m_closed.empty();
        const int timeoutMs = !m_runs ? LastAnswersTimeMs : holds ? int(IngressReviewInterval.count()) : -1;
        const int n = ::epoll_wait(m_waiter, events.data(), int(events.size()), timeoutMs);
        for (int i = 0; i < n; ++i) {
            const uint64_t tag = events[size_t(i)].data.u64;
            if (tag == WakeTag) {
                uint64_t count = 0;
                while (::read(m_wakeEvent, &count, sizeof count) < 0 && errno == EINTR) { }
            } else if (tag != ListenerTag) {
                serve(tag / 2, tag % 2 != 0);
            } else if (m_accepts) {
                accept();
            }
        }
        if (!m_accepts)
            closeListener();
        if (!m_runs && lastAnswersUntil == Time::max())
            lastAnswersUntil = monotonicNow() + Millis(LastAnswersTimeMs);
        review(monotonicNow());
    }
    m_connections.clear();
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
    if (!passToGrpc(socket))
        ::close(socket);
}

// Gives gRPC one end of a pair, and passes on between the other one and the peer's socket. Returns false if that fails.
bool GrpcServer::passToGrpc(int socket)
{
    const std::optional<std::array<int, 2>> pair = m_pairs.open();
    if (!pair) {
        logEvent("accept_failed", {{"error", std::system_category().message(errno)}});
        return false;
    }
    const ConnectionId id = ++m_newest;
    const PeerCalls::Grow growShare = [this](BufferShare &share, size_t bytes) {
        return grow(share, bytes);
    };
    m_connections[id].metered = std::make_unique<MeteredConnection>(socket, pair->front(), m_budget, growShare, monotonicNow());
    grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
    connection.listener_fd = m_listener;
    connection.fd = pair->back();
    m_acceptor->HandleNewConnection(&connection);
    serve(id, false);
    return true;
}

void GrpcServer::serve(ConnectionId id, bool innerReady)
{
    static Counter &refused = metrics().counter("roserail_peer_calls_refused_total");
    const Connections::iterator it = m_connections.find(id);
    if (it == m_connections.end()) // ended by an earlier event of the same turn
        return;
    MeteredConnection &metered = *it->second.metered;
    if (metered.pass(monotonicNow(), innerReady)) {
        watch(metered.peer(), tagOf(id, false), it->second.peerEvents, metered.peerEvents());
        watch(metered.inner(), tagOf(id, true), it->second.innerEvents, metered.innerEvents());
        return;
    }
    if (metered.calls().refusal() != CallRefusal::None) {
        refused.add();
        logEvent("peer_call_refused",
                 {{"peer", metered.address()},
                  {"cause", toString(metered.calls().refusal())},
                  {"bytes", metered.calls().refusedBytes()},
                  {"used_bytes", m_budget.messages.usedBytes()},
                  {"limit_bytes", m_budget.messages.totalBytes()},
                  {"remedy", "raise 'memory' if the peer is one of this system"}});
    }
    close(it);
}

// Changes what the loop waits for. A descriptor that nothing is waited for is taken out, as its end would be told again and again.
void GrpcServer::watch(int descriptor, uint64_t tag, uint32_t &watched, uint32_t events) const
{
    if (watched == events)
        return;
    epoll_event event{};
    event.events = events;
    event.data.u64 = tag;
    const int operation = events == 0 ? EPOLL_CTL_DEL : watched == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    ::epoll_ctl(m_waiter, operation, descriptor, &event);
    watched = events;
}

void GrpcServer::close(Connections::iterator position)
{
    std::unique_ptr<PeerCalls> calls = position->second.metered->takeCalls();
    if (calls->heldBytes() > 0)
        m_closed.emplace_back(monotonicNow() + ResetCallTime, std::move(calls));
    m_connections.erase(position);
}

// Ends a connection so that another one can be served. Returns false if none can be ended.
bool GrpcServer::makeConnectionFree()
{
    std::vector<Connections::iterator> positions;
    std::vector<Transfer> transfers;
    for (Connections::iterator it = m_connections.begin(); it != m_connections.end(); ++it) {
        positions.push_back(it);
        transfers.push_back(it->second.metered->received());
    }
    const std::optional<size_t> least = leastUsedConnection(transfers, monotonicNow());
    if (!least)
        return false;
    close(positions[*least]);
    return true;
}

bool GrpcServer::grow(BufferShare &share, size_t bytes)
{
    while (!share.resize(bytes, m_budget.messages.totalBytes())) {
        if (!m_budget.messages.canFit(bytes) || !breakOffSlowest(share))
            return false;
    }
    return true;
}

// Breaks off the slowest of the other connections whose requests have stalled. Returns false if there is none.
bool GrpcServer::breakOffSlowest(const BufferShare &beneficiary)
{
    static Counter &broken = metrics().counter("roserail_peers_broken_off_total");
    const Time now = monotonicNow();
    std::vector<MeteredConnection *> connections;
    std::vector<Transfer> transfers;
    for (const std::pair<const ConnectionId, Connection> &it : m_connections) {
        const std::optional<Transfer> transfer = it.second.metered->calls().transfer();
        if (!transfer || it.second.metered->brokenOff() || it.second.metered->calls().owns(beneficiary))
            continue;
        connections.push_back(it.second.metered.get());
        transfers.push_back(*transfer);
    }
    const std::optional<size_t> slowest = slowestTransfer(transfers, now);
    if (!slowest)
        return false;
    broken.add();
    MeteredConnection &connection = *connections[*slowest];
    logEvent("peer_broken_off",
             {{"peer", connection.address()},
              {"held_bytes", connection.calls().heldBytes()},
              {"after_ms", (now - transfers[*slowest].startedAt).count()},
              {"used_bytes", m_budget.messages.usedBytes()},
              {"limit_bytes", m_budget.messages.totalBytes()}});
    connection.breakOff();
    return true;
}

// Frees the memory of calls that have ended meanwhile.
void GrpcServer::review(Time now)
{
    if (now < m_reviewedAt + IngressReviewInterval)
        return;
    m_reviewedAt = now;
    for (const std::pair<const ConnectionId, Connection> &it : m_connections)
        it.second.metered->calls().releaseReset(now);
    std::erase_if(m_closed, [now](const auto &it) { return now >= it.first; });
    metrics().counter("roserail_buffer_bytes{share=\"messages\"}").set(m_budget.messages.usedBytes());
    metrics().counter("roserail_buffer_peak_bytes{share=\"messages\"}").set(m_budget.messages.peakBytes());
    m_trimmer.review(m_budget.messages.usedBytes());
}

} // namespace roserail
