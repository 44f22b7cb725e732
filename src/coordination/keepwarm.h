// Decides how long an idle replica stays loaded: the keep time that would have cost least on the artifact's past
// pauses, weighing accelerator time against cold starts. Without a past it is the break-even time.
#pragma once

#include "state/document.h"

#include <deque>
#include <map>

namespace roserail
{

class KeepWarmPolicy
{
public:
    // The artifact is in use at `at`.
    void recordUse(const ArtifactId &artifact, Time at);
    // When it was last used, if ever.
    Time lastUse(const ArtifactId &artifact) const;
    // Until when an idle replica stays loaded.
    Time keepUntil(const Artifact &artifact, const Policy &policy) const;

private:
    struct History {
        Time lastUse{};
        std::deque<Millis> idlePeriods;
    };

    std::map<ArtifactId, History> m_history;
};

// The keep time of least cost on the given pauses. A kept second costs `idleCost`, a cold start `coldCost`.
Millis bestKeepTime(const std::deque<Millis> &idlePeriods, double idleCost, double coldCost, Millis maxKeepTime);

} // namespace roserail
