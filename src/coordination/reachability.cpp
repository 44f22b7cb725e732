#include "coordination/reachability.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MinUnreachable = 2; // a single endpoint has probably ended
constexpr size_t MaxProbesAtOnce = 16; // in a large system the others follow in the next rounds

} // namespace

bool EndpointReachability::recordConnected(const std::string &endpoint, Time now)
{
    Entry &entry = m_entries[endpoint];
    const bool changed = entry.unreachable;
    entry = Entry{false, now, Time()};
    return changed;
}

bool EndpointReachability::recordFailed(const std::string &endpoint, Time now)
{
    Entry &entry = m_entries[endpoint];
    const bool changed = !entry.unreachable;
    entry = Entry{true, now, now + ReachabilityProbeInterval};
    const auto unreachable = std::count_if(m_entries.begin(), m_entries.end(),
                                           [](const std::pair<const std::string, Entry> &it) { return it.second.unreachable; });
    if (changed && size_t(unreachable) >= MinUnreachable && now >= m_nextSweepAt) {
        m_sweepAt = now;
        m_nextSweepAt = now + ReachabilitySweepInterval;
    }
    return changed;
}

void EndpointReachability::forget(const std::string &endpoint)
{
    m_entries.erase(endpoint);
}

bool EndpointReachability::unreachable(const std::string &endpoint) const
{
    const auto it = m_entries.find(endpoint);
    return it != m_entries.end() && it->second.unreachable;
}

bool EndpointReachability::anyUnreachable() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [](const std::pair<const std::string, Entry> &it) { return it.second.unreachable; });
}

size_t EndpointReachability::unreachableCount(const std::vector<std::string> &endpoints) const
{
    return size_t(std::count_if(endpoints.begin(), endpoints.end(), [this](const std::string &it) { return unreachable(it); }));
}

bool EndpointReachability::isolated(const std::vector<std::string> &endpoints) const
{
    const size_t n = unreachableCount(endpoints);
    return n >= MinUnreachable && 2 * n >= endpoints.size();
}

std::vector<std::string> EndpointReachability::dueProbes(const std::vector<std::string> &endpoints, Time now)
{
    std::vector<std::pair<Time, std::string>> due; // by the latest attempt, so that none is left out
    for (const std::string &it : endpoints) {
        const Entry &entry = m_entries[it];
        const bool inSweep = m_sweepAt != Time() && entry.triedAt < m_sweepAt - ReachabilitySweepInterval;
        if (now >= entry.nextProbeAt && (entry.unreachable || inSweep))
            due.emplace_back(entry.triedAt, it);
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), MaxProbesAtOnce));
    std::vector<std::string> result;
    for (std::pair<Time, std::string> &it : due) {
        m_entries[it.second].nextProbeAt = now + ReachabilityProbeInterval;
        result.push_back(std::move(it.second));
    }
    return result;
}

} // namespace roserail
