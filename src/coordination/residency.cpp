#include "coordination/residency.h"

#include "coordination/demandorder.h"
#include "state/invariant.h"
#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr uint64_t FencesPerTerm = 1u << 20; // orders that one leader can number

std::map<std::string, std::set<std::string>> contents(const google::protobuf::RepeatedPtrField<pb::HeldModel> &models)
{
    std::map<std::string, std::set<std::string>> result;
    for (const pb::HeldModel &it : models)
        result[it.model()].insert(it.adapters().begin(), it.adapters().end());
    return result;
}

} // namespace

Residency::Residency(uint64_t term, uint64_t lastFence, std::string holder, Time ordersFrom)
    : m_term(term)
    , m_holder(std::move(holder))
    , m_ordersFrom(ordersFrom)
    , m_fence(std::max(term * FencesPerTerm, lastFence))
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
    if (engine.endpoint.empty() || engine.born != live.announcement.born_ms()) {
        engine = Engine();
        engine.endpoint = live.announcement.endpoint();
        engine.service = service;
        engine.born = live.announcement.born_ms();
        engine.zone = live.announcement.zone();
    }
    engine.usable = live.usable();
    engine.inMemory.insert(live.announcement.in_memory().begin(), live.announcement.in_memory().end());
    engine.onDisk = std::set<std::string>(live.announcement.on_disk().begin(), live.announcement.on_disk().end());
    settleByHeartbeat(engine, live, now);
}

// A heartbeat that was heard after an order was accepted shows whether it is done.
void Residency::settleByHeartbeat(Engine &engine, const LiveEndpoint &live, Time now)
{
    if (!engine.known)
        return;
    const std::map<std::string, std::set<std::string>> announcement = contents(live.announcement.models());
    if (engine.current) {
        const CurrentOrder &current = *engine.current;
        const bool ofModel = current.order.adapter.empty();
        const bool load = current.order.action == OrderAction::Load;
        const bool shows = (announcement.count(current.order.model) != 0) == load;
        if (current.phase == Phase::CarriedOut && ofModel && shows && live.heardAt > current.changedAt)
            finishCurrent(engine, now);
        return;
    }
    // Contents that differ for longer than a heartbeat is on its way were changed by somebody else.
    const auto models = [](const std::map<std::string, std::set<std::string>> &held) {
        std::set<std::string> names;
        for (const std::pair<const std::string, std::set<std::string>> &it : held)
            names.insert(it.first);
        return names;
    };
    if (live.heardAt > engine.changedAt + HeartbeatDelay && models(announcement) != models(engine.held))
        engine.known = false;
}

void Residency::observeDemand(const Registry &registry, Time now)
{
    m_wants.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (now > it.second.heardAt + RouterSilence)
            continue;
        for (const pb::ArtifactDemand &demand : it.second.state.demands()) {
            const Millis age = now - it.second.heardAt;
            const auto add = [&](const ArtifactName &name) {
                const ServiceArtifact key{ServiceId(demand.service()), name};
                ModelWant &want = m_wants[key];
                want.waiting += demand.waiting();
                want.running += demand.running();
                if (demand.waiting() > 0)
                    want.longestWait = std::max(want.longestWait, Millis(demand.longest_wait_ms()) + age);
                want.totalWait += Millis(int64_t(demand.total_wait_ms())) + age * demand.waiting();
                if (demand.waiting() + demand.running() > 0)
                    m_lastUse[key] = now;
            };
            add(ArtifactName{demand.model(), ""});
            if (!demand.adapter().empty())
                add(ArtifactName{demand.model(), demand.adapter()});
        }
    }
}

void Residency::takeReport(const std::string &endpoint, uint64_t born, const EngineReport &report, Time askedAt)
{
    const auto it = m_engines.find(endpoint);
    if (it == m_engines.end() || it->second.born != born)
        return;
    Engine &engine = it->second;
    engine.reportUnderWay = false;
    engine.reportFrom = askedAt + ReportAgain;
    if (engine.current && engine.current->phase == Phase::Sent)
        return;
    // A report lags: it doesn't count against what was accepted just before it was asked for.
    if (engine.current && askedAt < engine.current->changedAt + ReportLag)
        return;
    if (report.busy) {
        // An order of an earlier holder is under way: its contents are known once it is done.
        if (!engine.current)
            engine.known = false;
        return;
    }
    engine.current.reset();
    engine.sequence = report.orderSequence;
    google::protobuf::RepeatedPtrField<pb::HeldModel> models(report.models.begin(), report.models.end());
    engine.held = contents(models);
    engine.inMemory.insert(report.inMemory.begin(), report.inMemory.end());
    engine.changedAt = askedAt;
    engine.known = report.pendingAdapters.empty();
    engine.published = false;
}

