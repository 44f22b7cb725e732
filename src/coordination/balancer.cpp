#include "coordination/balancer.h"

#include "state/rendezvous.h"
#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr double MaxOwnSlotPace = 2; // of an endpoint on which a router uses the slots that are its share

// Returns the cache key of a prompt part. Engines cache prompts per model and adapter, so these are mixed into the key.
uint64_t partKey(const EndpointRequirements &requirements, uint64_t part)
{
    const uint64_t artifact = std::hash<std::string>()(requirements.model + "/" + requirements.adapter);
    return part ^ (artifact * 0x9e3779b97f4a7c15ull);
}

std::string artifactName(const EndpointRequirements &requirements)
{
    return requirements.adapter.empty() ? requirements.model : requirements.model + "/" + requirements.adapter;
}

} // namespace

Balancer::Balancer(std::string zone, std::string self)
    : m_zone(std::move(zone))
    , m_self(self)
    , m_limitShare(std::move(self))
{
}

void Balancer::update(const Registry &registry)
{
    const uint64_t seen = m_seenVersion;
    m_seenVersion = registry.version();
    std::vector<std::string> routers;
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (it.second.state.accepting())
            routers.push_back(it.first);
    }
    m_limitShare.setRouters(std::move(routers));
    for (const std::pair<const std::string, LiveEndpoint> &it : registry.endpoints()) {
        if (std::max(it.second.version, it.second.holdingsVersion) <= seen)
            continue;
        Endpoint &endpoint = m_endpoints[it.first];
        if (endpoint.announcement.born_ms() != it.second.announcement.born_ms()) {
            endpoint.announcedAt = it.second.lastSeenAt;
            endpoint.cachedParts.clear();
            endpoint.failedUntil = Time();
            endpoint.fullUntil = Time();
            endpoint.sharedAt = Time();
            endpoint.slowdown.forget();
            m_reachability.forget(it.first);
        }
        endpoint.announcement = it.second.announcement;
        endpoint.key = endpointKey(it.first, endpoint.announcement.born_ms());
        endpoint.rank = rendezvousRank(m_self, it.first);
        endpoint.usable = it.second.usable();
        updateCapacity(it.second);
        endpoint.copies = std::set<std::string>(it.second.announcement.on_disk().begin(), it.second.announcement.on_disk().end());
        endpoint.loading.clear();
        for (const pb::LoadingModel &model : it.second.holdings.loading())
            endpoint.loading[model.model()] = it.second.holdingsAt + Millis(model.ready_in_ms());
        endpoint.held.clear();
        for (const pb::HeldModel &model : it.second.models())
            endpoint.held[model.model()].insert(model.adapters().begin(), model.adapters().end());
    }
    for (std::pair<const std::string, Endpoint> &it : m_endpoints)
        it.second.usable = it.second.usable && registry.endpoints().count(it.first) != 0;
    std::erase_if(m_endpoints, [&](const std::pair<const std::string, Endpoint> &it) {
        const bool removed = it.second.ownRequests == 0 && registry.endpoints().count(it.first) == 0;
        if (removed)
            m_reachability.forget(it.first);
        return removed;
    });
}

void Balancer::setRecordedSoftware(const pb::RecordSoftware &list, bool kept)
{
    m_softwareKept = kept;
    m_recordedSoftware.clear();
    for (const pb::SoftwareUse &it : list.uses())
        m_recordedSoftware.emplace(it.service(), it.version());
}

bool Balancer::softwareRecorded(const Endpoint &endpoint, Time now) const
{
    return !m_softwareKept || m_recordedSoftware.count({endpoint.announcement.service(), endpoint.announcement.software()}) != 0
        || now >= endpoint.announcedAt + UnrecordedSoftwareWait;
}

void Balancer::updateCapacity(const LiveEndpoint &endpoint)
{
    if (endpoint.capacityAt == Time())
        return;
    const std::string &id = endpoint.announcement.endpoint();
    const uint64_t startedAtMs = endpoint.announcement.born_ms();
    const bool limited = limit(id, startedAtMs).has_value();
    m_advice.recordShared(id, startedAtMs, endpoint.capacity, endpoint.capacityAt);
    applyCapacity(endpoint.announcement, endpoint.capacity, limited, endpoint.capacityAt);
}

void Balancer::applyCapacity(const pb::Announcement &endpoint, const EndpointCapacity &capacity, bool wasLimited, Time toldAt)
{
    if (!wasLimited && limit(endpoint.endpoint(), endpoint.born_ms()))
        m_limitShare.recordSend(endpoint.endpoint(), toldAt);
    if (!capacity.maxRefusals)
        return;
    Time &until = m_brittleUntil[endpoint.service()];
    until = std::max(until, toldAt + CapacityConfirmTime);
}

