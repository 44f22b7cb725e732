// Unit tests of the general routes: route matching, retries, the registry, load balancing, bootstrap and membership.
// They use no network and no real clock.
#define BOOST_TEST_MODULE fleet
#include "coordination/admission.h"
#include "coordination/balancer.h"
#include "coordination/bootstrap.h"
#include "coordination/retry.h"
#include "coordination/retrywindow.h"
#include "livestate.h"
#include "protocol/eventrelay.h"
#include "raftcluster.h"
#include "state/machine.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

Route route(const std::string &prefix)
{
    Route it;
    it.name = prefix;
    it.host = "h";
    it.prefix = prefix;
    it.timeout = Millis(1000);
    it.services = {WeightedService{ServiceId("s"), 1}};
    return it;
}

RouteTable routes(const std::vector<std::string> &prefixes)
{
    RouteTable table;
    table.services[ServiceId("s")].id = ServiceId("s");
    for (const std::string &it : prefixes)
        table.routes.push_back(route(it));
    return table;
}

bool usable(const Registry &registry, const std::string &id)
{
    const auto it = registry.endpoints().find(id);
    return it != registry.endpoints().end() && it->second.usable();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routes)

struct MatchRow {
    const char *host;
    const char *path;
    const char *prefix; // of the route that is expected; empty: none
};
std::ostream &operator<<(std::ostream &os, const MatchRow &row)
{
    return os << row.host << row.path;
}
const MatchRow MatchRows[] = {
    {"h", "/a/x", "/a/"}, {"h", "/a/b/x", "/a/b/"}, {"h", "/a/bx", "/a/"}, {"h", "/a", ""}, {"h", "/c/x", ""}, {"other", "/a/x", ""},
};
BOOST_DATA_TEST_CASE(longestPrefixOfTheHostIsSelected, bdata::make(MatchRows), row)
{
    const RouteTable table = routes({"/a/", "/a/b/"});
    const Route *match = table.match(row.host, row.path);
    BOOST_TEST((match == nullptr ? "" : match->prefix) == row.prefix);
}

