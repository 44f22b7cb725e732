// roserail-keeper: runs a control host of a system whose processes discover each other through seeds. Control hosts store
// the configuration and the live state; their leader sends the load and unload orders to the model engines.

#include "platform/codec.h"
#include "protocol/hostsettings.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "protocol/statedump.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/controlpeers.h"
#include "transport/controlservice.h"
#include "transport/grpcserver.h"
#include "transport/keeperapi.h"
#include "transport/mesh.h"
#include "transport/ordersender.h"
#include "transport/program.h"
#include "transport/tasks.h"

#include <algorithm>
#include <atomic>

namespace
{

using namespace roserail;

constexpr uint64_t SnapshotIntervalEntries = 200; // of the log; a configuration takes 40 KB, and a disk has 64 MB

// Opens the replica of the log on a host that has a disk.
Result<std::unique_ptr<ReplicaNode>> openReplica(const KeeperSettings &settings)
{
    const std::string internal = internalAddress(settings);
    const uint64_t incarnation = settings.mayFound ? BootstrapIncarnation : randomNumber();
    BOOST_OUTCOME_TRY(storage, Storage::open(settings.dataFolder, replicaId(internal), incarnation));
    pb::Member self;
    self.set_peer_address(internal);
    self.set_operator_address(settings.listen);
    std::map<uint64_t, std::string> seeds;
    for (const std::string &it : internalSeeds(settings.host)) {
        if (it != internal)
            seeds[replicaId(it)] = it;
    }
    const MembershipPolicy policy{true, 2 * settings.lossesToBear + 1};
    return std::make_unique<ReplicaNode>(std::move(storage), self, seeds, SnapshotIntervalEntries, randomNumber(), policy);
}

// Returns the state of this process as JSON. `node` is null on a host without a disk.
std::string dumpState(const LiveTable &table, const ReplicaNode *node, const QuotaGranter &quotas)
{
    const Time now = monotonicNow();
    nlohmann::json process{{"configuration", table.configurationVersion()}, {"disk", node != nullptr}};
    if (node != nullptr) {
        const ReplicaStatus status = node->status();
        process["term"] = status.term;
        process["leads"] = status.leads(now);
        process["committed"] = status.commitIndex;
        process["applied"] = status.appliedIndex;
        process["last"] = status.lastIndex;
        process["snapshot"] = status.snapshotIndex;
        process["disk_fault"] = status.diskFault;
        process["log_bytes"] = status.logBytes;
        process["quotas"] = quotas.dump();
    }
    return table.read([&](const Registry &registry) { return stateDump(std::move(process), registry, now); });
}

// Waits until `done` returns true, but no longer than the limit.
Task<> pollUntil(net::io_context &io, std::function<bool()> done, Time limit)
{
    net::steady_timer timer(io);
    while (!done() && monotonicNow() < limit) {
        ErrorCode ec;
        timer.expires_after(tunables::StopPollInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
}

// Takes calls of operators and runners until the leadership has been handed over, answers those that it has taken, and then stops
// `io`, at the deadline at the latest.
Task<> stopServing(net::io_context &io, std::vector<HttpServer *> servers, KeeperApi &api, const std::atomic<bool> &handedOver,
                   Time deadline)
{
    const Time answersEnd = deadline - tunables::StopAnswerMargin;
    const std::function<bool()> idle = [&servers] {
        return std::all_of(servers.begin(), servers.end(), [](const HttpServer *it) { return it->connections() == 0; });
    };
    const std::function<bool()> ledNoLonger = [&handedOver] {
        return handedOver.load();
    };
    api.answerBy(answersEnd);
    for (HttpServer *it : servers)
        it->drain();
    co_await pollUntil(io, ledNoLonger, answersEnd);
    for (HttpServer *it : servers)
        it->finish();
    co_await pollUntil(io, idle, answersEnd);
    for (HttpServer *it : servers)
        it->stopReading();
    co_await pollUntil(io, idle, deadline);
    io.stop();
}

int serve(const KeeperSettings &settings, const std::string &file)
{
    const std::string internal = internalAddress(settings);
    std::unique_ptr<ReplicaNode> node;
    std::vector<grpc::Service *> services;
    std::unique_ptr<PeerService> peerService;
    if (!settings.dataFolder.empty()) {
        Result<std::unique_ptr<ReplicaNode>> opened = openReplica(settings);
        if (opened.has_error())
            return reportFatal(opened.error());
        node = std::move(opened.value());
        peerService = std::make_unique<PeerService>(*node);
        services.push_back(peerService.get());
    }
    LiveTable table(HeartbeatTimeouts{tunables::EndpointLivenessTimeout, tunables::RouterLivenessTimeout}, monotonicNow());
    MeshService meshService(table, internal, internalSeeds(settings.host), node != nullptr, randomNumber());
    if (node)
        meshService.setStreams([&node](StreamId stream) {
            return node->withMachine([stream](const StateMachine &machine) { return machine.streams().find(stream); });
        });
    QuotaGranter quotas(node.get(), table, settings.host.quota);
    meshService.setQuotas(quotas);
    services.push_back(&meshService);
    const std::shared_ptr<Ingress> ingress = std::make_shared<Ingress>(settings.host.limits);
    const std::unique_ptr<GrpcServer> server = GrpcServer::start(internal, services, ingress->budget());
    if (!server)
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or change 'internalPort'", internal), 0});
    net::io_context io(1);
    KeeperApi api(io, platform::codec(), table, node.get());
    HttpServer httpServer(
        io, [&api](CallerConnection &caller) { return api.handle(caller); }, ingress, tunables::CallersDescriptorShare);
    const Result<void> listening = httpServer.listen(settings.listen);
    if (listening.has_error())
        return reportFatal(listening.error());
    const std::function<std::string()> dump = [&table, &node, &quotas] {
        return dumpState(table, node.get(), quotas);
    };
    HttpServer metricsServer(
        io, [&dump](CallerConnection &caller) { return answerMonitoring(caller, dump); }, ingress, tunables::MonitoringDescriptorShare);
    if (!settings.host.metrics.empty() && metricsServer.listen(settings.host.metrics).has_error())
        return reportFatal(Error{ErrorKind::BadSettings, "cannot listen on 'metrics'; free the port or change the address", 0});
    std::unique_ptr<OrderSender> orders;
    if (node) {
        orders = std::make_unique<OrderSender>(io, platform::codec(), table, *node, settings.host.id, settings.orderLease);
        orders->onRoutes([&quotas](const std::shared_ptr<const RouteTable> &routes) { quotas.setRoutes(routes); });
        spawn(io, "send_orders", orders->run());
    }
    ControlPeers peers(io, settings, table, node.get());
    spawn(io, "update_peers", peers.run());
    std::thread ioThread([&io] { io.run(); });
    logEvent("started",
             {{"version", ROSERAIL_VERSION},
              {"internal", internal},
              {"listen", settings.listen},
              {"disk", node != nullptr},
              {"may_found", settings.mayFound}});
    waitForStopSignal([&] {
        reloadSettings<KeeperSettings>(file, parseKeeperSettings, [&](const KeeperSettings &changed) {
            quotas.setBounds(changed.host.quota);
            net::post(io, [&peers, changed] { peers.applySettings(changed); });
        });
    });
    std::atomic<bool> handedOver = false;
    const Time deadline = monotonicNow() + settings.host.grace - tunables::KeeperExitMargin;
    const std::vector<HttpServer *> servers{&httpServer, &metricsServer};
    spawn(io, "stop", stopServing(io, servers, api, handedOver, deadline), [&io] { io.stop(); });
    if (node)
        node->handOverLeadership();
    handedOver = true;
    ioThread.join();
    server->shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    logEvent("stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-keeper",
        "Control host of roserail, discovered through seeds: configuration, live state, and what the model engines load.",
        [](const std::string &text, const std::string &file) -> Result<std::string> {
            BOOST_OUTCOME_TRY(settings, parseKeeperSettings(text, file));
            return toYaml(settings);
        },
        [](const std::string &text, const std::string &file) {
            const KeeperSettings settings = parseKeeperSettings(text, file).value();
            setLogProcess(fmt::format("keeper-{}", settings.host.id));
            setLogDetail(settings.host.log);
            logToStandardOutput();
            return serve(settings, file);
        },
    };
    return runProgram(argc, argv, program);
}
