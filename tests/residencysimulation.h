// Engines, their demand and a leader that plans what they hold, without a network.
#pragma once

#include "coordination/loadpriority.h"
#include "coordination/residency.h"
#include "livestate.h"
#include "state/invariant.h"

#include <functional>

namespace roserail::test
{

// A model engine that executes one order at a time. Orders may be delayed, unanswered or lost. A load that does not fit
// into its memory or slots would crash it; here it fails the test.
struct FakeEngine {
    std::string id;
    uint64_t startedAtMs = 10;
    uint64_t sequence = 0;
    uint64_t heartbeats = 0;
    std::map<std::string, std::set<std::string>> held;
    std::optional<ArtifactOrder> current;
    Time completesAt{};
    std::vector<std::pair<Time, ArtifactOrder>> delayed;
};

struct Simulation {
    RouteTable table;
    std::map<std::string, FakeEngine> engines;
    Registry registry{ExpiryTimes, Now};
    std::unique_ptr<Residency> residency;
    uint64_t term = 1;
    Time now = Now;
    std::deque<Time> storeLoads;
    std::set<std::string> cachedModels; // "engine/model" for each local copy, which the first load leaves

    explicit Simulation(int engineCount = 3, int modelCount = 7)
    {
        ServiceSpec &service = table.services[ServiceId("s")];
        service.id = ServiceId("s");
        service.hasEngine = true;
        service.engine.slots = 4;
        service.engine.megabytes = 200;
        service.engine.adapterSlots = 2;
        service.engine.storeLoadsPerSecond = 3;
        for (int i = 0; i < modelCount; ++i) {
            ModelSpec model{"m" + std::to_string(i), 45 + double(i % 7) * 10, Millis(6000), Millis(400), Millis(600), i < 2 ? 4u : 0u, 1};
            service.engine.models[model.name] = model;
        }
        table.version = 1;
        for (int i = 0; i < engineCount; ++i)
            engines["e" + std::to_string(i)].id = "e" + std::to_string(i);
        changeLeader();
    }

    void changeLeader()
    {
        residency = std::make_unique<Residency>(term++, Residency::Numbers(), "holder", now);
    }

    double usedMegabytes(const FakeEngine &engine) const
    {
        double megabytes = 0;
        const EngineSpec &spec = table.services.at(ServiceId("s")).engine;
        for (const std::pair<const std::string, std::set<std::string>> &it : engine.held)
            megabytes += spec.models.at(it.first).megabytes + double(it.second.size()) * spec.models.at(it.first).adapterMegabytes;
        return megabytes;
    }

    OrderAnswer deliver(FakeEngine &engine, const ArtifactOrder &order)
    {
        if (engine.current || order.expectedSequence != engine.sequence)
            return OrderAnswer::Busy;
        const EngineSpec &spec = table.services.at(ServiceId("s")).engine;
        const bool held
            = engine.held.count(order.model) != 0 && (order.adapter.empty() || engine.held[order.model].count(order.adapter) != 0);
        if (order.action == OrderAction::Load && held)
            return OrderAnswer::AlreadyHolds;
        if (!order.adapter.empty()) {
            ++engine.sequence;
            if (order.action == OrderAction::Unload) {
                engine.held[order.model].erase(order.adapter);
                return OrderAnswer::AlreadyHolds;
            }
            invariant(engine.held.count(order.model) != 0, "an adapter is loaded onto a loaded model");
            size_t adapters = 0;
            for (const std::pair<const std::string, std::set<std::string>> &it : engine.held)
                adapters += it.second.size();
            invariant(adapters < spec.adapterSlots, "loaded adapters stay within the adapter slots");
            engine.held[order.model].insert(order.adapter);
            invariant(usedMegabytes(engine) <= spec.megabytes, "loaded adapters stay within the memory");
            return OrderAnswer::Accepted;
        }
        ++engine.sequence;
        engine.current = order;
        engine.completesAt = now + Millis(300);
        if (order.action == OrderAction::Load) {
            invariant(usedMegabytes(engine) + spec.models.at(order.model).megabytes <= spec.megabytes,
                      "loaded models stay within the memory");
            if (cachedModels.insert(engine.id + "/" + order.model).second) {
                engine.completesAt = now + Millis(6000);
                storeLoads.push_back(now);
            }
        }
        return OrderAnswer::Accepted;
    }

    void completeOrder(FakeEngine &engine)
    {
        if (!engine.current || now < engine.completesAt)
            return;
        if (engine.current->action == OrderAction::Load)
            engine.held[engine.current->model];
        else
            engine.held.erase(engine.current->model);
        engine.current.reset();
    }

