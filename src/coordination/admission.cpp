#include "coordination/admission.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Millis configurationWait(std::optional<Millis> timeout)
{
    if (!timeout)
        return MaxConfigurationWait;
    return std::min(MaxConfigurationWait, Millis(int64_t(double(timeout->count()) * ConfigurationWaitShare)));
}

Millis coldWait(const Route &route, Millis timeout)
{
    const bool mayAbandon = route.stream && route.abandonTimeout > Millis(0);
    const Millis longestWait = mayAbandon ? std::min(timeout, route.abandonTimeout) : timeout;
    const Millis shareOfWait(int64_t(double(longestWait.count()) * ColdWaitShare));
    return std::max(shareOfWait, longestWait - ColdFirstEventTime);
}

ColdAdmission admitColdRequest(const Route &route, const ModelSpec &model, const ColdModel &place, Time arrived, Time deadline,
                               Time ordersAllowedAt, double jitter, Time now)
{
    ColdAdmission result;
    result.until = arrived + coldWait(route, deadline - arrived);
    const Time begin = std::max(now, ordersAllowedAt);
    Time loadedAt = begin + std::min(model.memoryLoadTime, model.diskLoadTime) + ColdLoadOverhead;
    if (!place.copyExists)
        loadedAt = place.loadedAt ? std::max(*place.loadedAt, now) : begin + model.storeLoadTime + ColdLoadOverhead;
    const bool hopeless = !place.copyExists || ordersAllowedAt > now;
    if (hopeless && loadedAt > result.until)
        result.retryDelay = loadedAt - now + Millis(int64_t(jitter * double(ColdRetryJitter.count())));
    return result;
}

} // namespace roserail
