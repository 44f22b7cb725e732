// Unit tests of endpoints that state how many requests they take from all routers together: what the routers send in sum,
// and how they learn of it.
#define BOOST_TEST_MODULE capacity
#include "coordination/balancer.h"
#include "livestate.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr uint64_t StartedAtMs = 10;
constexpr Millis LimitWindow{4000};
constexpr double ToleratedRatio = 1.5; // of what the limit allows in a window, by the platform's rules
constexpr double ToleratedExcess = 5; // requests beyond that
constexpr Millis ToldTime{500}; // from which on the requests of a router that has passed the limit on count

EndpointRequirements plainRequest()
{
    EndpointRequirements it;
    it.service = ServiceId("s");
    return it;
}

pb::RouterState routerState(const std::string &id, uint64_t incarnation, uint64_t sequence)
{
    pb::RouterState state;
    state.set_router(id);
    state.set_incarnation(incarnation);
    state.set_sequence(sequence);
    state.set_accepting(true);
    return state;
}

// A router, with what it has received from the control host.
struct Router {
    std::string id;
    uint64_t incarnation = 1;
    uint64_t sequence = 0;
    uint64_t version = 0; // of the control host's registry, at the last poll
    Time toldAt = Time::max();
    Registry registry{ExpiryTimes, Now};
    std::unique_ptr<Balancer> balancer;

    explicit Router(int n)
        : id("r" + std::to_string(n))
        , balancer(std::make_unique<Balancer>("z", id))
    {
    }
    void restart()
    {
        ++incarnation;
        sequence = 0;
        version = 0;
        toldAt = Time::max();
        registry = Registry(ExpiryTimes, Now);
        balancer = std::make_unique<Balancer>("z", id);
    }
    void poll(Registry &control, Time now)
    {
        pb::RouterState state = routerState(id, incarnation, ++sequence);
        balancer->advice().addReports(state, now);
        control.merge(state, now);
        pb::SyncReply reply;
        control.routerChangesSince(version, now, reply);
        version = reply.version();
        for (const pb::Announcement &it : reply.endpoints())
            registry.merge(it, now - Millis(it.age_ms()));
        for (const pb::RouterState &it : reply.routers())
            registry.merge(it, now - Millis(it.age_ms()));
        balancer->update(registry);
    }
};

// Starts routers that know of each other and of all endpoints.
std::deque<Router> startRouters(int n, Registry &control, Time now)
{
    std::deque<Router> routers;
    for (int i = 0; i < n; ++i)
        routers.emplace_back(i);
    for (int round = 0; round < 2; ++round) {
        for (Router &it : routers)
            it.poll(control, now);
    }
    return routers;
}

// One step of 10 ms: each router polls every 250 ms, at a phase of its own, and requests arrive at random routers, `perSecond`
// in all.
template <typename Request>
void step(std::deque<Router> &routers, Registry &control, Time now, double perSecond, std::mt19937_64 &random, Request request)
{
    for (size_t n = 0; n < routers.size(); ++n) {
        if ((size_t(toMillis(now)) / 10 + n) % 25 == 0)
            routers[n].poll(control, now);
    }
    for (double due = perSecond / 100; due > 0; due -= 1) {
        if (due >= 1 || double(random() % 1000) < due * 1000)
            request(random() % routers.size());
    }
}

// Routers that poll one control host every 250 ms, and one endpoint, whose only service is requested all the time.
struct System {
    Registry control{ExpiryTimes, Now};
    std::deque<Router> routers;
    Time now = Now;
    std::optional<double> limit; // that the endpoint names
    std::deque<Time> counted; // requests that count for the limit
    size_t mostInWindow = 0;
    size_t sent = 0;

