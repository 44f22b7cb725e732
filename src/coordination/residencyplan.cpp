// The planning part of Residency: derives orders from demand and the known contents of engines.
#include "coordination/loadpriority.h"
#include "coordination/residency.h"
#include "state/invariant.h"
#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Returns the longest load time from a copy on the engine's host, whether in memory or on disk.
Millis longestCopyLoad(const ModelSpec &model)
{
    return std::max(model.diskLoadTime, model.memoryLoadTime);
}

} // namespace

Residency::Plan Residency::decide(Time now)
{
    Plan plan;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        const std::optional<CurrentOrder> &current = it.second.current;
        // Adapter loads take a known time and are not confirmed by a heartbeat.
        if (current && current->phase == Phase::Accepted && !current->order.adapter.empty() && now >= current->expectedDoneAt)
            completeCurrentOrder(it.second, now);
    }
    requestReports(plan, now);
    if (now < m_ordersAllowedAt)
        return plan;
    while (!m_storeLoadStarts.empty() && m_storeLoadStarts.front() + StoreRateWindow < now)
        m_storeLoadStarts.pop_front();
    for (const std::pair<const ServiceId, EngineSpec> &it : m_specs)
        planService(it.first, it.second, plan, now);
    return plan;
}

// Requests reports from engines whose contents are unknown, and from those whose order is overdue.
void Residency::requestReports(Plan &plan, Time now)
{
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        if (!engine.usable || engine.reportPending || now < engine.nextReportAt)
            continue;
        const bool overdue = engine.current && engine.current->phase != Phase::Sent && now > engine.current->expectedDoneAt + MaxReportLag;
        const bool unknown = !engine.contentsKnown && !engine.current;
        if (!overdue && !unknown)
            continue;
        engine.reportPending = true;
        plan.reportRequests.push_back(engine.endpoint);
    }
}

void Residency::planService(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    continueReservations(service, spec, plan, now);
    planWaitingModels(service, spec, plan, now);
    planAdapters(service, spec, plan, now);
    planPrefetch(service, spec, plan, now);
}

// Continues reservations: unloads the next victim, or loads the model once there is room for it.
void Residency::continueReservations(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        const std::string model = engine.reservedFor;
        if (engine.service != service || model.empty() || engine.current)
            continue;
        if (now >= engine.reservedUntil || spec.models.count(model) == 0) {
            engine.reservedFor.clear();
            continue;
        }
        if (!engine.contentsKnown || !engine.usable || engine.held.count(model) != 0)
            continue;
        const AggregateDemand *demand = demandFor(service, ArtifactName{model, ""});
        const bool urgent = demand != nullptr && demand->waiting > 0;
        const std::optional<LoadOption> option = loadOptionOn(engine, spec, spec.models.at(model), urgent, now);
        if (!option || (option->fromStore && !storeLoadAllowed(spec, MaxStoreLoadsInFlight, &engine, now)))
            continue;
        if (option->victims.empty())
            issueOrder(engine, OrderAction::Load, ArtifactName{model, ""}, option->fromStore, plan, now);
        else
            issueOrder(engine, OrderAction::Unload, ArtifactName{option->victims.front(), ""}, false, plan, now);
    }
}

// Adds an engine for models that requests wait for, and for those whose engines are nearly full.
void Residency::planWaitingModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    std::vector<ModelDemand> demands;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        const AggregateDemand *demand = demandFor(service, ArtifactName{it.first, ""});
        if (demand == nullptr || loadPlanned(service, it.first, now))
            continue;
        demands.push_back(
            ModelDemand{it.first, demand->waiting, demand->running, demand->totalWait, uint32_t(holderCount(service, it.first))});
    }
    for (const std::string &it : modelsByLoadPriority(demands, spec.slots))
        placeModel(service, spec, it, true, plan, now);
}

// Prefetches models from the weight store if no engine has a copy. A later load from a copy takes a tenth of the time.
void Residency::planPrefetch(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    if (storeLoadsInProgress(service, nullptr, now) >= MaxStoreLoadsForPrefetch)
        return;
    std::set<std::string> modelsWithCopy;
    for (const std::pair<const std::string, Engine> &it : m_engines) {
        const Engine &engine = it.second;
        if (engine.service != service || !engine.usable)
            continue;
        modelsWithCopy.insert(engine.inMemory.begin(), engine.inMemory.end());
        modelsWithCopy.insert(engine.onDisk.begin(), engine.onDisk.end());
        for (const std::pair<const std::string, std::set<std::string>> &held : engine.held)
            modelsWithCopy.insert(held.first);
        if (engine.current)
            modelsWithCopy.insert(engine.current->order.model);
        modelsWithCopy.insert(engine.reservedFor);
        // An engine with unknown contents may have a copy of any model.
        if (!engine.contentsKnown)
            return;
    }
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (modelsWithCopy.count(it.first) == 0 && placeModel(service, spec, it.first, false, plan, now))
            return;
    }
}

