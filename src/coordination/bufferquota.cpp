#include "coordination/bufferquota.h"

#include <algorithm>

namespace roserail
{

size_t BufferQuota::usedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_usedBytes;
}

size_t BufferQuota::peakBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_peakBytes;
}

// Returns false, without a change, if there is no room for a larger buffer.
bool BufferQuota::resizeBuffer(size_t from, size_t to)
{
    const std::lock_guard lock(m_mutex);
    const size_t others = m_usedBytes - from;
    if (to > from && others + to > limit(to))
        return false;
    if (m_whole != nullptr && !m_whole->resizeBuffer(from, to))
        return false;
    m_usedBytes = others + to;
    m_peakBytes = std::max(m_peakBytes, m_usedBytes);
    return true;
}

bool BufferShare::resize(size_t bytes, size_t maxBytes)
{
    if (bytes == m_bytes)
        return bytes <= maxBytes;
    if (bytes > maxBytes || !m_quota.resizeBuffer(m_bytes, bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace roserail
