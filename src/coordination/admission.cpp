#include "coordination/admission.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Millis configurationWait(std::optional<Millis> timeout)
{
    if (!timeout)
        return ConfigurationWait;
    return std::min(ConfigurationWait, Millis(int64_t(double(timeout->count()) * ConfigurationWaitShare)));
}

Millis coldWait(const Route &route, Millis timeout)
{
    const bool mayAbandon = route.stream && route.abandonedAfter > Millis(0);
    const Millis longestWait = mayAbandon ? std::min(timeout, route.abandonedAfter) : timeout;
    const Millis shareOfWait(int64_t(double(longestWait.count()) * ColdWaitShare));
    return std::max(shareOfWait, longestWait - ColdAnswerTime);
}

ColdAdmission admitColdRequest(const Route &route, const ModelSpec &model, Time arrived, Time deadline, Time ordersAllowedAt, double jitter,
                               Time now)
{
    ColdAdmission result;
    result.until = arrived + coldWait(route, deadline - arrived);
    const Time loadedAt = ordersAllowedAt + std::min(model.memoryLoad, model.diskLoad) + ColdRoundTime;
    if (ordersAllowedAt > now && loadedAt > result.until)
        result.retryDelay = loadedAt - now + Millis(int64_t(jitter * double(ColdSpread.count())));
    return result;
}

} // namespace roserail
