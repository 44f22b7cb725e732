#include "transport/boundedserver.h"

#include "protocol/json.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/socketoptions.h"

#include <arpa/inet.h>
#include <array>
#include <fmt/format.h>
#include <limits>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";
// Of a body as it is sent: in chunks of 64 bytes or more it exceeds the limit of a body by less than an eighth.
constexpr size_t MaxSentBodyBytes = MaxBodyBytes + MaxBodyBytes / 8;
constexpr size_t CopiesOfBody = 2; // that the handlers and the server keep
constexpr Millis YieldInterval{250}; // of looks at the connections that wait for a thread
constexpr Millis EndTimeout{100}; // of a connection that another one replaces

thread_local bool refusesConnection = false; // of the task that this thread runs

bool waitFor(int socket, short events, Time until)
{
    pollfd it{socket, events, 0};
    const int64_t ms = std::max<int64_t>(0, (until - monotonicNow()).count());
    return ::poll(&it, 1, int(std::min<int64_t>(ms, std::numeric_limits<int>::max()))) > 0;
}

void addressOf(int (*get)(int, sockaddr *, socklen_t *), int socket, std::string &ip, int &port)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (get(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return;
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

// Discards input until the caller has closed the connection, so that it can read the refusal.
void discardInput(int socket)
{
    const Time until = monotonicNow() + LingeringCloseTimeout;
    std::array<char, 8192> rest;
    size_t discardedBytes = 0;
    ssize_t n = 1;
    while (n > 0 && discardedBytes < MaxLingeringBytes && waitFor(socket, POLLIN, until)) {
        n = ::recv(socket, rest.data(), rest.size(), 0);
        discardedBytes += size_t(std::max<ssize_t>(0, n));
    }
}

} // namespace

// A caller's connection. Refuses a request that exceeds the limits: the server then gets no more of it, and its answer is dropped.
class RequestStream : public httplib::Stream
{
public:
    // What a thread waits for on its connection.
    enum class Wait { Nothing, Request, Bytes };

    RequestStream(int socket, BoundedServer &server)
        : m_server(server)
        , m_socket(socket)
        , m_unreadShare(server.m_budget.sockets)
        , m_share(server.m_budget.bodies)
    {
        growSocketBuffers(m_socket, m_unreadShare);
        const std::lock_guard lock(m_server.m_mutex);
        m_position = m_server.m_streams.insert(m_server.m_streams.end(), this);
    }
    ~RequestStream() override
    {
        const std::lock_guard lock(m_server.m_mutex);
        m_server.m_streams.erase(m_position);
        m_server.m_ending -= m_ended ? 1 : 0;
    }
    RequestStream(const RequestStream &) = delete;
    RequestStream &operator=(const RequestStream &) = delete;

    void beginRequest()
    {
        m_requestStartedAt = monotonicNow();
        m_readUntil = m_requestStartedAt + RequestReadTimeout;
        m_headBytes = 0;
        m_bodyBytes = 0;
        m_matched = 0;
    }
    // Of the request that is being read, or since the connection has been idle. Both need the server's lock.
    const Transfer &transfer() const
    {
        return m_transfer;
    }
    Wait wait() const
    {
        return m_ended ? Wait::Nothing : m_wait;
    }
    // Wakes the thread, which then closes the connection. Needs the server's lock.
    void end()
    {
        m_ended = true;
        ++m_server.m_ending;
        ::shutdown(m_socket, SHUT_RD);
    }
    bool hasInput() const
    {
        char byte = 0;
        return ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    bool refused() const
    {
        return m_refused;
    }
    // Ends a request. Returns whether another one has arrived, or arrives before the time.
    bool waitForRequest(Time until)
    {
        m_share.release();
        return m_begin < m_end || waitForInput(Wait::Request, {monotonicNow(), 0}, until);
    }

    bool is_readable() const override
    {
        return m_begin < m_end || waitFor(m_socket, POLLIN, readDeadline());
    }
    bool is_writable() const override
    {
        char byte = 0;
        const bool closed = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
        return !m_refused && !closed && waitFor(m_socket, POLLOUT, monotonicNow() + HttpIoTimeout);
    }
    ssize_t read(char *out, size_t size) override
    {
        if (m_refused)
            return -1;
        if (m_begin == m_end && !receive())
            return m_closed ? 0 : -1;
        const size_t n = std::min(size, m_end - m_begin);
        if (!admit(std::string_view(m_buffer.data() + m_begin, n)))
            return -1;
        std::copy_n(m_buffer.data() + m_begin, n, out);
        m_begin += n;
        return ssize_t(n);
    }
    ssize_t write(const char *bytes, size_t size) override
    {
        if (m_refused || !waitFor(m_socket, POLLOUT, monotonicNow() + HttpIoTimeout))
            return -1;
        return ::send(m_socket, bytes, size, MSG_NOSIGNAL);
    }
    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        addressOf(::getpeername, m_socket, ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        addressOf(::getsockname, m_socket, ip, port);
    }
    socket_t socket() const override
    {
        return m_socket;
    }

private:
    Time readDeadline() const
    {
        return std::min(m_readUntil, monotonicNow() + HttpIoTimeout);
    }
    // Returns whether input has arrived. The server may end the connection meanwhile.
    bool waitForInput(Wait wait, const Transfer &transfer, Time until)
    {
        setWait(wait, transfer);
        bool arrived = false;
        while (!arrived && !m_endedMeanwhile && monotonicNow() < until) {
            arrived = waitFor(m_socket, POLLIN, std::min(until, monotonicNow() + YieldInterval));
            if (!arrived)
                m_server.yieldToWaiting();
            const std::lock_guard lock(m_server.m_mutex);
            m_endedMeanwhile = m_ended;
        }
        setWait(Wait::Nothing, transfer);
        return arrived && !m_endedMeanwhile;
    }
    void setWait(Wait wait, const Transfer &transfer)
    {
        const std::lock_guard lock(m_server.m_mutex);
        m_wait = wait;
        m_transfer = transfer;
    }
    bool receive()
    {
        m_begin = m_end = 0;
        if (!waitForInput(Wait::Bytes, {m_requestStartedAt, m_headBytes + m_bodyBytes}, readDeadline()))
            return m_endedMeanwhile && refuse(503, "the request arrived too slowly while others waited; not run, retry later");
        const ssize_t n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        m_closed = n == 0;
        m_end = n > 0 ? size_t(n) : 0;
        return n > 0;
    }
    // Counts bytes of the request before the server gets them. Returns false if they exceed a limit.
    bool admit(std::string_view bytes)
    {
        size_t i = 0;
        for (; i < bytes.size() && m_matched < HeadEnd.size(); ++i) {
            if (bytes[i] == HeadEnd[m_matched])
                ++m_matched;
            else
                m_matched = bytes[i] == HeadEnd[0] ? 1 : 0;
        }
        m_headBytes += i;
        m_bodyBytes += bytes.size() - i;
        if (m_headBytes > MaxRequestHeadBytes)
            return refuse(431, "the request is too large; shorten its path or headers");
        if (m_bodyBytes > MaxSentBodyBytes)
            return refuse(413, "the request is too large; shorten its body");
        if (m_bodyBytes > 0 && !m_share.resize(CopiesOfBody * m_bodyBytes, std::numeric_limits<size_t>::max()))
            return refuse(503, "no memory is left for the request; not run, retry later");
        return true;
    }
    bool refuse(int status, std::string_view message)
    {
        static Counter &refused = metrics().counter("roserail_requests_refused_by_size_total");
        refused.add();
        m_refused = true;
        logEvent("request_refused",
                 {{"status", status},
                  {"head_bytes", m_headBytes},
                  {"body_bytes", m_bodyBytes},
                  {"used_bytes", m_share.quota().usedBytes()},
                  {"limit_bytes", m_share.quota().totalBytes()}});
        m_share.release();
        const Error error{status == 503 ? ErrorKind::Overloaded : ErrorKind::TooLarge, std::string(message), 0};
        const std::string body = errorBody(error);
        const std::string answer
            = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Type: application/json\r\n{}Content-Length: {}\r\n\r\n{}", status,
                          status == 503 ? "Service Unavailable" : "Too Large",
                          status == 503 ? fmt::format("Retry-After: {}\r\n", RequestReadTimeout.count() / 1000) : "", body.size(), body);
        ::send(m_socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return false;
    }

    BoundedServer &m_server;
    std::list<RequestStream *>::iterator m_position;
    int m_socket;
    BufferShare m_unreadShare; // what may wait in the kernel
    BufferShare m_share;
    std::array<char, 4096> m_buffer;
    size_t m_begin = 0; // of what has been received and not read yet
    size_t m_end = 0;
    size_t m_headBytes = 0;
    size_t m_bodyBytes = 0;
    size_t m_matched = 0; // of HeadEnd
    Time m_requestStartedAt{};
    Time m_readUntil{};
    bool m_closed = false; // by the caller
    bool m_refused = false;
    bool m_endedMeanwhile = false; // by the server
    // Guarded by the server's lock.
    Wait m_wait = Wait::Nothing;
    Transfer m_transfer;
    bool m_ended = false;
};

// Gives connections to threads, unless the server has too many.
class ConnectionQueue : public httplib::TaskQueue
{
public:
    explicit ConnectionQueue(BoundedServer &server)
        : m_server(server)
        , m_threads(server.m_threads)
    {
    }
    void enqueue(std::function<void()> serve) override
    {
        if (m_server.admitConnection()) {
            m_threads.enqueue([this, serve = std::move(serve)] {
                m_server.beginConnection();
                serve();
                m_server.endConnection();
            });
            return;
        }
        refusesConnection = true;
        serve();
        refusesConnection = false;
    }
    void shutdown() override
    {
        m_threads.shutdown();
    }

private:
    BoundedServer &m_server;
    httplib::ThreadPool m_threads;
};

BoundedServer::BoundedServer(const ProcessLimits &limits, size_t threads)
    : m_budget(limits.memory, limits.descriptors)
    , m_threads(threads)
    , m_maxConnections(m_budget.maxConnections(CallersDescriptorShare))
{
    new_task_queue = [this] {
        return new ConnectionQueue(*this);
    };
    // The library's own option, SO_REUSEPORT, lets a second process listen on the same port and take part of the callers.
    set_socket_options([](socket_t socket) {
        setSocketOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
        limitBuffersOfListener(socket);
    });
}

bool BoundedServer::admitConnection()
{
    static Counter &refused = metrics().counter("roserail_connections_refused_total");
    static Counter &closed = metrics().counter("roserail_connections_closed_for_others_total");
    std::unique_lock lock(m_mutex);
    const bool full = m_open >= m_maxConnections;
    if (full || m_open >= m_threads + m_ending) {
        const bool ended = endOneConnection();
        if (ended)
            closed.add();
        if (full && ended)
            m_connectionEnded.wait_for(lock, EndTimeout, [this] { return m_open < m_maxConnections; });
    }
    const bool room = m_open < m_maxConnections;
    if (!room)
        refused.add();
    if (full)
        logEvent(room ? "connection_closed_for_another" : "connection_refused", {{"connections", m_open}, {"waiting", m_waiting}});
    m_open += room ? 1 : 0;
    m_waiting += room ? 1 : 0;
    return room;
}

void BoundedServer::beginConnection()
{
    const std::lock_guard lock(m_mutex);
    --m_waiting;
}

void BoundedServer::endConnection()
{
    const std::lock_guard lock(m_mutex);
    --m_open;
    m_connectionEnded.notify_all();
}

void BoundedServer::yieldToWaiting()
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting > m_ending)
        endOneConnection();
}

