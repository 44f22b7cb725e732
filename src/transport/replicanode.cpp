#include "transport/replicanode.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/invariant.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <future>
#include <set>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t EventsPerBatch = 2048;
constexpr Millis DiskRetryDelay{500};
constexpr Millis HandOverTimeout{1500}; // a transfer takes at most one election
constexpr Millis HandOverPollInterval{50};

Error notLeaderError()
{
    return Error{ErrorKind::NotLeader, "this replica is not the leader; send the request to the leader that 'roserailctl status' shows", 0};
}

Error mayBeCommittedError()
{
    return Error{ErrorKind::Unavailable,
                 "leadership changed before the command was confirmed; send the same change again to learn its outcome", 0};
}

} // namespace

ReplicaNode::ReplicaNode(std::unique_ptr<Storage> storage, pb::Member self, std::map<uint64_t, std::string> seedAddresses,
                         uint64_t snapshotEvery, uint64_t randomSeed, MembershipPolicy policy)
    : m_storage(std::move(storage))
    , m_self(std::move(self))
    , m_seedAddresses(std::move(seedAddresses))
    , m_snapshotEvery(snapshotEvery)
    , m_randomSeed(randomSeed)
    , m_membershipPlanner(policy)
    , m_joinTimer(monotonicNow())
    , m_peers([this](const Replica &to) { m_events.push(SendFailed{to}); })
{
    DurableState state = m_storage->state();
    *m_self.mutable_identity() = state.identity.identity();
    // A crash during bootstrap may leave a snapshot without a cluster id: the replica was not a member yet.
    if (state.identity.cluster_id() == 0) {
        state.snapshot.Clear();
        state.entries.clear();
    }
    m_machine.restore(state.snapshot.state());
    m_applied = state.snapshot.index();
    m_raft = std::make_unique<Raft>(fromProto(state.identity.identity()), state, randomSeed, monotonicNow());
    m_storage->releaseState();
    publishStatus(monotonicNow());
    m_thread = std::thread([this] { run(); });
    m_ticker = std::thread([this] {
        while (!m_stop) {
            std::this_thread::sleep_for(RaftTick);
            m_events.push(AdminRequest{AdminRequest::Wake});
        }
    });
}

ReplicaNode::~ReplicaNode()
{
    m_stop = true;
    m_ticker.join();
    m_events.push(AdminRequest{AdminRequest::Wake});
    m_thread.join();
}

void ReplicaNode::receive(pb::RaftBatch batch)
{
    m_events.push(Received{std::move(batch)});
}

void ReplicaNode::propose(pb::Command command, CommandCallback callback)
{
    command.set_wall_ms(wallMillis());
    m_events.push(Proposal{std::move(command), std::move(callback)});
}

Result<pb::CommandResult> ReplicaNode::execute(pb::Command command, Millis timeout)
{
    const std::shared_ptr<std::promise<Result<pb::CommandResult>>> promise = std::make_shared<std::promise<Result<pb::CommandResult>>>();
    std::future<Result<pb::CommandResult>> future = promise->get_future();
    propose(std::move(command), [promise](const Result<pb::CommandResult> &result) { promise->set_value(result); });
    if (future.wait_for(timeout) != std::future_status::ready)
        return Error{ErrorKind::Unavailable,
                     "no majority of control replicas answered in time; send the same change again to learn its outcome", 0};
    return future.get();
}

Result<void> ReplicaNode::bootstrap(uint64_t clusterId, const pb::Membership &membership)
{
    const std::shared_ptr<std::promise<Result<void>>> promise = std::make_shared<std::promise<Result<void>>>();
    std::future<Result<void>> future = promise->get_future();
    m_events.push(Bootstrap{clusterId, membership, [promise](Result<void> result) {
                                promise->set_value(std::move(result));
                            }});
    return future.get();
}

void ReplicaNode::approveReplica(uint64_t id)
{
    m_events.push(AdminRequest{AdminRequest::Approve, id});
}

void ReplicaNode::removeReplica(uint64_t id)
{
    m_events.push(AdminRequest{AdminRequest::Remove, id});
}

void ReplicaNode::transferLeadership()
{
    m_events.push(AdminRequest{AdminRequest::Transfer});
}