    explicit System(int n)
    {
        control.merge(announcement("e", StartedAtMs, 1), now);
        routers = startRouters(n, control, now);
    }
    // One request at a router, which the endpoint answers at once.
    void request(Router &router)
    {
        const std::optional<EndpointChoice> choice = router.balancer->choose(plainRequest(), now);
        if (!choice)
            return;
        RC_ASSERT(router.balancer->accepts(*choice, now));
        router.balancer->recordSend(*choice, now);
        ++sent;
        if (now >= router.toldAt && now - router.toldAt >= ToldTime)
            counted.push_back(now);
        while (!counted.empty() && counted.front() + LimitWindow <= now)
            counted.pop_front();
        mostInWindow = std::max(mostInWindow, counted.size());
        router.balancer->recordCapacity(*choice, EndpointCapacity{limit}, now, now);
        if (limit && router.toldAt == Time::max())
            router.toldAt = now;
    }
    void run(Millis time, double perSecond, std::mt19937_64 &random)
    {
        const Time end = now + time;
        for (; now < end; now += Millis(10))
            step(routers, control, now, perSecond, random, [this](size_t n) { request(routers[n]); });
    }
};

double tolerated(double limit)
{
    return ToleratedRatio * limit * double(LimitWindow.count()) / 1000 + ToleratedExcess;
}

struct LoadRow {
    int routers;
    double limit;
    double perSecond;
};
std::ostream &operator<<(std::ostream &os, const LoadRow &row)
{
    return os << row.routers << " routers, limit " << row.limit << ", " << row.perSecond << " requests/s";
}
const LoadRow LoadRows[] = {
    {3, 1.8, 40}, {10, 1.3, 8}, {10, 2, 100}, {11, 0.2, 100}, {71, 1.8, 300}, {94, 12, 300}, {300, 1.5, 1000},
};

} // namespace

// Guards against the incident LIMIT. Pattern: each router sends an endpoint in need a few requests, and their sum exceeds its
// limit.
BOOST_DATA_TEST_CASE(sumOfAllRoutersStaysWithinTheLimitOfAnEndpoint, bdata::make(LoadRows), row)
{
    System system(row.routers);
    std::mt19937_64 random(1);
    system.run(Millis(2000), row.perSecond, random);
    system.limit = row.limit;
    system.run(Millis(20000), row.perSecond, random);
    BOOST_TEST(system.mostInWindow <= size_t(tolerated(row.limit)));
    // The endpoint is used as far as its limit allows, if routers have enough requests for it.
    const size_t before = system.sent;
    system.run(Millis(20000), row.perSecond, random);
    BOOST_TEST(double(system.sent - before) >= row.limit * 20 * 0.4 - 1);
    // Its next answer without a limit ends it at all routers.
    system.limit.reset();
    system.run(Millis(30000), row.perSecond, random);
    const size_t unlimited = system.sent;
    system.run(Millis(10000), row.perSecond, random);
    BOOST_TEST(double(system.sent - unlimited) >= row.perSecond * 10 * 0.9);
}

// Routers end, start again and are seen late, at any time.
BOOST_AUTO_TEST_CASE(sumStaysWithinTheLimitWhileRoutersRestartInTurn)
{
    BOOST_TEST(rc::check([](uint64_t seed) {
        std::mt19937_64 random(seed);
        const int routers = 3 + int(random() % 12);
        const double limit = 0.5 + double(random() % 30) / 10;
        System system(routers);
        system.limit = limit;
        for (int round = 0; round < 8; ++round) {
            system.run(Millis(1500 + int64_t(random() % 1500)), 20 + double(random() % 60), random);
            system.routers[random() % size_t(routers)].restart();
        }
        RC_ASSERT(double(system.mostInWindow) <= tolerated(limit));
    }));
}

namespace
{

// Routers that poll one control host every 250 ms, and brittle endpoints that run `slots` requests at a time, each for
// RunTime, and refuse others.
struct BrittleSystem {
    struct Run {
        size_t router;
        EndpointChoice choice;
        Time endsAt;
    };
    static constexpr Millis RunTime{60};
    Registry control{ExpiryTimes, Now};
    std::deque<Router> routers;
    Time now = Now;
    uint32_t slots;
    std::vector<Run> runs;
    std::map<std::string, std::deque<Time>> refusals; // within the last second
    std::map<std::string, uint64_t> startedAtMs;
    uint32_t maxRefusals;
    int falls = 0;

