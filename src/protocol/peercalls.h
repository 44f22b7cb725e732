// What the calls of one connection of the internal protocol hold: decides from what a peer announces whether there is room for it.
//
// Load pattern: a crowd opens many calls and sends large or compressed messages, whole or stopping short of their end, while control
// hosts and routers send small calls all the time and large ones now and then.
#pragma once

#include "coordination/ingressbudget.h"
#include "protocol/http2reader.h"

#include <functional>
#include <map>

namespace roserail
{

enum class CallRefusal { None, TooLarge, NoRoom, Compressed, TooManyFrames };

std::string_view toString(CallRefusal refusal);

class PeerCalls : public FrameObserver
{
public:
    // Sets the bytes of a share. Returns false if there is no room.
    using Grow = std::function<bool(BufferShare &share, size_t bytes)>;

    PeerCalls(IngressBudget &budget, Grow grow)
        : m_share(budget.messages)
        , m_maxMessageBytes(budget.maxMessageBytes)
        , m_grow(std::move(grow))
    {
    }
    // What the peer sends.
    bool onFrame(const FrameHead &head) override;
    bool onData(CallId call, std::string_view bytes) override;
    // What gRPC has answered: a call, or a frame that asks for an acknowledgement.
    void end(CallId call);
    void acknowledge();
    // Frees the memory of calls that were reset long enough ago for their handlers to have ended.
    void releaseReset(Time now);
    void release();
    void setNow(Time now)
    {
        m_now = now;
    }
    // Why onFrame() or onData() has returned false.
    CallRefusal refusal() const
    {
        return m_refusal;
    }
    size_t refusedBytes() const
    {
        return m_refusedBytes;
    }
    bool owns(const BufferShare &share) const
    {
        return &share == &m_share;
    }
    size_t heldBytes() const
    {
        return m_share.bytes();
    }
    // Of the requests that have not arrived whole; none if there are none.
    std::optional<Transfer> transfer() const;

private:
    static constexpr size_t MessageHeadBytes = 5; // whether it is compressed, and its length
    // SETTINGS and PING frames. Peers have one or two of them; gRPC keeps a record of each until it has written the answer.
    static constexpr size_t MaxUnacknowledgedFrames = 16;

    struct Call {
        size_t bytes = 0; // of m_share
        size_t messageLeft = 0;
        uint32_t announced = 0; // as far as the message's head has been read
        size_t headSize = 0;
        bool complete = false; // the request
        Time endsAt = Time::max(); // when the memory of a call that was reset is free
    };

    bool open(CallId id, bool complete);
    bool reserve(Call &call, size_t bytes);
    bool readMessageHead(Call &call, uint8_t byte);
    void setComplete(Call &call);

    BufferShare m_share;
    size_t m_maxMessageBytes;
    Grow m_grow;
    std::map<CallId, Call> m_calls;
    CallId m_newest{};
    size_t m_incomplete = 0;
    size_t m_unacknowledged = 0; // frames
    Transfer m_transfer;
    Time m_now{};
    CallRefusal m_refusal = CallRefusal::None;
    size_t m_refusedBytes = 0;
};

} // namespace roserail
