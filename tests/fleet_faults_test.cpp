// Tests of faults in a running system of control hosts, entry hosts and runners: frozen leaders, truncated answers, callers
// that disconnect, requests that crash runners.
#define BOOST_TEST_MODULE fleet_faults
#include "fleet.h"
#include "loopback.h"
#include "rawendpoint.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

// First port of this file's systems; each test uses a range of its own.
constexpr int FirstPort = 28000;
constexpr int OrderLeaseMs = 3000; // longer than an election, so that the wait for the lease is visible in the orders
constexpr int ShortLeaseMs = 300;
constexpr std::chrono::milliseconds CrashReportSyncTime{3000}; // then all routers apply the platform's rule on crashing requests
constexpr std::chrono::milliseconds ProcessEndTime{500};
constexpr std::chrono::milliseconds UnreadStreamTimeout{10000}; // the buffers of both connections fill up, then TcpUserTimeout (4 s)
constexpr int LongLeaseMs = 30000; // no order is sent for the duration of a test
constexpr int StopOrdersPort = 19000;
constexpr int OrderAnswerMs = 1500; // below OrderTimeout, and longer than a planned stop of a control host without calls
constexpr std::chrono::milliseconds OrdersTimeout{30000}; // for a few orders, after the order lease of an earlier leader

void startHosts(Fleet &fleet, const std::vector<int> &entries, int orderLeaseMs = ShortLeaseMs)
{
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true, orderLeaseMs);
    for (const int n : entries)
        fleet.startEntry(n);
}

bool configure(Fleet &fleet, const std::vector<int> &entries)
{
    const bool configured = eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    });
    return configured && fleet.waitUntilReady(entries);
}

// Starts a system whose only engine holds m1 and refuses orders, so that no other model is ever loaded.
bool startWithSingleModel(Fleet &fleet, int orderLeaseMs)
{
    startHosts(fleet, {1}, orderLeaseMs);
    fleet.startRunner(1, "engines", "m1", true);
    return configure(fleet, {1}) && eventually([&] {
               const httplib::Result result = fleet.sendRequest(1, "/s/events/1/", "probe", "m1");
               return result && result->status == 200;
           });
}

} // namespace

