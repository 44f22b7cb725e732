#include "transport/boundedserver.h"

#include "protocol/json.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"

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

// A caller's connection. Refuses a request that exceeds the limits: the server then gets no more of it, and its answer is dropped.
class RequestStream : public httplib::Stream
{
public:
    RequestStream(int socket, IngressBudget &budget)
        : m_socket(socket)
        , m_share(budget.bodies)
    {
    }
    void beginRequest()
    {
        m_readUntil = monotonicNow() + RequestReadTimeout;
        m_headBytes = 0;
        m_bodyBytes = 0;
        m_matched = 0;
    }
    bool refused() const
    {
        return m_refused;
    }
    // Ends a request. Returns whether another one has arrived, or arrives before the time.
    bool waitForRequest(Time until)
    {
        m_share.release();
        return m_begin < m_end || waitFor(m_socket, POLLIN, until);
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
    bool receive()
    {
        m_begin = m_end = 0;
        if (!waitFor(m_socket, POLLIN, readDeadline()))
            return false;
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

    int m_socket;
    BufferShare m_share;
    std::array<char, 4096> m_buffer;
    size_t m_begin = 0; // of what has been received and not read yet
    size_t m_end = 0;
    size_t m_headBytes = 0;
    size_t m_bodyBytes = 0;
    size_t m_matched = 0; // of HeadEnd
    Time m_readUntil{};
    bool m_closed = false; // by the caller
    bool m_refused = false;
};

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

BoundedServer::BoundedServer(const ProcessLimits &limits)
    : m_budget(limits.memory, limits.descriptors)
{
    // The library's own option, SO_REUSEPORT, lets a second process listen on the same port and take part of the callers.
    set_socket_options([](socket_t socket) {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
}

bool BoundedServer::process_and_close_socket(socket_t socket)
{
    bool handled = false;
    {
        RequestStream stream(socket, m_budget);
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
