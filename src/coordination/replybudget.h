// Limits the bytes of whole lists that a control host sends to routers.
//
// Load pattern: a part of the control hosts is cut off, and all their routers come to the others at once. Each needs the whole list of
// endpoints and routers, some 150 KB on 300 hosts. If all lists are sent at once, none of them arrives within the time limit of
// a poll, and every router asks the next host for it, so that the links stay full. Sent one after another, each arrives.
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
    // Returns whether a list may be sent now: what was sent before has had the time to leave.
    bool available(Time now) const
    {
        return now >= m_sentAt;
    }
    // Records the size of a list that is sent now.
    void record(size_t bytes, Time now);

private:
    double m_bytesPerMs;
    Time m_sentAt{}; // by when all lists have left
};

} // namespace roserail
