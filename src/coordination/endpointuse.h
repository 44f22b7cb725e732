// Requests in progress on each endpoint, over all routers.
//
// Load pattern: many routers with a few requests a second each, and many endpoints. The load that an endpoint has reported to a router is
// older than most of its requests when the router chooses again. So each router tells its control host what it has in progress, and learns
// what the others have. It does so only for services whose endpoints report how long work takes at present.
#pragma once

#include "mesh.pb.h"
#include "state/types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace roserail
{

// A hash that identifies one start of an endpoint.
using EndpointKey = Id<struct EndpointKeyTag, uint32_t>;
EndpointKey endpointKey(const std::string &endpoint, uint64_t startedAtMs);

// `slowdown`: how long work took there shortly before, as a multiple of the usual time.
void addUse(pb::EndpointUse &out, EndpointKey endpoint, uint32_t requests, std::optional<double> slowdown = std::nullopt);
std::optional<double> slowdownIn(const pb::EndpointUse &use, int i);

// What a control host knows of the requests in progress.
class SharedUse
{
public:
    // Records the requests of a router that polls this host.
    void setRouter(const std::string &router, const pb::EndpointUse &use, Time now);
    // Records the requests of the routers that poll another control host.
    void setHost(const std::string &host, const pb::EndpointUse &use, Time now);
    // Returns the requests of the routers that poll this host; nothing if none takes part.
    std::optional<pb::EndpointUse> ofRouters(Time now) const;
    // Returns the requests of all routers but one; nothing if none takes part.
    std::optional<pb::EndpointUse> ofOthers(const std::string &router, Time now) const;
    // Removes what was received too long ago.
    void expire(Time now);

private:
    struct Entry {
        pb::EndpointUse use;
        Time receivedAt{};
    };
    struct Sum {
        uint32_t requests = 0;
        std::optional<double> slowdown; // the newest
        Time slowdownAt{};
    };
    using Sums = std::unordered_map<uint32_t, Sum>;
    static void addTo(Sums &sums, const Entry &entry, Time now);
    static bool addTo(Sums &sums, const std::map<std::string, Entry> &entries, const std::string &except, Time now);
    static std::optional<pb::EndpointUse> toMessage(const Sums &sums, bool any);

    std::map<std::string, Entry> m_routers;
    std::map<std::string, Entry> m_hosts;
};

} // namespace roserail
