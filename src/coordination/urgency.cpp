#include "coordination/urgency.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace roserail
{

std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route, const ServiceId &service, uint32_t priority)
{
    if (!table.accounts || route.latencyTarget <= Millis(0))
        return std::nullopt;
    std::set<uint32_t> ofRoutes{route.priority};
    std::set<uint32_t> priorities; // that requests of the service may have
    const std::map<AccountId, Account> &accounts = table.accounts->all();
    const bool routeDecides
        = std::any_of(accounts.begin(), accounts.end(), [](const std::pair<const AccountId, Account> &it) { return !it.second.priority; });
    for (const Route &it : table.routes) {
        if (std::none_of(it.services.begin(), it.services.end(), [&](const WeightedService &to) { return to.service == service; }))
            continue;
        ofRoutes.insert(it.priority);
        if (routeDecides || it.anonymous)
            priorities.insert(it.priority);
    }
    if (ofRoutes.size() < 2)
        return std::nullopt;
    for (const std::pair<const AccountId, Account> &it : accounts) {
        if (it.second.priority)
            priorities.insert(*it.second.priority);
    }
    const auto level = std::distance(priorities.begin(), priorities.lower_bound(priority));
    return Urgency{priority, route.latencyTarget, uint32_t(level), uint32_t(priorities.size())};
}

AdmissionStep admissionStep(const Urgency &urgency, Millis waited, ShareUse use)
{
    if (use == ShareUse::FarAbove)
        return AdmissionStep::OverShare;
    return waited >= urgency.aim || use == ShareUse::Above ? AdmissionStep::Late : AdmissionStep::InTime;
}

uint32_t admissionRank(const Urgency &urgency, AdmissionStep step)
{
    const uint32_t steps = std::clamp((LastAdmissionRank + 1) / std::max(1u, urgency.levels), 1u, uint32_t(AdmissionStep::OverShare) + 1);
    return std::min(LastAdmissionRank, urgency.level * steps + std::min(uint32_t(step), steps - 1));
}

} // namespace roserail