// A leader is frozen while models are being loaded, another one takes over, and the first one resumes with orders still to
// send. It must not send them: orders by two leaders at once can exceed an engine's memory.
BOOST_AUTO_TEST_CASE(replacedLeaderSendsNoOrdersAfterAFreeze)
{
    Fleet fleet("faults-freeze", FirstPort);
    startHosts(fleet, {1, 2}, OrderLeaseMs);
    // The engine has room for three of the six models that are requested in turn: nearly every request needs an order.
    fleet.startRunner(1, "engines", "m1,m2,m3");
    BOOST_TEST(configure(fleet, {1, 2}));
    std::atomic<bool> stop{false};
    const auto sendLoad = [&](int entry) {
        for (int n = 0; !stop; ++n) {
            const std::string id = "load-" + std::to_string(entry) + "-" + std::to_string(n);
            fleet.sendRequest(entry, "/s/events/1/", id, "m" + std::to_string((n * 5 + entry) % 6 + 1));
        }
    };
    const auto waitForMoreOrders = [&] {
        const size_t before = fleet.orders(1).size();
        return eventually([&] { return fleet.orders(1).size() > before + 4; });
    };
    std::thread first(sendLoad, 1);
    std::thread second(sendLoad, 2);
    for (int round = 0; round < 2; ++round) {
        BOOST_TEST(waitForMoreOrders());
        const int frozen = fleet.leader();
        fleet.signal("keeper-" + std::to_string(frozen), SIGSTOP);
        BOOST_TEST(eventually([&] { return fleet.leader() != frozen; }));
        BOOST_TEST(waitForMoreOrders());
        fleet.signal("keeper-" + std::to_string(frozen), SIGCONT);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    stop = true;
    first.join();
    second.join();
    const Json orders = fleet.orders(1);
    BOOST_TEST(orders.size() > 10u);
    size_t holderChanges = 0;
    for (size_t n = 1; n < orders.size(); ++n) {
        BOOST_TEST(orders[n]["fence"] > orders[n - 1]["fence"]);
        if (orders[n]["holder"] == orders[n - 1]["holder"])
            continue;
        ++holderChanges;
        BOOST_TEST(orders[n]["ms"].get<int64_t>() >= orders[n - 1]["ms"].get<int64_t>() + OrderLeaseMs);
    }
    BOOST_TEST(holderChanges >= 2u);
    BOOST_TEST(fleet.running("runner-1")); // it aborts if a load exceeds its memory
}

// Guards against orders that are in progress when their leader is stopped, whose answers it does not read any more, and that the next
// leader sends once more, or crosses with its own.
BOOST_AUTO_TEST_CASE(ordersOfAStoppedLeaderAreNotRepeated)
{
    constexpr int rounds = 3;
    Fleet fleet("faults-stop-orders", StopOrdersPort);
    fleet.setOrderAnswerTime(OrderAnswerMs);
    startHosts(fleet, {1, 2}, OrderLeaseMs);
    fleet.startRunner(1, "engines", "m1,m2,m3");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    std::atomic<bool> stop{false};
    const auto sendLoad = [&](int entry) {
        for (int n = 0; !stop; ++n) {
            const std::string id = "load-" + std::to_string(entry) + "-" + std::to_string(n);
            fleet.sendRequest(entry, "/s/events/1/", id, "m" + std::to_string((n * 5 + entry) % 6 + 1));
        }
    };
    std::thread first(sendLoad, 1);
    std::thread second(sendLoad, 2);
    std::string logs;
    std::set<uint64_t> unanswered; // executed, and their leader has not read the answer
    for (int round = 0; round < rounds; ++round) {
        const size_t before = fleet.orders(1).size();
        BOOST_TEST(eventually([&] { return fleet.orders(1).size() > before + 2; }, OrdersTimeout));
        const int leader = fleet.leader();
        const std::string process = "keeper-" + std::to_string(leader);
        fleet.signal(process, SIGTERM);
        BOOST_TEST(fleet.wait(process) == 0);
        logs += fleet.output(process);
        for (const Json &it : fleet.orders(1)) {
            const uint64_t fence = it["fence"];
            if (it["holder"] == process && it["taken"] && logs.find(fmt::format(" fence={} ", fence)) == std::string::npos)
                unanswered.insert(fence);
        }
        fleet.startKeeper(leader, true, OrderLeaseMs);
        BOOST_TEST(eventually([&] { return fleet.leader() != leader; }));
    }
    stop = true;
    first.join();
    second.join();
    const Json orders = fleet.orders(1);
    std::set<std::string> held{"m1", "m2", "m3"};
    size_t holderChanges = 0;
    for (size_t n = 0; n < orders.size(); ++n) {
        const std::string model = orders[n]["model"];
        const bool load = orders[n]["operation"] == "load";
        if (orders[n]["taken"])
            BOOST_TEST((load ? held.insert(model).second : held.erase(model) == 1), "repeated: " << orders[n].dump());
        if (n == 0)
            continue;
        BOOST_TEST(orders[n]["fence"] > orders[n - 1]["fence"]);
        if (orders[n]["holder"] == orders[n - 1]["holder"])
            continue;
        ++holderChanges;
        BOOST_TEST(orders[n]["ms"].get<int64_t>() >= orders[n - 1]["ms"].get<int64_t>() + OrderLeaseMs);
    }
    BOOST_TEST_MESSAGE(fmt::format("{} orders, {} executed without an answer that their leader read, {} changes of the leader",
                                   orders.size(), unanswered.size(), holderChanges));
    BOOST_TEST(!unanswered.empty());
    BOOST_TEST(holderChanges >= size_t(rounds - 1));
    BOOST_TEST(fleet.running("runner-1"));
}

// A truncated answer is never delivered as complete, and its request is not repeated unless its route allows that.
BOOST_AUTO_TEST_CASE(truncatedAnswersAreNotDeliveredAsComplete)
{
    Fleet fleet("faults-cut", FirstPort + 100);
    startHosts(fleet, {1});
    for (const int n : {1, 2})
        fleet.startRunner(n, "plain", "");
    BOOST_TEST(configure(fleet, {1}));
    BOOST_TEST(eventually([&] {
        const httplib::Result result = fleet.sendRequest(1, "/u/x", "probe");
        return result && result->status == 200;
    }));
    int truncatedCount = 0;
    for (int n = 0; n < 20; ++n) {
        const std::string id = "once-" + std::to_string(n);
        const httplib::Result once = fleet.sendRequest(1, "/u/cut/1/", id);
        const int runs = fleet.requestRecord(1, id).value("runs", 0) + fleet.requestRecord(2, id).value("runs", 0);
        BOOST_TEST(runs == 1);
        BOOST_REQUIRE(once);
        BOOST_TEST((once->status == 200 || once->status == 502));
        BOOST_TEST((once->status != 200 || once->body == "plain answer of i-2"));
        truncatedCount += once->status == 502 ? 1 : 0;
        // A safe request is repeated on the other runner.
        const httplib::Result read = fleet.sendRequest(1, "/r/cut/1/", "read-" + std::to_string(n));
        BOOST_REQUIRE(read);
        BOOST_TEST((read->status == 200 ? read->body == "plain answer of i-2" : read->status == 502));
    }
    BOOST_TEST(truncatedCount > 0);
}

// A caller disconnects while its request waits for a model: the request is dropped and never runs.
BOOST_AUTO_TEST_CASE(waitingRequestOfADisconnectedCallerNeverRuns)
{
    Fleet fleet("faults-leave", FirstPort + 200);
    BOOST_TEST(startWithSingleModel(fleet, ShortLeaseMs));
    BOOST_TEST(fleet.waitForOrders(ShortLeaseMs));
    httplib::Client client("127.0.0.1", fleet.entryPort(1));
    client.set_read_timeout(std::chrono::milliseconds(400));
    const httplib::Headers headers{{"Host", "h.example"}, {"X-Request-Id", "leaves"}, {"X-Deadline-Ms", "10000"}, {"X-Model", "m2"}};
    BOOST_TEST(!client.Post("/s/events/1/", headers, "", "text/plain"));
    client.stop();
    BOOST_TEST(eventually([&] { return fleet.output("entry-1").find(" id=leaves route=stream ") != std::string::npos; },
                          std::chrono::milliseconds(1000)));
    const std::string log = fleet.output("entry-1");
    const size_t at = log.find("event=request id=leaves ");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(log.substr(at, log.find('\n', at) - at).find("outcome=caller_left") != std::string::npos);
    BOOST_TEST(fleet.requestRecord(1, "leaves").empty());
}

// A router is killed while it relays a stream: the answer must not look complete, also to a caller of HTTP/1.0, for which
// the end of the connection is the end of the answer.
BOOST_DATA_TEST_CASE(streamOfAKilledRouterNeverLooksComplete, bdata::make({"1.1", "1.0"}), version)
{
    Fleet fleet("faults-kill-entry", FirstPort + 1200);
    BOOST_REQUIRE(startWithSingleModel(fleet, ShortLeaseMs));
    const std::string request = fmt::format("POST /s/events/200/pause/50/ HTTP/{}\r\nHost: h.example\r\nX-Request-Id: cut\r\n"
                                            "X-Deadline-Ms: 14000\r\nX-Model: m1\r\nContent-Length: 0\r\n\r\n",
                                            version);
    std::future<ReceivedAnswer> call = std::async(std::launch::async, [&] { return callRaw(fleet.entryPort(1), request); });
    BOOST_TEST(eventually([&] { return fleet.requestRecord(1, "cut").value("events", 0) > 3; }));
    fleet.kill("entry-1");
    const ReceivedAnswer answer = call.get();
    BOOST_TEST(answer.status == 200u);
    BOOST_TEST(!answer.complete);
}

// A caller stops reading its stream: its request is cancelled after a time-out, and other requests are not delayed.
BOOST_AUTO_TEST_CASE(streamOfACallerThatDoesNotReadIsCancelled)
{
    Fleet fleet("faults-unread", FirstPort + 1100);
    BOOST_TEST(startWithSingleModel(fleet, ShortLeaseMs));
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    const int window = 4096;
    ::setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    const sockaddr_in address = loopback(fleet.entryPort(1));
    BOOST_REQUIRE(::connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    const std::string request = "POST /e/events/100000000/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: unread\r\n"
                                "X-Deadline-Ms: 14000\r\nX-Model: m1\r\nContent-Length: 0\r\n\r\n";
    BOOST_REQUIRE(::send(caller, request.data(), request.size(), 0) == ssize_t(request.size()));
    BOOST_TEST(eventually([&] { return fleet.requestRecord(1, "unread").value("events", 0) > 0; }));
    const httplib::Result other = fleet.sendRequest(1, "/s/events/2/", "other", "m1");
    BOOST_REQUIRE(other);
    BOOST_TEST(other->status == 200);
    BOOST_TEST(eventually([&] { return fleet.requestRecord(1, "unread").value("cancelled", false); }, UnreadStreamTimeout));
    BOOST_TEST(eventually([&] { return fleet.output("entry-1").find("event=request id=unread ") != std::string::npos; }));
    ::close(caller);
}

// Guards against a request that is passed on although its caller left while this host's process was paused.
BOOST_AUTO_TEST_CASE(requestWhoseCallerLeftDuringAPauseIsNotPassedOn)
{
    Fleet fleet("faults-paused", FirstPort + 1600);
    startHosts(fleet, {1}, ShortLeaseMs);
    fleet.startRunner(1, "plain", "");
    BOOST_REQUIRE(configure(fleet, {1}));
    const auto answered = [&](const std::string &id) {
        const httplib::Result result = fleet.sendRequest(1, "/r/x", id);
        return result && result->status == 200;
    };
    BOOST_REQUIRE(eventually([&] { return answered("before"); }));
    fleet.signal("entry-1", SIGSTOP);
    std::vector<std::string> ids;
    for (int n = 0; n < 20; ++n) {
        ids.push_back(fmt::format("left-{}", n));
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(fleet.entryPort(1));
        BOOST_REQUIRE(::connect(caller, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        const std::string request
            = fmt::format("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\nContent-Length: 0\r\n\r\n", ids.back());
        BOOST_REQUIRE(::send(caller, request.data(), request.size(), 0) == ssize_t(request.size()));
        ::close(caller);
    }
    fleet.signal("entry-1", SIGCONT);
    BOOST_TEST(eventually([&] { return answered("after"); }));
    for (const std::string &it : ids)
        BOOST_TEST(fleet.requestRecord(1, it).empty());
}

// A request that waits for a model that is not loaded is refused before the time after which callers disconnect.
BOOST_AUTO_TEST_CASE(waitingRequestIsAnsweredBeforeTheCallerDisconnects)
{
    Fleet fleet("faults-wait", FirstPort + 300);
    BOOST_TEST(startWithSingleModel(fleet, ShortLeaseMs));
    BOOST_TEST(fleet.waitForOrders(ShortLeaseMs));
    const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    const httplib::Result result = fleet.sendRequest(1, "/s/events/1/", "waits", "m2");
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 503);
    BOOST_TEST(!result->get_header_value("Retry-After").empty());
    // The route's target latency is 500 ms: callers disconnect after 2 s.
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(2000)));
}

// While a new leader waits for the order lease of an earlier one to expire, requests for a model that is not loaded are
// refused at once with the time to retry.
BOOST_AUTO_TEST_CASE(requestDuringTheOrderPauseIsRefusedWithRetryAfter)
{
    Fleet fleet("faults-pause", FirstPort + 400);
    BOOST_TEST(startWithSingleModel(fleet, LongLeaseMs));
    // Routers learn the leader within a few round trips.
    BOOST_TEST(eventually([&] { return fleet.leader() != 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    const httplib::Result result = fleet.sendRequest(1, "/s/events/1/", "paused", "m2");
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(500)));
    BOOST_TEST(std::stod(result->get_header_value("Retry-After")) > 10);
    BOOST_TEST(fleet.requestRecord(1, "paused").empty());
}

// A request that reaches an entry host before the configuration does is held for a short time, not refused at once.
BOOST_AUTO_TEST_CASE(requestWaitsForTheFirstConfiguration)
{
    Fleet fleet("faults-early", FirstPort + 1000);
    startHosts(fleet, {1});
    fleet.startRunner(3, "plain", "");
    BOOST_REQUIRE(eventually([&] { return fleet.leader() > 0; }));
    // The host is running, and refuses a request as not run if no configuration arrives in time.
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result refused = fleet.sendRequest(1, "/u/x", "refused");
        return refused && refused->status == 503;
    }));
    std::atomic<int> status{0};
    std::thread caller([&] {
        const httplib::Result held = fleet.sendRequest(1, "/u/x", "held");
        status = held ? held->status : -1;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BOOST_TEST(status == 0);
    const httplib::Result put = fleet.putConfiguration(fleet.leader(), 5);
    BOOST_REQUIRE(put);
    BOOST_TEST(put->status == 200);
    caller.join();
    BOOST_TEST(status == 200);
}

// Guards against the incident BUDGET: a part of the prompt crashes every runner, and no two requests with it are alike. Sound
// requests have the same first part.
BOOST_AUTO_TEST_CASE(promptPartThatCrashesRunnersIsRefusedByAllRoutersAfterTheThird)
{
    Fleet fleet("faults-part", FirstPort + 1300);
    startHosts(fleet, {1, 2});
    const std::vector<int> runners{1, 2, 3, 4, 5, 6};
    for (const int n : runners)
        fleet.startRunner(n, "plain", "");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, runners.size()));
    const auto alive = [&] {
        return std::count_if(runners.begin(), runners.end(), [&](int n) { return fleet.running("runner-" + std::to_string(n)); });
    };
    const auto send = [&](int entry, const std::string &id, const std::string &part) {
        const httplib::Headers headers{{"X-Prefix-Hash", fmt::format("aa:800,{}:400,{:x}:20", part, std::hash<std::string>()(id))}};
        const httplib::Result result = fleet.sendRequest(entry, "/u/" + id, id, "", headers);
        BOOST_REQUIRE(result);
        return result->status;
    };
    for (const int entry : {1, 2})
        BOOST_TEST(send(entry, fmt::format("before-{}", entry), "bb") == 200);
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(send(1 + n % 2, fmt::format("crash-{}", n), "dead") == 502);
        std::this_thread::sleep_for(ProcessEndTime);
    }
    BOOST_TEST(alive() == 3);
    std::this_thread::sleep_for(CrashReportSyncTime);
    for (int n = 3; n < 7; ++n)
        BOOST_TEST(send(1 + n % 2, fmt::format("crash-{}", n), "dead") == 503);
    for (const int entry : {1, 2}) {
        BOOST_TEST(send(entry, fmt::format("after-{}", entry), "bb") == 200);
        BOOST_TEST(send(entry, fmt::format("other-{}", entry), "cc") == 200);
    }
    BOOST_TEST(alive() == 3);
}

