// HTTP/1.1 server with coroutines on one thread, whose handlers access the caller's connection, and functions shared by
// client and server.
#pragma once

#include "protocol/platformcodec.h"
#include "state/routes.h"
#include "transport/ingress.h"

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

// Returns whether a header applies to one connection only and must not be forwarded.
bool isHopByHop(std::string_view name);

// Returns whether HTTP has such a status: from 100 to 599. The parser accepts any three digits.
constexpr bool isHttpStatus(unsigned status)
{
    return status >= 100 && status < 600;
}

// Returns whether the peer of an idle connection has closed it or sent bytes.
bool hasUnexpectedInput(tcp::socket &socket);

// Returns whether the peer has closed the connection, and all that it has sent was read.
bool isClosedByPeer(tcp::socket &socket);

// What the server does with a connection.
enum class ConnectionStage {
    Idle, // waits for the first byte of a request
    Reading,
    Answering,
    Closing, // waits for the caller to close its end
};

// A caller's connection and the request last read from it.
class CallerConnection
{
public:
    CallerConnection(tcp::socket socket, std::shared_ptr<Ingress> ingress)
        : m_socket(std::move(socket))
        , m_ingress(std::move(ingress))
        , m_unreadShare(m_ingress->budget().sockets)
        , m_headShare(m_ingress->budget().heads)
        , m_bodyShare(m_ingress->budget().bodies)
    {
    }
    Ingress &ingress()
    {
        return *m_ingress;
    }
    const http::request<http::string_body> &request() const
    {
        return m_request;
    }
    tcp::socket &socket()
    {
        return m_socket;
    }
    const tcp::socket &socket() const
    {
        return m_socket;
    }
    std::string_view header(std::string_view name) const;
    // Returns a function that finds headers of the request by name. Valid as long as the connection exists.
    PlatformCodec::Lookup lookup() const;
    // Returns which API call the request is, or Forward if it is meant for an endpoint.
    Call call(const PlatformCodec &codec) const;
    // Sends a complete answer. Returns false if the caller has disconnected.
    Task<bool> answer(unsigned status, std::vector<HeaderField> headers, std::string body);
    // Sends a complete answer without a body or additional headers.
    Task<bool> answer(unsigned status);
    // Sends bytes of an answer whose head and framing the handler writes itself.
    Task<bool> write(std::string bytes, std::string_view more = {});
    // Begins an answer that ends with its connection. Until endUnframed() the connection is reset if it closes for any reason,
    // the end of this process included, so that the caller recognizes the answer as incomplete.
    void beginUnframed();
    void endUnframed();
    // Returns whether the connection is kept after the answer whose head is being written. Later calls of drain() don't change it: a
    // caller may send the next request at once.
    bool announceKeepAlive()
    {
        m_keepAliveAnnounced = true;
        return m_keepAlive;
    }
    // Closes the connection when the handler returns, so that the caller recognizes the answer as incomplete.
    void abort();
    Time arrivedAt() const
    {
        return m_arrivedAt;
    }
    const Transfer &transfer() const
    {
        return m_transfer;
    }
    // Returns the caller's address, for the log.
    std::string peer() const;

private:
    friend class HttpServer;
    friend class Ingress;
    friend struct BoundedBody;
    // Makes room for a body of this size. Returns false if there is none.
    bool reserveBody(size_t bytes);
    // Frees what has been read of a request, and ends its reading.
    void breakOff();

    tcp::socket m_socket;
    std::shared_ptr<Ingress> m_ingress;
    boost::beast::flat_buffer m_buffer;
    BufferShare m_unreadShare; // what may wait in the kernel
    BufferShare m_headShare; // of the request being read
    BufferShare m_bodyShare;
    std::string m_body; // of the request being read
    uint64_t m_maxBodyBytes = 0;
    Transfer m_transfer; // of the request being read, or of the bytes being written
    bool m_writing = false;
    bool m_brokenOff = false; // to make room
    http::request<http::string_body> m_request;
    ConnectionStage m_stage = ConnectionStage::Idle;
    bool m_keepAlive = true;
    bool m_keepAliveAnnounced = false; // the head of the answer in progress is written
    bool m_aborted = false;
    Time m_arrivedAt{};
    Time m_expiresAt = Time::max(); // when the server closes the connection
};

using HttpHandler = std::function<Task<>(CallerConnection &)>;

// Listens on one address and runs the handler for each request. Must not be destroyed while the io_context runs.
class HttpServer
{
public:
    // `descriptorShare`: of the descriptors of the process, for connections to this server.
    HttpServer(net::io_context &io, HttpHandler handler, std::shared_ptr<Ingress> ingress, double descriptorShare);
    // A server with resources of its own.
    HttpServer(net::io_context &io, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    // Errors are BadSettings.
    Result<void> listen(const std::string &address);
    void setLimits(const IngressLimits &limits)
    {
        m_limits = limits;
    }
    // Closes connections after their next answer from now on.
    void drain();
    // Stops listening, after accepting the connections that the kernel has queued, and closes connections that stay idle. Requests
    // that arrive until then are handled.
    void finish();
    // Refuses the requests that have not arrived whole.
    void stopReading();
    // Returns the number of open connections.
    size_t connections() const
    {
        return m_connections.size();
    }
    // Returns the number of connections at a stage.
    size_t connections(ConnectionStage stage) const;

private:
    friend class Ingress;
    using Connections = std::list<std::shared_ptr<CallerConnection>>;

    Task<bool> acceptConnection();
    void startServing(tcp::socket socket);
    Task<> serve(Connections::iterator position);
    void remove(Connections::iterator position);
    Task<bool> waitForRequest(CallerConnection &connection);
    Task<bool> readRequest(CallerConnection &connection);
    template <typename Parser>
    Task<> readBody(CallerConnection &connection, Parser &parser, ErrorCode &ec);
    Task<> refuse(CallerConnection &connection, const ErrorCode &ec);
    Task<> lingeringClose(CallerConnection &connection);
    Task<bool> sweep();
    bool makeConnectionFree();

    net::io_context &m_io;
    HttpHandler m_handler;
    std::shared_ptr<Ingress> m_ingress;
    size_t m_maxConnections;
    tcp::acceptor m_acceptor;
    net::steady_timer m_sweepTimer;
    IngressLimits m_limits;
    bool m_draining = false;
    bool m_finishing = false;
    Connections m_connections;
};

// Answers with the metrics of the process as text, or with the result of `dump` if the path is /dump.
Task<> answerMonitoring(CallerConnection &caller, const std::function<std::string()> &dump);

} // namespace roserail
