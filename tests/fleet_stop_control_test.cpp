// Tests of control hosts that are stopped while operators and runners go on sending calls to them.
#define BOOST_TEST_MODULE fleet_stop_control
#include "fleet.h"
#include "rawcaller.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <set>
#include <thread>

using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 27500;
constexpr Millis Grace{4000}; // Fleet's setting
constexpr uint64_t FirstVersion = 100;

std::string heartbeatText(const std::string &runner, int sequence)
{
    const Json body{{"service", "plain"}, {"address", "127.0.0.1:1"}, {"zone", "z1"},         {"version", "v1"}, {"slots", 4},
                    {"state", "ready"},   {"cold_remaining_ms", 0},   {"sequence", sequence}, {"born", 1},       {"models", Json::array()}};
    return requestText("PUT", fmt::format("/api/instances/{}", runner), body.dump());
}

// Three control hosts with a disk and a configuration.
struct ControlSystem : Fleet {
    ControlSystem()
        : Fleet("stopcontrol", FirstPort)
    {
        for (const int n : {1, 2, 3})
            startKeeper(n, true);
        BOOST_REQUIRE(eventually([&] {
            const httplib::Result put = putConfiguration(1, FirstVersion);
            return put && put->status == 200;
        }));
        BOOST_REQUIRE(eventually([&] { return leadingHost() != 0 && memberCount() == 3; }));
    }
    static std::string address(int keeper)
    {
        return fmt::format("127.0.0.{}", keeper);
    }
    static int port()
    {
        return FirstPort + 1;
    }
    int leadingHost()
    {
        for (const int n : {1, 2, 3}) {
            const Json dump = keeperDump(n);
            if (dump.is_object() && dump["process"].value("leads", false))
                return n;
        }
        return 0;
    }
    // Returns how many control hosts hold the leader's log.
    int memberCount()
    {
        const Json leading = keeperDump(leadingHost());
        int n = 0;
        for (const int it : {1, 2, 3}) {
            const Json dump = keeperDump(it);
            n += dump.is_object() && dump["process"].value("committed", 0) >= leading["process"].value("committed", 1) ? 1 : 0;
        }
        return n;
    }
    // Returns the runners that a control host lists, and whether each is gone.
    std::map<std::string, bool> runnersAt(int keeper)
    {
        std::map<std::string, bool> runners;
        const Json dump = keeperDump(keeper);
        if (dump.is_object() && dump["live"].contains("endpoints")) {
            for (const Json &it : dump["live"]["endpoints"])
                runners[it.value("endpoint", "")] = it.value("gone", false);
        }
        return runners;
    }
    uint64_t versionAt(int keeper)
    {
        const httplib::Result read = getConfiguration(keeper);
        return read && read->status == 200 ? Json::parse(read->body).value("version", uint64_t(0)) : 0;
    }
};

// Operators and runners that send calls to one control host until it refuses connections.
class Senders
{
public:
    Senders(int keeper, int threads)
        : m_keeper(keeper)
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    // Waits until the host has refused a connection of each sender.
    void join()
    {
        for (std::thread &it : m_threads)
            it.join();
    }
    std::atomic<uint64_t> acknowledged{0}; // highest version
    std::atomic<int> answered{0};
    std::atomic<int> unread{0};
    std::atomic<int> cut{0};
    std::atomic<int> others{0}; // answers that are neither a success, nor a redirect, nor 503
    std::string cuts; // after join()

private:
    void run(int i)
    {
        Connection connection(ControlSystem::address(m_keeper), ControlSystem::port());
        const bool keep = i % 2 == 0;
        const bool slow = i % 4 >= 2;
        for (int round = 0;; ++round) {
            const int kind = (i / 4 + round) % 4;
            const uint64_t version = ++m_version;
            const CallResult result = connection.call(text(kind, i, round, version), slow);
            if (result.ending == Ending::NotSent && !connection.open())
                return;
            answered += result.ending == Ending::Answered ? 1 : 0;
            unread += result.ending == Ending::Unread ? 1 : 0;
            if (result.ending == Ending::Cut) {
                ++cut;
                const std::lock_guard lock(m_mutex);
                cuts += result.detail + "\n";
            }
            if (result.ending == Ending::Answered && result.status != 200 && result.status != 307 && result.status != 503)
                ++others;
            if (kind == 0 && result.status == 200) {
                uint64_t highest = acknowledged;
                while (highest < version && !acknowledged.compare_exchange_weak(highest, version)) { }
            }
            if (!keep)
                connection.close();
        }
    }
    static std::string text(int kind, int i, int round, uint64_t version)
    {
        if (kind == 0)
            return requestText("PUT", "/api/config", Fleet::configurationText(version));
        if (kind == 1)
            return requestText("GET", "/api/config", "");
        if (kind == 2)
            return heartbeatText(fmt::format("r-{}", i), round + 1);
        return requestText("DELETE", fmt::format("/api/instances/r-{}", i), "");
    }

    int m_keeper;
    std::atomic<uint64_t> m_version{FirstVersion};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
};

struct StopCase {
    const char *name;
    bool leader;
};
std::ostream &operator<<(std::ostream &out, const StopCase &it)
{
    return out << it.name;
}
const std::vector<StopCase> StopCases{{"leader", true}, {"follower", false}};

} // namespace

