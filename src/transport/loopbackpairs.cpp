#include "transport/loopbackpairs.h"

#include "transport/socketoptions.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail
{

namespace
{

constexpr int Backlog = 16; // a pair at a time, and connections of other processes

sockaddr_in addressOf(int (*get)(int, sockaddr *, socklen_t *), int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    get(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return address;
}

void configure(int socket)
{
    setSocketOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
}

void setBuffers(int socket, int bytes)
{
    setSocketOption(socket, SOL_SOCKET, SO_RCVBUF, bytes);
    setSocketOption(socket, SOL_SOCKET, SO_SNDBUF, bytes);
}

} // namespace

LoopbackPairs::LoopbackPairs(int bufferBytes)
    : m_bufferBytes(bufferBytes)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    setBuffers(m_listener, m_bufferBytes); // accepted sockets inherit it
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::listen(m_listener, Backlog);
}

LoopbackPairs::~LoopbackPairs()
{
    if (m_listener >= 0)
        ::close(m_listener);
}

std::optional<std::array<int, 2>> LoopbackPairs::open()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return std::nullopt;
    setBuffers(socket, m_bufferBytes);
    const sockaddr_in to = addressOf(::getsockname, m_listener);
    // The connection exists before it is accepted, so that this doesn't wait.
    const bool connected = ::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    const int other = connected ? acceptFrom(socket) : -1;
    if (other < 0) {
        ::close(socket);
        return std::nullopt;
    }
    configure(socket);
    configure(other);
    return std::array{socket, other};
}

// Accepts the connection of the socket, and closes those that other processes have opened.
int LoopbackPairs::acceptFrom(int socket) const
{
    const sockaddr_in expected = addressOf(::getsockname, socket);
    while (true) {
        const int other = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (other < 0)
            return -1;
        const sockaddr_in found = addressOf(::getpeername, other);
        if (found.sin_port == expected.sin_port && found.sin_addr.s_addr == expected.sin_addr.s_addr)
            return other;
        ::close(other);
    }
}

} // namespace roserail
