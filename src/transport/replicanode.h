// Runs one control replica: passes messages, proposals and the time to the consensus core, makes its log durable, and
// applies committed entries to the state machine. One thread owns the core and the disk; all queued proposals become
// durable with one sync.
#pragma once

#include "coordination/membership.h"
#include "coordination/raft.h"
#include "state/machine.h"
#include "transport/peers.h"
#include "transport/storage.h"

#include <functional>
#include <shared_mutex>
#include <tbb/concurrent_queue.h>
#include <thread>
#include <variant>

namespace roserail
{

// State of the replica for other threads, as of the last batch of events.
struct ReplicaStatus {
    Replica self;
    uint64_t clusterId = 0;
    Role role = Role::Follower;
    uint64_t term = 0;
    uint64_t commitIndex = 0;
    uint64_t lastIndex = 0;
    uint64_t appliedIndex = 0;
    uint64_t snapshotIndex = 0;
    std::optional<Replica> leader;
    pb::Membership membership;
    std::map<Replica, uint64_t> matchIndexes; // leader only
    Time leaseUntil{}; // leader only
    Time currentAt{}; // latest time at which its committed entries were known to be all
    bool votes = false;
    bool termCommitted = false; // an entry of the leader's own term is applied
    bool sentLastOrders = false; // see Raft::sentLastOrders()
    std::string diskFault; // empty: none
    uint64_t syncs = 0;
    uint64_t logBytes = 0;

    // Returns whether this replica may act as the leader: its lease holds and its state is current.
    bool leads(Time now) const
    {
        return role == Role::Leader && termCommitted && now < leaseUntil;
    }
};

using CommandCallback = std::function<void(const Result<pb::CommandResult> &)>;

class ReplicaNode
{
public:
    ReplicaNode(std::unique_ptr<Storage> storage, pb::Member self, std::map<uint64_t, std::string> seedAddresses, uint64_t snapshotEvery,
                uint64_t randomSeed, MembershipPolicy policy = {});
    ~ReplicaNode();
    ReplicaNode(const ReplicaNode &) = delete;
    ReplicaNode &operator=(const ReplicaNode &) = delete;

    void receive(pb::RaftBatch batch);
    // Proposes a command. The callback runs once: with the result, with NotLeader or Overloaded (not proposed), or with
    // Unavailable (may still be committed).
    void propose(pb::Command command, CommandCallback callback);
    // Proposes a command and waits for its result. After the timeout the error is Unavailable.
    Result<pb::CommandResult> execute(pb::Command command, Millis timeout);
    // Makes this replica, which must be empty, a member of a new cluster.
    Result<void> bootstrap(uint64_t clusterId, const pb::Membership &membership);
    void approveReplica(uint64_t id);
    void removeReplica(uint64_t id);
    void transferLeadership();
    // Records that this replica, as the leader, sends orders to endpoints from now on.
    void recordOrders();
    // Transfers leadership before this replica stops; returns once it is no longer the leader, or after a time limit.
    void handOverLeadership();
    // Sets the addresses, by replica id, to send join requests to in addition to the members.
    void setSeedAddresses(std::map<uint64_t, std::string> addresses);

    ReplicaStatus status() const;
    // Runs `read` on the state machine while no command is applied.
    template <typename Read>
    auto withMachine(Read read) const
    {
        const std::shared_lock lock(m_machineMutex);
        return read(m_machine);
    }

private:
    struct Received {
        pb::RaftBatch batch;
    };
    struct Proposal {
        pb::Command command;
        CommandCallback callback;
    };
    struct Bootstrap {
        uint64_t clusterId;
        pb::Membership membership;
        std::function<void(Result<void>)> callback;
    };
    // Wake makes the thread check the time and `m_stop`.
    struct AdminRequest {
        enum Kind { Approve, Remove, Transfer, RecordOrders, Wake } kind;
        uint64_t id = 0;
    };
    // A message with large entries that did not reach the replica.
    struct SendFailed {
        Replica to;
    };
    using Event = std::variant<Received, Proposal, Bootstrap, AdminRequest, SendFailed>;
    struct Pending {
        uint64_t term = 0;
        CommandCallback callback;
    };

    void run();
    void handle(Event &event, Time now, Actions &out);
    void handle(Received &event, Time now, Actions &out);
    void handle(Proposal &event, Time now, Actions &out);
    void handle(Bootstrap &event, Time now, Actions &out);
    void handle(AdminRequest &event, Time now, Actions &out);
    void handle(SendFailed &event, Time now, Actions &out);
    void perform(Actions &actions);
    void persist(const Actions &actions);
    void installSnapshot(const pb::Snapshot &snapshot);
    void sendMessages(Actions &actions);
    void apply(const pb::Entry &entry);
    void failPendingProposals();
    void snapshotIfDue();
    void sendJoinRequests(Time now);
    void publishStatus(Time now);
    void retryUntilDurable(const std::function<Result<void>()> &write);
    std::string addressOf(const Replica &replica) const;

    std::unique_ptr<Storage> m_storage;
    pb::Member m_self;
    mutable std::mutex m_seedAddressesMutex;
    std::map<uint64_t, std::string> m_seedAddresses; // of replicas in the settings or discovered later, by id
    uint64_t m_snapshotEvery; // entries
    uint64_t m_randomSeed;
    std::unique_ptr<Raft> m_raft;
    MembershipPlanner m_membershipPlanner;
    std::map<uint64_t, Pending> m_pending; // by log index
    uint64_t m_applied = 0;
    uint64_t m_appliedTerm = 0;
    Time m_nextTick{};
    JoinTimer m_joinTimer;
    std::map<uint64_t, std::string> m_joinAddresses; // of replicas that have sent a join request, by id

    mutable std::shared_mutex m_machineMutex;
    StateMachine m_machine;
    mutable std::mutex m_statusMutex;
    ReplicaStatus m_status;

    tbb::concurrent_bounded_queue<Event> m_events;
    Peers m_peers; // its threads use m_events
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
    std::thread m_ticker;
};

} // namespace roserail
