// Unit tests of the choice among endpoints that are unevenly used: many routers with few requests each, and endpoints of different
// speeds that slow down for moments.
#define BOOST_TEST_MODULE unevenload
#include "coordination/balancer.h"
#include "livestate.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr uint64_t StartedAtMs = 10;
constexpr uint32_t Slots = 12; // of each endpoint

EndpointRequirements request(const std::string &model, uint64_t spread)
{
    EndpointRequirements it;
    it.service = ServiceId("s");
    it.model = model;
    it.spread = spread * 0x9e3779b97f4a7c15ull;
    return it;
}

// Returns `n` endpoints, and the routers "r0" and so on.
Registry endpoints(int n, const std::string &model, uint32_t slots = Slots, int routers = 0)
{
    Registry registry(ExpiryTimes, Now);
    for (int i = 0; i < routers; ++i) {
        pb::RouterState it;
        it.set_router("r" + std::to_string(i));
        it.set_incarnation(1);
        it.set_sequence(1);
        it.set_accepting(true);
        registry.merge(it, Now);
    }
    for (int i = 0; i < n; ++i) {
        pb::Announcement it = announcement("e" + std::to_string(i), StartedAtMs, 1, "10.0.0.1:" + std::to_string(100 + i));
        if (!model.empty())
            it.add_models()->set_model(model);
        it.set_zone("z");
        it.set_slots(slots);
        registry.merge(it, Now);
    }
    return registry;
}

// Routers that poll one of several control hosts every 250 ms, and engines that report how long work takes, which is twice as long on
// every third one.
struct System {
    struct Running {
        size_t router;
        EndpointRequirements request;
        EndpointChoice choice;
        Millis took;
    };
    std::deque<Balancer> routers;
    std::deque<SharedUse> hosts{3};
    std::multimap<Time, Running> running; // by the time at which each ends
    std::map<std::string, uint32_t> requests; // running on each engine
    uint32_t most = 0; // running on one engine at a time
    Millis took{0}; // in all
    Time now = Now;
    std::mt19937_64 random{20261206};

