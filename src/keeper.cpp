// roserail-keeper: a control host of a system that is found by seeds. It keeps the configuration and the live state, and
// the one that leads orders what engines hold.

#include "coordination/founding.h"
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
constexpr Millis NeighbourhoodInterval{100}; // a change of leader or configuration is known to all hosts soon after
constexpr uint64_t FounderIncarnation = 1; // a later life of a disk has a random one
constexpr uint64_t SnapshotEvery = 200; // entries; a configuration has 40 KB, and a disk 64 MB

// The same address is the same replica, also with a new disk.
uint64_t replicaId(const std::string &internalAddress)
{
    return XXH64(internalAddress.data(), internalAddress.size(), 0) | 1;
}

// Begins a new system with these hosts as its first members. Each of them does the same, in any order.
void found(ReplicaNode &node, const std::vector<std::string> &founders, const Registry &registry)
{
    pb::Membership membership;
    uint64_t clusterId = 1;
    for (const std::string &it : founders) {
        pb::Member &member = *membership.add_members();
        *member.mutable_identity() = toProto(Replica{replicaId(it), FounderIncarnation});
        member.set_peer_address(it);
        member.set_operator_address(registry.keepers().at(it).state.operator_address());
        member.set_voter(true);
        clusterId = XXH64(it.data(), it.size(), clusterId) | 1;
    }
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

// A control host's knowledge of the others: says what it is itself, founds a new system if that falls to it, and keeps
// the lists of hosts to share live state with and to ask to be taken in.
class Neighbourhood
{
public:
    Neighbourhood(net::io_context &io, const KeeperSettings &settings, LiveTable &table, ReplicaNode *node)
        : m_io(io)
        , m_table(table)
        , m_node(node)
        , m_sharer(table, internalAddress(settings))
    {
        m_view.self = internalAddress(settings);
        m_view.seeds = internalSeeds(settings.host);
        m_view.disk = node != nullptr;
        m_view.mayFound = settings.mayFound;
        m_view.startedAt = monotonicNow();
        m_state.set_address(m_view.self);
        m_state.set_operator_address(settings.listen);
        m_state.set_incarnation(wallMillis());
        m_state.set_zone(settings.host.zone);
        m_state.set_disk(m_view.disk);
        m_state.set_may_found(m_view.mayFound);
    }

    static std::string internalAddress(const KeeperSettings &settings)
    {
        return fmt::format("{}:{}", settings.host.address, settings.host.internalPort);
    }

    // Takes over what may change while the process runs: the seeds.
    void applySettings(const KeeperSettings &settings)
    {
        m_view.seeds = internalSeeds(settings.host);
        logEvent("settings", {{"seeds", fmt::format("{}", fmt::join(settings.host.seeds, ","))}});
    }

    Task<> run()
    {
        net::steady_timer timer(m_io);
        while (true) {
            step(monotonicNow());
            ErrorCode ec;
            timer.expires_after(NeighbourhoodInterval);
            co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
        }
    }

private:
    void step(Time now)
    {
        sayState(now);
        std::vector<std::string> addresses = m_view.seeds;
        std::map<uint64_t, std::string> contacts;
        m_table.read([&](const Registry &registry) {
            for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
                addresses.push_back(it.first);
                if (it.second.state.disk() && it.first != m_view.self)
                    contacts[replicaId(it.first)] = it.first;
            }
        });
        m_sharer.setPeers(addresses);
        if (m_node == nullptr)
            return;
        m_node->setContacts(std::move(contacts));
        const uint64_t known = m_table.configurationVersion();
        m_node->withMachine([&](const Machine &machine) {
            if (machine.configuration().version() > known)
                m_table.takeConfiguration(machine.configuration());
        });
        if (m_view.mayFound && m_node->status().clusterId == 0)
            foundIfDue();
    }

    void sayState(Time now)
    {
        const ReplicaStatus status = m_node == nullptr ? ReplicaStatus() : m_node->status();
        const uint64_t term = status.leads(now) ? status.term : 0;
        const std::string founder
            = m_view.mayFound ? m_table.read([&](const Registry &registry) { return nameFounder(m_view, registry, now); }) : "";
        // A name once given stays: nobody else may found.
        if (m_state.founder().empty())
            m_state.set_founder(founder);
        if (now < m_sayAt && term == m_state.term() && founder == m_state.founder())
            return;
        m_sayAt = now + tunables::KeeperInterval;
        m_state.set_term(term);
        m_state.set_sequence(m_state.sequence() + 1);
        m_table.change([&](Registry &registry) { registry.take(m_state, now); });
    }

    void foundIfDue()
    {
        const std::vector<std::string> first = m_table.read([&](const Registry &registry) { return founders(m_view, registry); });
        if (!first.empty())
            m_table.read([&](const Registry &registry) { found(*m_node, first, registry); });
    }

    net::io_context &m_io;
    LiveTable &m_table;
    ReplicaNode *m_node; // null on a host without a disk
    FoundingView m_view;
    pb::KeeperState m_state;
    Time m_sayAt{};
    MeshSharer m_sharer;
};

// The replica of the log, on a host with a disk.
Result<std::unique_ptr<ReplicaNode>> openReplica(const KeeperSettings &settings)
{
    const std::string internal = Neighbourhood::internalAddress(settings);
    const uint64_t incarnation = settings.mayFound ? FounderIncarnation : randomNumber();
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
    return std::make_unique<ReplicaNode>(std::move(storage), self, seeds, SnapshotEvery, randomNumber(), policy);
}

int serve(const KeeperSettings &settings, const std::string &file)
{
    const std::string internal = Neighbourhood::internalAddress(settings);
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
    LiveTable table(Lifetimes{tunables::EndpointSilence, tunables::RouterSilence}, monotonicNow());
    MeshService meshService(table, internalSeeds(settings.host), node != nullptr, randomNumber());
    services.push_back(&meshService);
    const std::unique_ptr<grpc::Server> server = startGrpcServer(internal, services);
    if (!server)
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or correct 'internalPort'", internal), 0});
    net::io_context io(1);
    KeeperApi api(io, platform::dialect(), table, node.get());
    HttpServer http(io, [&api](CallerConnection &caller) { return api.handle(caller); });
    const Result<void> listening = http.listen(settings.listen);
    if (listening.has_error())
        return reportFatal(listening.error());
    HttpServer metricsServer(io, answerMetrics);
    if (!settings.host.metrics.empty() && metricsServer.listen(settings.host.metrics).has_error())
        return reportFatal(Error{ErrorKind::BadSettings, "cannot listen on 'metrics'; free the port or correct the address", 0});
    std::unique_ptr<OrderDesk> desk;
    if (node) {
        desk = std::make_unique<OrderDesk>(io, platform::dialect(), table, *node, settings.host.id, settings.orderLease);
        net::co_spawn(io, desk->run(), net::detached);
    }
    Neighbourhood neighbourhood(io, settings, table, node.get());
    net::co_spawn(io, neighbourhood.run(), net::detached);
    std::thread worker([&io] { io.run(); });
    logEvent("started",
             {{"version", ROSERAIL_VERSION},
              {"internal", internal},
              {"listen", settings.listen},
              {"disk", node != nullptr},
              {"may_found", settings.mayFound}});
    waitForStop([&] {
        reloadSettings<KeeperSettings>(file, parseKeeperSettings, [&](const KeeperSettings &now) {
            net::post(io, [&neighbourhood, now] { neighbourhood.applySettings(now); });
        });
    });
    if (node)
        handOver(*node);
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
            return serve(settings, file);
        },
    };
    return runProgram(argc, argv, program);
}
