// Which endpoints this router can connect to, as its own attempts show. It says nothing about an endpoint itself: other routers may
// reach it.
//
// Load pattern: a router is cut from most or all endpoints, while callers, control hosts and other routers reach it, and heartbeats
// still list every endpoint as ready. Each request would find out by itself, one endpoint after the other. So the first failures
// cause all other endpoints to be probed, and an endpoint that could not be connected to is left to the probes until one succeeds.
//
// Load pattern: endpoints leave one after the other, and each router finds out by itself. So the endpoints are all probed once, and then
// only if most of a sample can't be connected to either; and the probes of an endpoint that stays unreachable become rare, but for one
// a second, which shows that a cut has ended.
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
    // Returns the endpoints to probe now: unreachable ones at intervals, and others once when several have become unreachable.
    std::vector<std::string> dueProbes(const std::vector<std::string> &endpoints, Time now);

private:
    struct Entry {
        bool unreachable = false;
        Time triedAt{}; // end of the latest attempt
        Time nextProbeAt{};
        uint32_t failures = 0; // one after the other
    };
    size_t unreachableCount(const std::vector<std::string> &endpoints) const;
    // Probes a sample of the endpoints, or all if that was not done lately.
    void startSweep(Time now);
    void sweepAll(Time now);
    // Selects the reachable endpoints of the sample: those not tried for longest.
    void selectSample(const std::vector<std::string> &endpoints, Time now);

    std::map<std::string, Entry> m_entries;
    Time m_sweepAt{}; // latest failure after which all endpoints are probed; those tried since are known
    Time m_nextSweepAt{}; // of a sample or all
    Time m_nextFullSweepAt{};
    Time m_nextUnreachableProbeAt{}; // of one endpoint at least
    std::set<std::string> m_sample; // endpoints being probed to find out whether most are unreachable
    bool m_sampleDue = false;
    size_t m_sampleFailures = 0;
};

} // namespace roserail
