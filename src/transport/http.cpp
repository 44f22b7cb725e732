#include "transport/http.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/address.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/socketoptions.h"
#include "transport/tasks.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <sys/socket.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr std::array HopByHop{"Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                              "Content-Length", "TE",         "Trailer",          "Upgrade"};

constexpr size_t OrdinaryHeadBytes = 4096;

// Returns whether the head of the next request, if it is an ordinary one, has arrived whole.
bool hasWholeHead(tcp::socket &socket)
{
    std::array<char, OrdinaryHeadBytes> buf;
    const ssize_t n = ::recv(socket.native_handle(), buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
    return n > 0 && std::string_view(buf.data(), size_t(n)).find("\r\n\r\n") != std::string_view::npos;
}

ErrorCode lackOfMemory()
{
    return boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
}

} // namespace

// The body of a request, which draws on the budget of the process before it grows. Kept in the connection, so that it can be freed while
// the request is still being read.
struct BoundedBody {
    struct value_type { // NOLINT(readability-identifier-naming): Beast prescribes the names
        CallerConnection *connection = nullptr;
    };
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }
        void init(const boost::optional<uint64_t> &, ErrorCode &ec)
        {
            ec = {};
        }
        template <typename Buffers>
        size_t put(const Buffers &buffers, ErrorCode &ec)
        {
            CallerConnection &connection = *m_body.connection;
            const size_t n = net::buffer_size(buffers);
            connection.m_transfer.bytes += n;
            if (!connection.reserveBody(connection.m_body.size() + n)) {
                ec = lackOfMemory();
                return 0;
            }
            for (auto it = net::buffer_sequence_begin(buffers); it != net::buffer_sequence_end(buffers); ++it) {
                const net::const_buffer piece = *it;
                connection.m_body.append(static_cast<const char *>(piece.data()), piece.size());
            }
            ec = {};
            return n;
        }
        void finish(ErrorCode &ec)
        {
            ec = {};
        }

    private:
        value_type &m_body;
    };
};

