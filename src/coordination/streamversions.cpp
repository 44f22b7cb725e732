#include "coordination/streamversions.h"

namespace roserail
{

void StreamVersions::record(StreamId stream, const SoftwareVersion &version, Time now)
{
    const auto forgetOldest = [this] {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    };
    while (!m_order.empty() && m_entries[m_order.front()].until <= now)
        forgetOldest();
    if (m_entries.count(stream) != 0)
        return;
    while (m_order.size() >= m_maxStreams)
        forgetOldest();
    m_entries[stream] = Entry{version, now + m_retention};
    m_order.push_back(stream);
}

std::optional<SoftwareVersion> StreamVersions::find(StreamId stream, Time now) const
{
    const auto it = m_entries.find(stream);
    if (it == m_entries.end() || it->second.until <= now)
        return std::nullopt;
    return it->second.version;
}

void StreamVersions::addReports(pb::RouterState &state, Millis window, size_t maxStreams, Time now) const
{
    size_t n = 0;
    for (auto it = m_order.rbegin(); it != m_order.rend() && n < maxStreams; ++it, ++n) {
        const Entry &entry = m_entries.at(*it);
        if (now >= entry.until - m_retention + window)
            return;
        addStream(*state.mutable_begun_streams(), entry.version, *it);
    }
}

} // namespace roserail
