#include "coordination/stopschedule.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

StopSchedule stopSchedule(Time signalledAt, Millis grace)
{
    StopSchedule schedule;
    schedule.exitAt = signalledAt + grace - StopExitMargin;
    schedule.answersBy = schedule.exitAt - StopAnswerMargin;
    const Time listsExpireAt = signalledAt + ResolveTtl * 3 + SyncInterval * 2;
    schedule.finishAt = std::min(listsExpireAt, schedule.exitAt - StopFinishTime);
    return schedule;
}

} // namespace roserail
