// Test of planned work that comes in series and overlaps, as operators do it: stops, restarts, reloads, changes of the configuration,
// endpoints that leave and join. Callers use open connections until the process is gone. ROSERAIL_ROLLING_SEED selects the plan;
// ROSERAIL_ROLLING_BUILD, a folder with the programs of another build, makes the hosts use these.
#define BOOST_TEST_MODULE fleet_rolling
#include "fleet.h"
#include "fleetcaller.h"
#include "rollingplan.h"

#include <algorithm>
#include <atomic>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/ranges.h>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

using namespace roserail::test;

namespace
{

constexpr int FirstPort = 20000;
constexpr uint32_t DefaultSeed = 1;
constexpr Ms LateStream{3000}; // a stream that was sent until this time after the signal may last until the end of the grace period
constexpr Ms InForceTime{2000}; // of an acknowledged configuration
constexpr int EngineRunners = 3;
constexpr int CallersPerLoad = 4;
constexpr Ms ListAges[] = {Ms(1500), Ms(4500), Ms(12000)}; // callers use an address list for this long
constexpr Ms Tick{5};

const Load Loads[] = {
    {"short", "/u/pause/30/", "", 2500, CallersPerLoad, 0, true},
    {"no-deadline", "/u/pause/220/", "", 0, CallersPerLoad, 0, true},
    {"chunked", "/u/pause/30/", "", 2500, CallersPerLoad, 80, true},
    {"chunked-slow", "/u/pause/220/", "", 0, CallersPerLoad, 400, true},
    {"silent", "/u/pause/3000/", "", 2500, CallersPerLoad, 0, false},
    {"repeatable", "/r/pause/220/", "", 2500, CallersPerLoad, 0, true},
    {"get", "/r/pause/60/", "", 2500, CallersPerLoad, 0, true, "GET"},
    {"stream", "/s/events/10/pause/60/", "m1", 3000, CallersPerLoad, 0, true},
    {"long-stream", "/s/events/30/pause/100/", "m1", 6000, CallersPerLoad, 0, true},
};

Ms now()
{
    return std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch());
}

struct RequestOutcome {
    const Load *load = nullptr;
    int entry = 0;
    Outcome outcome;
};

struct StopRecord {
    std::string process;
    Ms signalledAt{0};
    Ms endedAt{0}; // 0: it has not ended
};

