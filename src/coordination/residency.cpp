#include "coordination/residency.h"

#include "state/tunables.h"

#include <algorithm>
#include <cmath>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr uint64_t FencesPerTerm = 1u << 20; // fencing numbers reserved for each term

std::map<std::string, std::set<std::string>> contents(const google::protobuf::RepeatedPtrField<pb::HeldModel> &models)
{
    std::map<std::string, std::set<std::string>> result;
    for (const pb::HeldModel &it : models)
        result[it.model()].insert(it.adapters().begin(), it.adapters().end());
    return result;
}

} // namespace

Residency::Residency(uint64_t term, const Numbers &last, std::string holder, Time ordersAllowedAt)
    : m_term(term)
    , m_holder(std::move(holder))
    , m_ordersAllowedAt(ordersAllowedAt)
    , m_fence(std::max(term * FencesPerTerm, last.fence))
    , m_counter(last.counter)
    , m_maxStoreLoads(MaxStoreLoadsInFlight)
{
}

const EngineSpec *Residency::spec(const ServiceId &service) const
{
    const auto it = m_specs.find(service);
    return it == m_specs.end() ? nullptr : &it->second;
}

void Residency::observe(const RouteTable &table, const Registry &registry, Time now)
{
    if (table.version != m_specVersion) {
        m_specVersion = table.version;
        m_specs.clear();
        for (const std::pair<const ServiceId, ServiceSpec> &it : table.services) {
            if (it.second.hasEngine && !it.second.engine.models.empty())
                m_specs[it.first] = it.second.engine;
        }
    }
    for (const std::pair<const std::string, LiveEndpoint> &it : registry.endpoints())
        observeEndpoint(it.second, now);
    std::erase_if(m_engines, [&](const std::pair<const std::string, Engine> &it) { return registry.endpoints().count(it.first) == 0; });
    observeDemand(registry, now);
}

void Residency::observeEndpoint(const LiveEndpoint &live, Time now)
{
    const ServiceId service(live.announcement.service());
    if (spec(service) == nullptr)
        return;
    Engine &engine = m_engines[live.announcement.endpoint()];
    if (engine.endpoint.empty() || engine.startedAtMs != live.announcement.born_ms()) {
        engine = Engine();
        engine.endpoint = live.announcement.endpoint();
        engine.service = service;
        engine.startedAtMs = live.announcement.born_ms();
        engine.zone = live.announcement.zone();
    }
    engine.usable = live.usable();
    engine.limitedUntil = live.capacity.requestsPerSecond ? live.capacityAt + CapacityConfirmTime : Time();
    if (engine.seenVersion == live.version)
        return;
    engine.seenVersion = live.version;
    engine.inMemory = std::set<std::string>(live.announcement.in_memory().begin(), live.announcement.in_memory().end());
    // A load leaves a copy, which a heartbeat that was sent before does not list yet.
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held)
        engine.inMemory.insert(it.first);
    engine.onDisk = std::set<std::string>(live.announcement.on_disk().begin(), live.announcement.on_disk().end());
    confirmFromHeartbeat(engine, live, now);
}

// Completes a model order once a heartbeat received after its acceptance shows the result. Without an order in
// progress, marks the contents as unknown if the heartbeat differs from them.
void Residency::confirmFromHeartbeat(Engine &engine, const LiveEndpoint &live, Time now)
{
    if (!engine.contentsKnown)
        return;
    const std::map<std::string, std::set<std::string>> announced = contents(live.announcement.models());
    if (engine.current) {
        const CurrentOrder &current = *engine.current;
        const bool ofModel = current.order.adapter.empty();
        const bool load = current.order.action == OrderAction::Load;
        const bool resultVisible = (announced.count(current.order.model) != 0) == load;
        if (current.phase == Phase::Accepted && ofModel && resultVisible && live.lastSeenAt > current.changedAt)
            completeCurrentOrder(engine, now);
        return;
    }
    // A difference that outlasts the delay of heartbeats is a change made by another sender of orders.
    const auto models = [](const std::map<std::string, std::set<std::string>> &held) {
        std::set<std::string> names;
        for (const std::pair<const std::string, std::set<std::string>> &it : held)
            names.insert(it.first);
        return names;
    };
    if (live.lastSeenAt > engine.changedAt + MaxHeartbeatDelay && models(announced) != models(engine.held))
        engine.contentsKnown = false;
}

