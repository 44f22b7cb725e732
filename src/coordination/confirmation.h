// How current a process's knowledge of others is: the latest time as of which another process has confirmed it.
//
// A decision that rests on the absence of news names the time of the event that it must know of, and waits for a confirmation as of a
// later time. Load pattern: a host that stood still, or was cut off, reads replies of before that time first.
#pragma once

#include "state/types.h"

#include <algorithm>

namespace roserail
{

class Confirmation
{
public:
    // Records that a process asked at `askedAt` has confirmed what was known `age` before. The time of its reply says nothing: it may
    // have been read much later.
    void record(Time askedAt, Millis age)
    {
        m_asOf = std::max(m_asOf, askedAt - age);
    }
    // Returns whether all that happened up to `event` is known. The clock's resolution does not order times that are equal.
    bool covers(Time event) const
    {
        return m_asOf > event;
    }
    // Returns the time since the knowledge was current, at most an hour.
    Millis age(Time now) const
    {
        constexpr Millis maxAge = std::chrono::hours(1); // older or unknown knowledge is as useless
        return m_asOf < now - maxAge ? maxAge : std::max(Millis(0), Millis(now - m_asOf));
    }

private:
    Time m_asOf{}; // the earliest: never
};

} // namespace roserail
