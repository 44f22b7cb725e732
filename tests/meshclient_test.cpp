// Tests of a router's session with the control hosts: a real client, and control hosts that are servers of the test's own.
#define BOOST_TEST_MODULE meshclient
#include "mesh.grpc.pb.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/mesh.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <thread>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

// A control host that serves routers, or refers them to the hosts in its list.
class ControlHost final : public pb::Mesh::Service
{
public:
    ControlHost()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        m_address = fmt::format("127.0.0.1:{}", port);
    }
    ~ControlHost() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    grpc::Status Sync(grpc::ServerContext *, const pb::SyncRequest *, pb::SyncReply *reply) override
    {
        ++polls;
        if (fails)
            return grpc::Status(grpc::StatusCode::UNAVAILABLE, "");
        reply->set_epoch(serves ? 1 : 0);
        const std::lock_guard lock(m_mutex);
        for (const std::string &it : m_listed)
            reply->add_control(it);
        return grpc::Status::OK;
    }
    void list(std::vector<std::string> hosts)
    {
        const std::lock_guard lock(m_mutex);
        m_listed = std::move(hosts);
    }
    const std::string &address() const
    {
        return m_address;
    }
    std::atomic<bool> serves{true};
    std::atomic<bool> fails{false};
    std::atomic<int> polls{0};

private:
    std::mutex m_mutex;
    std::vector<std::string> m_listed;
    std::string m_address;
    std::unique_ptr<grpc::Server> m_server;
};

template <typename Condition>
bool becomes(Condition condition, Millis limit)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(Millis(10));
    return condition();
}

} // namespace

// Guards against a router that believes the hosts of a cut-off minority about who else there is: they name each other, and the
// router asked them in turn and never the majority again, while it went on by an old configuration.
BOOST_DATA_TEST_CASE(routerFindsTheMajorityAgainAfterASplit, bdata::make({0, 1, 2}), seedsOfTheMinority)
{
    ControlHost majority;
    ControlHost minority1;
    ControlHost minority2;
    const std::vector<std::string> all{majority.address(), minority1.address(), minority2.address()};
    for (ControlHost *it : {&majority, &minority1, &minority2})
        it->list(all);
    std::vector<std::string> seeds{minority1.address()};
    if (seedsOfTheMinority != 1)
        seeds.push_back(minority2.address());
    std::atomic<int> served = 0;
    MeshClient client(
        seeds, [] { return pb::SyncRequest(); }, [&](const pb::SyncReply &, Time) { ++served; });
    BOOST_REQUIRE(becomes([&] { return served > 0; }, Millis(5000)));
    // The core is split, and the majority is without a leader for a while.
    for (ControlHost *it : {&minority1, &minority2}) {
        it->list({minority1.address(), minority2.address()});
        it->serves = false;
    }
    majority.fails = true;
    std::this_thread::sleep_for(Millis(1500));
    served = 0;
    majority.fails = false;
    // Three known hosts, each of which answers at once or fails at once.
    BOOST_TEST(becomes([&] { return served > 0; }, Millis(1000)));
}

// Guards against a router that replaces what it knows by the list of a host that has just started on the wrong side of a split.
BOOST_AUTO_TEST_CASE(routerRemembersHostsThatTheServingHostDoesNotName)
{
    ControlHost majority;
    ControlHost minority;
    majority.list({majority.address(), minority.address()});
    minority.list({majority.address(), minority.address()});
    std::atomic<int> served = 0;
    MeshClient client(
        {minority.address()}, [] { return pb::SyncRequest(); }, [&](const pb::SyncReply &, Time) { ++served; });
    BOOST_REQUIRE(becomes([&] { return served > 0; }, Millis(5000)));
    majority.fails = true;
    minority.list({minority.address()});
    BOOST_REQUIRE(becomes([&, before = minority.polls.load()] { return minority.polls > before + 3; }, Millis(5000)));
    minority.serves = false;
    majority.fails = false;
    served = 0;
    BOOST_TEST(becomes([&] { return served > 0; }, Millis(1000)));
}

