// Limits the memory for answers and events that a router holds until they are complete, over all requests.
//
// Load pattern: many answers at once never end, each within the limit of a single answer.
#pragma once

#include <cstddef>

namespace roserail
{

class BufferQuota
{
public:
    // `totalBytes`: limit of all buffers together.
    explicit BufferQuota(size_t totalBytes)
        : m_totalBytes(totalBytes)
    {
    }
    size_t usedBytes() const
    {
        return m_usedBytes;
    }

private:
    friend class BufferShare;
    size_t m_totalBytes;
    size_t m_usedBytes = 0;
};

// The part of the quota that one answer uses. Returned to the quota on destruction.
class BufferShare
{
public:
    explicit BufferShare(BufferQuota &quota)
        : m_quota(quota)
    {
    }
    ~BufferShare()
    {
        m_quota.m_usedBytes -= m_bytes;
    }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    // Sets the bytes in use. Returns false, without a change, if they exceed `maxBytes` or what the quota has left.
    bool resize(size_t bytes, size_t maxBytes);

private:
    BufferQuota &m_quota;
    size_t m_bytes = 0;
};

} // namespace roserail
