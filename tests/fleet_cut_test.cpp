// Tests of entry hosts that are cut from the endpoints, while callers, control hosts and the other entry hosts reach them.
#define BOOST_TEST_MODULE fleet_cut
#include "cutsystem.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 25000; // below the ports that the system assigns to the proxies
constexpr std::chrono::milliseconds ContactTime{3000}; // from the cut on, after which its requests count
constexpr std::chrono::milliseconds LoadTime{5000};

struct CallerRequest {
    const char *path;
    const char *model;
};
const std::vector<CallerRequest> Requests{{"/u/x", ""}, {"/r/x", ""}, {"/s/events/3/", "m1"}, {"/e/events/3/pause/20/", "m1"}};

struct LoadResult {
    std::map<int, int> sent; // by entry host
    std::map<int, int> served;
    std::vector<std::string> ids;
    double share(const std::vector<int> &entries)
    {
        int all = 0;
        int good = 0;
        for (const int it : entries) {
            all += sent[it];
            good += served[it];
        }
        return double(good) / all;
    }
};

// Sends first attempts to all entry hosts for a while, a few at a time on each route.
LoadResult sendLoad(Fleet &fleet, std::chrono::milliseconds time)
{
    static std::atomic<int> number{0};
    std::mutex mutex;
    LoadResult result;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    std::vector<std::thread> threads;
    for (const int entry : Entries) {
        for (const CallerRequest &request : Requests) {
            threads.emplace_back([&, entry] {
                while (std::chrono::steady_clock::now() < end) {
                    const std::string id = "load-" + std::to_string(++number);
                    const httplib::Result answer = fleet.sendRequest(entry, request.path, id, request.model);
                    const bool complete
                        = answer && answer->status == 200 && (*request.model == 0 || answer->body.find("id: 3\n") != std::string::npos);
                    {
                        const std::lock_guard lock(mutex);
                        ++result.sent[entry];
                        result.served[entry] += complete ? 1 : 0;
                        result.ids.push_back(id);
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                }
            });
        }
    }
    for (std::thread &it : threads)
        it.join();
    return result;
}

} // namespace

// A caller whose request was passed on disconnects: the endpoint's work on it ends soon.
BOOST_AUTO_TEST_CASE(passedOnRequestOfADisconnectedCallerIsCancelled)
{
    CutSystem system(FirstPort + 500);
    system.cut(CutKind::RefuseNew);
    BOOST_REQUIRE(eventually([&] {
        sendLoad(system.fleet, std::chrono::milliseconds(200));
        return system.fleet.entryDump(1)["process"].value("isolated", false);
    }));
    httplib::Client client("127.0.0.1", system.fleet.entryPort(1));
    client.set_read_timeout(std::chrono::milliseconds(600));
    const httplib::Headers headers{{"Host", "h.example"}, {"X-Request-Id", "leaves"}, {"X-Deadline-Ms", "10000"}, {"X-Model", "m1"}};
    client.Post("/s/events/7/pause/1000/", headers, "", "text/plain");
    client.stop();
    const auto record = [&] {
        return system.fleet.requestRecord(1, "leaves").empty() ? system.fleet.requestRecord(2, "leaves")
                                                               : system.fleet.requestRecord(1, "leaves");
    };
    BOOST_TEST(eventually([&] { return record().value("cancelled", false); }, std::chrono::milliseconds(3000)));
    BOOST_TEST(record().value("events", 0) < 5);
}

// All hosts are cut: each refuses at once, with a time to come back, and none passes a request on for ever.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceIfNoHostReachesAnEndpoint)
{
    CutSystem system(FirstPort + 600);
    system.cut(CutKind::Hang);
    system.fleet.kill("entry-3");
    const auto isolated = [&](int entry) {
        return system.fleet.entryDump(entry)["process"].value("isolated", false);
    };
    BOOST_REQUIRE(eventually([&] {
        for (const int entry : CutEntries)
            system.fleet.sendRequest(entry, "/r/x", "probe");
        return isolated(1) && isolated(2);
    }));
    std::this_thread::sleep_for(ContactTime);
    for (const CallerRequest &request : Requests) {
        const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
        const httplib::Result result = system.fleet.sendRequest(1, request.path, "refused", request.model);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 503);
        BOOST_TEST(!result->get_header_value("Retry-After").empty());
        BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(700)));
    }
}

// Guards against the incident RECOVER: hosts that are cut from all endpoints serve nobody, while another host has all links.
BOOST_DATA_TEST_CASE(hostsThatAreCutFromTheEndpointsServeTheirCallers,
                     bdata::make({CutKind::Hang, CutKind::Reset, CutKind::RefuseNew, CutKind::ResetAndRefuse}), kind)
{
    CutSystem system(FirstPort + 100 * int(kind));
    const LoadResult before = sendLoad(system.fleet, std::chrono::milliseconds(1500));
    for (const int it : Entries)
        BOOST_TEST(before.served.at(it) == before.sent.at(it));
    system.cut(kind);
    LoadResult all = sendLoad(system.fleet, ContactTime);
    LoadResult during = sendLoad(system.fleet, LoadTime);
    BOOST_TEST(during.sent[3] > 50);
    BOOST_TEST(during.share(CutEntries) * 3 >= during.share({3}) * 2);
    std::map<std::string, int> runs; // by request
    for (int n = 1; n <= Runners; ++n) {
        const Json records = system.fleet.requestRecords(n);
        for (const auto &it : records.items())
            runs[it.key()] += it.value().value("runs", 0);
    }
    for (const std::string &it : during.ids)
        BOOST_TEST(runs[it] <= 1);
    // The cut ends: all hosts serve their callers, themselves again.
    system.heal();
    sendLoad(system.fleet, std::chrono::milliseconds(2500));
    LoadResult after = sendLoad(system.fleet, std::chrono::milliseconds(1500));
    BOOST_TEST(after.share(Entries) == 1);
}

// Guards against sound endpoints that count as crashed, so that sound requests are refused as the cause: a cut resets open
// connections and refuses new ones, as the end of a process does.
BOOST_AUTO_TEST_CASE(cutThatLooksLikeCrashesIsNotTakenForThem)
{
    CutSystem system(FirstPort + 700);
    std::vector<std::thread> callers; // with requests in progress at all endpoints
    for (const int entry : CutEntries) {
        for (int n = 0; n < 4; ++n) {
            callers.emplace_back([&, entry, id = fmt::format("stream-{}-{}", entry, n)] {
                system.fleet.sendRequest(entry, "/s/events/30/pause/100/", id, "m1");
            });
            callers.emplace_back(
                [&, entry, id = fmt::format("plain-{}-{}", entry, n)] { system.fleet.sendRequest(entry, "/u/pause/3000/", id); });
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    system.cut(CutKind::ResetAndRefuse);
    for (std::thread &it : callers)
        it.join();
    sendLoad(system.fleet, std::chrono::milliseconds(1000));
    for (const int it : CutEntries)
        BOOST_TEST(system.fleet.output(fmt::format("entry-{}", it)).find("event=endpoint_crashed") == std::string::npos);
}
