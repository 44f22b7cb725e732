// HTTP connection of a thread that waits for one answer, with limits to what the other side may send and to the time that it may take.
#pragma once

#include "state/tunables.h"
#include "transport/http.h"

#include <array>
#include <atomic>
#include <mutex>
#include <optional>

struct addrinfo;

namespace roserail
{

// Encodes the bytes of a decoded path that must not stand in a request line, and those that some services give a meaning.
std::string encodePath(const std::string &path);

class BlockingConnection
{
public:
    using Head = http::response<http::buffer_body>;

    // Operations fail with timed_out at the deadline, and reads if nothing is received for the idle time-out.
    BlockingConnection(Time deadline, Millis idleTimeout);
    ~BlockingConnection();
    BlockingConnection(const BlockingConnection &) = delete;
    BlockingConnection &operator=(const BlockingConnection &) = delete;

    void setDeadline(Time deadline)
    {
        m_deadline = deadline;
    }
    // Ends the operation in progress and fails later ones. May be called by any thread.
    void close();
    // Resolves the host and connects to the first of its addresses that accepts the connection.
    ErrorCode connect(const std::string &host, int port);
    ErrorCode send(std::string_view bytes);
    // Reads the head of the answer, and skips interim ones. `bodyless`: the answer to HEAD has no body, whatever its head says.
    ErrorCode readHead(bool bodyless = false);
    // The head that was read.
    const Head &head() const
    {
        return m_parser->get();
    }
    // Reads the next bytes of the body. They are empty if there are none yet, and after the end of the answer.
    ErrorCode readBody(std::string_view &bytes);
    // Returns whether the answer was received whole.
    bool done() const
    {
        return m_parser->is_done();
    }
    // Reads the rest of the body. Fails with body_limit if it has more than `maxBytes`.
    ErrorCode readWholeBody(std::string &body, size_t maxBytes);

private:
    // The socket as a stream of Beast.
    struct Stream {
        BlockingConnection &connection;

        template <typename Buffers>
        size_t read_some(const Buffers &buffers, ErrorCode &ec) // NOLINT(readability-identifier-naming)
        {
            const net::mutable_buffer buf = *net::buffer_sequence_begin(buffers);
            return connection.receive(static_cast<char *>(buf.data()), buf.size(), ec);
        }
        template <typename Buffers>
        size_t read_some(const Buffers &buffers) // NOLINT(readability-identifier-naming)
        {
            ErrorCode ec;
            const size_t n = read_some(buffers, ec);
            if (ec)
                throw boost::system::system_error(ec);
            return n;
        }
    };

    ErrorCode connectTo(const addrinfo &address);
    size_t receive(char *data, size_t size, ErrorCode &ec);
    // Waits until the socket is ready.
    ErrorCode wait(short events, Millis timeout) const;

    Time m_deadline;
    Millis m_idleTimeout;
    std::mutex m_mutex; // guards m_socket against close()
    int m_socket = -1;
    std::atomic<bool> m_closed{false};
    boost::beast::flat_buffer m_buffer{tunables::MaxUnparsedBytes};
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, tunables::BlockingReadBytes> m_body{};
};

} // namespace roserail
