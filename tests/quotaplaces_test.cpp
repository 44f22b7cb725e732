// Unit tests of what an account is granted while it stays over its limit: those that come back when told, bursts, and large requests.
// They use no network and no real clock.
#define BOOST_TEST_MODULE quotaplaces
#include "coordination/quotashare.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <queue>
#include <random>

using namespace roserail;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

const Time Start{Millis(1000000)};
const Time InOffice = Start + std::chrono::minutes(1);
const AccountId Hot("hot");

Accounts accounts(const Quota &quota)
{
    Accounts result;
    Account account;
    account.id = Hot;
    account.quota = quota;
    BOOST_REQUIRE(result.add(account).has_value());
    return result;
}

Quota tokens(double perSecond, double burst)
{
    return Quota{QuotaUnit::Token, perSecond, burst, 200};
}

// Callers of one account that send at `factor` times its rate, wait as long as they are told, but a third of their time at most, and
// come back once.
struct Callers {
    struct Caller {
        Time at{};
        double units = 0;
        Millis patience{0};
        Fingerprint request;
        bool returned = false;
        bool toldInTime = false;
        bool operator<(const Caller &other) const
        {
            return at > other.at;
        }
    };
    Callers(const Quota &callersQuota, bool known)
        : quota(callersQuota)
        , recognized(known)
        , leader(bounds)
    {
        leader.setAccounts(accounts(quota), Start);
    }
    void send(double factor, Millis length, double returningShare)
    {
        constexpr std::array<std::pair<double, int>, 4> kinds{{{862, 12000}, {862, 20000}, {2371, 3000}, {200, 3000}}};
        std::discrete_distribution<int> kind{42, 17, 11, 30};
        constexpr double meanUnits = 0.59 * 862 + 0.11 * 2371 + 0.3 * 200;
        std::poisson_distribution<int> arrivals(quota.perSecond * factor / meanUnits / 1000);
        for (Time now = InOffice; now < InOffice + length; now += Millis(1)) {
            for (int n = arrivals(random); n > 0; --n) {
                const std::pair<double, int> &it = kinds[size_t(kind(random))];
                ask({now, it.first, Millis(int64_t(it.second * MaxRetryAfterShare)), Fingerprint(++requests), false, false},
                    returningShare);
            }
            for (; !returning.empty() && returning.top().at <= now; returning.pop())
                ask(returning.top(), returningShare);
        }
    }
    void ask(Caller caller, double returningShare)
    {
        QuotaUse use{caller.units};
        if (recognized) {
            use.request = caller.request;
            use.longestWait = caller.returned ? Millis(0) : caller.patience;
        }
        const QuotaDecision decision = leader.ask(Hot, use, caller.at);
        BOOST_REQUIRE((decision.verdict != QuotaVerdict::Later));
        const bool granted = decision.verdict == QuotaVerdict::Granted;
        grantedUnits += granted ? caller.units : 0;
        grantedAtOnce += granted && !caller.returned ? caller.units : 0;
        cameWhenTold += caller.returned && caller.toldInTime ? 1 : 0;
        servedWhenTold += granted && caller.returned && caller.toldInTime ? 1 : 0;
        if (granted || caller.returned || !std::bernoulli_distribution(returningShare)(random))
            return;
        caller.returned = true;
        caller.toldInTime = decision.retryIn <= caller.patience;
        caller.at += std::min(decision.retryIn, caller.patience) + Millis(std::uniform_int_distribution<int>(2, 60)(random));
        returning.push(caller);
    }
    QuotaBounds bounds{Millis(8000), 0.1, 17000};
    Quota quota;
    bool recognized;
    QuotaAllocator leader;
    std::mt19937_64 random{7};
    std::priority_queue<Caller> returning;
    uint64_t requests = 0;
    double grantedUnits = 0;
    double grantedAtOnce = 0;
    size_t cameWhenTold = 0;
    size_t servedWhenTold = 0;
};

struct LoadRow {
    double perSecond;
    double burst;
    double factor; // of the rate
    double returningShare;
};
std::ostream &operator<<(std::ostream &os, const LoadRow &row)
{
    return os << row.factor << " times " << row.perSecond << "/s, " << row.returningShare << " come back";
}
const LoadRow LoadRows[] = {{340000, 340000, 4, 1},  {340000, 340000, 1.6, 1}, {91000, 91000, 4, 1},
                            {91000, 182000, 2, 0.3}, {7500, 7500, 4, 1},       {340000, 340000, 4, 0}};

} // namespace