    BrittleSystem(int routerCount, int endpoints, uint32_t slotsOfEach, uint32_t refusalsInASecond)
        : slots(slotsOfEach)
        , maxRefusals(refusalsInASecond)
    {
        for (int i = 0; i < endpoints; ++i) {
            startedAtMs["e" + std::to_string(i)] = StartedAtMs;
            announce("e" + std::to_string(i));
        }
        routers = startRouters(routerCount, control, now);
    }
    void announce(const std::string &id)
    {
        pb::Announcement it = announcement(id, startedAtMs[id], 1, "10.0.0.1:" + id.substr(1));
        it.set_slots(slots);
        control.merge(it, now);
    }
    void refuse(const std::string &endpoint)
    {
        std::deque<Time> &times = refusals[endpoint];
        times.push_back(now);
        while (times.front() + Millis(1000) <= now)
            times.pop_front();
        if (times.size() <= maxRefusals)
            return;
        ++falls;
        times.clear();
        startedAtMs[endpoint] += 1000;
        announce(endpoint);
    }
    void request(size_t n)
    {
        Balancer &balancer = *routers[n].balancer;
        const std::optional<EndpointChoice> choice = balancer.choose(plainRequest(), now);
        if (!choice || !balancer.accepts(*choice, now))
            return;
        balancer.attemptStarted(plainRequest(), *choice, now);
        const auto running = std::count_if(runs.begin(), runs.end(), [&](const Run &it) { return it.choice.endpoint == choice->endpoint; });
        balancer.recordCapacity(*choice, EndpointCapacity{std::nullopt, maxRefusals}, now, now);
        if (uint32_t(running) < slots) {
            runs.push_back(Run{n, *choice, now + RunTime});
            return;
        }
        balancer.attemptEnded(plainRequest(), *choice, AttemptOutcome::Full, now);
        balancer.recordRefusal(*choice, now);
        refuse(choice->endpoint);
    }
    void endRuns()
    {
        std::erase_if(runs, [&](const Run &it) {
            if (now < it.endsAt)
                return false;
            routers[it.router].balancer->attemptEnded(plainRequest(), it.choice, AttemptOutcome::Answered, now);
            return true;
        });
    }
    void run(Millis time, double perSecond, std::mt19937_64 &random)
    {
        const Time end = now + time;
        for (; now < end; now += Millis(10)) {
            endRuns();
            step(routers, control, now, perSecond, random, [this](size_t n) { request(n); });
        }
    }
};

struct BrittleRow {
    int routers;
    int endpoints;
    uint32_t slots;
    uint32_t maxRefusals;
    double overload; // requests, as a multiple of what the endpoints can run
};
std::ostream &operator<<(std::ostream &os, const BrittleRow &row)
{
    return os << row.routers << " routers, " << row.endpoints << " endpoints of " << row.slots << " slots, " << row.maxRefusals
              << " refusals, load " << row.overload;
}
const BrittleRow BrittleRows[] = {
    {4, 3, 8, 0, 5}, {10, 12, 64, 0, 3}, {10, 3, 6, 4, 0.5}, {10, 3, 6, 4, 5}, {11, 3, 6, 5, 10},
};

} // namespace

// Pattern: more requests than brittle endpoints have room for arrive at all routers, none of which sees what the others send.
BOOST_DATA_TEST_CASE(brittleEndpointsAreNotMadeToRefuse, bdata::make(BrittleRows), row)
{
    BrittleSystem system(row.routers, row.endpoints, row.slots, row.maxRefusals);
    std::mt19937_64 random(1);
    const double capacity = double(row.endpoints) * row.slots * 1000 / double(BrittleSystem::RunTime.count());
    // The routers are told before the load comes.
    system.run(Millis(3000), capacity / 20, random);
    system.run(Millis(20000), capacity * row.overload, random);
    BOOST_TEST(system.falls <= 2 + row.endpoints / 10);
}

