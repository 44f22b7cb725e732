// Tests of residency planning: orders never overcommit an engine's memory, and models are loaded in the order of demand.
#define BOOST_TEST_MODULE residency
#include "coordination/loadpriority.h"
#include "coordination/residency.h"
#include "residencysimulation.h"
#include "state/invariant.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

// Lost, delayed or unanswered orders, restarts of engines and changes of leader never overcommit an engine's memory.
BOOST_AUTO_TEST_CASE(engineMemoryIsNeverOvercommitted)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint8_t>> &events, uint64_t seed) {
        Simulation simulation;
        std::mt19937_64 random(seed);
        uint64_t sequence = 0;
        const auto nextOutcome = [&] {
            return int(random() % 9);
        };
        for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
            simulation.sendHeartbeat(it.second);
        for (const std::tuple<uint8_t, uint8_t> &it : events) {
            FakeEngine &engine = simulation.engines.at("e" + std::to_string(std::get<1>(it) % 3));
            switch (std::get<0>(it) % 12) {
            case 0:
                simulation.restart(engine);
                simulation.sendHeartbeat(engine);
                break;
            case 1:
                simulation.changeLeader();
                break;
            case 2:
            case 3:
                simulation.setDemand("m" + std::to_string(std::get<1>(it) % 7), 1 + std::get<1>(it) % 3, ++sequence);
                break;
            case 4:
                simulation.setDemand("m" + std::to_string(std::get<1>(it) % 2) + "/a" + std::to_string(1 + std::get<1>(it) % 4), 1,
                                     ++sequence);
                break;
            default:
                simulation.sendHeartbeat(engine);
            }
            for (int i = 0; i < 10; ++i)
                simulation.runRound(nextOutcome);
        }
    }));
}

// Load pattern: requests wait for a rarely used model while the engines' memory is full of idle ones.
BOOST_AUTO_TEST_CASE(waitingModelEvictsAnIdleOne)
{
    Simulation simulation;
    uint64_t sequence = 0;
    const auto accepted = [] {
        return 0;
    };
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        it.second.held = {{"m0", {}}, {"m1", {}}, {"m2", {}}};
        simulation.sendHeartbeat(it.second);
    }
    for (int i = 0; i < 400 && !simulation.anyEngineHolds("m6"); ++i) {
        simulation.setDemand("m6", 1, ++sequence);
        simulation.runRound(accepted);
        if (i % 20 == 0) {
            for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
                simulation.sendHeartbeat(it.second);
        }
    }
    BOOST_TEST(simulation.anyEngineHolds("m6"));
}

// Load pattern: the only engine that holds a model names a limit, and requests for the model wait. Another one loads it.
BOOST_DATA_TEST_CASE(modelOfALimitedEngineIsLoadedElsewhere, bdata::make({true, false}), limited)
{
    Simulation simulation;
    uint64_t sequence = 0;
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        if (it.first == "e0")
            it.second.held = {{"m0", {}}};
        for (int i = 0; i < 7; ++i)
            simulation.cachedModels.insert(it.first + "/m" + std::to_string(i));
        simulation.sendHeartbeat(it.second);
    }
    if (limited) {
        pb::RouterState state;
        state.set_router("other");
        state.set_sequence(1);
        pb::EndpointAdvice &advice = *state.add_advice();
        advice.set_endpoint("e0");
        advice.set_born_ms(simulation.engines.at("e0").startedAtMs);
        advice.mutable_capacity()->set_requests_per_second(1.5);
        simulation.registry.merge(state, simulation.now);
    }
    for (int i = 0; i < 40; ++i) {
        simulation.setDemand("m0", 1, ++sequence);
        simulation.runRound([] { return 0; });
    }
    const bool elsewhere = simulation.engines.at("e1").held.count("m0") != 0 || simulation.engines.at("e2").held.count("m0") != 0;
    BOOST_TEST(elsewhere == limited);
}

