#include "coordination/crashwatch.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

bool CrashWatch::crashed(Fingerprint fingerprint, const std::string &endpoint, uint64_t born, Time now)
{
    const Life life(endpoint, born);
    const bool known
        = std::any_of(m_own.begin(), m_own.end(), [&](const OwnReport &it) { return it.fingerprint == fingerprint && it.life == life; });
    if (known)
        return false;
    m_own.push_back(OwnReport{fingerprint, life, now + QuarantineDuration});
    if (m_own.size() > MaxCrashReportsPerRouter)
        m_own.pop_front();
    return true;
}

void CrashWatch::answered(Fingerprint fingerprint)
{
    std::erase_if(m_own, [fingerprint](const OwnReport &it) { return it.fingerprint == fingerprint; });
}

void CrashWatch::update(const Registry &registry, const std::string &self)
{
    m_others.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (it.first == self)
            continue;
        for (const pb::CrashReport &report : it.second.state.crashes())
            m_others[Fingerprint(report.fingerprint())].emplace(report.endpoint(), report.born_ms());
    }
}

size_t CrashWatch::crashes(Fingerprint fingerprint, Time now) const
{
    std::set<Life> lives;
    const auto others = m_others.find(fingerprint);
    if (others != m_others.end())
        lives = others->second;
    for (const OwnReport &it : m_own) {
        if (it.fingerprint == fingerprint && now < it.until)
            lives.insert(it.life);
    }
    return lives.size();
}

bool CrashWatch::refuses(Fingerprint fingerprint, Time now) const
{
    return crashes(fingerprint, now) >= RefusalCrashThreshold;
}

std::vector<pb::CrashReport> CrashWatch::reports(Time now)
{
    std::erase_if(m_own, [now](const OwnReport &it) { return now >= it.until; });
    std::vector<pb::CrashReport> result;
    for (const OwnReport &it : m_own) {
        pb::CrashReport &report = result.emplace_back();
        report.set_fingerprint(it.fingerprint.value());
        report.set_endpoint(it.life.first);
        report.set_born_ms(it.life.second);
    }
    return result;
}

} // namespace roserail
