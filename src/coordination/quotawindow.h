// What an account was granted lately, and how much it may be granted now.
//
// Load pattern: an account sends several times its limit for seconds, pauses, and does so again. A plain token bucket that may refill
// after any burst must be small to keep a bound in every window; one that forgets what is older than the window may hold the burst.
#pragma once

#include "state/types.h"

#include <deque>

namespace roserail
{

// In any time of length x, up to `window`, at most size + perSecond * x units are granted.
struct QuotaEnvelope {
    double size = 0;
    double perSecond = 0;
    Millis window{0};
    bool operator==(const QuotaEnvelope &) const = default;
};

class QuotaWindow
{
public:
    // Until `beganAt` an earlier leader may have granted as much as the envelope allows for.
    explicit QuotaWindow(Time beganAt)
        : m_beganAt(beganAt)
    {
    }
    // Returns the units that may be granted at `now`. It grows by at least `perSecond` up to `size`; negative after a limit was lowered.
    double left(const QuotaEnvelope &envelope, Time now) const;
    void add(double units, const QuotaEnvelope &envelope, Time now);
    // Returns whether all grants that count at `now` are known.
    bool complete(const QuotaEnvelope &envelope, Time now) const
    {
        return now > m_beganAt + envelope.window;
    }

private:
    // Grants at nearly the same time, under the same envelope.
    struct Slot {
        Time from{};
        Time until{};
        QuotaEnvelope envelope;
        double units = 0;
    };
    Time m_beganAt;
    std::deque<Slot> m_slots;
};

} // namespace roserail
