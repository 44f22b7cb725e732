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

uint32_t admissionRank(const Urgency &urgency, Millis waited)
{
    const uint32_t late = waited >= urgency.aim ? 1 : 0;
    return std::min(LastAdmissionRank, 2 * std::min(urgency.priority, LastAdmissionRank) + late);
}

} // namespace roserail
