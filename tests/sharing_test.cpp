// Unit tests of what control hosts send to each other: the choice of peers, the changes selected for each, and differences
// of configurations. They use no network and no real clock.
#define BOOST_TEST_MODULE sharing
#include "coordination/controlhosts.h"
#include "coordination/replybudget.h"
#include "coordination/sharing.h"
#include "coordination/staleness.h"
#include "livestate.h"
#include "state/configurationtransfer.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

std::string address(int n)
{
    return "10.0.0." + std::to_string(n) + ":7380";
}

pb::KeeperState keeper(int n, bool disk, int zone = 0)
{
    pb::KeeperState state;
    state.set_address(address(n));
    state.set_incarnation(1);
    state.set_sequence(1);
    state.set_disk(disk);
    state.set_zone("z" + std::to_string(zone));
    return state;
}

// `zones` availability zones with five control hosts each, the first of which has a disk.
Registry manyControlHosts(int zones)
{
    Registry registry(ExpiryTimes, Now);
    for (int n = 0; n < zones * 5; ++n)
        registry.merge(keeper(n, n % 5 == 0, n / 5), Now);
    return registry;
}

ShareView viewOf(int n)
{
    return ShareView{address(n), "z" + std::to_string(n / 5), n % 5 == 0, {address(1), address(7), address(10)}, {}};
}

pb::ShareRequest changes(const Registry &registry, const ChangeFilter &filter)
{
    pb::ShareRequest request;
    registry.changesSince(filter, Now, request);
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Hosts)

// Pattern: `known` control hosts are split, and one of them serves. Whatever the others name meanwhile, the router tries it after as
// many attempts as there are hosts and seeds, and then keeps to the nearest.
BOOST_DATA_TEST_CASE(everyHostIsTriedWithinOneRound, bdata::make({1, 3, 5, 9}) * bdata::make({0, 1, 2}), known, seedsKnown)
{
    std::vector<std::string> all;
    for (int n = 0; n < known; ++n)
        all.push_back(address(n));
    std::vector<std::string> seeds{address(50), address(51)};
    for (int n = 0; n < seedsKnown; ++n)
        seeds[size_t(n)] = all[size_t(n) % all.size()];
    for (const std::string &serving : all) {
        ControlHosts hosts(seeds, 1);
        Time now = Now;
        hosts.named(all, now);
        for (int round = 0; round < 3; ++round) {
            size_t attempts = 0;
            std::string host;
            do {
                now += Millis(600);
                host = hosts.next(now);
                ++attempts;
                hosts.named({all.front(), address(60)}, now); // from a host that knows little
            } while (host != serving);
            BOOST_TEST(attempts <= all.size() + 3);
        }
        hosts.preferNext(hosts.nearest());
        BOOST_TEST(hosts.next(now) == all.front());
    }
}

