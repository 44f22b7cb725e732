// Tests of running processes that stand still for seconds: what they read when they go on was said long ago.
#define BOOST_TEST_MODULE fleet_pause
#include "fleet.h"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace roserail::test;

namespace
{

constexpr int FirstPort = 24200;
constexpr std::chrono::milliseconds PollTime{400}; // a router sends a poll within this time, and gives it up later
constexpr std::chrono::milliseconds WatchTime{3000};

// Returns the number of the control host that an entry host polls, by its log; 0: it has named none.
int controlHostOf(const Fleet &fleet, int entry)
{
    const std::string begin = "event=control_host host=127.0.0.";
    const std::string text = fleet.output("entry-" + std::to_string(entry));
    const size_t at = text.rfind(begin);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + begin.size()));
}

} // namespace

// A control host that had stood still listed a router again that had been lost meanwhile: it read the router's last poll, and took
// it for new.
BOOST_AUTO_TEST_CASE(lostRouterIsNotListedAgain)
{
    Fleet fleet("pause", FirstPort);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady({1, 2}));
    const std::string address = "127.0.0.1:" + std::to_string(fleet.entryPort(2));
    const auto listed = [&] {
        return fleet.resolve(1).dump().find(address) != std::string::npos;
    };
    BOOST_REQUIRE(eventually(listed));
    const int keeper = controlHostOf(fleet, 2);
    BOOST_REQUIRE(keeper != 0);
    const std::string process = "keeper-" + std::to_string(keeper);
    fleet.signal(process, SIGSTOP);
    std::this_thread::sleep_for(PollTime);
    fleet.signal("entry-2", SIGSTOP); // its connections stay open, as those of a host that has lost power
    BOOST_REQUIRE(eventually([&] { return !listed(); }));
    fleet.signal(process, SIGCONT);
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + WatchTime;
    int answers = 0;
    while (std::chrono::steady_clock::now() < end) {
        answers += listed() ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(answers == 0);
}
