#include "transport/memorytrimmer.h"

#include "state/tunables.h"

#include <algorithm>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace roserail
{

void MemoryTrimmer::review(size_t usedBytes)
{
    m_peakBytes = std::max(m_peakBytes, usedBytes);
    if (m_peakBytes < usedBytes + tunables::MinTrimBytes)
        return;
    m_peakBytes = usedBytes;
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}

} // namespace roserail
