// Decides whether a control host may serve routers: not while it may be cut off from the leader that accepts configurations.
#pragma once

#include "state/types.h"

namespace roserail
{

// What is known of the replica on this host.
struct ReplicaObservation {
    bool leaderKnown = false;
    Time currentAt{}; // latest time at which its committed entries were known to be all
};

class StalenessWatch
{
public:
    explicit StalenessWatch(Time startedAt)
        : m_leaderKnownAt(startedAt)
    {
    }
    void observeReplica(const ReplicaObservation &observation, Time now);
    // Returns whether this host must refer routers to other control hosts.
    bool isolated(Time now) const;
    // Returns the time since the configuration was known to be the newest, at most an hour.
    Millis age(Time now) const;

private:
    Time m_leaderKnownAt; // latest time at which this host knew the leader
    Time m_currentAt{};
};

} // namespace roserail
