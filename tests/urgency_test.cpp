// Tests of urgency: in which order endpoints admit requests of different urgency.
#define BOOST_TEST_MODULE urgency
#include "coordination/urgency.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

const Urgency Urgent{0, Millis(500), 0, 3};
const Urgency Medium{1, Millis(600), 1, 3};
const Urgency Patient{2, Millis(4000), 2, 3};

struct RankRow {
    Urgency urgency;
    Millis waited;
    ShareUse use;
    uint32_t expected;
};

std::ostream &operator<<(std::ostream &out, const RankRow &row)
{
    return out << "priority " << row.urgency.priority << " after " << row.waited.count() << " ms";
}

const RankRow RankRows[] = {
    {Urgent, Millis(0), ShareUse::Within, 0},
    {Urgent, Millis(500), ShareUse::Within, 1},
    {Urgent, Millis(500), ShareUse::FarAbove, 2},
    {Urgent, Millis(0), ShareUse::FarAbove, 2},
    {Medium, Millis(0), ShareUse::Within, 3},
    {Patient, Millis(3999), ShareUse::Within, 6},
    {Patient, Millis(4000), ShareUse::Within, 7},
    {Patient, Millis(0), ShareUse::FarAbove, 8},
    {Urgent, Millis(0), ShareUse::Above, 1},
    {Urgent, Millis(500), ShareUse::Above, 1},
    // More priorities than three steps of each have ranks for.
    {Urgency{7, Millis(500), 4, 5}, Millis(0), ShareUse::Within, 8},
    {Urgency{7, Millis(500), 4, 5}, Millis(0), ShareUse::FarAbove, 9},
    {Urgency{7, Millis(500), 3, 5}, Millis(0), ShareUse::FarAbove, 7},
    {Urgency{9, Millis(500), 9, 10}, Millis(0), ShareUse::FarAbove, 9},
    {Urgency{9, Millis(500), 8, 10}, Millis(0), ShareUse::FarAbove, 8},
    {Urgency{30, Millis(500), 20, 21}, Millis(0), ShareUse::Within, 9},
};

struct RouteRow {
    const char *description;
    bool accounts;
    uint32_t otherPriority;
    const char *otherService;
    bool expected;
};

std::ostream &operator<<(std::ostream &out, const RouteRow &row)
{
    return out << row.description;
}

const RouteRow RouteRows[] = {
    {"client accounts and routes of different priority", true, 2, "s", true},
    {"no client accounts", false, 2, "s", false},
    {"routes of the same priority", true, 0, "s", false},
    {"the other route leads to another service", true, 2, "t", false},
};

struct LevelRow {
    const char *description;
    std::optional<uint32_t> accountPriority; // of one account
    bool otherAccountHasPriority;
    uint32_t expectedLevel; // of a request with the account's priority
    uint32_t expectedLevels;
};

std::ostream &operator<<(std::ostream &out, const LevelRow &row)
{
    return out << row.description;
}

const LevelRow LevelRows[] = {
    {"the routes decide", std::nullopt, false, 0, 2},
    {"an account has a priority besides those of the routes", 4, false, 2, 3},
    {"an account has the priority of a route", 2, false, 1, 2},
    {"the accounts decide", 4, true, 0, 2},
};

struct LongestWaits {
    Millis urgent{0};
    Millis patient{0};
};

// Returns how long requests of each kind wait for a slot at most, at an engine whose slots are free again after a second. Each second an
// urgent request arrives after `patientPerRound` patient ones, or after one when the burst is over.
LongestWaits admitInRounds(uint32_t slots, uint32_t patientPerRound, uint32_t burstRounds, uint32_t rounds, bool byRank)
{
    struct Waiting {
        uint32_t rank;
        uint32_t arrivedAt; // round
        bool urgent;
    };
    std::vector<Waiting> queue;
    LongestWaits result;
    for (uint32_t round = 0; round < rounds; ++round) {
        for (uint32_t i = 0; i < (round < burstRounds ? patientPerRound : 1); ++i)
            queue.push_back({byRank ? admissionRank(Patient, AdmissionStep::InTime) : 0, round, false});
        queue.push_back({byRank ? admissionRank(Urgent, AdmissionStep::InTime) : 0, round, true});
        std::stable_sort(queue.begin(), queue.end(), [](const Waiting &a, const Waiting &b) { return a.rank < b.rank; });
        const size_t admitted = std::min<size_t>(slots, queue.size());
        for (size_t i = 0; i < admitted; ++i) {
            Millis &longest = queue[i].urgent ? result.urgent : result.patient;
            longest = std::max(longest, Millis(1000 * (round - queue[i].arrivedAt)));
        }
        queue.erase(queue.begin(), queue.begin() + long(admitted));
    }
    return result;
}

} // namespace

// A request past its aim is admitted after those of its kind that can still meet it, and one of an account far above its share after
// both, but before less urgent ones.
BOOST_DATA_TEST_CASE(lateRequestIsAdmittedAfterItsKind, bdata::make(RankRows), row)
{
    BOOST_TEST(admissionRank(row.urgency, admissionStep(row.urgency, row.waited, row.use)) == row.expected);
}

// Deployments without client accounts, or with routes of one priority, are served as before.
BOOST_DATA_TEST_CASE(configurationDecidesWhetherUrgencyCounts, bdata::make(RouteRows), row)
{
    RouteTable table;
    if (row.accounts)
        table.accounts.emplace();
    Route route;
    route.latencyTarget = Millis(500);
    route.services = {{ServiceId("s"), 1}};
    Route other = route;
    other.priority = row.otherPriority;
    other.services = {{ServiceId(row.otherService), 1}};
    table.routes = {route, other};
    BOOST_TEST(urgencyOf(table, route, ServiceId("s"), 0).has_value() == row.expected);
}

// Ranks are divided among the priorities that requests of the service may have.
BOOST_DATA_TEST_CASE(levelsAreThePrioritiesInUse, bdata::make(LevelRows), row)
{
    RouteTable table;
    table.accounts.emplace();
    Account account;
    account.id = AccountId("a");
    account.priority = row.accountPriority;
    Account other;
    other.id = AccountId("b");
    if (row.otherAccountHasPriority)
        other.priority = 7;
    BOOST_TEST(bool(table.accounts->add(account)));
    BOOST_TEST(bool(table.accounts->add(other)));
    Route route;
    route.latencyTarget = Millis(500);
    route.services = {{ServiceId("s"), 1}};
    Route patient = route;
    patient.priority = 2;
    table.routes = {route, patient};
    const std::optional<Urgency> urgency = urgencyOf(table, route, ServiceId("s"), row.accountPriority.value_or(0));
    BOOST_TEST_REQUIRE(urgency.has_value());
    BOOST_TEST(urgency->level == row.expectedLevel);
    BOOST_TEST(urgency->levels == row.expectedLevels);
}

// Load pattern: a burst of 2.4 times the patient requests that an engine can run beside the urgent ones. These don't wait behind it, and
// the patient ones lose no more than the slot that the urgent ones ask for.
BOOST_AUTO_TEST_CASE(urgentRequestsDoNotWaitBehindABurstOfThePatient)
{
    const LongestWaits byArrival = admitInRounds(6, 12, 3, 40, false);
    const LongestWaits byRank = admitInRounds(6, 12, 3, 40, true);
    BOOST_TEST(byArrival.urgent > Urgent.aim);
    BOOST_TEST(byRank.urgent <= Urgent.aim);
    BOOST_TEST(byRank.patient <= byArrival.patient + Millis(1000));
}
