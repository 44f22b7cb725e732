// Raft consensus: a replicated log with pre-vote, check-quorum, leader lease, learners and snapshots.
// The class does no I/O: it takes events and the current time and returns actions. The caller makes `persist` durable
// before it sends `messages` or applies `committed`.
#pragma once

#include "control.pb.h"
#include "state/types.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace roserail
{

// A replica's identity: the number from its settings and the incarnation from its disk.
struct Replica {
    uint64_t id = 0;
    uint64_t incarnation = 0;
    auto operator<=>(const Replica &) const = default;
};

Replica fromProto(const pb::ReplicaIdentity &identity);
pb::ReplicaIdentity toProto(const Replica &replica);

// State read from disk when a replica starts.
struct DurableState {
    pb::DiskIdentity identity;
    pb::HardState hardState;
    pb::Snapshot snapshot; // index 0: none
    std::vector<pb::Entry> entries; // contiguous, after the snapshot
};

// What the caller has to do, in this order: install, persist, send, apply.
struct Actions {
    std::optional<pb::Snapshot> install; // replaces the log on disk and the state machine
    pb::LogFrame persist;
    std::vector<pb::RaftMessage> messages;
    std::vector<pb::Entry> committed;
    bool needsSync() const;
};

// Returns the time after which a message that carries so many bytes of entries counts as lost.
Millis sendTimeout(size_t bytes);

enum class Role { Follower, PreCandidate, Candidate, Leader };

std::string_view toString(Role role);

class Raft
{
public:
    Raft(Replica self, const DurableState &disk, uint64_t seed, Time now);

    // Events
    void tick(Time now, Actions &out);
    void receive(const pb::RaftMessage &msg, Time now, Actions &out);
    // Appends a command and returns its index, or nothing if this replica is not the leader or transfers leadership.
    std::optional<uint64_t> propose(pb::Command command, Actions &out);
    // Appends a membership change. Returns false if this replica can't propose now, another change is not committed yet,
    // or the change would concern more than one voter.
    bool proposeMembership(const pb::Membership &membership, Actions &out);
    // Transfers leadership to a voter that holds the whole log; returns false if there is none.
    bool transferLeadership(Time now, Actions &out);
    // Sends the entries proposed since the last call; the caller invokes it once per batch of events.
    void flush(Time now, Actions &out);
    // Records that this replica, as the leader, sends orders to endpoints from now on. Call it before the first one.
    void recordOrders(Actions &out);
    // Records that a message with large entries did not reach the replica, so that they are sent again once it answers.
    void sendFailed(const Replica &to);
    // Drops the log up to a snapshot of the state machine that is durable.
    void compact(const pb::Snapshot &snapshot);

    // Views
    bool isLeader() const
    {
        return m_role == Role::Leader;
    }
    // Returns whether no other replica can be leader now: a majority has answered a message sent within the lease time.
    bool holdsLease(Time now) const;
    // Returns whether the state applied up to the commit index is current: the lease is held and an entry of this term
    // is committed.
    bool canRead(Time now) const;
    Role role() const
    {
        return m_role;
    }
    uint64_t term() const
    {
        return m_hard.term();
    }
    uint64_t commitIndex() const
    {
        return m_commit;
    }
    uint64_t lastIndex() const;
    uint64_t firstIndex() const
    {
        return m_snapIndex + 1;
    }
    uint64_t snapshotIndex() const
    {
        return m_snapIndex;
    }
    uint64_t matchIndex(const Replica &replica) const;
    // Returns whether this leader has received no reply to any message sent to the replica at or after `since`.
    bool unresponsiveSince(const Replica &replica, Time since) const;
    // Returns until when this replica may act as leader if it receives no further reply.
    Time leaseEnd(Time now) const;
    // Returns the latest time at which this replica is known to have committed all that any replica had: for a leader, while a majority
    // answered it; for others, when it last replied to a leader that then, while it held its lease, named nothing they lack.
    Time currentAt(Time now) const;
    bool votes() const
    {
        return isVoter(m_self);
    }
    uint64_t clusterId() const
    {
        return m_clusterId;
    }
    // Returns whether this replica is the leader, and was when any replica last sent orders to endpoints.
    bool sentLastOrders() const
    {
        return isLeader() && m_sentLastOrders;
    }
    const pb::HardState &hardState() const
    {
        return m_hard;
    }
    // Returns the membership in force after the entry at `index`.
    pb::Membership membershipAt(uint64_t index) const;
    uint64_t termStart() const
    {
        return m_termStart;
    }
    const pb::Membership &membership() const
    {
        return m_membership;
    }
    const Replica &self() const
    {
        return m_self;
    }
    std::optional<Replica> leader() const
    {
        return m_leader;
    }
    const pb::Entry &entry(uint64_t index) const;
    bool membershipCommitted() const
    {
        return m_membershipIndex <= m_commit;
    }

private:
    // Replication state of one other replica, kept by the leader.
    struct Progress {
        uint64_t match = 0;
        uint64_t next = 1;
        Time ackedSentAt{}; // send time of the latest message it answered
        Time retryAt{}; // earliest time to send the snapshot again
        bool probing = true; // the matching index is not confirmed yet: no entries are sent
        bool everAcked = false;
        uint64_t replyToken = 0; // of the latest reply; 0: none
        size_t bytesInFlight = 0; // of entries sent and not acknowledged
        Time largeUntil = Time::max(); // large entries are in flight, and count as lost from then on; max: there are none

        bool largeInFlight() const
        {
            return largeUntil != Time::max();
        }
        void clearInFlight();
        // Sends nothing but heartbeats until the replica has confirmed that its log matches up to `next` - 1.
        void probe(uint64_t first);
    };

    bool isVoter(const Replica &replica) const;
    uint64_t termAt(uint64_t index) const;
    size_t majority() const;
    void becomeFollower(uint64_t term, std::optional<Replica> leader, Time now);
    void campaign(bool preVote, bool transfer, Time now, Actions &out);
    void becomeLeader(Time now, Actions &out);
    void resetElectionDeadline(Time now);
    bool isLatestOrderTerm() const;
    void append(pb::Entry entry, Actions &out);
    void sendHeartbeat(const Replica &to, Progress &progress, Time now, Actions &out);
    void sendEntries(const Replica &to, Progress &progress, Time now, Actions &out);
    bool sendSnapshotIfBehind(const Replica &to, Progress &progress, Time now, Actions &out);
    pb::RaftMessage appendAfter(uint64_t prev, const Replica &to, const Progress &progress, Time now) const;
    void broadcast(Time now, Actions &out);
    void advanceCommit(Actions &out);
    void commitTo(uint64_t index, Actions &out);
    void truncateFrom(uint64_t index, Actions &out);
    void recomputeMembership();
    void saveHardState(Actions &out);
    pb::RaftMessage message(pb::RaftMessage::Kind kind, const Replica &to) const;
    void requestSnapshot(const pb::RaftMessage &msg, Actions &out) const;
    pb::RaftMessage appendReply(const pb::RaftMessage &msg, Time now) const;
    Time confirmedAt(const pb::RaftMessage &append, Time now) const;
    void onVote(const pb::RaftMessage &msg, Time now, Actions &out);
    void onVoteReply(const pb::RaftMessage &msg, Time now, Actions &out);
    void onAppend(const pb::RaftMessage &msg, Time now, Actions &out);
    void onAppendReply(const pb::RaftMessage &msg, Time now, Actions &out);
    void onInstall(const pb::RaftMessage &msg, Time now, Actions &out);
    Time quorumAckTime() const;

    Replica m_self;
    uint64_t m_clusterId;
    pb::HardState m_hard;
    std::deque<pb::Entry> m_log; // m_log[i] has index m_snapIndex + 1 + i
    uint64_t m_snapIndex = 0;
    uint64_t m_snapTerm = 0;
    pb::Membership m_snapMembership;
    pb::Snapshot m_snapshot; // latest durable snapshot, sent to replicas that need entries no longer in the log
    pb::Membership m_membership;
    uint64_t m_membershipIndex = 0;
    uint64_t m_commit = 0;
    Role m_role = Role::Follower;
    std::optional<Replica> m_leader;
    Time m_leaderContact{}; // last message from the leader, or the start of this replica
    Time m_startedAt;
    Time m_currentAt; // as a follower; see currentAt()
    uint64_t m_tokenKey; // of reply tokens
    Time m_electionDeadline{};
    Time m_heartbeatDue{};
    uint64_t m_termStart = 0; // index of the first entry of the leader's term
    bool m_sentLastOrders = false; // of the leader; see sentLastOrders()
    std::map<Replica, bool> m_votes;
    std::map<Replica, Progress> m_progress;
    std::optional<Time> m_transferDeadline;
    std::mt19937_64 m_random;
};

} // namespace roserail
