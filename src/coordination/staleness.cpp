#include "coordination/staleness.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

namespace
{

constexpr Millis MaxAge = std::chrono::hours(1); // an older or unknown state is as useless

} // namespace

void StalenessWatch::confirmByLog(Time currentAt)
{
    m_currentAt = std::max(m_currentAt, currentAt);
}

void StalenessWatch::confirmByLeader(uint64_t newest, uint64_t own, Time now)
{
    if (newest > 0 && own >= newest)
        m_currentAt = std::max(m_currentAt, now);
}

bool StalenessWatch::isolated(Time now) const
{
    return now > std::max(m_startedAt, m_currentAt) + tunables::MaxControlStateAge;
}

Millis StalenessWatch::age(Time now) const
{
    return m_currentAt < now - MaxAge ? MaxAge : std::max(Millis(0), Millis(now - m_currentAt));
}

} // namespace roserail
