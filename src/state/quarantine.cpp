#include "state/quarantine.h"

#include "state/tunables.h"

#include <algorithm>
#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

pb::CommandResult Quarantine::report(const pb::ReportCrash &command, WallTime now)
{
    pb::CrashRecord &record = m_records[Fingerprint(command.fingerprint())];
    record.set_fingerprint(command.fingerprint());
    const std::string incident = fmt::format("{}/{}", command.endpoint(), command.incarnation());
    const bool counted = std::find(record.incidents().begin(), record.incidents().end(), incident) != record.incidents().end();
    if (!counted)
        record.add_incidents(incident);
    record.set_until_ms(uint64_t((now + QuarantineDuration).time_since_epoch().count()));
    pb::CommandResult result;
    result.set_count(uint32_t(record.incidents_size()));
    return result;
}

void Quarantine::expire(WallTime now)
{
    std::erase_if(m_records, [now](const std::pair<const Fingerprint, pb::CrashRecord> &it) {
        return int64_t(it.second.until_ms()) <= now.time_since_epoch().count();
    });
}

std::vector<Fingerprint> Quarantine::quarantined() const
{
    std::vector<Fingerprint> fingerprints;
    for (const std::pair<const Fingerprint, pb::CrashRecord> &it : m_records) {
        if (uint32_t(it.second.incidents_size()) >= QuarantineCrashThreshold)
            fingerprints.push_back(it.first);
    }
    return fingerprints;
}

void Quarantine::save(pb::MachineState &out) const
{
    for (const std::pair<const Fingerprint, pb::CrashRecord> &it : m_records)
        *out.add_crashes() = it.second;
}

void Quarantine::restore(const pb::MachineState &in)
{
    m_records.clear();
    for (const pb::CrashRecord &it : in.crashes())
        m_records[Fingerprint(it.fingerprint())] = it;
}

} // namespace roserail
