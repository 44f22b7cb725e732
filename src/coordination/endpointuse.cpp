#include "coordination/endpointuse.h"

#include "state/tunables.h"

#include <algorithm>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

EndpointKey endpointKey(const std::string &endpoint, uint64_t startedAtMs)
{
    return EndpointKey(uint32_t(XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), startedAtMs)));
}

void addUse(pb::EndpointUse &out, EndpointKey endpoint, uint32_t requests, std::optional<double> slowdown)
{
    out.add_endpoints(endpoint.value());
    out.add_requests(requests);
    out.add_slowdowns(slowdown ? uint32_t(std::clamp(*slowdown * 100, 1.0, MaxSharedSlowdown * 100)) : 0);
}

std::optional<double> slowdownIn(const pb::EndpointUse &use, int i)
{
    if (i >= use.slowdowns_size() || use.slowdowns(i) == 0)
        return std::nullopt;
    return std::min(double(use.slowdowns(i)) / 100, MaxSharedSlowdown);
}

void SharedUse::setRouter(const std::string &router, const pb::EndpointUse &use, Time now)
{
    m_routers[router] = Entry{use, now};
}

void SharedUse::setHost(const std::string &host, const pb::EndpointUse &use, Time now)
{
    m_hosts[host] = Entry{use, now};
}

void SharedUse::expire(Time now)
{
    const auto expired = [now](const std::pair<const std::string, Entry> &it) {
        return now >= it.second.receivedAt + EndpointUseTtl;
    };
    std::erase_if(m_routers, expired);
    std::erase_if(m_hosts, expired);
}

void SharedUse::addTo(Sums &sums, const Entry &entry, Time now)
{
    const pb::EndpointUse &use = entry.use;
    for (int i = 0; i < std::min(use.endpoints_size(), use.requests_size()); ++i) {
        Sum &sum = sums[use.endpoints(i)];
        sum.requests += std::min(use.requests(i), MaxEndpointUse);
        const std::optional<double> slowdown = slowdownIn(use, i);
        if (!slowdown || now >= entry.receivedAt + SlowdownReportTime || entry.receivedAt < sum.slowdownAt)
            continue;
        sum.slowdown = slowdown;
        sum.slowdownAt = entry.receivedAt;
    }
}

// Adds the requests of all entries but one. Returns whether there is any that counts.
bool SharedUse::addTo(Sums &sums, const std::map<std::string, Entry> &entries, const std::string &except, Time now)
{
    bool any = false;
    for (const std::pair<const std::string, Entry> &it : entries) {
        if (now >= it.second.receivedAt + EndpointUseTtl || it.first == except)
            continue;
        any = true;
        addTo(sums, it.second, now);
    }
    return any;
}

std::optional<pb::EndpointUse> SharedUse::toMessage(const Sums &sums, bool any)
{
    if (!any)
        return std::nullopt;
    pb::EndpointUse out;
    for (const std::pair<const uint32_t, Sum> &it : sums)
        addUse(out, EndpointKey(it.first), it.second.requests, it.second.slowdown);
    return out;
}

std::optional<pb::EndpointUse> SharedUse::ofRouters(Time now) const
{
    Sums sums;
    const bool any = addTo(sums, m_routers, "", now);
    return toMessage(sums, any);
}

std::optional<pb::EndpointUse> SharedUse::ofOthers(const std::string &router, Time now) const
{
    Sums sums;
    bool any = addTo(sums, m_routers, router, now);
    any |= addTo(sums, m_hosts, "", now);
    return toMessage(sums, any);
}

} // namespace roserail
