// A caller's connection to an HttpServer: the request that was read from it, and the answer that is written to it.
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/http.h"
#include "transport/ingress.h"
#include "transport/socketoptions.h"

#include <fmt/format.h>
#include <limits>

namespace roserail
{

using namespace tunables;

namespace
{

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Sets whether closing the socket resets the connection and discards what has not been sent yet.
void resetOnClose(tcp::socket &socket, bool reset)
{
    const linger value{reset ? 1 : 0, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

} // namespace

bool CallerConnection::reserveBody(size_t bytes)
{
    if (m_brokenOff)
        return false;
    if (bytes <= m_body.capacity())
        return true;
    const size_t capacity = std::max(bytes, std::min<size_t>(2 * m_body.capacity(), m_maxBodyBytes));
    // While the body moves, both blocks exist.
    if (!m_ingress->grow(m_bodyShare, m_body.capacity() + capacity, std::numeric_limits<size_t>::max()))
        return false;
    m_body.reserve(capacity);
    m_bodyShare.resize(m_body.capacity(), std::numeric_limits<size_t>::max());
    return true;
}

void CallerConnection::breakOff()
{
    ErrorCode ec;
    if (m_writing) {
        m_aborted = true;
        m_socket.close(ec);
        return;
    }
    m_brokenOff = true;
    std::string().swap(m_body);
    m_bodyShare.release();
    m_headShare.release();
    m_socket.cancel(ec);
}

std::string CallerConnection::peer() const
{
    ErrorCode ec;
    const tcp::endpoint endpoint = m_socket.remote_endpoint(ec);
    return ec ? std::string("unknown") : endpoint.address().to_string();
}

std::string_view CallerConnection::header(std::string_view name) const
{
    return view(m_request[boost::beast::string_view(name.data(), name.size())]);
}

PlatformCodec::Lookup CallerConnection::lookup() const
{
    return [this](std::string_view name) {
        return header(name);
    };
}

Call CallerConnection::call(const PlatformCodec &codec) const
{
    return codec.classify(view(m_request.method_string()), view(m_request.target()));
}

Task<bool> CallerConnection::write(std::string bytes, std::string_view more)
{
    ErrorCode ec;
    std::array<net::const_buffer, 2> rest{net::buffer(bytes), net::buffer(more.data(), more.size())};
    if (bytes.size() + more.size() > MinUnsentBytes)
        growSocketBuffers(m_socket.native_handle(), m_unreadShare);
    m_transfer = Transfer{monotonicNow(), 0};
    m_writing = true;
    while (!ec && rest[0].size() + rest[1].size() > 0) {
        const size_t n = co_await m_socket.async_write_some(rest, net::redirect_error(net::use_awaitable, ec));
        const size_t fromFirst = std::min(n, rest[0].size());
        rest[0] += fromFirst;
        rest[1] += n - fromFirst;
        m_transfer.bytes += n;
    }
    m_writing = false;
    if (ec)
        m_aborted = true;
    co_return !ec;
}

Task<bool> CallerConnection::answer(unsigned status)
{
    return answer(status, std::vector<HeaderField>(), std::string());
}

Task<bool> CallerConnection::answer(unsigned status, std::vector<HeaderField> headers, std::string body)
{
    std::string bytes = fmt::format("HTTP/1.1 {} {}\r\n", status, view(http::obsolete_reason(http::status(status))));
    for (const HeaderField &it : headers)
        bytes += fmt::format("{}: {}\r\n", it.name, it.value);
    bytes += fmt::format("Content-Length: {}\r\n{}\r\n", body.size(), announceKeepAlive() ? "" : "Connection: close\r\n");
    if (m_request.method() == http::verb::head)
        body.clear();
    co_return co_await write(std::move(bytes), body);
}

void CallerConnection::beginUnframed()
{
    m_keepAlive = false;
    resetOnClose(m_socket, true);
}

void CallerConnection::endUnframed()
{
    resetOnClose(m_socket, false);
}

void CallerConnection::abort()
{
    m_aborted = true;
    m_keepAlive = false;
}

} // namespace roserail