// A request crashes every runner that executes it. Its caller sends it to two routers in turn, with more attempts in total
// than there are endpoints.
BOOST_AUTO_TEST_CASE(requestThatCrashesRunnersIsRefusedByAllRoutersAfterTheThird)
{
    Fleet fleet("faults-crash", FirstPort + 900);
    startHosts(fleet, {1, 2});
    const std::vector<int> runners{1, 2, 3, 4, 5};
    for (const int n : runners)
        fleet.startRunner(n, "plain", "");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    // Both routers must know all runners, or their first attempts have fewer to crash.
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, runners.size()));
    for (const int entry : {1, 2}) {
        const httplib::Result result = fleet.sendRequest(entry, "/r/x", "probe-" + std::to_string(entry));
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
    }
    const auto alive = [&] {
        return std::count_if(runners.begin(), runners.end(), [&](int n) { return fleet.running("runner-" + std::to_string(n)); });
    };
    // A process closes its connections before it has ended.
    const auto aliveAfter = [&](int n) {
        std::this_thread::sleep_for(ProcessEndTime);
        return alive() == n;
    };
    BOOST_TEST(fleet.sendRequest(1, "/r/crash/", "crash-1")->status == 502);
    BOOST_TEST(aliveAfter(3));
    std::this_thread::sleep_for(CrashReportSyncTime);
    // The route allows two attempts, but after the first of them three endpoints have crashed: the limit.
    BOOST_TEST(fleet.sendRequest(2, "/r/crash/", "crash-2")->status == 502);
    BOOST_TEST(aliveAfter(2));
    std::this_thread::sleep_for(CrashReportSyncTime);
    for (const int entry : {1, 2}) {
        const httplib::Result refused = fleet.sendRequest(entry, "/r/crash/", "crash-3-" + std::to_string(entry));
        BOOST_REQUIRE(refused);
        BOOST_TEST(refused->status == 503);
        BOOST_TEST(refused->body.find("quarantined_not_run") != std::string::npos);
        BOOST_TEST(std::stod(refused->get_header_value("Retry-After")) > 0);
        BOOST_TEST(fleet.sendRequest(entry, "/r/x", "innocent-" + std::to_string(entry))->status == 200);
    }
    BOOST_TEST(aliveAfter(2));
}