BOOST_AUTO_TEST_CASE(invalidTablesAreRefused)
{
    BOOST_TEST(checkRoutes(routes({"/a/", "/b/"})).has_value());
    BOOST_TEST(checkRoutes(routes({"/a/", "/a/"})).has_error());
    BOOST_TEST(checkRoutes(routes({"/a"})).has_error());
    RouteTable table = routes({"/a/"});
    table.routes[0].services[0].weight = 0;
    BOOST_TEST(checkRoutes(table).has_error());
    table = routes({"/a/"});
    table.routes[0].services[0].service = ServiceId("unknown");
    BOOST_TEST(checkRoutes(table).has_error());
    table = routes({"/a/"});
    table.routes[0].timeout = Millis(0);
    BOOST_TEST(checkRoutes(table).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Configuration)

pb::Command put(uint64_t version, const std::string &content)
{
    pb::Command command;
    command.mutable_put_configuration()->mutable_configuration()->set_version(version);
    command.mutable_put_configuration()->mutable_configuration()->set_content(content);
    return command;
}

BOOST_AUTO_TEST_CASE(highestVersionWinsInAnyOrderAndThroughSnapshots)
{
    BOOST_TEST(rc::check([](const std::vector<uint8_t> &versions) {
        StateMachine machine;
        std::map<uint64_t, std::string> first;
        uint64_t highest = 0;
        for (size_t i = 0; i < versions.size(); ++i) {
            const uint64_t version = versions[i];
            if (version > highest)
                first[version] = std::to_string(i);
            highest = std::max(highest, version);
            const pb::CommandResult result = machine.apply(put(version, std::to_string(i)));
            RC_ASSERT(result.verdict() == pb::VERDICT_OK);
            RC_ASSERT(machine.configuration().version() == highest);
            if (i % 3 == 0)
                machine.restore(machine.save());
        }
        RC_ASSERT(highest == 0 || machine.configuration().content() == first[highest]);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Retries)

struct StepRow {
    RetryPolicy retryPolicy;
    AttemptEnd end;
    bool delivered;
    uint32_t sends;
    uint32_t runs;
    uint32_t maxRuns;
    RouteStep step;
};
std::ostream &operator<<(std::ostream &os, const StepRow &row)
{
    return os << int(row.retryPolicy) << int(row.end) << row.delivered << row.sends << row.runs << row.maxRuns;
}
const StepRow StepRows[] = {
    {RetryPolicy::Never, AttemptEnd::Completed, true, 1, 1, 1, RouteStep::Deliver},
    {RetryPolicy::Never, AttemptEnd::NotSent, false, 0, 0, 1, RouteStep::Retry},
    {RetryPolicy::Always, AttemptEnd::NotSent, false, 1, 1, 2, RouteStep::Retry},
    {RetryPolicy::Never, AttemptEnd::RefusedNotRun, false, 1, 0, 1, RouteStep::Retry},
    {RetryPolicy::Never, AttemptEnd::RefusedNotRun, false, 3, 0, 1, RouteStep::AnswerNotRun},
    {RetryPolicy::Never, AttemptEnd::Interrupted, false, 1, 1, 3, RouteStep::AnswerUnknown},
    {RetryPolicy::Always, AttemptEnd::Interrupted, false, 1, 1, 2, RouteStep::Retry},
    {RetryPolicy::Always, AttemptEnd::Interrupted, false, 2, 2, 2, RouteStep::AnswerUnknown},
    {RetryPolicy::Always, AttemptEnd::Interrupted, true, 1, 1, 2, RouteStep::BreakOff},
    {RetryPolicy::Never, AttemptEnd::Abandoned, false, 1, 0, 1, RouteStep::AnswerNotRun},
    {RetryPolicy::Never, AttemptEnd::Abandoned, false, 1, 1, 1, RouteStep::AnswerUnknown},
    {RetryPolicy::Resume, AttemptEnd::Interrupted, false, 1, 1, 2, RouteStep::Retry},
    {RetryPolicy::Resume, AttemptEnd::Interrupted, true, 1, 1, 2, RouteStep::Retry},
    {RetryPolicy::Resume, AttemptEnd::RefusedNotRun, true, 2, 1, 2, RouteStep::Retry},
    {RetryPolicy::Resume, AttemptEnd::Interrupted, true, 2, 2, 2, RouteStep::BreakOff},
    {RetryPolicy::Resume, AttemptEnd::Abandoned, true, 1, 1, 2, RouteStep::BreakOff},
    {RetryPolicy::Never, AttemptEnd::Interrupted, true, 1, 1, 2, RouteStep::BreakOff},
};
BOOST_DATA_TEST_CASE(stepAfterAnAttempt, bdata::make(StepRows), row)
{
    RouteProgress progress{row.retryPolicy, row.delivered, row.sends, row.runs, row.maxRuns};
    BOOST_TEST((nextRouteStep(progress, row.end, [] { return true; }) == row.step));
    // Without retry budget a request that was sent is not repeated; one that was never sent may be.
    const bool neverSent = row.end == AttemptEnd::NotSent && row.sends == 0;
    BOOST_TEST((nextRouteStep(progress, row.end, [] { return false; }) == RouteStep::Retry) == neverSent);
}

// A stream in progress ends if no endpoint is left, instead of being retried forever.
BOOST_AUTO_TEST_CASE(requestEndsWithoutAnEndpoint)
{
    BOOST_TEST((stepWithoutEndpoint(RouteProgress{RetryPolicy::Resume, true, 1, 1, 2}) == RouteStep::BreakOff));
    BOOST_TEST((stepWithoutEndpoint(RouteProgress{RetryPolicy::Resume, false, 1, 1, 2}) == RouteStep::AnswerUnknown));
    BOOST_TEST((stepWithoutEndpoint(RouteProgress{RetryPolicy::Never, false, 1, 0, 1}) == RouteStep::AnswerNotRun));
}

struct WaitRow {
    bool stream;
    int abandonedAfterMs;
    int timeLeftMs;
    int waitMs;
};

std::ostream &operator<<(std::ostream &out, const WaitRow &row)
{
    return out << row.stream << ' ' << row.abandonedAfterMs << ' ' << row.timeLeftMs;
}

// Load pattern: no model can be loaded for some seconds. The wait ends early enough for the caller to receive
// the time of its next attempt before it disconnects.
const WaitRow WaitRows[] = {
    {true, 2000, 12000, 1200}, // the caller disconnects long before its deadline
    {true, 2000, 1000, 600}, // the caller has little time left
    {true, 10000, 25000, 9000}, // a load from the store takes 6 s
    {true, 0, 25000, 24000},    {false, 2000, 1000, 600}, {false, 0, 8000, 7000},
};

BOOST_DATA_TEST_CASE(waitForAModelEndsBeforeTheCallerDisconnects, bdata::make(WaitRows), row)
{
    Route route;
    route.stream = row.stream;
    route.abandonTimeout = Millis(row.abandonedAfterMs);
    BOOST_TEST(coldWait(route, Millis(row.timeLeftMs)).count() == row.waitMs);
}

// Load pattern: all hosts have just started, and requests arrive before the configuration does.
BOOST_AUTO_TEST_CASE(waitForTheConfigurationLeavesTimeForAnotherHost)
{
    BOOST_TEST((configurationWait(Millis(1000)) == Millis(300)));
    BOOST_TEST((configurationWait(Millis(25000)) == tunables::MaxConfigurationWait));
    BOOST_TEST((configurationWait(std::nullopt) == tunables::MaxConfigurationWait));
    BOOST_TEST((configurationWait(Millis(0)) == Millis(0)));
}

// Load pattern: after a change of the control leader, no model can be loaded for some seconds.
BOOST_AUTO_TEST_CASE(modelThatCannotLoadInTimeIsRefusedAtOnce)
{
    Route shortTimeout;
    shortTimeout.stream = true;
    shortTimeout.abandonTimeout = Millis(2000);
    Route longTimeout = shortTimeout;
    longTimeout.abandonTimeout = Millis(10000);
    ModelSpec model;
    model.memoryLoadTime = Millis(600);
    model.diskLoadTime = Millis(800);
    const Time deadline = Now + Millis(25000);
    const ColdModel withCopy{true, std::nullopt};
    const ColdAdmission refused = admitColdRequest(shortTimeout, model, withCopy, Now, deadline, Now + Millis(3000), 0, Now);
    BOOST_REQUIRE(refused.retryDelay.has_value());
    BOOST_TEST(refused.retryDelay->count() == 3900);
    BOOST_TEST(
        (*admitColdRequest(shortTimeout, model, withCopy, Now, deadline, Now + Millis(3000), 1, Now).retryDelay > *refused.retryDelay));
    // The request waits if its caller waits long enough, or if orders can be sent again soon.
    BOOST_TEST(!admitColdRequest(longTimeout, model, withCopy, Now, deadline, Now + Millis(3000), 0, Now).retryDelay.has_value());
    BOOST_TEST(!admitColdRequest(shortTimeout, model, withCopy, Now, deadline, Now + Millis(200), 0, Now).retryDelay.has_value());
    BOOST_TEST(!admitColdRequest(shortTimeout, model, withCopy, Now, deadline, Now - Millis(1), 0, Now).retryDelay.has_value());
}

// Load pattern: many models have no copy on any engine's host, and a load from the weight store takes longer than callers
// wait. A request for one is refused at once, unless a load in progress ends in time.
BOOST_AUTO_TEST_CASE(modelWithoutACopyIsRefusedIfTheStoreIsTooSlow)
{
    Route slow = route("/a/");
    slow.stream = true;
    slow.abandonTimeout = Millis(10000);
    ModelSpec model;
    model.storeLoadTime = Millis(13200);
    model.memoryLoadTime = Millis(600);
    model.diskLoadTime = Millis(800);
    const Time deadline = Now + Millis(20000);
    const auto decide = [&](const ColdModel &place) {
        return admitColdRequest(slow, model, place, Now, deadline, Now - Millis(1), 0, Now).retryDelay;
    };
    BOOST_TEST(!decide(ColdModel{true, std::nullopt}).has_value());
    BOOST_REQUIRE(decide(ColdModel{false, std::nullopt}).has_value());
    BOOST_TEST(decide(ColdModel{false, std::nullopt})->count() >= 13200);
    BOOST_TEST(!decide(ColdModel{false, Now + Millis(3000)}).has_value());
    BOOST_REQUIRE(decide(ColdModel{false, Now + Millis(11000)}).has_value());
    BOOST_TEST(decide(ColdModel{false, Now + Millis(11000)})->count() == 11000);
    // A faster store serves the request in time.
    model.storeLoadTime = Millis(6000);
    BOOST_TEST(!decide(ColdModel{false, std::nullopt}).has_value());
}

BOOST_AUTO_TEST_CASE(retriesStayUnderTheRatioInEveryWindow)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<uint8_t, bool>> &events) {
        const Millis window(10000);
        RetryLimits limits(0.2, window, Now - window);
        limits.setShare(6, 1);
        std::vector<std::pair<Time, bool>> admitted; // true: a retry
        Time now = Now;
        for (const std::pair<uint8_t, bool> &it : events) {
            now += Millis(it.first * 8);
            if (!it.second)
                limits.requestStarted(ServiceId("s"), now);
            if (!it.second || limits.tryRetry(ServiceId("s"), now))
                admitted.emplace_back(now, it.second);
            // The limit counts the requests of the previous window, too, so the requests are taken from two windows.
            double requests = 0;
            double retries = 0;
            for (const std::pair<Time, bool> &entry : admitted) {
                requests += !entry.second && entry.first > now - window * 2 ? 1 : 0;
                retries += entry.second && entry.first > now - window ? 1 : 0;
            }
            RC_ASSERT(retries <= 0.2 * requests + 3);
        }
    }));
}

