#include "transport/endpointpool.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/socketoptions.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

// Closes a socket after a time-out, which ends the operations that are pending on it.
class SocketDeadline
{
public:
    SocketDeadline(tcp::socket &socket, Millis timeout)
        : m_timer(socket.get_executor(), timeout)
        , m_socket(std::make_shared<tcp::socket *>(&socket))
    {
        m_timer.async_wait([target = m_socket](const ErrorCode &ec) {
            ErrorCode ignored;
            if (!ec && *target != nullptr)
                (*target)->close(ignored);
        });
    }
    ~SocketDeadline()
    {
        *m_socket = nullptr;
    }
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

private:
    net::steady_timer m_timer;
    std::shared_ptr<tcp::socket *> m_socket; // null once the deadline is destroyed: the handler may run later
};

std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Returns for how long a connection may stay idle, by "timeout=N" of the endpoint's Keep-Alive header, N in seconds. If N is no number,
// what the endpoint permits is not known, and the connection is not kept.
Millis idleTimeoutOf(std::string_view header)
{
    constexpr std::string_view name = "timeout=";
    while (!header.empty()) {
        const size_t end = std::min(header.find(','), header.size());
        const std::string_view parameter = trimmed(header.substr(0, end));
        header.remove_prefix(std::min(end + 1, header.size()));
        const std::string_view begin = parameter.substr(0, name.size());
        if (!boost::beast::iequals({begin.data(), begin.size()}, {name.data(), name.size()}))
            continue;
        const char *const textEnd = parameter.data() + parameter.size();
        uint64_t seconds = 0;
        const std::from_chars_result read = std::from_chars(parameter.data() + name.size(), textEnd, seconds);
        if (read.ec == std::errc::invalid_argument || read.ptr != textEnd)
            return Millis(0);
        constexpr uint64_t maxSeconds = EndpointIdleTimeout / std::chrono::seconds(1) + 1; // any more has the same effect
        if (read.ec == std::errc::result_out_of_range || seconds > maxSeconds)
            seconds = maxSeconds;
        return std::min(EndpointIdleTimeout, Millis(seconds * 1000) - EndpointIdleTimeoutMargin);
    }
    return EndpointIdleTimeout;
}

using AnswerParser = http::response_parser<http::string_body>;

// Reads one complete answer within MaxAnswerHeaderBytes and MaxReportBytes, and skips interim ones. The head is read on its own: a parser
// that reads both at once goes on after a refused length if bytes of the body have arrived, reserves that length, and applies no limit to
// the body.
Task<ErrorCode> readAnswer(EndpointConnection &connection, std::optional<AnswerParser> &parser)
{
    ErrorCode ec;
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        parser.emplace();
        parser->header_limit(MaxAnswerHeaderBytes);
        parser->body_limit(MaxReportBytes);
        co_await http::async_read_header(connection.socket, connection.buffer, *parser, net::redirect_error(net::use_awaitable, ec));
        if (ec)
            co_return ec;
        if (!isHttpStatus(parser->get().result_int()))
            break;
        if (parser->get().result_int() / 100 == 1)
            continue;
        if (!parser->is_done())
            co_await http::async_read(connection.socket, connection.buffer, *parser, net::redirect_error(net::use_awaitable, ec));
        co_return ec;
    }
    co_return http::error::bad_status;
}

} // namespace

void EndpointConnection::expectBytes(uint64_t bytes)
{
    if (unreadShare && bytes > MinUnreadBytes)
        growSocketBuffers(socket.native_handle(), *unreadShare);
}

EndpointPool::EndpointPool(net::io_context &io)
    : m_io(io)
{
}

RequestKey requestKey(const std::string &requestId)
{
    return RequestKey(XXH3_64bits(requestId.data(), requestId.size()));
}

EndpointConnectionPtr EndpointPool::takeIdle(const std::string &address, Time now, std::optional<RequestKey> request)
{
    static Counter &reuses = metrics().counter("roserail_endpoint_connections_reused_total");
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return nullptr;
    std::deque<EndpointConnectionPtr> &idle = it->second;
    for (size_t n = idle.size(); n-- > 0;) {
        const std::vector<RequestKey> &failed = idle[n]->failed;
        if (request && std::find(failed.begin(), failed.end(), *request) != failed.end())
            continue;
        EndpointConnectionPtr connection = std::move(idle[n]);
        idle.erase(idle.begin() + long(n));
        if (now >= connection->idleUntil || hasUnexpectedInput(connection->socket))
            continue;
        reuses.add();
        return connection;
    }
    return nullptr;
}

