// Tests of client accounts with the programs themselves: where API keys could appear, and how routers follow keys that come and go.
#define BOOST_TEST_MODULE fleet_accounts
#include "cutsystem.h"
#include "rawendpoint.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 26000;
constexpr std::chrono::milliseconds InForceTime{2000}; // after its acknowledgement; the shortest that sites set
constexpr int KeysValidMs = 1500;

// Keys with a beginning that stands nowhere else.
const std::string Mark = "zq7-";
const std::string AlphaKey = Mark + "Alpha+key/==.~!";
const std::string BetaKey = Mark + "Beta'\"key";
const std::string UnknownKey = Mark + "unknown";

// Names with the keys of each.
using AccountList = std::vector<std::pair<std::string, std::vector<std::string>>>;
const AccountList TwoAccounts{{"alpha", {AlphaKey}}, {"beta", {BetaKey}}};

// Returns the usual configuration with accounts. The routes of idempotent requests need no key.
std::string configurationWith(uint64_t version, const AccountList &list)
{
    Json content = Json::parse(Fleet::configurationText(version));
    content["tenants"] = Json::array();
    for (const std::pair<std::string, std::vector<std::string>> &it : list)
        content["tenants"].push_back(Json{{"name", it.first}, {"api_keys", it.second}});
    for (Json &it : content["routes"])
        it["anonymous"] = it["type"] == "safe";
    return content.dump();
}

httplib::Headers keyed(const std::string &key)
{
    return {{"X-Key", key}, {"X-Tenant", "forged"}, {"Roserail-Account", "forged"}};
}

unsigned status(Fleet &fleet, int entry, const std::string &key, const std::string &path = "/u/x")
{
    static int n = 0;
    const httplib::Result result = fleet.sendRequest(entry, path, fmt::format("status-{}", ++n), "", keyed(key));
    return result ? unsigned(result->status) : 0;
}

// Returns whether the entry host answers requests with the key with this status, within the time for a configuration.
bool answersWith(Fleet &fleet, int entry, const std::string &key, unsigned expected)
{
    return eventually([&] { return status(fleet, entry, key) == expected; }, InForceTime);
}

// Sends requests that are served, refused, passed on, broken off and left by their callers, each with a key, to a system in
// which two entry hosts pass theirs on. Returns what callers received.
std::string sendRequestsOfAllKinds(CutSystem &system)
{
    Fleet &fleet = system.fleet;
    std::string received;
    int n = 0;
    const auto send = [&](int entry, const std::string &path, const std::string &model, const std::string &key) {
        const httplib::Result result = fleet.sendRequest(entry, path, fmt::format("kind-{}", ++n), model, keyed(key));
        received += result ? fmt::format("{} {}", result->status, result->body) : "none";
        for (const std::pair<const std::string, std::string> &it : result ? result->headers : httplib::Headers())
            received += it.first + it.second;
    };
    for (const int entry : {1, 3}) {
        for (const std::string &key : {AlphaKey, BetaKey, UnknownKey, AlphaKey.substr(0, 8), AlphaKey + "," + BetaKey}) {
            send(entry, "/u/x", "", key);
            send(entry, "/r/x", "", key);
            send(entry, "/s/events/3/", "m1", key);
            send(entry, "/e/events/3/", "m1", key);
            send(entry, "/nowhere/x", "", key);
            send(entry, "/s/events/3/", "m99", key);
        }
        const std::string head = fmt::format("POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: raw\r\nX-Key: {}\r\n", AlphaKey);
        for (const char *rest : {"bad header\r\n\r\n", "X-Key : x\r\n\r\n", "Content-Length: x\r\n\r\n", "X-Key: \x01\r\n\r\n"})
            received += callRaw(fleet.entryPort(entry), head + rest).body;
    }
    send(3, "/u/cut/3/", "", AlphaKey);
    send(3, "/u/cut/4/", "", AlphaKey);
    httplib::Client client("127.0.0.1", fleet.entryPort(3)); // its caller leaves
    client.set_read_timeout(std::chrono::milliseconds(600));
    httplib::Headers headers = keyed(AlphaKey);
    headers.insert({{"Host", "h.example"}, {"X-Request-Id", "leaves"}, {"X-Model", "m1"}});
    client.Post("/s/events/60/pause/500/", headers, "", "text/plain");
    for (const int it : CutEntries)
        fleet.signal(fmt::format("entry-{}", it), SIGHUP);
    return received;
}