BOOST_AUTO_TEST_CASE(hostsThatNobodyNamesAreForgotten)
{
    ControlHosts hosts({address(1)}, 0);
    hosts.named({address(2), address(3)}, Now);
    hosts.named({address(2)}, Now + Millis(1000));
    BOOST_TEST(hosts.size() == 2u);
    hosts.named({address(2)}, Now + ControlHostRetention);
    BOOST_TEST(hosts.size() == 1u);
    for (int n = 0; n < 100; ++n)
        hosts.named({address(2), address(100 + n)}, Now + ControlHostRetention);
    BOOST_TEST(hosts.size() == MaxKnownControlHosts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Lists)

// A control host with a link of 100 Mbit/s, which all lists on their way share.
struct ListSender {
    struct Transfer {
        size_t router;
        double bytesLeft;
        Time deadline;
    };
    ReplyBudget budget{MaxReplyBytesPerSecond};
    std::vector<Transfer> transfers;
};

// Returns how long it takes until all routers have a list: `routers` have lost their control host and know `serving` hosts that serve,
// and two that are cut off and refer them.
Millis timeUntilAllHaveAList(size_t routers, size_t serving, double listBytes)
{
    constexpr double linkBytesPerMs = 12500;
    constexpr Millis limit{20000};
    std::vector<std::string> known;
    for (size_t n = 0; n < serving + 2; ++n)
        known.push_back(address(int(n)));
    std::vector<ListSender> hosts(serving);
    std::vector<ControlHosts> sessions(routers, ControlHosts({known.back()}, 0));
    std::vector<Time> nextPollAt(routers, Now);
    std::mt19937_64 random(7);
    for (size_t n = 0; n < routers; ++n) {
        std::shuffle(known.begin(), known.end(), random);
        sessions[n].named(known, Now);
        nextPollAt[n] += Millis(random() % uint64_t(SyncInterval.count()));
    }
    size_t waiting = routers;
    for (Time now = Now; now < Now + limit; now += Millis(1)) {
        for (ListSender &host : hosts) {
            const double share = linkBytesPerMs / double(std::max<size_t>(1, host.transfers.size()));
            std::erase_if(host.transfers, [&](ListSender::Transfer &it) {
                it.bytesLeft -= share;
                waiting -= it.bytesLeft <= 0 ? 1 : 0;
                if (it.bytesLeft > 0 && now >= it.deadline)
                    nextPollAt[it.router] = now + SyncIntervalWhileWaiting;
                return it.bytesLeft <= 0 || now >= it.deadline;
            });
        }
        if (waiting == 0)
            return now - Now;
        for (size_t n = 0; n < routers; ++n) {
            if (now < nextPollAt[n])
                continue;
            const std::string host = sessions[n].next(now);
            const size_t index = size_t(
                std::find_if(hosts.begin(), hosts.end(), [&](const ListSender &it) { return address(int(&it - hosts.data())) == host; })
                - hosts.begin());
            nextPollAt[n] = now + SyncRetryInterval;
            if (index == hosts.size() || !hosts[index].budget.available(now, MaxReplyBacklog))
                continue;
            hosts[index].budget.record(size_t(listBytes), now);
            hosts[index].transfers.push_back({n, listBytes, now + SyncTimeout});
            nextPollAt[n] = Time::max();
        }
    }
    return limit;
}

// Guards against routers that come to the remaining control hosts at once after a split and get no list, because all lists are sent at
// the same time and none arrives within the time limit of a poll.
BOOST_DATA_TEST_CASE(routersThatComeAtOnceAllGetAList, bdata::make({60u, 180u, 300u}), routers)
{
    constexpr double listBytes = 150e3; // 245 endpoints and 300 routers
    // The time in which the links could carry all lists, twice as they are not left to lists alone, and a round of polls.
    const Millis carried(int64_t(listBytes * routers / 3 / 12500));
    BOOST_TEST((timeUntilAllHaveAList(routers, 3, listBytes) < 2 * carried + SyncInterval + 5 * SyncRetryInterval + SyncTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Peers)

// Pattern: five control hosts in each of many availability zones. If all had sessions with all others, each change would
// be sent some n^2 times, and the links of the small hosts would be full.
BOOST_DATA_TEST_CASE(sessionsAreQuadraticOnlyInTheHostsWithADisk, bdata::make({3, 5, 10}), zones)
{
    const Registry registry = manyControlHosts(zones);
    size_t withState = 0;
    size_t sessions = 0;
    for (int n = 0; n < zones * 5; ++n) {
        const std::map<std::string, ShareRole> roles = shareRoles(viewOf(n), registry);
        BOOST_TEST(roles.count(address(n)) == 0u);
        sessions += roles.size();
        const auto receives = std::count_if(roles.begin(), roles.end(),
                                            [](const std::pair<const std::string, ShareRole> &it) { return receivesState(it.second); });
        // A host without a disk sends what it receives to one host only.
        BOOST_TEST(receives == (n % 5 == 0 ? zones - 1 : 1));
        withState += size_t(receives);
    }
    BOOST_TEST(withState == size_t(zones * (zones - 1) + zones * 4));
    BOOST_TEST(sessions <= withState + size_t(zones * 5) * 3);
}

BOOST_AUTO_TEST_CASE(hostWithoutADiskUsesTheNearestThatAnswers)
{
    const Registry registry = manyControlHosts(3);
    ShareView view = viewOf(6); // zone 1, whose host with a disk is number 5
    BOOST_TEST((shareRoles(view, registry).at(address(5)) == ShareRole::Relay));
    view.unreachable = {address(5)};
    const std::map<std::string, ShareRole> roles = shareRoles(view, registry);
    const auto relays = std::count_if(roles.begin(), roles.end(),
                                      [](const std::pair<const std::string, ShareRole> &it) { return it.second == ShareRole::Relay; });
    BOOST_TEST(relays == 1);
    BOOST_TEST(roles.count(address(5)) == 0u);
}

// The nearest host with a disk is cut from the others: what it is told would reach nobody else.
BOOST_AUTO_TEST_CASE(hostThatIsCutFromTheOthersIsNoRelay)
{
    Registry registry = manyControlHosts(3);
    pb::KeeperState cut = keeper(5, true, 1);
    cut.set_sequence(2);
    cut.add_unreachable(address(0));
    cut.add_unreachable(address(10));
    registry.merge(cut, Now);
    for (const int other : {0, 10}) {
        pb::KeeperState state = keeper(other, true, other / 5);
        state.set_sequence(2);
        state.add_unreachable(address(5));
        registry.merge(state, Now);
    }
    const std::map<std::string, ShareRole> roles = shareRoles(viewOf(6), registry);
    BOOST_TEST(roles.count(address(5)) == 0u);
}

BOOST_AUTO_TEST_CASE(seedsAreToldOfEveryHost)
{
    Registry registry(ExpiryTimes, Now);
    // Nothing is known at the start: the host announces itself to its seeds.
    std::map<std::string, ShareRole> roles = shareRoles(viewOf(0), registry);
    for (const int seed : {1, 7, 10})
        BOOST_TEST((roles.at(address(seed)) == ShareRole::Announce));
    registry.merge(keeper(7, false), Now);
    pb::KeeperState leader = keeper(10, true);
    leader.set_term(3);
    registry.merge(leader, Now);
    roles = shareRoles(viewOf(0), registry);
    BOOST_TEST((roles.at(address(7)) == ShareRole::Announce));
    BOOST_TEST((roles.at(address(10)) == ShareRole::Leader));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Changes)

// A change that a host with a disk received from another one is not sent on: that one sends it to all itself.
BOOST_AUTO_TEST_CASE(onlyOwnChangesAreSent)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("own", 10, 1, "10.0.0.1:1"), Now);
    const uint64_t version = registry.version();
    registry.merge(announcement("other", 10, 1, "10.0.0.1:2"), Now, address(5));
    registry.merge(announcement("own", 10, 2, "10.0.0.1:1"), Now);
    BOOST_TEST(changes(registry, ChangeFilter{version, true, {}}).endpoints_size() == 1);
    // A peer that has just started needs everything, and one that the other host can't reach needs its changes.
    BOOST_TEST(changes(registry, ChangeFilter{0, true, {}}).endpoints_size() == 2);
    BOOST_TEST(changes(registry, ChangeFilter{version, true, {address(5)}}).endpoints_size() == 2);
}

BOOST_AUTO_TEST_CASE(changesOfAHostAreForwardedToThoseItDoesNotReach)
{
    Registry registry = manyControlHosts(3);
    BOOST_TEST(forwardedHosts(address(5), address(10), registry).empty());
    pb::KeeperState state = keeper(0, true);
    state.set_sequence(2);
    state.add_unreachable(address(10));
    registry.merge(state, Now);
    BOOST_TEST((forwardedHosts(address(5), address(10), registry) == std::set<std::string>{address(0)}));
    BOOST_TEST(forwardedHosts(address(0), address(10), registry).empty());
}

// The contents of an endpoint may arrive before the endpoint's own announcement.
BOOST_AUTO_TEST_CASE(holdingsOfAnUnknownEndpointAreKept)
{
    Registry registry(ExpiryTimes, Now);
    pb::Holdings holdings;
    holdings.set_endpoint("e");
    holdings.set_born_ms(10);
    holdings.set_term(1);
    holdings.set_counter(1);
    holdings.add_models()->set_model("m");
    registry.merge(holdings, Now, address(5));
    registry.merge(announcement("e", 10, 1), Now);
    BOOST_REQUIRE(registry.endpoints().at("e").models().size() == 1);
    pb::SyncReply reply;
    registry.routerChangesSince(0, Now, reply);
    BOOST_TEST(reply.holdings_size() == 1);
}

// A router receives the contents of an engine that change, without the announcement that didn't.
BOOST_AUTO_TEST_CASE(changedHoldingsAreSentToRoutersAlone)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("e", 10, 1), Now);
    pb::Holdings holdings;
    holdings.set_endpoint("e");
    holdings.set_born_ms(10);
    holdings.set_term(1);
    for (int counter = 1; counter <= 3; ++counter) {
        const uint64_t version = registry.version();
        holdings.set_counter(uint64_t(counter));
        registry.merge(holdings, Now);
        // Heartbeats that list the new contents change nothing for routers.
        pb::Announcement heartbeat = announcement("e", 10, 1 + uint64_t(counter));
        heartbeat.add_models()->set_model("m" + std::to_string(counter));
        registry.merge(heartbeat, Now);
        pb::SyncReply reply;
        registry.routerChangesSince(version, Now, reply);
        BOOST_TEST(reply.endpoints_size() == 0);
        BOOST_TEST(reply.holdings_size() == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Leaving)

bool usable(const Registry &registry)
{
    return registry.endpoints().at("e").usable();
}

pb::RouterState reportOf(uint64_t sequence, uint64_t startedAtMs)
{
    pb::RouterState state;
    state.set_router("r");
    state.set_incarnation(1);
    state.set_sequence(sequence);
    pb::EndpointAdvice &report = *state.add_advice();
    report.set_endpoint("e");
    report.set_leaving(true);
    report.set_born_ms(startedAtMs);
    return state;
}

// An endpoint says in an answer that it is leaving. Heartbeats that it sent before arrive later and list it as ready.
BOOST_AUTO_TEST_CASE(lateHeartbeatsDoNotUndoAReport)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("e", 10, 1), Now);
    registry.merge(reportOf(1, 10), Now);
    BOOST_TEST(!usable(registry));
    registry.merge(announcement("e", 10, 2), Now);
    BOOST_TEST(!usable(registry));
    // Another host has the same heartbeat without the report.
    Registry other(ExpiryTimes, Now);
    other.merge(announcement("e", 10, 5), Now);
    const pb::ShareRequest shared = changes(registry, ChangeFilter{0, false, {}});
    for (const pb::Announcement &it : shared.endpoints())
        other.merge(it, Now);
    BOOST_TEST(!usable(other));
    pb::SyncReply reply;
    other.routerChangesSince(0, Now, reply);
    BOOST_TEST(reply.endpoints(0).leaving());
}

