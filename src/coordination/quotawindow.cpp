#include "coordination/quotawindow.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

namespace
{

constexpr int SlotsPerWindow = 128;

double unitsIn(Millis time, const QuotaEnvelope &envelope)
{
    return envelope.perSecond * double(time.count()) / 1000;
}

// Grants under a higher limit count as the same share of a lower one: an account whose limit was lowered gets its new rate at once.
double shareUnder(const QuotaEnvelope &now, const QuotaEnvelope &then)
{
    if (now == then || then.size <= 0 || then.perSecond <= 0)
        return 1;
    return std::min(1.0, std::max(now.size / then.size, now.perSecond / then.perSecond));
}

} // namespace

double QuotaWindow::left(const QuotaEnvelope &envelope, Time now) const
{
    double granted = 0;
    double least = envelope.size;
    for (auto it = m_slots.rbegin(); it != m_slots.rend() && it->until >= now - envelope.window; ++it) {
        granted += it->units * shareUnder(envelope, it->envelope);
        least = std::min(least, envelope.size + unitsIn(std::max(Millis(0), Millis(now - it->until)), envelope) - granted);
    }
    if (!complete(envelope, now))
        least = std::min(least, unitsIn(std::max(Millis(0), Millis(now - m_beganAt)), envelope) - granted);
    return least;
}

void QuotaWindow::add(double units, const QuotaEnvelope &envelope, Time now)
{
    // The next limit may have a longer window.
    while (!m_slots.empty() && m_slots.front().until < now - envelope.window - tunables::MaxQuotaGrantAge)
        m_slots.pop_front();
    if (m_slots.empty() || m_slots.back().envelope != envelope || now - m_slots.back().from > envelope.window / SlotsPerWindow)
        m_slots.push_back({now, now, envelope, 0});
    m_slots.back().units += units;
    m_slots.back().until = std::max(m_slots.back().until, now);
}

} // namespace roserail