class RollingSystem : public Fleet
{
public:
    RollingSystem()
        : Fleet("fleet-rolling", FirstPort)
    {
        const char *build = std::getenv("ROSERAIL_ROLLING_BUILD");
        setBuild(build == nullptr ? "" : build);
        setGrace(int(Grace.count()));
        for (int n = 1; n <= KeeperHosts; ++n)
            startKeeper(n, true);
        for (int n = 1; n <= HostCount; ++n)
            startEntry(n);
        for (int n = 1; n <= FirstRunners; ++n)
            startRunner(n, n <= EngineRunners ? "engines" : "plain", n <= EngineRunners ? "m1" : "", true);
        BOOST_REQUIRE(eventually([&] { return configure(); }));
        BOOST_REQUIRE(waitUntilReady(entries()) && waitForEndpoints(entries(), FirstRunners));
        BOOST_REQUIRE(eventually([&] { return leader() != 0 && resolve(1).value("addresses", Json::array()).size() == HostCount; }));
        for (const int n : entries()) {
            BOOST_REQUIRE(eventually([&] {
                const httplib::Result result = sendRequest(n, "/s/events/1/", "probe", "m1");
                return result && result->status == 200;
            }));
        }
    }
    static std::vector<int> entries()
    {
        return {1, 2, 3, 4};
    }
    // Carries out the plan while callers send.
    void run(const std::vector<Step> &steps)
    {
        for (size_t i = 0; i < std::size(Loads) * CallersPerLoad; ++i)
            m_callers.emplace_back([this, i] { call(int(i)); });
        std::thread operatorThread([this] {
            while (!m_gone || m_wanted > m_acknowledged) {
                if (m_wanted > m_acknowledged)
                    configure();
                std::this_thread::sleep_for(Tick);
            }
        });
        const Ms start = now();
        size_t next = 0;
        while (next < steps.size()
               || std::any_of(m_stops.begin(), m_stops.end(), [](const StopRecord &it) { return it.endedAt == Ms(0); })) {
            for (; next < steps.size() && start + steps[next].at <= now(); ++next)
                carryOut(steps[next]);
            for (size_t i = 0; i < m_stops.size(); ++i)
                finishStop(m_stops[i]);
            std::this_thread::sleep_for(Tick);
        }
        BOOST_TEST(waitUntilReady(entries()));
        m_gone = true;
        for (std::thread &it : m_callers)
            it.join();
        operatorThread.join();
    }
    void checkRequests();
    void checkConfiguration()
    {
        const uint64_t version = m_acknowledged;
        const auto inForce = [&](int n) {
            return entryDump(n)["process"]["configuration"] == version;
        };
        for (const int n : entries())
            BOOST_TEST(eventually([&] { return inForce(n); }, InForceTime), fmt::format("version {} is not in force at {}", version, n));
        for (int n = 1; n <= KeeperHosts; ++n) {
            const httplib::Result read = getConfiguration(n);
            BOOST_TEST((read && read->status == 200 && Json::parse(read->body).value("version", uint64_t(0)) == version));
        }
    }

private:
    // Sends the newest version to the control hosts in turn. Returns whether it is acknowledged.
    bool configure()
    {
        const uint64_t version = m_wanted;
        for (int n = 1; n <= KeeperHosts && m_acknowledged < version; ++n) {
            const httplib::Result result = putConfiguration(n, version, version % 2 == 0 ? 8000 : 9000);
            if (result && result->status == 200)
                m_acknowledged = version;
        }
        return m_acknowledged == version;
    }
    void carryOut(const Step &step)
    {
        std::string process = step.process;
        if (step.work == Work::StopLeader)
            process = fmt::format("keeper-{}", leader());
        const bool stopping = std::any_of(m_stops.begin(), m_stops.end(),
                                          [&](const StopRecord &it) { return it.endedAt == Ms(0) && it.process == process; });
        BOOST_TEST_MESSAGE(fmt::format("{} ms: work {} {}{}", step.at.count(), int(step.work), process, stopping ? ", is stopping" : ""));
        if (step.work == Work::Configure)
            ++m_wanted;
        else if (step.work == Work::Join)
            startRunner(++m_lastRunner, "plain", "", true);
        else if (!stopping)
            signal(process, step.work == Work::Reload ? SIGHUP : SIGTERM);
        if (!stopping && (step.work == Work::Stop || step.work == Work::StopLeader))
            m_stops.push_back({process, now()});
    }
    // Starts a stopped host again when it has ended.
    void finishStop(StopRecord &stop)
    {
        const bool isRunner = stop.process.starts_with("runner-");
        const bool late = now() - stop.signalledAt > (isRunner ? Grace * 2 : Grace);
        if (stop.endedAt != Ms(0) || (!hasEnded(stop.process) && !late))
            return;
        BOOST_TEST(!late, stop.process << " has not ended before its grace period");
        stop.endedAt = now();
        BOOST_TEST_MESSAGE(fmt::format("{} ended after {} ms", stop.process, (now() - stop.signalledAt).count()));
        if (late)
            kill(stop.process);
        else
            BOOST_TEST(wait(stop.process) == 0, stop.process);
        const int n = std::stoi(stop.process.substr(stop.process.find('-') + 1));
        if (isRunner)
            addRuns(Json::parse(output(stop.process)));
        else if (stop.process.starts_with("keeper-"))
            startKeeper(n, false);
        else
            startEntry(n);
    }
    void addRuns(const Json &records)
    {
        for (const auto &it : records.items())
            m_runs[it.key()] += it.value().value("runs", 0);
    }
    // Sends requests of one load until the plan is carried out.
    void call(int index)
    {
        const Load &load = Loads[size_t(index) % std::size(Loads)];
        const size_t round = size_t(index) / std::size(Loads);
        const bool keeps = round % 2 == 0;
        const Ms listAge = ListAges[(size_t(index) + round) % std::size(ListAges)];
        std::mt19937 random(uint32_t(index) + 1);
        std::vector<int> ports;
        Ms listEnds{0};
        int entry = 0;
        std::optional<Caller> caller;
        for (int i = 0; !m_gone; ++i) {
            // Callers that keep connections stay at their host until it refuses them.
            if (!caller || !keeps || !caller->connect()) {
                if (ports.empty() || now() > listEnds) {
                    const Json list = resolve(draw(random, 1, HostCount));
                    listEnds = now() + listAge;
                    if (list.is_object()) {
                        ports.clear();
                        for (const Json &it : list["addresses"])
                            ports.push_back(std::stoi(it.get<std::string>().substr(it.get<std::string>().find(':') + 1)));
                    }
                }
                if (ports.empty())
                    continue;
                const size_t at = size_t(draw(random, 0, int(ports.size()) - 1));
                entry = ports[at] - entryPort(0);
                caller.emplace(ports[at], keeps);
                if (!caller->connect()) {
                    ports.erase(ports.begin() + long(at));
                    continue;
                }
            }
            const Outcome outcome = caller->send(load, fmt::format("{}-{}-{}", load.name, index, i));
            {
                const std::lock_guard lock(m_mutex);
                m_outcomes.push_back({&load, entry, outcome});
            }
            if (outcome.status == 503)
                std::this_thread::sleep_for(RefusalPause);
        }
    }
    // Returns the last stop of the entry process that was signalled before the request ended, if any.
    const StopRecord *stopBefore(const RequestOutcome &request) const
    {
        const StopRecord *found = nullptr;
        for (const StopRecord &it : m_stops) {
            if (it.process == fmt::format("entry-{}", request.entry)
                && it.signalledAt <= request.outcome.sentAt + request.outcome.sinceSent)
                found = &it;
        }
        return found;
    }
    // Returns whether a stream may be cut: it lasts until the last sixth of the grace period.
    bool mayBeCut(const RequestOutcome &request) const
    {
        const StopRecord *stop = stopBefore(request);
        const Ms endedAt = request.outcome.sentAt + request.outcome.sinceSent;
        return stop != nullptr && !std::string(request.load->model).empty() && request.outcome.sentAt <= stop->signalledAt + LateStream
            && endedAt >= stop->signalledAt + Grace * 5 / 6 && endedAt <= stop->signalledAt + Grace;
    }

