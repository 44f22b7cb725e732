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

bool SoftwareSeen::several(const std::string &service, Time now) const
{
    size_t n = 0;
    for (auto it = m_seenAt.lower_bound({service, ""}); it != m_seenAt.end() && it->first.first == service; ++it)
        n += now <= it->second + m_retention ? 1 : 0;
    return n > 1;
}

bool SoftwareSeen::severalOfAny(Time now) const
{
    return std::any_of(m_seenAt.begin(), m_seenAt.end(),
                       [&](const std::pair<const Use, Time> &it) { return several(it.first.first, now); });
}

uint64_t softwareChecksum(const pb::RecordSoftware &listed)
{
    const std::string bytes = listed.SerializeAsString();
    return bytes.empty() ? 0 : XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace roserail