struct Place {
    const char *name;
    std::string (*text)(CutSystem &system);
};

std::string textOfEntries(CutSystem &system, const std::function<std::string(int)> &text)
{
    std::string all;
    for (const int it : Entries)
        all += system.fleet.started(fmt::format("entry-{}", it)) ? text(it) : "";
    return all;
}

const std::vector<Place> Places{
    {"logs",
     [](CutSystem &system) {
         return system.fleet.allOutput();
     }},
    {"dumps",
     [](CutSystem &system) {
         return textOfEntries(system, [&](int it) { return system.fleet.entryDump(it).dump(); });
     }},
    {"metrics",
     [](CutSystem &system) {
         return textOfEntries(system, [&](int it) { return system.fleet.entryMetrics(it); });
     }},
    {"polls of routers",
     [](CutSystem &system) {
         return system.control.polls();
     }},
    {"requests at endpoints",
     [](CutSystem &system) {
         std::string all;
         for (int n = 1; n <= Runners; ++n)
             all += system.fleet.requestRecords(n).dump();
         return all;
     }},
};

} // namespace

// Guards against API keys that leave the router to which their caller has sent them.
BOOST_AUTO_TEST_CASE(keysAppearNowhere)
{
    CutSystem system(FirstPort, configurationWith(ConfigurationVersion, TwoAccounts));
    system.cut(CutKind::ResetAndRefuse);
    BOOST_REQUIRE(eventually([&] {
        status(system.fleet, 1, AlphaKey);
        return system.fleet.entryDump(1)["process"].value("isolated", false);
    }));
    const std::string received = sendRequestsOfAllKinds(system);
    BOOST_TEST(received.find("plain answer") != std::string::npos);
    BOOST_TEST(received.find(Mark) == std::string::npos);
    const std::string logs = system.fleet.allOutput();
    for (const char *it : {"event=pass_on", "account=alpha", "account=beta", "outcome=unauthorized", "event=request_unreadable"})
        BOOST_TEST(logs.find(it) != std::string::npos, it);
    const auto checkPlaces = [&] {
        for (const Place &it : Places) {
            const std::string text = it.text(system);
            BOOST_TEST(!text.empty(), it.name);
            BOOST_TEST(text.find(Mark) == std::string::npos, it.name);
        }
    };
    checkPlaces();
    // Endpoints are told the accounts, also of requests that were passed on, and never what callers state.
    size_t named = 0;
    for (int n = 1; n <= Runners; ++n) {
        const Json records = system.fleet.requestRecords(n);
        for (const Json &it : records) {
            const bool anonymous = it["path"].get<std::string>().substr(0, 3) == "/r/";
            const std::string account = it["headers"].value("X-Tenant", "");
            BOOST_TEST((anonymous ? account.empty() : account == "alpha" || account == "beta"), it.dump());
            BOOST_TEST(!it["headers"].contains("Roserail-Account"));
            named += account.empty() ? 0 : 1;
        }
    }
    BOOST_TEST(named >= 8u);
    // A request that crashes its endpoints, whose records end with them.
    system.fleet.sendRequest(3, "/e/crash/", "crashes", "m1", keyed(BetaKey));
    BOOST_TEST(eventually([&] { return system.fleet.output("entry-3").find("event=endpoint_crashed") != std::string::npos; }));
    checkPlaces();
}