    void sendHeartbeat(FakeEngine &engine)
    {
        pb::Announcement message = announcement(engine.id, engine.startedAtMs, ++engine.heartbeats, "10.0.0.1:10" + engine.id.substr(1));
        for (const std::pair<const std::string, std::set<std::string>> &it : engine.held) {
            pb::HeldModel &model = *message.add_models();
            model.set_model(it.first);
            for (const std::string &adapter : it.second)
                model.add_adapters(adapter);
        }
        for (const std::string &it : cachedModels) {
            if (it.rfind(engine.id + "/", 0) == 0)
                message.add_on_disk(it.substr(engine.id.size() + 1));
        }
        registry.merge(message, now);
    }

    void restart(FakeEngine &engine)
    {
        engine.startedAtMs += 10;
        engine.sequence = 0;
        engine.heartbeats = 0;
        engine.held.clear();
        engine.current.reset();
        engine.delayed.clear();
    }

    void setDemand(const std::string &model, uint32_t waiting, uint64_t sequence)
    {
        pb::RouterState state;
        state.set_router("r");
        state.set_incarnation(1);
        state.set_sequence(sequence);
        state.set_accepting(true);
        if (waiting > 0) {
            pb::ArtifactDemand &demand = *state.add_demands();
            demand.set_service("s");
            demand.set_model(model.substr(0, model.find('/')));
            if (model.find('/') != std::string::npos)
                demand.set_adapter(model.substr(model.find('/') + 1));
            demand.set_waiting(waiting);
        }
        registry.merge(state, now);
    }

    void setDemand(const std::vector<std::pair<ModelDemand, Millis>> &demands, uint64_t sequence)
    {
        pb::RouterState state;
        state.set_router("r");
        state.set_incarnation(1);
        state.set_sequence(sequence);
        state.set_accepting(true);
        for (const std::pair<ModelDemand, Millis> &it : demands) {
            pb::ArtifactDemand &demand = *state.add_demands();
            demand.set_service("s");
            demand.set_model(it.first.model);
            demand.set_waiting(it.first.waiting);
            demand.set_running(it.first.running);
            demand.set_total_wait_ms(uint64_t(it.first.totalWait.count()));
            demand.set_longest_wait_ms(uint32_t(it.second.count()));
            if (it.first.urgency) {
                demand.set_priority(it.first.urgency->priority + 1);
                demand.set_aim_ms(uint32_t(it.first.urgency->aim.count()));
            }
        }
        registry.merge(state, now);
    }

    // Runs one planning round of the leader. `nextOutcome` chooses the outcome of each order: 0 to 5 answered,
    // 6 executed without an answer, 7 lost, 8 delayed without an answer.
    void runRound(const std::function<int()> &nextOutcome, std::vector<uint64_t> *fences = nullptr)
    {
        now += Millis(50);
        for (std::pair<const std::string, FakeEngine> &it : engines) {
            std::vector<std::pair<Time, ArtifactOrder>> due;
            std::erase_if(it.second.delayed, [&](const std::pair<Time, ArtifactOrder> &order) {
                if (order.first > now)
                    return false;
                due.push_back(order);
                return true;
            });
            for (const std::pair<Time, ArtifactOrder> &order : due)
                deliver(it.second, order.second);
            completeOrder(it.second);
        }
        registry.expire(now);
        residency->observe(table, registry, now);
        Residency::Plan plan = residency->decide(now);
        for (const std::string &it : plan.reportRequests) {
            FakeEngine &engine = engines.at(it);
            EngineReport report;
            report.busy = engine.current.has_value();
            report.orderSequence = engine.sequence;
            for (const std::pair<const std::string, std::set<std::string>> &held : engine.held) {
                pb::HeldModel model;
                model.set_model(held.first);
                for (const std::string &adapter : held.second)
                    model.add_adapters(adapter);
                report.models.push_back(model);
            }
            residency->applyReport(it, engine.startedAtMs, report, now);
        }
        for (const ArtifactOrder &it : plan.orders) {
            FakeEngine &engine = engines.at(it.endpoint);
            if (fences != nullptr)
                fences->push_back(it.fence);
            const int outcome = nextOutcome();
            if (outcome == 8)
                engine.delayed.emplace_back(now + Millis(2000), it);
            std::optional<OrderAnswer> answer;
            if (outcome <= 6)
                answer = deliver(engine, it);
            if (outcome > 5)
                answer.reset();
            residency->orderAnswered(it, answer, now);
        }
        for (const pb::Holdings &it : residency->takeHoldings(now))
            registry.merge(it, now);
        while (!storeLoads.empty() && storeLoads.front() + Millis(5000) < now)
            storeLoads.pop_front();
        invariant(double(storeLoads.size()) <= 3 * 5 * 1.1 + 3, "loads from the weight store stay within their rate");
    }

    bool anyEngineHolds(const std::string &model) const
    {
        return std::any_of(engines.begin(), engines.end(),
                           [&](const std::pair<const std::string, FakeEngine> &it) { return it.second.held.count(model) != 0; });
    }
};

} // namespace roserail::test