    std::atomic<bool> m_gone{false};
    std::atomic<uint64_t> m_wanted{5}; // version of the configuration
    std::atomic<uint64_t> m_acknowledged{0};
    std::mutex m_mutex; // of m_outcomes
    std::vector<RequestOutcome> m_outcomes;
    std::vector<StopRecord> m_stops;
    std::map<std::string, int> m_runs; // by id of the request
    std::vector<std::thread> m_callers;
    int m_lastRunner = FirstRunners;
};

void RollingSystem::checkRequests()
{
    for (int n = 1; n <= m_lastRunner; ++n) {
        if (started(fmt::format("runner-{}", n)))
            addRuns(requestRecords(n));
    }
    std::map<unsigned, int> statuses; // 0: no whole answer
    std::set<std::string> excused;
    size_t afterSignal = 0; // answered by hosts that were stopping when they were sent
    for (const RequestOutcome &it : m_outcomes) {
        const Outcome &outcome = it.outcome;
        const int runs = m_runs[outcome.id];
        const StopRecord *stop = stopBefore(it);
        const std::string text = fmt::format("{} at entry-{}: sent {} ms after its signal, ended {} ms later with status {}, runs {}",
                                             outcome.id, it.entry, stop == nullptr ? -1 : (outcome.sentAt - stop->signalledAt).count(),
                                             outcome.sinceSent.count(), outcome.status, runs);
        afterSignal += stop != nullptr && outcome.answered && outcome.sentAt > stop->signalledAt && outcome.sentAt < stop->endedAt;
        ++statuses[outcome.answered ? outcome.status : 0];
        const bool mayEnd = runs == 0 && outcome.sinceSent <= ReadSlack;
        if (!outcome.answered && mayBeCut(it))
            excused.insert(outcome.id);
        else if (!outcome.answered)
            BOOST_TEST(mayEnd, "cut, " << text);
        if (outcome.answered && (outcome.status == 503 || outcome.status == 429))
            BOOST_TEST(runs == 0, "refused as not run and run, " << text);
        if (it.load->path.starts_with("/u/"))
            BOOST_TEST(runs <= 1, "run more than once, " << text);
    }
    for (const int n : entries()) {
        std::istringstream log(output(fmt::format("entry-{}", n)));
        for (std::string line; std::getline(log, line);) {
            const size_t at = line.find(" id=");
            if (line.find("event=request_cut ") != std::string::npos)
                BOOST_TEST((at != std::string::npos && excused.count(line.substr(at + 4, line.find(' ', at + 4) - at - 4)) != 0), line);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("{} requests, by status {}, {} answered after a signal, {} excused", m_outcomes.size(), statuses,
                                   afterSignal, excused.size()));
    BOOST_TEST(afterSignal > std::size(Loads) * CallersPerLoad);
    BOOST_TEST(statuses[200] > int(m_outcomes.size()) / 2);
}

} // namespace

// Guards against requests that are cut, or run twice, while hosts are stopped and started again one after the other.
BOOST_AUTO_TEST_CASE(plannedWorkInSeriesCutsNoRequest)
{
    const char *text = std::getenv("ROSERAIL_ROLLING_SEED");
    const uint32_t seed = text == nullptr ? DefaultSeed : uint32_t(std::stoul(text));
    BOOST_TEST_MESSAGE(fmt::format("seed {}", seed));
    RollingSystem system;
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        system.run(Plan(seed).steps());
        system.checkRequests();
        system.checkConfiguration();
    }
}