// Ends the connection that has been without a request for longest, or else the slowest of the requests that have stalled. Returns false
// if there is none.
bool BoundedServer::endOneConnection()
{
    RequestStream *idle = nullptr;
    std::vector<RequestStream *> reading;
    std::vector<Transfer> transfers;
    for (RequestStream *it : m_streams) {
        const bool unused = it->wait() == RequestStream::Wait::Request && !it->hasInput();
        if (unused && (idle == nullptr || it->transfer().startedAt < idle->transfer().startedAt))
            idle = it;
        if (it->wait() != RequestStream::Wait::Bytes)
            continue;
        reading.push_back(it);
        transfers.push_back(it->transfer());
    }
    const std::optional<size_t> slowest = slowestTransfer(transfers, monotonicNow());
    if (idle == nullptr && !slowest)
        return false;
    (idle != nullptr ? idle : reading[*slowest])->end();
    return true;
}

bool BoundedServer::process_and_close_socket(socket_t socket)
{
    bool handled = false;
    if (!refusesConnection) {
        RequestStream stream(socket, *this);
        bool closed = false;
        for (size_t left = keep_alive_max_count_; left > 0 && !closed && svr_sock_ != INVALID_SOCKET; --left) {
            if (!stream.waitForRequest(monotonicNow() + std::chrono::seconds(keep_alive_timeout_sec_)))
                break;
            stream.beginRequest();
            handled = process_request(stream, left == 1, closed, nullptr);
            if (!handled)
                break;
        }
        if (stream.refused()) {
            ::shutdown(socket, SHUT_WR);
            discardInput(socket);
        }
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return handled;
}

} // namespace roserail
