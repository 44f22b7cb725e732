// Which endpoints this router can connect to, as its own attempts show. It says nothing about an endpoint itself: other routers may
// reach it.
//
// Load pattern: a router is cut from most or all endpoints, while callers, control hosts and other routers reach it, and heartbeats
// still list every endpoint as ready. Each request would find out by itself, one endpoint after the other. So the first failures
// cause all other endpoints to be probed, and an endpoint that could not be connected to is left to the probes until one succeeds.
#pragma once

#include "state/types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace roserail
{

class EndpointReachability
{
public:
    // Record the result of an attempt to connect. Each returns whether the endpoint's state has changed.
    bool recordConnected(const std::string &endpoint, Time now);
    bool recordFailed(const std::string &endpoint, Time now);
    void forget(const std::string &endpoint);

    bool unreachable(const std::string &endpoint) const;
    bool anyUnreachable() const;
    // Returns whether at least half of the endpoints, and more than one, are unreachable.
    bool isolated(const std::vector<std::string> &endpoints) const;
    // Returns the endpoints to probe now: unreachable ones at intervals, and all others once when several have become unreachable.
    std::vector<std::string> dueProbes(const std::vector<std::string> &endpoints, Time now);

private:
    struct Entry {
        bool unreachable = false;
        Time triedAt{}; // end of the latest attempt
        Time nextProbeAt{};
    };
    size_t unreachableCount(const std::vector<std::string> &endpoints) const;

    std::map<std::string, Entry> m_entries;
    Time m_sweepAt{}; // latest failure after which all endpoints are probed; those tried since are known
    Time m_nextSweepAt{};
};

} // namespace roserail
