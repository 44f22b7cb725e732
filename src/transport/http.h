// HTTP/1.1 on one thread with coroutines: a server whose handlers see the caller's connection, and what client and
// server have in common.
#pragma once

#include "protocol/platformcodec.h"
#include "state/routes.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace roserail
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
template <typename T = void>
using Task = net::awaitable<T>;
using ErrorCode = boost::system::error_code;

// Parses "ip:port". Errors are BadRequest.
Result<tcp::endpoint> parseEndpoint(const std::string &text);

// Sets what every connection needs: no delay, and a bound on how long a silent peer goes unnoticed.
void configureSocket(tcp::socket &socket);

// True for headers that concern one connection only.
bool isHopByHop(std::string_view name);

// True if an idle connection was closed or has bytes that nobody asked for.
bool hasUnexpectedInput(tcp::socket &socket);

// One caller's connection and the request that was read from it last.
class CallerConnection
{
public:
    explicit CallerConnection(tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }
    const http::request<http::string_body> &request() const
    {
        return m_request;
    }
    tcp::socket &socket()
    {
        return m_socket;
    }
    std::string_view header(std::string_view name) const;
    // Looks headers up by name; valid as long as the connection.
    PlatformCodec::Lookup lookup() const;
    // What the request asks the system itself for, if anything.
    Call call(const PlatformCodec &codec) const;
    // Sends a whole answer. False if the caller has gone.
    Task<bool> answer(unsigned status, std::vector<HeaderField> headers, std::string body);
    // Sends a whole answer without headers of its own.
    Task<bool> answer(unsigned status);
    // Sends bytes of an answer that the handler frames itself.
    Task<bool> write(std::string bytes);
    // The connection ends after this answer.
    void closeAfterAnswer()
    {
        m_keepAlive = false;
    }
    bool keepAlive() const
    {
        return m_keepAlive;
    }
    // The answer is broken off: the connection ends so that it looks incomplete.
    void abort();
    Time arrivedAt() const
    {
        return m_arrivedAt;
    }

private:
    friend class HttpServer;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    bool m_keepAlive = true;
    bool m_aborted = false;
    Time m_arrivedAt{};
    Time m_expiresAt = Time::max(); // the server closes the connection then
};

using HttpHandler = std::function<Task<>(CallerConnection &)>;

// Listens on one address and runs the handler for each request. Must outlive the io_context's run.
class HttpServer
{
public:
    HttpServer(net::io_context &io, HttpHandler handler);
    // Errors are BadSettings.
    Result<void> listen(const std::string &address);
    void setLimits(const IngressLimits &limits)
    {
        m_limits = limits;
    }
    // Answers end their connections from now on.
    void drain()
    {
        m_draining = true;
    }

private:
    Task<> acceptConnections();
    Task<> serve(std::shared_ptr<CallerConnection> connection);
    Task<bool> readRequest(CallerConnection &connection);
    Task<> refuse(CallerConnection &connection, const ErrorCode &ec);
    Task<> lingeringClose(CallerConnection &connection);
    Task<> sweep();

    net::io_context &m_io;
    HttpHandler m_handler;
    tcp::acceptor m_acceptor;
    net::steady_timer m_sweepTimer;
    IngressLimits m_limits;
    bool m_draining = false;
    std::list<std::shared_ptr<CallerConnection>> m_connections;
};

// Answers with the process's metrics as text, or with what `dump` tells if the path is /dump.
Task<> answerMonitoring(CallerConnection &caller, const std::function<std::string()> &dump);

} // namespace roserail