// Requests for one service don't pay for retries of another.
BOOST_AUTO_TEST_CASE(eachServiceHasRetryLimitsOfItsOwn)
{
    RetryLimits limits(0.2, Millis(10000), Now - Millis(10000));
    for (int i = 0; i < 100; ++i)
        limits.requestStarted(ServiceId("plain"), Now);
    for (int i = 0; i < 10; ++i)
        limits.requestStarted(ServiceId("engines"), Now);
    int granted = 0;
    while (limits.tryRetry(ServiceId("engines"), Now))
        ++granted;
    BOOST_TEST(granted == 2);
    BOOST_TEST(limits.tryRetry(ServiceId("plain"), Now));
}

// Load pattern: endpoints reject everything while routers restart, stop and join, and each uses all the retries it may.
// Whatever each router believes about the others, as long as it knows those that ran within the last window, the sum
// stays within the bound: a share of the requests plus the slack, in every window.
BOOST_AUTO_TEST_CASE(sumOfAllRoutersStaysWithinTheBound)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint8_t>> &changes) {
        const Millis window(10000);
        const Millis tick(250);
        const double slack = 60;
        struct Router {
            std::optional<RetryLimits> limits; // none: it is stopped
            Time lastSeenAt{};
        };
        std::vector<Router> routers(4);
        for (Router &it : routers)
            it.limits.emplace(0.2, window, Now - window);
        std::vector<std::pair<uint32_t, uint32_t>> ticks; // requests and retries
        Time now = Now;
        const auto runTick = [&] {
            now += tick;
            size_t known = 0;
            for (Router &it : routers) {
                it.lastSeenAt = it.limits ? now : it.lastSeenAt;
                known += now < it.lastSeenAt + window * 2 ? 1 : 0;
            }
            std::pair<uint32_t, uint32_t> &counts = ticks.emplace_back(0, 0);
            for (size_t i = 0; i < routers.size(); ++i) {
                if (!routers[i].limits)
                    continue;
                // Beliefs differ: some routers still list more.
                routers[i].limits->setShare(slack, known + i % 2);
                // The same load on all routers together, whichever run.
                for (size_t n = i; n < 24; n += routers.size()) {
                    routers[i].limits->requestStarted(ServiceId("s"), now);
                    ++counts.first;
                }
                while (routers[i].limits->tryRetry(ServiceId("s"), now))
                    ++counts.second;
            }
        };
        for (int i = 0; i < 120; ++i)
            runTick();
        for (const std::tuple<uint8_t, uint8_t> &it : changes) {
            Router &router = routers[std::get<0>(it) % routers.size()];
            switch (std::get<0>(it) / 64) {
            case 0:
                router.limits.reset();
                break;
            case 1: // a restart, or a start
                router.limits.emplace(0.2, window, now);
                break;
            case 2: // one more joins
                if (routers.size() < 8) {
                    routers.emplace_back();
                    routers.back().limits.emplace(0.2, window, now);
                }
                break;
            default:
                break;
            }
            for (int i = 0; i < std::get<1>(it) % 40; ++i)
                runTick();
        }
        const size_t width = size_t(window / tick);
        const auto sum = [&](size_t from, uint32_t std::pair<uint32_t, uint32_t>::*count) {
            double total = 0;
            for (size_t i = from; i < std::min(from + width, ticks.size()); ++i)
                total += ticks[i].*count;
            return total;
        };
        for (size_t from = width; from + width <= ticks.size(); ++from) {
            const double requests
                = std::max({sum(from, &std::pair<uint32_t, uint32_t>::first), sum(from - width, &std::pair<uint32_t, uint32_t>::first),
                            sum(from - width / 2, &std::pair<uint32_t, uint32_t>::first)});
            RC_ASSERT(sum(from, &std::pair<uint32_t, uint32_t>::second) <= 0.2 * requests + slack);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Streams)

// The caller receives every event once and in order, wherever the stream is split into reads or interrupted.
BOOST_AUTO_TEST_CASE(streamResumesWithoutGapOrRepeat)
{
    BOOST_TEST(rc::check([](uint8_t events, uint16_t breakAt, const std::vector<uint8_t> &cuts) {
        std::string whole;
        std::vector<size_t> ends;
        for (int i = 1; i <= events % 20 + 1; ++i) {
            whole += "id: " + std::to_string(i) + "\ndata: piece\n\n";
            ends.push_back(whole.size());
        }
        EventRelay relay;
        std::string received;
        const auto feed = [&](const std::string &bytes) {
            size_t at = 0;
            for (size_t i = 0; at < bytes.size(); ++i) {
                const size_t n = cuts.empty() ? bytes.size() : 1 + cuts[i % cuts.size()] % 40;
                received += relay.feed(std::string_view(bytes).substr(at, n));
                at += n;
            }
        };
        feed(whole.substr(0, breakAt % whole.size()));
        relay.beginRun();
        const size_t done = relay.lastId().empty() ? 0 : std::stoul(relay.lastId());
        feed(done == 0 ? whole : whole.substr(ends[done - 1]));
        RC_ASSERT(received == whole);
        RC_ASSERT(!relay.brokenOff(false));
        RC_ASSERT(relay.continuous());
    }));
}

// A stream that ends between two events may be complete; one that ends anywhere else was broken off, whatever ends its
// lines and wherever it is split into reads. Only whole events are forwarded.
BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventIsBrokenOff)
{
    BOOST_TEST(rc::check([](const std::vector<uint8_t> &lineEnds, uint16_t endAt, const std::vector<uint8_t> &cuts) {
        constexpr std::array LineEnds{"\n", "\r\n", "\r"};
        std::string whole;
        std::vector<size_t> ends{0};
        for (size_t i = 0; i <= lineEnds.size() % 10; ++i) {
            const std::string lineEnd = LineEnds[lineEnds.empty() ? 0 : lineEnds[i % lineEnds.size()] % LineEnds.size()];
            whole += "id: " + std::to_string(i + 1) + lineEnd + "data: piece" + lineEnd + lineEnd;
            ends.push_back(whole.size());
        }
        const size_t end = endAt % (whole.size() + 1);
        // An event is complete without the line feed that may follow the carriage return of its empty line.
        const bool completed = std::find(ends.begin(), ends.end(), end) != ends.end()
            || (whole[end] == '\n' && std::find(ends.begin(), ends.end(), end + 1) != ends.end() && whole[end - 1] == '\r');
        EventRelay relay;
        relay.beginRun();
        std::string received;
        for (size_t at = 0, i = 0; at < end; ++i) {
            const size_t n = std::min(end - at, cuts.empty() ? end : 1 + cuts[i % cuts.size()] % 40);
            received += relay.feed(std::string_view(whole).substr(at, n));
            at += n;
        }
        RC_ASSERT(relay.brokenOff(true) == !completed);
        RC_ASSERT(relay.brokenOff(false) == (!completed || end == 0));
        const auto next = std::upper_bound(ends.begin(), ends.end(), end);
        RC_ASSERT(received == whole.substr(0, completed ? end : *std::prev(next)));
    }));
}