void ReplicaNode::recordOrders()
{
    m_events.push(AdminRequest{AdminRequest::RecordOrders});
}

void ReplicaNode::handOverLeadership()
{
    const Time deadline = monotonicNow() + HandOverTimeout;
    while (status().role == Role::Leader && monotonicNow() < deadline) {
        transferLeadership();
        std::this_thread::sleep_for(HandOverPollInterval);
    }
}

void ReplicaNode::setSeedAddresses(std::map<uint64_t, std::string> addresses)
{
    const std::lock_guard lock(m_seedAddressesMutex);
    m_seedAddresses = std::move(addresses);
}

ReplicaStatus ReplicaNode::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

void ReplicaNode::run()
{
    while (!m_stop) {
        Event event;
        m_events.pop(event);
        Actions actions;
        // The time is read after each event was taken: what it reports happened before, also if the process stood still meanwhile.
        handle(event, monotonicNow(), actions);
        for (size_t n = 1; n < EventsPerBatch && m_events.try_pop(event); ++n)
            handle(event, monotonicNow(), actions);
        const Time now = monotonicNow();
        if (now >= m_nextTick) {
            m_nextTick = now + RaftTick;
            m_raft->tick(now, actions);
            const std::optional<pb::Membership> membership = m_membershipPlanner.next(*m_raft, now);
            if (membership && m_raft->proposeMembership(*membership, actions))
                logEvent("membership_proposed", {{"members", membership->members_size()}});
            sendJoinRequests(now);
        }
        m_raft->flush(now, actions);
        perform(actions);
        snapshotIfDue();
    }
    failPendingProposals();
}

void ReplicaNode::handle(Event &event, Time now, Actions &out)
{
    std::visit([&](auto &it) { handle(it, now, out); }, event);
}

void ReplicaNode::handle(Received &event, Time now, Actions &out)
{
    for (const pb::RaftMessage &it : event.batch.messages()) {
        if (it.kind() == pb::RaftMessage::JOIN) {
            m_membershipPlanner.requestJoin(it.member(), now);
            m_joinAddresses[it.member().identity().id()] = it.member().peer_address();
        } else {
            m_raft->receive(it, now, out);
        }
    }
}

void ReplicaNode::handle(Proposal &event, Time, Actions &out)
{
    if (m_pending.size() >= MaxProposalsInFlight) {
        event.callback(Error{ErrorKind::Overloaded,
                             "too many commands are waiting for the log; this one was not proposed, send it again later",
                             MinRetryAfter.count()});
        return;
    }
    const std::optional<uint64_t> index = m_raft->propose(std::move(event.command), out);
    if (!index) {
        event.callback(notLeaderError());
        return;
    }
    m_pending[*index] = Pending{m_raft->term(), std::move(event.callback)};
}

void ReplicaNode::handle(Bootstrap &event, Time now, Actions &)
{
    const pb::DiskIdentity &identity = m_storage->state().identity;
    if (identity.cluster_id() == event.clusterId) {
        event.callback(boost::outcome_v2::success());
        return;
    }
    if (identity.cluster_id() != 0) {
        event.callback(
            Error{ErrorKind::Conflict, "this replica already belongs to a cluster; use an empty data folder to create a new one", 0});
        return;
    }
    DurableState state;
    state.snapshot.set_index(1);
    state.snapshot.set_term(1);
    *state.snapshot.mutable_membership() = event.membership;
    state.hardState.set_term(1);
    pb::LogFrame logTail;
    *logTail.mutable_hard_state() = state.hardState;
    Result<void> saved = m_storage->saveSnapshot(state.snapshot, logTail);
    if (saved.has_value())
        saved = m_storage->setClusterId(event.clusterId);
    if (saved.has_error()) {
        event.callback(std::move(saved));
        return;
    }
    state.identity = m_storage->state().identity;
    m_raft = std::make_unique<Raft>(fromProto(state.identity.identity()), state, m_randomSeed, now);
    m_applied = 1;
    logEvent("founded", {{"cluster", event.clusterId}, {"members", event.membership.members_size()}});
    event.callback(boost::outcome_v2::success());
}