Result<tcp::endpoint> parseEndpoint(const std::string &text)
{
    BOOST_OUTCOME_TRY(parts, parseHostPort(text));
    ErrorCode ec;
    const net::ip::address address = net::ip::make_address(parts.host, ec);
    if (ec)
        return Error{ErrorKind::BadRequest, fmt::format("'{}' is not an IP address and a port", text), 0};
    return tcp::endpoint(address, uint16_t(parts.port));
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

bool isClosedByPeer(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Task<> answerMonitoring(CallerConnection &caller, const std::function<std::string()> &dump)
{
    const bool isDump = caller.request().target() == "/dump";
    std::vector<HeaderField> headers{{"Content-Type", isDump ? "application/json" : "text/plain"}};
    // GCC 12 destroys a conditional temporary within a co_await expression twice; a variable avoids it.
    std::string text = isDump ? dump() : metrics().text();
    co_await caller.answer(200, std::move(headers), std::move(text));
}

HttpServer::HttpServer(net::io_context &io, HttpHandler handler, std::shared_ptr<Ingress> ingress, double descriptorShare)
    : m_io(io)
    , m_handler(std::move(handler))
    , m_ingress(std::move(ingress))
    , m_maxConnections(m_ingress->budget().maxConnections(descriptorShare))
    , m_acceptor(io)
    , m_sweepTimer(io)
{
    m_ingress->add(*this);
}

HttpServer::HttpServer(net::io_context &io, HttpHandler handler)
    : HttpServer(io, std::move(handler), std::make_shared<Ingress>(ProcessLimits{DefaultMemory, DefaultDescriptors}),
                 CallersDescriptorShare)
{
}

HttpServer::~HttpServer()
{
    m_ingress->remove(*this);
}

Result<void> HttpServer::listen(const std::string &address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        limitBuffersOfListener(m_acceptor.native_handle());
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

// Closes the connection that has been idle, or waiting for its caller to close it, for longest, or else breaks off the slowest of the
// callers that have stalled, so that another connection can be served. Returns false if there is none.
bool HttpServer::makeConnectionFree()
{
    CallerConnection *closed = nullptr;
    std::vector<CallerConnection *> reading;
    std::vector<Transfer> transfers;
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        const bool unused = it->m_stage == ConnectionStage::Idle || it->m_stage == ConnectionStage::Closing;
        if (it->m_aborted)
            continue;
        if (unused && (closed == nullptr || it->m_expiresAt < closed->m_expiresAt))
            closed = it.get();
        if (it->m_stage != ConnectionStage::Reading)
            continue;
        reading.push_back(it.get());
        transfers.push_back(it->m_transfer);
    }
    const std::optional<size_t> slowest = slowestTransfer(transfers, monotonicNow());
    if (closed == nullptr && slowest)
        closed = reading[*slowest];
    if (closed == nullptr)
        return false;
    ErrorCode ec;
    closed->m_aborted = true;
    closed->m_socket.close(ec);
    return true;
}

void HttpServer::startServing(tcp::socket socket)
{
    static Counter &refused = metrics().counter("roserail_connections_refused_total");
    static Counter &closed = metrics().counter("roserail_connections_closed_for_others_total");
    if (m_connections.size() >= m_maxConnections) {
        const bool room = makeConnectionFree();
        (room ? closed : refused).add();
        logEvent(room ? "connection_closed_for_another" : "connection_refused", {{"connections", m_connections.size()}});
        if (!room)
            return;
    }
    m_connections.push_front(std::make_shared<CallerConnection>(std::move(socket), m_ingress));
    const Connections::iterator position = m_connections.begin();
    configureConnection((*position)->m_socket.native_handle());
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
            std::string().swap(connection->m_request.body());
            connection->m_bodyShare.release();
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

// Waits for the first byte of a request. Returns false if the connection must be closed.
Task<bool> HttpServer::waitForRequest(CallerConnection &connection)
{
    ErrorCode ec;
    if (connection.m_buffer.capacity() > IdleBufferBytes)
        connection.m_buffer.shrink_to_fit();
    connection.m_headShare.release();
    connection.m_stage = ConnectionStage::Idle;
    connection.m_expiresAt = monotonicNow() + (m_finishing ? FinishIdleTimeout : m_limits.idleTimeout);
    co_await connection.m_socket.async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, ec));
    co_return !connection.m_aborted && (!ec || hasUnexpectedInput(connection.m_socket));
}

// Reads one request within the limits. Returns false if the connection must be closed.
Task<bool> HttpServer::readRequest(CallerConnection &connection)
{
    connection.m_buffer.max_size(m_limits.maxHeaderBytes + MaxUnparsedBytes);
    if (connection.m_buffer.size() == 0 && !co_await waitForRequest(connection))
        co_return false;
    ErrorCode ec;
    connection.m_stage = ConnectionStage::Reading;
    connection.m_transfer = Transfer{monotonicNow(), 0};
    connection.m_maxBodyBytes = m_limits.maxBodyBytes;
    connection.m_expiresAt = connection.m_transfer.startedAt + m_limits.headerTimeout;
    // A head that has arrived whole takes memory for a moment only.
    if (!m_ingress->grow(connection.m_headShare, m_limits.maxHeaderBytes, m_limits.maxHeaderBytes) && !hasWholeHead(connection.m_socket)) {
        m_ingress->logRefusal("request_refused", connection.m_headShare, m_limits.maxHeaderBytes);
        co_await refuse(connection, lackOfMemory());
        co_return false;
    }
    http::request_parser<BoundedBody> parser;
    parser.get().body().connection = &connection;
    parser.header_limit(m_limits.maxHeaderBytes);
    parser.body_limit(m_limits.maxBodyBytes);
    co_await http::async_read_header(connection.m_socket, connection.m_buffer, parser, net::redirect_error(net::use_awaitable, ec));
    if (!ec) {
        connection.m_arrivedAt = monotonicNow();
        connection.m_expiresAt = connection.m_arrivedAt + m_limits.idleTimeout;
        connection.m_headShare.resize(std::min(connection.m_headShare.bytes(), connection.m_buffer.capacity()), m_limits.maxHeaderBytes);
        if (!parser.is_done())
            co_await readBody(connection, parser, ec);
    }
    connection.m_expiresAt = Time::max();
    if (connection.m_brokenOff && !connection.m_aborted)
        ec = lackOfMemory();
    if (ec) {
        co_await refuse(connection, ec);
        co_return false;
    }
    if (connection.m_aborted) // closed by sweep() when the last bytes arrived; the request would run without an answer
        co_return false;
    connection.m_request = http::request<http::string_body>(std::move(parser.get().base()), std::move(connection.m_body));
    std::string().swap(connection.m_body);
    co_return true;
}

// Reads the body of a request. One whose announced length has no room is refused before it is read.
template <typename Parser>
Task<> HttpServer::readBody(CallerConnection &connection, Parser &parser, ErrorCode &ec)
{
    const boost::optional<uint64_t> length = parser.content_length();
    if (!connection.reserveBody(size_t(length.value_or(0)))) {
        m_ingress->logRefusal("request_refused", connection.m_bodyShare, size_t(length.value_or(0)));
        ec = lackOfMemory();
        co_return;
    }
    if (length.value_or(MaxUnreadBytes) > MinUnreadBytes)
        growSocketBuffers(connection.m_socket.native_handle(), connection.m_unreadShare);
    if (connection.m_buffer.size() == 0)
        connection.m_buffer.reserve(std::min<size_t>(BodyReadBytes, size_t(length.value_or(BodyReadBytes))));
    co_await http::async_read(connection.m_socket, connection.m_buffer, parser, net::redirect_error(net::use_awaitable, ec));
    if (ec == lackOfMemory() && !connection.m_brokenOff)
        m_ingress->logRefusal("request_refused", connection.m_bodyShare, connection.m_body.size());
}

// Answers a malformed or too large request, or one that stopReading() has ended or that there is no room for, with an error; after other
// errors the connection is only closed.
Task<> HttpServer::refuse(CallerConnection &connection, const ErrorCode &ec)
{
    unsigned status = 0;
    if (ec == http::error::header_limit)
        status = 431;
    else if (ec == http::error::body_limit)
        status = 413;
    else if (!connection.m_aborted && (ec == net::error::operation_aborted || ec == lackOfMemory()))
        status = 503;
    else if (ec.category() == http::make_error_code(http::error::bad_target).category() && ec != http::error::end_of_stream
             && ec != http::error::partial_message)
        status = 400;
    if (status == 0) {
        connection.abort();
        co_return;
    }
    const Millis retryDelay = ec == lackOfMemory() ? m_ingress->retryDelay() : Millis(0); // a stopping host's request can go to another one
    connection.m_stage = ConnectionStage::Answering;
    connection.m_keepAlive = false;
    connection.m_expiresAt = monotonicNow() + LingeringCloseTimeout;
    std::string().swap(connection.m_body);
    connection.m_bodyShare.release();
    connection.m_headShare.release();
    logEvent("request_unreadable", {{"status", status}, {"error", ec.message()}});
    std::vector<HeaderField> headers;
    if (status == 503)
        headers.push_back({"Retry-After", fmt::format("{:.3f}", double(retryDelay.count()) / 1000)});
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
    m_ingress->review(now);
    for (const std::shared_ptr<CallerConnection> &it : m_connections) {
        // A caller that reads more slowly than any ordinary one holds its answer no longer than its connection might stay idle.
        const bool unread = it->m_writing && isStalled(it->m_transfer, now) && now > it->m_transfer.startedAt + m_limits.idleTimeout;
        if (now < it->m_expiresAt && !unread)
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
