#include "coordination/staleness.h"

#include <algorithm>

namespace roserail
{

namespace
{

constexpr Millis LeaderlessTolerance{1500}; // an election takes less than a second
constexpr Millis MaxAge = std::chrono::hours(1); // an older or unknown state is as useless

} // namespace

void StalenessWatch::observeReplica(const ReplicaObservation &observation, Time now)
{
    if (observation.leaderKnown)
        m_leaderKnownAt = now;
    m_currentAt = std::max(m_currentAt, observation.currentAt);
}

bool StalenessWatch::isolated(Time now) const
{
    return now > m_leaderKnownAt + LeaderlessTolerance;
}

Millis StalenessWatch::age(Time now) const
{
    return m_currentAt < now - MaxAge ? MaxAge : std::max(Millis(0), Millis(now - m_currentAt));
}

} // namespace roserail
