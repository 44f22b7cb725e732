#include "transport/controlpeers.h"

#include "protocol/log.h"
#include "state/recordedstreams.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/tasks.h"

#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis SoftwareRetryInterval{1000}; // of a proposal that was not committed
constexpr Millis PeerUpdateInterval{100}; // bounds the delay until a change of leader or configuration is propagated

// Creates the cluster with these hosts as its first members. Each of them does so independently, in any order.
void bootstrapCluster(ReplicaNode &node, const std::vector<std::string> &bootstrapMembers, const Registry &registry)
{
    pb::Membership membership;
    uint64_t clusterId = 1;
    for (const std::string &it : bootstrapMembers) {
        pb::Member &member = *membership.add_members();
        *member.mutable_identity() = toProto(Replica{replicaId(it), BootstrapIncarnation});
        member.set_peer_address(it);
        member.set_operator_address(registry.keepers().at(it).state.operator_address());
        member.set_voter(true);
        clusterId = XXH64(it.data(), it.size(), clusterId) | 1;
    }
    const Result<void> result = node.bootstrap(clusterId, membership);
    if (result.has_error())
        logEvent("founding_refused", {{"error", result.error().message}});
}

} // namespace

std::string internalAddress(const KeeperSettings &settings)
{
    return fmt::format("{}:{}", settings.host.address, settings.host.internalPort);
}

uint64_t replicaId(const std::string &internalAddress)
{
    return XXH64(internalAddress.data(), internalAddress.size(), 0) | 1;
}

ControlPeers::ControlPeers(net::io_context &io, const KeeperSettings &settings, LiveTable &table, ReplicaNode *node)
    : m_io(io)
    , m_table(table)
    , m_node(node)
    , m_sharer(table, internalAddress(settings), node != nullptr)
{
    m_bootstrapView.self = internalAddress(settings);
    m_bootstrapView.seeds = internalSeeds(settings.host);
    m_bootstrapView.disk = node != nullptr;
    m_bootstrapView.mayFound = settings.mayFound;
    m_bootstrapView.startedAt = monotonicNow();
    m_state.set_address(m_bootstrapView.self);
    m_state.set_operator_address(settings.listen);
    m_state.set_incarnation(wallMillis());
    m_state.set_zone(settings.host.zone);
    m_state.set_disk(m_bootstrapView.disk);
    m_state.set_may_found(m_bootstrapView.mayFound);
    m_state.set_keeps_software(true);
}

void ControlPeers::applySettings(const KeeperSettings &settings)
{
    m_bootstrapView.seeds = internalSeeds(settings.host);
    setLogDetail(settings.host.log);
    logEvent("settings", {{"seeds", fmt::format("{}", fmt::join(settings.host.seeds, ","))}});
}

Task<> ControlPeers::run()
{
    const auto iteration = [this] {
        return updateAndWait();
    };
    co_await repeat(m_io, "update_peers", iteration);
}

Task<bool> ControlPeers::updateAndWait()
{
    updatePeers(monotonicNow());
    net::steady_timer timer(m_io, PeerUpdateInterval);
    ErrorCode ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    co_return true;
}

void ControlPeers::updatePeers(Time now)
{
    const std::set<std::string> unreachable = m_sharer.unreachable();
    announceState(unreachable, now);
    const ShareView view{m_bootstrapView.self, m_state.zone(), m_bootstrapView.disk, m_bootstrapView.seeds, unreachable};
    std::map<std::string, ShareRole> roles;
    std::map<uint64_t, std::string> replicaAddresses;
    m_table.expire(now);
    m_table.read([&](const Registry &registry) {
        roles = shareRoles(view, registry);
        for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
            if (it.second.state.disk() && it.first != m_bootstrapView.self)
                replicaAddresses[replicaId(it.first)] = it.first;
        }
    });
    m_sharer.setPeers(roles);
    if (m_node == nullptr)
        return;
    m_node->setSeedAddresses(std::move(replicaAddresses));
    const ReplicaStatus status = m_node->status();
    const uint64_t known = m_table.configurationVersion();
    pb::RecordSoftware software;
    m_node->withMachine([&](const StateMachine &machine) {
        software = machine.software();
        if (machine.configuration().version() > known)
            m_table.mergeConfiguration(machine.configuration());
    });
    // The status was read first: the list and the configuration are at least as new.
    m_table.setSoftware(software, status.currentAt >= m_bootstrapView.startedAt, status.currentAt);
    m_table.confirmByLog(status.currentAt);
    logIsolation(status, now);
    recordSoftware(status, software, now);
    recordStreams(status, now);
    if (m_bootstrapView.mayFound && status.clusterId == 0)
        bootstrapIfDue();
}

