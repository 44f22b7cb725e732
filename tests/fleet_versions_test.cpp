// Tests of an entry host that is out of step with the others, because it stood still or is cut from the control hosts, while runners
// of another software version join and begin streams, which their callers then continue at that host.
#define BOOST_TEST_MODULE fleet_versions
#include "fleet.h"
#include "mesh.grpc.pb.h"
#include "transport/clock.h"

#include <algorithm>
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/server_builder.h>
#include <thread>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int OneVersionPort = 29800; // first of the test with one version; each test uses a range of its own
constexpr int InTouch = 1; // entry host
constexpr int OutOfStep = 2; // entry host
constexpr const char *LinkHost = "127.0.0.9"; // of the control host that a cut host is told
constexpr int Streams = 32;
constexpr size_t MinStreams = 6; // begun by the version whose streams are continued
constexpr std::chrono::milliseconds RefusalTime{1500}; // MaxConfigurationWait and some scheduling delay
constexpr std::chrono::milliseconds MomentAwake{60}; // between two freezes; a poll takes less
constexpr std::chrono::milliseconds QuietWait{500}; // until a control host that was asked at once has answered

enum class Trouble {
    None,
    Freeze,
    CutWithoutAnswer, // polls get no answer
    CutByRefusal, // polls fail at once
    ControlFreeze, // of the follower that the host polls
};

// The link of one router to the control hosts: passes its polls on to one of them, and names itself as the only one.
class ControlLink final : public pb::Mesh::Service
{
public:
    ControlLink(const std::string &address, const std::string &target)
        : m_address(address)
        , m_stub(pb::Mesh::NewStub(grpc::CreateChannel(target, grpc::InsecureChannelCredentials())))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }
    ~ControlLink() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    void cut(Trouble trouble)
    {
        m_trouble = trouble;
    }
    grpc::Status Sync(grpc::ServerContext *context, const pb::SyncRequest *request, pb::SyncReply *reply) override
    {
        while (m_trouble == Trouble::CutWithoutAnswer && !context->IsCancelled())
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        if (m_trouble != Trouble::None)
            return grpc::Status(grpc::StatusCode::UNAVAILABLE, "cut");
        grpc::ClientContext forwarded;
        forwarded.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(1));
        grpc::Status status = m_stub->Sync(&forwarded, *request, reply);
        reply->clear_control();
        reply->add_control(m_address);
        return status;
    }

private:
    std::string m_address;
    std::unique_ptr<pb::Mesh::Stub> m_stub;
    std::atomic<Trouble> m_trouble{Trouble::None};
    std::unique_ptr<grpc::Server> m_server;
};

struct OutOfStepHost {
    std::string name;
    int firstPort = 0; // of a range of its own
    Trouble trouble = Trouble::None;
    std::chrono::milliseconds time{0}; // of a freeze
    bool versionEnds = false; // the runner of the version that began the streams is killed before the callers come back
    bool twice = false; // the freeze, with a moment between
    int beganAt = 2; // runner: 1 has the old version, 2 the new one
};

std::ostream &operator<<(std::ostream &out, const OutOfStepHost &it)
{
    return out << it.name;
}

const std::vector<OutOfStepHost> OutOfStepHosts{
    {"in touch", 29300, Trouble::None, std::chrono::milliseconds(3000), false},
    {"stood still", 29400, Trouble::Freeze, std::chrono::milliseconds(3000), false},
    {"stood still for longer, and the new version has left", 29500, Trouble::Freeze, std::chrono::milliseconds(6000), true},
    {"cut without an answer", 29600, Trouble::CutWithoutAnswer, std::chrono::milliseconds(3000), false},
    {"cut by refusals", 29700, Trouble::CutByRefusal, std::chrono::milliseconds(3000), true},
    {"stood still twice, and the new version has left", 19500, Trouble::Freeze, std::chrono::milliseconds(2000), true, true},
    {"stood still, and the old version has left", 19600, Trouble::Freeze, std::chrono::milliseconds(2000), true, false, 1},
    {"its control host stood still", 19700, Trouble::ControlFreeze, std::chrono::milliseconds(2000), true},
};

struct Outcome {
    int continued = 0;
    int mixed = 0;
    std::chrono::milliseconds longestRefusal{0};
    std::map<std::string, int> refusals; // by their text
};

