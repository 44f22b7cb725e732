// Tests of a running system of control hosts, entry hosts and simulated runners, which discover each other through seeds.
#define BOOST_TEST_MODULE fleet_system
#include "fleet.h"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <sstream>
#include <thread>

using namespace roserail::test;

namespace
{

// First port of this file's systems; each test uses a range of its own.
constexpr int FirstPort = 26000;
constexpr std::chrono::milliseconds ConfigurationInForceTime{2000}; // after its acknowledgement; the shortest that sites set

// `copies`: models of which the first engine has copies; models without a copy are prefetched.
void startSystem(Fleet &fleet, const std::string &copies = "")
{
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    fleet.startRunner(1, "engines", "m1,m2", false, copies);
    fleet.startRunner(2, "engines", "m3");
    fleet.startRunner(3, "plain", "");
}

bool putVersion(Fleet &fleet, uint64_t version)
{
    return eventually([&] {
        const httplib::Result result = fleet.putConfiguration(int(version % 3) + 1, version);
        return result && result->status == 200;
    });
}

uint64_t versionAt(Fleet &fleet, int keeper)
{
    const httplib::Result result = fleet.getConfiguration(keeper);
    return result && result->status == 200 ? Json::parse(result->body)["version"].get<uint64_t>() : 0;
}

bool waitForAnswer(Fleet &fleet, int entry, const std::string &path, const std::string &model = "")
{
    static int n = 0;
    return eventually([&] {
        const httplib::Result result = fleet.sendRequest(entry, path, "probe-" + std::to_string(++n), model);
        return result && result->status == 200;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(requestsAreForwardedEndToEnd)
{
    Fleet fleet("fleet-path", FirstPort);
    startSystem(fleet);
    // Without a configuration an entry host answers 503, not run, never 404, unknown route.
    BOOST_TEST(eventually([&] {
        const httplib::Result early = fleet.sendRequest(1, "/u/x", "early");
        return early && early->status == 503;
    }));
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(eventually([&] { return fleet.resolve(1).value("addresses", Json::array()).size() == 2; }));
    BOOST_TEST(waitForAnswer(fleet, 1, "/u/x"));

    const httplib::Result plain = fleet.sendRequest(1, "/u/some/thing?q=1", "p1", "", {{"X-Custom", "kept"}, {"X-Hold", "forged"}});
    BOOST_REQUIRE(plain);
    BOOST_TEST(plain->status == 200);
    BOOST_TEST(plain->body == "plain answer of i-3");
    BOOST_TEST(plain->get_header_value("X-Server-Seal") == "seal-p1");
    BOOST_TEST(plain->get_header_value("X-Request-Id") == "p1");
    const Json record = fleet.requestRecord(3, "p1");
    BOOST_TEST(record["runs"] == 1);
    BOOST_TEST(record["body"] == "the body");
    BOOST_TEST(record["headers"]["X-Custom"] == "kept");
    BOOST_TEST(record["headers"].count("X-Hold") == 0u);
    BOOST_TEST(record["headers"]["X-Expect-Instance"] == "i-3");
    BOOST_TEST(std::stoi(record["headers"]["X-Deadline-Ms"].get<std::string>()) <= 5000);

    const httplib::Result stream = fleet.sendRequest(2, "/s/events/5/pause/20/", "s1", "m1");
    BOOST_REQUIRE(stream);
    BOOST_TEST(stream->status == 200);
    BOOST_TEST(stream->body.find("id: 5\n") != std::string::npos);
    BOOST_TEST(fleet.sendRequest(1, "/none/x", "n1")->status == 404);
}

// The log lines of a request can be found by its id, and contain the inputs of each decision and their age.
BOOST_AUTO_TEST_CASE(everyDecisionOfARequestIsInTheLog)
{
    Fleet fleet("fleet-log", FirstPort + 1100);
    startSystem(fleet, "m4,m5,m6");
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(waitForAnswer(fleet, 1, "/s/events/1/", "m1"));
    BOOST_TEST(fleet.waitForOrders());
    BOOST_TEST(fleet.sendRequest(1, "/s/events/2/pause/5/", "held", "m1")->status == 200);
    BOOST_TEST(fleet.sendRequest(1, "/s/events/2/pause/5/", "cold", "m5")->status == 200);
    const auto lines = [&](const std::string &event, const std::string &id) {
        std::vector<std::string> found;
        std::istringstream text(fleet.output("entry-1"));
        for (std::string line; std::getline(text, line);) {
            if (line.find(" event=" + event + " id=" + id + " ") != std::string::npos)
                found.push_back(line);
        }
        return found;
    };
    BOOST_TEST(lines("wait", "held").empty());
    BOOST_REQUIRE(lines("send", "held").size() == 1u);
    for (const char *field : {" endpoint=i-1 ", " candidates=1 ", " left_ms=", " known=", " known_age_ms="})
        BOOST_TEST(lines("send", "held").front().find(field) != std::string::npos, field);
    BOOST_REQUIRE(lines("wait", "cold").size() == 1u);
    BOOST_TEST(lines("wait", "cold").front().find(" model=m5 ") != std::string::npos);
    // The last line of a request follows its answer.
    BOOST_REQUIRE(eventually([&] { return lines("request", "cold").size() == 1u; }));
    BOOST_TEST(lines("request", "cold").front().find(" outcome=completed ") != std::string::npos);
    const std::string orders = fleet.output("keeper-1") + fleet.output("keeper-2") + fleet.output("keeper-3");
    const size_t order = orders.find(" event=order action=load endpoint=i-");
    BOOST_REQUIRE(order != std::string::npos);
    const std::string line = orders.substr(order, orders.find('\n', order) - order);
    for (const char *field : {" waiting=", " holders=", " used_mb=", " contents_age_ms=", " from_store="})
        BOOST_TEST(line.find(field) != std::string::npos, field);
}

// Each process returns its view of the system on request.
BOOST_AUTO_TEST_CASE(dumpShowsTheStateOfAProcess)
{
    Fleet fleet("fleet-dump", FirstPort + 1200);
    startSystem(fleet);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(eventually([&] { return fleet.entryDump(1)["live"].value("endpoints", Json::array()).size() == 3; }));
    const Json entry = fleet.entryDump(1);
    BOOST_TEST(entry["process"]["configuration"] == 5);
    BOOST_TEST(entry["process"]["ready"] == true);
    BOOST_TEST(entry["live"]["endpoints"][0].contains("age_ms"));
    // A majority has stored it when it is acknowledged; the others follow within the time in which it must be in force.
    const auto allShow = [&](uint64_t version) {
        const std::vector<int> keepers{1, 2, 3};
        return std::all_of(keepers.begin(), keepers.end(),
                           [&](int n) { return fleet.keeperDump(n)["process"]["configuration"] == version; });
    };
    BOOST_TEST(eventually([&] { return allShow(5); }, ConfigurationInForceTime));
    BOOST_REQUIRE(putVersion(fleet, 6));
    BOOST_TEST(eventually([&] { return allShow(6); }, ConfigurationInForceTime));
    BOOST_TEST(eventually([&] { return fleet.entryDump(1)["process"]["configuration"] == 6; }, ConfigurationInForceTime));
    int leaders = 0;
    for (const int n : {1, 2, 3}) {
        const Json keeper = fleet.keeperDump(n);
        BOOST_TEST(keeper["live"]["keepers"].size() == 3u);
        leaders += keeper["process"]["leads"] == true ? 1 : 0;
    }
    BOOST_TEST(leaders == 1);
}

BOOST_AUTO_TEST_CASE(unloadedModelIsLoadedForAWaitingRequest)
{
    Fleet fleet("fleet-load", FirstPort + 100);
    startSystem(fleet);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(fleet.waitForOrders());
    for (const char *model : {"m4", "m5", "m6", "m1", "m3"}) {
        const httplib::Result result = fleet.sendRequest(1, "/s/events/2/pause/5/", std::string("load-") + model, model);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200, model);
    }
    BOOST_TEST(fleet.running("runner-1")); // it aborts if a load exceeds its memory
    BOOST_TEST(fleet.running("runner-2"));
    // A model that is not in the configuration is refused at once.
    const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    const httplib::Result unknown = fleet.sendRequest(1, "/s/events/2/", "unknown", "nothing");
    BOOST_TEST(unknown->status == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(highestConfigurationVersionSurvivesRestartsAndADiskLoss)
{
    Fleet fleet("fleet-config", FirstPort + 200);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(putVersion(fleet, 9));
    BOOST_TEST(putVersion(fleet, 7)); // an older version is acknowledged, but changes nothing
    BOOST_TEST(fleet.putText(1, "{\"version\": 50}")->status == 400);
    BOOST_TEST(fleet.putText(1, "no JSON")->status == 400);
    BOOST_TEST(eventually([&] { return versionAt(fleet, 2) == 9; }));
    for (const int n : {1, 2, 3})
        fleet.kill("keeper-" + std::to_string(n));
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, false);
    BOOST_TEST(eventually([&] { return versionAt(fleet, 1) == 9; }));
    // A host that lost its disk rejoins empty; once it has caught up, another host may be lost.
    fleet.kill("keeper-1");
    fleet.wipe(1);
    fleet.startKeeper(1, false);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    fleet.kill("keeper-2");
    BOOST_TEST(eventually([&] { return versionAt(fleet, 1) == 9 || versionAt(fleet, 3) == 9; }));
    BOOST_TEST(putVersion(fleet, 12));
}

BOOST_AUTO_TEST_CASE(emptyHostsThatMayNotBootstrapFormNoCluster)
{
    Fleet fleet("fleet-empty", FirstPort + 300);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, false);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const httplib::Result result = fleet.putConfiguration(1, 5);
    BOOST_TEST((!result || result->status == 503));
}

BOOST_AUTO_TEST_CASE(entryHostServesRequestsWithoutControlHosts)
{
    Fleet fleet("fleet-alone", FirstPort + 400);
    startSystem(fleet);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(waitForAnswer(fleet, 1, "/u/x"));
    // An entry host serves what it knew when the control hosts ended.
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 3));
    for (const int n : {1, 2, 3})
        fleet.kill("keeper-" + std::to_string(n));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    BOOST_TEST(fleet.sendRequest(1, "/u/x", "alone")->status == 200);
    BOOST_TEST(fleet.sendRequest(2, "/s/events/2/", "alone-stream", "m1")->status == 200);
}

BOOST_AUTO_TEST_CASE(stoppingEntryHostCompletesRunningRequestsAndRefusesWaitingOnes)
{
    Fleet fleet("fleet-stop", FirstPort + 500);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    fleet.startRunner(1, "engines", "m1", true);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(waitForAnswer(fleet, 1, "/s/events/1/", "m1"));
    httplib::Result runningResult(nullptr, httplib::Error::Unknown);
    httplib::Result waitingResult(nullptr, httplib::Error::Unknown);
    std::thread first([&] { runningResult = fleet.sendRequest(1, "/s/events/10/pause/200/", "runs", "m1"); });
    std::thread second([&] { waitingResult = fleet.sendRequest(1, "/s/events/1/", "waits", "m2"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.signal("entry-1", SIGTERM);
    // Late in the shutdown, new streams are refused, since they might not complete before the process ends.
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    const httplib::Result late = fleet.sendRequest(1, "/s/events/1/", "late", "m1");
    BOOST_REQUIRE(late);
    BOOST_TEST(late->status == 503);
    first.join();
    second.join();
    BOOST_REQUIRE(runningResult);
    BOOST_TEST(runningResult->status == 200);
    BOOST_TEST(runningResult->body.find("id: 10\n") != std::string::npos);
    BOOST_REQUIRE(waitingResult);
    BOOST_TEST(waitingResult->status == 503);
    BOOST_TEST(!waitingResult->get_header_value("Retry-After").empty());
    BOOST_TEST(fleet.requestRecord(1, "waits").empty());
    BOOST_TEST(fleet.wait("entry-1") == 0);
    BOOST_TEST(eventually([&] { return fleet.resolve(2).value("addresses", Json::array()).size() == 1; }));
}

BOOST_AUTO_TEST_CASE(runningRequestOfADisconnectedCallerIsCancelled)
{
    Fleet fleet("fleet-leave", FirstPort + 600);
    startSystem(fleet);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    BOOST_TEST(waitForAnswer(fleet, 1, "/s/events/1/", "m1"));
    httplib::Client client("127.0.0.1", fleet.entryPort(1));
    client.set_read_timeout(std::chrono::milliseconds(600));
    const httplib::Headers headers{{"Host", "h.example"}, {"X-Request-Id", "leaves"}, {"X-Deadline-Ms", "10000"}, {"X-Model", "m1"}};
    client.Post("/s/events/20/pause/1000/", headers, "", "text/plain");
    client.stop();
    BOOST_TEST(eventually([&] { return fleet.requestRecord(1, "leaves").value("cancelled", false); }, std::chrono::milliseconds(5000)));
    BOOST_TEST(fleet.requestRecord(1, "leaves")["events"] < 5);
}

BOOST_AUTO_TEST_CASE(streamContinuesOnAnotherRunnerAfterAKill)
{
    Fleet fleet("fleet-resume", FirstPort + 800);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    fleet.startEntry(1);
    for (const int n : {1, 2})
        fleet.startRunner(n, "engines", "m1");
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1}));
    BOOST_TEST(waitForAnswer(fleet, 1, "/s/events/1/", "m1"));
    httplib::Result result(nullptr, httplib::Error::Unknown);
    std::thread caller([&] { result = fleet.sendRequest(1, "/e/events/12/pause/100/", "goes-on", "m1"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.kill(fleet.requestRecord(1, "goes-on").empty() ? "runner-2" : "runner-1");
    caller.join();
    BOOST_REQUIRE(result);
    std::string whole;
    for (int i = 1; i <= 12; ++i)
        whole += "id: " + std::to_string(i) + "\ndata: token\n\n";
    BOOST_TEST(result->body == whole);
}

BOOST_AUTO_TEST_CASE(reloadSignalEndsNoProcess)
{
    Fleet fleet("fleet-hup", FirstPort + 700);
    startSystem(fleet);
    BOOST_TEST(putVersion(fleet, 5));
    BOOST_TEST(fleet.waitUntilReady({1, 2}));
    for (const char *it : {"keeper-1", "entry-1"})
        fleet.signal(it, SIGHUP);
    BOOST_TEST(eventually([&] { return fleet.output("entry-1").find("event=settings ") != std::string::npos; }));
    BOOST_TEST(waitForAnswer(fleet, 1, "/u/x"));
    BOOST_TEST(fleet.running("keeper-1"));
}

namespace
{

// Starts two plain runners and two entry hosts that use both.
void startPlainRunners(Fleet &fleet)
{
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    for (const int n : {1, 2})
        fleet.startRunner(n, "plain", "");
    BOOST_REQUIRE(putVersion(fleet, 5));
    BOOST_REQUIRE(fleet.waitUntilReady({1, 2}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 2));
    BOOST_REQUIRE(waitForAnswer(fleet, 1, "/r/x"));
}

// Returns how many of the next requests each runner has executed.
std::pair<int, int> countRuns(Fleet &fleet, int entry, const std::string &prefix, int requests)
{
    std::pair<int, int> runs;
    for (int n = 0; n < requests; ++n) {
        const std::string id = prefix + std::to_string(n);
        const httplib::Result result = fleet.sendRequest(entry, "/r/x", id);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
        runs.first += fleet.requestRecord(1, id).value("runs", 0);
        runs.second += fleet.requestRecord(2, id).value("runs", 0);
    }
    return runs;
}

} // namespace

// A runner states in an answer that it is leaving, while its heartbeats still list it as ready: the router that received
// the answer sends it nothing more, and the other router stops within the time of a drain.
BOOST_AUTO_TEST_CASE(runnerThatIsLeavingReceivesNothingNew)
{
    Fleet fleet("fleet-leaving", FirstPort + 1300);
    startPlainRunners(fleet);
    BOOST_REQUIRE(eventually([&] {
        static int n = 0;
        const std::string id = "leave-" + std::to_string(++n);
        fleet.sendRequest(1, "/r/leaving/1/", id);
        return fleet.requestRecord(1, id).value("runs", 0) == 1;
    }));
    const std::pair<int, int> same = countRuns(fleet, 1, "same-", 10);
    BOOST_TEST(same.first == 0);
    BOOST_TEST(same.second == 10);
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    const std::pair<int, int> other = countRuns(fleet, 2, "other-", 10);
    BOOST_TEST(other.first == 0);
    BOOST_TEST(fleet.output("entry-1").find("event=endpoint_leaving id=leave-") != std::string::npos);
}

// Both runners ask for a pause: requests are refused at once with its end, and served after it.
BOOST_AUTO_TEST_CASE(pauseOfAllRunnersIsToldToCallers)
{
    Fleet fleet("fleet-pause", FirstPort + 1400);
    startPlainRunners(fleet);
    const auto refused = [&](int runner) {
        static int n = 0;
        return fleet.sendRequest(1, "/r/full/" + std::to_string(runner) + "/3000/", "full-" + std::to_string(++n));
    };
    // Each of the two refuses one request; the other one serves it, unless it has asked for a pause as well.
    BOOST_REQUIRE(eventually([&] {
        refused(1);
        const httplib::Result last = refused(2);
        return last && last->status == 503;
    }));
    const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    const httplib::Result result = fleet.sendRequest(1, "/r/x", "paused");
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(500)));
    const double after = std::stod(result->get_header_value("Retry-After"));
    BOOST_TEST(after > 0);
    BOOST_TEST(after <= 3);
    for (const int runner : {1, 2})
        BOOST_TEST(fleet.requestRecord(runner, "paused").empty());
    // The other router was not asked to pause.
    BOOST_TEST(fleet.sendRequest(2, "/r/x", "elsewhere")->status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(int(after * 1000) + 50));
    BOOST_TEST(fleet.sendRequest(1, "/r/x", "later")->status == 200);
}