void Residency::planAdapters(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    std::vector<ArtifactName> waiting;
    std::vector<ArtifactName> toPrefetch;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (it.second.adapters == 0 || holderCount(service, it.first) == 0)
            continue;
        for (uint32_t n = 1; n <= it.second.adapters; ++n) {
            const ArtifactName name{it.first, "a" + std::to_string(n)};
            const AggregateDemand *demand = demandFor(service, name);
            if (demand != nullptr && demand->waiting > 0)
                waiting.push_back(name);
            else if (lastUse(service, ArtifactName{it.first, ""}) + AdapterPrefetchWindow > now)
                toPrefetch.push_back(name);
        }
    }
    for (const ArtifactName &it : waiting)
        placeAdapter(service, spec, it, true, plan, now);
    for (const ArtifactName &it : toPrefetch)
        placeAdapter(service, spec, it, false, plan, now);
}

bool Residency::placeModel(const ServiceId &service, const EngineSpec &spec, const std::string &name, bool urgent, Plan &plan, Time now)
{
    const ModelSpec &model = spec.models.at(name);
    std::optional<LoadOption> best;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        if (it.second.service != service || !availableFor(it.second, name, now) || it.second.held.count(name) != 0)
            continue;
        const std::optional<LoadOption> option = loadOptionOn(it.second, spec, model, urgent, now);
        if (!option
            || (option->fromStore && !storeLoadAllowed(spec, urgent ? MaxStoreLoadsInFlight : MaxStoreLoadsForPrefetch, &it.second, now)))
            continue;
        if (!best || option->cost < best->cost)
            best = option;
    }
    // Waiting for a busy engine with a copy is preferred if that is faster than a load from the store elsewhere.
    if (!best || (best->fromStore && timeUntilCopyLoaded(service, model, now) < model.storeLoadTime))
        return false;
    Engine &engine = *best->engine;
    engine.reservedFor = name;
    engine.reservedUntil = now + ReservationTtl;
    engine.reservedFromStore = best->fromStore;
    if (best->victims.empty())
        issueOrder(engine, OrderAction::Load, ArtifactName{name, ""}, best->fromStore, plan, now);
    else
        issueOrder(engine, OrderAction::Unload, ArtifactName{best->victims.front(), ""}, false, plan, now);
    return true;
}

// Returns the cost of loading the model on the engine and the models to unload for it, cheapest first, or nothing if
// there can't be enough room.
std::optional<Residency::LoadOption> Residency::loadOptionOn(Engine &engine, const EngineSpec &spec, const ModelSpec &model, bool urgent,
                                                             Time now) const
{
    LoadOption option;
    option.engine = &engine;
    const bool onDisk = engine.onDisk.count(model.name) != 0;
    option.fromStore = !hasLocalCopy(engine, model.name);
    option.cost = double((option.fromStore ? model.storeLoadTime : onDisk ? model.diskLoadTime : model.memoryLoadTime).count());
    double freeMegabytes = spec.megabytes - usedMegabytes(engine, spec);
    std::vector<std::pair<double, std::string>> victims;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
        const std::optional<double> cost = evictionCost(engine, it.first, urgent, now);
        if (cost)
            victims.emplace_back(*cost, it.first);
    }
    std::sort(victims.begin(), victims.end());
    for (const std::pair<double, std::string> &it : victims) {
        if (freeMegabytes >= model.megabytes)
            break;
        const auto victim = spec.models.find(it.second);
        freeMegabytes += victim == spec.models.end() ? 0 : victim->second.megabytes;
        freeMegabytes += double(engine.held.at(it.second).size()) * (victim == spec.models.end() ? 0 : victim->second.adapterMegabytes);
        option.cost += it.first;
        option.victims.push_back(it.second);
    }
    if (freeMegabytes < model.megabytes)
        return std::nullopt;
    return option;
}

