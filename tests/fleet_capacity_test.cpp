// Tests of what a running system sends to runners that state in their answers how much they take: a limit over all hosts,
// or that they end if they must refuse too much.
#define BOOST_TEST_MODULE fleet_capacity
#include "fleet.h"

#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace roserail::test;

namespace
{

constexpr int FirstPort = 31000;
constexpr int64_t LimitWindowMs = 4000;
constexpr std::chrono::milliseconds ToldTime{1000}; // after which all routers count as told
const std::vector<int> Entries{1, 2, 3, 4};

// Starts control hosts, entry hosts and plain runners, and waits until the entry hosts know all of them.
void startSystem(Fleet &fleet, int runners)
{
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : Entries)
        fleet.startEntry(n);
    for (int n = 1; n <= runners; ++n)
        fleet.startRunner(n, "plain", "");
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady(Entries));
    BOOST_REQUIRE(fleet.waitForEndpoints(Entries, size_t(runners)));
}

struct LoadResult {
    int sent = 0;
    int served = 0;
};

// Sends requests to all entry hosts for a while, each from `callers` callers that pause between two of them.
LoadResult sendLoad(Fleet &fleet, const std::string &path, int callers, std::chrono::milliseconds pause, std::chrono::milliseconds time)
{
    static std::atomic<int> number{0};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    std::vector<std::thread> threads;
    for (int n = 0; n < callers * int(Entries.size()); ++n) {
        threads.emplace_back([&, entry = Entries[size_t(n) % Entries.size()]] {
            while (std::chrono::steady_clock::now() < end) {
                const httplib::Result result = fleet.sendRequest(entry, path, "load-" + std::to_string(++number));
                ++sent;
                served += result && result->status == 200 ? 1 : 0;
                std::this_thread::sleep_for(pause);
            }
        });
    }
    for (std::thread &it : threads)
        it.join();
    return LoadResult{sent, served};
}

// Returns the most arrivals after `begin` in some LimitWindowMs.
size_t mostInOneWindow(const std::vector<int64_t> &arrivals, int64_t begin)
{
    size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), begin); first != arrivals.end(); ++first) {
        const auto last = std::lower_bound(first, arrivals.end(), *first + LimitWindowMs);
        most = std::max(most, size_t(last - first));
    }
    return most;
}

int64_t steadyMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace

// Guards against the incident LIMIT: a runner names the requests a second that it takes from all hosts together, and all
// hosts together go on sending more, although another runner has room.
BOOST_AUTO_TEST_CASE(runnerWithALimitGetsNoMoreFromAllRoutersTogether)
{
    constexpr double limit = 1.5;
    Fleet fleet("capacity-limit", FirstPort);
    startSystem(fleet, 2);
    BOOST_REQUIRE(fleet.sendToRunner(1, "/r/limit/1/1500/"));
    const int64_t begin = steadyMillis() + ToldTime.count();
    const LoadResult load = sendLoad(fleet, "/r/x", 1, std::chrono::milliseconds(60), std::chrono::milliseconds(9000));
    BOOST_TEST(load.sent > 300);
    BOOST_TEST(load.served == load.sent);
    const std::vector<int64_t> arrivals = fleet.arrivals(1);
    BOOST_TEST(mostInOneWindow(arrivals, begin) <= size_t(1.5 * limit * LimitWindowMs / 1000 + 5));
    BOOST_TEST(arrivals.back() > begin);
    // The runner names no limit any longer.
    BOOST_REQUIRE(fleet.sendToRunner(1, "/r/limit/1/0/"));
    const int64_t end = steadyMillis();
    sendLoad(fleet, "/r/x", 1, std::chrono::milliseconds(60), std::chrono::milliseconds(4000));
    BOOST_TEST(mostInOneWindow(fleet.arrivals(1), end) > 50u);
}

// Guards against brittle runners that fall one after the other, because each router sends them more than they have room for
// and goes on when they refuse it.
BOOST_AUTO_TEST_CASE(brittleRunnersAreNotMadeToRefuse)
{
    constexpr int runners = 3;
    constexpr int maxFallen = 2 + runners / 10; // by the platform's rules
    Fleet fleet("capacity-brittle", FirstPort + 100);
    startSystem(fleet, runners);
    for (int n = 1; n <= runners; ++n)
        BOOST_REQUIRE(fleet.sendToRunner(n, fmt::format("/r/brittle/{}/3/", n)));
    sendLoad(fleet, "/r/x", 1, std::chrono::milliseconds(50), ToldTime);
    sendLoad(fleet, "/r/pause/100/", 20, std::chrono::milliseconds(10), std::chrono::milliseconds(6000));
    int fallen = 0;
    for (int n = 1; n <= runners; ++n)
        fallen += fleet.running("runner-" + std::to_string(n)) ? 0 : 1;
    BOOST_TEST(fallen <= maxFallen);
    // Fewer requests than there is room for are served again.
    const LoadResult load = sendLoad(fleet, "/r/pause/20/", 1, std::chrono::milliseconds(100), std::chrono::milliseconds(2000));
    BOOST_TEST(load.sent > 40);
    BOOST_TEST(load.served == load.sent);
}