BOOST_AUTO_TEST_CASE(runThatSkipsAnEventIsDetected)
{
    EventRelay relay;
    relay.feed("id: 1\ndata: x\n\nid: 2\ndata: half");
    relay.beginRun();
    relay.feed("id: 3\ndata: x\n\n");
    BOOST_TEST(!relay.continuous());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LiveState)

BOOST_AUTO_TEST_CASE(lateAndRepeatedMessagesNeverUndoNewerOnes)
{
    Registry registry(ExpiryTimes, Now);
    BOOST_TEST(registry.merge(announcement("e", 10, 5), Now));
    BOOST_TEST(!registry.merge(announcement("e", 10, 5), Now));
    BOOST_TEST(!registry.merge(announcement("e", 10, 4), Now));
    registry.withdraw("e", Now);
    BOOST_TEST(!registry.merge(announcement("e", 10, 9), Now)); // sent before the endpoint withdrew
    BOOST_TEST(!usable(registry, "e"));
    BOOST_TEST(registry.merge(announcement("e", 11, 1), Now)); // a new incarnation under the same id
    BOOST_TEST(usable(registry, "e"));
    BOOST_TEST(!registry.merge(announcement("e", 10, 99), Now));
}

BOOST_AUTO_TEST_CASE(endpointIsLostWithoutHeartbeatsUntilTheNextOne)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("e", 10, 5), Now);
    registry.expire(Now + ExpiryTimes.endpoint + Millis(1));
    BOOST_TEST(!usable(registry, "e"));
    BOOST_TEST(registry.merge(announcement("e", 10, 6), Now + ExpiryTimes.endpoint + Millis(2)));
    BOOST_TEST(usable(registry, "e"));
}