BOOST_AUTO_TEST_CASE(reportEndsWithTheIncarnation)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement("e", 10, 1), Now);
    registry.merge(reportOf(1, 10), Now);
    registry.merge(announcement("e", 20, 1), Now);
    BOOST_TEST(usable(registry));
    // The router repeats its report of the earlier incarnation.
    registry.merge(reportOf(2, 10), Now);
    BOOST_TEST(usable(registry));
}

BOOST_AUTO_TEST_SUITE_END()

// Whether a control host may serve routers, which would otherwise go on with an old configuration.
BOOST_AUTO_TEST_SUITE(Isolation)

// A replica observed every 100 ms from Now to Now + 4 s, which follows its leader or not.
struct ReplicaRow {
    const char *what;
    Millis logUntil; // until then its committed entries are known to be all
    Millis sharesUntil; // until then the leader names its configuration as the newest, once a second
    uint64_t sharedVersion; // which the leader names; this host has version 5
    Millis servesUntil; // it must serve until then at least
    Millis isolatedFrom; // it must not serve from then on
};
std::ostream &operator<<(std::ostream &os, const ReplicaRow &row)
{
    return os << row.what;
}
const Millis Always{4000};
const Millis Never{5000};
const Millis None{0};
const Millis Election{1500}; // a host without a leader for as long goes on serving
// A configuration must be in force 2 s after its acknowledgement at a router that had contact with the other control hosts
// for 3 s: that leaves 0.5 s to find another host.
const Millis Bound{2500};
const ReplicaRow ReplicaRows[] = {
    {"follows the leader", Always, None, 0, Always, Never},
    // Guards against the incident CONFIG: the replica reports a leader, but nothing confirms its state any longer. It may be
    // cut off without knowing it, lack entries, or be stuck because its disk hangs.
    {"reports a leader that confirms nothing", Millis(1000), None, 0, Millis(1000) + Election, Millis(1000) + Bound},
    {"gets the configuration from the leader while its disk hangs", Millis(1000), Always, 5, Always, Never},
    {"has heard from the leader of a newer configuration", Millis(1000), Always, 6, Millis(1000) + Election, Millis(1000) + Bound},
    {"is cut off while its disk hangs", Millis(500), Millis(1000), 5, Millis(1000) + Election, Millis(1000) + Bound},
    {"never had a leader", None, None, 0, Election, Bound},
};
BOOST_DATA_TEST_CASE(hostServesOnlyWhileItsStateIsKnownToBeCurrent, bdata::make(ReplicaRows), row)
{
    StalenessWatch watch(Now);
    for (Millis at{0}; at < Always; at += Millis(100)) {
        if (row.logUntil > None)
            watch.confirmByLog(Now + std::min(at, row.logUntil));
        if (at <= row.sharesUntil && at.count() % 1000 == 0)
            watch.confirmByLeader(row.sharedVersion, 5, Now + at);
        BOOST_TEST((at >= row.servesUntil || !watch.isolated(Now + at)), "isolated at " << at.count());
        BOOST_TEST((at < row.isolatedFrom || watch.isolated(Now + at)), "serves at " << at.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Configurations)

// Of a configuration with many routes, as large as on the users' sites.
std::string manyRoutes(int n, const std::string &timeout)
{
    std::string routes;
    for (int i = 0; i < n; ++i)
        routes += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","host":"h)" + std::to_string(i % 20) + R"(.example","path_prefix":"/p)"
            + std::to_string(i * 104729) + R"(/","type":"streaming","timeout_ms":)" + timeout
            + R"(,"target_latency_ms":2500,"priority":0,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":250},)";
    return routes;
}

