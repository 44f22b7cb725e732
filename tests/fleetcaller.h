// Callers with connections of their own, which tell how an entry host ends their requests.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fmt/format.h>
#include <optional>
#include <ostream>
#include <string>
#include <thread>

namespace roserail::test
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr Ms ReadSlack{200}; // after its last byte a request may still be closed unread
constexpr Ms AnswerTimeout{12000};
constexpr Ms RefusalPause{20}; // of a refused caller

// What callers send until the process is gone.
struct Load {
    const char *name;
    std::string path;
    const char *model; // empty: a request to the plain service
    int deadlineMs; // that the caller states; 0: none
    int callers;
    int bodyPauseMs; // between the pieces of a body in chunks; 0: the body is sent whole
    bool servedAfterSignal; // requests are short enough to be taken after the signal
    const char *method = "POST";
};

inline std::ostream &operator<<(std::ostream &out, const Load &load)
{
    return out << load.name;
}

struct Outcome {
    std::string id;
    bool answered = false; // with a whole answer
    unsigned status = 0;
    Ms sinceSent{0}; // from the last byte of the request to the end
    Ms sentAt{0}; // when the last byte was sent; of the steady clock
};

// A caller with a connection of its own, which it keeps as long as the host does, or not at all.
class Caller
{
public:
    Caller(int port, bool keepsConnection)
        : m_port(port)
        , m_keepsConnection(keepsConnection)
    {
    }
    // Returns false if the host can't be connected to.
    bool connect()
    {
        if (m_connected)
            return true;
        beast::error_code ec;
        m_buffer.clear();
        m_stream.emplace(m_io);
        m_stream->connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), uint16_t(m_port)), ec);
        m_connected = !ec;
        return m_connected;
    }
    // Sends a request and reads its answer.
    Outcome send(const Load &load, const std::string &id)
    {
        const std::string head
            = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\n{}{}{}", load.method, load.path, id,
                          std::string(load.model).empty() ? "" : fmt::format("X-Model: {}\r\n", load.model),
                          load.deadlineMs == 0 ? "" : fmt::format("X-Deadline-Ms: {}\r\n", load.deadlineMs),
                          load.bodyPauseMs == 0 ? "Content-Length: 4\r\n\r\nbody" : "Transfer-Encoding: chunked\r\n\r\n");
        Outcome outcome;
        outcome.id = id;
        beast::error_code ec;
        boost::asio::write(m_stream->socket(), boost::asio::buffer(head), ec);
        for (const char *piece : {"2\r\nbo\r\n", "2\r\ndy\r\n", "0\r\n\r\n"}) {
            if (load.bodyPauseMs == 0 || ec)
                break;
            std::this_thread::sleep_for(Ms(load.bodyPauseMs));
            boost::asio::write(m_stream->socket(), boost::asio::buffer(std::string(piece)), ec);
        }
        const Clock::time_point sentAt = Clock::now();
        http::response_parser<http::string_body> parser;
        beast::error_code result = boost::asio::error::timed_out;
        m_stream->expires_after(AnswerTimeout);
        http::async_read(*m_stream, m_buffer, parser, [&result](const beast::error_code &error, size_t) { result = error; });
        m_io.restart();
        m_io.run();
        outcome.answered = !result;
        outcome.status = parser.is_header_done() ? parser.get().result_int() : 0;
        outcome.sinceSent = std::chrono::duration_cast<Ms>(Clock::now() - sentAt);
        outcome.sentAt = std::chrono::duration_cast<Ms>(sentAt.time_since_epoch());
        if (result || !parser.get().keep_alive() || !m_keepsConnection) {
            m_connected = false;
            m_stream->close();
        }
        return outcome;
    }

private:
    int m_port;
    bool m_keepsConnection;
    bool m_connected = false;
    boost::asio::io_context m_io;
    std::optional<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
};

} // namespace roserail::test