void ReplicaNode::handle(AdminRequest &event, Time now, Actions &out)
{
    if (event.kind == AdminRequest::Approve)
        m_membershipPlanner.approve(event.id);
    else if (event.kind == AdminRequest::Remove)
        m_membershipPlanner.requestRemoval(event.id);
    else if (event.kind == AdminRequest::Transfer)
        m_raft->transferLeadership(now, out);
    else if (event.kind == AdminRequest::RecordOrders)
        m_raft->recordOrders(out);
}

void ReplicaNode::handle(SendFailed &event, Time, Actions &)
{
    m_raft->sendFailed(event.to);
}

// Performs the actions in this order, because state must be durable before a message or an answer reports it.
void ReplicaNode::perform(Actions &actions)
{
    if (actions.install)
        installSnapshot(*actions.install);
    else if (actions.needsSync())
        persist(actions);
    publishStatus(monotonicNow());
    sendMessages(actions);
    for (const pb::Entry &it : actions.committed)
        apply(it);
    if (!actions.committed.empty())
        publishStatus(monotonicNow());
}

// Blocks while the disk fails: the replica then handles no events, and if it was the leader, the others elect another one.
void ReplicaNode::retryUntilDurable(const std::function<Result<void>()> &write)
{
    std::string lastFault;
    while (true) {
        const Result<void> result = write();
        const std::string fault = result.has_error() ? result.error().message : "";
        {
            const std::lock_guard lock(m_statusMutex);
            m_status.diskFault = fault;
        }
        if (fault != lastFault)
            logEvent(fault.empty() ? "disk_regained" : "disk_failure", {{"error", fault}});
        lastFault = fault;
        if (fault.empty() || m_stop)
            return;
        std::this_thread::sleep_for(DiskRetryDelay);
    }
}

void ReplicaNode::persist(const Actions &actions)
{
    static Histogram &syncTime = metrics().histogram("roserail_log_sync_microseconds");
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    retryUntilDurable([&] { return m_storage->append(actions.persist); });
    syncTime.record(uint64_t(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - began).count()));
}

void ReplicaNode::installSnapshot(const pb::Snapshot &snapshot)
{
    pb::LogFrame logTail;
    *logTail.mutable_hard_state() = m_raft->hardState();
    for (uint64_t i = snapshot.index() + 1; i <= m_raft->lastIndex(); ++i)
        *logTail.add_entries() = m_raft->entry(i);
    retryUntilDurable([&] { return m_storage->saveSnapshot(snapshot, logTail); });
    if (m_storage->state().identity.cluster_id() == 0)
        retryUntilDurable([&] { return m_storage->setClusterId(m_raft->clusterId()); });
    const std::unique_lock lock(m_machineMutex);
    m_machine.restore(snapshot.state());
    m_applied = snapshot.index();
    logEvent("snapshot_installed", {{"index", snapshot.index()}, {"term", snapshot.term()}});
}

std::string ReplicaNode::addressOf(const Replica &replica) const
{
    for (const pb::Member &it : m_raft->membership().members()) {
        if (fromProto(it.identity()) == replica)
            return it.peer_address();
    }
    const auto joining = m_joinAddresses.find(replica.id);
    if (joining != m_joinAddresses.end())
        return joining->second;
    // The membership of a replica that was just brought up to date may contain only an older incarnation. The address is the
    // same for all incarnations of an id.
    for (const pb::Member &it : m_raft->membership().members()) {
        if (it.identity().id() == replica.id)
            return it.peer_address();
    }
    const std::lock_guard lock(m_seedAddressesMutex);
    const auto seed = m_seedAddresses.find(replica.id);
    return seed == m_seedAddresses.end() ? "" : seed->second;
}

void ReplicaNode::sendMessages(Actions &actions)
{
    for (pb::RaftMessage &it : actions.messages) {
        const std::string address = addressOf(fromProto(it.to()));
        if (!address.empty())
            m_peers.send(address, std::move(it));
    }
}

void ReplicaNode::apply(const pb::Entry &entry)
{
    invariant(entry.index() == m_applied + 1, "entries are applied in order, once");
    pb::CommandResult result;
    if (entry.has_command()) {
        const std::unique_lock lock(m_machineMutex);
        const uint64_t revision = m_machine.revision().value();
        result = m_machine.apply(entry.command());
        invariant(m_machine.revision().value() >= revision, "a command never decreases the revision of the document");
    }
    m_applied = entry.index();
    m_appliedTerm = entry.term();
    const auto pending = m_pending.find(entry.index());
    if (pending == m_pending.end())
        return;
    const Pending waiting = std::move(pending->second);
    m_pending.erase(pending);
    if (waiting.term == entry.term())
        waiting.callback(result);
    else
        waiting.callback(mayBeCommittedError());
}

