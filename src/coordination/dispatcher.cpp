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

// Highest random weight: all routers choose the same endpoint for a prefix, without talking.
uint64_t weight(uint64_t prefixHash, const EndpointId &endpoint)
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

bool Dispatcher::serves(const Endpoint &endpoint, const Waiting &waiting) const
{
    if (endpoint.entry.gone())
        return false;
    if (waiting.service)
        return endpoint.entry.service();
    return std::any_of(endpoint.entry.artifacts().begin(), endpoint.entry.artifacts().end(),
                       [&](const pb::ArtifactReport &it) { return it.artifact() == waiting.target; });
}

bool Dispatcher::hasRoom(const Endpoint &endpoint, const Waiting &waiting) const
{
    if (endpoint.running >= endpoint.entry.capacity())
        return false;
    const uint32_t overnightLimit = std::max(1u, uint32_t(endpoint.entry.capacity() * MaxOvernightShare));
    return waiting.requestClass == RequestClass::Interactive || endpoint.runningOvernight < overnightLimit;
}

Dispatcher::Endpoint *Dispatcher::choose(const Waiting &waiting, Time now)
{
    const bool others = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const std::pair<const EndpointId, Endpoint> &it) {
        return serves(it.second, waiting) && waiting.avoid.count(it.first) == 0;
    });
    Endpoint *least = nullptr;
    Endpoint *preferred = nullptr;
    const auto load = [](const Endpoint &it) {
        return it.running + it.entry.load_level() * it.entry.capacity() / 8;
    };
    for (std::pair<const EndpointId, Endpoint> &it : m_endpoints) {
        const auto refused = it.second.refusedUntil.find(waiting.target);
        const bool pausing = refused != it.second.refusedUntil.end() && now < refused->second;
        const bool avoided = others && waiting.avoid.count(it.first) != 0;
        if (pausing || avoided || !serves(it.second, waiting) || !hasRoom(it.second, waiting))
            continue;
        if (least == nullptr || load(it.second) < load(*least))
            least = &it.second;
        const bool heavier = preferred == nullptr
            || weight(waiting.prefixHash, it.first) > weight(waiting.prefixHash, EndpointId(preferred->entry.endpoint()));
        if (waiting.prefixHash != 0 && heavier)
            preferred = &it.second;
    }
    if (preferred != nullptr && load(*preferred) <= load(*least) + PrefixAffinitySlack)
        return preferred;
    return least;
}

uint32_t Dispatcher::capacityFor(const Waiting &waiting) const
{
    uint32_t n = 0;
    for (const std::pair<const EndpointId, Endpoint> &it : m_endpoints)
        n += serves(it.second, waiting) ? it.second.entry.capacity() : 0;
    return n;
}

uint32_t Dispatcher::ahead(const Waiting &waiting) const
{
    return uint32_t(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &it) {
        const bool before
            = it.requestClass < waiting.requestClass || (it.requestClass == waiting.requestClass && it.deadline < waiting.deadline);
        return it.target == waiting.target && before;
    }));
}

// Why a request cannot be answered by its deadline, with the time after which it could.
std::optional<Error> Dispatcher::hopeless(const Waiting &waiting, Time now) const
{
    if (now >= m_leaseUntil)
        return Error{ErrorKind::NotRun, "this router has lost the control replicas; not run, use another address", MinRetryAfter.count()};
    if (!waiting.everLoadable)
        return overloaded(fmt::format("the document allows no replica of '{}'; not run, raise replicas.max", waiting.target), MaxDeadline);
    const uint32_t capacity = capacityFor(waiting);
    const auto it = m_targets.find(waiting.target);
    const double serviceMs = it == m_targets.end() ? 0 : it->second.serviceMs;
    Millis wait{0};
    if (capacity > 0) {
        wait = Millis(int64_t(serviceMs * double(ahead(waiting)) / double(capacity)));
    } else if (it != m_targets.end() && it->second.estimate && now < it->second.estimate->validUntil) {
        const Estimate &estimate = *it->second.estimate;
        if (!estimate.placeable)
            return overloaded(fmt::format("no endpoint has room for '{}'; not run, come back later", waiting.target), waiting.loadTime);
        wait = std::max(Millis(0), estimate.readyAt - now);
    }
    const Millis needed = wait + Millis(int64_t(RequiredServiceTimeShare * serviceMs));
    if (now + needed <= waiting.deadline && now < waiting.deadline)
        return std::nullopt;
    return overloaded(
        fmt::format("no answer by the deadline is possible: '{}' needs about {} ms; not run, come back later or allow more time",
                    waiting.target, needed.count()),
        wait);
}

