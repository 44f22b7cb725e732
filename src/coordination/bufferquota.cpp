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

bool BufferShare::resize(size_t bytes, size_t maxBytes)
{
    if (bytes == m_bytes)
        return bytes <= maxBytes;
    if (bytes > maxBytes)
        return false;
    const std::lock_guard lock(m_quota.m_mutex);
    const size_t others = m_quota.m_usedBytes - m_bytes;
    if (bytes > m_bytes && others + bytes > m_quota.limit(bytes))
        return false;
    m_quota.m_usedBytes = others + bytes;
    m_quota.m_peakBytes = std::max(m_quota.m_peakBytes, m_quota.m_usedBytes);
    m_bytes = bytes;
    return true;
}

} // namespace roserail