pb::WholeConfiguration configuration(uint64_t version, const std::string &content)
{
    pb::WholeConfiguration result;
    result.set_version(version);
    result.set_content(content);
    return result;
}

BOOST_AUTO_TEST_CASE(differenceLeadsToTheTargetFromItsBaseOnly)
{
    BOOST_TEST(rc::check([](const std::string &before, const std::string &common, const std::string &from, const std::string &to,
                            const std::string &after, const std::string &other) {
        const pb::WholeConfiguration base = configuration(1, before + common + from + after);
        const pb::WholeConfiguration target = configuration(2, before + common + to + after);
        const pb::ConfigurationDelta delta = makeDelta(base, target);
        const std::optional<pb::WholeConfiguration> result = applyDelta(base, delta);
        RC_ASSERT(result.has_value());
        RC_ASSERT(result->content() == target.content());
        RC_ASSERT(result->version() == 2u);
        RC_ASSERT(delta.middle().size() <= to.size());
        RC_ASSERT(!applyDelta(target, delta).has_value());
        const std::optional<pb::WholeConfiguration> wrong = applyDelta(configuration(1, other), delta);
        const bool refused = !wrong.has_value();
        const std::string content = refused ? target.content() : wrong->content();
        RC_ASSERT(content == target.content());
    }));
}

