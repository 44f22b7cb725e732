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
    m_storeLoads = size_t(std::count_if(m_engines.begin(), m_engines.end(),
                                        [&](const std::pair<const std::string, Engine> &it) { return countsAsStoreLoad(it.second, now); }));
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

// Collects the engines of a service, and where its models are.
void Residency::beginRound(const ServiceId &service, Time now)
{
    m_round = Round();
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        if (engine.service != service || !engine.usable)
            continue;
        m_round.engines.push_back(&engine);
        const bool ofModel = engine.current && engine.current->order.adapter.empty();
        const bool unloads = ofModel && engine.current->order.action == OrderAction::Unload;
        for (const std::pair<const std::string, std::set<std::string>> &held : engine.held) {
            if (!unloads || engine.current->order.model != held.first)
                m_round.models[held.first].holders.push_back(&engine);
        }
        for (const std::string &copy : engine.inMemory)
            m_round.models[copy].copies.push_back(&engine);
        for (const std::string &copy : engine.onDisk) {
            if (engine.inMemory.count(copy) == 0)
                m_round.models[copy].copies.push_back(&engine);
        }
        const bool loads = ofModel && !unloads;
        if (loads)
            ++m_round.models[engine.current->order.model].planned;
        const bool counted = loads && engine.current->order.model == engine.reservedFor;
        if (!engine.reservedFor.empty() && now < engine.reservedUntil && !counted)
            ++m_round.models[engine.reservedFor].planned;
    }
}

const Residency::ModelPlaces &Residency::places(const std::string &model) const
{
    static const ModelPlaces none;
    const auto it = m_round.models.find(model);
    return it == m_round.models.end() ? none : it->second;
}

void Residency::planService(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    beginRound(service, now);
    continueReservations(service, spec, plan, now);
    planWaitingModels(service, spec, plan, now);
    planRefusedModels(service, spec, plan, now);
    planAdapters(service, spec, plan, now);
    planPrefetch(spec, plan, now);
}

// Continues reservations: unloads the next victim, or loads the model once there is room for it.
void Residency::continueReservations(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    for (Engine *it : m_round.engines) {
        Engine &engine = *it;
        const std::string model = engine.reservedFor;
        if (model.empty() || engine.current)
            continue;
        if (now >= engine.reservedUntil || spec.models.count(model) == 0) {
            engine.reservedFor.clear();
            continue;
        }
        if (!engine.contentsKnown || engine.held.count(model) != 0)
            continue;
        const AggregateDemand *demand = demandFor(service, ArtifactName{model, ""});
        const bool urgent = demand != nullptr && demand->waiting > 0;
        const std::optional<LoadOption> option = loadOptionOn(engine, spec, spec.models.at(model), urgent, now);
        if (!option || (option->fromStore && !storeLoadAllowed(spec, m_maxStoreLoads, &engine, now)))
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
    for (auto it = m_demand.lower_bound(ServiceArtifact{service, {}}); it != m_demand.end() && it->first.first == service; ++it) {
        const ArtifactName &name = it->first.second;
        const AggregateDemand &demand = it->second;
        const uint32_t planned = places(name.model).planned;
        const uint32_t holders = uint32_t(unlimitedHolders(name.model, nullptr, now));
        // Without a holder, requests wait for the load that comes first.
        if (!name.adapter.empty() || spec.models.count(name.model) == 0 || (planned > 0 && (!demand.urgency || holders == 0)))
            continue;
        demands.push_back(ModelDemand{name.model, demand.waiting, demand.running, demand.totalWait, holders + planned, demand.urgency,
                                      demand.longestWait});
    }
    for (const std::string &it : modelsByLoadPriority(demands, spec.slots))
        placeModel(spec, it, true, plan, now);
}

// Loads the models from the weight store for which most requests were refused lately.
//
// Load pattern: many models have no copy on any engine's host, and the store delivers few within a caller's patience, so
// no request waits for them.
void Residency::planRefusedModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    if (m_storeLoads >= m_maxStoreLoads)
        return;
    std::vector<std::pair<uint32_t, std::string>> refused;
    for (auto it = m_demand.lower_bound(ServiceArtifact{service, {}}); it != m_demand.end() && it->first.first == service; ++it) {
        const ArtifactName &name = it->first.second;
        if (it->second.refused > 0 && name.adapter.empty() && !places(name.model).anywhere() && spec.models.count(name.model) != 0)
            refused.emplace_back(it->second.refused, name.model);
    }
    std::sort(refused.begin(), refused.end(), std::greater<>());
    for (const std::pair<uint32_t, std::string> &it : refused) {
        if (m_storeLoads >= m_maxStoreLoads || !placeModel(spec, it.second, true, plan, now))
            return;
    }
}