BOOST_AUTO_TEST_CASE(addressBelongsToTheLatestIncarnation)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("old", 10, 5), Now);
    registry.merge(announcement("new", 20, 1), Now);
    BOOST_TEST(!usable(registry, "old"));
    BOOST_TEST(usable(registry, "new"));
    // A delayed heartbeat of an earlier incarnation changes nothing.
    registry.merge(announcement("older", 5, 9), Now);
    BOOST_TEST(!usable(registry, "older"));
    BOOST_TEST(usable(registry, "new"));
}

// The clock of the router's host was set back while the router was stopped.
BOOST_AUTO_TEST_CASE(routerRestartedWithAnEarlierClockIsAcceptedAfterTheTimeout)
{
    Registry registry(ExpiryTimes, Now);
    pb::RouterState state;
    state.set_router("r");
    state.set_incarnation(100);
    state.set_sequence(7);
    state.set_accepting(true);
    BOOST_TEST(registry.merge(state, Now));
    state.set_incarnation(90);
    state.set_sequence(1);
    BOOST_TEST(!registry.merge(state, Now + Millis(100)));
    BOOST_TEST(registry.merge(state, Now + ExpiryTimes.router + Millis(100)));
    BOOST_TEST(registry.routers().at("r").state.accepting());
}

// A control host that has just started has no entries yet: routers keep theirs.
BOOST_AUTO_TEST_CASE(emptyTableOfANewProcessRemovesNothing)
{
    Registry router(ExpiryTimes, Now);
    router.merge(announcement("e", 10, 5), Now);
    Registry restarted(ExpiryTimes, Now);
    pb::SyncReply reply;
    restarted.routerChangesSince(0, Now + Millis(100), reply);
    BOOST_TEST(!reply.full());
    // After the heartbeat time-out its list counts as full, and routers drop the endpoints that it doesn't contain.
    reply.Clear();
    restarted.routerChangesSince(0, Now + ExpiryTimes.endpoint + Millis(1), reply);
    BOOST_TEST(reply.full());
    router.markUnlistedLost(reply, Now);
    BOOST_TEST(!usable(router, "e"));
}

