// Tests of crash reports that routers share: a request that crashes several endpoints is refused, and requests that ran
// on these endpoints at the same time are refused only until one with the same fingerprint is answered. The tests use no
// network and no clock.
#define BOOST_TEST_MODULE crashwatch
#include "coordination/crashwatch.h"
#include "state/tunables.h"

#include <boost/test/included/unit_test.hpp>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::tunables;

namespace
{

const Time Start(Millis(1000000));
const Fingerprint CrashingRequest(1);
const Fingerprint HarmlessRequest(2);

// Two routers, each with a registry of the other's reports.
struct Routers {
    CrashWatch one;
    CrashWatch two;
    Registry registryOfOne{HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start};
    Registry registryOfTwo{HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start};
    uint64_t sequence = 0;

    void sendReports(CrashWatch &from, const std::string &name, Registry &registry, CrashWatch &to, const std::string &self, Time now)
    {
        pb::RouterState state;
        state.set_router(name);
        state.set_incarnation(1);
        state.set_sequence(++sequence);
        for (const pb::CrashReport &it : from.reports(now))
            *state.add_crashes() = it;
        registry.merge(state, now);
        to.update(registry, self);
    }
    void exchange(Time now)
    {
        sendReports(one, "one", registryOfTwo, two, "two", now);
        sendReports(two, "two", registryOfOne, one, "one", now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestThatCrashesThreeEndpointsIsRefusedByAllRouters)
{
    Routers routers;
    BOOST_TEST(routers.one.recordCrash(CrashingRequest, "a", 1, Start));
    BOOST_TEST(!routers.one.recordCrash(CrashingRequest, "a", 1, Start)); // the same process counts once
    BOOST_TEST(routers.one.recordCrash(CrashingRequest, "a", 2, Start)); // restarted, and crashed again
    routers.exchange(Start);
    BOOST_TEST(routers.two.crashCount(CrashingRequest, Start) == 2u);
    BOOST_TEST(!routers.two.shouldRefuse(CrashingRequest, Start));
    routers.two.recordCrash(CrashingRequest, "a", 2, Start); // both routers lost a request on the same process
    BOOST_TEST(!routers.two.shouldRefuse(CrashingRequest, Start));
    routers.two.recordCrash(CrashingRequest, "b", 1, Start);
    BOOST_TEST(routers.two.shouldRefuse(CrashingRequest, Start));
    routers.exchange(Start);
    BOOST_TEST(routers.one.shouldRefuse(CrashingRequest, Start));
    BOOST_TEST(!routers.one.shouldRefuse(HarmlessRequest, Start));
}

BOOST_AUTO_TEST_CASE(answeredRequestIsNoLongerSuspected)
{
    CrashWatch watch;
    for (const char *endpoint : {"a", "b"}) {
        watch.recordCrash(CrashingRequest, endpoint, 1, Start);
        watch.recordCrash(HarmlessRequest, endpoint, 1, Start);
    }
    watch.recordAnswer(HarmlessRequest);
    for (const Fingerprint it : {CrashingRequest, HarmlessRequest})
        watch.recordCrash(it, "c", 1, Start);
    BOOST_TEST(watch.shouldRefuse(CrashingRequest, Start));
    BOOST_TEST(!watch.shouldRefuse(HarmlessRequest, Start));
}

BOOST_AUTO_TEST_CASE(crashReportsExpire)
{
    Routers routers;
    for (const char *endpoint : {"a", "b", "c"})
        routers.one.recordCrash(CrashingRequest, endpoint, 1, Start);
    routers.exchange(Start);
    BOOST_TEST(routers.two.shouldRefuse(CrashingRequest, Start + QuarantineDuration - Millis(1)));
    const Time later = Start + QuarantineDuration;
    BOOST_TEST(!routers.one.shouldRefuse(CrashingRequest, later));
    routers.exchange(later);
    BOOST_TEST(!routers.two.shouldRefuse(CrashingRequest, later));
}

// Guards against messages that grow without bound when many endpoints crash, each with many requests.
BOOST_AUTO_TEST_CASE(crashReportsAreBoundedAndTheNewestAreKept)
{
    const bool passed = rc::check("bounded", [] {
        const size_t n = *rc::gen::inRange<size_t>(1, 200);
        CrashWatch watch;
        for (size_t i = 0; i < n; ++i)
            watch.recordCrash(Fingerprint(i), "a", 1, Start + Millis(int64_t(i)));
        const std::vector<pb::CrashReport> reports = watch.reports(Start + Millis(int64_t(n)));
        RC_ASSERT(reports.size() == std::min(n, MaxCrashReportsPerRouter));
        RC_ASSERT(reports.back().fingerprint() == n - 1);
    });
    BOOST_TEST(passed);
}
