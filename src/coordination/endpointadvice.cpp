#include "coordination/endpointadvice.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

EndpointAdvice::Entry *EndpointAdvice::entryFor(const std::string &endpoint, uint64_t startedAtMs)
{
    Entry &entry = m_entries[endpoint];
    if (startedAtMs < entry.startedAtMs)
        return nullptr;
    if (startedAtMs > entry.startedAtMs)
        entry = Entry{startedAtMs, false, Time(), Time()};
    return &entry;
}

const EndpointAdvice::Entry *EndpointAdvice::find(const std::string &endpoint, uint64_t startedAtMs) const
{
    const auto it = m_entries.find(endpoint);
    return it == m_entries.end() || it->second.startedAtMs != startedAtMs ? nullptr : &it->second;
}

bool EndpointAdvice::recordLeaving(const std::string &endpoint, uint64_t startedAtMs, Time now)
{
    Entry *entry = entryFor(endpoint, startedAtMs);
    if (entry == nullptr || entry->leaving)
        return false;
    entry->leaving = true;
    entry->recordedAt = now;
    return true;
}

Time EndpointAdvice::recordPause(const std::string &endpoint, uint64_t startedAtMs, Millis pause, Time now)
{
    Entry *entry = entryFor(endpoint, startedAtMs);
    if (entry == nullptr)
        return Time();
    entry->pausedUntil = std::max(entry->pausedUntil, now + std::min(pause, MaxEndpointPause));
    return entry->pausedUntil;
}

bool EndpointAdvice::leaving(const std::string &endpoint, uint64_t startedAtMs) const
{
    const Entry *entry = find(endpoint, startedAtMs);
    return entry != nullptr && entry->leaving;
}

Time EndpointAdvice::pausedUntil(const std::string &endpoint, uint64_t startedAtMs) const
{
    const Entry *entry = find(endpoint, startedAtMs);
    return entry == nullptr ? Time() : entry->pausedUntil;
}

std::vector<pb::LeavingReport> EndpointAdvice::leavingReports(Time now)
{
    std::erase_if(m_entries, [now](const std::pair<const std::string, Entry> &it) {
        const bool left = !it.second.leaving || now > it.second.recordedAt + LeavingRetention;
        return left && now > it.second.pausedUntil;
    });
    std::vector<pb::LeavingReport> reports;
    for (const std::pair<const std::string, Entry> &it : m_entries) {
        if (!it.second.leaving || now > it.second.recordedAt + LeavingReportTime)
            continue;
        pb::LeavingReport &report = reports.emplace_back();
        report.set_endpoint(it.first);
        report.set_born_ms(it.second.startedAtMs);
    }
    return reports;
}

} // namespace roserail