void Residency::reportFailed(const std::string &endpoint, Time now)
{
    const auto it = m_engines.find(endpoint);
    if (it == m_engines.end())
        return;
    it->second.reportUnderWay = false;
    it->second.reportFrom = now + ReportAgain;
}

void Residency::answered(const ArtifactOrder &order, std::optional<OrderAnswer> answer, Time now)
{
    const auto it = m_engines.find(order.endpoint);
    if (it == m_engines.end() || !it->second.current || it->second.current->order.fence != order.fence)
        return;
    Engine &engine = it->second;
    CurrentOrder &current = *engine.current;
    current.changedAt = now;
    if (!answer) {
        current.phase = Phase::Unclear;
        current.doneBy = now;
        return;
    }
    switch (*answer) {
    case OrderAnswer::Accepted:
        current.phase = Phase::CarriedOut;
        engine.sequence = order.expectedSequence + 1;
        break;
    case OrderAnswer::AlreadyHolds:
        // An unload of an adapter is done at once, and counts; otherwise nothing was accepted.
        if (!order.adapter.empty())
            engine.known = false;
        apply(engine, order, now);
        engine.current.reset();
        break;
    default:
        engine.current.reset();
        engine.known = false;
        engine.reportFrom = std::max(engine.reportFrom, now + ReportLag);
        break;
    }
}

void Residency::apply(Engine &engine, const ArtifactOrder &order, Time now)
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

void Residency::finishCurrent(Engine &engine, Time now)
{
    const ArtifactOrder order = engine.current->order;
    engine.current.reset();
    apply(engine, order, now);
}

Residency::Plan Residency::decide(Time now)
{
    Plan plan;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        const std::optional<CurrentOrder> &current = it.second.current;
        // Adapters are loaded without a heartbeat: they take a known time.
        if (current && current->phase == Phase::CarriedOut && !current->order.adapter.empty() && now >= current->doneBy)
            finishCurrent(it.second, now);
    }
    chaseReports(plan, now);
    if (now < m_ordersFrom)
        return plan;
    while (!m_storeBegins.empty() && m_storeBegins.front() + StoreWindow < now)
        m_storeBegins.pop_front();
    for (const std::pair<const ServiceId, EngineSpec> &it : m_specs)
        planService(it.first, it.second, plan, now);
    return plan;
}

// Asks engines whose contents aren't known, and those whose order should have shown its effect by now.
void Residency::chaseReports(Plan &plan, Time now)
{
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        if (!engine.usable || engine.reportUnderWay || now < engine.reportFrom)
            continue;
        const bool overdue = engine.current && engine.current->phase != Phase::Sent && now > engine.current->doneBy + ReportLag;
        const bool unknown = !engine.known && !engine.current;
        if (!overdue && !unknown)
            continue;
        engine.reportUnderWay = true;
        plan.reports.push_back(engine.endpoint);
    }
}

void Residency::planService(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    continueReservations(service, spec, plan, now);
    planWaitingModels(service, spec, plan, now);
    planAdapters(service, spec, plan, now);
    planCopies(service, spec, plan, now);
}

// Goes on where an engine has made room, or part of it.
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
        if (!engine.known || !engine.usable || engine.held.count(model) != 0)
            continue;
        const ModelWant *wanted = want(service, ArtifactName{model, ""});
        const bool urgent = wanted != nullptr && wanted->waiting > 0;
        const std::optional<Option> option = optionOn(engine, spec, spec.models.at(model), urgent, now);
        if (!option || (option->fromStore && !storeAllows(spec, StoreLoadsInFlight, &engine, now)))
            continue;
        if (option->victims.empty())
            order(engine, OrderAction::Load, ArtifactName{model, ""}, option->fromStore, plan, now);
        else
            order(engine, OrderAction::Unload, ArtifactName{option->victims.front(), ""}, false, plan, now);
    }
}