Task<EndpointConnectionPtr> EndpointPool::connect(const std::string &address, Millis timeout, ErrorCode *error)
{
    static Counter &connects = metrics().counter("roserail_endpoint_connects_total");
    const Result<tcp::endpoint> endpoint = parseEndpoint(address);
    if (endpoint.has_error())
        co_return nullptr;
    EndpointConnectionPtr connection = std::make_unique<EndpointConnection>(m_io);
    connection->address = address;
    connects.add();
    ErrorCode ec;
    connection->socket.open(endpoint.value().protocol(), ec);
    if (!ec && m_ingress) {
        connection->ingress = m_ingress;
        connection->unreadShare.emplace(m_ingress->budget().sockets);
        limitReceiveBuffer(connection->socket.native_handle());
    }
    if (!ec) {
        const SocketDeadline deadline(connection->socket, timeout);
        co_await connection->socket.async_connect(endpoint.value(), net::redirect_error(net::use_awaitable, ec));
    }
    if (error != nullptr)
        *error = ec;
    if (ec || !connection->socket.is_open())
        co_return nullptr;
    configureConnection(connection->socket.native_handle());
    co_return connection;
}

void EndpointPool::putIdle(EndpointConnectionPtr connection, Time now)
{
    if (connection->failed.size() > MaxFailedRequestsPerConnection)
        return;
    connection->idleUntil = now + idleTimeoutOf(connection->keepAliveHeader);
    std::deque<EndpointConnectionPtr> &idle = m_idle[connection->address];
    idle.push_back(std::move(connection));
    if (idle.size() > MaxIdleConnectionsPerEndpoint)
        idle.pop_front();
}

void EndpointPool::closeIdle(const std::string &address)
{
    m_idle.erase(address);
}

void EndpointPool::closeExpired(Time now)
{
    for (std::pair<const std::string, std::deque<EndpointConnectionPtr>> &it : m_idle) {
        std::erase_if(it.second, [&](const EndpointConnectionPtr &connection) { return now >= connection->idleUntil; });
    }
    std::erase_if(m_idle, [](const auto &it) { return it.second.empty(); });
}

Task<std::optional<CallAnswer>> callOnConnection(EndpointConnection &connection, std::string method, std::string path,
                                                 std::vector<HeaderField> headers, std::string body, Millis timeout, bool &reusable)
{
    reusable = false;
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", method, path, connection.address, body.size());
    for (const HeaderField &it : headers)
        bytes += fmt::format("{}: {}\r\n", it.name, it.value);
    bytes += "\r\n" + body;
    ErrorCode ec;
    std::optional<AnswerParser> parser;
    {
        const SocketDeadline deadline(connection.socket, timeout);
        co_await net::async_write(connection.socket, net::buffer(bytes), net::redirect_error(net::use_awaitable, ec));
        if (!ec)
            ec = co_await readAnswer(connection, parser);
    }
    if (ec)
        co_return std::nullopt;
    http::response<http::string_body> response = parser->release();
    connection.keepAliveHeader = std::string(response[http::field::keep_alive]);
    connection.used = true;
    reusable = response.keep_alive() && connection.buffer.size() == 0;
    co_return CallAnswer{response.result_int(), std::move(response.body()), std::move(response.base())};
}

Task<std::optional<CallAnswer>> callEndpoint(EndpointPool &pool, std::string address, std::string method, std::string path,
                                             std::vector<HeaderField> headers, std::string body, Millis timeout,
                                             std::function<bool()> permitted)
{
    EndpointConnectionPtr connection = pool.takeIdle(address, monotonicNow());
    if (!connection)
        connection = co_await pool.connect(address, timeout);
    if (!connection)
        co_return std::nullopt;
    if (permitted && !permitted()) {
        pool.putIdle(std::move(connection), monotonicNow());
        co_return std::nullopt;
    }
    bool reusable = false;
    std::optional<CallAnswer> answer = co_await callOnConnection(*connection, std::move(method), std::move(path), std::move(headers),
                                                                 std::move(body), timeout, reusable);
    if (reusable)
        pool.putIdle(std::move(connection), monotonicNow());
    co_return answer;
}

} // namespace roserail