// Load pattern: 1,400 routes are added, and 60 routers fetch them at the same time over their control host's link of 100 Mbit/s.
// Guards against the incident CONFIG: the reply took longer than the time limit of a poll, and was then requested again whole.
BOOST_AUTO_TEST_CASE(replyOfALargeChangeArrivesWithinHalfOfThePollsTimeLimit)
{
    constexpr double bytesPerMs = 100e6 / 8 / 1000 / 60; // for each of the routers
    ConfigurationHistory history;
    history.merge(configuration(1, manyRoutes(20, "25000")));
    history.merge(configuration(2, manyRoutes(1420, "25000")));
    for (const uint64_t known : {0, 1}) {
        pb::SyncReply reply;
        const pb::ConfigurationProgress progress;
        addConfiguration(history, known, &progress, reply);
        BOOST_TEST(double(reply.ByteSizeLong()) / bytesPerMs < double(SyncTimeout.count()) / 2);
    }
}

// A text that compression hardly shortens.
std::string randomText(size_t n, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text(n, ' ');
    std::generate(text.begin(), text.end(), [&] { return char('!' + random() % 90); });
    return text;
}

// A router fetches an update of many pieces. Replies are lost or arrive twice, polls go to another control host, and a newer
// version is stored meanwhile: the result is always a configuration as it was stored, and the latest one in the end.
BOOST_AUTO_TEST_CASE(transferSurvivesLostRepliesAndChangesOfHostAndVersion)
{
    BOOST_TEST(rc::check([](const std::vector<uint8_t> &steps, uint64_t seed) {
        std::vector<pb::WholeConfiguration> stored{configuration(1, randomText(300000, seed))};
        ConfigurationHistory hosts[2];
        for (ConfigurationHistory &it : hosts)
            it.merge(stored[0]);
        pb::WholeConfiguration own;
        ConfigurationReceiver receiver;
        const auto poll = [&](ConfigurationHistory &host, bool lost, bool twice) {
            pb::SyncReply reply;
            addConfiguration(host, own.version(), &receiver.progress(), reply);
            RC_ASSERT(reply.ByteSizeLong() < MaxConfigurationPieceBytes + 100);
            if (!reply.has_configuration_piece())
                return;
            for (int n = lost ? 0 : twice ? 2 : 1; n > 0; --n) {
                const std::optional<pb::ConfigurationUpdate> update = receiver.add(reply.configuration_piece());
                if (!update)
                    continue;
                const std::optional<pb::WholeConfiguration> next = update->has_whole() ? update->whole() : applyDelta(own, update->delta());
                RC_ASSERT(next.has_value());
                RC_ASSERT(next->content() == stored[next->version() - 1].content());
                own = *next;
            }
        };
        for (const uint8_t it : steps) {
            poll(hosts[it % 2], it % 8 < 3, it % 16 == 15);
            if (it % 32 == 7 && stored.size() < 6) {
                const size_t n = stored.size();
                stored.push_back(configuration(n + 1, randomText(200000, seed + n) + stored.back().content().substr(0, 100000)));
                for (ConfigurationHistory &host : hosts)
                    host.merge(stored.back());
            }
        }
        for (int n = 0; n < 20; ++n)
            poll(hosts[0], false, false);
        RC_ASSERT(own.version() == stored.size());
        RC_ASSERT(!receiver.receiving());
    }));
}