// An endpoint that has fallen, and has not answered since, is as brittle as the others of its service.
BOOST_AUTO_TEST_CASE(restartedEndpointOfABrittleServiceCountsAsBrittle)
{
    BrittleSystem system(1, 2, 2, 0);
    std::mt19937_64 random(1);
    system.run(Millis(500), 20, random);
    system.startedAtMs["e0"] += 1000;
    system.announce("e0");
    system.run(Millis(500), 0, random);
    Balancer &balancer = *system.routers[0].balancer;
    for (int n = 0; n < 4; ++n) {
        const std::optional<EndpointChoice> choice = balancer.choose(plainRequest(), system.now);
        BOOST_REQUIRE(choice.has_value());
        balancer.attemptStarted(plainRequest(), *choice, system.now);
    }
    BOOST_TEST(!balancer.choose(plainRequest(), system.now).has_value());
    BOOST_TEST(balancer.restriction(plainRequest(), 0, system.now)->byLimit);
    // Nothing says that the service is brittle any longer.
    BOOST_TEST(balancer.choose(plainRequest(), system.now + CapacityConfirmTime).has_value());
}

namespace
{

// A router with an endpoint that has named a limit of one request a second, all of which is this router's.
struct LimitedEndpoint {
    Router router{0};
    Registry control{ExpiryTimes, Now};
    EndpointChoice choice;

    LimitedEndpoint()
    {
        control.merge(announcement("e", StartedAtMs, 1), Now);
        router.poll(control, Now);
        choice = *router.balancer->choose(plainRequest(), Now);
        router.balancer->recordCapacity(choice, EndpointCapacity{1.0}, Now, Now);
    }
    bool chosen(Time now) const
    {
        return router.balancer->choose(plainRequest(), now).has_value();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(callersLearnWhenTheLimitAllowsTheNextRequest)
{
    LimitedEndpoint it;
    BOOST_TEST(!it.chosen(Now + Millis(500)));
    BOOST_TEST(!it.router.balancer->accepts(it.choice, Now + Millis(500)));
    const std::optional<Restriction> next = it.router.balancer->restriction(plainRequest(), 0, Now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->byLimit);
    BOOST_TEST((next->until > Now + Millis(900) && next->until < Now + Millis(1100)));
    BOOST_TEST(it.chosen(next->until));
    // Another request waits for that one already.
    BOOST_TEST((it.router.balancer->restriction(plainRequest(), 1, Now)->until == Time::max()));
}

// Guards against limits outside the range of the types that are computed with.
BOOST_DATA_TEST_CASE(anyLimitIsComputedWith, bdata::make({0.0, 1e-300, 1e300}), limit)
{
    Router router(0);
    Registry control{ExpiryTimes, Now};
    control.merge(announcement("e", StartedAtMs, 1), Now);
    router.poll(control, Now);
    const EndpointChoice choice = *router.balancer->choose(plainRequest(), Now);
    router.balancer->recordCapacity(choice, EndpointCapacity{limit}, Now, Now);
    BOOST_TEST(router.balancer->choose(plainRequest(), Now + Millis(1000)).has_value() == (limit > 1));
}

// An answer to a request that was sent before the limit was named, and overtaken by the one that named it, does not end it.
BOOST_AUTO_TEST_CASE(overtakenAnswerDoesNotEndALimit)
{
    LimitedEndpoint it;
    BOOST_TEST(!it.router.balancer->recordCapacity(it.choice, EndpointCapacity{}, Now - Millis(5), Now + Millis(1)));
    BOOST_TEST(!it.chosen(Now + Millis(500)));
    BOOST_TEST(it.router.balancer->recordCapacity(it.choice, EndpointCapacity{}, Now + Millis(1), Now + Millis(3)));
    BOOST_TEST(it.chosen(Now + Millis(500)));
}

// A heartbeat does not end a limit, a restart of the endpoint does.
BOOST_AUTO_TEST_CASE(limitEndsWithTheIncarnation)
{
    LimitedEndpoint it;
    it.router.poll(it.control, Now);
    it.control.merge(announcement("e", StartedAtMs, 2), Now + Millis(100));
    Router other(1);
    other.poll(it.control, Now + Millis(100));
    BOOST_TEST(!other.balancer->choose(plainRequest(), Now + Millis(500)).has_value());
    it.control.merge(announcement("e", StartedAtMs + 1, 1), Now + Millis(200));
    other.poll(it.control, Now + Millis(200));
    BOOST_TEST(other.balancer->choose(plainRequest(), Now + Millis(500)).has_value());
}
