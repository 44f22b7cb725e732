// roserail-control: runs one control replica, with its peer protocol, its control service and the operators' HTTP API.

#include "coordination/ingressbudget.h"
#include "protocol/log.h"
#include "protocol/settings.h"
#include "transport/clock.h"
#include "transport/controlservice.h"
#include "transport/grpcserver.h"
#include "transport/operatorapi.h"
#include "transport/program.h"

namespace
{

using namespace roserail;

int serve(const ControlSettings &settings)
{
    Result<std::unique_ptr<Storage>> storage = Storage::open(settings.dataFolder, settings.id, randomNumber());
    if (storage.has_error())
        return reportFatal(storage.error());
    pb::Member self;
    self.set_peer_address(settings.peerAddress);
    self.set_operator_address(settings.operatorAddress);
    std::map<uint64_t, std::string> seeds;
    for (const PeerSettings &it : settings.replicas) {
        if (it.id != settings.id)
            seeds[it.id] = it.peerAddress;
    }
    ReplicaNode node(std::move(storage.value()), self, seeds, settings.snapshotEvery, randomNumber());
    Coordinator coordinator(node);
    PeerService peerService(node);
    ControlService controlService(node, coordinator);
    IngressBudget budget(settings.limits.memory, settings.limits.descriptors);
    const std::unique_ptr<GrpcServer> server = GrpcServer::start(settings.peerAddress, {&peerService, &controlService}, budget);
    if (!server)
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or change 'peerAddress'", settings.peerAddress)});
    OperatorApi api(settings, node, coordinator);
    if (!api.bind())
        return reportFatal(Error{ErrorKind::BadSettings,
                                 fmt::format("cannot listen on {}; free the port or change 'operatorAddress'", settings.operatorAddress)});
    std::thread httpThread([&] { api.listen(); });
    logEvent("started", {{"version", ROSERAIL_VERSION}, {"peer", settings.peerAddress}, {"operator", settings.operatorAddress}});
    waitForStopSignal();
    api.drain();
    node.handOverLeadership();
    // The server closes a connection whose answer ends after this, also if the answer's head has told the caller to keep it.
    std::this_thread::sleep_for(tunables::ControlDrainTime);
    api.stop();
    httpThread.join();
    server->shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
    logEvent("stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-control",
        "Control replica of roserail: replicated state, placement and configuration.",
        [](const std::string &text, const std::string &file) -> Result<std::string> {
            BOOST_OUTCOME_TRY(settings, parseControlSettings(text, file));
            return toYaml(settings);
        },
        [](const std::string &text, const std::string &file) {
            const ControlSettings settings = parseControlSettings(text, file).value();
            setLogProcess(fmt::format("control-{}", settings.id));
            return serve(settings);
        },
    };
    return runProgram(argc, argv, program);
}
