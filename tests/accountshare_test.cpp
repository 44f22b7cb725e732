// Tests of fair shares among client accounts: many routers with few requests each, and one account with many times its usual.
#define BOOST_TEST_MODULE accountshare
#include "coordination/accountshare.h"
#include "coordination/urgency.h"
#include "livestate.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>

using namespace roserail;
using namespace roserail::test;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

struct ShareRow {
    std::vector<uint32_t> requests;
    uint32_t slots;
    std::optional<double> expected;
};

std::ostream &operator<<(std::ostream &out, const ShareRow &row)
{
    return out << row.requests.size() << " accounts, " << row.slots << " slots";
}

const ShareRow ShareRows[] = {
    {{}, 4, std::nullopt}, {{1, 3}, 4, std::nullopt}, {{1, 7}, 4, 3}, {{2, 2, 2, 2}, 4, 1}, {{9, 1, 9, 1}, 8, 3}, {{5}, 0, 0},
};

struct WaitRow {
    const char *description;
    std::vector<FullEndpoint> endpoints;
    Millis left;
    std::optional<Millis> expected; // delay
};

std::ostream &operator<<(std::ostream &out, const WaitRow &row)
{
    return out << row.description;
}

// Of requests that use a slot for 2 s: 32 slots become free at 16 a second.
constexpr Millis SlotTime{2000};
const WaitRow WaitRows[] = {
    {"no endpoint is known to be full", {}, Millis(0), std::nullopt},
    {"the queue ends before the caller leaves", {{69, 32, Millis(0)}}, Millis(2400), std::nullopt},
    {"the queue outlasts the caller", {{111, 32, Millis(0)}}, Millis(2400), Millis(2600)},
    {"the queue was that long some time ago", {{111, 32, Millis(1000)}}, Millis(2400), Millis(1600)},
    {"another endpoint has a slot in time", {{111, 32, Millis(0)}, {40, 32, Millis(0)}}, Millis(2400), std::nullopt},
    {"the shortest queue counts", {{111, 32, Millis(0)}, {95, 32, Millis(0)}}, Millis(2400), Millis(1600)},
};

const EndpointKey Engine(7);
const AccountKey Hot = accountKey(AccountId("hot"));
const AccountKey Calm = accountKey(AccountId("calm"));

pb::AccountUse useOf(const AccountLoad &load)
{
    pb::RouterState state;
    load.addUse(state);
    return state.account_use();
}

void start(AccountLoad &load, AccountKey account, uint32_t n, uint32_t slots)
{
    for (uint32_t i = 0; i < n; ++i)
        load.started(Engine, account, false, slots);
}

constexpr uint32_t Engines = 4;
constexpr uint32_t Slots = 32; // of each engine
constexpr size_t Routers = 88;
constexpr size_t Hosts = 6;
constexpr uint32_t Accounts = 16; // the first is the hot one
constexpr double UsualLoad = 0.8; // of all slots
constexpr Millis RequestTime{1000};
constexpr Millis Tick{10};
constexpr Millis PollInterval{250};
constexpr Millis DayTime{20000};
const Urgency Urgent{0, Millis(500), 0, 3};

struct Outcome {
    std::vector<Millis> waits; // for a slot, of requests of the ordinary accounts
    double hotShare = 0; // of all slots, used by the hot account
    double ordinaryShare = 0;
    Millis waitAt(double quantile)
    {
        std::sort(waits.begin(), waits.end());
        return waits[size_t(quantile * double(waits.size() - 1))];
    }
};

// Engines that admit by rank, and routers that poll one of several control hosts.
struct System {
    struct Request {
        size_t router;
        uint32_t account;
        uint32_t rank;
        Time at; // arrived, or ends
        bool farAbove;
    };
    std::vector<AccountLoad> routers{Routers};
    std::vector<SharedAccounts> hosts{Hosts};
    std::vector<std::deque<Request>> queues{Engines};
    std::vector<std::deque<Request>> running{Engines};
    std::vector<AccountKey> keys;
    std::mt19937 random{1};
    std::optional<size_t> lostHost;
    bool ranked = true;

    System()
    {
        for (uint32_t i = 0; i < Accounts; ++i)
            keys.push_back(accountKey(AccountId("a" + std::to_string(i))));
    }

    void arrive(uint32_t account, Time now)
    {
        const size_t router = random() % Routers;
        const uint32_t engine = uint32_t(random() % Engines);
        const AccountPosition position = routers[router].position(EndpointKey(engine), keys[account], Slots, now);
        const AdmissionStep step = admissionStep(Urgent, Millis(0), position.use());
        routers[router].started(EndpointKey(engine), keys[account], position.farAbove(), Slots);
        queues[engine].push_back({router, account, ranked ? admissionRank(Urgent, step) : 0, now, position.farAbove()});
    }

