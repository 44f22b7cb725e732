#include "transport/blockingconnection.h"

#include "transport/clock.h"
#include "transport/socketoptions.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis MaxPollTime = std::chrono::minutes(1);
constexpr int UnreadAnswerBytes = 32 << 10; // that wait in the kernel for a caller who reads slowly; the system permits twice as many

ErrorCode lastError()
{
    return {errno, boost::system::system_category()};
}

} // namespace

std::string encodePath(const std::string &path)
{
    std::string out;
    for (const char it : path) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte <= ' ' || byte >= 0x7f || std::string_view("+',;").find(it) != std::string_view::npos)
            out += fmt::format("%{:02X}", byte);
        else
            out += it;
    }
    return out;
}

BlockingConnection::BlockingConnection(Time deadline, Millis idleTimeout)
    : m_deadline(deadline)
    , m_idleTimeout(idleTimeout)
{
}

BlockingConnection::~BlockingConnection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

void BlockingConnection::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    if (m_socket >= 0)
        ::shutdown(m_socket, SHUT_RDWR);
}

ErrorCode BlockingConnection::wait(short events, Millis timeout) const
{
    const Time until = std::min(m_deadline, monotonicNow() + timeout);
    pollfd target{m_socket, events, 0};
    while (!m_closed) {
        const Millis left = until - monotonicNow();
        if (left <= Millis(0))
            return net::error::timed_out;
        const int n = ::poll(&target, 1, int(std::min(left, MaxPollTime).count()));
        if (n < 0 && errno != EINTR)
            return lastError();
        if (n > 0)
            return m_closed ? net::error::operation_aborted : ErrorCode();
    }
    return net::error::operation_aborted;
}

ErrorCode BlockingConnection::connectTo(const addrinfo &address)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = ::socket(address.ai_family, address.ai_socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, address.ai_protocol);
        if (m_socket < 0)
            return lastError();
    }
    setSocketOption(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(m_socket, SOL_SOCKET, SO_RCVBUF, UnreadAnswerBytes);
    if (::connect(m_socket, address.ai_addr, address.ai_addrlen) == 0)
        return {};
    if (errno != EINPROGRESS)
        return lastError();
    const ErrorCode ec = wait(POLLOUT, ConnectTimeout);
    if (ec)
        return ec;
    int error = 0;
    socklen_t n = sizeof error;
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &n);
    return {error, boost::system::system_category()};
}

ErrorCode BlockingConnection::connect(const std::string &host, int port)
{
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICSERV;
    addrinfo *found = nullptr;
    const int error = ::getaddrinfo(host.c_str(), std::to_string(port).c_str(), &hints, &found);
    if (error != 0)
        return {error, net::error::get_addrinfo_category()};
    const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> addresses(found, &::freeaddrinfo);
    ErrorCode ec = net::error::operation_aborted;
    for (const addrinfo *it = found; it != nullptr && ec && !m_closed; it = it->ai_next)
        ec = connectTo(*it);
    return ec;
}

ErrorCode BlockingConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ErrorCode ec = wait(POLLOUT, HttpIoTimeout);
        if (ec)
            return ec;
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n >= 0)
            bytes.remove_prefix(size_t(n));
        else if (errno != EAGAIN && errno != EINTR)
            return lastError();
    }
    return {};
}

size_t BlockingConnection::receive(char *data, size_t size, ErrorCode &ec)
{
    while (true) {
        ec = wait(POLLIN, m_idleTimeout);
        if (ec)
            return 0;
        const ssize_t n = ::recv(m_socket, data, size, 0);
        if (n > 0)
            return size_t(n);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        ec = n < 0 ? lastError() : ErrorCode(net::error::eof);
        // The end of a connection that was closed here must not end an answer without a length.
        if (m_closed)
            ec = net::error::operation_aborted;
        return 0;
    }
}

// The head is read on its own, so that limits apply before the first byte of the body. The size of the buffer limits the head of a chunk.
ErrorCode BlockingConnection::readHead(bool bodyless)
{
    Stream stream{*this};
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        m_parser.emplace();
        m_parser->header_limit(MaxAnswerHeaderBytes);
        m_parser->body_limit(std::numeric_limits<uint64_t>::max());
        m_parser->skip(bodyless);
        ErrorCode ec;
        http::read_header(stream, m_buffer, *m_parser, ec);
        if (ec)
            return ec;
        const unsigned status = m_parser->get().result_int();
        if (!isHttpStatus(status))
            break;
        if (status / 100 != 1)
            return {};
    }
    return http::error::bad_status;
}

ErrorCode BlockingConnection::readBody(std::string_view &bytes)
{
    bytes = {};
    if (done())
        return {};
    http::buffer_body::value_type &body = m_parser->get().body();
    body.data = m_body.data();
    body.size = m_body.size();
    Stream stream{*this};
    ErrorCode ec;
    http::read_some(stream, m_buffer, *m_parser, ec);
    bytes = std::string_view(m_body.data(), m_body.size() - body.size);
    return ec == http::error::need_buffer ? ErrorCode() : ec;
}

ErrorCode BlockingConnection::readWholeBody(std::string &body, size_t maxBytes)
{
    while (!done()) {
        std::string_view bytes;
        const ErrorCode ec = readBody(bytes);
        if (ec)
            return ec;
        if (body.size() + bytes.size() > maxBytes)
            return http::error::body_limit;
        body += bytes;
    }
    return {};
}

} // namespace roserail