void Residency::observeDemand(const Registry &registry, Time now)
{
    m_demand.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (now > it.second.lastSeenAt + RouterLivenessTimeout)
            continue;
        for (const pb::ArtifactDemand &demand : it.second.state.demands()) {
            const Millis age = now - it.second.lastSeenAt;
            const auto add = [&](const ArtifactName &name) {
                const ServiceArtifact key{ServiceId(demand.service()), name};
                AggregateDemand &total = m_demand[key];
                total.waiting += demand.waiting();
                total.running += demand.running();
                if (demand.waiting() > 0)
                    total.longestWait = std::max(total.longestWait, Millis(demand.longest_wait_ms()) + age);
                total.totalWait += Millis(int64_t(demand.total_wait_ms())) + age * demand.waiting();
                total.refused += demand.refused();
                if (demand.priority() > 0) {
                    const Urgency urgency{demand.priority() - 1, Millis(demand.aim_ms())};
                    total.urgency = total.urgency ? std::min(*total.urgency, urgency) : urgency;
                }
                if (demand.waiting() + demand.running() > 0)
                    m_lastUse[key] = now;
            };
            add(ArtifactName{demand.model(), ""});
            if (!demand.adapter().empty())
                add(ArtifactName{demand.model(), demand.adapter()});
        }
    }
}

void Residency::applyReport(const std::string &endpoint, uint64_t startedAtMs, const EngineReport &report, Time askedAt)
{
    const auto it = m_engines.find(endpoint);
    if (it == m_engines.end() || it->second.startedAtMs != startedAtMs)
        return;
    Engine &engine = it->second;
    engine.reportPending = false;
    engine.nextReportAt = askedAt + MinReportInterval;
    if (engine.current && engine.current->phase == Phase::Sent)
        return;
    // Reports lag behind the engine's state, so one requested shortly after an acceptance may not show the order yet.
    if (engine.current && askedAt < engine.current->changedAt + MaxReportLag)
        return;
    if (report.busy) {
        // The engine is executing an order of a previous leader; its contents are unknown until that completes.
        if (!engine.current)
            engine.contentsKnown = false;
        return;
    }
    engine.current.reset();
    engine.sequence = report.orderSequence;
    google::protobuf::RepeatedPtrField<pb::HeldModel> models(report.models.begin(), report.models.end());
    engine.held = contents(models);
    engine.inMemory.insert(report.inMemory.begin(), report.inMemory.end());
    engine.changedAt = askedAt;
    engine.contentsKnown = report.pendingAdapters.empty();
    engine.published = false;
}

void Residency::reportFailed(const std::string &endpoint, Time now)
{
    const auto it = m_engines.find(endpoint);
    if (it == m_engines.end())
        return;
    it->second.reportPending = false;
    it->second.nextReportAt = now + MinReportInterval;
}

void Residency::orderAnswered(const ArtifactOrder &order, std::optional<OrderAnswer> answer, Time now)
{
    const auto it = m_engines.find(order.endpoint);
    if (it == m_engines.end() || !it->second.current || it->second.current->order.fence != order.fence)
        return;
    Engine &engine = it->second;
    CurrentOrder &current = *engine.current;
    current.changedAt = now;
    if (!answer) {
        current.phase = Phase::Unconfirmed;
        current.expectedDoneAt = now;
        return;
    }
    switch (*answer) {
    case OrderAnswer::Accepted:
        current.phase = Phase::Accepted;
        engine.sequence = order.expectedSequence + 1;
        break;
    case OrderAnswer::AlreadyHolds:
        // With this answer, an adapter unload has completed and advanced the engine's sequence; any other order was not
        // accepted.
        if (!order.adapter.empty())
            engine.contentsKnown = false;
        applyOrder(engine, order, now);
        engine.current.reset();
        break;
    default:
        engine.current.reset();
        engine.contentsKnown = false;
        engine.nextReportAt = std::max(engine.nextReportAt, now + MaxReportLag);
        break;
    }
}

