#include "coordination/urgency.h"

#include <algorithm>

namespace roserail
{

std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route, const ServiceId &service, uint32_t priority)
{
    if (!table.accounts || route.latencyTarget <= Millis(0))
        return std::nullopt;
    const auto leadsToService = [&](const Route &it) {
        return std::any_of(it.services.begin(), it.services.end(), [&](const WeightedService &to) { return to.service == service; });
    };
    const bool differs = std::any_of(table.routes.begin(), table.routes.end(),
                                     [&](const Route &it) { return it.priority != route.priority && leadsToService(it); });
    return differs ? std::optional(Urgency{priority, route.latencyTarget}) : std::nullopt;
}

void UrgencyCount::add(const std::optional<Urgency> &urgency)
{
    if (urgency)
        ++m_requests[*urgency];
}

void UrgencyCount::remove(const std::optional<Urgency> &urgency)
{
    const auto it = urgency ? m_requests.find(*urgency) : m_requests.end();
    if (it != m_requests.end() && --it->second == 0)
        m_requests.erase(it);
}

uint32_t admissionRank(const Urgency &urgency, Millis waited)
{
    const uint32_t late = waited >= urgency.aim ? 1 : 0;
    return std::min(LastAdmissionRank, 2 * std::min(urgency.priority, LastAdmissionRank) + late);
}

bool mayDisplace(const Urgency &urgency, const VictimUse &victim)
{
    return urgency.priority < victim.urgency.priority && victim.waiting == 0 && victim.reloadTime <= victim.urgency.aim;
}

bool isSpared(const Urgency &victim, const Urgency &urgency, Millis longestWait)
{
    return victim.priority < urgency.priority && longestWait < urgency.aim / 2;
}

} // namespace roserail