// Returns the expected time until one of the engines that have a copy of the model, though busy now, has loaded it.
//
// Load pattern: many rarely used models are requested, each with copies on a few engines that are busy with other
// loads. A load from the store on an idle engine takes longer than those loads, and keeps that engine from loading its
// own copies.
Millis Residency::timeUntilCopyLoaded(const ServiceId &service, const ModelSpec &model, Time now) const
{
    Millis best = Millis::max();
    for (const std::pair<const std::string, Engine> &it : m_engines) {
        const Engine &engine = it.second;
        if (engine.service != service || !engine.usable || !hasLocalCopy(engine, model.name) || engine.held.count(model.name) != 0)
            continue;
        // The engine waits for the requests that run on the model to be unloaded, or for its order in progress.
        Millis wait = UnloadTimeEstimate;
        if (engine.current)
            wait = std::max(Millis(0), engine.current->expectedDoneAt - now) + ColdLoadOverhead;
        best = std::min(best, wait + longestCopyLoad(model));
    }
    return best;
}

// Returns the cost to callers, in milliseconds, of evicting a model, or nothing if it must not be evicted.
std::optional<double> Residency::evictionCost(const Engine &engine, const std::string &model, bool urgent, Time now) const
{
    const ArtifactName name{model, ""};
    const size_t held = holderCount(engine.service, model);
    const AggregateDemand *demand = demandFor(engine.service, name);
    const uint32_t requests = demand == nullptr ? 0 : demand->running + demand->waiting;
    const EngineSpec *engineSpec = spec(engine.service);
    if (requests > 0) {
        // A model in use may be evicted only if the other engines that hold it have enough slots for its requests.
        const bool othersSuffice = held > 1 && requests < (held - 1) * engineSpec->slots * ScaleDownSlotShare;
        if (!othersSuffice || !urgent)
            return std::nullopt;
        return BusyVictimCostMs;
    }
    const Time last = lastUse(engine.service, name);
    const double idle = double(std::min(VictimRecencyWindow, std::chrono::duration_cast<Millis>(now - last)).count());
    const double recent = 1 - idle / double(VictimRecencyWindow.count());
    return IdleUnloadCostMs + RecentVictimCostMs * recent / double(std::max<size_t>(1, held));
}

bool Residency::placeAdapter(const ServiceId &service, const EngineSpec &spec, const ArtifactName &name, bool urgent, Plan &plan, Time now)
{
    Engine *best = nullptr;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        const auto held = engine.held.find(name.model);
        if (engine.service != service || held == engine.held.end())
            continue;
        if (engine.contentsKnown && held->second.count(name.adapter) != 0 && engine.usable)
            return false;
        const bool loading = engine.current && engine.current->order.model == name.model && engine.current->order.adapter == name.adapter;
        if (loading)
            return false;
        if (!availableFor(engine, name.model, now)
            || usedMegabytes(engine, spec) + spec.models.at(name.model).adapterMegabytes > spec.megabytes)
            continue;
        if (adapterCount(engine) >= spec.adapterSlots && !urgent)
            continue;
        if (best == nullptr || adapterCount(engine) < adapterCount(*best))
            best = &engine;
    }
    if (best == nullptr)
        return false;
    if (adapterCount(*best) < spec.adapterSlots) {
        issueOrder(*best, OrderAction::Load, name, false, plan, now);
        return true;
    }
    // Evicts the least recently used adapter that has no requests.
    std::optional<std::pair<Time, ArtifactName>> oldest;
    for (const std::pair<const std::string, std::set<std::string>> &it : best->held) {
        for (const std::string &adapter : it.second) {
            const ArtifactName candidate{it.first, adapter};
            const AggregateDemand *demand = demandFor(service, candidate);
            if (demand != nullptr && demand->running + demand->waiting > 0)
                continue;
            const Time last = lastUse(service, candidate);
            if (!oldest || last < oldest->first)
                oldest = std::pair(last, candidate);
        }
    }
    if (!oldest)
        return false;
    issueOrder(*best, OrderAction::Unload, oldest->second, false, plan, now);
    return true;
}

OrderInputs Residency::inputsOf(const Engine &engine, const ArtifactName &name, bool fromStore, Time now) const
{
    OrderInputs inputs;
    if (const AggregateDemand *demand = demandFor(engine.service, name)) {
        inputs.waiting = demand->waiting;
        inputs.running = demand->running;
        inputs.longestWait = demand->longestWait;
    }
    inputs.holders = uint32_t(holderCount(engine.service, name.model));
    inputs.usedMegabytes = usedMegabytes(engine, *spec(engine.service));
    inputs.contentsAge = now - engine.changedAt;
    inputs.fromStore = fromStore;
    inputs.roomFor = engine.reservedFor;
    return inputs;
}

