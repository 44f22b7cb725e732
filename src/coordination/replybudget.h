// Limits the bytes that a control host sends to routers.
//
// Load pattern: a part of the control hosts is cut off, and all their routers come to the others at once; or a large configuration is
// stored, and all routers fetch it. Each needs the whole list of endpoints and routers, some 150 KB on 300 hosts, or pieces of 48 KB. If
// all of that is sent at once, nothing arrives within the time limit of a poll, every router asks the next host, and the heartbeats of
// the control hosts are late as well. Sent one after another, each arrives.
#pragma once

#include "state/types.h"

namespace roserail
{

class ReplyBudget
{
public:
    explicit ReplyBudget(double bytesPerSecond)
        : m_bytesPerMs(bytesPerSecond / 1000)
    {
    }
    // Returns whether more may be sent now: what was sent before has left, or leaves within `backlog`.
    bool available(Time now, Millis backlog) const
    {
        return now + backlog >= m_sentAt;
    }
    // Records the size of a message that is sent now.
    void record(size_t bytes, Time now);

private:
    double m_bytesPerMs;
    Time m_sentAt{}; // by when everything has left
};

} // namespace roserail
