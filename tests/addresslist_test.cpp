// Tests of the address list: which routers callers are told, and whether all of them are named.
#define BOOST_TEST_MODULE addresslist
#include "coordination/addresslist.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <map>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr size_t Most = 64; // addresses in one answer

std::vector<ListedRouter> routers(size_t sameZone, size_t others)
{
    std::vector<ListedRouter> all;
    for (size_t n = 0; n < sameZone + others; ++n)
        all.push_back({"r" + std::to_string(n), "a" + std::to_string(n), n < sameZone});
    return all;
}

struct ZoneRow {
    size_t sameZone;
    size_t others;
    size_t expected;
};
std::ostream &operator<<(std::ostream &os, const ZoneRow &row)
{
    return os << row.sameZone << " routers in the zone, " << row.others << " in others";
}
const ZoneRow ZoneRows[] = {{0, 0, 0}, {2, 9, 2}, {1, 9, 10}, {0, 9, 9}, {64, 9, 64}, {1, 100, 64}, {300, 0, 64}};

} // namespace

BOOST_DATA_TEST_CASE(zoneOfTheCallerIsPreferred, bdata::make(ZoneRows), row)
{
    const std::vector<std::string> list = addressList("r0", routers(row.sameZone, row.others), Most);
    BOOST_TEST(list.size() == row.expected);
    const std::vector<ListedRouter> all = routers(row.sameZone, row.others);
    if (row.sameZone >= 2) {
        for (const std::string &address : list)
            BOOST_TEST(std::find_if(all.begin(), all.end(), [&](const ListedRouter &it) { return it.address == address; })->sameZone);
    }
}

// Load pattern: more routers in a zone than one answer names. Guards against routers that no answer names: they were named in the order
// of their ids, so that all answers left out the same ones, and these got no callers.
BOOST_DATA_TEST_CASE(allRoutersAreNamedAboutEquallyOften, bdata::make({72, 100, 300}), count)
{
    std::map<std::string, size_t> named;
    for (int self = 0; self < count; ++self) {
        for (const std::string &it : addressList("r" + std::to_string(self), routers(size_t(count), 0), Most))
            ++named[it];
    }
    BOOST_TEST(named.size() == size_t(count));
    for (const std::pair<const std::string, size_t> &it : named) {
        BOOST_TEST(it.second > Most / 2);
        BOOST_TEST(it.second < Most * 2);
    }
}

// Guards against answers that change without need: callers give up their connections to routers that are not named again.
BOOST_AUTO_TEST_CASE(routerThatLeavesChangesOneAddress)
{
    std::vector<ListedRouter> left = routers(100, 0);
    const std::vector<std::string> before = addressList("r0", left, Most);
    std::reverse(left.begin(), left.end());
    left.erase(std::find_if(left.begin(), left.end(), [&](const ListedRouter &it) { return it.address == before.front(); }));
    const std::vector<std::string> after = addressList("r0", left, Most);
    BOOST_TEST(std::equal(before.begin() + 1, before.end(), after.begin()));
}
