#include "coordination/keepwarm.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Time left at the break-even point; what is paid for a kept second is `idleCost`.
Millis breakEven(double idleCost, double coldCost, Millis longest)
{
    return std::min(longest, Millis(int64_t(1000.0 * coldCost / idleCost)));
}

double costOfKeeping(const std::deque<Millis> &pauses, Millis keep, double idleCost, double coldCost)
{
    double cost = 0;
    for (const Millis &pause : pauses) {
        const Millis kept = std::min(pause, keep);
        cost += idleCost * double(kept.count()) / 1000.0;
        cost += pause > keep ? coldCost : 0;
    }
    return cost;
}

} // namespace

Millis bestKeepTime(const std::deque<Millis> &pauses, double idleCost, double coldCost, Millis longest)
{
    const Millis fallback = breakEven(idleCost, coldCost, longest);
    if (pauses.size() < KeepWarmMinSamples)
        return fallback;
    Millis best{0};
    double lowest = costOfKeeping(pauses, best, idleCost, coldCost);
    for (const Millis &pause : pauses) {
        // A margin above the pause, so that the next one of the same length is still covered.
        const Millis keep = std::min(longest, pause + pause / 4);
        const double cost = costOfKeeping(pauses, keep, idleCost, coldCost);
        if (cost < lowest) {
            lowest = cost;
            best = keep;
        }
    }
    return best;
}

void KeepWarm::used(const ArtifactId &artifact, Time at)
{
    History &history = m_history[artifact];
    const Millis pause = at - history.lastUse;
    if (history.lastUse != Time{} && pause > KeepWarmMinPause) {
        history.pauses.push_back(pause);
        if (history.pauses.size() > KeepWarmMaxSamples)
            history.pauses.pop_front();
    }
    history.lastUse = std::max(history.lastUse, at);
}

Time KeepWarm::lastUse(const ArtifactId &artifact) const
{
    const auto it = m_history.find(artifact);
    return it == m_history.end() ? Time{} : it->second.lastUse;
}

Time KeepWarm::keepUntil(const Artifact &artifact, const Policy &policy) const
{
    const auto it = m_history.find(artifact.id);
    if (it == m_history.end())
        return Time{};
    if (policy.idleRule == IdleRule::Fixed)
        return it->second.lastUse + policy.idleMax;
    if (policy.idleRule == IdleRule::LeastRecentlyUsed)
        return Time::max();
    const double coldCost = policy.coldStartWeight * IdleSecondsPerColdStartSecond * double(artifact.loadTime.count()) / 1000.0;
    return it->second.lastUse + bestKeepTime(it->second.pauses, policy.idleHourWeight, coldCost, policy.idleMax);
}

} // namespace roserail