namespace
{

std::string heartbeatText(const std::string &changes)
{
    return R"({"service":"engines","zone":"z","version":"v1","slots":4,"state":"ready","models":[])" + changes + "}";
}

std::string putEntry(const std::string &id, const std::string &body)
{
    return fmt::format("PUT /api/instances/{} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", id, body.size(), body);
}

} // namespace

// Guards against entries of another writer among those of the endpoints: hosts that read them ended, or lost their control hosts for
// good, because the messages with the entry could not be read.
BOOST_AUTO_TEST_CASE(oddEntriesStopNoHost)
{
    constexpr size_t depth = 1000000;
    constexpr int oddPort = FirstPort + 1400;
    Fleet fleet("faults-odd-entries", oddPort);
    startHosts(fleet, {1, 2});
    fleet.startRunner(1, "engines", "m1");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    const auto served = [&](int entry, const std::string &id, const std::string &model) {
        const httplib::Result result = fleet.sendRequest(entry, "/s/events/1/", id, model);
        return result && result->status == 200;
    };
    BOOST_REQUIRE(eventually([&] { return served(1, "before-1", "m1") && served(2, "before-2", "m1"); }));
    const std::string address = fmt::format(R"(,"address":"127.0.0.1:{}")", fleet.runnerPort(1));
    const std::string sequence = R"(,"sequence":4)";
    const std::vector<std::string> entries{
        putEntry("i-\xff\xfe", heartbeatText(address + sequence)),
        putEntry("deep", heartbeatText(address + sequence + R"(,"unread":)" + std::string(depth, '[') + std::string(depth, ']'))),
        putEntry("deep-models",
                 R"({"service":"engines","state":"ready","sequence":1,"address":"127.0.0.1:9","models":)" + std::string(depth, '[') + "}"),
        putEntry("large", heartbeatText(address + R"(,"sequence":1e400)")),
        putEntry("large-2", heartbeatText(address + R"(,"sequence":99999999999999999999)")),
        putEntry("i-1", heartbeatText(address + R"(,"sequence":9e15)")),
        putEntry("future", heartbeatText(address + sequence + R"(,"born":4102444800000)")),
        putEntry("port", heartbeatText(R"(,"address":"127.0.0.1:70000")" + sequence)),
        putEntry("port-2", heartbeatText(R"(,"address":"127.0.0.1:-1")" + sequence)),
    };
    for (const std::string &it : entries)
        BOOST_TEST(callRaw(oddPort + 1, it).status / 100 == 4u);
    // A caller's header, which reaches the control hosts with the demand for models.
    callRaw(fleet.entryPort(1),
            "POST /s/events/1/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: odd\r\nX-Deadline-Ms: 300\r\nX-Model: m2/\xff\r\n"
            "Content-Length: 0\r\n\r\n");
    // The lists go on: an endpoint that starts now is found by every entry host.
    fleet.startRunner(2, "engines", "m9");
    BOOST_TEST(fleet.waitForEndpoints({1, 2}, 2));
    BOOST_TEST((served(1, "after-1", "m1") && served(2, "after-2", "m1")));
    for (const char *name : {"keeper-1", "keeper-2", "keeper-3", "entry-1", "entry-2"})
        BOOST_TEST(fleet.running(name));
}

