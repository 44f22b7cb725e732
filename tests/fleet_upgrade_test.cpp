// Tests of hosts that are replaced in turn, as when a new build is rolled out. ROSERAIL_BUILD_BEFORE, a folder with the programs of an
// earlier build, makes the hosts start with these; without it they are replaced by the same build.
#define BOOST_TEST_MODULE fleet_upgrade
#include "fleet.h"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

using namespace roserail::test;

namespace
{

constexpr int FirstPort = 32000;
constexpr std::chrono::milliseconds InForceTime{2000}; // after its acknowledgement; the shortest that sites set

// Returns whether the version is acknowledged, and in force at the entry hosts in time.
bool changeConfiguration(Fleet &fleet, uint64_t version)
{
    const bool acknowledged = eventually([&] {
        const httplib::Result result = fleet.putConfiguration(int(version % 3) + 1, version);
        return result && result->status == 200;
    });
    const auto inForce = [&](int entry) {
        return fleet.entryDump(entry)["process"]["configuration"] == version;
    };
    return acknowledged && eventually([&] { return inForce(1) && inForce(2); }, InForceTime);
}

// Returns whether both entry hosts serve, and a stream that began at the first is continued at the second, by the same runner.
bool serve(Fleet &fleet, int round)
{
    const std::string id = fmt::format("round-{}", round);
    for (const int entry : {1, 2}) {
        const std::string begin = fmt::format("{}-{}", id, entry);
        const bool began = eventually([&] {
            const httplib::Result result = fleet.sendRequest(entry, "/e/events/2/", begin, "m1");
            return result && result->status == 200;
        });
        if (!began)
            return false;
    }
    const httplib::Result continued
        = fleet.sendRequest(2, "/e/events/5/", id + "-continues", "m1", {{"Last-Event-Id", "2"}, {"Resumes", id + "-1"}});
    return continued && continued->status == 200;
}

} // namespace

// Guards against hosts of two builds that do not understand each other: changes are acknowledged and in force, and requests are served,
// after each host has been replaced, and no process ends by itself.
BOOST_AUTO_TEST_CASE(hostsAreReplacedInTurn)
{
    const char *before = std::getenv("ROSERAIL_BUILD_BEFORE");
    Fleet fleet("upgrade", FirstPort);
    fleet.setBuild(before == nullptr ? "" : before);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    fleet.startRunner(1, "engines", "m1", true);
    fleet.startRunner(2, "engines", "m1", true);
    uint64_t version = 5;
    BOOST_REQUIRE(changeConfiguration(fleet, version));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 2));
    BOOST_REQUIRE(serve(fleet, 0));
    fleet.setBuild("");
    int round = 0;
    const auto check = [&] {
        BOOST_TEST(fleet.waitUntilReady({1, 2}));
        BOOST_TEST(fleet.waitForEndpoints({1, 2}, 2));
        BOOST_TEST(changeConfiguration(fleet, ++version));
        BOOST_TEST(serve(fleet, ++round));
        for (const char *name : {"keeper-1", "keeper-2", "keeper-3", "entry-1", "entry-2"})
            BOOST_TEST(fleet.running(name));
    };
    for (const int n : {1, 2, 3}) {
        fleet.kill(fmt::format("keeper-{}", n));
        fleet.startKeeper(n, false);
        check();
    }
    for (const int n : {1, 2}) {
        fleet.kill(fmt::format("entry-{}", n));
        fleet.startEntry(n);
        check();
    }
}
