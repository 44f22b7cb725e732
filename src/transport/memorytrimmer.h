// Gives memory back to the system after a crowd: the allocator keeps what lies between blocks that are still in use.
#pragma once

#include "state/types.h"

namespace roserail
{

class MemoryTrimmer
{
public:
    // Call it at intervals. `usedBytes`: of all buffers.
    void review(size_t usedBytes);

private:
    size_t m_peakBytes = 0; // since memory was last given back
};

} // namespace roserail
