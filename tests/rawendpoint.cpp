#include "rawendpoint.h"

#include "loopback.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail::test
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds CallTimeout{10};

std::string headerValue(const std::string &request, const std::string &name)
{
    const size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const size_t from = at + name.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
}

// Reads one request with a length. Returns an empty string if the connection has ended.
std::string readRequest(int connection)
{
    std::string request;
    char buf[4096];
    while (true) {
        const size_t end = request.find("\r\n\r\n");
        if (end != std::string::npos
            && request.size() >= end + 4 + std::strtoul(headerValue(request, "Content-Length").c_str(), nullptr, 10))
            return request;
        const ssize_t n = ::recv(connection, buf, sizeof buf, 0);
        if (n <= 0)
            return "";
        request.append(buf, size_t(n));
    }
}

void resetOnClose(int connection)
{
    const linger abort{1, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

} // namespace

RawEndpoint::RawEndpoint(Script script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), size);
    ::listen(m_listener, 64);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { acceptConnections(); });
}

RawEndpoint::~RawEndpoint()
{
    m_stop = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int it : m_connections)
            ::shutdown(it, SHUT_RDWR);
    }
    for (std::thread &it : m_threads)
        it.join();
    ::close(m_listener);
}

std::string RawEndpoint::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::vector<std::string> RawEndpoint::requests()
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

size_t RawEndpoint::connections()
{
    const std::lock_guard lock(m_mutex);
    return m_accepted;
}

size_t RawEndpoint::openConnections()
{
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
}

void RawEndpoint::acceptConnections()
{
    while (!m_stop) {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            return;
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        ++m_accepted;
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void RawEndpoint::serve(int connection)
{
    AnswerEnd end = AnswerEnd::KeepOpen;
    while (end == AnswerEnd::KeepOpen) {
        const std::string request = readRequest(connection);
        if (request.empty())
            break;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        RawAnswer answer = m_script(request);
        const size_t id = answer.bytes.find("{id}");
        if (id != std::string::npos)
            answer.bytes.replace(id, 4, headerValue(request, "X-Request-Id"));
        end = answer.end;
        const std::chrono::steady_clock::time_point endsAt = std::chrono::steady_clock::now() + answer.endsAfter;
        bool sent = send(connection, answer.bytes);
        for (const std::string &it : answer.later) {
            std::this_thread::sleep_for(answer.pause);
            sent = sent && !m_stop && send(connection, it);
        }
        while (sent && end == AnswerEnd::Endless && !m_stop && std::chrono::steady_clock::now() < endsAt) {
            std::this_thread::sleep_for(answer.pause);
            sent = send(connection, answer.repeated);
        }
    }
    if (end == AnswerEnd::Reset)
        resetOnClose(connection);
    const std::lock_guard lock(m_mutex);
    m_connections.remove(connection);
    ::close(connection);
}

bool RawEndpoint::send(int connection, const std::string &bytes)
{
    size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t n = ::send(connection, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += size_t(n);
        m_bytesSent += size_t(n);
    }
    return true;
}

ReceivedAnswer callRaw(int port, const std::string &request)
{
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code result = boost::asio::error::timed_out;
    stream.expires_after(CallTimeout);
    stream.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), uint16_t(port)));
    boost::asio::write(stream, boost::asio::buffer(request));
    http::async_read(stream, buffer, parser, [&result](const beast::error_code &ec, size_t) { result = ec; });
    io.run();
    ReceivedAnswer answer;
    answer.complete = !result;
    if (parser.is_header_done())
        answer.status = parser.get().result_int();
    answer.keepsConnection = answer.complete && parser.keep_alive();
    answer.body = parser.get().body();
    return answer;
}

size_t sendWithoutEnd(int port, const std::string &begin, const std::string &repeated, size_t maxBytes)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), uint16_t(port)));
    beast::error_code ec;
    size_t sentBytes = boost::asio::write(socket, boost::asio::buffer(begin), ec);
    while (!ec && sentBytes < maxBytes)
        sentBytes += boost::asio::write(socket, boost::asio::buffer(repeated), ec);
    return sentBytes;
}

} // namespace roserail::test