// Guards against an endpoint whose report announces more bytes than memory holds: every control host that led and asked for it ended, and
// the system had no leader.
BOOST_AUTO_TEST_CASE(hugeReportsStopNoHost)
{
    constexpr int hugePort = FirstPort + 1500;
    RawEndpoint faulty([](const std::string &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n{", AnswerEnd::Endless, std::string(4096, 'x')};
    });
    Fleet fleet("faults-huge-report", hugePort);
    startHosts(fleet, {1, 2});
    fleet.startRunner(1, "engines", "m1");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    const auto served = [&](int entry, const std::string &id) {
        const httplib::Result result = fleet.sendRequest(entry, "/s/events/1/", id, "m1");
        return result && result->status == 200;
    };
    BOOST_REQUIRE(eventually([&] { return served(1, "before-1") && served(2, "before-2"); }));
    BOOST_REQUIRE(fleet.waitForOrders());
    const std::vector<std::string> hosts{"keeper-1", "keeper-2", "keeper-3", "entry-1", "entry-2"};
    const auto allRunning = [&] {
        return std::all_of(hosts.begin(), hosts.end(), [&](const std::string &it) { return fleet.running(it); });
    };
    for (int n = 1; n <= 20; ++n) {
        const std::string changes = fmt::format(R"(,"address":"{}","sequence":{})", faulty.address(), n);
        BOOST_TEST(callRaw(hugePort + 1, putEntry("faulty", heartbeatText(changes))).status == 200u);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        BOOST_REQUIRE(allRunning());
    }
    BOOST_TEST(faulty.requests().size() >= 2u); // it was asked for reports, more than once
    BOOST_TEST((served(1, "after-1") && served(2, "after-2")));
    BOOST_TEST(allRunning());
}

namespace
{

// Begins a stream on an endpoint of version v1, and kills all hosts while an endpoint of v2 serves as well, or while v1 has just left.
// Then starts the hosts again and continues the stream. Returns the status of the continuation.
int continueAfterAKillOfAllHosts(Fleet &fleet, bool firstVersionLeft)
{
    startHosts(fleet, {1});
    fleet.startRunner(1, "engines", "m1", true);
    BOOST_REQUIRE(configure(fleet, {1}));
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.sendRequest(1, "/e/events/2/", "first", "m1");
        return result && result->status == 200;
    }));
    fleet.startRunner(2, "engines", "m1", true, "", "v2");
    BOOST_REQUIRE(fleet.waitForEndpoints({1}, 2));
    for (const char *name : {"keeper-1", "keeper-2", "keeper-3", "entry-1"})
        fleet.kill(name);
    if (firstVersionLeft)
        fleet.kill("runner-1");
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, false);
    fleet.startEntry(1);
    BOOST_REQUIRE(fleet.waitUntilReady({1}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1}, firstVersionLeft ? 1 : 2));
    const httplib::Result result = fleet.sendRequest(1, "/e/events/5/", "second", "m1", {{"Last-Event-Id", "2"}, {"Resumes", "first"}});
    return result ? result->status : 0;
}

} // namespace

