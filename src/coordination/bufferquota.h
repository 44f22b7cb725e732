// Limits the memory that buffers of one purpose use together, over all connections of a process.
//
// Load patterns: many answers at once never end, each within the limit of a single answer; many callers send large bodies and stop
// short of their end. Small buffers may use a reserve that large ones may not, so that ordinary requests are served beside them.
#pragma once

#include <cstddef>
#include <mutex>

namespace roserail
{

class BufferQuota
{
public:
    // `totalBytes`: limit of all buffers together. `reservedBytes`: part of it for buffers of at most `smallBytes`. `whole`: a quota whose
    // limit holds as well; null if there is none.
    explicit BufferQuota(size_t totalBytes, size_t reservedBytes = 0, size_t smallBytes = 0, BufferQuota *whole = nullptr)
        : m_totalBytes(totalBytes)
        , m_reservedBytes(reservedBytes)
        , m_smallBytes(smallBytes)
        , m_whole(whole)
    {
    }
    size_t totalBytes() const
    {
        return m_totalBytes;
    }
    size_t usedBytes() const;
    size_t peakBytes() const;
    // Returns whether a buffer of this size can ever have room.
    bool canFit(size_t bytes) const
    {
        return bytes <= limit(bytes) && (m_whole == nullptr || m_whole->canFit(bytes));
    }

private:
    friend class BufferShare;
    bool resizeBuffer(size_t from, size_t to);
    size_t limit(size_t bytes) const
    {
        return bytes <= m_smallBytes ? m_totalBytes : m_totalBytes - m_reservedBytes;
    }

    const size_t m_totalBytes;
    const size_t m_reservedBytes;
    const size_t m_smallBytes;
    BufferQuota *const m_whole;
    mutable std::mutex m_mutex;
    size_t m_usedBytes = 0;
    size_t m_peakBytes = 0;
};

// The part of the quota that one buffer uses. Returned to the quota on destruction.
class BufferShare
{
public:
    explicit BufferShare(BufferQuota &quota)
        : m_quota(quota)
    {
    }
    ~BufferShare()
    {
        release();
    }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    BufferQuota &quota() const
    {
        return m_quota;
    }
    size_t bytes() const
    {
        return m_bytes;
    }
    // Sets the bytes in use. Returns false, without a change, if they exceed `maxBytes` or what the quota has left.
    bool resize(size_t bytes, size_t maxBytes);
    void release()
    {
        resize(0, 0);
    }

private:
    BufferQuota &m_quota;
    size_t m_bytes = 0;
};

} // namespace roserail