    System(int nRouters, int nEndpoints, const std::string &model = "m", uint32_t slots = Slots)
    {
        const Registry registry = endpoints(nEndpoints, model, slots, nRouters);
        for (int i = 0; i < nRouters; ++i) {
            routers.emplace_back("z", "r" + std::to_string(i));
            routers.back().update(registry);
        }
    }
    static bool slow(const std::string &engine)
    {
        return std::stoi(engine.substr(1)) % 3 == 0;
    }
    void poll(size_t router)
    {
        SharedUse &host = hosts[router % hosts.size()];
        pb::RouterState state;
        routers[router].addUse(state, now);
        if (!state.has_use())
            return;
        const std::string id = "r" + std::to_string(router);
        host.setRouter(id, state.use(), now);
        for (SharedUse &it : hosts) {
            if (const std::optional<pb::EndpointUse> use = host.ofRouters(now); use && &it != &host)
                it.setHost(std::to_string(router % hosts.size()), *use, now);
        }
        if (const std::optional<pb::EndpointUse> use = host.ofOthers(id, now))
            routers[router].applyUse(*use, now);
    }
    void send(size_t router, Millis usualTime)
    {
        const EndpointRequirements it = request("m", random());
        const EndpointChoice choice = *routers[router].choose(it, now);
        routers[router].attemptStarted(it, choice, now);
        const Millis time = slow(choice.endpoint) ? 2 * usualTime : usualTime;
        took += time;
        most = std::max(most, ++requests[choice.endpoint]);
        routers[router].observeLoad(choice.endpoint,
                                    EndpointLoad{requests[choice.endpoint], 0, std::nullopt, slow(choice.endpoint) ? 2.0 : 1.0}, now);
        running.emplace(now + time, Running{router, it, choice, time});
    }
    // One step of 10 ms.
    void step(double requestsPerSecond, Millis usualTime)
    {
        now += Millis(10);
        for (auto it = running.begin(); it != running.end() && it->first <= now; it = running.erase(it)) {
            routers[it->second.router].attemptEnded(it->second.request, it->second.choice, AttemptOutcome::Answered, now, it->second.took);
            --requests[it->second.choice.endpoint];
        }
        for (size_t n = 0; n < routers.size(); ++n) {
            if ((size_t(toMillis(now)) / 10 + n) % 25 == 0)
                poll(n);
        }
        for (double due = requestsPerSecond / 100; due > 0; due -= 1) {
            if (due >= 1 || double(random() % 1000) < due * 1000)
                send(random() % routers.size(), usualTime);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Spread)

struct SpreadRow {
    const char *model; // empty: a plain service
    int endpoints;
    int routers;
    int requests; // of each router, one after the other
};
std::ostream &operator<<(std::ostream &os, const SpreadRow &row)
{
    return os << "'" << row.model << "', " << row.endpoints << " endpoints, " << row.routers << " x " << row.requests;
}
const SpreadRow SpreadRows[] = {
    {"m", 20, 83, 6},
    {"m", 60, 300, 6},
    {"", 3, 83, 6},
};
// Load pattern: routers with a few requests a second each, which know nothing of each other's. No endpoint gets twice the mean.
BOOST_DATA_TEST_CASE(routersThatKnowNothingUseDifferentEndpoints, bdata::make(SpreadRows), row)
{
    std::map<std::string, int> sent;
    for (int router = 0; router < row.routers; ++router) {
        Balancer balancer("z", "r" + std::to_string(router));
        balancer.update(endpoints(row.endpoints, row.model));
        std::set<std::string> used;
        for (int i = 0; i < row.requests; ++i) {
            const std::string endpoint = balancer.choose(request(row.model, uint64_t(router * row.requests + i)), Now)->endpoint;
            used.insert(endpoint);
            ++sent[endpoint];
        }
        BOOST_TEST(used.size() <= PreferredEndpoints); // so that their connections are used again
    }
    BOOST_TEST(sent.size() == size_t(row.endpoints));
    const double mean = double(row.routers) * row.requests / row.endpoints;
    for (const std::pair<const std::string, int> &it : sent)
        BOOST_TEST(it.second < 2 * mean);
}

// Guards against a router that uses only one of two endpoints of equal cost.
BOOST_DATA_TEST_CASE(routerUsesEndpointsOfEqualCostInTurn, bdata::make({2, 3, 4}), count)
{
    for (int router = 0; router < 20; ++router) {
        Balancer balancer("z", "r" + std::to_string(router));
        balancer.update(endpoints(count, "m"));
        std::map<std::string, int> sent;
        EndpointRequirements next = request("m", 0);
        for (next.spread = 0; next.spread < 12; ++next.spread)
            ++sent[balancer.choose(next, Now)->endpoint];
        for (const std::pair<const std::string, int> &it : sent)
            BOOST_TEST(it.second == 12 / count);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FreeSlots)

BOOST_AUTO_TEST_CASE(freeSlotIsKnownUntilAllAreInUse)
{
    Balancer balancer("z", "r");
    balancer.update(endpoints(2, "m"));
    BOOST_TEST(!balancer.hasFreeSlot(request("other", 0), Now));
    for (uint32_t i = 0; i < 2 * Slots; ++i) {
        BOOST_TEST(balancer.hasFreeSlot(request("m", 0), Now));
        balancer.attemptStarted(request("m", 0), *balancer.choose(request("m", i), Now), Now);
    }
    BOOST_TEST(!balancer.hasFreeSlot(request("m", 0), Now));
    // An endpoint names the slots that it really has, and the requests of other routers.
    balancer.observeLoad("e0", EndpointLoad{Slots, 0, 2 * Slots, std::nullopt}, Now);
    BOOST_TEST(balancer.hasFreeSlot(request("m", 0), Now));
    balancer.observeLoad("e0", EndpointLoad{2 * Slots, 3, 2 * Slots, std::nullopt}, Now);
    BOOST_TEST(!balancer.hasFreeSlot(request("m", 0), Now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SharedLoad)

// Returns the most requests on one engine at a time, in ten seconds at 83 routers and 64 engines. Requests take .8 s on average.
uint32_t mostRequests(double requestsPerSecond)
{
    constexpr Millis usualTime{600};
    System system(83, 64);
    for (int i = 0; i < 1000; ++i)
        system.step(requestsPerSecond, usualTime);
    return system.most;
}

// Load pattern: many routers with a few requests a second each, whose engines have a quarter of their slots in use. No engine gets more
// requests than it has slots, since each router knows of the others'.
BOOST_AUTO_TEST_CASE(noEngineIsFullWhileOthersHaveFreeSlots)
{
    BOOST_TEST(mostRequests(240) <= Slots);
}

// The same with half of the slots in use.
BOOST_AUTO_TEST_CASE(noEngineIsFullAtHalfLoad)
{
    BOOST_TEST(mostRequests(480) <= Slots);
}

// Three servers of a plain service that refuse what they have no slot for. One at a time is slower for 200 ms.
struct PlainServers {
    struct Running {
        size_t router;
        EndpointRequirements request;
        EndpointChoice choice;
        Time sentAt;
    };
    static constexpr uint32_t slots = 6;
    static constexpr Millis usualTime{30};
    System routers{88, 3, "", slots};
    std::map<std::string, uint32_t> running;
    std::multimap<Time, Running> requests; // by the time at which each ends
    int arrivals = 0; // each of them at a server
    int rejections = 0;

    double slowdown(const std::string &server) const
    {
        const int64_t ms = toMillis(routers.now) - toMillis(Now);
        const bool slow = ms % 600 < 200 && "e" + std::to_string(ms / 600 % 3) == server;
        return slow ? 2.5 : 1;
    }
    void observe(size_t router, const std::string &server)
    {
        routers.routers[router].observeLoad(server, EndpointLoad{running[server], 0, slots, slowdown(server)}, routers.now);
    }
    void send(size_t router)
    {
        EndpointRequirements it = request("", routers.random());
        while (it.avoid.size() < 3) {
            Balancer &balancer = routers.routers[router];
            const EndpointChoice choice = *balancer.choose(it, routers.now);
            const Time now = routers.now;
            ++arrivals;
            balancer.attemptStarted(it, choice, now);
            if (running[choice.endpoint] < slots) {
                ++running[choice.endpoint];
                const Millis took(int64_t(double(usualTime.count()) * slowdown(choice.endpoint)));
                requests.emplace(now + took, Running{router, it, choice, now});
                return;
            }
            ++rejections;
            observe(router, choice.endpoint);
            balancer.attemptEnded(it, choice, AttemptOutcome::Full, now, Millis(0));
            it.avoid.insert(choice.endpoint);
        }
    }
    // One step of a millisecond.
    void step(double requestsPerSecond)
    {
        const Time now = routers.now += Millis(1);
        for (auto it = requests.begin(); it != requests.end() && it->first <= now; it = requests.erase(it)) {
            const Running &request = it->second;
            --running[request.choice.endpoint];
            observe(request.router, request.choice.endpoint);
            routers.routers[request.router].attemptEnded(request.request, request.choice, AttemptOutcome::Answered, now,
                                                         now - request.sentAt);
        }
        for (size_t n = 0; n < routers.routers.size(); ++n) {
            if ((size_t(toMillis(now)) + 3 * n) % 250 == 0)
                routers.poll(n);
        }
        if (double(routers.random() % 1000000) < requestsPerSecond * 1000)
            send(routers.random() % routers.routers.size());
    }
};

// Load pattern: a plain service of three servers, whose requests end long before routers learn of each other's. While half of the slots
// are free, less than one arrival in a hundred is refused.
BOOST_DATA_TEST_CASE(plainServersWithFreeSlotsRefuseLittle, bdata::make({80, 100, 120}), requestsPerSecond)
{
    PlainServers servers;
    for (int i = 0; i < 60000; ++i)
        servers.step(requestsPerSecond);
    BOOST_TEST_MESSAGE(servers.rejections << " of " << servers.arrivals << " arrivals refused");
    BOOST_TEST(100 * servers.rejections < servers.arrivals);
}

struct ShareRow {
    size_t routers;
    uint32_t slots;
};
std::ostream &operator<<(std::ostream &os, const ShareRow &row)
{
    return os << row.slots << " slots, " << row.routers << " routers";
}
const ShareRow ShareRows[] = {{1, 12}, {5, 12}, {12, 12}, {88, 6}, {300, 12}};
BOOST_DATA_TEST_CASE(sharesOfAnEndpointsSlotsAddUp, bdata::make(ShareRows), row)
{
    std::vector<std::string> ids;
    for (size_t i = 0; i < row.routers; ++i)
        ids.push_back("r" + std::to_string(i));
    for (const uint32_t key : {0u, 17u, 4294967295u}) {
        uint32_t sum = 0;
        for (const std::string &id : ids) {
            LimitShare share(id);
            share.setRouters(ids);
            const uint32_t own = share.ownSlots(key, row.slots);
            BOOST_TEST((own == row.slots / row.routers || own == row.slots / row.routers + 1));
            sum += own;
        }
        BOOST_TEST(sum == row.slots);
    }
}

struct SelectionRow {
    const char *name;
    std::vector<EndpointCandidate> candidates; // cost, rank, free slots, own slot, cached tokens
    size_t expected;
};
std::ostream &operator<<(std::ostream &os, const SelectionRow &row)
{
    return os << row.name;
}
const SelectionRow SelectionRows[] = {
    {"the only one", {{900, 7, -3, false, 0}}, 0},
    {"the one with room", {{80, 1, 0, false, 0}, {60, 2, 4, false, 0}, {80, 3, -1, false, 0}, {80, 4, 0, false, 0}}, 1},
    {"the one that did not fail", {{FailedEndpointCostMs + 1, 1, 12, true, 0}, {300, 2, 0, false, 0}}, 1},
    {"an own slot, though others have more room", {{40, 1, 3, true, 0}, {20, 2, 12, false, 0}, {20, 3, 12, false, 0}}, 0},
    {"no own slot of a full one", {{40, 1, 0, true, 0}, {20, 2, 12, false, 0}, {20, 3, 12, false, 0}, {90, 4, -1, true, 0}}, 1},
    {"the cached prompt, if it is read sooner", {{40, 1, 3, true, 0}, {20, 2, 12, false, 0}, {19, 3, 1, false, 198}}, 2},
};
BOOST_DATA_TEST_CASE(unevenEndpointIsSelected, bdata::make(SelectionRows) * bdata::make({0, 1, 2, 3}), row, spread)
{
    std::vector<EndpointCandidate> candidates = row.candidates;
    for (EndpointCandidate &it : candidates)
        it.rank *= 0x9e3779b97f4a7c15ull;
    const size_t selected = selectUneven(candidates, uint64_t(spread));
    // Of equal ones any is selected.
    BOOST_TEST(candidates[selected].costMs == candidates[row.expected].costMs);
}

BOOST_AUTO_TEST_CASE(controlHostSumsRequestsOfOthers)
{
    SharedUse host;
    pb::EndpointUse use;
    addUse(use, endpointKey("e", 1), 3);
    BOOST_TEST(!host.ofOthers("a", Now).has_value());
    host.setRouter("a", use, Now);
    BOOST_TEST(!host.ofOthers("a", Now).has_value()); // none but its own
    host.setRouter("b", use, Now);
    host.setHost("h", use, Now);
    BOOST_TEST(host.ofOthers("a", Now)->requests(0) == 6);
    BOOST_TEST(host.ofRouters(Now)->requests(0) == 6); // without those that other hosts told it
    host.setRouter("b", {}, Now + Millis(500));
    BOOST_TEST(host.ofOthers("a", Now + Millis(500))->requests(0) == 3);
    // A router or host that is silent, for example frozen, no longer counts.
    BOOST_TEST(host.ofOthers("a", Now + EndpointUseTtl)->requests_size() == 0);
    BOOST_TEST(!host.ofOthers("a", Now + Millis(500) + EndpointUseTtl).has_value());
    // An endpoint that has started again is another one.
    BOOST_TEST((endpointKey("e", 1) != endpointKey("e", 2)));
}

// A router whose endpoints say nothing about the time that work takes neither tells nor uses what others have in progress.
BOOST_AUTO_TEST_CASE(evenEndpointsAreNotShared)
{
    Balancer balancer("z", "r");
    balancer.update(endpoints(2, "m"));
    const EndpointChoice choice = *balancer.choose(request("m", 0), Now);
    balancer.attemptStarted(request("m", 0), choice, Now);
    balancer.observeLoad(choice.endpoint, EndpointLoad{1, 0, Slots, std::nullopt}, Now);
    pb::RouterState state;
    balancer.addUse(state, Now);
    BOOST_TEST(!state.has_use());
    balancer.observeLoad(choice.endpoint, EndpointLoad{1, 0, Slots, 1.0}, Now);
    balancer.addUse(state, Now);
    BOOST_TEST(state.use().requests_size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Speed)

struct SlowdownRow {
    std::vector<double> factors; // that the endpoint said, 100 ms apart
    Millis age; // of the last
    std::optional<double> expected;
};
std::ostream &operator<<(std::ostream &os, const SlowdownRow &row)
{
    return os << row.factors.size() << " figures, the last " << row.age.count() << " ms old";
}
const SlowdownRow SlowdownRows[] = {
    {{}, Millis(0), std::nullopt},     {{1.7}, Millis(0), 1.7},
    {{0.7, 1.75}, Millis(100), 1.75},  {{0.7, 0.7, 0.7}, Millis(60000), 0.7}, // how fast the endpoint is does not change
    {{1.75, 0.7}, Millis(60000), 0.7}, // the first one was said while its machine had other work
};
BOOST_DATA_TEST_CASE(momentOfSlownessPasses, bdata::make(SlowdownRows), row)
{
    Slowdown slowdown;
    Time at = Now;
    for (const double it : row.factors)
        slowdown.record(it, at += Millis(100));
    BOOST_TEST((slowdown.expected(at + row.age) == row.expected));
}

// Load pattern: one of three plain servers slows down for a moment. It gets nothing while the others have free slots, and its share again
// once its figure is too old.
BOOST_AUTO_TEST_CASE(slowServerIsAvoidedForAMoment)
{
    Balancer balancer("z", "r");
    balancer.update(endpoints(3, ""));
    const auto sentToFirst = [&](Time now) {
        int n = 0;
        for (uint64_t i = 0; i < 100; ++i)
            n += balancer.choose(request("", i), now)->endpoint == "e0" ? 1 : 0;
        return n;
    };
    for (int i = 0; i < 10; ++i) {
        for (const char *it : {"e0", "e1", "e2"})
            balancer.observeLoad(it, EndpointLoad{0, 0, Slots, 1.0}, Now);
    }
    const EndpointChoice choice = *balancer.choose(request("", 0), Now);
    balancer.attemptStarted(request("", 0), choice, Now);
    balancer.attemptEnded(request("", 0), choice, AttemptOutcome::Answered, Now + Millis(30), Millis(30));
    balancer.observeLoad("e0", EndpointLoad{0, 0, Slots, 2.5}, Now + Millis(50));
    BOOST_TEST(sentToFirst(Now + Millis(60)) == 0);
    // Its usual speed counts again, which a single figure hardly changes.
    for (const char *it : {"e0", "e1", "e2"})
        balancer.observeLoad(it, EndpointLoad{0, 0, Slots, 1.0}, Now + Millis(700));
    BOOST_TEST(balancer.choose(request("", 0), Now + Millis(1200)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
