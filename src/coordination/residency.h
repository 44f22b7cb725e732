// Decides which model engines hold which models and adapters, and turns that into orders.
//
// Every order carries the number of orders that the engine has accepted so far, and the engine refuses it if the number
// differs. An order is therefore carried out only on exactly the contents that it was planned for, however late it
// arrives and whoever sent others meanwhile: memory can't be overcommitted, and nothing has to be logged before a send.
#pragma once

#include "coordination/registry.h"
#include "protocol/platformcodec.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace roserail
{

// What routers want of one model.
struct ModelWant {
    uint32_t waiting = 0;
    uint32_t running = 0;
    Millis longestWait{0};
    Millis totalWait{0}; // of all that wait
};

class Residency
{
public:
    // Starts to plan as leader of a term, perhaps not for the first time in it: a leader that loses its lease and gets it
    // back goes on after `lastFence`, the highest fencing number that it gave. No order leaves before `ordersFrom`.
    Residency(uint64_t term, uint64_t lastFence, std::string holder, Time ordersFrom);

    // Takes what is configured and what is known of endpoints and of routers' demand.
    void observe(const RouteTable &table, const Registry &registry, Time now);
    // A report of an engine's contents, asked for at `askedAt`.
    void takeReport(const std::string &endpoint, uint64_t born, const EngineReport &report, Time askedAt);
    void reportFailed(const std::string &endpoint, Time now);
    // How an order ended; no answer: it may still be carried out.
    void answered(const ArtifactOrder &order, std::optional<OrderAnswer> answer, Time now);

    struct Plan {
        std::vector<ArtifactOrder> orders;
        std::vector<std::string> reports; // engines to ask for their contents
    };
    // What to send now. The caller sends all of it, and tells of each how it ended.
    Plan decide(Time now);
    // The highest fencing number given so far.
    uint64_t lastFence() const
    {
        return m_fence;
    }
    // What routers have to know of engines' contents since the last call.
    std::vector<pb::Holdings> takeHoldings();

private:
    struct ArtifactName {
        std::string model;
        std::string adapter;
        auto operator<=>(const ArtifactName &) const = default;
    };
    enum class Phase { Sent, CarriedOut, Unclear };
    struct CurrentOrder {
        ArtifactOrder order;
        Phase phase = Phase::Sent;
        bool fromStore = false;
        Time changedAt{};
        Time doneBy{}; // when a report should show it
    };
    struct Engine {
        std::string endpoint;
        ServiceId service;
        uint64_t born = 0;
        std::string zone;
        bool usable = false;
        bool known = false; // `held` and `sequence` are what it has
        bool reportUnderWay = false;
        Time reportFrom{}; // no report is asked for earlier
        uint64_t sequence = 0;
        std::map<std::string, std::set<std::string>> held; // adapters by model
        std::set<std::string> inMemory;
        std::set<std::string> onDisk;
        std::optional<CurrentOrder> current;
        std::string reservedFor; // model for which room is being made
        bool reservedFromStore = false; // to be loaded from the weight store
        Time reservedUntil{};
        Time changedAt{}; // `held` changed
        bool published = false;
    };
    // What one engine would have to do to hold a model.
    struct Option {
        Engine *engine = nullptr;
        double cost = 0; // milliseconds
        bool fromStore = false;
        std::vector<std::string> victims;
    };

    const EngineSpec *spec(const ServiceId &service) const;
    void observeEndpoint(const LiveEndpoint &live, Time now);
    void observeDemand(const Registry &registry, Time now);
    void settleByHeartbeat(Engine &engine, const LiveEndpoint &live, Time now);
    void finishCurrent(Engine &engine, Time now);
    void apply(Engine &engine, const ArtifactOrder &order, Time now);
    void chaseReports(Plan &plan, Time now);
    void planService(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void continueReservations(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void planWaitingModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void planCopies(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void planAdapters(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    bool placeModel(const ServiceId &service, const EngineSpec &spec, const std::string &model, bool urgent, Plan &plan, Time now);
    bool placeAdapter(const ServiceId &service, const EngineSpec &spec, const ArtifactName &name, bool urgent, Plan &plan, Time now);
    std::optional<Option> optionOn(Engine &engine, const EngineSpec &spec, const ModelSpec &model, bool urgent, Time now) const;
    Millis copyReadyIn(const ServiceId &service, const ModelSpec &model, Time now) const;
    std::optional<double> victimCost(const Engine &engine, const std::string &model, bool urgent, Time now) const;
    OrderInputs inputsOf(const Engine &engine, const ArtifactName &name, bool fromStore, Time now) const;
    void order(Engine &engine, OrderAction action, const ArtifactName &name, bool fromStore, Plan &plan, Time now);
    bool hasCopy(const Engine &engine, const std::string &model) const;
    bool free(const Engine &engine, const std::string &forModel, Time now) const;
    bool storeAllows(const EngineSpec &spec, size_t inFlight, const Engine *besides, Time now) const;
    size_t storeLoads(const ServiceId &service, const Engine *besides, Time now) const;
    bool makesRoomForStore(const Engine &engine, Time now) const;
    size_t holders(const ServiceId &service, const std::string &model) const;
    bool loadsOrMakesRoom(const ServiceId &service, const std::string &model, Time now) const;
    double used(const Engine &engine, const EngineSpec &spec) const;
    size_t adapters(const Engine &engine) const;
    const ModelWant *want(const ServiceId &service, const ArtifactName &name) const;
    Time lastUse(const ServiceId &service, const ArtifactName &name) const;

    using ServiceArtifact = std::pair<ServiceId, ArtifactName>;

    uint64_t m_term;
    std::string m_holder;
    Time m_ordersFrom;
    uint64_t m_fence = 0;
    uint64_t m_counter = 0;
    std::map<ServiceId, EngineSpec> m_specs;
    uint64_t m_specVersion = 0;
    std::map<std::string, Engine> m_engines;
    std::map<ServiceArtifact, ModelWant> m_wants; // a model's own entry sums its adapters too
    std::map<ServiceArtifact, Time> m_lastUse;
    std::deque<Time> m_storeBegins; // loads from the weight store in the last window
};

} // namespace roserail
