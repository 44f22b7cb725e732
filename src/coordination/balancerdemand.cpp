// Demand in Balancer: this router's waiting, running and refused requests per model and adapter, for the control host.
#include "coordination/balancer.h"
#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

Balancer::Demand &Balancer::demandFor(const EndpointRequirements &requirements)
{
    return m_demands[ArtifactKey{requirements.service, requirements.model, requirements.adapter}];
}

void Balancer::startWaiting(const EndpointRequirements &requirements, Time now)
{
    demandFor(requirements).waiting.insert(now);
}

void Balancer::stopWaiting(const EndpointRequirements &requirements, Time since)
{
    std::multiset<Time> &waiting = demandFor(requirements).waiting;
    const auto it = waiting.find(since);
    if (it != waiting.end())
        waiting.erase(it);
}

void Balancer::recordRefusal(const EndpointRequirements &requirements, Time now)
{
    std::deque<Time> &refused = demandFor(requirements).refused;
    refused.push_back(now);
    if (refused.size() > MaxRefusalsPerArtifact)
        refused.pop_front();
}

std::vector<EndpointKey> Balancer::servingEndpoints(const EndpointRequirements &requirements, Time now) const
{
    std::vector<EndpointKey> result;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (canServe(it.second, requirements, now) && now >= acceptsFrom(it.second, now) && !m_reachability.unreachable(it.first))
            result.push_back(it.second.key);
    }
    return result;
}

bool Balancer::hasWaitingRequests() const
{
    return std::any_of(m_demands.begin(), m_demands.end(),
                       [](const std::pair<const ArtifactKey, Demand> &it) { return !it.second.waiting.empty(); });
}

std::vector<pb::ArtifactDemand> Balancer::demands(Time now)
{
    std::vector<pb::ArtifactDemand> result;
    for (std::pair<const ArtifactKey, Demand> &it : m_demands) {
        Demand &demand = it.second;
        while (!demand.refused.empty() && demand.refused.front() + RefusalMemory < now)
            demand.refused.pop_front();
        if (demand.running == 0 && demand.waiting.empty() && demand.refused.empty())
            continue;
        pb::ArtifactDemand out;
        out.set_service(std::get<0>(it.first).value());
        out.set_model(std::get<1>(it.first));
        out.set_adapter(std::get<2>(it.first));
        out.set_running(demand.running);
        out.set_waiting(uint32_t(demand.waiting.size()));
        out.set_refused(uint32_t(demand.refused.size()));
        Millis total{0};
        for (const Time since : demand.waiting)
            total += now - since;
        out.set_total_wait_ms(uint64_t(total.count()));
        if (!demand.waiting.empty())
            out.set_longest_wait_ms(uint32_t((now - *demand.waiting.begin()).count()));
        result.push_back(std::move(out));
    }
    std::erase_if(m_demands, [](const std::pair<const ArtifactKey, Demand> &it) {
        return it.second.running == 0 && it.second.waiting.empty() && it.second.refused.empty();
    });
    return result;
}

} // namespace roserail