// Continues the streams at the host that is out of step, all at once, and lets the process that stands still go on meanwhile, if any.
Outcome continueStreams(Fleet &fleet, const std::vector<std::string> &begun, const std::string &frozen, int otherRunner)
{
    std::vector<int> statuses(begun.size());
    std::vector<std::chrono::milliseconds> times(begun.size());
    std::vector<std::string> refusals(begun.size());
    std::vector<std::thread> callers;
    std::atomic<Time> goesOnAt{monotonicNow()};
    for (size_t n = 0; n < begun.size(); ++n) {
        callers.emplace_back([&, n] {
            const httplib::Result result = fleet.sendRequest(OutOfStep, "/e/events/5/", "continues-" + begun[n], "m1",
                                                             {{"Last-Event-Id", "2"}, {"Resumes", begun[n]}});
            statuses[n] = result ? result->status : 0;
            if (result && result->status == 503)
                refusals[n] = result->body;
            times[n] = monotonicNow() - goesOnAt.load();
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    if (!frozen.empty()) {
        goesOnAt = monotonicNow();
        fleet.signal(frozen, SIGCONT);
    }
    for (std::thread &it : callers)
        it.join();
    Outcome outcome;
    const Json other = fleet.requestRecords(otherRunner);
    for (size_t n = 0; n < begun.size(); ++n) {
        outcome.continued += statuses[n] == 200 ? 1 : 0;
        outcome.mixed += other.contains("continues-" + begun[n]) ? 1 : 0;
        if (!refusals[n].empty())
            ++outcome.refusals[refusals[n]];
        if (statuses[n] == 503)
            outcome.longestRefusal = std::max(outcome.longestRefusal, times[n]);
    }
    return outcome;
}

} // namespace

// Guards against a stream that is joined from two software versions at a host that was out of step while the second one joined: its
// list of versions, and of runners, is an old one.
BOOST_DATA_TEST_CASE(hostThatWasOutOfStepJoinsNoVersions, bdata::make(OutOfStepHosts), host)
{
    Fleet fleet(fmt::format("versions-{}", host.firstPort), host.firstPort);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true, 300);
    int control = 1;
    if (host.trouble == Trouble::ControlFreeze) {
        BOOST_REQUIRE(eventually([&] { return fleet.leader() != 0; }));
        control = fleet.leader() == 1 ? 2 : 1;
    }
    ControlLink link(fmt::format("{}:{}", LinkHost, fleet.internalPort()), fmt::format("127.0.0.{}:{}", control, fleet.internalPort()));
    fleet.startEntry(InTouch);
    fleet.startEntry(OutOfStep, LinkHost);
    fleet.startRunner(1, "engines", "m1", true);
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady({InTouch, OutOfStep}));
    BOOST_REQUIRE(fleet.waitForEndpoints({InTouch, OutOfStep}, 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));

    const Time since = monotonicNow();
    std::string frozen; // process
    if (host.trouble == Trouble::Freeze)
        frozen = fmt::format("entry-{}", OutOfStep);
    else if (host.trouble == Trouble::ControlFreeze)
        frozen = fmt::format("keeper-{}", control);
    if (!frozen.empty())
        fleet.signal(frozen, SIGSTOP);
    else
        link.cut(host.trouble);
    fleet.startRunner(2, "engines", "m1", true, "", "v2");
    BOOST_REQUIRE(fleet.waitForEndpoints({InTouch}, 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::vector<std::thread> callers; // at the same time, so that both runners serve
    for (int n = 0; n < Streams; ++n) {
        callers.emplace_back([&fleet, n] { fleet.sendRequest(InTouch, "/e/events/2/pause/200/", fmt::format("stream-{}", n), "m1"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::thread &it : callers)
        it.join();
    std::vector<std::string> begun;
    const Json records = fleet.requestRecords(host.beganAt);
    for (const auto &it : records.items())
        begun.push_back(it.key());
    BOOST_REQUIRE(begun.size() >= MinStreams);
    if (host.versionEnds)
        fleet.kill(fmt::format("runner-{}", host.beganAt));
    if (host.twice) {
        fleet.signal(frozen, SIGCONT);
        std::this_thread::sleep_for(MomentAwake);
        fleet.signal(frozen, SIGSTOP);
    }
    std::this_thread::sleep_for(host.time - (monotonicNow() - since));

    const Outcome outcome = continueStreams(fleet, begun, frozen, 3 - host.beganAt);
    BOOST_TEST_MESSAGE(fmt::format("{}: {} streams, {} continued, {} joined from two versions, refused within {} ms", host.name,
                                   begun.size(), outcome.continued, outcome.mixed, outcome.longestRefusal.count()));
    for (const std::pair<const std::string, int> &it : outcome.refusals)
        BOOST_TEST_MESSAGE(fmt::format("refused {}: {}", it.second, it.first));
    BOOST_TEST(outcome.mixed == 0);
    BOOST_TEST((outcome.longestRefusal < RefusalTime));
    // A host in touch, or again so, continues most of them.
    if (host.trouble == Trouble::None || (host.trouble == Trouble::Freeze && !host.versionEnds))
        BOOST_TEST(2 * outcome.continued >= int(begun.size()));
}

// Guards against callers of a system with one version, none of whose hosts is out of step, that wait or are refused when they continue.
BOOST_AUTO_TEST_CASE(streamsOfTheOnlyVersionGoOnWithoutDelay)
{
    Fleet fleet("versions-one", OneVersionPort);
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true, 300);
    fleet.startEntry(InTouch);
    fleet.startRunner(1, "engines", "m1", true);
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putConfiguration(1, 5);
        return result && result->status == 200;
    }));
    BOOST_REQUIRE(fleet.waitUntilReady({InTouch}));
    BOOST_REQUIRE(fleet.waitForEndpoints({InTouch}, 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    std::vector<Millis> times;
    for (int n = 0; n < Streams; ++n) {
        const Time since = monotonicNow();
        const httplib::Result result = fleet.sendRequest(InTouch, "/e/events/5/", fmt::format("continues-{}", n), "m1",
                                                         {{"Last-Event-Id", "2"}, {"Resumes", fmt::format("elsewhere-{}", n)}});
        times.push_back(monotonicNow() - since);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(70 + 10 * (n % 7)));
    }
    std::sort(times.begin(), times.end());
    BOOST_TEST_MESSAGE(
        fmt::format("continued after {} ms (median), {} ms (longest)", times[times.size() / 2].count(), times.back().count()));
    BOOST_TEST((times.back() < QuietWait));
}