// Bytes that were damaged on the way are not applied; the update is requested again.
BOOST_AUTO_TEST_CASE(damagedUpdateIsRequestedAgain)
{
    ConfigurationHistory history;
    history.merge(configuration(1, manyRoutes(10, "25000")));
    ConfigurationReceiver receiver;
    pb::ConfigurationPiece piece;
    addNextPiece(history, 0, receiver.progress(), piece);
    pb::ConfigurationPiece damaged = piece;
    damaged.mutable_content()->back() ^= 1;
    BOOST_TEST(!receiver.add(damaged).has_value());
    BOOST_TEST(!receiver.receiving());
    const std::optional<pb::ConfigurationUpdate> update = receiver.add(piece);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->whole().content() == history.latest().content());
}

// Load pattern: configurations of many models follow each other quickly, each with a few changed routes. A host that has
// one of the previous versions receives the change, not the models.
BOOST_AUTO_TEST_CASE(changeCostsLittleOfTheWhole)
{
    std::string models;
    for (int i = 0; i < 737; ++i)
        models += R"({"name":"model)" + std::to_string(i) + R"(","weights_mb":72700.0,"load_time_s":13.2,"adapters":0},)";
    ConfigurationHistory history;
    size_t whole = 0;
    for (uint64_t version = 1; version <= 40; ++version) {
        const std::string routes = R"({"name":"r)" + std::to_string(version) + R"(","host":"h","path_prefix":"/p/"})";
        const pb::WholeConfiguration next = configuration(
            version, R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + models + "]}");
        whole = next.ByteSizeLong();
        BOOST_TEST(history.merge(next));
        BOOST_TEST(!history.merge(next));
    }
    for (const uint64_t known : {39, 35}) {
        pb::SyncReply reply;
        addConfiguration(history, known, nullptr, reply);
        BOOST_REQUIRE(reply.has_configuration_delta());
        BOOST_TEST(reply.ByteSizeLong() < whole / 100);
    }
    for (const uint64_t known : {0, 3}) {
        pb::SyncReply reply;
        addConfiguration(history, known, nullptr, reply);
        BOOST_TEST(reply.has_configuration());
    }
    pb::SyncReply current;
    addConfiguration(history, 40, nullptr, current);
    BOOST_TEST(current.ByteSizeLong() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
