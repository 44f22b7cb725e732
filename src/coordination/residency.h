// Plans which models and adapters each model engine holds, and issues the load and unload orders for it.
//
// Orders are conditional: each carries the number of orders that the engine has accepted so far, and the engine refuses
// it if the number differs. An order is therefore executed only on the contents it was planned for, even if it is
// delayed or another leader has sent orders since. Memory can't be overcommitted, and no order has to be logged before
// it is sent.
#pragma once

#include "coordination/registry.h"
#include "coordination/urgency.h"
#include "protocol/platformcodec.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace roserail
{

// Demand for one model or adapter, summed over all routers.
struct AggregateDemand {
    uint32_t waiting = 0;
    uint32_t running = 0;
    Millis longestWait{0};
    Millis totalWait{0}; // sum over the waiting requests
    uint32_t refused = 0; // lately, because no engine has a copy
    std::optional<Urgency> urgency; // of the most urgent request; none: the service is not shared by urgency
};

class Residency
{
public:
    // The highest numbers issued so far.
    struct Numbers {
        uint64_t fence = 0; // fencing number of orders
        uint64_t counter = 0; // of published holdings
    };
    // Created when this process becomes the leader, which may happen more than once in a term: a leader that regains its
    // lease continues after `last`, or others would take its orders and holdings for old ones. `holder` is the id of this
    // control host, which orders carry. No order is issued before `ordersAllowedAt`.
    Residency(uint64_t term, const Numbers &last, std::string holder, Time ordersAllowedAt);

    // Loads from the weight store that an earlier leader began count toward its rate: no other is ordered before `from`.
    void allowStoreLoadsFrom(Time from)
    {
        m_storeLoadsAllowedAt = from;
    }
    // Updates the plan's inputs: the configuration, the live endpoints and the routers' demand.
    void observe(const RouteTable &table, const Registry &registry, Time now);
    // Applies an engine's report of its contents, requested at `askedAt`.
    void applyReport(const std::string &endpoint, uint64_t startedAtMs, const EngineReport &report, Time askedAt);
    void reportFailed(const std::string &endpoint, Time now);
    // Records the answer to an order. Without an answer, the order may still be executed.
    void orderAnswered(const ArtifactOrder &order, std::optional<OrderAnswer> answer, Time now);

    struct Plan {
        std::vector<ArtifactOrder> orders;
        std::vector<std::string> reportRequests; // engines whose contents are to be queried
    };
    // Returns what to send now. The caller sends all of it, and reports every outcome with the functions above.
    Plan decide(Time now);
    Numbers lastNumbers() const
    {
        return Numbers{m_fence, m_counter};
    }
    // Returns the contents of the engines that have changed since the last call, for publication to routers.
    std::vector<pb::Holdings> takeHoldings(Time now);

private:
    struct ArtifactName {
        std::string model;
        std::string adapter;
        auto operator<=>(const ArtifactName &) const = default;
    };
    enum class Phase { Sent, Accepted, Unconfirmed }; // Unconfirmed: sent, but no answer was received
    struct CurrentOrder {
        ArtifactOrder order;
        Phase phase = Phase::Sent;
        bool fromStore = false;
        size_t storeLoads = 0; // from the weight store in progress when it was issued, this one included
        Time changedAt{}; // last change of `phase`
        Time expectedDoneAt{}; // a report should show the result by then
    };
    struct Engine {
        std::string endpoint;
        ServiceId service;
        uint64_t startedAtMs = 0;
        std::string zone;
        uint64_t seenVersion = 0; // of the registry's entry when it was last processed
        bool usable = false;
        bool contentsKnown = false; // `held` and `sequence` match the engine
        bool reportPending = false;
        Time nextReportAt{}; // no report is requested earlier
        uint64_t sequence = 0;
        std::map<std::string, std::set<std::string>> held; // loaded models, each with its loaded adapters
        std::set<std::string> inMemory;
        std::set<std::string> onDisk;
        std::optional<CurrentOrder> current;
        std::string reservedFor; // model to be loaded once there is room
        bool reservedFromStore = false; // that load will come from the weight store
        Time reservedUntil{};
        Time changedAt{}; // last change of `held`
        Time limitedUntil{}; // it takes few requests, so that its models need another holder
        bool published = false; // returned by takeHoldings() since the last change
    };
    // Where a model of one service is, or will be; kept up to date within a planning round.
    struct ModelPlaces {
        std::vector<Engine *> holders; // usable engines that hold it and are not unloading it
        std::vector<Engine *> copies; // usable engines that have a copy in memory or on disk
        uint32_t planned = 0; // engines that are loading it or are reserved for it
        bool anywhere() const
        {
            return planned > 0 || !copies.empty() || !holders.empty();
        }
    };
    // The engines of one service at the beginning of a planning round, so that no decision searches all of them.
    struct Round {
        std::vector<Engine *> engines;
        std::map<std::string, ModelPlaces> models;
    };
    // The steps and the cost of loading a model on one engine.
    struct LoadOption {
        Engine *engine = nullptr;
        double cost = 0; // milliseconds
        bool fromStore = false;
        std::vector<std::string> victims; // models to unload first
    };

    const EngineSpec *spec(const ServiceId &service) const;
    void observeEndpoint(const LiveEndpoint &live, Time now);
    void observeDemand(const Registry &registry, Time now);
    void confirmFromHeartbeat(Engine &engine, const LiveEndpoint &live, Time now);
    void beginRound(const ServiceId &service, Time now);
    void completeCurrentOrder(Engine &engine, Time now);
    void applyOrder(Engine &engine, const ArtifactOrder &order, Time now);
    void requestReports(Plan &plan, Time now);
    void planService(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void continueReservations(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void planWaitingModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void planRefusedModels(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    void learnStoreSpeed(const CurrentOrder &order, Time now);
    void planPrefetch(const EngineSpec &spec, Plan &plan, Time now);
    void planAdapters(const ServiceId &service, const EngineSpec &spec, Plan &plan, Time now);
    bool placeModel(const EngineSpec &spec, const std::string &model, bool urgent, Plan &plan, Time now);
    bool placeAdapter(const ServiceId &service, const EngineSpec &spec, const ArtifactName &name, bool urgent, Plan &plan, Time now);
    std::optional<LoadOption> loadOptionOn(Engine &engine, const EngineSpec &spec, const ModelSpec &model, bool urgent, Time now) const;
    Millis timeUntilCopyLoaded(const EngineSpec &spec, const ModelSpec &model, Time now) const;
    std::optional<double> evictionCost(const Engine &engine, const std::string &model, const std::string &forModel, bool urgent,
                                       Time now) const;
    std::optional<bool> decideByUrgency(const ServiceId &service, const std::string &victim, const std::string &forModel,
                                        bool othersSuffice) const;
    OrderInputs inputsOf(const Engine &engine, const ArtifactName &name, bool fromStore, Time now) const;
    void issueOrder(Engine &engine, OrderAction action, const ArtifactName &name, bool fromStore, Plan &plan, Time now);
    // Returns the number of engines that hold the model and have no limit, `except` not counted.
    size_t unlimitedHolders(const std::string &model, const Engine *except, Time now) const;
    bool hasLocalCopy(const Engine &engine, const std::string &model) const;
    bool availableFor(const Engine &engine, const std::string &forModel, Time now) const;
    bool storeLoadAllowed(const EngineSpec &spec, size_t maxInFlight, const Engine *engine, Time now) const;
    // Returns the number of loads from the weight store in progress up to which models are prefetched.
    size_t maxPrefetches() const
    {
        return m_maxStoreLoads - 1;
    }
    bool countsAsStoreLoad(const Engine &engine, Time now) const;
    const ModelPlaces &places(const std::string &model) const;
    double usedMegabytes(const Engine &engine, const EngineSpec &spec) const;
    size_t adapterCount(const Engine &engine) const;
    const AggregateDemand *demandFor(const ServiceId &service, const ArtifactName &name) const;
    Time lastUse(const ServiceId &service, const ArtifactName &name) const;

    using ServiceArtifact = std::pair<ServiceId, ArtifactName>;

    uint64_t m_term;
    std::string m_holder;
    Time m_ordersAllowedAt;
    Time m_storeLoadsAllowedAt{};
    uint64_t m_fence = 0;
    uint64_t m_counter = 0;
    std::map<ServiceId, EngineSpec> m_specs;
    uint64_t m_specVersion = 0;
    std::map<std::string, Engine> m_engines;
    Round m_round; // of the service that is being planned
    size_t m_storeLoads = 0; // in progress or reserved, over all services
    size_t m_maxStoreLoads; // that the weight store serves at full speed, as far as known
    std::map<ServiceArtifact, AggregateDemand> m_demand; // the entry of a model includes the demand for its adapters
    std::map<ServiceArtifact, Time> m_lastUse;
    std::deque<Time> m_storeLoadStarts; // within the last StoreRateWindow
};

} // namespace roserail