// Load pattern: requests wait for a model that an engine already holds. No model is loaded or unloaded.
BOOST_AUTO_TEST_CASE(noOrderWhenDemandIsServed)
{
    Simulation simulation;
    int orders = 0;
    const auto count = [&] {
        ++orders;
        return 0;
    };
    int n = 0;
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        it.second.held = {{"m" + std::to_string(n), {}}, {"m" + std::to_string(n + 1), {}}};
        n += 2;
        for (int i = 0; i < 7; ++i)
            simulation.cachedModels.insert(it.first + "/m" + std::to_string(i));
        simulation.sendHeartbeat(it.second);
    }
    simulation.setDemand("m0", 1, 1);
    for (int i = 0; i < 30; ++i)
        simulation.runRound(count);
    // Adapters of the model in use are prefetched; no model is loaded or unloaded.
    for (const std::pair<const std::string, FakeEngine> &it : simulation.engines)
        BOOST_TEST(it.second.held.size() == 2u);
    BOOST_TEST(orders <= 2);
}

namespace
{

struct PriorityRow {
    const char *description;
    std::vector<ModelDemand> demands;
    std::vector<std::string> expected;
};

std::ostream &operator<<(std::ostream &out, const PriorityRow &row)
{
    return out << row.description;
}

ModelDemand waitingDemand(const char *model, uint32_t waiting, int total)
{
    return ModelDemand{model, waiting, 0, Millis(total), 0};
}

ModelDemand runningDemand(const char *model, uint32_t running, uint32_t holders)
{
    return ModelDemand{model, 0, running, Millis(0), holders};
}

const PriorityRow PriorityRows[] = {
    {"no model needs another engine", {runningDemand("a", 20, 1), ModelDemand{"b", 0, 0, Millis(0), 0}}, {}},
    {"a single request that has just arrived", {waitingDemand("a", 1, 0)}, {"a"}},
    {"many requests before single requests that have waited longer",
     {waitingDemand("a", 1, 7000), waitingDemand("b", 35, 40000), waitingDemand("c", 2, 10000)},
     {"b", "c", "a"}},
    {"a single request with a longer total wait before many", {waitingDemand("a", 1, 7000), waitingDemand("b", 12, 3000)}, {"a", "b"}},
    {"an overloaded engine before single requests", {waitingDemand("a", 1, 3000), runningDemand("b", 50, 1)}, {"b", "a"}},
    {"a slightly overloaded engine after single requests", {waitingDemand("a", 1, 3000), runningDemand("b", 24, 1)}, {"a", "b"}},
};

} // namespace

BOOST_DATA_TEST_CASE(longestTotalWaitComesFirst, bdata::make(PriorityRows), row)
{
    BOOST_TEST(modelsByLoadPriority(row.demands, 64) == row.expected, boost::test_tools::per_element());
}

// Load pattern: a popular model loses its only engine while single requests wait for rarely used ones. Its callers
// disconnect after two seconds, so that none of them is ever the one that has waited longest.
BOOST_AUTO_TEST_CASE(popularModelIsLoadedBeforeSingleRequests)
{
    Simulation simulation;
    const auto accepted = [] {
        return 0;
    };
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        for (int i = 0; i < 7; ++i)
            simulation.cachedModels.insert(it.first + "/m" + std::to_string(i));
        simulation.sendHeartbeat(it.second);
    }
    uint64_t sequence = 0;
    Millis elapsed{0};
    for (int i = 0; i < 200 && !simulation.anyEngineHolds("m6"); ++i) {
        std::vector<std::pair<ModelDemand, Millis>> demands;
        for (int n = 0; n < 6; ++n)
            demands.emplace_back(waitingDemand(("m" + std::to_string(n)).c_str(), 1, 6000), Millis(6000));
        demands.emplace_back(waitingDemand("m6", 30, 30000), Millis(2000));
        simulation.setDemand(demands, ++sequence);
        simulation.runRound(accepted);
        for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
            simulation.sendHeartbeat(it.second);
        elapsed += Millis(50);
    }
    // One load from a copy takes 300 ms; the rest is the delay until the planner processes its result.
    BOOST_TEST(elapsed.count() <= 600);
}

