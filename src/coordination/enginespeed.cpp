#include "coordination/enginespeed.h"

#include "state/tunables.h"

#include <algorithm>
#include <cmath>

namespace roserail
{

using namespace tunables;

void Slowdown::record(double factor, Time at)
{
    if (at < m_at)
        return;
    // An endpoint whose machine has other work is slower for moments, never faster.
    if (m_at == Time() || factor < m_usual)
        m_usual = factor;
    else
        m_usual += SpeedEwmaWeight * (factor - m_usual);
    m_factor = factor;
    m_at = at;
}

void Slowdown::forget()
{
    *this = Slowdown();
}

std::optional<double> Slowdown::expected(Time now) const
{
    if (m_at == Time())
        return std::nullopt;
    return now < m_at + SlowdownTtl ? m_factor : m_usual;
}

void ServiceSpeed::recordSlowdown(double factor)
{
    m_slowdown += SpeedEwmaWeight * (factor - m_slowdown);
}

void ServiceSpeed::recordDuration(Millis took)
{
    const double ms = double(std::max<int64_t>(1, took.count()));
    m_durationMs = m_durationMs == 0 ? ms : m_durationMs + SpeedEwmaWeight * (ms - m_durationMs);
}

double ServiceSpeed::pace(const Slowdown &slowdown, Time now) const
{
    return slowdown.expected(now).value_or(m_slowdown) / m_slowdown;
}

double ServiceSpeed::serviceMs() const
{
    return std::min(m_durationMs, MaxServiceCostMs);
}

double ServiceSpeed::expectedRequests(double requests, Millis age) const
{
    if (m_durationMs == 0)
        return requests;
    return m_meanRequests + (requests - m_meanRequests) * std::exp(-double(age.count()) / m_durationMs);
}

} // namespace roserail
