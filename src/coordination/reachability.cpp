#include "coordination/reachability.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis MaxProbeInterval{8000}; // of an endpoint that stays unreachable
constexpr Millis FullSweepInterval{20000}; // unless most of a sample are unreachable
constexpr size_t MinUnreachable = 2; // a single endpoint has probably ended
constexpr size_t SampleSize = 4; // endpoints that show whether most are unreachable
constexpr size_t MaxProbesAtOnce = 16; // in a large system the others follow in the next rounds

} // namespace

bool EndpointReachability::recordConnected(const std::string &endpoint, Time now)
{
    Entry &entry = m_entries[endpoint];
    const bool changed = entry.unreachable;
    entry = Entry{false, now, Time()};
    m_sample.erase(endpoint);
    if (!changed)
        return false;
    // A cut has ended, perhaps.
    for (std::pair<const std::string, Entry> &it : m_entries) {
        if (it.second.unreachable)
            it.second.nextProbeAt = std::min(it.second.nextProbeAt, now);
    }
    return true;
}

bool EndpointReachability::recordFailed(const std::string &endpoint, Time now)
{
    Entry &entry = m_entries[endpoint];
    const bool changed = !entry.unreachable;
    const uint32_t failures = changed ? 1 : entry.failures + 1;
    entry = Entry{true, now, now + std::min(MaxProbeInterval, ReachabilityProbeInterval * failures), failures};
    if (m_sample.erase(endpoint) != 0 && ++m_sampleFailures >= MinUnreachable)
        sweepAll(now);
    const auto unreachable = std::count_if(m_entries.begin(), m_entries.end(),
                                           [](const std::pair<const std::string, Entry> &it) { return it.second.unreachable; });
    if (changed && size_t(unreachable) >= MinUnreachable && now >= m_nextSweepAt)
        startSweep(now);
    return changed;
}

void EndpointReachability::startSweep(Time now)
{
    if (now >= m_nextFullSweepAt) {
        sweepAll(now);
        return;
    }
    m_nextSweepAt = now + ReachabilitySweepInterval;
    m_sampleDue = true;
}

void EndpointReachability::sweepAll(Time now)
{
    m_sweepAt = now;
    m_nextSweepAt = now + ReachabilitySweepInterval;
    m_nextFullSweepAt = now + FullSweepInterval;
    m_sampleDue = false;
    m_sample.clear();
    m_sampleFailures = 0;
}

void EndpointReachability::forget(const std::string &endpoint)
{
    m_entries.erase(endpoint);
    m_sample.erase(endpoint);
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

void EndpointReachability::selectSample(const std::vector<std::string> &endpoints, Time now)
{
    std::vector<std::pair<Time, std::string>> reachable;
    for (const std::string &it : endpoints) {
        const Entry &entry = m_entries[it];
        if (!entry.unreachable && entry.triedAt < now - ReachabilitySweepInterval)
            reachable.emplace_back(entry.triedAt, it);
    }
    const size_t n = std::min(reachable.size(), SampleSize);
    std::partial_sort(reachable.begin(), reachable.begin() + long(n), reachable.end());
    m_sample.clear();
    for (size_t i = 0; i < n; ++i)
        m_sample.insert(reachable[i].second);
    m_sampleDue = false;
    m_sampleFailures = 0;
}

std::vector<std::string> EndpointReachability::dueProbes(const std::vector<std::string> &endpoints, Time now)
{
    if (m_sampleDue)
        selectSample(endpoints, now);
    std::vector<std::pair<Time, std::string>> due; // by the latest attempt, so that none is left out
    const std::string *next = nullptr; // the unreachable one whose probe is due first
    for (const std::string &it : endpoints) {
        const Entry &entry = m_entries[it];
        if (entry.unreachable && (next == nullptr || entry.nextProbeAt < m_entries[*next].nextProbeAt))
            next = &it;
        const bool inSweep = m_sweepAt != Time() && entry.triedAt < m_sweepAt - ReachabilitySweepInterval;
        if (now >= entry.nextProbeAt && (entry.unreachable || inSweep || m_sample.count(it) != 0))
            due.emplace_back(entry.triedAt, it);
    }
    if (next != nullptr && now < m_entries[*next].nextProbeAt && now >= m_nextUnreachableProbeAt)
        due.emplace_back(m_entries[*next].triedAt, *next);
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), MaxProbesAtOnce));
    std::vector<std::string> result;
    for (std::pair<Time, std::string> &it : due) {
        Entry &entry = m_entries[it.second];
        entry.nextProbeAt = now + ReachabilityProbeInterval;
        if (entry.unreachable)
            m_nextUnreachableProbeAt = now + ReachabilityProbeInterval;
        result.push_back(std::move(it.second));
    }
    return result;
}

} // namespace roserail