// Load pattern: requests wait for more rarely used models than may be loaded from the weight store at once, and for one
// that has copies on engines. An engine whose load from the store has to wait must stay available to load from a copy.
BOOST_AUTO_TEST_CASE(rateLimitedStoreLoadsReserveNoEngine)
{
    Simulation simulation(8, 40);
    for (std::pair<const std::string, ModelSpec> &it : simulation.table.services.at(ServiceId("s")).engine.models)
        it.second.megabytes = 60;
    const auto accepted = [] {
        return 0;
    };
    int n = 0;
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        for (int i = 0; i < 3; ++i)
            it.second.held["m" + std::to_string(n * 3 + i)];
        for (const std::pair<const std::string, std::set<std::string>> &held : it.second.held)
            simulation.cachedModels.insert(it.first + "/" + held.first);
        simulation.cachedModels.insert(it.first + "/m39");
        simulation.sendHeartbeat(it.second);
        ++n;
    }
    uint64_t sequence = 0;
    int rounds = 0;
    for (; rounds < 100 && !simulation.anyEngineHolds("m39"); ++rounds) {
        std::vector<std::pair<ModelDemand, Millis>> demands;
        for (int i = 24; i < 36; ++i)
            demands.emplace_back(waitingDemand(("m" + std::to_string(i)).c_str(), 1, 5000), Millis(5000));
        if (rounds >= 10)
            demands.emplace_back(waitingDemand("m39", 1, 100), Millis(100));
        simulation.setDemand(demands, ++sequence);
        simulation.runRound(accepted);
        for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
            simulation.sendHeartbeat(it.second);
    }
    // One or two unloads and a load from a copy: 300 ms each, and the planner processes each result within a round.
    BOOST_TEST((rounds - 10) * 50 <= 1500);
}

// A leader that goes on soon after a restart does not know which loads from the weight store it began before.
BOOST_AUTO_TEST_CASE(storeLoadsWaitAfterARestart)
{
    Simulation simulation(2, 7);
    const auto accepted = [] {
        return 0;
    };
    const Time allowedAt = simulation.now + Millis(2000);
    simulation.residency->allowStoreLoadsFrom(allowedAt);
    simulation.cachedModels.insert("e0/m3");
    for (uint64_t sequence = 1; simulation.now < allowedAt + Millis(1000); ++sequence) {
        for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
            simulation.sendHeartbeat(it.second);
        simulation.setDemand({{waitingDemand("m3", 1, 500), Millis(500)}, {waitingDemand("m4", 1, 500), Millis(500)}}, sequence);
        simulation.runRound(accepted);
        BOOST_TEST((simulation.storeLoads.empty() || simulation.storeLoads.front() >= allowedAt));
        if (simulation.now == allowedAt - Millis(500))
            BOOST_TEST(simulation.anyEngineHolds("m3"));
    }
    BOOST_TEST(!simulation.storeLoads.empty());
}

// Load pattern: rarely used models with copies on one engine are requested together while another engine is idle. The
// planner waits for the busy engine while that loads from copies, but not if a load from the store blocks it for longer
// than a load from the store on the idle engine takes.
BOOST_AUTO_TEST_CASE(copyOnABusyEngineIsPreferredToTheStore)
{
    for (const bool blocked : {false, true}) {
        Simulation simulation(2, 7);
        const auto accepted = [] {
            return 0;
        };
        uint64_t sequence = 0;
        const auto round = [&](const std::vector<std::string> &waiting) {
            std::vector<std::pair<ModelDemand, Millis>> demands;
            for (const std::string &it : waiting) {
                if (!simulation.anyEngineHolds(it))
                    demands.emplace_back(waitingDemand(it.c_str(), 1, 500), Millis(500));
            }
            simulation.setDemand(demands, ++sequence);
            simulation.runRound(accepted);
            for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
                simulation.sendHeartbeat(it.second);
        };
        for (const char *copy : {"e0/m3", "e0/m4", "e1/m0", "e1/m1", "e1/m2", "e1/m6"})
            simulation.cachedModels.insert(copy);
        // Without a copy, m5 is prefetched from the store, which blocks e0. No request waits for it.
        if (!blocked)
            simulation.cachedModels.insert("e1/m5");
        for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
            simulation.sendHeartbeat(it.second);
        const FakeEngine &copyHolder = simulation.engines.at("e0");
        while (blocked && !copyHolder.current)
            round({});
        const size_t before = simulation.storeLoads.size();
        for (int i = 0; i < 40; ++i)
            round({"m3", "m4"});
        BOOST_TEST((simulation.storeLoads.size() > before) == blocked);
        BOOST_TEST(simulation.anyEngineHolds("m3") == !blocked);
        BOOST_TEST(simulation.anyEngineHolds("m4") == !blocked);
    }
}

