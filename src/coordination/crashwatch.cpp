#include "coordination/crashwatch.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

bool CrashWatch::recordCrash(Fingerprint fingerprint, const std::string &endpoint, uint64_t startedAtMs, Time now)
{
    const EndpointIncarnation incarnation(endpoint, startedAtMs);
    const bool known = std::any_of(m_ownReports.begin(), m_ownReports.end(),
                                   [&](const OwnReport &it) { return it.fingerprint == fingerprint && it.incarnation == incarnation; });
    if (known)
        return false;
    m_ownReports.push_back(OwnReport{fingerprint, incarnation, now + QuarantineDuration});
    if (m_ownReports.size() > MaxCrashReportsPerRouter)
        m_ownReports.pop_front();
    return true;
}

void CrashWatch::recordAnswer(Fingerprint fingerprint)
{
    std::erase_if(m_ownReports, [fingerprint](const OwnReport &it) { return it.fingerprint == fingerprint; });
}

void CrashWatch::update(const Registry &registry, const std::string &self)
{
    m_otherReports.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (it.first == self)
            continue;
        for (const pb::CrashReport &report : it.second.state.crashes())
            m_otherReports[Fingerprint(report.fingerprint())].emplace(report.endpoint(), report.born_ms());
    }
}

size_t CrashWatch::crashCount(Fingerprint fingerprint, Time now) const
{
    std::set<EndpointIncarnation> incarnations;
    const auto others = m_otherReports.find(fingerprint);
    if (others != m_otherReports.end())
        incarnations = others->second;
    for (const OwnReport &it : m_ownReports) {
        if (it.fingerprint == fingerprint && now < it.until)
            incarnations.insert(it.incarnation);
    }
    return incarnations.size();
}

bool CrashWatch::shouldRefuse(Fingerprint fingerprint, Time now) const
{
    return crashCount(fingerprint, now) >= RefusalCrashThreshold;
}

std::vector<pb::CrashReport> CrashWatch::reports(Time now)
{
    std::erase_if(m_ownReports, [now](const OwnReport &it) { return now >= it.until; });
    std::vector<pb::CrashReport> result;
    for (const OwnReport &it : m_ownReports) {
        pb::CrashReport &report = result.emplace_back();
        report.set_fingerprint(it.fingerprint.value());
        report.set_endpoint(it.incarnation.first);
        report.set_born_ms(it.incarnation.second);
    }
    return result;
}

} // namespace roserail