// Guards against a stopped control host that cuts calls which it has read or is reading: the sender of a configuration doesn't
// know whether it is in force.
BOOST_DATA_TEST_CASE(stoppedControlHostAnswersAllCallsThatItReads, bdata::make(StopCases), stopCase)
{
    ControlSystem system;
    const int leader = system.leadingHost();
    const int stopped = stopCase.leader ? leader : leader % 3 + 1;
    const int other = stopped % 3 + 1;
    const std::string process = fmt::format("keeper-{}", stopped);
    Senders senders(stopped, 16);
    std::this_thread::sleep_for(Millis(1500));
    const Clock::time_point signalledAt = Clock::now();
    system.signal(process, SIGTERM);
    BOOST_TEST(system.wait(process) == 0);
    const Millis stopTime = std::chrono::duration_cast<Millis>(Clock::now() - signalledAt);
    senders.join();
    BOOST_TEST_MESSAGE(fmt::format("{}: answered {}, unread {}, cut {}, stopped after {} ms, acknowledged {}", stopCase.name,
                                   senders.answered.load(), senders.unread.load(), senders.cut.load(), stopTime.count(),
                                   senders.acknowledged.load()));
    BOOST_TEST(senders.cut == 0, senders.cuts);
    BOOST_TEST(senders.others == 0);
    BOOST_TEST(senders.answered > 100);
    BOOST_TEST(stopTime.count() < Grace.count());
    // What was acknowledged is in force, and is acknowledged again.
    const uint64_t acknowledged = stopCase.leader ? senders.acknowledged.load() : FirstVersion;
    BOOST_TEST(acknowledged >= FirstVersion + (stopCase.leader ? 1 : 0));
    BOOST_TEST(eventually([&] { return system.versionAt(other) >= acknowledged; }));
    const httplib::Result again = system.putConfiguration(other, acknowledged);
    BOOST_TEST((again && again->status == 200));
}

// Guards against a leader that stops while a configuration can't be committed and cuts its sender, instead of asking for the same
// configuration again.
BOOST_AUTO_TEST_CASE(configurationWithoutAMajorityIsAnsweredAtAStop)
{
    ControlSystem system;
    const int leader = system.leadingHost();
    const std::vector<int> others{leader % 3 + 1, (leader + 1) % 3 + 1};
    for (const int n : others)
        system.signal(fmt::format("keeper-{}", n), SIGSTOP);
    Connection connection(ControlSystem::address(leader), ControlSystem::port());
    CallResult result;
    std::thread sender(
        [&] { result = connection.call(requestText("PUT", "/api/config", Fleet::configurationText(FirstVersion + 1)), false); });
    std::this_thread::sleep_for(Millis(100));
    const Clock::time_point signalledAt = Clock::now();
    const std::string process = fmt::format("keeper-{}", leader);
    system.signal(process, SIGTERM);
    BOOST_TEST(system.wait(process) == 0);
    const Millis stopTime = std::chrono::duration_cast<Millis>(Clock::now() - signalledAt);
    sender.join();
    BOOST_TEST_MESSAGE(fmt::format("status {}, stopped after {} ms, {}{}", result.status, stopTime.count(), result.detail, result.body));
    BOOST_TEST(int(result.ending) == int(Ending::Answered), result.detail);
    BOOST_TEST(result.status == 503);
    BOOST_TEST(result.body.find("send the same configuration again") != std::string::npos, result.body);
    BOOST_TEST(stopTime.count() < Grace.count());
    for (const int n : others)
        system.signal(fmt::format("keeper-{}", n), SIGCONT);
    BOOST_TEST(eventually([&] {
        const httplib::Result again = system.putConfiguration(others[0], FirstVersion + 1);
        return again && again->status == 200 && system.versionAt(others[1]) == FirstVersion + 1;
    }));
}

// Guards against a control host that acknowledges a runner's end and then stops before the other control hosts know it: entry hosts
// would go on sending requests to the runner.
BOOST_AUTO_TEST_CASE(withdrawalAcknowledgedByAStoppingControlHostIsKnownToTheOthers)
{
    constexpr int runnerCount = 400;
    ControlSystem system;
    const int stopped = system.leadingHost() % 3 + 1;
    const std::vector<int> others{stopped % 3 + 1, (stopped + 1) % 3 + 1};
    Connection connection(ControlSystem::address(stopped), ControlSystem::port());
    for (int n = 0; n < runnerCount; ++n)
        BOOST_REQUIRE(connection.call(heartbeatText(fmt::format("r-{}", n), 1), false).status == 200);
    BOOST_REQUIRE(eventually([&] {
        return std::all_of(others.begin(), others.end(), [&](int n) { return system.runnersAt(n).size() == size_t(runnerCount); });
    }));
    const std::string process = fmt::format("keeper-{}", stopped);
    std::thread stop([&] {
        std::this_thread::sleep_for(Millis(100));
        system.signal(process, SIGTERM);
    });
    std::set<std::string> acknowledged;
    for (int n = 0; n < runnerCount && connection.open(); ++n) {
        const std::string runner = fmt::format("r-{}", n);
        if (connection.call(requestText("DELETE", fmt::format("/api/instances/{}", runner), ""), false).status == 200)
            acknowledged.insert(runner);
        std::this_thread::sleep_for(Millis(1));
    }
    stop.join();
    BOOST_TEST(system.wait(process) == 0);
    BOOST_TEST(!acknowledged.empty());
    BOOST_TEST(acknowledged.size() < size_t(runnerCount));
    for (const int n : others) {
        const auto missing = [&] {
            const std::map<std::string, bool> runners = system.runnersAt(n);
            return std::count_if(acknowledged.begin(), acknowledged.end(), [&](const std::string &it) { return !runners.at(it); });
        };
        eventually([&] { return missing() == 0; }, Millis(2000));
        BOOST_TEST(missing() == 0,
                   fmt::format("{} of {} acknowledged withdrawals are unknown to another host", missing(), acknowledged.size()));
    }
}
