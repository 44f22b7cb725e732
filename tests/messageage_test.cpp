// Tests of the ages of messages, by the clocks of their senders.
#define BOOST_TEST_MODULE messageage
#include "coordination/messageage.h"
#include "livestate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <vector>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

struct Message {
    uint64_t incarnation;
    uint64_t sentAtMs; // by the sender's clock
    int receivedAtMs; // from `Now`
    int expectedAgeMs;
};

struct Row {
    const char *name;
    std::vector<Message> messages; // of one sender
};
std::ostream &operator<<(std::ostream &os, const Row &row)
{
    return os << row.name;
}

const Row Rows[] = {
    {"all take the same time", {{1, 500, 0, 0}, {1, 750, 250, 0}, {1, 1000, 500, 0}}},
    {"the receiver stood still", {{1, 500, 0, 0}, {1, 750, 20250, 15950}, {1, 21000, 20500, 0}}},
    {"the sender stood still before it sent", {{1, 500, 0, 0}, {1, 600, 9100, 7180}}},
    {"the first message was slow", {{1, 500, 300, 0}, {1, 750, 250, 0}, {1, 1000, 800, 200}}},
    {"the sender restarted on a host that restarted", {{1, 500000, 0, 0}, {2, 40, 3000, 0}, {2, 290, 3350, 30}}},
    {"an earlier process's message comes late", {{2, 900, 0, 0}, {1, 500000, 10, 0}, {2, 1000, 100, 0}}},
    {"the sender states no time", {{1, 500, 0, 0}, {1, 0, 250, 0}}},
    {"no time at all", {{1, 500, 0, 0}, {1, ~0ull, 250, 0}}},
};

} // namespace

// Load pattern: a control host stands still and reads what routers and control hosts have sent to it meanwhile.
BOOST_DATA_TEST_CASE(timeOnTheWayIsPartOfTheAge, bdata::make(Rows), row)
{
    MessageAges ages;
    for (const Message &it : row.messages)
        BOOST_TEST(ages.age("r1", it.incarnation, it.sentAtMs, Now + Millis(it.receivedAtMs)).count() == it.expectedAgeMs);
}

// Guards against ages that grow for days: the sender's clock is slower by 200 millionths.
BOOST_AUTO_TEST_CASE(driftOfClocksIsNotAnAge)
{
    MessageAges ages;
    for (int64_t ms = 0; ms < 200'000'000; ms += 250)
        BOOST_REQUIRE(ages.age("r1", 1, uint64_t(500 + ms - ms / 5000), Now + Millis(ms)).count() <= 1);
}

// Guards against a host that stays old for all others because its clock did not run while it was suspended.
BOOST_AUTO_TEST_CASE(suspensionThatTheSenderDidNotCountIsForgotten)
{
    MessageAges ages;
    ages.age("r1", 1, 500, Now);
    Millis age{0};
    for (int64_t ms = 250; ms <= 60000; ms += 250)
        age = ages.age("r1", 1, uint64_t(500 + ms), Now + Millis(10000 + ms));
    BOOST_TEST(age.count() == 0);
}

// Guards against memory that grows with the names that anybody states.
BOOST_AUTO_TEST_CASE(inventedSendersAreForgotten)
{
    MessageAges ages;
    for (int n = 0; n < 20000; ++n)
        BOOST_TEST(ages.age(std::to_string(n), 1, 500, Now).count() == 0);
    BOOST_TEST(ages.senders() <= 4096u);
}