// Control hosts converge when the network loses, repeats and reorders the changes that they share, and a withdrawn
// endpoint never returns on a router that queries them in turn.
BOOST_AUTO_TEST_CASE(hostsConvergeOverAnUnreliableNetwork)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t>> &events) {
        std::vector<Registry> hosts(3, Registry(ExpiryTimes, Now));
        Registry router(ExpiryTimes, Now);
        std::map<std::string, uint64_t> sequences;
        std::set<std::string> withdrawn;
        std::vector<pb::ShareRequest> network;
        const auto share = [&](Registry &to, const pb::ShareRequest &request) {
            for (const pb::Announcement &it : request.endpoints())
                to.merge(it, Now);
            for (const pb::Holdings &it : request.holdings())
                to.merge(it, Now);
        };
        const auto sync = [&](Registry &from, uint64_t since) {
            pb::SyncReply reply;
            from.routerChangesSince(since, Now, reply);
            for (const pb::Announcement &it : reply.endpoints())
                router.merge(it, Now);
            if (reply.full())
                router.markUnlistedLost(reply, Now);
        };
        for (const std::tuple<uint8_t, uint8_t, uint8_t> &it : events) {
            Registry &host = hosts[std::get<1>(it) % 3];
            const std::string id = "e" + std::to_string(std::get<2>(it) % 4);
            switch (std::get<0>(it) % 6) {
            case 0:
            case 1: {
                pb::Announcement sent = announcement(id, 10, ++sequences[id], "10.0.0.1:" + id.substr(1) + "1");
                sent.set_leaving(std::get<2>(it) % 8 == 7);
                if (withdrawn.count(id) == 0)
                    host.merge(sent, Now);
                break;
            }
            case 2:
                if (host.endpoints().count(id) != 0) {
                    host.withdraw(id, Now);
                    withdrawn.insert(id);
                }
                break;
            case 3: {
                pb::ShareRequest request;
                host.changesSince(ChangeFilter{std::get<2>(it), std::get<2>(it) % 2 == 0, {}}, Now, request);
                network.push_back(request);
                break;
            }
            case 4:
                if (!network.empty())
                    share(host, network[std::get<2>(it) % network.size()]);
                break;
            default:
                sync(host, 0);
            }
        }
        for (int round = 0; round < 2; ++round) {
            for (Registry &from : hosts) {
                pb::ShareRequest request;
                from.changesSince(ChangeFilter{0, false, {}}, Now, request);
                for (Registry &to : hosts)
                    share(to, request);
            }
        }
        sync(hosts[0], 0);
        for (int i = 0; i < 4; ++i) {
            const std::string id = "e" + std::to_string(i);
            RC_ASSERT(usable(hosts[0], id) == usable(hosts[1], id));
            RC_ASSERT(usable(hosts[1], id) == usable(hosts[2], id));
            RC_ASSERT(usable(router, id) == usable(hosts[0], id));
            RC_ASSERT(withdrawn.count(id) == 0 || !usable(router, id));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Balancing)

EndpointRequirements requirements(const std::string &model, uint32_t tokens = 0)
{
    EndpointRequirements it;
    it.service = ServiceId("s");
    it.model = model;
    it.promptTokens = tokens;
    return it;
}

Registry engines(int n)
{
    Registry registry(ExpiryTimes, Now);
    for (int i = 0; i < n; ++i) {
        pb::Announcement it = announcement("e" + std::to_string(i), 10, 1, "10.0.0.1:" + std::to_string(100 + i));
        it.add_models()->set_model("m");
        it.set_zone(i == 0 ? "near" : "far");
        registry.merge(it, Now);
    }
    return registry;
}

BOOST_AUTO_TEST_CASE(onlyHoldersOfTheModelAreChosen)
{
    Balancer balancer("near");
    balancer.update(engines(2));
    BOOST_TEST(balancer.choose(requirements("m"), Now).has_value());
    BOOST_TEST(!balancer.choose(requirements("other"), Now).has_value());
    EndpointRequirements adapter = requirements("m");
    adapter.adapter = "a1";
    BOOST_TEST(!balancer.choose(adapter, Now).has_value());
}

BOOST_AUTO_TEST_CASE(engineThatLacksTheModelIsSkippedForAWhile)
{
    Balancer balancer("near");
    balancer.update(engines(1));
    const std::optional<EndpointChoice> choice = balancer.choose(requirements("m"), Now);
    balancer.attemptStarted(requirements("m"), *choice, Now);
    balancer.attemptEnded(requirements("m"), *choice, AttemptOutcome::NotHeld, Now);
    BOOST_TEST(!balancer.choose(requirements("m"), Now).has_value());
    BOOST_TEST(balancer.choose(requirements("m"), Now + Millis(1000)).has_value());
}

// Load pattern: many requests share a long prompt prefix. They go to the engine that has processed it until it is full.
BOOST_AUTO_TEST_CASE(sharedPromptsGoToTheEngineThatCachesThemUntilItIsFull)
{
    Balancer balancer("elsewhere");
    balancer.update(engines(3));
    EndpointRequirements shared = requirements("m", 2000);
    shared.prompt = {PromptPart{1, 1900}, PromptPart{2, 100}};
    const EndpointChoice first = *balancer.choose(shared, Now);
    balancer.attemptStarted(shared, first, Now);
    BOOST_TEST(balancer.choose(shared, Now)->endpoint == first.endpoint);
    for (int i = 0; i < 8; ++i)
        balancer.attemptStarted(shared, first, Now);
    BOOST_TEST(balancer.choose(shared, Now)->endpoint != first.endpoint);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Bootstrap)

pb::KeeperState keeper(const std::string &address, bool disk, const std::string &founder = "")
{
    pb::KeeperState state;
    state.set_address(address);
    state.set_incarnation(1);
    state.set_sequence(1);
    state.set_disk(disk);
    state.set_may_found(true);
    state.set_founder(founder);
    return state;
}

BootstrapView viewOf(const std::string &self, bool disk)
{
    return BootstrapView{self, {"c:1", "a:1", "b:1"}, disk, true, Now};
}

BOOST_AUTO_TEST_CASE(seedsWithADiskBootstrapOnceEverySeedIsKnown)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(keeper("a:1", true), Now);
    registry.merge(keeper("b:1", false), Now);
    BOOST_TEST(bootstrapMembers(viewOf("a:1", true), registry).empty());
    registry.merge(keeper("c:1", true), Now);
    registry.merge(keeper("d:1", true), Now);
    const std::vector<std::string> first{"a:1", "c:1"};
    BOOST_TEST((bootstrapMembers(viewOf("a:1", true), registry) == first));
    BOOST_TEST((bootstrapMembers(viewOf("c:1", true), registry) == first));
    BOOST_TEST(bootstrapMembers(viewOf("b:1", false), registry).empty());
    BOOST_TEST(bootstrapMembers(viewOf("d:1", true), registry).empty());
    BootstrapView later = viewOf("a:1", true);
    later.mayFound = false;
    BOOST_TEST(bootstrapMembers(later, registry).empty());
}