// As the leader, keeps the list of software versions in the replicated log. What an earlier leader recorded counts as seen when this one
// takes over.
void ControlPeers::recordSoftware(const ReplicaStatus &status, const pb::RecordSoftware &recorded, Time now)
{
    if (!status.leads(now))
        return;
    m_table.read([&](const Registry &registry) { m_software.record(registry, now); });
    if (m_softwareTerm != status.term)
        m_software.record(recorded, now);
    m_softwareTerm = status.term;
    pb::Command command;
    *command.mutable_record_software() = m_software.list(now);
    const uint64_t checksum = softwareChecksum(command.record_software());
    const bool proposed = checksum == m_proposedSoftware && now < m_softwareRetryAt;
    if (checksum == softwareChecksum(recorded) || proposed)
        return;
    m_proposedSoftware = checksum;
    m_softwareRetryAt = now + SoftwareRetryInterval;
    logEvent("software_versions", {{"term", status.term}, {"versions", command.record_software().uses_size()}});
    m_node->propose(std::move(command), [](const Result<pb::CommandResult> &) {});
}

// As the leader, records the streams that routers have reported, while there are several software versions.
void ControlPeers::recordStreams(const ReplicaStatus &status, Time now)
{
    if (!status.leads(now) || *m_recordingStreams)
        return;
    const bool several = m_software.severalOfAny(now);
    std::map<StreamId, SoftwareVersion> reported;
    if (several)
        reported = m_table.read([](const Registry &registry) { return registry.begunStreams(); });
    pb::Command command;
    m_node->withMachine([&](const StateMachine &machine) {
        for (const std::pair<const StreamId, SoftwareVersion> &it : reported) {
            if (!machine.streams().find(it.first))
                addStream(*command.mutable_record_streams()->mutable_begun(), it.second, it.first);
        }
        if (!several && !machine.streams().empty())
            command.mutable_record_streams()->set_forget_earlier(true);
    });
    if (!command.has_record_streams())
        return;
    *m_recordingStreams = true;
    try {
        m_node->propose(std::move(command), [recording = m_recordingStreams](const Result<pb::CommandResult> &) { *recording = false; });
    } catch (...) {
        *m_recordingStreams = false;
        throw;
    }
}

void ControlPeers::logIsolation(const ReplicaStatus &status, Time now)
{
    const bool isolated = m_table.isolated(now);
    if (isolated == m_isolated)
        return;
    m_isolated = isolated;
    logEvent(isolated ? "isolated" : "isolation_ended",
             {{"term", status.term},
              {"role", toString(status.role)},
              {"votes", status.votes},
              {"leader_known", status.leader.has_value()},
              {"state_age_ms", m_table.stateAge(now).count()},
              {"configuration", m_table.configurationVersion()}});
}

void ControlPeers::announceState(const std::set<std::string> &unreachable, Time now)
{
    const ReplicaStatus status = m_node == nullptr ? ReplicaStatus() : m_node->status();
    // The host announces itself as the leader only after the time from which it may send orders has been set for the term.
    const LiveTable::OrderPermission permission = m_table.orderPermission();
    const uint64_t term = status.leads(now) && permission.term == status.term ? status.term : 0;
    const std::string founder = m_bootstrapView.mayFound
        ? m_table.read([&](const Registry &registry) { return chooseBootstrapHost(m_bootstrapView, registry, now); })
        : "";
    // This host's choice is final, so that no second host bootstraps the cluster.
    if (m_state.founder().empty())
        m_state.set_founder(founder);
    // Other hosts forward this host's changes to those that it can't reach.
    const std::vector<std::string> notReached(unreachable.begin(), unreachable.end());
    const bool sameReach = std::equal(notReached.begin(), notReached.end(), m_state.unreachable().begin(), m_state.unreachable().end());
    if (now < m_nextAnnounceAt && term == m_state.term() && founder == m_state.founder() && sameReach)
        return;
    m_state.mutable_unreachable()->Assign(notReached.begin(), notReached.end());
    m_nextAnnounceAt = now + KeeperAnnounceInterval;
    m_state.set_term(term);
    m_state.set_orders_in_ms(permission.ordersAllowedAt > now ? uint64_t((permission.ordersAllowedAt - now).count()) : 0);
    m_state.set_sequence(m_state.sequence() + 1);
    m_table.change([&](Registry &registry) { registry.merge(m_state, now); });
}

void ControlPeers::bootstrapIfDue()
{
    const std::vector<std::string> members
        = m_table.read([&](const Registry &registry) { return bootstrapMembers(m_bootstrapView, registry); });
    if (!members.empty())
        m_table.read([&](const Registry &registry) { bootstrapCluster(*m_node, members, registry); });
}

} // namespace roserail
