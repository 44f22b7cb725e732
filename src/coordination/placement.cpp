#include "coordination/placement.h"

#include "state/tunables.h"

#include <algorithm>
#include <set>

namespace roserail
{

using namespace tunables;

namespace
{

pb::ArtifactState stateIn(const pb::EndpointReport &report, const Slot &slot)
{
    for (const pb::ArtifactReport &it : report.artifacts()) {
        if (it.artifact() == slot.artifact.value() && it.version() == slot.version)
            return it.state();
    }
    return pb::ARTIFACT_ABSENT;
}

double tierFactor(const pb::EndpointReport &report, const ArtifactId &artifact)
{
    for (const pb::ArtifactReport &it : report.artifacts()) {
        if (it.artifact() != artifact.value())
            continue;
        if (it.tier() == pb::TIER_MEMORY)
            return MemoryTierLoadFactor;
        if (it.tier() == pb::TIER_DISK)
            return DiskTierLoadFactor;
    }
    return 1;
}

Millis scaled(Millis time, double factor)
{
    return Millis(int64_t(double(time.count()) * factor));
}

pb::Command orderCommand(SlotId slot, pb::OrderKind kind)
{
    pb::Command command;
    command.mutable_send_order()->set_slot(slot.value());
    command.mutable_send_order()->set_kind(kind);
    return command;
}

pb::Command releaseCommand(const Slot &slot, const pb::EndpointReport &report)
{
    pb::Command command;
    command.mutable_release_slot()->set_slot(slot.id.value());
    command.mutable_release_slot()->set_reported_fence(report.fence());
    command.mutable_release_slot()->set_sequence(report.sequence());
    return command;
}

pb::Command reserveCommand(const pb::EndpointReport &report, const Artifact &artifact)
{
    pb::Command command;
    pb::ReserveSlot &body = *command.mutable_reserve_slot();
    body.set_endpoint(report.endpoint());
    body.set_incarnation(report.incarnation());
    body.set_artifact(artifact.id.value());
    body.set_version(artifact.version);
    return command;
}

} // namespace

// An endpoint that accepts loads, with its free memory.
struct Candidate {
    const pb::EndpointReport *report = nullptr;
    Bytes freeOnEndpoint = 0;
    Bytes *freeOnHost = nullptr; // shared by the host's endpoints
};

// Inputs and intermediate results of one call of `decide`.
struct Placement::Round {
    const StateMachine &machine;
    const Document &document;
    const Ledger &ledger;
    const Directory &directory;
    Time now;
    std::map<ArtifactId, TotalDemand> demandByArtifact{};
    std::vector<pb::Command> commands{};
    size_t modelLoads = 0; // in flight
    size_t adapterLoads = 0;
    std::set<std::string> poolsUnloading{}; // pools with an unload in progress
    size_t queuedLoads = 0; // loads delayed by the limits on rate and concurrency
    std::map<HostId, Bytes> freeOnHost{};
    std::map<std::string, std::vector<Candidate>> candidates{}; // by pool
    std::set<SlotId> unloading{}; // by commands of this call
    std::map<ArtifactId, uint32_t> plannedReplicas{}; // loaded or to be loaded, including commands of this call
    std::map<ArtifactId, Time> readyAt{}; // earliest
};

void Placement::reset(Time now)
{
    *this = Placement();
    m_leadingSince = now;
    m_tokensAt = now;
}

void Placement::updateDemand(const RouterId &router, const google::protobuf::RepeatedPtrField<pb::Demand> &demands, Time now)
{
    RouterDemand &entry = m_demands[router];
    entry.demands.assign(demands.begin(), demands.end());
    entry.expiresAt = now + RouterLease;
    for (const pb::Demand &it : demands)
        m_keepWarm.recordUse(ArtifactId(it.artifact()), it.running() + it.waiting() > 0 ? now : now - Millis(it.idle_ms()));
}

void Placement::recordOrderSent(SlotId slot, Time now)
{
    m_orderSentAt[slot] = now;
}

// Returns whether an unanswered order has to be sent again. After a change of leader the time of the last send is
// unknown; the start of this leadership counts instead.
bool Placement::resendDue(SlotId slot, Time now) const
{
    const auto it = m_orderSentAt.find(slot);
    const Time sentAt = it == m_orderSentAt.end() ? m_leadingSince : it->second;
    return now >= sentAt + OrderTimeout + OrderRetryDelay;
}

std::map<ArtifactId, Placement::TotalDemand> Placement::collectDemand(Time now)
{
    std::erase_if(m_demands, [now](const std::pair<const RouterId, RouterDemand> &it) { return it.second.expiresAt <= now; });
    std::map<ArtifactId, TotalDemand> demandByArtifact;
    for (const std::pair<const RouterId, RouterDemand> &router : m_demands) {
        for (const pb::Demand &it : router.second.demands) {
            if (it.waiting() + it.running() == 0)
                continue;
            TotalDemand &demand = demandByArtifact[ArtifactId(it.artifact())];
            demand.artifact = ArtifactId(it.artifact());
            demand.waiting += it.waiting();
            demand.running += it.running();
            demand.interactive |= it.interactive();
            if (it.waiting() > 0)
                demand.deadline = std::min(demand.deadline, now + Millis(it.wait_ms()));
        }
    }
    return demandByArtifact;
}

// Adds entries for artifacts that need a minimum of replicas, and adds the demand for adapters to that for their bases.
void Placement::addDerivedDemand(const Document &document, std::map<ArtifactId, TotalDemand> &demandByArtifact) const
{
    for (const std::pair<const ArtifactId, Artifact> &it : document.artifacts) {
        if (it.second.minReplicas > 0)
            demandByArtifact[it.first].artifact = it.first;
    }
    std::vector<TotalDemand> bases;
    for (const std::pair<const ArtifactId, TotalDemand> &it : demandByArtifact) {
        const Artifact *artifact = document.artifact(it.first);
        if (artifact == nullptr || !artifact->isAdapter())
            continue;
        TotalDemand base = it.second;
        base.artifact = artifact->base;
        bases.push_back(base);
    }
    for (const TotalDemand &it : bases) {
        TotalDemand &base = demandByArtifact[it.artifact];
        base.artifact = it.artifact;
        base.waiting += it.waiting;
        base.running += it.running;
        base.deadline = std::min(base.deadline, it.deadline);
        base.interactive |= it.interactive;
    }
}

std::vector<pb::Command> Placement::decide(const StateMachine &machine, const Directory &directory, Time now)
{
    Round round{machine, machine.document(), machine.ledger(), directory, now};
    round.commands = directory.registrations(round.ledger);
    round.demandByArtifact = collectDemand(now);
    addDerivedDemand(round.document, round.demandByArtifact);
    refillTokens(round.document.policy, now);
    std::erase_if(m_orderSentAt, [&](const std::pair<const SlotId, Time> &it) { return round.ledger.slot(it.first) == nullptr; });
    m_estimates.clear();
    for (const std::pair<const SlotId, Slot> &it : round.ledger.slots())
        reviewSlot(round, it.second);
    collectCandidates(round);
    // Interactive requests first, then by deadline.
    std::vector<TotalDemand> byPriority;
    for (const std::pair<const ArtifactId, TotalDemand> &it : round.demandByArtifact)
        byPriority.push_back(it.second);
    std::stable_sort(byPriority.begin(), byPriority.end(), [](const TotalDemand &a, const TotalDemand &b) {
        return a.interactive != b.interactive ? a.interactive : a.deadline < b.deadline;
    });
    for (const TotalDemand &it : byPriority)
        placeReplicas(round, it);
    return std::move(round.commands);
}

// Lists the endpoints that accept loads.
void Placement::collectCandidates(Round &round) const
{
    for (const std::pair<const EndpointId, EndpointView> &it : round.directory.endpoints()) {
        const pb::EndpointReport *report = round.directory.report(it.first, it.second.report.incarnation());
        const EndpointRecord *record = round.ledger.endpoint(it.first);
        const bool usable = report != nullptr && record != nullptr && record->incarnation == report->incarnation() && !report->leaving()
            && !report->service();
        if (!usable)
            continue;
        const Bytes hostBytes = round.ledger.hostBytes(record->host);
        const Bytes onHost = round.ledger.reservedOnHost(record->host);
        Bytes &freeOnHost = round.freeOnHost.emplace(record->host, hostBytes > onHost ? hostBytes - onHost : 0).first->second;
        const Bytes onEndpoint = round.ledger.reservedOnEndpoint(it.first);
        const Bytes freeOnEndpoint = record->endpointBytes > onEndpoint ? record->endpointBytes - onEndpoint : 0;
        round.candidates[report->pool()].push_back(Candidate{report, freeOnEndpoint, &freeOnHost});
    }
}

// Plans the commands for one slot after lost orders, failed loads and completed unloads, and unloads replicas that are no
// longer needed.
void Placement::reviewSlot(Round &round, const Slot &slot)
{
    const pb::EndpointReport *report = round.directory.report(slot.endpoint, slot.incarnation);
    const bool loading = slot.lastOrder == OrderKind::Load;
    // A replica on a lost or leaving endpoint serves no requests, but still counts towards the maximum.
    const bool serves = loading && report != nullptr && !report->leaving();
    round.plannedReplicas[slot.artifact] += serves ? 1 : 0;
    if (report == nullptr)
        return;
    markFencedOrdersAnswered(round, slot, *report);
    const pb::ArtifactState state = stateIn(*report, slot);
    if (loading)
        reviewLoad(round, slot, *report, state);
    else
        reviewUnload(round, slot, *report, state);
}

// Marks orders as answered that can no longer be executed: an endpoint that checks fencing numbers refuses any up to the
// highest number that it has reported.
void Placement::markFencedOrdersAnswered(Round &round, const Slot &slot, const pb::EndpointReport &report)
{
    if (!report.checks_fencing())
        return;
    for (const Fence &it : slot.unanswered) {
        if (it.value() > report.fence())
            continue;
        pb::Command command;
        command.mutable_answer_order()->set_slot(slot.id.value());
        command.mutable_answer_order()->set_fence(it.value());
        command.mutable_answer_order()->set_sequence(report.sequence());
        round.commands.push_back(std::move(command));
    }
}

void Placement::reviewLoad(Round &round, const Slot &slot, const pb::EndpointReport &report, pb::ArtifactState state)
{
    const Artifact *artifact = round.document.artifact(slot.artifact);
    if (state == pb::ARTIFACT_LOADED) {
        if (!report.leaving())
            round.readyAt[slot.artifact] = round.now;
        if (shouldUnload(round, slot)) {
            round.unloading.insert(slot.id);
            round.poolsUnloading.insert(report.pool());
            round.plannedReplicas[slot.artifact] -= report.leaving() ? 0 : 1;
            round.commands.push_back(orderCommand(slot.id, pb::ORDER_UNLOAD));
        }
        return;
    }
    if (slot.base.value().empty())
        ++round.modelLoads;
    else
        ++round.adapterLoads;
    const auto sent = m_orderSentAt.find(slot.id);
    const Millis loadDuration = artifact == nullptr ? Millis(0) : scaled(artifact->loadTime, tierFactor(report, slot.artifact));
    const Time started = sent == m_orderSentAt.end() ? m_leadingSince : sent->second;
    const Time ready = std::max(round.now, started + loadDuration);
    const auto earlier = round.readyAt.find(slot.artifact);
    if (earlier == round.readyAt.end() || ready < earlier->second)
        round.readyAt[slot.artifact] = ready;
    if (state == pb::ARTIFACT_LOADING)
        return;
    // Absent: the order has not arrived yet or was lost, or the load failed.
    if (slot.unanswered.empty() && report.sequence() > slot.answeredSequence
        && (sent == m_orderSentAt.end() || round.now > sent->second + OrderRetryDelay))
        round.commands.push_back(releaseCommand(slot, report));
    else if (resendDue(slot.id, round.now))
        round.commands.push_back(orderCommand(slot.id, pb::ORDER_LOAD));
}

void Placement::reviewUnload(Round &round, const Slot &slot, const pb::EndpointReport &report, pb::ArtifactState state)
{
    const bool orderMayArrive = state == pb::ARTIFACT_ABSENT && !slot.unanswered.empty() && !report.checks_fencing();
    if (!orderMayArrive)
        round.poolsUnloading.insert(report.pool());
    const bool fenced = report.checks_fencing() && !slot.unanswered.empty() && report.fence() > slot.unanswered.rbegin()->value();
    const bool noOrderPending = slot.unanswered.empty() || fenced;
    if (state == pb::ARTIFACT_ABSENT && noOrderPending) {
        if (report.sequence() > slot.answeredSequence)
            round.commands.push_back(releaseCommand(slot, report));
        return;
    }
    // A slot whose orders may still arrive stays reserved, and can be used to load the artifact again.
    const bool hasWaiting = round.demandByArtifact.count(slot.artifact) != 0 && round.demandByArtifact.at(slot.artifact).waiting > 0;
    const Artifact *artifact = round.document.artifact(slot.artifact);
    const bool isCurrentVersion = artifact != nullptr && artifact->version == slot.version;
    if (state == pb::ARTIFACT_ABSENT && hasWaiting && isCurrentVersion) {
        round.commands.push_back(orderCommand(slot.id, pb::ORDER_LOAD));
        ++round.plannedReplicas[slot.artifact];
        return;
    }
    const bool useful = state != pb::ARTIFACT_ABSENT || report.checks_fencing();
    if (useful && resendDue(slot.id, round.now))
        round.commands.push_back(orderCommand(slot.id, pb::ORDER_UNLOAD));
}

bool Placement::shouldUnload(const Round &round, const Slot &slot) const
{
    const bool hasAdapters
        = std::any_of(round.ledger.slots().begin(), round.ledger.slots().end(), [&](const std::pair<const SlotId, Slot> &it) {
              return it.second.endpoint == slot.endpoint && it.second.base == slot.artifact;
          });
    if (hasAdapters || !slot.unanswered.empty())
        return false;
    const Artifact *artifact = round.document.artifact(slot.artifact);
    if (artifact == nullptr || artifact->version != slot.version)
        return true;
    const pb::EndpointReport *report = round.directory.report(slot.endpoint, slot.incarnation);
    if (report != nullptr && report->leaving())
        return true;
    const uint32_t replicas = round.plannedReplicas.at(slot.artifact);
    if (round.ledger.replicas(slot.artifact) > artifact->maxReplicas)
        return true;
    if (replicas <= artifact->minReplicas)
        return false;
    const auto demand = round.demandByArtifact.find(slot.artifact);
    if (demand != round.demandByArtifact.end() && demand->second.waiting + demand->second.running > 0)
        return false;
    return round.now >= std::max(m_keepWarm.keepUntil(*artifact, round.document.policy), m_leadingSince + RouterLease);
}

void Placement::refillTokens(const Policy &policy, Time now)
{
    const double elapsed = double((now - m_tokensAt).count()) / 1000.0;
    m_storeTokens = std::min(policy.storeLoadsPerSecond, m_storeTokens + elapsed * policy.storeLoadsPerSecond);
    m_tokensAt = now;
}

void Placement::placeReplicas(Round &round, const TotalDemand &demand)
{
    const Artifact *artifact = round.document.artifact(demand.artifact);
    if (artifact == nullptr)
        return;
    const uint32_t neededReplicas = (demand.waiting + demand.running + RequestsPerReplica - 1) / RequestsPerReplica;
    const uint32_t target = std::min(artifact->maxReplicas, std::max(artifact->minReplicas, neededReplicas));
    bool placed = true;
    while (placed && round.plannedReplicas[demand.artifact] < target && round.ledger.replicas(demand.artifact) < artifact->maxReplicas)
        placed = placeReplica(round, *artifact);
    updateEstimate(round, demand);
}

// Reserves a slot on the endpoint that can load the artifact fastest; among equals, on the one with most free memory.
bool Placement::placeReplica(Round &round, const Artifact &artifact)
{
    const bool storeBusy = round.modelLoads >= MaxStoreLoadsInFlight || m_storeTokens < 1;
    const bool adaptersBusy = round.adapterLoads >= MaxAdapterLoadsInFlight;
    Candidate *best = nullptr;
    double bestFactor = 0;
    for (Candidate &it : round.candidates[artifact.pool]) {
        const EndpointId endpoint(it.report->endpoint());
        const bool fits = artifact.bytes <= it.freeOnEndpoint && artifact.bytes <= *it.freeOnHost;
        if (!fits || round.ledger.slotOf(endpoint, artifact.id) != nullptr)
            continue;
        if (artifact.isAdapter()) {
            const Slot *base = round.ledger.slotOf(endpoint, artifact.base);
            if (base == nullptr || base->lastOrder != OrderKind::Load || stateIn(*it.report, *base) != pb::ARTIFACT_LOADED)
                continue;
        }
        const double factor = tierFactor(*it.report, artifact.id);
        const bool fromStore = factor >= 1 && !artifact.isAdapter();
        if ((fromStore && storeBusy) || (artifact.isAdapter() && adaptersBusy))
            continue;
        if (best == nullptr || factor < bestFactor || (factor == bestFactor && it.freeOnEndpoint > best->freeOnEndpoint)) {
            best = &it;
            bestFactor = factor;
        }
    }
    if (best == nullptr) {
        const bool waitsForStore = artifact.isAdapter() ? adaptersBusy : storeBusy;
        round.queuedLoads += waitsForStore ? 1 : 0;
        return waitsForStore ? false : evictIdleReplica(round, artifact);
    }
    round.commands.push_back(reserveCommand(*best->report, artifact));
    best->freeOnEndpoint -= artifact.bytes;
    *best->freeOnHost -= artifact.bytes;
    ++round.plannedReplicas[artifact.id];
    if (artifact.isAdapter()) {
        ++round.adapterLoads;
    } else if (bestFactor >= 1) {
        ++round.modelLoads;
        m_storeTokens -= 1;
    }
    const Time ready = round.now + scaled(artifact.loadTime, bestFactor);
    const auto earlier = round.readyAt.find(artifact.id);
    if (earlier == round.readyAt.end() || ready < earlier->second)
        round.readyAt[artifact.id] = ready;
    return true;
}

// Unloads the least recently used idle replica whose endpoint then has room for the artifact. Always returns false, as
// the load follows in a later call.
bool Placement::evictIdleReplica(Round &round, const Artifact &artifact)
{
    if (artifact.isAdapter() && round.plannedReplicas[artifact.base] == 0)
        return false;
    const Slot *victim = nullptr;
    Time victimUse{};
    for (const std::pair<const SlotId, Slot> &it : round.ledger.slots()) {
        const Slot &slot = it.second;
        const pb::EndpointReport *report = round.directory.report(slot.endpoint, slot.incarnation);
        const EndpointRecord *record = round.ledger.endpoint(slot.endpoint);
        if (report == nullptr || record == nullptr || report->leaving() || report->pool() != artifact.pool)
            continue;
        const bool absent = stateIn(*report, slot) == pb::ARTIFACT_ABSENT;
        const bool orderMayArrive = slot.lastOrder == OrderKind::Unload && absent && !slot.unanswered.empty() && !report->checks_fencing();
        if (orderMayArrive)
            continue;
        // An unload in progress that frees enough memory is waited for.
        const bool leaving = slot.lastOrder == OrderKind::Unload || round.unloading.count(slot.id) != 0;
        if (leaving && slot.bytes >= artifact.bytes)
            return false;
        const bool idle
            = round.demandByArtifact.count(slot.artifact) == 0 && slot.unanswered.empty() && stateIn(*report, slot) == pb::ARTIFACT_LOADED;
        const bool baseOfAdapters
            = std::any_of(round.ledger.slots().begin(), round.ledger.slots().end(), [&](const std::pair<const SlotId, Slot> &other) {
                  return other.second.endpoint == slot.endpoint && other.second.base == slot.artifact;
              });
        const bool wouldFit = round.ledger.reservedOnEndpoint(slot.endpoint) - slot.bytes + artifact.bytes <= record->endpointBytes
            && round.ledger.reservedOnHost(record->host) - slot.bytes + artifact.bytes <= round.ledger.hostBytes(record->host);
        if (leaving || !idle || baseOfAdapters || !wouldFit)
            continue;
        const Time use = m_keepWarm.lastUse(slot.artifact);
        if (victim == nullptr || use < victimUse) {
            victim = &slot;
            victimUse = use;
        }
    }
    if (victim != nullptr) {
        round.unloading.insert(victim->id);
        round.commands.push_back(orderCommand(victim->id, pb::ORDER_UNLOAD));
        round.readyAt[artifact.id] = round.now + artifact.loadTime;
    }
    return false;
}

void Placement::updateEstimate(Round &round, const TotalDemand &demand)
{
    const Artifact *artifact = round.document.artifact(demand.artifact);
    const auto ready = round.readyAt.find(demand.artifact);
    const Millis perLoad(int64_t(1000.0 / round.document.policy.storeLoadsPerSecond));
    pb::LoadEstimate estimate;
    estimate.set_artifact(demand.artifact.value());
    estimate.set_placeable(true);
    Millis wait{0};
    if (ready != round.readyAt.end())
        wait = ready->second - round.now;
    else if (artifact->isAdapter() && round.readyAt.count(artifact->base) != 0)
        wait = round.readyAt.at(artifact->base) - round.now + artifact->loadTime;
    else if (round.queuedLoads > 0 || artifact->isAdapter() || round.poolsUnloading.count(artifact->pool) != 0)
        wait = artifact->loadTime + perLoad * int64_t(round.queuedLoads + round.modelLoads);
    else
        estimate.set_placeable(false);
    estimate.set_ready_in_ms(uint32_t(wait.count()));
    m_estimates[demand.artifact] = estimate;
}

pb::LoadEstimate Placement::estimate(const ArtifactId &artifact) const
{
    const auto it = m_estimates.find(artifact);
    if (it != m_estimates.end())
        return it->second;
    pb::LoadEstimate unknown;
    unknown.set_artifact(artifact.value());
    unknown.set_placeable(true);
    return unknown;
}

} // namespace roserail
