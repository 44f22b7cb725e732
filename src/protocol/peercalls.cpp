#include "protocol/peercalls.h"

#include "state/tunables.h"

#include <algorithm>
#include <array>

namespace roserail
{

using namespace tunables;

std::string_view toString(CallRefusal refusal)
{
    static constexpr std::array<std::string_view, 5> names{"none", "message_too_large", "no_room", "message_compressed", "too_many_frames"};
    return names[size_t(refusal)];
}

bool PeerCalls::onFrame(const FrameHead &head)
{
    if (head.asksForAck() && ++m_unacknowledged > MaxUnacknowledgedFrames) {
        m_refusal = CallRefusal::TooManyFrames;
        return false;
    }
    if (head.call == CallId{})
        return true;
    if (head.type == FrameType::Headers && m_newest < head.call)
        return open(head.call, head.endsStream());
    const auto it = m_calls.find(head.call);
    if (it == m_calls.end() || !head.endsStream())
        return true;
    setComplete(it->second);
    // The handler may be running, and gRPC does not tell when it ends.
    if (head.type == FrameType::Reset)
        it->second.endsAt = std::min(it->second.endsAt, m_now + ResetCallTime);
    return true;
}

bool PeerCalls::open(CallId id, bool complete)
{
    m_newest = id;
    Call &call = m_calls[id];
    if (m_incomplete++ == 0)
        m_transfer = {m_now, 0};
    if (complete)
        setComplete(call);
    return reserve(call, CallBytes);
}

void PeerCalls::setComplete(Call &call)
{
    m_incomplete -= call.complete ? 0 : 1;
    call.complete = true;
}

bool PeerCalls::reserve(Call &call, size_t bytes)
{
    if (!m_grow(m_share, m_share.bytes() + bytes)) {
        m_refusal = CallRefusal::NoRoom;
        m_refusedBytes = bytes;
        return false;
    }
    call.bytes += bytes;
    return true;
}

bool PeerCalls::onData(CallId id, std::string_view bytes)
{
    m_transfer.bytes += bytes.size();
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return true;
    Call &call = it->second;
    while (!bytes.empty()) {
        if (call.messageLeft == 0) {
            if (!readMessageHead(call, uint8_t(bytes.front())))
                return false;
            bytes.remove_prefix(1);
            continue;
        }
        const size_t n = std::min(bytes.size(), call.messageLeft);
        call.messageLeft -= n;
        bytes.remove_prefix(n);
    }
    return true;
}

// Peers never send compressed messages, and what one expands to can't be told from its length.
bool PeerCalls::readMessageHead(Call &call, uint8_t byte)
{
    if (call.headSize == 0 && byte != 0) {
        m_refusal = CallRefusal::Compressed;
        return false;
    }
    call.announced = call.headSize == 0 ? 0 : call.announced << 8 | byte;
    if (++call.headSize < MessageHeadBytes)
        return true;
    call.headSize = 0;
    call.messageLeft = call.announced;
    if (call.messageLeft > m_maxMessageBytes) {
        m_refusal = CallRefusal::TooLarge;
        m_refusedBytes = call.messageLeft;
        return false;
    }
    return reserve(call, CopiesOfMessage * call.messageLeft);
}

void PeerCalls::end(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    setComplete(it->second);
    m_share.resize(m_share.bytes() - it->second.bytes, m_share.bytes());
    m_calls.erase(it);
}

void PeerCalls::acknowledge()
{
    m_unacknowledged -= m_unacknowledged > 0 ? 1 : 0;
}

void PeerCalls::releaseReset(Time now)
{
    std::vector<CallId> ended;
    for (const std::pair<const CallId, Call> &it : m_calls) {
        if (now >= it.second.endsAt)
            ended.push_back(it.first);
    }
    for (const CallId it : ended)
        end(it);
}

void PeerCalls::release()
{
    m_calls.clear();
    m_incomplete = 0;
    m_share.release();
}

std::optional<Transfer> PeerCalls::transfer() const
{
    return m_incomplete == 0 ? std::nullopt : std::optional(m_transfer);
}

} // namespace roserail