    void runEngines(Time now, Outcome &out)
    {
        for (uint32_t engine = 0; engine < Engines; ++engine) {
            std::deque<Request> &active = running[engine];
            for (; !active.empty() && active.front().at <= now; active.pop_front())
                routers[active.front().router].ended(EndpointKey(engine), keys[active.front().account], active.front().farAbove);
            std::deque<Request> &queue = queues[engine];
            std::stable_sort(queue.begin(), queue.end(), [](const Request &a, const Request &b) { return a.rank < b.rank; });
            for (; active.size() < Slots && !queue.empty(); queue.pop_front()) {
                Request it = queue.front();
                if (it.account != 0)
                    out.waits.push_back(now - it.at);
                it.at = now + RequestTime;
                active.push_back(it);
            }
            for (const Request &it : active)
                (it.account == 0 ? out.hotShare : out.ordinaryShare) += 1;
        }
    }

    void poll(Time now)
    {
        for (size_t i = 0; i < Routers; ++i) {
            if ((now.time_since_epoch() + Tick * i) % PollInterval >= Tick)
                continue;
            size_t host = i % Hosts;
            if (lostHost == host)
                host = (host + 1) % Hosts;
            const std::string name = std::to_string(i);
            hosts[host].setRouter(name, useOf(routers[i]), now);
            if (const std::optional<pb::AccountUse> others = hosts[host].ofOthers(name, now))
                routers[i].applyUse(*others, now);
        }
        if (now.time_since_epoch() % AccountUseInterval >= Tick)
            return;
        for (size_t from = 0; from < Hosts; ++from) {
            const std::optional<pb::AccountUse> use = hosts[from].ofRouters(now);
            for (size_t to = 0; use && from != lostHost && to < Hosts; ++to) {
                if (to != from)
                    hosts[to].setHost(std::to_string(from), *use, now);
            }
        }
    }

    // `hotFactor`: the hot account's load as a multiple of that of each other account.
    Outcome run(double hotFactor, std::optional<size_t> hostToLose = std::nullopt)
    {
        Outcome out;
        const double perTick = UsualLoad * Slots * Engines / Accounts * double(Tick.count()) / double(RequestTime.count());
        std::vector<double> due(Accounts);
        int ticks = 0;
        for (Time now = Now; now < Now + DayTime; now += Tick, ++ticks) {
            if (now >= Now + DayTime / 2)
                lostHost = hostToLose;
            for (uint32_t account = 0; account < Accounts; ++account) {
                const double rate = perTick * (account == 0 ? hotFactor : 1);
                std::poisson_distribution<int> arrivals(rate);
                for (int n = arrivals(random); n > 0; --n)
                    arrive(account, now);
            }
            runEngines(now, out);
            poll(now);
        }
        out.hotShare /= double(ticks) * Engines * Slots;
        out.ordinaryShare /= double(ticks) * Engines * Slots;
        return out;
    }
};

} // namespace

BOOST_DATA_TEST_CASE(slotsAreSharedMaxMinFairly, bdata::make(ShareRows), row)
{
    const std::optional<double> share = fairShare(row.requests, row.slots);
    BOOST_TEST(share.has_value() == row.expected.has_value());
    BOOST_TEST(share.value_or(0) == row.expected.value_or(0));
}

// Load pattern: one account at seven times its usual beside 15 ordinary ones, through 88 routers, on engines that then have a tenth too
// few slots. The ordinary accounts get the slots that they had, within their aim; the hot one gets the rest.
BOOST_AUTO_TEST_CASE(hotAccountTakesOnlyRoomThatNobodyElseAsksFor)
{
    Outcome usual = System().run(1);
    System unranked;
    unranked.ranked = false;
    Outcome byArrival = unranked.run(7);
    Outcome byShare = System().run(7);
    BOOST_TEST(byArrival.waitAt(0.5) > Urgent.aim);
    BOOST_TEST(byShare.waitAt(0.95) <= Urgent.aim);
    BOOST_TEST(byShare.ordinaryShare >= usual.ordinaryShare * 15 / 16);
    BOOST_TEST(byShare.hotShare + byShare.ordinaryShare >= byArrival.hotShare + byArrival.ordinaryShare - 0.01);
}

// A control host is lost under that load: its routers poll another one, and their requests count twice until its sum expires.
BOOST_AUTO_TEST_CASE(lossOfAControlHostKeepsTheShares)
{
    Outcome out = System().run(7, 2);
    BOOST_TEST(out.waitAt(0.95) <= Urgent.aim);
    BOOST_TEST(out.hotShare + out.ordinaryShare >= 0.95);
}

// A router that is frozen counts until its figures expire, and decides without those of others once these have expired.
BOOST_AUTO_TEST_CASE(figuresOfAFrozenRouterExpire)
{
    AccountLoad frozen;
    AccountLoad other;
    start(frozen, Hot, 10, 8);
    start(other, Calm, 3, 8);
    SharedAccounts host;
    host.setRouter("frozen", useOf(frozen), Now);
    host.setRouter("other", useOf(other), Now);
    frozen.applyUse(*host.ofOthers("frozen", Now), Now);
    other.applyUse(*host.ofOthers("other", Now), Now);
    BOOST_TEST(other.position(Engine, Hot, 8, Now).farAbove());
    BOOST_TEST(!other.position(Engine, Calm, 8, Now).farAbove());

    const Time woken = Now + EndpointUseTtl;
    host.setRouter("other", useOf(other), woken);
    BOOST_TEST(!host.ofOthers("other", woken).has_value());
    BOOST_TEST(!other.position(Engine, Hot, 8, woken).farAbove());
    BOOST_TEST(frozen.position(Engine, Calm, 8, woken).requests == 0);
    host.expire(woken);
    BOOST_TEST(host.ofRouters(woken)->endpoints_size() == 1);
}

