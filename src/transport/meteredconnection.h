// A connection of the internal protocol. Passes bytes on between a peer and gRPC, which limits neither what it keeps for a peer that
// doesn't read nor what all peers send together: a peer that doesn't take its answers isn't read from, and one whose calls have no room is
// disconnected.
#pragma once

#include "protocol/peercalls.h"

#include <cstdint>
#include <memory>
#include <string>

namespace roserail
{

class MeteredConnection
{
public:
    // Owns both descriptors, which don't block. `inner`: of a pair whose other one gRPC has.
    MeteredConnection(int peer, int inner, IngressBudget &budget, PeerCalls::Grow grow, Time now);
    ~MeteredConnection();
    MeteredConnection(const MeteredConnection &) = delete;
    MeteredConnection &operator=(const MeteredConnection &) = delete;

    int peer() const
    {
        return m_peer;
    }
    int inner() const
    {
        return m_inner;
    }
    // Return what has to be waited for, as poll() names it; 0: nothing.
    uint32_t peerEvents() const;
    uint32_t innerEvents() const;
    // Passes on what doesn't have to wait, from the side whose descriptor is ready. Returns false if the connection has ended.
    bool pass(Time now, bool innerReady);
    // Ends the connection, and frees what its calls hold.
    void breakOff();
    bool brokenOff() const
    {
        return m_brokenOff;
    }
    PeerCalls &calls()
    {
        return *m_calls;
    }
    const PeerCalls &calls() const
    {
        return *m_calls;
    }
    // Leaves the connection without its calls, whose handlers may run on after its end.
    std::unique_ptr<PeerCalls> takeCalls()
    {
        return std::move(m_calls);
    }
    // What the peer has sent since the connection was accepted.
    const Transfer &received() const
    {
        return m_received;
    }
    std::string address() const;

private:
    // Ends calls when their answers pass.
    struct Answers : FrameObserver {
        explicit Answers(PeerCalls &target)
            : calls(target)
        {
        }
        bool onFrame(const FrameHead &head) override;
        bool onData(CallId call, std::string_view bytes) override;
        PeerCalls &calls;
    };

    struct Direction {
        int from;
        int to;
        Http2Reader reader;
        std::string pending = {}; // read, and not taken by the other side yet
        bool ended = false; // nothing more is read
    };

    enum class Step { Passed, MustWait, MustEnd };

    Step send(Direction &direction, std::string_view bytes);
    Step receive(Direction &direction, FrameObserver &observer);
    bool pass(Direction &direction, FrameObserver &observer, const Direction *answers);

    int m_peer;
    int m_inner;
    BufferShare m_unreadShare; // what may wait in the kernel
    std::unique_ptr<PeerCalls> m_calls;
    Answers m_answers;
    Direction m_requests;
    Direction m_replies;
    Transfer m_received;
    bool m_brokenOff = false;
};

} // namespace roserail
