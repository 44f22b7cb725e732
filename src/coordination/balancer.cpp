#include "coordination/balancer.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Prompt memory is kept per model and adapter: the same part counts for one of them only.
uint64_t partKey(const Need &need, uint64_t part)
{
    const uint64_t artifact = std::hash<std::string>()(need.model + "/" + need.adapter);
    return part ^ (artifact * 0x9e3779b97f4a7c15ull);
}

std::string artifactName(const Need &need)
{
    return need.adapter.empty() ? need.model : need.model + "/" + need.adapter;
}

} // namespace

Balancer::Balancer(std::string zone)
    : m_zone(std::move(zone))
{
}

void Balancer::update(const Registry &registry)
{
    for (const std::pair<const std::string, LiveEndpoint> &it : registry.endpoints()) {
        Endpoint &endpoint = m_endpoints[it.first];
        if (endpoint.announcement.born_ms() != it.second.announcement.born_ms()) {
            endpoint.parts.clear();
            endpoint.failedUntil = Time();
        }
        endpoint.announcement = it.second.announcement;
        endpoint.usable = it.second.usable();
        endpoint.held.clear();
        for (const pb::HeldModel &model : it.second.models())
            endpoint.held[model.model()].insert(model.adapters().begin(), model.adapters().end());
    }
    for (std::pair<const std::string, Endpoint> &it : m_endpoints)
        it.second.usable = it.second.usable && registry.endpoints().count(it.first) != 0;
    std::erase_if(m_endpoints, [&](const std::pair<const std::string, Endpoint> &it) {
        return it.second.own == 0 && registry.endpoints().count(it.first) == 0;
    });
}

bool Balancer::serves(const ServiceId &service) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const std::pair<const std::string, Endpoint> &it) {
        return it.second.usable && it.second.announcement.service() == service.value();
    });
}

bool Balancer::holds(const Endpoint &endpoint, const Need &need, Time now) const
{
    if (!endpoint.usable || endpoint.announcement.service() != need.service.value()
        || need.avoid.count(endpoint.announcement.endpoint()) != 0)
        return false;
    if (need.model.empty())
        return true;
    const auto model = endpoint.held.find(need.model);
    if (model == endpoint.held.end() || (!need.adapter.empty() && model->second.count(need.adapter) == 0))
        return false;
    const auto refused = endpoint.notHeldUntil.find(artifactName(need));
    return refused == endpoint.notHeldUntil.end() || now >= refused->second;
}

uint32_t Balancer::cachedTokens(const Endpoint &endpoint, const Need &need) const
{
    uint32_t tokens = 0;
    for (const PromptPart &it : need.prompt) {
        if (endpoint.parts.count(partKey(need, it.id)) == 0)
            break;
        tokens += it.tokens;
    }
    return tokens;
}

// The expected time, in milliseconds, until the request's first byte, and what its stay costs others.
double Balancer::cost(const Endpoint &endpoint, const Need &need, Time now) const
{
    const bool fresh = now < endpoint.observedAt + LoadObservationTtl;
    const double running = double(endpoint.own) + (fresh ? double(endpoint.observed) : 0);
    const double slots = std::max(1u, endpoint.announcement.slots());
    double ms = endpoint.announcement.zone() == m_zone ? 0 : CrossZoneRoundTripMs;
    if (!need.model.empty()) {
        const uint32_t cached = std::min(cachedTokens(endpoint, need), need.promptTokens);
        ms += double(need.promptTokens - cached) / PrefillTokensPerMs;
    }
    ms += running / slots * FullBatchCostMs;
    if (running >= slots)
        ms += (running - slots + 1) * QueuedRequestCostMs;
    if (now < endpoint.failedUntil)
        ms += FailedEndpointCostMs;
    return ms;
}

