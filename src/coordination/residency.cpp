#include "coordination/residency.h"

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
        if (current.phase == Phase::CarriedOut && ofModel && shows && live.lastSeenAt > current.changedAt)
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
    if (live.lastSeenAt > engine.changedAt + HeartbeatDelay && models(announcement) != models(engine.held))
        engine.known = false;
}

void Residency::observeDemand(const Registry &registry, Time now)
{
    m_wants.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (now > it.second.lastSeenAt + RouterSilence)
            continue;
        for (const pb::ArtifactDemand &demand : it.second.state.demands()) {
            const Millis age = now - it.second.lastSeenAt;
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

size_t Residency::holders(const ServiceId &service, const std::string &model) const
{
    return size_t(std::count_if(m_engines.begin(), m_engines.end(), [&](const std::pair<const std::string, Engine> &it) {
        const Engine &engine = it.second;
        const bool unloading = engine.current && engine.current->order.action == OrderAction::Unload
            && engine.current->order.adapter.empty() && engine.current->order.model == model;
        return engine.service == service && engine.usable && engine.held.count(model) != 0 && !unloading;
    }));
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
