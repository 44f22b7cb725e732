#include "coordination/keepwarm.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Returns the keep time whose cost equals that of a cold start. An idle loaded second costs `idleCost`.
Millis breakEvenTime(double idleCost, double coldCost, Millis maxKeepTime)
{
    return std::min(maxKeepTime, Millis(int64_t(1000.0 * coldCost / idleCost)));
}

double costOfKeepTime(const std::deque<Millis> &idlePeriods, Millis keepTime, double idleCost, double coldCost)
{
    double cost = 0;
    for (const Millis &idlePeriod : idlePeriods) {
        const Millis kept = std::min(idlePeriod, keepTime);
        cost += idleCost * double(kept.count()) / 1000.0;
        cost += idlePeriod > keepTime ? coldCost : 0;
    }
    return cost;
}

} // namespace

Millis bestKeepTime(const std::deque<Millis> &idlePeriods, double idleCost, double coldCost, Millis maxKeepTime)
{
    const Millis fallback = breakEvenTime(idleCost, coldCost, maxKeepTime);
    if (idlePeriods.size() < KeepWarmMinSamples)
        return fallback;
    Millis best{0};
    double lowest = costOfKeepTime(idlePeriods, best, idleCost, coldCost);
    for (const Millis &idlePeriod : idlePeriods) {
        // The margin covers a next idle period of about the same length.
        const Millis keepTime = std::min(maxKeepTime, idlePeriod + idlePeriod / 4);
        const double cost = costOfKeepTime(idlePeriods, keepTime, idleCost, coldCost);
        if (cost < lowest) {
            lowest = cost;
            best = keepTime;
        }
    }
    return best;
}

void KeepWarmPolicy::recordUse(const ArtifactId &artifact, Time at)
{
    History &history = m_history[artifact];
    const Millis idlePeriod = at - history.lastUse;
    if (history.lastUse != Time{} && idlePeriod > KeepWarmMinIdlePeriod) {
        history.idlePeriods.push_back(idlePeriod);
        if (history.idlePeriods.size() > KeepWarmMaxSamples)
            history.idlePeriods.pop_front();
    }
    history.lastUse = std::max(history.lastUse, at);
}

Time KeepWarmPolicy::lastUse(const ArtifactId &artifact) const
{
    const auto it = m_history.find(artifact);
    return it == m_history.end() ? Time{} : it->second.lastUse;
}

Time KeepWarmPolicy::keepUntil(const Artifact &artifact, const Policy &policy) const
{
    const auto it = m_history.find(artifact.id);
    if (it == m_history.end())
        return Time{};
    if (policy.idleRule == IdleRule::Fixed)
        return it->second.lastUse + policy.idleMax;
    if (policy.idleRule == IdleRule::LeastRecentlyUsed)
        return Time::max();
    const double coldCost = policy.coldStartWeight * IdleSecondsPerColdStartSecond * double(artifact.loadTime.count()) / 1000.0;
    return it->second.lastUse + bestKeepTime(it->second.idlePeriods, policy.idleHourWeight, coldCost, policy.idleMax);
}

} // namespace roserail
