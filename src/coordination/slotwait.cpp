#include "coordination/slotwait.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

void SlotTimes::record(const ServiceId &service, Millis took)
{
    Mean &mean = m_means[service];
    const double ms = double(took.count());
    mean.ms = mean.samples == 0 ? ms : mean.ms + SpeedEwmaWeight * (ms - mean.ms);
    mean.samples = std::min(mean.samples + 1, MinSlotTimes);
}

std::optional<Millis> SlotTimes::mean(const ServiceId &service) const
{
    const auto it = m_means.find(service);
    if (it == m_means.end() || it->second.samples < MinSlotTimes)
        return std::nullopt;
    return Millis(int64_t(it->second.ms));
}

Millis slotWait(const FullEndpoint &endpoint, Millis slotTime)
{
    const double slots = std::max(1u, endpoint.slots);
    const double freedPerMs = slots / std::max(1.0, double(slotTime.count()));
    const double ahead = double(endpoint.requests) + 1 - slots - freedPerMs * double(endpoint.age.count());
    return Millis(int64_t(std::max(0.0, ahead) / freedPerMs));
}

Time callerLeavesAt(const Route &route, Time arrived, Time deadline)
{
    return route.stream && route.abandonTimeout > Millis(0) ? std::min(deadline, arrived + route.abandonTimeout) : deadline;
}

std::optional<Millis> retryDelayForSlots(const std::vector<FullEndpoint> &endpoints, Millis slotTime, Time leavesAt, Time now)
{
    if (endpoints.empty())
        return std::nullopt;
    Millis shortest = Millis::max();
    for (const FullEndpoint &it : endpoints)
        shortest = std::min(shortest, slotWait(it, slotTime));
    const Millis left = leavesAt - now;
    return shortest > left ? std::optional(shortest - left) : std::nullopt;
}

} // namespace roserail