bool Balancer::hasUsableEndpoint(const EndpointRequirements &requirements) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const std::pair<const std::string, Endpoint> &it) {
        // An endpoint that has broken off the stream is not asked to continue it.
        const bool tried = requirements.software && requirements.avoid.count(it.first) != 0;
        return usable(it.second) && matches(it.second, requirements) && !tried;
    });
}

std::set<SoftwareVersion> Balancer::softwareVersions(const ServiceId &service) const
{
    std::set<SoftwareVersion> versions;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (it.second.announcement.service() == service.value())
            versions.emplace(it.second.announcement.software());
    }
    return versions;
}

bool Balancer::matches(const Endpoint &endpoint, const EndpointRequirements &requirements)
{
    return endpoint.announcement.service() == requirements.service.value()
        && (!requirements.software || endpoint.announcement.software() == requirements.software->value());
}

ColdModel Balancer::coldModel(const EndpointRequirements &requirements, Time now) const
{
    ColdModel result;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        const Endpoint &endpoint = it.second;
        if (!matches(endpoint, requirements) || !usable(endpoint))
            continue;
        // The engine may be about to load the model again, or lack only the adapter.
        result.copyExists |= endpoint.copies.count(requirements.model) != 0 || endpoint.held.count(requirements.model) != 0;
        const auto loading = endpoint.loading.find(requirements.model);
        if (loading != endpoint.loading.end() && now < loading->second + OverdueLoadTolerance)
            result.loadedAt = result.loadedAt ? std::min(*result.loadedAt, loading->second) : loading->second;
    }
    return result;
}

bool Balancer::usable(const Endpoint &endpoint) const
{
    return endpoint.usable && !m_advice.leaving(endpoint.announcement.endpoint(), endpoint.announcement.born_ms());
}

std::vector<std::string> Balancer::usableEndpoints() const
{
    std::vector<std::string> result;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (usable(it.second))
            result.push_back(it.first);
    }
    return result;
}

bool Balancer::reachableByOthersOnly(const EndpointRequirements &requirements, Time now) const
{
    EndpointRequirements all = requirements;
    all.avoid.clear(); // an endpoint that this request could not connect to is one of them
    bool any = false;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (!canServe(it.second, all, now))
            continue;
        if (!m_reachability.unreachable(it.first))
            return false;
        any = true;
    }
    return any;
}

std::map<std::string, std::string> Balancer::otherEndpoints(const std::string &endpoint, size_t n) const
{
    std::map<std::string, std::string> result;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (result.size() < n && it.first != endpoint && usable(it.second))
            result[it.first] = it.second.announcement.address();
    }
    return result;
}

bool Balancer::hasUnreachableEndpoint() const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [this](const std::pair<const std::string, Endpoint> &it) {
        return usable(it.second) && m_reachability.unreachable(it.first);
    });
}

std::map<std::string, std::string> Balancer::dueProbes(Time now)
{
    std::map<std::string, std::string> result;
    for (const std::string &it : m_reachability.dueProbes(usableEndpoints(), now))
        result[it] = m_endpoints.at(it).announcement.address();
    return result;
}

Time Balancer::acceptsFrom(const Endpoint &endpoint, uint64_t startedAtMs, Time now) const
{
    const std::string &id = endpoint.announcement.endpoint();
    Time result = m_advice.pausedUntil(id, startedAtMs);
    const EndpointAdvice::KnownCapacity known = m_advice.capacity(id, startedAtMs);
    const bool confirmed = now < known.toldAt + CapacityConfirmTime;
    if (known.capacity.requestsPerSecond)
        result = std::max(result, m_limitShare.nextSendAt(id, *known.capacity.requestsPerSecond, confirmed));
    if (brittle(endpoint.announcement.service(), now))
        result = std::max(result, brittleAcceptsFrom(endpoint, known.capacity, now));
    return result;
}

Time Balancer::brittleAcceptsFrom(const Endpoint &endpoint, const EndpointCapacity &capacity, Time now) const
{
    Time result{};
    if (capacity.refusedAt != Time())
        result = capacity.refusedAt + BrittleRefusalPause + m_limitShare.jitter(endpoint.announcement.endpoint(), BrittlePauseJitter);
    const uint32_t slots = std::max(1u, endpoint.announcement.slots());
    const bool fresh = now < endpoint.loadReportedAt + LoadObservationTtl;
    if (endpoint.ownRequests >= std::max(1u, slots / uint32_t(m_limitShare.routers())))
        result = std::max(result, now + BrittleSlotWait);
    else if (fresh && endpoint.ownRequests + endpoint.otherRequests >= slots)
        result = std::max(result, endpoint.loadReportedAt + LoadObservationTtl);
    return result;
}

