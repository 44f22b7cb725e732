#include "coordination/messageage.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// At which the least difference is forgotten: a sender's clock may drift, or may not have run while its host was suspended.
constexpr double DifferenceRise = 0.2; // ms a ms

} // namespace

Millis MessageAges::age(const std::string &sender, uint64_t incarnation, uint64_t sentAtMs, Time receivedAt)
{
    if (sentAtMs == 0 || sentAtMs > uint64_t(MaxClockMillis))
        return Millis(0);
    const double difference = double(toMillis(receivedAt) - int64_t(sentAtMs));
    if (m_senders.size() >= MaxMessageSenders && m_senders.count(sender) == 0)
        m_senders.clear();
    const Sender begun{incarnation, difference, receivedAt};
    const auto [it, first] = m_senders.try_emplace(sender, begun);
    Sender &known = it->second;
    // A message of an earlier process of the sender's says nothing about the new one's clock.
    if (first || incarnation < known.incarnation)
        return Millis(0);
    if (incarnation > known.incarnation)
        known = begun;
    const double rise = DifferenceRise * double(std::max<int64_t>(0, (receivedAt - known.at).count()));
    known.leastDifferenceMs = std::min(known.leastDifferenceMs + rise, difference);
    known.at = std::max(known.at, receivedAt);
    return Millis(int64_t(difference - known.leastDifferenceMs));
}

} // namespace roserail
