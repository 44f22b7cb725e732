#include "coordination/dispatcher.h"

#include "state/invariant.h"
#include "state/tunables.h"

#include <algorithm>
#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

namespace
{

// Rendezvous hashing (highest random weight): all routers prefer the same endpoint for a prefix, without communication.
uint64_t rendezvousWeight(uint64_t prefixHash, const EndpointId &endpoint)
{
    uint64_t x = prefixHash ^ std::hash<std::string>()(endpoint.value());
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    return x;
}

Error overloaded(std::string message, Millis retryAfter)
{
    return Error{ErrorKind::Overloaded, std::move(message), std::max(retryAfter, MinRetryAfter).count()};
}

} // namespace

Dispatcher::Dispatcher(std::string pool)
    : m_pool(std::move(pool))
{
}

bool Dispatcher::serves(const Endpoint &endpoint, const QueuedRequest &request) const
{
    if (endpoint.entry.gone())
        return false;
    if (request.service)
        return endpoint.entry.service();
    return std::any_of(endpoint.entry.artifacts().begin(), endpoint.entry.artifacts().end(),
                       [&](const pb::ArtifactReport &it) { return it.artifact() == request.target; });
}

bool Dispatcher::hasRoom(const Endpoint &endpoint, const QueuedRequest &request) const
{
    if (endpoint.running >= endpoint.entry.capacity())
        return false;
    const uint32_t overnightLimit = std::max(1u, uint32_t(endpoint.entry.capacity() * MaxOvernightShare));
    return request.requestClass == RequestClass::Interactive || endpoint.runningOvernight < overnightLimit;
}

Dispatcher::Endpoint *Dispatcher::choose(const QueuedRequest &request, Time now)
{
    const bool alternatives = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const std::pair<const EndpointId, Endpoint> &it) {
        return serves(it.second, request) && request.avoid.count(it.first) == 0;
    });
    Endpoint *leastLoaded = nullptr;
    Endpoint *preferred = nullptr;
    const auto load = [](const Endpoint &it) {
        return it.running + it.entry.load_level() * it.entry.capacity() / 8;
    };
    for (std::pair<const EndpointId, Endpoint> &it : m_endpoints) {
        const auto refused = it.second.refusedUntil.find(request.target);
        const bool recentlyRefused = refused != it.second.refusedUntil.end() && now < refused->second;
        const bool avoided = alternatives && request.avoid.count(it.first) != 0;
        if (recentlyRefused || avoided || !serves(it.second, request) || !hasRoom(it.second, request))
            continue;
        if (leastLoaded == nullptr || load(it.second) < load(*leastLoaded))
            leastLoaded = &it.second;
        const bool heavier = preferred == nullptr
            || rendezvousWeight(request.prefixHash, it.first)
                > rendezvousWeight(request.prefixHash, EndpointId(preferred->entry.endpoint()));
        if (request.prefixHash != 0 && heavier)
            preferred = &it.second;
    }
    if (preferred != nullptr && load(*preferred) <= load(*leastLoaded) + PrefixAffinitySlack)
        return preferred;
    return leastLoaded;
}

uint32_t Dispatcher::capacityFor(const QueuedRequest &request) const
{
    uint32_t n = 0;
    for (const std::pair<const EndpointId, Endpoint> &it : m_endpoints)
        n += serves(it.second, request) ? it.second.entry.capacity() : 0;
    return n;
}

uint32_t Dispatcher::requestsAhead(const QueuedRequest &request) const
{
    return uint32_t(std::count_if(m_queue.begin(), m_queue.end(), [&](const QueuedRequest &it) {
        const bool before
            = it.requestClass < request.requestClass || (it.requestClass == request.requestClass && it.deadline < request.deadline);
        return it.target == request.target && before;
    }));
}