// Models that requests wait for, and those whose holders are crowded.
void Residency::planWaitingModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    std::vector<ModelDemand> demands;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        const ModelWant *wanted = want(service, ArtifactName{it.first, ""});
        if (wanted == nullptr || loadsOrMakesRoom(service, it.first, now))
            continue;
        demands.push_back(ModelDemand{it.first, wanted->waiting, wanted->running, wanted->totalWait, uint32_t(holders(service, it.first))});
    }
    for (const std::string &it : demandOrder(demands, spec.slots))
        placeModel(service, spec, it, true, plan, now);
}

// Brings models of which no engine has a copy from the store ahead of need: a later load from a copy takes a tenth.
void Residency::planCopies(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    if (storeLoads(service, nullptr, now) >= StoreLoadsAhead)
        return;
    std::set<std::string> copied;
    for (const std::pair<const std::string, Engine> &it : m_engines) {
        const Engine &engine = it.second;
        if (engine.service != service || !engine.usable)
            continue;
        copied.insert(engine.inMemory.begin(), engine.inMemory.end());
        copied.insert(engine.onDisk.begin(), engine.onDisk.end());
        for (const std::pair<const std::string, std::set<std::string>> &held : engine.held)
            copied.insert(held.first);
        if (engine.current)
            copied.insert(engine.current->order.model);
        copied.insert(engine.reservedFor);
        // As long as an engine's contents are unknown, it may have any copy.
        if (!engine.known)
            return;
    }
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (copied.count(it.first) == 0 && placeModel(service, spec, it.first, false, plan, now))
            return;
    }
}

void Residency::planAdapters(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now)
{
    std::vector<ArtifactName> waiting;
    std::vector<ArtifactName> idle;
    for (const std::pair<const std::string, ModelSpec> &it : spec.models) {
        if (it.second.adapters == 0 || holders(service, it.first) == 0)
            continue;
        for (uint32_t n = 1; n <= it.second.adapters; ++n) {
            const ArtifactName name{it.first, "a" + std::to_string(n)};
            const ModelWant *wanted = want(service, name);
            if (wanted != nullptr && wanted->waiting > 0)
                waiting.push_back(name);
            else if (lastUse(service, ArtifactName{it.first, ""}) + AdapterAheadTime > now)
                idle.push_back(name);
        }
    }
    for (const ArtifactName &it : waiting)
        placeAdapter(service, spec, it, true, plan, now);
    for (const ArtifactName &it : idle)
        placeAdapter(service, spec, it, false, plan, now);
}

bool Residency::placeModel(const ServiceId &service, const EngineSpec &spec, const std::string &name, bool urgent, Plan &plan, Time now)
{
    const ModelSpec &model = spec.models.at(name);
    std::optional<Option> best;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        if (it.second.service != service || !free(it.second, name, now) || it.second.held.count(name) != 0)
            continue;
        const std::optional<Option> option = optionOn(it.second, spec, model, urgent, now);
        if (!option || (option->fromStore && !storeAllows(spec, urgent ? StoreLoadsInFlight : StoreLoadsAhead, &it.second, now)))
            continue;
        if (!best || option->cost < best->cost)
            best = option;
    }
    if (!best)
        return false;
    Engine &engine = *best->engine;
    engine.reservedFor = name;
    engine.reservedUntil = now + ReservationTime;
    engine.reservedFromStore = best->fromStore;
    if (best->victims.empty())
        order(engine, OrderAction::Load, ArtifactName{name, ""}, best->fromStore, plan, now);
    else
        order(engine, OrderAction::Unload, ArtifactName{best->victims.front(), ""}, false, plan, now);
    return true;
}

// The time until the engine would hold the model, and what it would have to unload, cheapest first.
std::optional<Residency::Option> Residency::optionOn(Engine &engine, const EngineSpec &spec, const ModelSpec &model, bool urgent,
                                                     Time now) const
{
    Option option;
    option.engine = &engine;
    const bool inMemory = engine.inMemory.count(model.name) != 0;
    const bool onDisk = engine.onDisk.count(model.name) != 0;
    option.fromStore = !inMemory && !onDisk;
    option.cost = double((option.fromStore ? model.storeLoad : onDisk ? model.diskLoad : model.memoryLoad).count());
    double room = spec.megabytes - used(engine, spec);
    std::vector<std::pair<double, std::string>> victims;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
        const std::optional<double> cost = victimCost(engine, it.first, urgent, now);
        if (cost)
            victims.emplace_back(*cost, it.first);
    }
    std::sort(victims.begin(), victims.end());
    for (const std::pair<double, std::string> &it : victims) {
        if (room >= model.megabytes)
            break;
        const auto victim = spec.models.find(it.second);
        room += victim == spec.models.end() ? 0 : victim->second.megabytes;
        room += double(engine.held.at(it.second).size()) * (victim == spec.models.end() ? 0 : victim->second.adapterMegabytes);
        option.cost += it.first;
        option.victims.push_back(it.second);
    }
    if (room < model.megabytes)
        return std::nullopt;
    return option;
}

