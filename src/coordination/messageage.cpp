#include "coordination/messageage.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Millis MessageAges::age(const std::string &sender, uint64_t incarnation, uint64_t sentAtMs, Time receivedAt)
{
    if (sentAtMs == 0 || sentAtMs > uint64_t(MaxClockMillis))
        return Millis(0);
    const int64_t difference = toMillis(receivedAt) - int64_t(sentAtMs);
    if (m_senders.size() >= MaxMessageSenders && m_senders.count(sender) == 0)
        m_senders.clear();
    const auto [it, first] = m_senders.try_emplace(sender, Sender{incarnation, difference});
    Sender &known = it->second;
    // A message of an earlier process of the sender's says nothing about the new one's clock.
    if (first || incarnation < known.incarnation)
        return Millis(0);
    if (incarnation > known.incarnation)
        known = Sender{incarnation, difference};
    known.leastDifferenceMs = std::min(known.leastDifferenceMs, difference);
    return Millis(difference - known.leastDifferenceMs);
}

} // namespace roserail
