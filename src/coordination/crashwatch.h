// Requests in whose company endpoints crashed, over all routers.
//
// Load pattern: one request crashes every endpoint that runs it, and its caller sends it again, to any router. Other
// requests that ran there at that moment are blamed too, until one like them is answered. So a request is refused only
// after CrashesBeforeRefusal crashes of different endpoints, and an answer acquits it at the router that passed it on.
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
    // An endpoint's life ended while a request of this router ran there. False if that was known.
    bool recordCrash(Fingerprint fingerprint, const std::string &endpoint, uint64_t startedAtMs, Time now);
    // A request like it was answered: what was reported here was chance.
    void recordAnswer(Fingerprint fingerprint);
    // Takes over what routers other than `self` report.
    void update(const Registry &registry, const std::string &self);

    // Lives of endpoints that ended while such a request ran there, as far as any router reports them.
    size_t crashCount(Fingerprint fingerprint, Time now) const;
    bool shouldRefuse(Fingerprint fingerprint, Time now) const;
    // This router's own reports, for the others.
    std::vector<pb::CrashReport> reports(Time now);

private:
    using EndpointInstance = std::pair<std::string, uint64_t>; // endpoint, and when it was born
    struct OwnReport {
        Fingerprint fingerprint;
        EndpointInstance instance;
        Time until{};
    };
    std::deque<OwnReport> m_ownReports; // oldest first
    std::map<Fingerprint, std::set<EndpointInstance>> m_otherReports;
};

} // namespace roserail