// Returns why a request cannot be answered by its deadline, with the time after which a retry may succeed.
std::optional<Error> Dispatcher::refusalReason(const QueuedRequest &request, Time now) const
{
    if (now >= m_leaseUntil)
        return Error{ErrorKind::NotRun, "this router has lost contact with the control replicas; not run, use another address",
                     MinRetryAfter.count()};
    if (!request.replicaAllowed)
        return overloaded(fmt::format("the document allows no replica of '{}'; not run, raise replicas.max", request.target), MaxDeadline);
    const uint32_t capacity = capacityFor(request);
    const auto it = m_targets.find(request.target);
    const double serviceMs = it == m_targets.end() ? 0 : it->second.serviceMs;
    Millis wait{0};
    if (capacity > 0) {
        wait = Millis(int64_t(serviceMs * double(requestsAhead(request)) / double(capacity)));
    } else if (it != m_targets.end() && it->second.estimate && now < it->second.estimate->validUntil) {
        const Estimate &estimate = *it->second.estimate;
        if (!estimate.placeable)
            return overloaded(fmt::format("no endpoint has memory for '{}'; not run, retry later", request.target), request.loadTime);
        wait = std::max(Millis(0), estimate.readyAt - now);
    }
    const Millis needed = wait + Millis(int64_t(RequiredServiceTimeShare * serviceMs));
    if (now + needed <= request.deadline && now < request.deadline)
        return std::nullopt;
    return overloaded(
        fmt::format("no answer by the deadline is possible: '{}' needs about {} ms; not run, retry later or set a later deadline",
                    request.target, needed.count()),
        wait);
}

Result<void> Dispatcher::admit(QueuedRequest request, Time now)
{
    Target &target = m_targets[request.target];
    target.lastUse = now;
    target.usedSinceReport = true;
    const std::optional<Error> refusal = refusalReason(request, now);
    if (refusal)
        return *refusal;
    size_t sameTarget = 0;
    size_t sameCaller = 0;
    for (const QueuedRequest &it : m_queue) {
        sameTarget += it.target == request.target ? 1 : 0;
        sameCaller += it.caller == request.caller ? 1 : 0;
    }
    if (sameTarget >= MaxQueuedPerArtifact)
        return overloaded(fmt::format("{} requests are queued for '{}'; not run, retry later", sameTarget, request.target), MinRetryAfter);
    if (sameCaller >= MaxQueuedPerCaller)
        return overloaded(
            fmt::format("{} requests of '{}' are queued; not run, send fewer requests at once", sameCaller, request.caller.value()),
            MinRetryAfter);
    m_queue.push_back(std::move(request));
    return boost::outcome_v2::success();
}

void Dispatcher::finish(const Grant &grant, const QueuedRequest &request, AttemptEnd end, Millis serviceTime, Time now)
{
    const auto endpoint = m_endpoints.find(grant.endpoint);
    if (endpoint != m_endpoints.end() && endpoint->second.entry.incarnation() == grant.incarnation && endpoint->second.running > 0) {
        --endpoint->second.running;
        endpoint->second.runningOvernight
            -= request.requestClass == RequestClass::Overnight && endpoint->second.runningOvernight > 0 ? 1 : 0;
        // The endpoint is full or has just unloaded the artifact: skips it for RefusalCooldown or until its
        // directory entry is updated.
        if (end == AttemptEnd::RefusedNotRun)
            endpoint->second.refusedUntil[request.target] = now + RefusalCooldown;
    }
    Target &target = m_targets[request.target];
    invariant(target.running > 0, "only a granted request finishes");
    --target.running;
    const auto running = m_runningByCaller.find(request.caller);
    invariant(running != m_runningByCaller.end(), "only a granted request finishes");
    if (--running->second == 0)
        m_runningByCaller.erase(running);
    if (end == AttemptEnd::Completed) {
        const double ms = double(serviceTime.count());
        target.serviceMs = target.serviceMs == 0 ? ms : target.serviceMs + ServiceTimeEwmaWeight * (ms - target.serviceMs);
    }
}

void Dispatcher::setEndpoint(const pb::DirectoryEntry &entry)
{
    Endpoint &endpoint = m_endpoints[EndpointId(entry.endpoint())];
    if (endpoint.entry.incarnation() != entry.incarnation()) {
        endpoint.running = 0;
        endpoint.runningOvernight = 0;
    }
    endpoint.entry = entry;
    endpoint.refusedUntil.clear();
    for (const pb::ArtifactReport &it : entry.artifacts()) {
        const auto target = m_targets.find(it.artifact());
        if (target != m_targets.end())
            target->second.estimate.reset();
    }
}

