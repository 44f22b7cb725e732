#include "coordination/admission.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Millis configurationWait(std::optional<Millis> patience)
{
    if (!patience)
        return MaxConfigurationWait;
    return std::min(MaxConfigurationWait, Millis(int64_t(double(patience->count()) * ConfigurationWaitShare)));
}

Millis coldWait(const Route &route, Millis patience)
{
    const bool leaves = route.stream && route.abandonTimeout > Millis(0);
    const Millis whole = leaves ? std::min(patience, route.abandonTimeout) : patience;
    const Millis mostOfIt(int64_t(double(whole.count()) * ColdWaitShare));
    return std::max(mostOfIt, whole - ColdFirstEventTime);
}

ColdAdmission admitCold(const Route &route, const ModelSpec &model, Time arrived, Time deadline, Time ordersFrom, double spread, Time now)
{
    ColdAdmission result;
    result.until = arrived + coldWait(route, deadline - arrived);
    const Time loaded = ordersFrom + std::min(model.memoryLoadTime, model.diskLoadTime) + ColdLoadOverhead;
    if (ordersFrom > now && loaded > result.until)
        result.comeBackIn = loaded - now + Millis(int64_t(spread * double(ColdRetryJitter.count())));
    return result;
}

} // namespace roserail