// Guards against routers that all come to the same control host when those of their availability zone are cut off.
BOOST_AUTO_TEST_CASE(routersWithoutAHostInTheirZoneUseDifferentOnes)
{
    constexpr int routers = 90;
    LiveTable table(HeartbeatTimeouts{Millis(9000), Millis(5000)}, monotonicNow());
    for (int n = 0; n < 3; ++n) {
        pb::KeeperState state;
        state.set_address(fmt::format("10.0.{}.1:7380", n));
        state.set_zone(fmt::format("z{}", n));
        state.set_disk(true);
        state.set_incarnation(1);
        state.set_sequence(1);
        table.change([&](Registry &registry) { registry.merge(state, monotonicNow()); });
    }
    MeshService service(table, "10.0.9.1:7380", {"10.0.0.1:7380"}, false, 1);
    std::map<std::string, int> firstChoice;
    for (int n = 0; n < routers; ++n) {
        pb::SyncRequest request;
        request.mutable_router()->set_router(fmt::format("router-{}", n));
        request.mutable_router()->set_zone("z9");
        pb::SyncReply reply;
        BOOST_REQUIRE(service.Sync(nullptr, &request, &reply).ok());
        BOOST_REQUIRE(reply.control_size() == 3);
        ++firstChoice[reply.control(0)];
    }
    BOOST_TEST(firstChoice.size() == 3u);
    for (const std::pair<const std::string, int> &it : firstChoice)
        BOOST_TEST(it.second >= routers / 6);
}

namespace
{

// A control host that knows many routers, each with the state of a router that has seen crashes, and a configuration.
struct BusyHost {
    BusyHost()
    {
        for (int n = 0; n < routers; ++n) {
            pb::RouterState state;
            state.set_router(fmt::format("router-{}", n));
            state.set_incarnation(1);
            state.set_sequence(1);
            state.set_accepting(true);
            for (uint64_t part = 0; part < 64; ++part)
                state.add_sound_parts(part);
            table.change([&](Registry &registry) { registry.merge(state, monotonicNow()); });
        }
        pb::WholeConfiguration configuration;
        configuration.set_version(1);
        configuration.set_content(std::string(1000, 'x'));
        table.mergeConfiguration(configuration);
    }
    // Polls as a router that this host has served before and that lacks everything since.
    pb::SyncReply poll(int router, uint64_t configuration)
    {
        pb::SyncRequest request;
        request.mutable_router()->set_router(fmt::format("router-{}", router));
        request.set_epoch(epoch);
        request.set_configuration(configuration);
        request.mutable_progress();
        pb::SyncReply reply;
        BOOST_REQUIRE(service.Sync(nullptr, &request, &reply).ok());
        return reply;
    }
    static constexpr int routers = 300;
    static constexpr uint64_t epoch = 1;
    LiveTable table{HeartbeatTimeouts{Millis(9000), Millis(5000)}, monotonicNow()};
    MeshService service{table, "10.0.0.1:7380", {"10.0.0.1:7380"}, true, epoch};
};

} // namespace

// Guards against changes of the live state that fill the link of a control host when all routers poll it: heartbeats of control
// hosts and configurations were late for seconds.
BOOST_AUTO_TEST_CASE(changesForManyRoutersLeaveRoomOnTheLink)
{
    BusyHost host;
    size_t bytes = 0;
    const Time start = monotonicNow();
    for (int n = 0; n < BusyHost::routers; ++n) {
        const pb::SyncReply reply = host.poll(n, 1);
        bytes += reply.ByteSizeLong();
        // What was left out comes with a later poll.
        BOOST_REQUIRE((reply.routers_size() > 0 || reply.version() == 0));
    }
    const double passedMs = double((monotonicNow() - start + tunables::MaxReplyBacklog).count());
    const size_t largestReply = size_t(BusyHost::routers) * 700;
    BOOST_TEST(double(bytes) < tunables::MaxReplyBytesPerSecond * passedMs / 1000 + double(largestReply)
                   + double(BusyHost::routers * tunables::MaxUnlimitedReplyBytes));
}

// Guards against a configuration that waits while routers fetch other changes.
BOOST_AUTO_TEST_CASE(configurationIsSentBeforeOtherChanges)
{
    BusyHost host;
    for (int n = 0; n < 30; ++n)
        host.poll(n, 1);
    BOOST_TEST(host.poll(31, 0).has_configuration_piece());
}
