#include "coordination/limitshare.h"

#include "state/tunables.h"

#include <algorithm>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr double MinRequestsPerSecond = 1e-6; // keeps the interval between two requests finite

uint64_t weightOf(const std::string &endpoint, const std::string &router)
{
    const std::string key = endpoint + "\n" + router;
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

void LimitShare::setRouters(std::vector<std::string> routers)
{
    if (std::find(routers.begin(), routers.end(), m_self) == routers.end())
        routers.push_back(m_self);
    std::sort(routers.begin(), routers.end());
    m_position = size_t(std::lower_bound(routers.begin(), routers.end(), m_self) - routers.begin());
    m_routers = std::move(routers);
}

uint32_t LimitShare::ownSlots(uint32_t key, uint32_t slots) const
{
    const uint64_t n = routers();
    const uint64_t turn = (m_position + key) % n;
    return uint32_t((turn + 1) * slots / n - turn * slots / n);
}

Millis LimitShare::jitter(const std::string &endpoint, Millis range) const
{
    return Millis(int64_t(weightOf(endpoint, m_self) % uint64_t(range.count())));
}

bool LimitShare::selected(const std::string &endpoint, size_t sharers) const
{
    if (m_routers.size() <= sharers)
        return true;
    const uint64_t own = weightOf(endpoint, m_self);
    const auto ahead
        = std::count_if(m_routers.begin(), m_routers.end(), [&](const std::string &it) { return weightOf(endpoint, it) > own; });
    return size_t(ahead) < sharers;
}

Time LimitShare::nextSendAt(const std::string &endpoint, double requestsPerSecond, bool confirmed) const
{
    const size_t all = routers();
    // Compared before the conversion, as an endpoint may name any number.
    size_t sharers = size_t(std::min(double(all), requestsPerSecond * RoutersPerLimitedRequest + double(MinRoutersSharingLimit)));
    if (!selected(endpoint, sharers)) {
        if (confirmed)
            return Time::max();
        sharers = all;
    }
    const auto sent = m_sentAt.find(endpoint);
    if (sent == m_sentAt.end())
        return Time();
    const double intervalMs = double(sharers) / std::max(requestsPerSecond, MinRequestsPerSecond) * 1000;
    return sent->second + Millis(int64_t(intervalMs) + 1);
}

void LimitShare::recordSend(const std::string &endpoint, Time now)
{
    m_sentAt[endpoint] = now;
    std::erase_if(m_sentAt, [now](const std::pair<const std::string, Time> &it) { return now > it.second + CapacityRetention; });
}

} // namespace roserail