// Keys are added, moved and taken away by versions, within the time for a configuration; a version in which two accounts share a key is
// refused, and the one before stays in force.
BOOST_AUTO_TEST_CASE(routersFollowTheKeysOfEachVersion)
{
    Fleet fleet("accounts", FirstPort + 100);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : {1, 2})
        fleet.startEntry(n);
    fleet.startRunner(1, "plain", "");
    const auto put = [&](const std::string &content) {
        return eventually([&] {
            const httplib::Result result = fleet.putText(1, content);
            return result && result->status == 200;
        });
    };
    BOOST_TEST(status(fleet, 1, AlphaKey) != 401u); // without a configuration
    BOOST_REQUIRE(put(configurationWith(10, TwoAccounts)));
    BOOST_REQUIRE(fleet.waitUntilReady({1, 2}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 1));
    const std::string gammaKey = Mark + "gamma";
    struct Version {
        AccountList list;
        unsigned alpha, beta, gamma; // statuses of requests with their keys
    };
    const std::vector<Version> versions{
        {{{"alpha", {AlphaKey}}, {"beta", {BetaKey}}, {"gamma", {gammaKey}}}, 200, 200, 200}, // an account appears
        {{{"alpha", {AlphaKey}}, {"beta", {BetaKey}}}, 200, 200, 401}, // and goes
        {{{"alpha", {}}, {"beta", {BetaKey, AlphaKey}}}, 200, 200, 401},
        {{{"alpha", {}}, {"beta", {BetaKey}}}, 401, 200, 401},
        {TwoAccounts, 200, 200, 401},
    };
    uint64_t version = 10;
    for (const Version &it : versions) {
        version += 2;
        BOOST_REQUIRE(put(configurationWith(version, it.list)));
        for (const int entry : {1, 2}) {
            BOOST_TEST(eventually([&] { return fleet.entryDump(entry)["process"]["configuration"] == version; }, InForceTime));
            BOOST_TEST(status(fleet, entry, AlphaKey) == it.alpha);
            BOOST_TEST(status(fleet, entry, BetaKey) == it.beta);
            BOOST_TEST(status(fleet, entry, gammaKey) == it.gamma);
            BOOST_TEST(status(fleet, entry, UnknownKey, "/r/x") == 200u);
        }
    }
    const httplib::Result shared = fleet.putText(2, configurationWith(version + 2, {{"alpha", {AlphaKey}}, {"beta", {BetaKey, AlphaKey}}}));
    BOOST_REQUIRE(shared);
    BOOST_TEST(shared->status / 100 == 4);
    for (const char *it : {"alpha", "beta", "give each its own"})
        BOOST_TEST(shared->body.find(it) != std::string::npos, shared->body);
    BOOST_TEST(shared->body.find(Mark) == std::string::npos);
    BOOST_TEST(answersWith(fleet, 1, AlphaKey, 200));
    std::string dumps;
    for (const int n : {1, 2, 3})
        dumps += fleet.keeperDump(n).dump();
    BOOST_TEST(dumps.find(Mark) == std::string::npos);
    BOOST_TEST(fleet.allOutput().find(Mark) == std::string::npos);
}

// Keys at hosts that are cut off from all control hosts: one accepts them for a time after its configuration was last known to be the
// newest, the other for good. Both follow the configuration once they are in touch again.
BOOST_AUTO_TEST_CASE(keysAtHostsThatAreCutOffAreAcceptedAsTheSettingsSay)
{
    Fleet fleet("cutoff", FirstPort + 200);
    fleet.startKeeper(1, true);
    fleet.startKeeper(2, true);
    fleet.startKeeper(3, true);
    fleet.setEntrySettings(fmt::format("keysValidFor: {}ms\n", KeysValidMs));
    fleet.startEntry(1);
    fleet.setEntrySettings("");
    fleet.startEntry(2);
    fleet.startRunner(1, "plain", "");
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putText(1, configurationWith(10, TwoAccounts));
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady({1, 2}));
    BOOST_REQUIRE(fleet.waitForEndpoints({1, 2}, 1));
    for (const int entry : {1, 2})
        BOOST_TEST(status(fleet, entry, AlphaKey) == 200u);
    for (const char *it : {"keeper-1", "keeper-2", "keeper-3"})
        fleet.signal(it, SIGSTOP);
    BOOST_TEST(eventually([&] { return status(fleet, 1, AlphaKey) == 503; }, std::chrono::milliseconds(2 * KeysValidMs)));
    const httplib::Result refused = fleet.sendRequest(1, "/u/x", "refused", "", keyed(AlphaKey));
    BOOST_REQUIRE(refused);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(!refused->get_header_value("Retry-After").empty());
    BOOST_TEST(fleet.requestRecord(1, "refused").empty());
    BOOST_TEST(status(fleet, 1, AlphaKey, "/r/x") == 200u); // needs no key
    BOOST_TEST(status(fleet, 2, AlphaKey) == 200u);
    for (const char *it : {"keeper-1", "keeper-2", "keeper-3"})
        fleet.signal(it, SIGCONT);
    BOOST_TEST(eventually([&] { return status(fleet, 1, AlphaKey) == 200; }));
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putText(1, configurationWith(12, {{"beta", {BetaKey}}}));
        return result && result->status == 200;
    }));
    for (const int entry : {1, 2})
        BOOST_TEST(answersWith(fleet, entry, AlphaKey, 401));
}
