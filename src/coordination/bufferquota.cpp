#include "coordination/bufferquota.h"

namespace roserail
{

bool BufferShare::resize(size_t bytes, size_t maxBytes)
{
    const size_t others = m_quota.m_usedBytes - m_bytes;
    if (bytes > maxBytes || (bytes > m_bytes && others + bytes > m_quota.m_totalBytes))
        return false;
    m_quota.m_usedBytes = others + bytes;
    m_bytes = bytes;
    return true;
}

} // namespace roserail
