// Blame for crashed endpoints, shared by routers: a request that crashes endpoint after endpoint is refused, and those
// that only ran beside it are not for long. No network, no clock.
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
const Fingerprint Deadly(1);
const Fingerprint Innocent(2);

// Two routers and what each hears of the other.
struct Routers {
    CrashWatch one;
    CrashWatch two;
    Registry heardByOne{HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start};
    Registry heardByTwo{HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start};
    uint64_t sequence = 0;

    void tell(CrashWatch &from, const std::string &name, Registry &registry, CrashWatch &to, const std::string &self, Time now)
    {
        pb::RouterState state;
        state.set_router(name);
        state.set_incarnation(1);
        state.set_sequence(++sequence);
        for (const pb::CrashReport &it : from.reports(now))
            *state.add_crashes() = it;
        registry.take(state, now);
        to.update(registry, self);
    }
    void exchange(Time now)
    {
        tell(one, "one", heardByTwo, two, "two", now);
        tell(two, "two", heardByOne, one, "one", now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestThatCrashesThreeEndpointsIsRefusedByAllRouters)
{
    Routers routers;
    BOOST_TEST(routers.one.crashed(Deadly, "a", 1, Start));
    BOOST_TEST(!routers.one.crashed(Deadly, "a", 1, Start)); // the same life counts once
    BOOST_TEST(routers.one.crashed(Deadly, "a", 2, Start)); // it started again, and crashed again
    routers.exchange(Start);
    BOOST_TEST(routers.two.crashes(Deadly, Start) == 2u);
    BOOST_TEST(!routers.two.refuses(Deadly, Start));
    routers.two.crashed(Deadly, "a", 2, Start); // both lost a request on the same life
    BOOST_TEST(!routers.two.refuses(Deadly, Start));
    routers.two.crashed(Deadly, "b", 1, Start);
    BOOST_TEST(routers.two.refuses(Deadly, Start));
    routers.exchange(Start);
    BOOST_TEST(routers.one.refuses(Deadly, Start));
    BOOST_TEST(!routers.one.refuses(Innocent, Start));
}

BOOST_AUTO_TEST_CASE(answerAcquitsWhatRanBesideIt)
{
    CrashWatch watch;
    for (const char *endpoint : {"a", "b"}) {
        watch.crashed(Deadly, endpoint, 1, Start);
        watch.crashed(Innocent, endpoint, 1, Start);
    }
    watch.answered(Innocent);
    for (const Fingerprint it : {Deadly, Innocent})
        watch.crashed(it, "c", 1, Start);
    BOOST_TEST(watch.refuses(Deadly, Start));
    BOOST_TEST(!watch.refuses(Innocent, Start));
}

BOOST_AUTO_TEST_CASE(blameEndsAfterAWhile)
{
    Routers routers;
    for (const char *endpoint : {"a", "b", "c"})
        routers.one.crashed(Deadly, endpoint, 1, Start);
    routers.exchange(Start);
    BOOST_TEST(routers.two.refuses(Deadly, Start + QuarantineDuration - Millis(1)));
    const Time later = Start + QuarantineDuration;
    BOOST_TEST(!routers.one.refuses(Deadly, later));
    routers.exchange(later);
    BOOST_TEST(!routers.two.refuses(Deadly, later));
}

// A wave of crashes with many requests on each endpoint doesn't make messages grow without end.
BOOST_AUTO_TEST_CASE(reportsAreBoundedAndTheNewestStay)
{
    const bool ok = rc::check("bounded", [] {
        const size_t n = *rc::gen::inRange<size_t>(1, 200);
        CrashWatch watch;
        for (size_t i = 0; i < n; ++i)
            watch.crashed(Fingerprint(i), "a", 1, Start + Millis(int64_t(i)));
        const std::vector<pb::CrashReport> reports = watch.reports(Start + Millis(int64_t(n)));
        RC_ASSERT(reports.size() == std::min(n, MaxCrashReportsPerRouter));
        RC_ASSERT(reports.back().fingerprint() == n - 1);
    });
    BOOST_TEST(ok);
}
