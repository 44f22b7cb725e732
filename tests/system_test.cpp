// Tests of the control replicas and their documents in a running system, with killed, frozen and wiped replicas.
#define BOOST_TEST_MODULE system
#include "protocol/json.h"
#include "system.h"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace roserail::test;

namespace
{

constexpr int FirstPort = 22000;

// A system of three control replicas and two routers, without endpoints.
struct RunningSystem : System {
    explicit RunningSystem(const std::string &name, int snapshotEvery = 20000)
        : System(name, FirstPort, snapshotEvery)
    {
        for (const int id : {1, 2, 3})
            startControl(id);
        for (const int id : {1, 2})
            startRouter(id);
        bootstrap();
    }

    std::string models(uint64_t revision, int max)
    {
        return fmt::format(
            "sections:\n  models:\n    revision: {}\n    models:\n"
            "      - {{name: small, version: v1, pool: pool, bytes: 8GiB, replicas: {{min: 0, max: {}}}, loadTime: 300ms}}\n"
            "      - {{name: large, version: v1, pool: pool, bytes: 16GiB, replicas: {{min: 0, max: 1}}, loadTime: 300ms}}\n",
            revision, max);
    }

    // Returns the revision that an apply printed; 0 if it failed.
    static uint64_t revisionOf(const Output &output)
    {
        const Json json = Json::parse(output.out, nullptr, false);
        return json.is_object() ? json.value("revision", uint64_t(0)) : 0;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(oneOfSeveralConcurrentChangesIsApplied)
{
    RunningSystem system("race");
    std::vector<System::Output> outputs(4);
    std::vector<std::thread> operators;
    for (size_t i = 0; i < outputs.size(); ++i)
        operators.emplace_back([&, i] {
            outputs[i] = system.ctl({"apply", "-f", "-", "--token", "owner-token"}, system.models(1, int(i) + 2));
        });
    for (std::thread &it : operators)
        it.join();
    int applied = 0;
    for (const System::Output &it : outputs) {
        applied += it.code == 0 ? 1 : 0;
        if (it.code != 0)
            BOOST_TEST(it.err.find("last changed by 'owner'") != std::string::npos, it.err);
    }
    BOOST_TEST(applied == 1);
    // The owner of one section may not change another.
    const System::Output foreign = system.ctl({"apply", "-f", "-", "--token", "owner-token"}, "sections:\n  platform:\n    revision: 1\n");
    BOOST_TEST(foreign.code == 3);
    BOOST_TEST(system.ctl({"get", "--token", "wrong"}).code == 3);
}

BOOST_AUTO_TEST_CASE(invalidDocumentsChangeNothing)
{
    RunningSystem system("invalid");
    const std::string before = system.ctl({"get"}).out;
    const std::vector<std::pair<std::string, std::string>> cases{
        {"sections:\n  x:\n    modells: []\n", "line 3, column 5"},
        {"sections:\n  x:\n    models:\n      - {name: a, version: v, pool: nowhere, bytes: 1GiB}\n", "line 4, column 9"},
        {"sections:\n  x:\n    models:\n      - {name: a, version: v, pool: pool, bytes: 25GiB}\n", "line 4, column 9"},
        {"sections:\n  x:\n    models:\n      - {name: a, version: v, pool: pool, bytes: 25 apples}\n", "line 4"},
        {"sections: [\n", "line 2"},
        {"sections:\n  x:\n    adapters:\n      - {name: b, version: v, base: none, bytes: 1MiB}\n", "line 4, column 9"},
        {fmt::format("sections:\n  x:\n    callers:\n      - {{name: copy, tokenSha256: {}, class: interactive, use: [\"*\"]}}\n",
                     roserail::sha256Hex("caller-token")),
         "line 4, column 9: section 'x': callers 'caller' and 'copy' have the same token; create one for each"},
    };
    for (const std::pair<std::string, std::string> &it : cases) {
        BOOST_TEST(system.ctl({"check", "-f", "-"}, it.first).code == 6);
        const System::Output output = system.ctl({"apply", "-f", "-"}, it.first);
        BOOST_TEST(output.code == 6);
        BOOST_TEST(output.err.find(it.second) != std::string::npos, output.err);
    }
    BOOST_TEST(system.ctl({"get"}).out == before);
}

BOOST_AUTO_TEST_CASE(changesSurviveKillsOfLeadersAndARestartOfAll)
{
    RunningSystem system("kills", 50);
    uint64_t revision = 1;
    std::string lastId;
    std::string lastText;
    for (int i = 0; i < 60; ++i) {
        if (i % 20 == 10) {
            const int leader = system.waitForLeader();
            system.kill(fmt::format("control-{}", leader));
            system.startControl(leader);
        }
        lastId = fmt::format("change-{}", i);
        lastText = system.models(revision, i % 5 + 1);
        const System::Output output = system.ctl({"apply", "-f", "-", "--change-id", lastId}, lastText);
        BOOST_REQUIRE_MESSAGE(output.code == 0, output.err);
        BOOST_TEST(RunningSystem::revisionOf(output) > revision);
        revision = RunningSystem::revisionOf(output);
    }
    for (const int id : {1, 2, 3})
        system.kill(fmt::format("control-{}", id));
    for (const int id : {1, 2, 3})
        system.startControl(id);
    BOOST_REQUIRE(system.waitForLeader() != 0);
    // A change that is sent again because its answer was lost gets the first answer, restored from the snapshot.
    BOOST_TEST(RunningSystem::revisionOf(system.ctl({"apply", "-f", "-", "--change-id", lastId}, lastText)) == revision);
    BOOST_TEST(system.ctl({"get"}).out.find(fmt::format("revision: {}", revision)) != std::string::npos);
    BOOST_TEST(system.status(system.leader()).value("snapshotIndex", 0) > 50);
}

BOOST_AUTO_TEST_CASE(frozenLeaderIsReplacedAndReportsNoStaleStateOnceResumed)
{
    RunningSystem system("freeze");
    const int old = system.waitForLeader();
    system.signal(fmt::format("control-{}", old), SIGSTOP);
    const System::Output output = system.ctl({"apply", "-f", "-"}, system.models(1, 3));
    BOOST_TEST(output.code == 0, output.err);
    const uint64_t revision = RunningSystem::revisionOf(output);
    system.signal(fmt::format("control-{}", old), SIGCONT);
    for (int i = 0; i < 20; ++i) {
        const Json status = system.status(old);
        BOOST_TEST((!status.value("leads", false) || status.value("revision", uint64_t(0)) >= revision));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(eventually([&] { return system.status(old).value("revision", uint64_t(0)) == revision; }));
}

BOOST_AUTO_TEST_CASE(consecutiveDiskLossesAreRepairedWithoutDataLoss)
{
    RunningSystem system("disks");
    uint64_t revision = RunningSystem::revisionOf(system.ctl({"apply", "-f", "-"}, system.models(1, 4)));
    const std::string document = system.ctl({"get"}).out;
    for (const int lost : {1, 2, 3}) {
        const std::string before = system.status(lost)["self"].dump();
        system.kill(fmt::format("control-{}", lost));
        system.wipe(lost);
        system.startControl(lost);
        // Repair is complete once the new incarnation is a voter.
        const bool repaired = eventually([&] {
            const Json status = system.status(system.leader());
            if (!status.contains("members"))
                return false;
            for (const Json &it : status["members"]) {
                if (it.value("id", 0) == lost && it.value("voter", false)
                    && Json{{"id", it["id"]}, {"incarnation", it["incarnation"]}}.dump() != before)
                    return status["members"].size() == 3;
            }
            return false;
        });
        BOOST_REQUIRE(repaired);
    }
    BOOST_TEST(system.ctl({"get"}).out == document);
    BOOST_TEST(revision == 2u);
    // A second cluster cannot be formed over the existing one.
    BOOST_TEST(system.ctl({"bootstrap", "-f", "/dev/null"}).code == 5);
}

BOOST_AUTO_TEST_CASE(emptyMajorityDoesNotFormACluster)
{
    RunningSystem system("empty");
    for (const int id : {1, 2}) {
        system.kill(fmt::format("control-{}", id));
        system.wipe(id);
        system.startControl(id);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    BOOST_TEST(system.leader() == 0);
    for (const int id : {1, 2})
        BOOST_TEST(!system.status(id).value("founded", true));
}

BOOST_AUTO_TEST_CASE(routerWithoutControlReplicasRefusesRequestsAsNotRun)
{
    RunningSystem system("cut");
    system.startEngine(1);
    // Requests are refused until the engine has announced itself; these refusals must not continue afterwards.
    BOOST_TEST(eventually([&] { return system.stream(1, "small", "hello").done; }));
    for (const int id : {1, 2, 3})
        system.signal(fmt::format("control-{}", id), SIGSTOP);
    BOOST_TEST(eventually([&] { return system.stream(1, "small", "hello").error == "not_run"; }, std::chrono::milliseconds(6000)));
    const CallerResponse refused = system.stream(1, "small", "hello");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.retryAfter != "");
    for (const int id : {1, 2, 3})
        system.signal(fmt::format("control-{}", id), SIGCONT);
    BOOST_TEST(eventually([&] { return system.stream(1, "small", "hello").done; }));
}

BOOST_AUTO_TEST_CASE(acceptedChangeIsInForceOnEveryRouter)
{
    RunningSystem system("force");
    system.startEngine(1);
    BOOST_TEST(eventually([&] { return system.stream(1, "small", "hello").done; }));
    uint64_t revision = 1;
    for (int i = 0; i < 5; ++i) {
        const int max = i % 2 == 0 ? 0 : 1;
        const System::Output output = system.ctl({"apply", "-f", "-"}, system.models(revision, max));
        BOOST_REQUIRE(output.code == 0);
        revision = RunningSystem::revisionOf(output);
        // Both routers apply the change from the moment at which it was accepted.
        for (const int router : {1, 2})
            BOOST_TEST(system.stream(router, "small", "hello", 2, 8000).done == (max == 1));
    }
}

BOOST_AUTO_TEST_CASE(lostAnswersToOrdersNeverExceedMemoryOrReplicaLimits)
{
    for (const bool fenced : {true, false}) {
        RunningSystem system(fenced ? "fenced" : "unfenced");
        for (const int id : {1, 2})
            system.startEngine(id, fenced ? std::vector<std::string>{} : std::vector<std::string>{"--ignores-fencing"});
        BOOST_TEST(eventually([&] { return system.stream(1, "large", "hello").done; }));
        for (int round = 0; round < 3; ++round) {
            for (const int id : {1, 2})
                system.scriptEngine(id, Json{{"drop_answers", 1}, {"delay_orders_ms", round * 300}});
            const int leader = system.waitForLeader();
            std::vector<std::thread> callers;
            for (int i = 0; i < 6; ++i)
                callers.emplace_back([&, i] { system.stream(i % 2 + 1, i % 3 == 0 ? "large" : "small", "hello", 4, 4000); });
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            system.kill(fmt::format("control-{}", leader));
            system.startControl(leader);
            for (std::thread &it : callers)
                it.join();
        }
        for (const int id : {1, 2}) {
            const Json stats = system.engineStats(id);
            BOOST_TEST(stats.value("overcommitted", 1) == 0);
            // Statistics are per engine; the document bounds the sum over both engines.
            BOOST_TEST(stats["peak_replicas"].value("small", 0) <= 1);
        }
        const int large = system.engineStats(1)["replicas"].value("large", 0) + system.engineStats(2)["replicas"].value("large", 0);
        BOOST_TEST(large <= 1);
    }
}
