// Decides whether a control host may serve routers: only while it can show that its configuration was the newest a short time
// ago.
//
// Pattern: a host is cut off from the others, or its replica makes no progress, and routers still reach it. That it has heard
// of nothing newer proves nothing, so each confirmation expires.
#pragma once

#include "state/types.h"

#include <cstdint>

namespace roserail
{

class StalenessWatch
{
public:
    // A host that has just started is not isolated until it has had the time to hear of a leader.
    explicit StalenessWatch(Time startedAt)
        : m_startedAt(startedAt)
    {
    }
    // Records the latest time at which the committed entries of this host's replica were known to be all.
    void confirmByLog(Time currentAt);
    // Records that the leader named `newest` as the version of the newest configuration, while this host has version `own`. The
    // leader sends configurations to hosts whose replica does not get them, for example because its disk hangs.
    void confirmByLeader(uint64_t newest, uint64_t own, Time now);
    // Returns whether this host must refer routers to other control hosts.
    bool isolated(Time now) const;
    // Returns the time since the configuration was known to be the newest, at most an hour.
    Millis age(Time now) const;

private:
    Time m_startedAt;
    Time m_currentAt{};
};

} // namespace roserail