bool Balancer::brittle(const std::string &service, Time now) const
{
    const auto it = m_brittleUntil.find(service);
    return it != m_brittleUntil.end() && now < it->second;
}

bool Balancer::accepts(const EndpointChoice &choice, Time now) const
{
    if (m_advice.leaving(choice.endpoint, choice.startedAtMs) || now < m_advice.pausedUntil(choice.endpoint, choice.startedAtMs))
        return false;
    const auto it = m_endpoints.find(choice.endpoint);
    return it == m_endpoints.end() || now >= acceptsFrom(it->second, choice.startedAtMs, now);
}

std::optional<Restriction> Balancer::restriction(const EndpointRequirements &requirements, size_t waiting, Time now) const
{
    std::vector<Time> times;
    bool byLimit = false;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (!canServe(it.second, requirements, now))
            continue;
        const Time from = acceptsFrom(it.second, now);
        if (now >= from)
            return std::nullopt;
        times.push_back(from);
        byLimit |= limit(it.first, it.second.announcement.born_ms()) || brittle(it.second.announcement.service(), now);
    }
    if (times.empty())
        return std::nullopt;
    std::sort(times.begin(), times.end());
    return Restriction{waiting < times.size() ? times[waiting] : Time::max(), byLimit};
}

void Balancer::recordSend(const EndpointChoice &choice, Time now)
{
    if (limit(choice.endpoint, choice.startedAtMs))
        m_limitShare.recordSend(choice.endpoint, now);
}

bool Balancer::recordRefusal(const EndpointChoice &choice, Time now)
{
    return m_advice.recordRefusal(choice.endpoint, choice.startedAtMs, now);
}

bool Balancer::recordCapacity(const EndpointChoice &choice, const EndpointCapacity &capacity, Time sentAt, Time now)
{
    const bool limited = limit(choice.endpoint, choice.startedAtMs).has_value();
    const bool changed = m_advice.recordCapacity(choice.endpoint, choice.startedAtMs, capacity, sentAt, now);
    const auto endpoint = m_endpoints.find(choice.endpoint);
    if (endpoint != m_endpoints.end())
        applyCapacity(endpoint->second.announcement, capacity, limited, now);
    return changed;
}

bool Balancer::canServe(const Endpoint &endpoint, const EndpointRequirements &requirements, Time now) const
{
    if (!matches(endpoint, requirements) || !usable(endpoint) || requirements.avoid.count(endpoint.announcement.endpoint()) != 0)
        return false;
    if (requirements.recordedSoftware && !softwareRecorded(endpoint, now))
        return false;
    if (requirements.model.empty())
        return true;
    const auto model = endpoint.held.find(requirements.model);
    if (model == endpoint.held.end() || (!requirements.adapter.empty() && model->second.count(requirements.adapter) == 0))
        return false;
    const auto refused = endpoint.notHeldUntil.find(artifactName(requirements));
    return refused == endpoint.notHeldUntil.end() || now >= refused->second;
}

uint32_t Balancer::cachedTokens(const Endpoint &endpoint, const EndpointRequirements &requirements) const
{
    uint32_t tokens = 0;
    for (const PromptPart &it : requirements.prompt) {
        if (endpoint.cachedParts.count(partKey(requirements, it.id)) == 0)
            break;
        tokens += it.tokens;
    }
    return tokens;
}

const ServiceSpeed *Balancer::speedOf(const Endpoint &endpoint) const
{
    const auto it = m_speeds.find(endpoint.announcement.service());
    return it == m_speeds.end() ? nullptr : &it->second;
}

double Balancer::otherRequestsOn(const Endpoint &endpoint, Time now) const
{
    const ServiceSpeed *speed = speedOf(endpoint);
    const Time sharedAt = endpoint.sharedAt - EndpointUseDelay;
    if (speed != nullptr && now < endpoint.sharedAt + LoadObservationTtl && sharedAt > endpoint.loadReportedAt)
        return speed->expectedRequests(endpoint.sharedRequests, now - sharedAt);
    if (now >= endpoint.loadReportedAt + LoadObservationTtl)
        return 0;
    return speed == nullptr ? endpoint.otherRequests : speed->expectedRequests(endpoint.otherRequests, now - endpoint.loadReportedAt);
}

double Balancer::requestsOn(const Endpoint &endpoint, Time now) const
{
    const double requests = double(endpoint.ownRequests) + otherRequestsOn(endpoint, now);
    return now < endpoint.fullUntil ? std::max(requests, double(slotsOf(endpoint))) : requests;
}

