// Clocks of the process. Only transport and the programs read them; state and coordination receive the time as an
// argument.
#pragma once

#include "state/types.h"

#include <ctime>

namespace roserail
{

// Includes the time for which the host was suspended: a suspension must not extend a lease.
inline Time monotonicNow()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Time(Millis(int64_t(now.tv_sec) * 1000 + now.tv_nsec / 1000000));
}

inline uint64_t wallMillis()
{
    return uint64_t(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace roserail