// What it costs callers, in milliseconds, that an engine gives up a model; nothing: it must not.
std::optional<double> Residency::victimCost(const Engine &engine, const std::string &model, bool urgent, Time now) const
{
    const ArtifactName name{model, ""};
    const size_t held = holders(engine.service, model);
    const ModelWant *wanted = want(engine.service, name);
    const uint32_t busy = wanted == nullptr ? 0 : wanted->running + wanted->waiting;
    const EngineSpec *engineSpec = spec(engine.service);
    if (busy > 0) {
        // A busy model keeps enough holders for its requests.
        const bool spare = held > 1 && busy < (held - 1) * engineSpec->slots * SpareShare;
        if (!spare || !urgent)
            return std::nullopt;
        return VictimBusy;
    }
    const Time last = lastUse(engine.service, name);
    const double idle = double(std::min(VictimIdle, std::chrono::duration_cast<Millis>(now - last)).count());
    const double recent = 1 - idle / double(VictimIdle.count());
    return UnloadTime + VictimRecent * recent / double(std::max<size_t>(1, held));
}

bool Residency::placeAdapter(const ServiceId &service, const EngineSpec &spec, const ArtifactName &name, bool urgent, Plan &plan, Time now)
{
    Engine *best = nullptr;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        const auto held = engine.held.find(name.model);
        if (engine.service != service || held == engine.held.end())
            continue;
        if (engine.known && held->second.count(name.adapter) != 0 && engine.usable)
            return false;
        const bool loading = engine.current && engine.current->order.model == name.model && engine.current->order.adapter == name.adapter;
        if (loading)
            return false;
        if (!free(engine, name.model, now) || used(engine, spec) + spec.models.at(name.model).adapterMegabytes > spec.megabytes)
            continue;
        if (adapters(engine) >= spec.adapterSlots && !urgent)
            continue;
        if (best == nullptr || adapters(engine) < adapters(*best))
            best = &engine;
    }
    if (best == nullptr)
        return false;
    if (adapters(*best) < spec.adapterSlots) {
        order(*best, OrderAction::Load, name, false, plan, now);
        return true;
    }
    // The adapter that was not used for longest makes room.
    std::optional<std::pair<Time, ArtifactName>> oldest;
    for (const std::pair<const std::string, std::set<std::string>> &it : best->held) {
        for (const std::string &adapter : it.second) {
            const ArtifactName candidate{it.first, adapter};
            const ModelWant *wanted = want(service, candidate);
            if (wanted != nullptr && wanted->running + wanted->waiting > 0)
                continue;
            const Time last = lastUse(service, candidate);
            if (!oldest || last < oldest->first)
                oldest = std::pair(last, candidate);
        }
    }
    if (!oldest)
        return false;
    order(*best, OrderAction::Unload, oldest->second, false, plan, now);
    return true;
}

OrderInputs Residency::inputsOf(const Engine &engine, const ArtifactName &name, bool fromStore, Time now) const
{
    OrderInputs inputs;
    if (const ModelWant *wanted = want(engine.service, name)) {
        inputs.waiting = wanted->waiting;
        inputs.running = wanted->running;
        inputs.longestWait = wanted->longestWait;
    }
    inputs.holders = uint32_t(holders(engine.service, name.model));
    inputs.usedMegabytes = used(engine, *spec(engine.service));
    inputs.contentsAge = now - engine.changedAt;
    inputs.fromStore = fromStore;
    inputs.roomFor = engine.reservedFor;
    return inputs;
}

void Residency::order(Engine &engine, OrderAction action, const ArtifactName &name, bool fromStore, Plan &plan, Time now)
{
    invariant(engine.known && !engine.current, "an engine gets one order at a time, on known contents");
    const EngineSpec &limits = *spec(engine.service);
    if (action == OrderAction::Load && name.adapter.empty())
        invariant(used(engine, limits) + limits.models.at(name.model).megabytes <= limits.megabytes, "a load fits into the memory left");
    if (action == OrderAction::Load && !name.adapter.empty())
        invariant(adapters(engine) < limits.adapterSlots, "an adapter fits into the slots left");
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
        duration = action == OrderAction::Unload || model == limits.models.end() ? UnloadWait : model->second.storeLoad;
        if (action == OrderAction::Load && !fromStore)
            duration = std::max(model->second.diskLoad, model->second.memoryLoad);
    }
    current.doneBy = now + duration;
    if (fromStore)
        m_storeBegins.push_back(now);
    engine.current = current;
    engine.published = false;
    plan.orders.push_back(engine.current->order);
}