void Dispatcher::setEstimate(const pb::LoadEstimate &estimate, Time now)
{
    const auto it = m_targets.find(estimate.artifact());
    if (it != m_targets.end())
        it->second.estimate = Estimate{now + Millis(estimate.ready_in_ms()), now + LoadEstimateTtl, estimate.placeable()};
}

void Dispatcher::setLease(Time until)
{
    m_leaseUntil = until;
}

// Orders by class, interactive before overnight; then by the caller's number of running requests; then by deadline.
std::vector<size_t> Dispatcher::schedulingOrder() const
{
    std::vector<size_t> indexes(m_queue.size());
    for (size_t i = 0; i < indexes.size(); ++i)
        indexes[i] = i;
    const auto running = [this](const CallerId &caller) {
        const auto it = m_runningByCaller.find(caller);
        return it == m_runningByCaller.end() ? 0u : it->second;
    };
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
        const QueuedRequest &x = m_queue[a];
        const QueuedRequest &y = m_queue[b];
        if (x.requestClass != y.requestClass)
            return x.requestClass < y.requestClass;
        if (running(x.caller) != running(y.caller))
            return running(x.caller) < running(y.caller);
        return x.deadline < y.deadline;
    });
    return indexes;
}

Decisions Dispatcher::decide(Time now)
{
    Decisions decisions;
    std::set<TicketId> left;
    bool granted = now < m_leaseUntil;
    // Grants one request at a time: each grant changes the callers' shares, by which the order is computed.
    while (granted) {
        granted = false;
        for (const size_t i : schedulingOrder()) {
            const QueuedRequest &request = m_queue[i];
            Endpoint *endpoint = now < request.deadline ? choose(request, now) : nullptr;
            if (endpoint == nullptr)
                continue;
            ++endpoint->running;
            endpoint->runningOvernight += request.requestClass == RequestClass::Overnight ? 1 : 0;
            ++m_runningByCaller[request.caller];
            ++m_targets[request.target].running;
            decisions.grants.push_back(
                Grant{request.ticket, EndpointId(endpoint->entry.endpoint()), endpoint->entry.incarnation(), endpoint->entry.address()});
            m_queue.erase(m_queue.begin() + long(i));
            granted = true;
            break;
        }
    }
    std::vector<QueuedRequest> kept;
    for (QueuedRequest &it : m_queue) {
        const std::optional<Error> refusal = refusalReason(it, now);
        if (refusal)
            decisions.refusals.push_back(Refusal{it.ticket, *refusal});
        else
            kept.push_back(std::move(it));
    }
    m_queue = std::move(kept);
    return decisions;
}

std::vector<pb::Demand> Dispatcher::takeDemands(Time now)
{
    std::map<std::string, pb::Demand> demands;
    for (std::pair<const std::string, Target> &it : m_targets) {
        if (it.second.running == 0 && !it.second.usedSinceReport)
            continue;
        it.second.usedSinceReport = false;
        pb::Demand &demand = demands[it.first];
        demand.set_running(it.second.running);
        demand.set_idle_ms(uint32_t((now - it.second.lastUse).count()));
    }
    for (const QueuedRequest &it : m_queue) {
        if (it.service)
            continue;
        pb::Demand &demand = demands[it.target];
        const uint32_t left = uint32_t(std::max<int64_t>(0, (it.deadline - now).count()));
        demand.set_wait_ms(demand.waiting() == 0 ? left : std::min(demand.wait_ms(), left));
        demand.set_waiting(demand.waiting() + 1);
        demand.set_interactive(demand.interactive() || it.requestClass == RequestClass::Interactive);
    }
    std::vector<pb::Demand> result;
    for (std::pair<const std::string, pb::Demand> &it : demands) {
        it.second.set_artifact(it.first);
        result.push_back(std::move(it.second));
    }
    return result;
}

} // namespace roserail