void ReplicaNode::failPendingProposals()
{
    for (std::pair<const uint64_t, Pending> &it : m_pending)
        it.second.callback(mayBeCommittedError());
    m_pending.clear();
}

void ReplicaNode::snapshotIfDue()
{
    if (!m_raft->isLeader() && !m_pending.empty() && m_raft->commitIndex() > m_pending.rbegin()->first)
        failPendingProposals();
    const uint64_t applied = m_applied - m_raft->snapshotIndex();
    if (applied < m_snapshotEvery && (applied == 0 || m_storage->logBytes() < SnapshotEveryBytes))
        return;
    pb::Snapshot snapshot;
    snapshot.set_index(m_applied);
    snapshot.set_term(m_raft->entry(m_applied).term());
    *snapshot.mutable_membership() = m_raft->membershipAt(m_applied);
    *snapshot.mutable_state() = m_machine.save();
    pb::LogFrame logTail;
    *logTail.mutable_hard_state() = m_raft->hardState();
    for (uint64_t i = m_applied + 1; i <= m_raft->lastIndex(); ++i)
        *logTail.add_entries() = m_raft->entry(i);
    retryUntilDurable([&] { return m_storage->saveSnapshot(snapshot, logTail); });
    m_raft->compact(snapshot);
    logEvent("snapshot_saved", {{"index", snapshot.index()}, {"bytes", snapshot.ByteSizeLong()}});
}

void ReplicaNode::sendJoinRequests(Time now)
{
    if (!m_joinTimer.due(*m_raft, now))
        return;
    std::set<std::string> addresses;
    {
        const std::lock_guard lock(m_seedAddressesMutex);
        for (const std::pair<const uint64_t, std::string> &it : m_seedAddresses)
            addresses.insert(it.second);
    }
    for (const pb::Member &it : m_raft->membership().members())
        addresses.insert(it.peer_address());
    addresses.erase(m_self.peer_address());
    for (const std::string &it : addresses) {
        pb::RaftMessage msg;
        msg.set_kind(pb::RaftMessage::JOIN);
        *msg.mutable_from() = m_self.identity();
        *msg.mutable_member() = m_self;
        m_peers.send(it, std::move(msg));
    }
}

void ReplicaNode::publishStatus(Time now)
{
    ReplicaStatus status;
    status.self = m_raft->self();
    status.clusterId = m_storage->state().identity.cluster_id();
    status.role = m_raft->role();
    status.term = m_raft->term();
    status.commitIndex = m_raft->commitIndex();
    status.lastIndex = m_raft->lastIndex();
    status.appliedIndex = m_applied;
    status.snapshotIndex = m_raft->snapshotIndex();
    status.leader = m_raft->leader();
    status.membership = m_raft->membership();
    status.leaseUntil = m_raft->leaseEnd(now);
    // What is committed is applied after the status is published.
    status.currentAt = m_applied >= m_raft->commitIndex() ? m_raft->currentAt(now) : m_status.currentAt;
    status.votes = m_raft->votes();
    status.sentLastOrders = m_raft->sentLastOrders();
    status.termCommitted = m_raft->isLeader() && m_applied >= m_raft->termStart();
    status.syncs = m_storage->syncs();
    status.logBytes = m_storage->logBytes();
    if (m_raft->isLeader()) {
        for (const pb::Member &it : status.membership.members())
            status.matchIndexes[fromProto(it.identity())] = m_raft->matchIndex(fromProto(it.identity()));
    }
    const std::lock_guard lock(m_statusMutex);
    if (status.role != m_status.role || status.leader != m_status.leader)
        logEvent("role",
                 {{"role", toString(status.role)},
                  {"term", status.term},
                  {"leader", status.leader ? addressOf(*status.leader) : ""},
                  {"committed", status.commitIndex},
                  {"members", status.membership.members_size()},
                  {"votes", status.votes}});
    status.diskFault = m_status.diskFault;
    m_status = std::move(status);
}

} // namespace roserail
