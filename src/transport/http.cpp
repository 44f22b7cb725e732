#include "transport/http.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/address.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/tasks.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr std::array HopByHop{"Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                              "Content-Length", "TE",         "Trailer",          "Upgrade"};

void setOption(tcp::socket &socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

// Sets whether closing the socket resets the connection and discards what has not been sent yet.
void resetOnClose(tcp::socket &socket, bool reset)
{
    const linger value{reset ? 1 : 0, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Result<tcp::endpoint> parseEndpoint(const std::string &text)
{
    BOOST_OUTCOME_TRY(parts, parseHostPort(text));
    ErrorCode ec;
    const net::ip::address address = net::ip::make_address(parts.host, ec);
    if (ec)
        return Error{ErrorKind::BadRequest, fmt::format("'{}' is not an IP address and a port", text), 0};
    return tcp::endpoint(address, uint16_t(parts.port));
}

void configureSocket(tcp::socket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, TcpKeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, TcpKeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, TcpKeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, int(TcpUserTimeout.count()));
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(HopByHop.begin(), HopByHop.end(), [&](const char *it) {
        return boost::beast::iequals(boost::beast::string_view(it), boost::beast::string_view(name.data(), name.size()));
    });
}

bool hasUnexpectedInput(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string_view CallerConnection::header(std::string_view name) const
{
    return view(m_request[boost::beast::string_view(name.data(), name.size())]);
}

PlatformCodec::Lookup CallerConnection::lookup() const
{
    return [this](std::string_view name) {
        return header(name);
    };
}

Call CallerConnection::call(const PlatformCodec &codec) const
{
    return codec.classify(view(m_request.method_string()), view(m_request.target()));
}

Task<bool> CallerConnection::write(std::string bytes)
{
    ErrorCode ec;
    co_await net::async_write(m_socket, net::buffer(bytes), net::redirect_error(net::use_awaitable, ec));
    if (ec)
        m_aborted = true;
    co_return !ec;
}

Task<bool> CallerConnection::answer(unsigned status)
{
    return answer(status, std::vector<HeaderField>(), std::string());
}

Task<bool> CallerConnection::answer(unsigned status, std::vector<HeaderField> headers, std::string body)
{
    std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", status, view(http::obsolete_reason(http::status(status))));
    for (const HeaderField &it : headers)
        bytes += fmt::format("{}: {}\r\n", it.name, it.value);
    bytes += fmt::format("Content-Length: {}\r\n{}\r\n", body.size(), announceKeepAlive() ? "" : "Connection: close\r\n");
    if (m_request.method() != http::verb::head)
        bytes += body;
    co_return co_await write(std::move(bytes));
}

void CallerConnection::beginUnframed()
{
    m_keepAlive = false;
    resetOnClose(m_socket, true);
}

void CallerConnection::endUnframed()
{
    resetOnClose(m_socket, false);
}

void CallerConnection::abort()
{
    m_aborted = true;
    m_keepAlive = false;
}

Task<> answerMonitoring(CallerConnection &caller, const std::function<std::string()> &dump)
{
    const bool isDump = caller.request().target() == "/dump";
    std::vector<HeaderField> headers{{"Content-Type", isDump ? "application/json" : "text/plain"}};
    // GCC 12 destroys a conditional temporary within a co_await expression twice; a variable avoids it.
    std::string text = isDump ? dump() : metrics().text();
    co_await caller.answer(200, std::move(headers), std::move(text));
}

HttpServer::HttpServer(net::io_context &io, HttpHandler handler)
    : m_io(io)
    , m_handler(std::move(handler))
    , m_acceptor(io)
    , m_sweepTimer(io)
{
}

Result<void> HttpServer::listen(const std::string &address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(ListenBacklog, ec);
    if (ec)
        return Error{ErrorKind::BadSettings,
                     fmt::format("cannot listen on {}: {}; free the port or correct the address", address, ec.message()), 0};
    const auto accept = [this] {
        return acceptConnection();
    };
    const auto closeExpired = [this] {
        return sweep();
    };
    spawn(m_io, "accept", repeat(m_io, "accept", accept));
    spawn(m_io, "sweep", repeat(m_io, "sweep", closeExpired));
    return boost::outcome_v2::success();
}

size_t HttpServer::connections(ConnectionStage stage) const
{
    return size_t(std::count_if(m_connections.begin(), m_connections.end(),
                                [stage](const std::shared_ptr<CallerConnection> &it) { return it->m_stage == stage; }));
}

// Accepts one connection. Returns whether the server listens on.
Task<bool> HttpServer::acceptConnection()
{
    if (!m_acceptor.is_open())
        co_return false;
    ErrorCode ec;
    tcp::socket socket = co_await m_acceptor.async_accept(net::redirect_error(net::use_awaitable, ec));
    if (ec && !m_acceptor.is_open())
        co_return false;
    if (ec) {
        logEvent("accept_failed", {{"error", ec.message()}});
        net::steady_timer pause(m_io, AcceptRetryDelay);
        co_await pause.async_wait(net::redirect_error(net::use_awaitable, ec));
    } else {
        startServing(std::move(socket));
    }
    co_return m_acceptor.is_open();
}

void HttpServer::startServing(tcp::socket socket)
{
    configureSocket(socket);
    m_connections.push_front(std::make_shared<CallerConnection>(std::move(socket)));
    const Connections::iterator position = m_connections.begin();
    try {
        spawn(m_io, "connection", serve(position), [this, position] { remove(position); });
    } catch (...) {
        remove(position);
        throw;
    }
}

void HttpServer::drain()
{
    m_draining = true;
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        if (!it->m_keepAliveAnnounced)
            it->m_keepAlive = false;
    }
}

void HttpServer::finish()
{
    drain();
    m_finishing = true;
    ErrorCode ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, ec);
        if (!ec)
            startServing(std::move(socket));
    }
    m_acceptor.close(ec);
    const Time idleUntil = monotonicNow() + FinishIdleTimeout;
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        if (it->m_stage == ConnectionStage::Idle)
            it->m_expiresAt = std::min(it->m_expiresAt, idleUntil);
    }
}

