#include "cutproxy.h"

#include "loopback.h"

#include <array>
#include <chrono>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace roserail::test
{

namespace
{

constexpr int PollMillis = 20;
constexpr int QueueLength = 1; // of the listener, so that few connections fill it
constexpr int Fillers = 4; // more than the queue holds

int connectTo(int port, int flags)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    const sockaddr_in address = loopback(port);
    ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return socket;
}

void reset(int socket)
{
    const linger value{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &value, sizeof value);
    ::shutdown(socket, SHUT_RD);
}

// Copies what can be read. Returns false at the end of the connection.
bool copy(int from, int to)
{
    std::array<char, 16384> buf;
    const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
    return n > 0 && ::send(to, buf.data(), size_t(n), MSG_NOSIGNAL) == n;
}

} // namespace

std::ostream &operator<<(std::ostream &out, CutKind kind)
{
    constexpr std::array names{"hang", "reset", "refuse new ones", "reset and refuse"};
    return out << names[size_t(kind)];
}

CutProxy::CutProxy(int targetPort)
    : m_targetPort(targetPort)
{
    listen();
    m_acceptThread = std::thread([this] { acceptConnections(); });
}

CutProxy::~CutProxy()
{
    m_stop = true;
    m_acceptThread.join();
    closeListener();
    for (Link &it : m_links)
        it.thread.join();
    for (const int it : m_fillers)
        ::close(it);
}

std::string CutProxy::address() const
{
    return fmt::format("127.0.0.1:{}", m_port);
}

void CutProxy::listen()
{
    const std::lock_guard lock(m_mutex);
    const int on = 1;
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(m_port);
    ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    ::listen(m_listener, 64);
}

void CutProxy::closeListener()
{
    const std::lock_guard lock(m_mutex);
    ::close(m_listener);
    m_listener = -1;
}

void CutProxy::acceptConnections()
{
    while (!m_stop) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        const std::lock_guard lock(m_mutex);
        const int caller = m_accepting && m_listener >= 0 ? ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (caller < 0)
            continue;
        Link &link = m_links.emplace_back();
        link.caller = caller;
        link.target = connectTo(m_targetPort, 0);
        link.thread = std::thread([this, &link] { pump(link); });
    }
}

void CutProxy::pump(const Link &link)
{
    bool open = true;
    while (open && !m_stop) {
        if (m_silent) {
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
            continue;
        }
        std::array<pollfd, 2> sockets{pollfd{link.caller, POLLIN, 0}, pollfd{link.target, POLLIN, 0}};
        if (::poll(sockets.data(), sockets.size(), PollMillis) <= 0 || m_silent)
            continue;
        if (sockets[0].revents != 0)
            open = copy(link.caller, link.target);
        if (open && sockets[1].revents != 0)
            open = copy(link.target, link.caller);
    }
    ::close(link.caller);
    ::close(link.target);
}

void CutProxy::cut(CutKind kind)
{
    const bool refuse = kind == CutKind::RefuseNew || kind == CutKind::ResetAndRefuse;
    if (refuse)
        closeListener();
    m_accepting = refuse;
    m_silent = kind == CutKind::Hang;
    const std::lock_guard lock(m_mutex);
    if (!refuse) {
        ::listen(m_listener, QueueLength);
        for (int n = 0; n < Fillers; ++n)
            m_fillers.push_back(connectTo(m_port, SOCK_NONBLOCK));
    }
    if (kind == CutKind::Reset || kind == CutKind::ResetAndRefuse) {
        for (const Link &it : m_links)
            reset(it.caller);
    }
}

void CutProxy::heal()
{
    if (m_listener < 0)
        listen();
    for (const int it : m_fillers)
        ::close(it);
    m_fillers.clear();
    m_silent = false;
    m_accepting = true;
}

} // namespace roserail::test
