// Unit tests of what a router knows about the endpoints that it can't connect to.
#define BOOST_TEST_MODULE reachability
#include "coordination/balancer.h"
#include "coordination/peerrouters.h"
#include "livestate.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

std::vector<std::string> endpoints(int n)
{
    std::vector<std::string> result;
    for (int i = 0; i < n; ++i)
        result.push_back("e" + std::to_string(i));
    return result;
}

// A router and its endpoints, some of which it is cut from.
struct Router {
    EndpointReachability reachability;
    std::vector<std::string> all;
    std::set<std::string> cut;
    Time now = Now;
    size_t probes = 0;

    explicit Router(int n)
        : all(endpoints(n))
    {
    }
    void connect(const std::string &endpoint)
    {
        if (cut.count(endpoint) != 0)
            reachability.recordFailed(endpoint, now);
        else
            reachability.recordConnected(endpoint, now);
    }
    void run(Millis time)
    {
        const Time end = now + time;
        for (; now < end; now += ReachabilityCheckInterval) {
            for (const std::string &it : reachability.dueProbes(all, now)) {
                ++probes;
                connect(it);
            }
        }
    }
    size_t unreachable() const
    {
        return size_t(std::count_if(all.begin(), all.end(), [this](const std::string &it) { return reachability.unreachable(it); }));
    }
};

struct CutRow {
    int endpoints;
    int cut;
    bool isolated;
};
std::ostream &operator<<(std::ostream &os, const CutRow &row)
{
    return os << row.cut << " of " << row.endpoints;
}
const CutRow CutRows[] = {
    {15, 15, true}, {15, 13, true}, {15, 2, false}, {3, 2, true}, {1, 1, false}, {245, 245, true}, {245, 3, false},
};

} // namespace

// Pattern: a router is cut from many endpoints at once. Two requests find out; those that follow need not.
BOOST_DATA_TEST_CASE(routerLearnsOfACutFromItsFirstFailures, bdata::make(CutRows), row)
{
    Router router(row.endpoints);
    const std::set<std::string> cut(router.all.begin(), router.all.begin() + row.cut);
    for (const std::string &it : router.all)
        router.connect(it);
    router.now += Millis(60000);
    router.cut = cut;
    for (int n = 0; n < std::min(2, row.cut); ++n)
        router.connect(router.all[size_t(n)]);
    router.run(Millis(2000));
    BOOST_TEST(router.unreachable() == size_t(row.cut));
    BOOST_TEST(router.reachability.isolated(router.all) == row.isolated);
    // The cut ends.
    router.cut.clear();
    router.run(Millis(2500));
    BOOST_TEST(router.unreachable() == 0u);
    const size_t before = router.probes;
    router.run(Millis(10000));
    BOOST_TEST(router.probes == before);
}

// Load pattern: endpoints leave one after the other, and stay listed for some seconds. Each router probes the others once at most.
BOOST_AUTO_TEST_CASE(endpointsThatLeaveCauseFewProbes)
{
    Router router(143);
    for (const std::string &it : router.all)
        router.connect(it);
    router.now += Millis(60000);
    std::vector<std::string> left;
    for (int second = 0; second < 18; ++second) {
        for (int n = 0; n < 2; ++n) {
            left.push_back("e" + std::to_string(2 * second + n));
            router.cut.insert(left.back());
            router.connect(left.back());
        }
        router.run(Millis(1000));
        if (left.size() > 8) {
            for (int n = 0; n < 2; ++n, left.erase(left.begin())) {
                router.reachability.forget(left.front());
                std::erase(router.all, left.front());
            }
        }
    }
    BOOST_TEST(router.probes < 2 * 143u);
}