Result<void> Dispatcher::admit(Waiting waiting, Time now)
{
    Target &target = m_targets[waiting.target];
    target.lastUse = now;
    target.usedSinceReport = true;
    const std::optional<Error> refusal = hopeless(waiting, now);
    if (refusal)
        return *refusal;
    size_t sameTarget = 0;
    size_t sameCaller = 0;
    for (const Waiting &it : m_waiting) {
        sameTarget += it.target == waiting.target ? 1 : 0;
        sameCaller += it.caller == waiting.caller ? 1 : 0;
    }
    if (sameTarget >= MaxQueuedPerArtifact)
        return overloaded(fmt::format("{} requests wait for '{}'; not run, come back later", sameTarget, waiting.target), MinRetryAfter);
    if (sameCaller >= MaxQueuedPerCaller)
        return overloaded(fmt::format("{} requests of '{}' wait; not run, send fewer at once", sameCaller, waiting.caller.value()),
                          MinRetryAfter);
    m_waiting.push_back(std::move(waiting));
    return boost::outcome_v2::success();
}

void Dispatcher::finish(const Grant &grant, const Waiting &waiting, AttemptEnd end, Millis took, Time now)
{
    const auto endpoint = m_endpoints.find(grant.endpoint);
    if (endpoint != m_endpoints.end() && endpoint->second.entry.incarnation() == grant.incarnation && endpoint->second.running > 0) {
        --endpoint->second.running;
        endpoint->second.runningOvernight
            -= waiting.requestClass == RequestClass::Overnight && endpoint->second.runningOvernight > 0 ? 1 : 0;
        // It is full, or has just unloaded the artifact: the directory will say.
        if (end == AttemptEnd::RefusedNotRun)
            endpoint->second.refusedUntil[waiting.target] = now + RefusalCooldown;
    }
    Target &target = m_targets[waiting.target];
    invariant(target.running > 0, "only a granted request finishes");
    --target.running;
    const auto running = m_runningOfCaller.find(waiting.caller);
    invariant(running != m_runningOfCaller.end(), "only a granted request finishes");
    if (--running->second == 0)
        m_runningOfCaller.erase(running);
    if (end == AttemptEnd::Completed) {
        const double ms = double(took.count());
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

// Interactive before overnight; then the caller with fewest running requests; then the earliest deadline.
std::vector<size_t> Dispatcher::order() const
{
    std::vector<size_t> indexes(m_waiting.size());
    for (size_t i = 0; i < indexes.size(); ++i)
        indexes[i] = i;
    const auto running = [this](const CallerId &caller) {
        const auto it = m_runningOfCaller.find(caller);
        return it == m_runningOfCaller.end() ? 0u : it->second;
    };
    std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
        const Waiting &x = m_waiting[a];
        const Waiting &y = m_waiting[b];
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
    // One grant at a time, so that every choice sees the callers' shares after the one before.
    while (granted) {
        granted = false;
        for (const size_t i : order()) {
            const Waiting &waiting = m_waiting[i];
            Endpoint *endpoint = now < waiting.deadline ? choose(waiting, now) : nullptr;
            if (endpoint == nullptr)
                continue;
            ++endpoint->running;
            endpoint->runningOvernight += waiting.requestClass == RequestClass::Overnight ? 1 : 0;
            ++m_runningOfCaller[waiting.caller];
            ++m_targets[waiting.target].running;
            decisions.grants.push_back(
                Grant{waiting.ticket, EndpointId(endpoint->entry.endpoint()), endpoint->entry.incarnation(), endpoint->entry.address()});
            m_waiting.erase(m_waiting.begin() + long(i));
            granted = true;
            break;
        }
    }
    std::vector<Waiting> kept;
    for (Waiting &it : m_waiting) {
        const std::optional<Error> refusal = hopeless(it, now);
        if (refusal)
            decisions.refusals.push_back(Refusal{it.ticket, *refusal});
        else
            kept.push_back(std::move(it));
    }
    m_waiting = std::move(kept);
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
    for (const Waiting &it : m_waiting) {
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