// Guards against a stream that is joined from two versions of the endpoints' software because no host remembers which one began it.
BOOST_AUTO_TEST_CASE(streamIsNotJoinedAfterAKillOfAllHosts)
{
    Fleet fleet("faults-joined", FirstPort + 1500);
    BOOST_TEST(continueAfterAKillOfAllHosts(fleet, true) != 200);
    BOOST_TEST(!fleet.requestRecords(2).contains("second"));
}

// Guards against callers who can't continue their streams although endpoints of the version that began them serve.
BOOST_AUTO_TEST_CASE(streamGoesOnAfterAKillOfAllHosts)
{
    Fleet fleet("faults-goes-on", FirstPort + 1600);
    BOOST_TEST(continueAfterAKillOfAllHosts(fleet, false) == 200);
}

namespace
{

struct Continuation {
    std::string name;
    int ports = 0; // from FirstPort on
    int entry = 1; // to which the callers come back
    bool killAllHosts = false; // before they do
};

std::ostream &operator<<(std::ostream &out, const Continuation &it)
{
    return out << it.name;
}

const std::vector<Continuation> Continuations{
    {"at another host", 1700, 2, false},
    {"at the same host after a kill of all hosts", 1800, 1, true},
    {"at another host after a kill of all hosts", 1900, 2, true},
};

constexpr int ContinuedStreams = 12;

// Returns the runner that ran the request; 0 if none did.
int runnerOf(Fleet &fleet, const std::string &id)
{
    for (const int n : {1, 2}) {
        if (fleet.requestRecords(n).contains(id))
            return n;
    }
    return 0;
}

} // namespace

