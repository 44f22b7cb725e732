// Deadlines of the planned stop of an entry host.
//
// Load pattern: callers go on sending until the process is gone, on open connections, and on new ones while their address lists contain
// the host. Each request that is taken gets its final answer before the process ends; others are refused while they can still be
// served elsewhere.
#pragma once

#include "state/types.h"

namespace roserail
{

struct StopSchedule {
    Time finishAt{}; // the host stops listening: address lists that contain it have expired, if the grace period is long enough
    Time answersBy{}; // all requests have their final answers
    Time exitAt{}; // the process ends with what is left
    // Returns whether a request may begin: its caller's time ends before the answers are due.
    bool mayBegin(Time deadline) const
    {
        return deadline <= answersBy;
    }
};

// `grace`: from the signal until the process is killed.
StopSchedule stopSchedule(Time signalledAt, Millis grace);

} // namespace roserail
