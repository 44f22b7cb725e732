// Tracks requests that were running on endpoints when these crashed, over all routers.
//
// Load pattern: one request crashes every endpoint that runs it, and its caller sends it again, to any router. Other
// requests that ran there at that moment are suspected too, until one with the same fingerprint is answered. A request is
// therefore refused only after RefusalCrashThreshold crashes of different endpoint processes, and a router that delivers
// its answer withdraws its own reports.
#pragma once

#include "coordination/registry.h"
#include "state/types.h"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace roserail
{

class CrashWatch
{
public:
    // Records that an endpoint's process ended while a request of this router ran there. Returns false if it is already
    // recorded.
    bool recordCrash(Fingerprint fingerprint, const std::string &endpoint, uint64_t startedAtMs, Time now);
    // Removes this router's reports of a request that was answered, since it did not cause the crashes.
    void recordAnswer(Fingerprint fingerprint);
    // Replaces the reports of other routers by those in the registry; `self` is this router.
    void update(const Registry &registry, const std::string &self);

    // Returns the number of endpoint processes that crashed while the request ran there, by the reports of all routers.
    size_t crashCount(Fingerprint fingerprint, Time now) const;
    bool shouldRefuse(Fingerprint fingerprint, Time now) const;
    // Removes this router's expired reports and returns the remaining ones, to be sent to other routers.
    std::vector<pb::CrashReport> reports(Time now);

private:
    using EndpointIncarnation = std::pair<std::string, uint64_t>; // endpoint id and start time of its process
    struct OwnReport {
        Fingerprint fingerprint;
        EndpointIncarnation incarnation;
        Time until{};
    };
    std::deque<OwnReport> m_ownReports; // oldest first
    std::map<Fingerprint, std::set<EndpointIncarnation>> m_otherReports;
};

} // namespace roserail
