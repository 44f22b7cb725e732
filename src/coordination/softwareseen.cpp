#include "coordination/softwareseen.h"

#include <algorithm>
#include <xxhash.h>

namespace roserail
{

void SoftwareSeen::record(const Registry &registry, Time now)
{
    for (const std::pair<const std::string, LiveEndpoint> &it : registry.endpoints()) {
        const pb::Announcement &endpoint = it.second.announcement;
        if (!endpoint.gone() && !endpoint.lost())
            m_seenAt[{endpoint.service(), endpoint.software()}] = now;
    }
}

void SoftwareSeen::record(const pb::RecordSoftware &listed, Time now)
{
    for (const pb::SoftwareUse &it : listed.uses())
        m_seenAt[{it.service(), it.version()}] = now;
}

pb::RecordSoftware SoftwareSeen::list(Time now)
{
    std::erase_if(m_seenAt, [&](const std::pair<const Use, Time> &it) { return now > it.second + m_retention; });
    pb::RecordSoftware result;
    for (const std::pair<const Use, Time> &it : m_seenAt) {
        pb::SoftwareUse &use = *result.add_uses();
        use.set_service(it.first.first);
        use.set_version(it.first.second);
    }
    return result;
}

std::set<SoftwareVersion> SoftwareSeen::versions(const std::string &service, Time now) const
{
    std::set<SoftwareVersion> result;
    for (auto it = m_seenAt.lower_bound({service, ""}); it != m_seenAt.end() && it->first.first == service; ++it) {
        if (now <= it->second + m_retention)
            result.emplace(it->first.second);
    }
    return result;
}

bool SoftwareSeen::severalOfAny(Time now) const
{
    return std::any_of(m_seenAt.begin(), m_seenAt.end(),
                       [&](const std::pair<const Use, Time> &it) { return several(it.first.first, now); });
}

std::optional<SoftwareVersion> onlyVersion(const std::set<SoftwareVersion> &versions, const Confirmation &listed, Time continuedAt)
{
    if (!listed.covers(continuedAt) || versions.size() != 1)
        return std::nullopt;
    return *versions.begin();
}

uint64_t softwareChecksum(const pb::RecordSoftware &listed)
{
    const std::string bytes = listed.SerializeAsString();
    return bytes.empty() ? 0 : XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace roserail