// Load: an account stays over its limit for 20 s. Whoever was told to come back within the time that it can wait is served then; new
// requests still get half of the limit, and no use of it is lost to callers that stay away.
BOOST_DATA_TEST_CASE(whoComesBackWhenToldIsServedWhileTheAccountStaysOverItsLimit, bdata::make(LoadRows), row)
{
    Callers callers(tokens(row.perSecond, row.burst), true);
    callers.send(row.factor, Millis(20000), row.returningShare);
    BOOST_TEST_MESSAGE(row << ": " << callers.servedWhenTold << " of " << callers.cameWhenTold << " served when told, at once "
                           << callers.grantedAtOnce / callers.grantedUnits);
    if (row.returningShare > 0)
        BOOST_TEST(callers.cameWhenTold > 10u);
    BOOST_TEST(callers.servedWhenTold >= callers.cameWhenTold * 0.99);
    BOOST_TEST(callers.grantedAtOnce >= callers.grantedUnits * 0.45);
    BOOST_TEST(callers.grantedUnits >= (row.perSecond * 20 + row.burst) * 0.95);
    // The same callers, unrecognized, are often denied again.
    Callers unknown(tokens(row.perSecond, row.burst), false);
    unknown.send(row.factor, Millis(20000), row.returningShare);
    BOOST_TEST_MESSAGE("unrecognized: " << unknown.servedWhenTold << " of " << unknown.cameWhenTold);
}

// A caller whose turn would come later than it can wait takes no place, and is told so.
BOOST_AUTO_TEST_CASE(whoCanNotWaitTakesNoPlace)
{
    QuotaAllocator leader(QuotaBounds{});
    leader.setAccounts(accounts(tokens(1000, 1000)), Start);
    while (leader.ask(Hot, QuotaUse{500, false, Fingerprint(1)}, InOffice).verdict == QuotaVerdict::Granted) { }
    const QuotaAllocator::Bucket &bucket = leader.buckets().at(Hot);
    BOOST_TEST(bucket.places.size() == 0u);
    const QuotaDecision patient = leader.ask(Hot, QuotaUse{500, false, Fingerprint(2), Millis(4000)}, InOffice);
    BOOST_TEST(bucket.places.size() == 1u);
    const QuotaDecision impatient = leader.ask(Hot, QuotaUse{500, false, Fingerprint(3), Millis(1500)}, InOffice);
    BOOST_TEST(bucket.places.size() == 1u);
    BOOST_TEST((patient.verdict == QuotaVerdict::Denied && patient.retryIn <= Millis(4000)));
    BOOST_TEST((impatient.verdict == QuotaVerdict::Denied && impatient.retryIn > Millis(1500)));
    // Others can't take the place, before its time or then.
    const Time at = InOffice + patient.retryIn;
    BOOST_TEST((leader.ask(Hot, QuotaUse{500, false, Fingerprint(4)}, at - Millis(1)).verdict == QuotaVerdict::Granted)); // the other half
    BOOST_TEST((leader.ask(Hot, QuotaUse{500, false, Fingerprint(5)}, at).verdict == QuotaVerdict::Denied));
    BOOST_TEST((leader.ask(Hot, QuotaUse{500, false, Fingerprint(2)}, at).verdict == QuotaVerdict::Granted));
    BOOST_TEST((leader.ask(Hot, QuotaUse{500, false, Fingerprint(2)}, at).verdict == QuotaVerdict::Denied));
}

// Load: an account that sent little sends 1.6 times its rate for 6 s. Its burst is there for that.
BOOST_AUTO_TEST_CASE(wholeBurstServesAShortOverload)
{
    const Quota quota = tokens(100000, 400000);
    QuotaAllocator leader(QuotaBounds{});
    leader.setAccounts(accounts(quota), Start);
    size_t denied = 0;
    for (int64_t ms = 0; ms < 6000; ms += 5)
        denied += leader.ask(Hot, 800, false, InOffice + Millis(ms)).verdict != QuotaVerdict::Granted;
    BOOST_TEST(denied == 0u);
}

const double RequestUnits[] = {2500, 6000, 15000, 20000};

// Load: now and then an account sends one request as large as its burst, among small ones that alone stay within its rate.
BOOST_DATA_TEST_CASE(requestUpToTheBurstIsServed, bdata::make(RequestUnits), units)
{
    const Quota quota = tokens(1000, 20000);
    QuotaAllocator leader(QuotaBounds{});
    leader.setAccounts(accounts(quota), Start);
    QuotaStock stock(QuotaBounds{});
    stock.setAccounts(accounts(quota));
    BOOST_TEST(!stock.exceeds(Hot, units).has_value());
    BOOST_TEST((leader.ask(Hot, units, false, InOffice).verdict == QuotaVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(requestAboveEveryBurstIsToldSo)
{
    const Quota quota = tokens(1000, 20000);
    QuotaStock stock(QuotaBounds{});
    BOOST_TEST(!stock.exceeds(Hot, 1e9).has_value()); // the account is not known to be limited
    stock.setAccounts(accounts(quota));
    const std::optional<double> most = stock.exceeds(Hot, 50000);
    BOOST_REQUIRE(most.has_value());
    BOOST_TEST(*most >= quota.burst);
    BOOST_TEST(!stock.exceeds(Hot, *most).has_value());
}

// Load: a flood at one router. It asks for a few requests in each pause only.
BOOST_AUTO_TEST_CASE(floodIsNotAskedFor)
{
    QuotaStock stock(QuotaBounds{});
    stock.setAccounts(accounts(tokens(1000, 1000)));
    size_t asked = 0;
    for (int64_t ms = 0; ms < 2000; ++ms)
        asked += stock.mayAskAgain(Hot, Start + Millis(ms)) ? 1 : 0;
    BOOST_TEST(asked <= 10 * MaxQuotaAsksPerPause);
}