// Guards against streams that no host but the one where they began can continue while two software versions serve, or no host after
// a kill of all: most go on, and none at the other version.
BOOST_DATA_TEST_CASE(mostStreamsGoOnWhileTwoVersionsServe, bdata::make(Continuations), continuation)
{
    Fleet fleet(fmt::format("faults-continue-{}", continuation.ports), FirstPort + continuation.ports);
    startHosts(fleet, {1, 2});
    fleet.startRunner(1, "engines", "m1", true);
    fleet.startRunner(2, "engines", "m1", true, "", "v2");
    BOOST_REQUIRE(configure(fleet, {1, 2}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 2));
    std::map<std::string, int> began;
    for (int n = 0; n < ContinuedStreams; ++n) {
        const std::string id = fmt::format("stream-{}", n);
        const httplib::Result result = fleet.sendRequest(1, "/e/events/2/", id, "m1");
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
        began[id] = runnerOf(fleet, id);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    if (continuation.killAllHosts) {
        for (const char *name : {"keeper-1", "keeper-2", "keeper-3", "entry-1", "entry-2"})
            fleet.kill(name);
        for (const int n : {1, 2, 3})
            fleet.startKeeper(n, false);
        for (const int n : {1, 2})
            fleet.startEntry(n);
        BOOST_REQUIRE(fleet.waitUntilReady({1, 2}));
        BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 2));
    }
    int continued = 0;
    for (const std::pair<const std::string, int> &it : began) {
        const std::string id = "continues-" + it.first;
        const httplib::Result result
            = fleet.sendRequest(continuation.entry, "/e/events/5/", id, "m1", {{"Last-Event-Id", "2"}, {"Resumes", it.first}});
        continued += result && result->status == 200 ? 1 : 0;
        const int runner = runnerOf(fleet, id);
        BOOST_TEST((runner == 0 || runner == it.second));
    }
    BOOST_TEST(2 * continued >= ContinuedStreams);
}