uint32_t Balancer::slotsOf(const Endpoint &endpoint)
{
    return std::max(1u, endpoint.slots > 0 ? endpoint.slots : endpoint.announcement.slots());
}

bool Balancer::hasFreeSlot(const EndpointRequirements &requirements, Time now) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const std::pair<const std::string, Endpoint> &it) {
        return requestsOn(it.second, now) < slotsOf(it.second) && canServe(it.second, requirements, now)
            && now >= acceptsFrom(it.second, now) && !m_reachability.unreachable(it.first);
    });
}

// Returns the expected time to the request's first byte plus the delay that it causes to other requests, in milliseconds.
double Balancer::cost(const Endpoint &endpoint, const EndpointRequirements &requirements, uint32_t cachedTokens, Time now) const
{
    const double running = requestsOn(endpoint, now);
    const double slots = slotsOf(endpoint);
    double ms = endpoint.announcement.zone() == m_zone ? 0 : CrossZoneRoundTripMs;
    double workMs = running / slots * FullBatchCostMs;
    if (!requirements.model.empty())
        workMs += double(requirements.promptTokens - std::min(cachedTokens, requirements.promptTokens)) / PrefillTokensPerMs;
    if (running >= slots)
        workMs += (running - slots + 1) * QueuedRequestCostMs;
    const ServiceSpeed *speed = speedOf(endpoint);
    if (speed != nullptr) {
        workMs += requirements.model.empty() ? speed->serviceMs() : 0; // the first event of a stream comes long before its end
        workMs *= speed->pace(endpoint.slowdown, now);
    }
    ms += workMs;
    if (now < endpoint.failedUntil)
        ms += FailedEndpointCostMs;
    return ms;
}

ChoiceInputs Balancer::inputsOf(const Endpoint &endpoint, Time now) const
{
    ChoiceInputs inputs;
    inputs.ownRequests = endpoint.ownRequests;
    inputs.otherRequests = uint32_t(std::max(0.0, otherRequestsOn(endpoint, now)));
    inputs.slots = slotsOf(endpoint);
    const Time known = std::max(endpoint.loadReportedAt, endpoint.sharedAt);
    if (known != Time())
        inputs.otherRequestsAge = now - known;
    if (endpoint.slowdown.at() != Time()) {
        inputs.slowdown = endpoint.slowdown.latest();
        inputs.slowdownAge = now - endpoint.slowdown.at();
    }
    return inputs;
}

EndpointCandidate Balancer::candidate(const Endpoint &endpoint, const EndpointRequirements &requirements, Time now) const
{
    EndpointCandidate out;
    out.cachedTokens = cachedTokens(endpoint, requirements);
    out.costMs = cost(endpoint, requirements, out.cachedTokens, now);
    out.rank = endpoint.rank;
    const uint32_t slots = slotsOf(endpoint);
    out.freeSlots = double(slots) - requestsOn(endpoint, now);
    const ServiceSpeed *speed = speedOf(endpoint);
    const bool slowed = speed != nullptr && speed->pace(endpoint.slowdown, now) > MaxOwnSlotPace;
    out.ownSlotFree = !slowed && endpoint.ownRequests < m_limitShare.ownSlots(endpoint.key.value(), slots);
    return out;
}

std::optional<EndpointChoice> Balancer::choose(const EndpointRequirements &requirements, Time now, bool lastResort) const
{
    std::vector<const Endpoint *> endpoints;
    std::vector<EndpointCandidate> candidates;
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        if (!canServe(it.second, requirements, now) || now < acceptsFrom(it.second, now))
            continue;
        const bool unreachable = m_reachability.unreachable(it.first);
        if (unreachable && !lastResort)
            continue;
        endpoints.push_back(&it.second);
        candidates.push_back(candidate(it.second, requirements, now));
        candidates.back().costMs += unreachable ? UnreachableEndpointCostMs : 0;
    }
    if (candidates.empty())
        return std::nullopt;
    const bool uneven = speedOf(*endpoints.front()) != nullptr;
    const size_t selected = uneven ? selectUneven(candidates, requirements.spread) : selectInTurn(candidates, requirements.spread);
    const Endpoint *best = endpoints[selected];
    EndpointChoice choice{best->announcement.endpoint(),
                          best->announcement.address(),
                          best->announcement.born_ms(),
                          SoftwareVersion(best->announcement.software()),
                          {}};
    choice.inputs = inputsOf(*best, now);
    choice.inputs.candidates = uint32_t(candidates.size());
    choice.inputs.expectedMs = candidates[selected].costMs;
    choice.inputs.ownSlot = uneven && candidates[selected].ownSlotFree;
    choice.inputs.cachedTokens = candidates[selected].cachedTokens;
    return choice;
}