bool Residency::free(const Engine &engine, const std::string &forModel, Time now) const
{
    const bool reserved = !engine.reservedFor.empty() && engine.reservedFor != forModel && now < engine.reservedUntil;
    return engine.usable && engine.known && !engine.current && !reserved;
}

bool Residency::reservedFromStore(const Engine &engine, Time now) const
{
    return engine.reservedFromStore && !engine.reservedFor.empty() && now < engine.reservedUntil;
}

// Loads from the weight store that are under way, or for which room is being made, on other engines than `besides`.
size_t Residency::storeLoads(const ServiceId &service, const Engine *besides, Time now) const
{
    return size_t(std::count_if(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        // An engine whose contents are unknown may be loading for an earlier holder of orders.
        const bool unknown = !engine.known && !engine.current && engine.usable;
        const bool loads = engine.current && engine.current->fromStore;
        return engine.service == service && &engine != besides && (loads || unknown || reservedFromStore(engine, now));
    }));
}

// True if one more load from the weight store, on `engine`, stays under its rate in every window and under `inFlight`.
bool Residency::storeAllows(const EngineSpec &spec, size_t inFlight, const Engine *engine, Time now) const
{
    size_t under = 0;
    for (const std::pair<const ServiceId, EngineSpec> &it : m_specs)
        under += storeLoads(it.first, engine, now);
    const double window = double(StoreWindow.count()) / 1000;
    const auto recent = std::count_if(m_storeBegins.begin(), m_storeBegins.end(), [&](Time t) { return t + StoreWindow > now; });
    return under < inFlight && double(recent) < spec.storeLoadsPerSecond * window;
}

size_t Residency::holders(const ServiceId &service, const std::string &model) const
{
    return size_t(std::count_if(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        const bool unloading = engine.current && engine.current->order.action == OrderAction::Unload
            && engine.current->order.adapter.empty() && engine.current->order.model == model;
        return engine.service == service && engine.usable && engine.held.count(model) != 0 && !unloading;
    }));
}

bool Residency::loadsOrMakesRoom(const ServiceId &service, const std::string &model, Time now) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        const bool loads = engine.current && engine.current->order.action == OrderAction::Load && engine.current->order.adapter.empty()
            && engine.current->order.model == model;
        const bool makesRoom = engine.reservedFor == model && now < engine.reservedUntil;
        return engine.service == service && engine.usable && (loads || makesRoom);
    });
}

double Residency::used(const Engine &engine, const EngineSpec &spec) const
{
    double megabytes = 0;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
        const auto model = spec.models.find(it.first);
        // A model that the configuration doesn't name may have any size.
        if (model == spec.models.end())
            return spec.megabytes;
        megabytes += model->second.megabytes + double(it.second.size()) * model->second.adapterMegabytes;
    }
    return megabytes;
}

size_t Residency::adapters(const Engine &engine) const
{
    size_t n = 0;
    for (const std::pair<const std::string, std::set<std::string>> &it : engine.held)
        n += it.second.size();
    return n;
}

const ModelWant *Residency::want(const ServiceId &service, const ArtifactName &name) const
{
    const auto it = m_wants.find(ServiceArtifact{service, name});
    return it == m_wants.end() ? nullptr : &it->second;
}

Time Residency::lastUse(const ServiceId &service, const ArtifactName &name) const
{
    const auto it = m_lastUse.find(ServiceArtifact{service, name});
    return it == m_lastUse.end() ? Time(Millis(0)) : it->second;
}

std::vector<pb::Holdings> Residency::takeHoldings()
{
    std::vector<pb::Holdings> result;
    for (std::pair<const std::string, Engine> &it : m_engines) {
        Engine &engine = it.second;
        if (!engine.known || engine.published)
            continue;
        engine.published = true;
        pb::Holdings holdings;
        holdings.set_endpoint(engine.endpoint);
        holdings.set_born_ms(engine.born);
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
        result.push_back(std::move(holdings));
    }
    return result;
}

} // namespace roserail
