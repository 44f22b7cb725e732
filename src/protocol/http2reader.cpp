#include "protocol/http2reader.h"

#include <algorithm>

namespace roserail
{

namespace
{

constexpr std::string_view ClientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr uint8_t EndStreamFlag = 0x1; // of DATA and HEADERS
constexpr uint8_t AckFlag = 0x1; // of SETTINGS and PING
constexpr uint8_t PaddedFlag = 0x8;
constexpr uint32_t StreamMask = 0x7fffffff; // the first bit is reserved

uint32_t readNumber(const uint8_t *bytes, size_t size)
{
    uint32_t n = 0;
    for (size_t i = 0; i < size; ++i)
        n = n << 8 | bytes[i];
    return n;
}

} // namespace

bool FrameHead::endsStream() const
{
    return type == FrameType::Reset || ((type == FrameType::Data || type == FrameType::Headers) && (flags & EndStreamFlag) != 0);
}

bool FrameHead::asksForAck() const
{
    return (type == FrameType::Settings || type == FrameType::Ping) && (flags & AckFlag) == 0;
}

bool FrameHead::isAck() const
{
    return (type == FrameType::Settings || type == FrameType::Ping) && (flags & AckFlag) != 0;
}

Http2Reader::Http2Reader(bool preface)
    : m_prefaceLeft(preface ? ClientPreface.size() : 0)
{
}

bool Http2Reader::read(std::string_view bytes, FrameObserver &observer)
{
    bool valid = true;
    while (valid && !bytes.empty()) {
        if (m_prefaceLeft > 0)
            valid = readPreface(bytes);
        else if (m_payloadLeft > 0)
            valid = readPayload(bytes, observer);
        else
            valid = readHead(bytes, observer);
    }
    return valid;
}

bool Http2Reader::readPreface(std::string_view &bytes)
{
    const size_t n = std::min(bytes.size(), m_prefaceLeft);
    if (bytes.substr(0, n) != ClientPreface.substr(ClientPreface.size() - m_prefaceLeft, n))
        return false;
    m_prefaceLeft -= n;
    bytes.remove_prefix(n);
    return true;
}

bool Http2Reader::readHead(std::string_view &bytes, FrameObserver &observer)
{
    const size_t n = std::min(bytes.size(), FrameHeadBytes - m_headSize);
    std::copy_n(bytes.begin(), n, m_headBytes.begin() + m_headSize);
    m_headSize += n;
    bytes.remove_prefix(n);
    if (m_headSize < FrameHeadBytes)
        return true;
    m_headSize = 0;
    m_head.type = FrameType(m_headBytes[3]);
    m_head.flags = m_headBytes[4];
    m_head.call = CallId(readNumber(m_headBytes.data() + 5, 4) & StreamMask);
    m_payloadLeft = readNumber(m_headBytes.data(), 3);
    m_paddingLeft = 0;
    m_expectsPadLength = m_head.type == FrameType::Data && (m_head.flags & PaddedFlag) != 0;
    return observer.onFrame(m_head) && !(m_expectsPadLength && m_payloadLeft == 0);
}

bool Http2Reader::readPayload(std::string_view &bytes, FrameObserver &observer)
{
    if (m_expectsPadLength) {
        m_expectsPadLength = false;
        m_paddingLeft = uint8_t(bytes.front());
        bytes.remove_prefix(1);
        --m_payloadLeft;
        return m_paddingLeft <= m_payloadLeft;
    }
    const size_t content = std::min(bytes.size(), m_payloadLeft - m_paddingLeft);
    if (m_head.type == FrameType::Data && content > 0 && !observer.onData(m_head.call, bytes.substr(0, content)))
        return false;
    const size_t n = content > 0 ? content : std::min(bytes.size(), m_paddingLeft);
    m_payloadLeft -= n;
    m_paddingLeft -= content > 0 ? 0 : n;
    bytes.remove_prefix(n);
    return true;
}

} // namespace roserail
