#include "coordination/endpointadvice.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

Millis age(Time at, Time now)
{
    return std::max(Millis(0), Millis(now - at));
}

} // namespace

bool EndpointCapacity::update(const EndpointCapacity &newer)
{
    const bool refused = newer.refusedAt > refusedAt + RefusalReportInterval;
    const bool changed = newer.requestsPerSecond != requestsPerSecond || newer.maxRefusals != maxRefusals || refused;
    requestsPerSecond = newer.requestsPerSecond;
    maxRefusals = newer.maxRefusals;
    refusedAt = refused ? newer.refusedAt : refusedAt;
    return changed;
}

EndpointCapacity fromProto(const pb::EndpointCapacity &message, Time now)
{
    EndpointCapacity capacity;
    if (message.has_max_refusals())
        capacity.maxRefusals = message.max_refusals();
    if (message.has_refused_age_ms())
        capacity.refusedAt = now - Millis(message.refused_age_ms());
    if (message.has_requests_per_second())
        capacity.requestsPerSecond = message.requests_per_second();
    return capacity;
}

pb::EndpointCapacity toProto(const EndpointCapacity &capacity, Time toldAt, Time now)
{
    pb::EndpointCapacity message;
    if (capacity.maxRefusals)
        message.set_max_refusals(*capacity.maxRefusals);
    if (now < capacity.refusedAt + BrittleRefusalPause + BrittlePauseJitter)
        message.set_refused_age_ms(uint64_t(age(capacity.refusedAt, now).count()));
    if (capacity.requestsPerSecond)
        message.set_requests_per_second(*capacity.requestsPerSecond);
    message.set_age_ms(uint64_t(age(toldAt, now).count()));
    return message;
}

EndpointAdvice::Entry *EndpointAdvice::entryFor(const std::string &endpoint, uint64_t startedAtMs)
{
    Entry &entry = m_entries[endpoint];
    if (startedAtMs < entry.startedAtMs)
        return nullptr;
    if (startedAtMs > entry.startedAtMs) {
        entry = Entry();
        entry.startedAtMs = startedAtMs;
    }
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

bool EndpointAdvice::recordCapacity(const std::string &endpoint, uint64_t startedAtMs, const EndpointCapacity &capacity, Time sentAt,
                                    Time now)
{
    const Entry *known = find(endpoint, startedAtMs);
    if (!capacity.restricts() && (known == nullptr || !known->capacity.restricts() || sentAt <= known->capacityAt))
        return false;
    Entry *entry = entryFor(endpoint, startedAtMs);
    if (entry == nullptr)
        return false;
    entry->capacityAt = now;
    entry->capacityOwn = true;
    return entry->capacity.update(capacity);
}

bool EndpointAdvice::recordRefusal(const std::string &endpoint, uint64_t startedAtMs, Time now)
{
    EndpointCapacity refused = capacity(endpoint, startedAtMs).capacity;
    if (!refused.maxRefusals)
        return false;
    refused.refusedAt = now;
    return recordCapacity(endpoint, startedAtMs, refused, now, now);
}

void EndpointAdvice::recordShared(const std::string &endpoint, uint64_t startedAtMs, const EndpointCapacity &capacity, Time at)
{
    Entry *entry = entryFor(endpoint, startedAtMs);
    if (entry == nullptr || at <= entry->capacityAt)
        return;
    entry->capacity.update(capacity);
    entry->capacityAt = at;
    entry->capacityOwn = false;
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

EndpointAdvice::KnownCapacity EndpointAdvice::capacity(const std::string &endpoint, uint64_t startedAtMs) const
{
    const Entry *entry = find(endpoint, startedAtMs);
    return entry == nullptr ? KnownCapacity{} : KnownCapacity{entry->capacity, entry->capacityAt};
}

void EndpointAdvice::addReports(pb::RouterState &state, Time now)
{
    std::erase_if(m_entries, [now](const std::pair<const std::string, Entry> &it) {
        const bool left = !it.second.leaving || now > it.second.recordedAt + LeavingRetention;
        return left && now > it.second.pausedUntil && now > it.second.capacityAt + CapacityRetention;
    });
    for (const std::pair<const std::string, Entry> &it : m_entries) {
        const Entry &entry = it.second;
        const bool leaving = entry.leaving && now <= entry.recordedAt + LeavingReportTime;
        const bool capacity = entry.capacityOwn && now <= entry.capacityAt + CapacityReportTime;
        if (!leaving && !capacity)
            continue;
        pb::EndpointAdvice &report = *state.add_advice();
        report.set_endpoint(it.first);
        report.set_born_ms(entry.startedAtMs);
        report.set_leaving(leaving);
        if (capacity)
            *report.mutable_capacity() = toProto(entry.capacity, entry.capacityAt, now);
        if (!leaving)
            continue;
        pb::LeavingReport &earlierForm = *state.add_leaving();
        earlierForm.set_endpoint(it.first);
        earlierForm.set_born_ms(entry.startedAtMs);
    }
}

} // namespace roserail