void Residency::applyOrder(Engine &engine, const ArtifactOrder &order, Time now)
{
    if (order.action == OrderAction::Load) {
        std::set<std::string> &adapters = engine.held[order.model];
        if (!order.adapter.empty())
            adapters.insert(order.adapter);
        else
            engine.inMemory.insert(order.model);
    } else if (order.adapter.empty()) {
        engine.held.erase(order.model);
    } else {
        engine.held[order.model].erase(order.adapter);
    }
    if (engine.reservedFor == order.model && order.action == OrderAction::Load)
        engine.reservedFor.clear();
    engine.changedAt = now;
    engine.published = false;
}

void Residency::completeCurrentOrder(Engine &engine, Time now)
{
    const CurrentOrder current = *engine.current;
    engine.current.reset();
    applyOrder(engine, current.order, now);
    if (current.fromStore)
        learnStoreSpeed(current, now);
}

// Learns from the duration of a load how many loads the weight store serves at once at full speed. Beyond that number,
// each takes longer in proportion.
void Residency::learnStoreSpeed(const CurrentOrder &order, Time now)
{
    const EngineSpec *limits = spec(m_engines.at(order.order.endpoint).service);
    const auto model = limits->models.find(order.order.model);
    if (model == limits->models.end() || model->second.storeLoadTime <= Millis(0))
        return;
    const double ratio = double((now - order.changedAt).count()) / double(model->second.storeLoadTime.count());
    if (ratio > SlowStoreLoadRatio)
        m_maxStoreLoads = std::clamp<size_t>(size_t(std::lround(double(order.storeLoads) / ratio)), 1, m_maxStoreLoads);
    else if (order.storeLoads >= m_maxStoreLoads)
        m_maxStoreLoads = std::min(MaxLearnedStoreLoads, m_maxStoreLoads + 1);
}

double Residency::usedMegabytes(const Engine &engine, const EngineSpec &spec) const
{
    double megabytes = 0;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
        const auto model = spec.models.find(it.first);
        // The size of a model that is not in the configuration is unknown, so the engine counts as full.
        if (model == spec.models.end())
            return spec.megabytes;
        megabytes += model->second.megabytes + double(it.second.size()) * model->second.adapterMegabytes;
    }
    return megabytes;
}

size_t Residency::adapterCount(const Engine &engine) const
{
    size_t n = 0;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held)
        n += it.second.size();
    return n;
}

const AggregateDemand *Residency::demandFor(const ServiceId &service, const ArtifactName &name) const
{
    const auto it = m_demand.find(ServiceArtifact{service, name});
    return it == m_demand.end() ? nullptr : &it->second;
}

Time Residency::lastUse(const ServiceId &service, const ArtifactName &name) const
{
    const auto it = m_lastUse.find(ServiceArtifact{service, name});
    return it == m_lastUse.end() ? Time(Millis(0)) : it->second;
}

std::vector<pb::Holdings> Residency::takeHoldings(Time now)
{
    std::vector<pb::Holdings> result;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        if (!engine.contentsKnown || engine.published)
            continue;
        engine.published = true;
        pb::Holdings holdings;
        holdings.set_endpoint(engine.endpoint);
        holdings.set_born_ms(engine.startedAtMs);
        holdings.set_term(m_term);
        holdings.set_counter(++m_counter);
        for (const std::pair<const std::string, std::set<std::string>> &held : engine.held) {
            const bool unloading
                = engine.current && engine.current->order.action == OrderAction::Unload && engine.current->order.model == held.first;
            if (unloading && engine.current->order.adapter.empty())
                continue;
            pb::HeldModel &model = *holdings.add_models();
            model.set_model(held.first);
            for (const std::string &adapter : held.second) {
                if (!unloading || engine.current->order.adapter != adapter)
                    model.add_adapters(adapter);
            }
        }
        if (engine.current && engine.current->fromStore) {
            pb::LoadingModel &loading = *holdings.add_loading();
            loading.set_model(engine.current->order.model);
            loading.set_ready_in_ms(uint64_t(std::max<int64_t>(0, (engine.current->expectedDoneAt - now).count())));
        }
        result.push_back(std::move(holdings));
    }
    return result;
}

} // namespace roserail
