// roserail-keeper: a control host of a system that is found by seeds. It keeps the configuration and the live state, and
// the one that leads orders what engines hold.

#include "platform/dialect.h"
#include "protocol/hostsettings.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/controlservice.h"
#include "transport/keeperapi.h"
#include "transport/mesh.h"
#include "transport/orderdesk.h"
#include "transport/program.h"

#include <xxhash.h>

namespace
{

using namespace roserail;

constexpr Millis HandOverTime{1500};
constexpr Millis PeersInterval{500};
constexpr uint64_t FounderIncarnation = 1; // a later life of a disk has a random one
constexpr uint64_t SnapshotEvery = 200; // entries; a configuration has 40 KB, and a disk 64 MB

// The same address is the same replica, also with a new disk.
uint64_t replicaId(const std::string &internalAddress)
{
    return XXH64(internalAddress.data(), internalAddress.size(), 0) | 1;
}

// All seeds found the same system without a word to each other: its first members are the seeds, in any order.
void found(ReplicaNode &node, const KeeperSettings &settings)
{
    std::vector<std::string> seeds = settings.host.seeds;
    std::sort(seeds.begin(), seeds.end());
    pb::Membership membership;
    bool seed = false;
    uint64_t clusterId = 1;
    for (const std::string &it : seeds) {
        pb::Member &member = *membership.add_members();
        const std::string internal = fmt::format("{}:{}", parseEndpoint(it).value().address().to_string(), settings.host.internalPort);
        *member.mutable_identity() = toProto(Replica{replicaId(internal), FounderIncarnation});
        member.set_peer_address(internal);
        member.set_operator_address(it);
        member.set_voter(true);
        seed |= it == settings.listen;
        clusterId = XXH64(it.data(), it.size(), clusterId) | 1;
    }
    if (!seed)
        return;
    const Result<void> result = node.found(clusterId, membership);
    if (result.has_error())
        logEvent("founding_refused", {{"error", result.error().message}});
}

// Lets another replica lead before this one goes away.
void handOver(ReplicaNode &node)
{
    const Time deadline = monotonicNow() + HandOverTime;
    while (node.status().role == Role::Leader && monotonicNow() < deadline) {
        node.transferLeadership();
        std::this_thread::sleep_for(Millis(50));
    }
}

// Keeps the list of hosts to share live state with.
Task<> followMembers(net::io_context &io, ReplicaNode &node, MeshSharer &sharer, std::vector<std::string> seeds)
{
    net::steady_timer timer(io);
    while (true) {
        std::vector<std::string> addresses = seeds;
        const ReplicaStatus status = node.status();
        for (const pb::Member &it : status.membership.members())
            addresses.push_back(it.peer_address());
        sharer.setPeers(addresses);
        ErrorCode ec;
        timer.expires_after(PeersInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
}

int serve(const KeeperSettings &settings)
{
    const std::string internal = fmt::format("{}:{}", settings.host.address, settings.host.internalPort);
    const uint64_t id = replicaId(internal);
    Result<std::unique_ptr<Storage>> storage
        = Storage::open(settings.dataFolder, id, settings.mayFound ? FounderIncarnation : randomNumber());
    if (storage.has_error())
        return reportFatal(storage.error());
    pb::Member self;
    self.set_peer_address(internal);
    self.set_operator_address(settings.listen);
    std::map<uint64_t, std::string> seeds;
    for (const std::string &it : internalSeeds(settings.host)) {
        if (it != internal)
            seeds[replicaId(it)] = it;
    }
    const MembershipPolicy policy{true, 2 * settings.lossesToBear + 1};
    ReplicaNode node(std::move(storage.value()), self, seeds, SnapshotEvery, randomNumber(), policy);
    if (settings.mayFound && node.status().clusterId == 0)
        found(node, settings);
    LiveTable table(Lifetimes{tunables::EndpointSilence, tunables::RouterSilence}, monotonicNow());
    PeerService peerService(node);
    MeshService meshService(table, node, internalSeeds(settings.host), randomNumber());
    const std::unique_ptr<grpc::Server> server = startGrpcServer(internal, {&peerService, &meshService});
    if (!server)
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or correct 'internalPort'", internal), 0});
    net::io_context io(1);
    KeeperApi api(io, platform::dialect(), table, node);
    HttpServer http(io, [&api](CallerConnection &caller) { return api.handle(caller); });
    const Result<void> listening = http.listen(settings.listen);
    if (listening.has_error())
        return reportFatal(listening.error());
    HttpServer metricsServer(io, answerMetrics);
    if (!settings.host.metrics.empty() && metricsServer.listen(settings.host.metrics).has_error())
        return reportFatal(Error{ErrorKind::BadSettings, "cannot listen on 'metrics'; free the port or correct the address", 0});
    OrderDesk desk(io, platform::dialect(), table, node, settings.host.id, settings.orderLease);
    MeshSharer sharer(table, internal);
    net::co_spawn(io, desk.run(), net::detached);
    net::co_spawn(io, followMembers(io, node, sharer, internalSeeds(settings.host)), net::detached);
    std::thread worker([&io] { io.run(); });
    logEvent("started",
             {{"version", ROSERAIL_VERSION}, {"internal", internal}, {"listen", settings.listen}, {"mayFound", settings.mayFound}});
    waitForStop();
    handOver(node);
    io.stop();
    worker.join();
    server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    logEvent("stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-keeper",
        "A control host of roserail that is found by seeds: configuration, live state, contents of engines.",
        [](const std::string &text, const std::string &file) -> Result<std::string> {
            BOOST_OUTCOME_TRY(settings, parseKeeperSettings(text, file));
            return describe(settings);
        },
        [](const std::string &text, const std::string &file) {
            const KeeperSettings settings = parseKeeperSettings(text, file).value();
            setLogProcess(fmt::format("keeper-{}", settings.host.id));
            logToStandardOutput();
            return serve(settings);
        },
    };
    return runProgram(argc, argv, program);
}
