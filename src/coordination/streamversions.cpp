#include "coordination/streamversions.h"

namespace roserail
{

void StreamVersions::record(const std::string &requestId, const SoftwareVersion &version, Time now)
{
    const auto forgetOldest = [this] {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    };
    while (!m_order.empty() && m_entries[m_order.front()].until <= now)
        forgetOldest();
    if (m_entries.count(requestId) != 0)
        return;
    while (m_order.size() >= m_maxStreams)
        forgetOldest();
    m_entries[requestId] = Entry{version, now + m_retention};
    m_order.push_back(requestId);
}

std::optional<SoftwareVersion> StreamVersions::find(const std::string &requestId, Time now) const
{
    const auto it = m_entries.find(requestId);
    if (it == m_entries.end() || it->second.until <= now)
        return std::nullopt;
    return it->second.version;
}

} // namespace roserail