// Only endpoints without a free slot are listed for routers, so that calm systems send next to nothing.
BOOST_AUTO_TEST_CASE(onlyFullEndpointsAreListed)
{
    AccountLoad one;
    AccountLoad other;
    start(one, Hot, 3, 8);
    start(other, Calm, 4, 8);
    SharedAccounts host;
    host.setRouter("one", useOf(one), Now);
    host.setRouter("other", useOf(other), Now);
    BOOST_TEST(host.ofOthers("one", Now)->endpoints_size() == 0);
    start(one, Hot, 1, 8);
    host.setRouter("one", useOf(one), Now);
    BOOST_TEST(host.ofOthers("one", Now)->endpoints_size() == 1);
}

// Requests far above a share fill an endpoint, but leave the shares as they are.
BOOST_AUTO_TEST_CASE(requestsFarAboveAShareDoNotCountInIt)
{
    AccountLoad load;
    start(load, Calm, 3, 8);
    for (int i = 0; i < 20; ++i)
        load.started(Engine, Hot, true, 8);
    BOOST_TEST(!load.position(Engine, Calm, 8, Now).farAbove());
    BOOST_TEST(!load.position(Engine, Hot, 8, Now).farAbove());
    start(load, Hot, 10, 8);
    BOOST_TEST(load.position(Engine, Hot, 8, Now).farAbove());
    for (int i = 0; i < 20; ++i)
        load.ended(Engine, Hot, true);
    BOOST_TEST(useOf(load).endpoints(0).accounts_size() == 2);
}

// A router that has ranked no request sends nothing, as before.
BOOST_AUTO_TEST_CASE(routersWithoutRankedRequestsTakeNoPart)
{
    pb::RouterState state;
    AccountLoad().addUse(state);
    BOOST_TEST(!state.has_account_use());
}

// Requests that end are no longer counted.
BOOST_AUTO_TEST_CASE(endedRequestsAreNotCounted)
{
    AccountLoad load;
    start(load, Hot, 2, 1);
    BOOST_TEST(load.position(Engine, Calm, 1, Now).share.has_value());
    load.ended(Engine, Hot, false);
    load.ended(Engine, Hot, false);
    load.ended(Engine, Hot, false);
    BOOST_TEST(!load.position(Engine, Calm, 1, Now).share.has_value());
    BOOST_TEST(useOf(load).endpoints_size() == 0);
}

// A request is refused only if the queues of all endpoints outlast its caller, and may then come back when they no longer do.
BOOST_DATA_TEST_CASE(queueThatOutlastsTheCallerIsRefused, bdata::make(WaitRows), row)
{
    const std::optional<Millis> delay = retryDelayForSlots(row.endpoints, SlotTime, Now + row.left, Now);
    BOOST_TEST(delay.has_value() == row.expected.has_value());
    BOOST_TEST(delay.value_or(Millis(0)).count() == row.expected.value_or(Millis(0)).count());
}

// Callers of streams leave before their deadline.
BOOST_AUTO_TEST_CASE(callersOfStreamsLeaveEarlier)
{
    Route route;
    route.abandonTimeout = Millis(2400);
    BOOST_TEST((callerLeavesAt(route, Now, Now + Millis(12000)) == Now + Millis(12000)));
    route.stream = true;
    BOOST_TEST((callerLeavesAt(route, Now, Now + Millis(12000)) == Now + Millis(2400)));
    BOOST_TEST((callerLeavesAt(route, Now, Now + Millis(1000)) == Now + Millis(1000)));
}

// The time for which requests use a slot is not known from a few of them.
BOOST_AUTO_TEST_CASE(slotTimeNeedsSomeAnswers)
{
    SlotTimes times;
    const ServiceId service("s");
    for (uint32_t i = 0; i < MinSlotTimes; ++i) {
        BOOST_TEST(!times.mean(service).has_value());
        times.record(service, SlotTime);
    }
    BOOST_TEST((times.mean(service) == SlotTime));
}

// Without a figure of the other routers, or with an old one, no endpoint is known to be full.
BOOST_AUTO_TEST_CASE(endpointIsFullOnlyByFreshFigures)
{
    AccountLoad one;
    AccountLoad other;
    start(one, Hot, 6, 8);
    start(other, Calm, 4, 8);
    BOOST_TEST(!one.full(Engine, Now).has_value());
    SharedAccounts host;
    host.setRouter("one", useOf(one), Now);
    host.setRouter("other", useOf(other), Now);
    one.applyUse(*host.ofOthers("one", Now), Now);
    BOOST_TEST(one.full(Engine, Now).value().requests == 10u);
    BOOST_TEST(!one.full(Engine, Now + EndpointUseTtl).has_value());
}