// Prefetches models from the weight store if no engine has a copy. A later load from a copy takes a tenth of the time.
void Residency::planPrefetch(const EngineSpec &spec, Plan &plan, Time now)
{
    if (m_storeLoads >= maxPrefetches())
        return;
    // An engine with unknown contents may have a copy of any model.
    if (std::any_of(m_round.engines.begin(), m_round.engines.end(), [](const Engine *it) { return !it->contentsKnown; }))
        return;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (!places(it.first).anywhere() && placeModel(spec, it.first, false, plan, now))
            return;
    }
}

void Residency::planAdapters(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    std::vector<ArtifactName> waiting;
    std::vector<ArtifactName> toPrefetch;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (it.second.adapters == 0 || places(it.first).holders.empty())
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

bool Residency::placeModel(const EngineSpec &spec, const std::string &name, bool urgent, Plan &plan, Time now)
{
    const ModelSpec &model = spec.models.at(name);
    const std::vector<Engine *> &copies = places(name).copies;
    std::optional<LoadOption> best;
    const auto consider = [&](Engine &engine) {
        const bool reserved = engine.reservedFor == name && now < engine.reservedUntil;
        if (!availableFor(engine, name, now) || engine.held.count(name) != 0 || reserved)
            return;
        const std::optional<LoadOption> option = loadOptionOn(engine, spec, model, urgent, now);
        const bool allowed
            = option && (!option->fromStore || storeLoadAllowed(spec, urgent ? m_maxStoreLoads : maxPrefetches(), &engine, now));
        if (allowed && (!best || option->cost < best->cost))
            best = option;
    };
    for (Engine *it : copies)
        consider(*it);
    // Waiting for a busy engine with a copy is preferred if that is faster than a load from the store elsewhere.
    if (!best && timeUntilCopyLoaded(spec, model, now) >= model.storeLoadTime) {
        for (Engine *it : m_round.engines)
            consider(*it);
    }
    if (!best)
        return false;
    Engine &engine = *best->engine;
    engine.reservedFor = name;
    engine.reservedUntil = now + ReservationTtl;
    engine.reservedFromStore = best->fromStore;
    ++m_round.models[name].planned;
    m_storeLoads += best->fromStore ? 1 : 0;
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
    if (now < engine.limitedUntil)
        option.cost += LimitedEngineCostMs;
    double freeMegabytes = spec.megabytes - usedMegabytes(engine, spec);
    std::vector<std::pair<double, std::string>> victims;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
        const std::optional<double> cost = evictionCost(engine, it.first, model.name, urgent, now);
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
Millis Residency::timeUntilCopyLoaded(const EngineSpec &spec, const ModelSpec &model, Time now) const
{
    // Without urgency, each engine counts as able to make room in time.
    const AggregateDemand *demand
        = places(model.name).copies.empty() ? nullptr : demandFor(places(model.name).copies.front()->service, {model.name, ""});
    const bool byUrgency = demand != nullptr && demand->urgency;
    Millis best = Millis::max();
    for (Engine *it : places(model.name).copies) {
        if (it->held.count(model.name) != 0)
            continue;
        if (byUrgency && !it->current && !loadOptionOn(*it, spec, model, true, now))
            continue;
        // The engine waits for the requests that run on the model to be unloaded, or for its order in progress.
        Millis wait = UnloadTimeEstimate;
        if (it->current)
            wait = std::max(Millis(0), it->current->expectedDoneAt - now) + ColdLoadOverhead;
        best = std::min(best, wait + longestCopyLoad(model));
    }
    return best;
}

size_t Residency::unlimitedHolders(const std::string &model, const Engine *except, Time now) const
{
    const std::vector<Engine *> &holders = places(model).holders;
    return size_t(std::count_if(holders.begin(), holders.end(), [&](const Engine *it) { return it != except && now >= it->limitedUntil; }));
}

// Returns the cost to callers, in milliseconds, of evicting a model, or nothing if it must not be evicted.
std::optional<double> Residency::evictionCost(const Engine &engine, const std::string &model, const std::string &forModel, bool urgent,
                                              Time now) const
{
    const ArtifactName name{model, ""};
    const size_t held = places(model).holders.size();
    const AggregateDemand *demand = demandFor(engine.service, name);
    const uint32_t requests = demand == nullptr ? 0 : demand->running + demand->waiting;
    const EngineSpec *engineSpec = spec(engine.service);
    if (requests > 0) {
        // A model in use may be evicted only if the other engines that hold it have enough slots for its requests.
        const size_t others = unlimitedHolders(model, &engine, now);
        const bool othersSuffice = others > 0 && requests < others * engineSpec->slots * ScaleDownSlotShare;
        const bool allowed = decideByUrgency(engine.service, model, forModel, othersSuffice).value_or(othersSuffice);
        if (!allowed || !urgent)
            return std::nullopt;
        return BusyVictimCostMs;
    }
    const Time last = lastUse(engine.service, name);
    const double idle = double(std::min(VictimRecencyWindow, std::chrono::duration_cast<Millis>(now - last)).count());
    const double recent = 1 - idle / double(VictimRecencyWindow.count());
    return IdleUnloadCostMs + RecentVictimCostMs * recent / double(std::max<size_t>(1, held));
}

// Returns whether a model in use may be evicted for another one by the urgency of their requests, or nothing if that doesn't decide.
std::optional<bool> Residency::decideByUrgency(const ServiceId &service, const std::string &victim, const std::string &forModel,
                                               bool othersSuffice) const
{
    const AggregateDemand *use = demandFor(service, ArtifactName{victim, ""});
    const AggregateDemand *asking = demandFor(service, ArtifactName{forModel, ""});
    if (use == nullptr || asking == nullptr || !use->urgency || !asking->urgency)
        return std::nullopt;
    if (othersSuffice)
        return !isSpared(*use->urgency, *asking->urgency, asking->longestWait);
    const auto model = spec(service)->models.find(victim);
    const Millis reload = model == spec(service)->models.end() ? Millis::max() : longestCopyLoad(model->second) + UnloadTimeEstimate;
    return mayDisplace(*asking->urgency, VictimUse{*use->urgency, use->running, use->waiting, reload});
}

bool Residency::placeAdapter(const ServiceId &service, const EngineSpec &spec, const ArtifactName &name, bool urgent, Plan &plan, Time now)
{
    Engine *best = nullptr;
    for (Engine *it : places(name.model).holders) {
        Engine &engine = *it;
        const auto held = engine.held.find(name.model);
        if (engine.contentsKnown && held->second.count(name.adapter) != 0)
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
    inputs.holders = uint32_t(places(name.model).holders.size());
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
    current.storeLoads = fromStore ? std::max<size_t>(1, m_storeLoads) : 0;
    Millis duration = AdapterLoadTime * 2;
    if (name.adapter.empty()) {
        const auto model = limits.models.find(name.model);
        duration = action == OrderAction::Unload || model == limits.models.end() ? UnloadTimeEstimate : model->second.storeLoadTime;
        if (action == OrderAction::Load && !fromStore)
            duration = longestCopyLoad(model->second);
        if (fromStore)
            duration = Millis(int64_t(double(duration.count()) * std::max(1.0, double(current.storeLoads) / double(m_maxStoreLoads))));
    }
    current.expectedDoneAt = now + duration;
    if (fromStore)
        m_storeLoadStarts.push_back(now);
    if (action == OrderAction::Unload && name.adapter.empty())
        std::erase(m_round.models[name.model].holders, &engine);
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

// Returns whether the engine is loading from the weight store, is reserved for such a load, or may be executing one that a
// previous leader ordered, because its contents are unknown.
bool Residency::countsAsStoreLoad(const Engine &engine, Time now) const
{
    const bool mayBeLoading = !engine.contentsKnown && !engine.current && engine.usable;
    const bool isLoading = engine.current && engine.current->fromStore;
    const bool reserved = engine.reservedFromStore && !engine.reservedFor.empty() && now < engine.reservedUntil;
    return isLoading || mayBeLoading || reserved;
}

// Returns whether one more load from the weight store, on `engine`, stays within the rate over StoreRateWindow and below
// `maxInFlight` concurrent loads.
bool Residency::storeLoadAllowed(const EngineSpec &spec, size_t maxInFlight, const Engine *engine, Time now) const
{
    if (now < m_storeLoadsAllowedAt)
        return false;
    const size_t storeLoadsRunning = m_storeLoads - (countsAsStoreLoad(*engine, now) ? 1 : 0);
    const double window = double(StoreRateWindow.count()) / 1000;
    const auto recent
        = std::count_if(m_storeLoadStarts.begin(), m_storeLoadStarts.end(), [&](Time t) { return t + StoreRateWindow > now; });
    return storeLoadsRunning < maxInFlight && double(recent) < spec.storeLoadsPerSecond * window;
}

} // namespace roserail
