// Shared helpers of tests of live state: a start time, expiry times and announcements.
#pragma once

#include "coordination/registry.h"

namespace roserail::test
{

inline const Time Now{Millis(1000000)};
inline const HeartbeatTimeouts ExpiryTimes{Millis(9000), Millis(2000)};

// Returns the announcement of a ready endpoint of service "s".
inline pb::Announcement announcement(const std::string &id, uint64_t startedAtMs, uint64_t sequence,
                                     const std::string &address = "10.0.0.1:1")
{
    pb::Announcement it;
    it.set_endpoint(id);
    it.set_born_ms(startedAtMs);
    it.set_sequence(sequence);
    it.set_address(address);
    it.set_service("s");
    it.set_slots(4);
    return it;
}

} // namespace roserail::test