BOOST_AUTO_TEST_CASE(firstSeedChoosesOneHostIfNoSeedHasADisk)
{
    Registry registry(ExpiryTimes, Now);
    for (const char *it : {"a:1", "b:1", "c:1"})
        registry.merge(keeper(it, false), Now);
    registry.merge(keeper("d:1", true), Now);
    registry.merge(keeper("e:1", true), Now);
    const Time later = Now + Millis(5000);
    BOOST_TEST(chooseBootstrapHost(viewOf("a:1", false), registry, Now).empty());
    BOOST_TEST(chooseBootstrapHost(viewOf("a:1", false), registry, later) == "d:1");
    BOOST_TEST(chooseBootstrapHost(viewOf("b:1", false), registry, later).empty());
    BOOST_TEST(bootstrapMembers(viewOf("d:1", true), registry).empty());
    pb::KeeperState chosen = keeper("a:1", false, "d:1");
    chosen.set_sequence(2);
    registry.merge(chosen, Now);
    BOOST_TEST((bootstrapMembers(viewOf("d:1", true), registry) == std::vector<std::string>{"d:1"}));
    BOOST_TEST(bootstrapMembers(viewOf("e:1", true), registry).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SeedMembership)

const MembershipPolicy ThreeVoters{true, 3};

BOOST_AUTO_TEST_CASE(fourthHostIsASpareAndReplacesALostVoter)
{
    Cluster cluster(3, 1, ThreeVoters);
    cluster.run(Millis(2000));
    cluster.add(4);
    cluster.run(Millis(4000));
    BOOST_TEST((cluster.voters() == std::set<uint64_t>{1, 2, 3}));
    const uint64_t lost = cluster.leader()->self().id == 1 ? 2 : 1;
    cluster.remove(lost);
    cluster.run(Millis(5000));
    std::set<uint64_t> expected{1, 2, 3, 4};
    expected.erase(lost);
    BOOST_TEST((cluster.voters() == expected));
}

BOOST_AUTO_TEST_CASE(hostIsReplacedByAnEmptyOneAtAnotherAddress)
{
    Cluster cluster(3, 2, ThreeVoters);
    cluster.run(Millis(2000));
    cluster.remove(3);
    cluster.add(9);
    cluster.run(Millis(4000));
    BOOST_TEST((cluster.voters() == std::set<uint64_t>{1, 2, 9}));
    // The loss of another host right after the repair loses no committed entry.
    cluster.propose();
    cluster.run(Millis(200));
    const size_t committed = cluster.committed();
    cluster.remove(2);
    cluster.run(Millis(3000));
    BOOST_TEST(cluster.leader() != nullptr);
    BOOST_TEST(cluster.leader()->commitIndex() >= committed);
}

BOOST_AUTO_TEST_CASE(voterReplacedWhileOfflineRejoinsAsASpare)
{
    Cluster cluster(3, 3, ThreeVoters);
    cluster.run(Millis(2000));
    cluster.add(4);
    cluster.run(Millis(3000));
    const uint64_t offline = cluster.leader()->self().id == 1 ? 2 : 1;
    cluster.crash(offline);
    cluster.run(Millis(5000));
    BOOST_TEST(cluster.voters().count(offline) == 0u);
    cluster.start(offline);
    cluster.run(Millis(8000));
    BOOST_TEST(cluster.voters().size() == 3u);
    BOOST_TEST(cluster.nodes().at(offline).appliedIndex == cluster.leader()->lastIndex());
}

// Returns a cluster of three voters and the spare 4.
Cluster clusterWithSpare(uint64_t seed)
{
    Cluster cluster(3, seed, ThreeVoters);
    cluster.run(Millis(2000));
    cluster.add(4);
    cluster.run(Millis(4000));
    return cluster;
}

enum class CutReplica { Leader, Voter, Spare };
std::ostream &operator<<(std::ostream &os, CutReplica replica)
{
    constexpr const char *names[] = {"leader", "voter", "spare"};
    return os << names[size_t(replica)];
}

// Guards against the incident CONFIG: a spare that was cut off believed in its leader for good, so that its host never
// referred its routers to others, and these applied an old configuration.
BOOST_DATA_TEST_CASE(replicaThatIsCutOffKnowsNoLeader, bdata::make({CutReplica::Leader, CutReplica::Voter, CutReplica::Spare}), which)
{
    Cluster cluster = clusterWithSpare(4);
    const uint64_t leader = cluster.leader()->self().id;
    const uint64_t voter = leader == 1 ? 2 : 1;
    const uint64_t cut = which == CutReplica::Spare ? 4 : which == CutReplica::Leader ? leader : voter;
    BOOST_TEST(cluster.nodes().at(cut).raft->leader().has_value());
    cluster.cutOff(cut);
    cluster.run(ElectionTimeoutMax + HeartbeatInterval + Millis(100));
    BOOST_TEST(!cluster.nodes().at(cut).raft->leader().has_value());
}

// Guards against a spare that is lost for good after a cut: the leader has removed it, and it never asks to join again.
BOOST_AUTO_TEST_CASE(spareRejoinsAfterALongCut)
{
    Cluster cluster = clusterWithSpare(5);
    cluster.cutOff(4);
    cluster.run(Millis(13000)); // until after the leader has removed it
    BOOST_TEST(cluster.leader()->membership().members_size() == 3);
    cluster.heal();
    cluster.run(Millis(8000));
    cluster.propose();
    cluster.run(Millis(500));
    BOOST_TEST(cluster.leader()->membership().members_size() == 4);
    BOOST_TEST(cluster.nodes().at(4).appliedIndex == cluster.leader()->lastIndex());
}

// A host is replaced while messages are lost, delayed and duplicated and another host crashes.
BOOST_AUTO_TEST_CASE(replacementWorksOverAnUnreliableNetwork)
{
    BOOST_TEST(rc::check([](uint64_t seed, uint8_t loss, uint8_t crash) {
        Cluster cluster(3, seed, ThreeVoters);
        cluster.loss = loss % 30;
        cluster.duplicates = 10;
        cluster.maxDelay = 80;
        cluster.run(Millis(3000));
        cluster.propose();
        const uint64_t removed = 1 + crash % 3;
        cluster.remove(removed);
        cluster.add(9);
        cluster.run(Millis(2000));
        const uint64_t other = 1 + (crash + 1) % 3;
        cluster.crash(other);
        cluster.run(Millis(500));
        cluster.start(other);
        cluster.loss = 0;
        cluster.run(Millis(12000));
        cluster.propose();
        cluster.run(Millis(500));
        RC_ASSERT(cluster.voters().count(9) == 1u);
        RC_ASSERT(cluster.voters().size() == 3u);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