void Residency::issueOrder(Engine &engine, OrderAction action, const ArtifactName &name, bool fromStore, Plan &plan, Time now)
{
    invariant(engine.contentsKnown && !engine.current, "an engine has at most one order in progress, and its contents are known");
    const EngineSpec &limits = *spec(engine.service);
    if (action == OrderAction::Load && name.adapter.empty())
        invariant(usedMegabytes(engine, limits) + limits.models.at(name.model).megabytes <= limits.megabytes,
                  "a model to be loaded fits into the free memory");
    if (action == OrderAction::Load && !name.adapter.empty())
        invariant(adapterCount(engine) < limits.adapterSlots, "an adapter to be loaded has a free slot");
    CurrentOrder current;
    current.order.action = action;
    current.order.endpoint = engine.endpoint;
    current.order.model = name.model;
    current.order.adapter = name.adapter;
    current.order.holder = m_holder;
    current.order.fence = ++m_fence;
    current.order.expectedSequence = engine.sequence;
    current.order.inputs = inputsOf(engine, name, fromStore, now);
    current.fromStore = fromStore;
    current.changedAt = now;
    Millis duration = AdapterLoadTime * 2;
    if (name.adapter.empty()) {
        const auto model = limits.models.find(name.model);
        duration = action == OrderAction::Unload || model == limits.models.end() ? UnloadTimeEstimate : model->second.storeLoadTime;
        if (action == OrderAction::Load && !fromStore)
            duration = longestCopyLoad(model->second);
    }
    current.expectedDoneAt = now + duration;
    if (fromStore)
        m_storeLoadStarts.push_back(now);
    engine.current = current;
    engine.published = false;
    plan.orders.push_back(engine.current->order);
}

bool Residency::hasLocalCopy(const Engine &engine, const std::string &model) const
{
    return engine.inMemory.count(model) != 0 || engine.onDisk.count(model) != 0;
}

// Returns whether the engine can be given an order and is not reserved for a model other than `forModel`.
bool Residency::availableFor(const Engine &engine, const std::string &forModel, Time now) const
{
    const bool reserved = !engine.reservedFor.empty() && engine.reservedFor != forModel && now < engine.reservedUntil;
    return engine.usable && engine.contentsKnown && !engine.current && !reserved;
}

bool Residency::reservedForStoreLoad(const Engine &engine, Time now) const
{
    return engine.reservedFromStore && !engine.reservedFor.empty() && now < engine.reservedUntil;
}

// Counts the loads from the weight store that are in progress or reserved, on all engines of the service but `excluded`.
size_t Residency::storeLoadsInProgress(const ServiceId &service, const Engine *excluded, Time now) const
{
    return size_t(std::count_if(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        // An engine with unknown contents may be executing a load order of a previous leader.
        const bool mayBeLoading = !engine.contentsKnown && !engine.current && engine.usable;
        const bool isLoading = engine.current && engine.current->fromStore;
        return engine.service == service && &engine != excluded && (isLoading || mayBeLoading || reservedForStoreLoad(engine, now));
    }));
}

// Returns whether one more load from the weight store, on `engine`, stays within the rate over StoreRateWindow and below
// `maxInFlight` concurrent loads.
bool Residency::storeLoadAllowed(const EngineSpec &spec, size_t maxInFlight, const Engine *engine, Time now) const
{
    size_t storeLoadsRunning = 0;
    for (const std::pair<const ServiceId, EngineSpec> &it : m_specs)
        storeLoadsRunning += storeLoadsInProgress(it.first, engine, now);
    const double window = double(StoreRateWindow.count()) / 1000;
    const auto recent
        = std::count_if(m_storeLoadStarts.begin(), m_storeLoadStarts.end(), [&](Time t) { return t + StoreRateWindow > now; });
    return storeLoadsRunning < maxInFlight && double(recent) < spec.storeLoadsPerSecond * window;
}

// Returns whether an engine is loading the model or is reserved for it.
bool Residency::loadPlanned(const ServiceId &service, const std::string &model, Time now) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        const bool isLoading = engine.current && engine.current->order.action == OrderAction::Load && engine.current->order.adapter.empty()
            && engine.current->order.model == model;
        const bool isReserved = engine.reservedFor == model && now < engine.reservedUntil;
        return engine.service == service && engine.usable && (isLoading || isReserved);
    });
}

} // namespace roserail
