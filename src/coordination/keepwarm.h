// Decides how long an idle replica stays loaded. The keep time is the one that would have cost least over the artifact's
// recorded idle periods, weighing accelerator time against cold starts. With too few idle periods it is the break-even
// time.
#pragma once

#include "state/document.h"

#include <deque>
#include <map>

namespace roserail
{

class KeepWarmPolicy
{
public:
    // Records that the artifact is in use at `at`.
    void recordUse(const ArtifactId &artifact, Time at);
    // Returns when the artifact was last used, or the zero time if never.
    Time lastUse(const ArtifactId &artifact) const;
    // Returns until when an idle replica stays loaded.
    Time keepUntil(const Artifact &artifact, const Policy &policy) const;

private:
    struct History {
        Time lastUse{};
        std::deque<Millis> idlePeriods;
    };

    std::map<ArtifactId, History> m_history;
};

// Returns the keep time of least cost over the given idle periods. An idle loaded second costs `idleCost`, a cold start
// `coldCost`.
Millis bestKeepTime(const std::deque<Millis> &idlePeriods, double idleCost, double coldCost, Millis maxKeepTime);

} // namespace roserail
