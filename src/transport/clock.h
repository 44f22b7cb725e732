// The process's clocks. Only the shell reads them.
#pragma once

#include "state/types.h"

namespace roserail
{

inline Time monotonicNow()
{
    return Time(std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
}

inline uint64_t wallMillis()
{
    return uint64_t(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace roserail