void HttpServer::stopReading()
{
    ErrorCode ec;
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        if (it->m_stage == ConnectionStage::Reading)
            it->m_socket.cancel(ec);
    }
}

Task<> HttpServer::serve(Connections::iterator position)
{
    const std::shared_ptr<CallerConnection> connection = *position;
    try {
        while (co_await readRequest(*connection)) {
            connection->m_keepAlive = connection->m_request.keep_alive() && !m_draining;
            connection->m_keepAliveAnnounced = false;
            connection->m_stage = ConnectionStage::Answering;
            co_await m_handler(*connection);
            if (!connection->m_keepAlive || connection->m_aborted)
                break;
        }
    } catch (const std::exception &ex) {
        logEvent("connection_failed", {{"error", ex.what()}});
        connection->abort();
    }
    // An idle connection is closed at once: the kernel then resets it if a request arrives, so that its caller knows that it did not run.
    const bool idle = connection->m_stage == ConnectionStage::Idle;
    connection->m_stage = ConnectionStage::Closing;
    if (!connection->m_aborted && !idle)
        co_await lingeringClose(*connection);
    remove(position);
}

void HttpServer::remove(Connections::iterator position)
{
    ErrorCode ec;
    (*position)->m_socket.close(ec);
    m_connections.erase(position);
}