void Balancer::recordPrompt(Endpoint &endpoint, const EndpointRequirements &requirements, Time now)
{
    for (const PromptPart &it : requirements.prompt)
        endpoint.cachedParts[partKey(requirements, it.id)] = now;
    if (endpoint.cachedParts.size() > MaxPromptPartsPerEndpoint)
        std::erase_if(endpoint.cachedParts, [&](const std::pair<const uint64_t, Time> &it) { return now > it.second + PromptPartTtl; });
}

void Balancer::attemptStarted(const EndpointRequirements &requirements, const EndpointChoice &choice, Time now)
{
    Endpoint &endpoint = m_endpoints[choice.endpoint];
    ++endpoint.ownRequests;
    if (requirements.model.empty())
        return;
    recordPrompt(endpoint, requirements, now);
    ++demandFor(requirements).running;
}

void Balancer::attemptEnded(const EndpointRequirements &requirements, const EndpointChoice &choice, AttemptOutcome end, Time now,
                            Millis took)
{
    if (!requirements.model.empty())
        --demandFor(requirements).running;
    const auto it = m_endpoints.find(choice.endpoint);
    if (it == m_endpoints.end())
        return;
    --it->second.ownRequests;
    const auto speed = m_speeds.find(it->second.announcement.service());
    if (end == AttemptOutcome::Answered && speed != m_speeds.end())
        speed->second.recordDuration(took);
    if (end == AttemptOutcome::Full && speed != m_speeds.end())
        it->second.fullUntil = now + Millis(int64_t(speed->second.serviceMs() * speed->second.pace(it->second.slowdown, now)));
    if (end == AttemptOutcome::Failed)
        it->second.failedUntil = now + EndpointFailureCooldown;
    if (end == AttemptOutcome::NotHeld)
        it->second.notHeldUntil[artifactName(requirements)] = now + ModelNotHeldCooldown;
}

void Balancer::observeLoad(const std::string &endpoint, const EndpointLoad &load, Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    const uint32_t all = load.running + load.waiting;
    it->second.slots = load.slots.value_or(0);
    it->second.otherRequests = all > it->second.ownRequests ? all - it->second.ownRequests : 0;
    it->second.loadReportedAt = now;
    if (!load.slowdown)
        return;
    it->second.slowdown.record(*load.slowdown, now);
    m_speeds[it->second.announcement.service()].recordSlowdown(*load.slowdown);
}

void Balancer::addUse(pb::RouterState &state, Time now) const
{
    if (m_speeds.empty())
        return;
    pb::EndpointUse &use = *state.mutable_use();
    for (const std::pair<const std::string, Endpoint> &it : m_endpoints) {
        const bool reported = it.second.slowdown.at() != Time() && now < it.second.slowdown.at() + SlowdownReportTime
            && it.second.slowdown.at() == it.second.loadReportedAt;
        if (speedOf(it.second) != nullptr && (it.second.ownRequests > 0 || reported))
            roserail::addUse(use, it.second.key, it.second.ownRequests,
                             reported ? std::optional<double>(it.second.slowdown.latest()) : std::nullopt);
    }
}

void Balancer::applyUse(const pb::EndpointUse &use, Time now)
{
    std::unordered_map<uint32_t, int> positions;
    for (int i = 0; i < std::min(use.endpoints_size(), use.requests_size()); ++i)
        positions[use.endpoints(i)] = i;
    std::map<std::string, std::pair<double, size_t>> sums; // requests and endpoints, by service
    for (std::pair<const std::string, Endpoint> &it : m_endpoints) {
        Endpoint &endpoint = it.second;
        if (speedOf(endpoint) == nullptr)
            continue;
        const auto known = positions.find(endpoint.key.value());
        endpoint.sharedRequests = known == positions.end() ? 0 : use.requests(known->second);
        endpoint.sharedAt = now;
        if (known != positions.end() && slowdownIn(use, known->second) && endpoint.loadReportedAt + EndpointUseDelay < now)
            endpoint.slowdown.record(*slowdownIn(use, known->second), now - EndpointUseDelay);
        sums[endpoint.announcement.service()].first += endpoint.sharedRequests;
        ++sums[endpoint.announcement.service()].second;
    }
    for (const std::pair<const std::string, std::pair<double, size_t>> &it : sums)
        m_speeds[it.first].setMeanRequests(it.second.first / double(it.second.second));
}

} // namespace roserail
