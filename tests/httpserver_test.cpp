// Tests of the HTTP server in the test's own process, with callers that use their connections while it closes them.
#define BOOST_TEST_MODULE httpserver
#include "state/tunables.h"
#include "transport/boundedserver.h"
#include "transport/clock.h"
#include "transport/http.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <thread>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int Port = 29950;
constexpr Millis ResetTime{200}; // within which the reset reaches the caller
const std::string RequestText = "POST /x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody";

// Why the server closes a connection that is idle.
struct IdleClose {
    const char *name;
    bool stops;
    Millis idleTimeout;
};

std::ostream &operator<<(std::ostream &out, const IdleClose &it)
{
    return out << it.name;
}

const std::vector<IdleClose> IdleCloses{
    {"planned stop", true, std::chrono::seconds(30)},
    {"idle time-out", false, Millis(100)},
};

// A server that answers each request, on a thread of its own.
class Server
{
public:
    explicit Server(Millis idleTimeout, bool drainsAfterAnswer = false)
        : m_drainsAfterAnswer(drainsAfterAnswer)
    {
        IngressLimits limits;
        limits.idleTimeout = idleTimeout;
        m_server.setLimits(limits);
        BOOST_REQUIRE(m_server.listen(fmt::format("127.0.0.1:{}", Port)).has_value());
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~Server()
    {
        m_io.stop();
        m_thread.join();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void finish()
    {
        net::post(m_io, [this] { m_server.finish(); });
    }

private:
    Task<> answer(CallerConnection &caller)
    {
        co_await caller.answer(200);
        if (m_drainsAfterAnswer)
            m_server.drain();
    }

    const bool m_drainsAfterAnswer;
    net::io_context m_io{1};
    HttpServer m_server{m_io, [this](CallerConnection &caller) {
                            return answer(caller);
                        }};
    std::thread m_thread;
};

// Reads until the server has ended the connection or `text` has arrived.
std::string readUntil(tcp::socket &socket, const std::string &text)
{
    std::string bytes;
    std::array<char, 4096> buf;
    ErrorCode ec;
    while (!ec && (text.empty() || bytes.find(text) == std::string::npos))
        bytes.append(buf.data(), socket.read_some(net::buffer(buf), ec));
    return bytes;
}

// Returns the error of a socket, for which it waits for a time.
int socketError(tcp::socket &socket, Millis timeout)
{
    const Time limit = monotonicNow() + timeout;
    int error = 0;
    while (error == 0 && monotonicNow() < limit) {
        socklen_t size = sizeof error;
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        std::this_thread::sleep_for(Millis(1));
    }
    return error;
}

} // namespace

// Guards against a request that crosses the close of an idle connection and is read and dropped: without a reset, its caller can't know
// that it did not run.
BOOST_DATA_TEST_CASE(requestThatCrossesTheCloseOfAnIdleConnectionIsReset, bdata::make(IdleCloses), idleClose)
{
    Server server(idleClose.idleTimeout);
    net::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(net::ip::address_v4::loopback(), Port));
    net::write(socket, net::buffer(RequestText));
    BOOST_TEST(readUntil(socket, "\r\n\r\n").find(" 200 ") != std::string::npos);
    if (idleClose.stops)
        server.finish();
    BOOST_TEST(readUntil(socket, "").empty());
    net::write(socket, net::buffer(RequestText));
    const int error = socketError(socket, ResetTime);
    BOOST_TEST((error == ECONNRESET || error == EPIPE), "error " << error);
}

// Guards against a planned stop that drops a request on a connection which its last answer has told the caller to keep.
BOOST_AUTO_TEST_CASE(connectionThatAnAnswerKeepsIsUsedOnceMoreAfterAStop)
{
    const Server server(std::chrono::seconds(30), true);
    net::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(net::ip::address_v4::loopback(), Port));
    net::write(socket, net::buffer(RequestText));
    BOOST_TEST(readUntil(socket, "\r\n\r\n").find("Connection: close") == std::string::npos);
    net::write(socket, net::buffer(RequestText));
    const std::string answer = readUntil(socket, "");
    BOOST_TEST(answer.find(" 200 ") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

// Guards against a second process that is started with the address of one that listens, and gets part of its callers.
BOOST_AUTO_TEST_CASE(addressOfAListeningServerIsRefusedToAnother)
{
    const ProcessLimits limits{tunables::DefaultMemory, tunables::DefaultDescriptors};
    BoundedServer first(limits);
    BoundedServer second(limits);
    const int port = first.bind_to_any_port("127.0.0.1");
    BOOST_REQUIRE(port > 0);
    BOOST_TEST(!second.bind_to_port("127.0.0.1", port));
}

// Guards against a process that can't be started again while connections of its callers wait in TIME_WAIT.
BOOST_AUTO_TEST_CASE(serverListensAgainAfterItHasClosedConnections)
{
    const ProcessLimits limits{tunables::DefaultMemory, tunables::DefaultDescriptors};
    int port = 0;
    {
        BoundedServer server(limits);
        server.Get("/x", [](const httplib::Request &, httplib::Response &) {});
        port = server.bind_to_any_port("127.0.0.1");
        BOOST_REQUIRE(port > 0);
        std::thread thread([&] { server.listen_after_bind(); });
        net::io_context io;
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(net::ip::address_v4::loopback(), uint16_t(port)));
        net::write(socket, net::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
        BOOST_TEST(readUntil(socket, "").find(" 200 ") != std::string::npos);
        socket.close(); // after the server, whose port is now in TIME_WAIT
        server.stop();
        thread.join();
    }
    BoundedServer again(limits);
    BOOST_TEST(again.bind_to_port("127.0.0.1", port));
}
