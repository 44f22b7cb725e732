// Unit tests of what endpoints say about themselves in answers: that they are leaving, or want a pause.
#define BOOST_TEST_MODULE advice
#include "coordination/balancer.h"
#include "livestate.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

EndpointRequirements plainRequest()
{
    EndpointRequirements it;
    it.service = ServiceId("s");
    return it;
}

// A router with two endpoints of one service.
struct Router {
    Registry registry{ExpiryTimes, Now};
    Balancer balancer{"z"};

    Router()
    {
        announce("e0", 10, 1);
        announce("e1", 10, 1);
    }
    void announce(const std::string &id, uint64_t startedAtMs, uint64_t sequence)
    {
        registry.merge(announcement(id, startedAtMs, sequence, "10.0.0.1:" + id.substr(1)), Now);
        balancer.update(registry);
    }
    std::string chosen(Time now)
    {
        const std::optional<EndpointChoice> choice = balancer.choose(plainRequest(), now);
        return choice ? choice->endpoint : "";
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(leavingEndpointReceivesNothingNew)
{
    Router router;
    const EndpointChoice choice = *router.balancer.choose(plainRequest(), Now);
    BOOST_TEST(router.balancer.accepts(choice, Now));
    BOOST_TEST(router.balancer.advice().recordLeaving(choice.endpoint, choice.startedAtMs, Now));
    BOOST_TEST(!router.balancer.advice().recordLeaving(choice.endpoint, choice.startedAtMs, Now));
    // A request for which the endpoint was chosen before, and which still waits for its connection.
    BOOST_TEST(!router.balancer.accepts(choice, Now));
    BOOST_TEST(router.chosen(Now) != choice.endpoint);
    // Heartbeats that were sent before still list it as ready.
    for (uint64_t sequence = 2; sequence < 5; ++sequence)
        router.announce(choice.endpoint, choice.startedAtMs, sequence);
    BOOST_TEST(router.chosen(Now + Millis(60000)) != choice.endpoint);
}

BOOST_AUTO_TEST_CASE(lastLeavingEndpointLeavesNoneToWaitFor)
{
    Router router;
    for (const char *it : {"e0", "e1"})
        router.balancer.advice().recordLeaving(it, 10, Now);
    BOOST_TEST(router.chosen(Now) == "");
    BOOST_TEST(!router.balancer.hasUsableEndpoint(plainRequest()));
    BOOST_TEST(!router.balancer.restriction(plainRequest(), 0, Now).has_value());
    // It comes back as a new incarnation. An answer of the earlier one that arrives late doesn't concern it.
    router.announce("e0", 20, 1);
    BOOST_TEST(router.chosen(Now) == "e0");
    router.balancer.advice().recordLeaving("e0", 20, Now);
    router.balancer.advice().recordLeaving("e0", 10, Now);
    BOOST_TEST(router.chosen(Now) == "");
}

namespace
{

struct PauseRow {
    const char *name;
    Millis asked;
    Millis honoured;
};
std::ostream &operator<<(std::ostream &os, const PauseRow &row)
{
    return os << row.name;
}
const PauseRow PauseRows[] = {
    {"a fraction of a second", Millis(250), Millis(250)},
    {"some seconds", Millis(7000), Millis(7000)},
    {"a year", std::chrono::hours(24 * 365), tunables::MaxEndpointPause},
};

} // namespace

BOOST_DATA_TEST_CASE(pausedEndpointReceivesNothingUntilTheEnd, bdata::make(PauseRows), row)
{
    Router router;
    EndpointAdvice &advice = router.balancer.advice();
    const EndpointChoice choice = *router.balancer.choose(plainRequest(), Now);
    const Time until = advice.recordPause(choice.endpoint, 10, row.asked, Now);
    BOOST_TEST((until == Now + row.honoured));
    BOOST_TEST(!router.balancer.accepts(choice, Now));
    BOOST_TEST(router.chosen(until - Millis(1)) != choice.endpoint);
    BOOST_TEST(!router.balancer.restriction(plainRequest(), 0, Now).has_value());
    // A later answer with a shorter pause, to a request that was on its way, doesn't end the longer one.
    advice.recordPause(choice.endpoint, 10, Millis(1), Now);
    BOOST_TEST((advice.pausedUntil(choice.endpoint, 10) == until));
    BOOST_TEST(router.balancer.accepts(choice, until));
}

// All endpoints have asked for a pause: the caller is told the earliest end.
BOOST_AUTO_TEST_CASE(earliestEndOfAllPausesIsKnown)
{
    Router router;
    router.balancer.advice().recordPause("e0", 10, Millis(4000), Now);
    router.balancer.advice().recordPause("e1", 10, Millis(1500), Now);
    BOOST_TEST(router.chosen(Now) == "");
    BOOST_REQUIRE(router.balancer.restriction(plainRequest(), 0, Now).has_value());
    BOOST_TEST((router.balancer.restriction(plainRequest(), 0, Now)->until == Now + Millis(1500)));
    BOOST_TEST(router.chosen(Now + Millis(1500)) == "e1");
    // A new incarnation didn't ask for one.
    router.announce("e0", 20, 1);
    BOOST_TEST(router.chosen(Now) == "e0");
}

BOOST_AUTO_TEST_CASE(reportsAreRepeatedForAWhile)
{
    EndpointAdvice advice;
    advice.recordLeaving("e0", 10, Now);
    advice.recordPause("e1", 10, Millis(1000), Now);
    pb::RouterState state;
    advice.addReports(state, Now + Millis(1000));
    BOOST_REQUIRE(state.advice_size() == 1);
    BOOST_TEST(state.advice(0).endpoint() == "e0");
    BOOST_TEST(state.advice(0).leaving());
    pb::RouterState later;
    advice.addReports(later, Now + tunables::LeavingReportTime + Millis(1));
    BOOST_TEST(later.advice_size() == 0);
    BOOST_TEST(advice.leaving("e0", 10));
}

// Guards against whole lists that do not fit into a poll of a router on a link of 10 Mbit/s: 300 routers that each report dozens of
// leaving endpoints.
BOOST_AUTO_TEST_CASE(routersGetAdviceWithTheEndpointsOnly)
{
    Router router;
    pb::RouterState state;
    state.set_router("r");
    state.set_incarnation(1);
    state.set_sequence(1);
    state.set_accepting(true);
    EndpointAdvice advice;
    advice.recordLeaving("e0", 10, Now);
    advice.addReports(state, Now);
    router.registry.merge(state, Now);
    pb::SyncReply reply;
    router.registry.routerChangesSince(0, Now, reply);
    BOOST_REQUIRE(reply.routers_size() == 1);
    BOOST_TEST(reply.routers(0).advice_size() == 0);
    BOOST_TEST(reply.routers(0).leaving_size() == 0);
    BOOST_TEST(reply.endpoints(0).leaving());
}

// Guards against hosts of two builds that do not tell each other that an endpoint leaves: the build before EndpointAdvice sends and
// reads LeavingReport only.
BOOST_AUTO_TEST_CASE(buildBeforeLearnsThatAnEndpointLeaves)
{
    EndpointAdvice advice;
    advice.recordLeaving("e0", 10, Now);
    advice.recordCapacity("e1", 10, EndpointCapacity{5.0, std::nullopt}, Now, Now);
    pb::RouterState state;
    advice.addReports(state, Now);
    BOOST_REQUIRE(state.leaving_size() == 1);
    BOOST_TEST(state.leaving(0).endpoint() == "e0");
    BOOST_TEST(state.leaving(0).born_ms() == 10u);

    pb::RouterState fromBuildBefore;
    fromBuildBefore.set_router("r");
    fromBuildBefore.set_incarnation(1);
    fromBuildBefore.set_sequence(1);
    fromBuildBefore.set_accepting(true);
    *fromBuildBefore.mutable_leaving() = state.leaving();
    Router router;
    router.registry.merge(fromBuildBefore, Now);
    BOOST_TEST(router.registry.endpoints().at("e0").announcement.leaving());
    BOOST_TEST(!router.registry.endpoints().at("e1").announcement.leaving());
}