std::optional<Choice> Balancer::choose(const Need &need, Time now) const
{
    const Endpoint *best = nullptr;
    double bestCost = 0;
    uint32_t candidates = 0;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (!holds(it.second, need, now))
            continue;
        ++candidates;
        const double candidate = cost(it.second, need, now);
        if (best == nullptr || candidate < bestCost) {
            best = &it.second;
            bestCost = candidate;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    Choice choice{best->announcement.endpoint(), best->announcement.address(), best->announcement.born_ms(), {}};
    choice.inputs = ChoiceInputs{candidates, bestCost, best->own, best->observed, Millis(-1), cachedTokens(*best, need)};
    if (best->observedAt != Time())
        choice.inputs.othersAge = now - best->observedAt;
    return choice;
}

void Balancer::rememberPrompt(Endpoint &endpoint, const Need &need, Time now)
{
    for (const PromptPart &it : need.prompt)
        endpoint.parts[partKey(need, it.id)] = now;
    if (endpoint.parts.size() > MaxPromptPartsPerEndpoint)
        std::erase_if(endpoint.parts, [&](const std::pair<const uint64_t, Time> &it) { return now > it.second + PromptPartTtl; });
}

void Balancer::started(const Need &need, const Choice &choice, Time now)
{
    Endpoint &endpoint = m_endpoints[choice.endpoint];
    ++endpoint.own;
    if (need.model.empty())
        return;
    rememberPrompt(endpoint, need, now);
    ++demandOf(need).running;
}

void Balancer::ended(const Need &need, const Choice &choice, StayEnd end, Time now)
{
    if (!need.model.empty())
        --demandOf(need).running;
    const auto it = m_endpoints.find(choice.endpoint);
    if (it == m_endpoints.end())
        return;
    --it->second.own;
    if (end == StayEnd::Failed)
        it->second.failedUntil = now + EndpointFailureCooldown;
    if (end == StayEnd::NotHeld)
        it->second.notHeldUntil[artifactName(need)] = now + ModelNotHeldCooldown;
}

void Balancer::observeLoad(const std::string &endpoint, uint32_t running, uint32_t waiting, Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    const uint32_t all = running + waiting;
    it->second.observed = all > it->second.own ? all - it->second.own : 0;
    it->second.observedAt = now;
}

Balancer::Demand &Balancer::demandOf(const Need &need)
{
    return m_demands[ArtifactKey{need.service, need.model, need.adapter}];
}

void Balancer::waits(const Need &need, Time now)
{
    demandOf(need).waiting.insert(now);
}

void Balancer::stopsWaiting(const Need &need, Time since)
{
    std::multiset<Time> &waiting = demandOf(need).waiting;
    const auto it = waiting.find(since);
    if (it != waiting.end())
        waiting.erase(it);
}

bool Balancer::anyWaiting() const
{
    return std::any_of(m_demands.begin(), m_demands.end(),
                       [](const std::pair<const ArtifactKey, Demand> &it) { return !it.second.waiting.empty(); });
}

std::vector<pb::ArtifactDemand> Balancer::demands(Time now)
{
    std::vector<pb::ArtifactDemand> result;
    for (std::pair<const ArtifactKey, Demand> &it : m_demands) {
        Demand &demand = it.second;
        if (demand.running == 0 && demand.waiting.empty())
            continue;
        pb::ArtifactDemand out;
        out.set_service(std::get<0>(it.first).value());
        out.set_model(std::get<1>(it.first));
        out.set_adapter(std::get<2>(it.first));
        out.set_running(demand.running);
        out.set_waiting(uint32_t(demand.waiting.size()));
        Millis total{0};
        for (const Time since : demand.waiting)
            total += now - since;
        out.set_total_wait_ms(uint64_t(total.count()));
        if (!demand.waiting.empty())
            out.set_longest_wait_ms(uint32_t((now - *demand.waiting.begin()).count()));
        result.push_back(std::move(out));
    }
    std::erase_if(m_demands,
                  [](const std::pair<const ArtifactKey, Demand> &it) { return it.second.running == 0 && it.second.waiting.empty(); });
    return result;
}

} // namespace roserail
