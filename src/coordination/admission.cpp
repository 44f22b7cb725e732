#include "coordination/admission.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Millis coldWait(const Route &route, Millis patience)
{
    const bool leaves = route.stream && route.abandonedAfter > Millis(0);
    const Millis whole = leaves ? std::min(patience, route.abandonedAfter) : patience;
    const Millis mostOfIt(int64_t(double(whole.count()) * ColdWaitShare));
    return std::max(mostOfIt, whole - ColdAnswerTime);
}

} // namespace roserail