// A cut that comes soon after all endpoints were probed is found out as well.
BOOST_AUTO_TEST_CASE(cutIsFoundSoonAfterEndpointsHaveLeft)
{
    Router router(143);
    router.cut = {"e0", "e1"};
    for (const std::string &it : router.all)
        router.connect(it);
    router.run(Millis(5000));
    router.cut.insert(router.all.begin(), router.all.end());
    router.connect("e2");
    router.run(Millis(2500));
    BOOST_TEST(router.unreachable() == 143u);
    // The cut ends after a while.
    router.run(Millis(30000));
    router.cut.clear();
    router.run(Millis(2500));
    BOOST_TEST(router.unreachable() == 0u);
}

// An endpoint that has ended is no reason to probe all others.
BOOST_AUTO_TEST_CASE(singleFailureProbesOnlyItsEndpoint)
{
    Router router(15);
    router.cut = {"e3"};
    router.connect("e3");
    router.run(Millis(5000));
    BOOST_TEST(router.probes <= 5u);
    BOOST_TEST(!router.reachability.isolated(router.all));
}

BOOST_AUTO_TEST_CASE(unreachableEndpointIsALastResort)
{
    Registry registry{ExpiryTimes, Now};
    registry.merge(announcement("e0", 10, 1, "10.0.0.1:0"), Now);
    registry.merge(announcement("e1", 10, 1, "10.0.0.1:1"), Now);
    Balancer balancer{"z"};
    balancer.update(registry);
    EndpointRequirements request;
    request.service = ServiceId("s");
    balancer.recordConnectFailed("e0", Now);
    BOOST_TEST(balancer.choose(request, Now)->endpoint == "e1");
    balancer.recordConnectFailed("e1", Now);
    BOOST_TEST(!balancer.choose(request, Now, false).has_value());
    BOOST_TEST(balancer.choose(request, Now).has_value());
    BOOST_TEST(balancer.isolated());
    // A new incarnation may be reachable.
    registry.merge(announcement("e0", 20, 1, "10.0.0.1:0"), Now);
    balancer.update(registry);
    BOOST_TEST(balancer.choose(request, Now, false)->endpoint == "e0");
}

namespace
{

pb::RouterState routerState(const std::string &id, const std::string &zone)
{
    pb::RouterState state;
    state.set_router(id);
    state.set_incarnation(1);
    state.set_sequence(1);
    state.set_zone(zone);
    state.set_accepting(true);
    state.set_relay_address(id + ":1");
    return state;
}

} // namespace

// Pattern: most routers are cut, and all of their requests go to the few others.
BOOST_AUTO_TEST_CASE(requestsAreSpreadOverTheRoutersThatReachEndpoints)
{
    Registry registry{ExpiryTimes, Now};
    for (const char *it : {"self", "near1", "near2"})
        registry.merge(routerState(it, "z"), Now);
    registry.merge(routerState("far", "y"), Now);
    pb::RouterState isolated = routerState("isolated", "z");
    isolated.set_isolated(true);
    registry.merge(isolated, Now);
    pb::RouterState leaving = routerState("leaving", "z");
    leaving.set_accepting(false);
    registry.merge(leaving, Now);
    PeerRouters peers("self", "z");
    peers.update(registry);
    std::map<std::string, int> chosen;
    for (int n = 0; n < 30; ++n) {
        const std::optional<PeerChoice> peer = peers.choose({}, Now);
        BOOST_REQUIRE(peer.has_value());
        ++chosen[peer->router];
        peers.started(peer->router);
    }
    BOOST_TEST(chosen.size() == 3u);
    for (const std::pair<const std::string, int> &it : chosen)
        BOOST_TEST((it.second >= 8 && it.second <= 12));
    // One of them can't be connected to; another was tried.
    peers.failed("near1", Now);
    BOOST_TEST(peers.choose({"near2"}, Now)->router == "far");
    BOOST_TEST(!peers.choose({"near2", "far"}, Now).has_value());
    BOOST_TEST(peers.choose({"near2", "far"}, Now + EndpointFailureCooldown)->router == "near1");
}