// A leader that regains its lease in the same term never repeats or decreases a fencing number.
BOOST_AUTO_TEST_CASE(fencingNumbersIncreaseAfterALeaseIsRegained)
{
    Simulation simulation;
    std::vector<uint64_t> fences;
    uint64_t sequence = 0;
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        for (int i = 0; i < 7; ++i)
            simulation.cachedModels.insert(it.first + "/m" + std::to_string(i));
        simulation.sendHeartbeat(it.second);
    }
    for (int lease = 0; lease < 3; ++lease) {
        const Residency::Numbers last = simulation.residency->lastNumbers();
        simulation.residency = std::make_unique<Residency>(7, last, "holder", simulation.now);
        for (int i = 0; i < 40; ++i) {
            simulation.setDemand({{waitingDemand(("m" + std::to_string(lease)).c_str(), 2, 2000), Millis(1000)}}, ++sequence);
            simulation.runRound([] { return 0; }, &fences);
            for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
                simulation.sendHeartbeat(it.second);
        }
    }
    BOOST_TEST(fences.size() >= 3u);
    BOOST_TEST(std::is_sorted(fences.begin(), fences.end(), std::less_equal<uint64_t>()));
}

// A leader is frozen for less than an election and regains its lease in the same term. Routers must learn what it loads
// afterwards: holdings that are numbered like earlier ones would be ignored as old.
BOOST_AUTO_TEST_CASE(holdingsAreAcceptedAfterALeaseIsRegained)
{
    Simulation simulation;
    for (std::pair<const std::string, FakeEngine> &it : simulation.engines) {
        for (int i = 0; i < 7; ++i)
            simulation.cachedModels.insert(it.first + "/m" + std::to_string(i));
        simulation.sendHeartbeat(it.second);
    }
    uint64_t sequence = 0;
    const auto loadedForRouters = [&](const std::string &model) {
        const std::map<std::string, LiveEndpoint> &endpoints = simulation.registry.endpoints();
        return std::any_of(endpoints.begin(), endpoints.end(), [&](const std::pair<const std::string, LiveEndpoint> &it) {
            const auto &models = it.second.models();
            return std::any_of(models.begin(), models.end(), [&](const pb::HeldModel &held) { return held.model() == model; });
        });
    };
    for (int lease = 0; lease < 3; ++lease) {
        const Residency::Numbers last = simulation.residency->lastNumbers();
        simulation.residency = std::make_unique<Residency>(7, last, "holder", simulation.now);
        // The first lease publishes many holdings, a later one few.
        for (int i = 0; i < (lease == 0 ? 120 : 40); ++i) {
            const std::string model = "m" + std::to_string(lease == 0 ? i / 20 : 5 + lease - 1);
            simulation.setDemand({{waitingDemand(model.c_str(), 2, 2000), Millis(1000)}}, ++sequence);
            simulation.runRound([] { return 0; });
            for (std::pair<const std::string, FakeEngine> &it : simulation.engines)
                simulation.sendHeartbeat(it.second);
        }
        for (const std::pair<const std::string, FakeEngine> &it : simulation.engines) {
            for (const std::pair<const std::string, std::set<std::string>> &held : it.second.held)
                BOOST_TEST(loadedForRouters(held.first), "lease " << lease << ", model " << held.first);
        }
    }
}
