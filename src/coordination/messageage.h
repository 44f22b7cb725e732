// How long messages have been on their way, from the senders' clocks, which are not the receiver's.
//
// Load pattern: a process stands still for seconds while others send to it. What it reads when it goes on was said long ago, but arrives
// now: hosts that have left since would be listed again, and permissions would last longer than their grantor believes.
#pragma once

#include "state/types.h"

#include <map>
#include <string>

namespace roserail
{

class MessageAges
{
public:
    // Returns the time that a message took beyond the fastest one of the same process. `sentAtMs`: by the sender's monotonic clock; 0 if it
    // states none, as earlier builds do. The first message of a process has the age 0.
    Millis age(const std::string &sender, uint64_t incarnation, uint64_t sentAtMs, Time receivedAt);
    size_t senders() const
    {
        return m_senders.size();
    }

private:
    struct Sender {
        uint64_t incarnation = 0;
        double leastDifferenceMs = 0; // between the clocks, with the time on the way; rises with time
        Time at{}; // of the latest message
    };
    std::map<std::string, Sender> m_senders;
};

} // namespace roserail
