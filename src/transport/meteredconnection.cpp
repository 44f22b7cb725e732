#include "transport/meteredconnection.h"

#include "transport/socketoptions.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace roserail
{

namespace
{

constexpr size_t ReadBytes = 16u << 10;
constexpr int ReadsPerTurn = 16; // of one connection, before others have their turn

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

MeteredConnection::MeteredConnection(int peer, int inner, IngressBudget &budget, PeerCalls::Grow grow, Time now)
    : m_peer(peer)
    , m_inner(inner)
    , m_unreadShare(budget.sockets)
    , m_calls(std::make_unique<PeerCalls>(budget, std::move(grow)))
    , m_answers(*m_calls)
    , m_requests{peer, inner, Http2Reader(true)}
    , m_replies{inner, peer, Http2Reader(false)}
    , m_received{now, 0}
{
    growSocketBuffers(m_peer, m_unreadShare);
}

MeteredConnection::~MeteredConnection()
{
    ::close(m_peer);
    ::close(m_inner);
}

std::string MeteredConnection::address() const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (::getpeername(m_peer, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return "unknown";
    const void *bytes = address.ss_family == AF_INET6
        ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 &>(address).sin6_addr)
        : &reinterpret_cast<const sockaddr_in &>(address).sin_addr;
    const char *found = ::inet_ntop(address.ss_family, bytes, text.data(), text.size());
    return found == nullptr ? "unknown" : found;
}

uint32_t MeteredConnection::peerEvents() const
{
    const bool reads = !m_requests.ended && m_requests.pending.empty() && m_replies.pending.empty();
    return (reads ? POLLIN : 0) | (m_replies.pending.empty() ? 0 : POLLOUT);
}

uint32_t MeteredConnection::innerEvents() const
{
    const bool reads = !m_replies.ended && m_replies.pending.empty();
    return (reads ? POLLIN : 0) | (m_requests.pending.empty() ? 0 : POLLOUT);
}

bool MeteredConnection::pass(Time now, bool innerReady)
{
    m_calls->setNow(now);
    if ((innerReady || !m_replies.pending.empty()) && !pass(m_replies, m_answers, nullptr))
        return false;
    if ((!innerReady || !m_requests.pending.empty()) && !pass(m_requests, *m_calls, &m_replies))
        return false;
    return !m_brokenOff && !(m_replies.ended && m_replies.pending.empty());
}

void MeteredConnection::breakOff()
{
    m_brokenOff = true;
    m_calls->release();
    ::shutdown(m_peer, SHUT_RDWR);
    ::shutdown(m_inner, SHUT_RDWR);
}

// Passes bytes of a direction on. `answers`: as long as the peer doesn't take them, nothing is read. Returns false if the connection has to
// be ended.
bool MeteredConnection::pass(Direction &direction, FrameObserver &observer, const Direction *answers)
{
    Step step = Step::Passed;
    if (!direction.pending.empty())
        step = send(direction, std::exchange(direction.pending, std::string()));
    for (int i = 0; i < ReadsPerTurn && step == Step::Passed && !direction.ended; ++i) {
        if (answers != nullptr && !answers->pending.empty())
            break;
        step = receive(direction, observer);
    }
    return step != Step::MustEnd;
}

MeteredConnection::Step MeteredConnection::receive(Direction &direction, FrameObserver &observer)
{
    std::array<char, ReadBytes> buf;
    const ssize_t n = ::recv(direction.from, buf.data(), buf.size(), 0);
    if (n < 0)
        return wouldBlock() ? Step::MustWait : Step::MustEnd;
    if (n == 0) {
        direction.ended = true;
        ::shutdown(direction.to, SHUT_WR);
        return Step::MustWait;
    }
    const std::string_view bytes(buf.data(), size_t(n));
    if (&direction == &m_requests)
        m_received.bytes += bytes.size();
    if (!direction.reader.read(bytes, observer) || m_brokenOff)
        return Step::MustEnd;
    const Step step = send(direction, bytes);
    return step == Step::Passed && bytes.size() < buf.size() ? Step::MustWait : step; // less than a whole read: no more has arrived
}

// Sends what the receiver takes and keeps the rest.
MeteredConnection::Step MeteredConnection::send(Direction &direction, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && wouldBlock()) {
            direction.pending.assign(bytes);
            return Step::MustWait;
        }
        if (n < 0 && &direction == &m_requests) {
            direction.ended = true; // gRPC has closed the connection; its last answers still pass
            return Step::MustWait;
        }
        if (n < 0)
            return Step::MustEnd;
        bytes.remove_prefix(size_t(n));
    }
    return Step::Passed;
}

bool MeteredConnection::Answers::onFrame(const FrameHead &head)
{
    if (head.endsStream())
        calls.end(head.call);
    if (head.isAck())
        calls.acknowledge();
    return true;
}

bool MeteredConnection::Answers::onData(CallId, std::string_view)
{
    return true;
}

} // namespace roserail
