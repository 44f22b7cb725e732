// Tests of planned stops of running processes: callers use a host until its process is gone, on open connections and new ones.
#define BOOST_TEST_MODULE fleet_stop
#include "fleet.h"
#include "fleetcaller.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 30000;
constexpr int GraceMs = 8000;
constexpr Ms StopDelay{300}; // requests are in progress when the signal comes

// Lets callers send to the first entry host until its process is gone; half of them keep their connections. The host gets SIGTERM
// meanwhile.
std::vector<Outcome> stopUnderLoad(Fleet &fleet, const Load &load)
{
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::atomic<bool> gone{false};
    std::vector<std::thread> threads;
    for (int n = 0; n < load.callers; ++n) {
        threads.emplace_back([&, n] {
            Caller caller(fleet.entryPort(1), n % 2 == 0);
            for (int i = 0; !gone; ++i) {
                if (!caller.connect()) {
                    std::this_thread::sleep_for(Ms(5));
                    continue;
                }
                const Outcome outcome = caller.send(load, fmt::format("{}-{}-{}", load.name, n, i));
                {
                    const std::lock_guard lock(mutex);
                    outcomes.push_back(outcome);
                }
                if (outcome.status == 503)
                    std::this_thread::sleep_for(RefusalPause);
            }
        });
    }
    std::this_thread::sleep_for(StopDelay);
    const Ms signalledAt = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch());
    fleet.signal("entry-1", SIGTERM);
    BOOST_TEST(fleet.wait("entry-1") == 0);
    const Ms endedAt = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch());
    gone = true;
    for (std::thread &it : threads)
        it.join();
    for (Outcome &it : outcomes)
        it.sentAt -= signalledAt;
    BOOST_TEST_MESSAGE(fmt::format("{}: ended after {} ms, {} requests", load.name, (endedAt - signalledAt).count(), outcomes.size()));
    BOOST_TEST((endedAt - signalledAt).count() < GraceMs);
    return outcomes;
}

const Load Loads[] = {
    {"short", "/u/pause/30/", "", 2500, 10, 0, true},
    {"longer", "/u/pause/220/", "", 2500, 10, 0, true},
    {"slow-body", "/u/pause/30/", "", 2500, 10, 80, true},
    // Endpoints that answer late or not at all: the host's own answer is due at the caller's deadline.
    {"silent-endpoint", "/u/pause/3000/", "", 2500, 10, 0, false},
    {"limit-of-the-route", "/u/pause/700/", "", 0, 10, 0, false},
    {"repeatable", "/r/pause/220/", "", 2500, 10, 0, true},
    {"stream", "/s/events/10/pause/60/", "m1", 3000, 6, 0, true},
};

} // namespace

// A request that a stopping entry host passed on to an endpoint was cut, without an answer, when the process ended.
BOOST_DATA_TEST_CASE(stoppingEntryHostCutsNoRequestThatItHasTaken, bdata::make(Loads) ^ bdata::xrange(std::size(Loads)), load, index)
{
    Fleet fleet("fleet-stop-load", FirstPort + 100 * int(index));
    fleet.setGrace(GraceMs);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    fleet.startEntry(1);
    fleet.startRunner(1, "engines", "m1", true);
    fleet.startRunner(2, "plain", "");
    fleet.startRunner(3, "plain", "");
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady({1}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1}, 3));
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.sendRequest(1, "/s/events/1/", "probe", "m1");
        return result && result->status == 200;
    }));
    const std::vector<Outcome> outcomes = stopUnderLoad(fleet, load);
    Json ran = Json::object();
    for (const int n : {1, 2, 3})
        ran.update(fleet.requestRecords(n));
    size_t served = 0;
    for (const Outcome &it : outcomes) {
        const bool hasRun = ran.count(it.id) != 0;
        const std::string text = fmt::format("{}: sent {} ms after the signal, ended {} ms later with status {}", it.id, it.sentAt.count(),
                                             it.sinceSent.count(), it.status);
        if (!it.answered)
            BOOST_TEST((!hasRun && it.sinceSent <= ReadSlack), "cut, " << text << (hasRun ? ", ran" : ", did not run"));
        if (it.answered && it.status == 503)
            BOOST_TEST(!hasRun, "refused as not run and run, " << text);
        served += it.answered && it.status == 200 && it.sentAt > Ms(0);
    }
    if (load.servedAfterSignal)
        BOOST_TEST(served > size_t(load.callers));
    BOOST_TEST(fleet.output("entry-1").find("event=request_cut") == std::string::npos);
    BOOST_TEST(fleet.output("entry-1").find("event=stopped") != std::string::npos);
}