// Reads one request within the limits. Returns false if the connection must be closed.
Task<bool> HttpServer::readRequest(CallerConnection &connection)
{
    ErrorCode ec;
    connection.m_buffer.max_size(m_limits.maxHeaderBytes + MaxUnparsedBytes);
    if (connection.m_buffer.size() == 0) {
        connection.m_stage = ConnectionStage::Idle;
        connection.m_expiresAt = monotonicNow() + (m_finishing ? FinishIdleTimeout : m_limits.idleTimeout);
        co_await connection.m_socket.async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, ec));
        if (ec && !hasUnexpectedInput(connection.m_socket))
            co_return false;
    }
    connection.m_stage = ConnectionStage::Reading;
    connection.m_expiresAt = monotonicNow() + m_limits.headerTimeout;
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_limits.maxHeaderBytes);
    parser.body_limit(m_limits.maxBodyBytes);
    co_await http::async_read_header(connection.m_socket, connection.m_buffer, parser, net::redirect_error(net::use_awaitable, ec));
    if (!ec) {
        connection.m_arrivedAt = monotonicNow();
        connection.m_expiresAt = connection.m_arrivedAt + m_limits.idleTimeout;
        if (!parser.is_done())
            co_await http::async_read(connection.m_socket, connection.m_buffer, parser, net::redirect_error(net::use_awaitable, ec));
    }
    connection.m_expiresAt = Time::max();
    if (ec) {
        co_await refuse(connection, ec);
        co_return false;
    }
    if (connection.m_aborted) // closed by sweep() when the last bytes arrived; the request would run without an answer
        co_return false;
    connection.m_request = parser.release();
    co_return true;
}

// Answers a malformed or too large request, or one that stopReading() has ended, with an error; after other errors the connection is
// only closed.
Task<> HttpServer::refuse(CallerConnection &connection, const ErrorCode &ec)
{
    unsigned status = 0;
    if (ec == http::error::header_limit)
        status = 431;
    else if (ec == http::error::body_limit)
        status = 413;
    else if (ec == net::error::operation_aborted && !connection.m_aborted)
        status = 503;
    else if (ec.category() == http::make_error_code(http::error::bad_target).category() && ec != http::error::end_of_stream
             && ec != http::error::partial_message)
        status = 400;
    if (status == 0) {
        connection.abort();
        co_return;
    }
    connection.m_stage = ConnectionStage::Answering;
    connection.m_keepAlive = false;
    logEvent("request_unreadable", {{"status", status}, {"error", ec.message()}});
    std::vector<HeaderField> headers;
    if (status == 503)
        headers.push_back({"Retry-After", "0"}); // another host can serve it
    co_await connection.answer(status, std::move(headers), std::string());
}

// Discards input until the caller has closed the connection, LingeringCloseTimeout has passed or MaxLingeringBytes have
// arrived: closing a socket with unread input resets the connection, and the caller may lose the last answer.
Task<> HttpServer::lingeringClose(CallerConnection &connection)
{
    ErrorCode ec;
    connection.m_socket.shutdown(tcp::socket::shutdown_send, ec);
    connection.m_expiresAt = monotonicNow() + LingeringCloseTimeout;
    std::array<char, 8192> rest;
    size_t discardedBytes = 0;
    while (!ec && discardedBytes < MaxLingeringBytes)
        discardedBytes += co_await connection.m_socket.async_read_some(net::buffer(rest), net::redirect_error(net::use_awaitable, ec));
    if (discardedBytes > 0)
        logEvent("input_discarded", {{"bytes", discardedBytes}});
}

// Waits ConnectionSweepInterval, and closes connections whose idle or header time-out has passed.
Task<bool> HttpServer::sweep()
{
    ErrorCode ec;
    m_sweepTimer.expires_after(ConnectionSweepInterval);
    co_await m_sweepTimer.async_wait(net::redirect_error(net::use_awaitable, ec));
    if (ec)
        co_return false;
    const Time now = monotonicNow();
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        if (now < it->m_expiresAt)
            continue;
        it->m_expiresAt = Time::max();
        if (it->m_stage == ConnectionStage::Idle) {
            it->m_socket.cancel(ec); // ends the wait; serve() closes the connection
            continue;
        }
        it->m_aborted = true;
        it->m_socket.close(ec);
    }
    co_return true;
}

} // namespace roserail
