// Replicated log by leader-based consensus: terms, pre-vote, check-quorum, leader lease, learners, snapshots.
// The core has no I/O: events and `now` go in, actions come out. The shell makes `persist` durable before it
// sends `messages` or applies `committed`.
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

// What the disk holds when a replica starts.
struct DurableState {
    pb::DiskIdentity identity;
    pb::HardState hardState;
    pb::Snapshot snapshot; // index 0: none
    std::vector<pb::Entry> entries; // contiguous, after the snapshot
};

// What the shell has to do, in this order: install, persist, send, apply.
struct Actions {
    std::optional<pb::Snapshot> install; // replace disk and machine by this snapshot
    pb::LogFrame persist;
    std::vector<pb::RaftMessage> messages;
    std::vector<pb::Entry> committed;
    bool needsSync() const;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

std::string_view toString(Role role);

class Raft
{
public:
    Raft(Replica self, const DurableState &disk, uint64_t seed, Time now);

    // Events
    void tick(Time now, Actions &out);
    void receive(const pb::RaftMessage &msg, Time now, Actions &out);
    // Appends a command and returns its index, or nothing if this replica does not lead.
    std::optional<uint64_t> propose(pb::Command command, Actions &out);
    // Starts one change of membership; false if not leading, one is under way, or it would change two voters at once.
    bool proposeMembership(const pb::Membership &membership, Actions &out);
    // Hands leadership to the most advanced voter; false if there is none.
    bool transferLeadership(Time now, Actions &out);
    // Sends what was proposed since the last call; the shell calls it once per batch of events.
    void flush(Time now, Actions &out);
    // The machine's snapshot at `index` is durable: drops the log before it.
    void compact(const pb::Snapshot &snapshot);

    // Views
    bool isLeader() const
    {
        return m_role == Role::Leader;
    }
    // True while no other replica can lead: a majority has answered a message sent within the lease.
    bool holdsLease(Time now) const;
    // The lease is held and an entry of this term is committed: what is applied up to commit is current.
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
    // True if this leader has had no answer to anything sent at or after `since`.
    bool unresponsiveSince(const Replica &replica, Time since) const;
    // Until when this replica may answer as leader, if nothing more is heard.
    Time leaseEnd(Time now) const;
    uint64_t clusterId() const
    {
        return m_clusterId;
    }
    const pb::HardState &hardState() const
    {
        return m_hard;
    }
    // The membership in force after the entry at `index`.
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
    bool membershipSettled() const
    {
        return m_membershipIndex <= m_commit;
    }

private:
    // What the leader knows of one other replica.
    struct Progress {
        uint64_t match = 0;
        uint64_t next = 1;
        Time ackedSentAt{}; // send time of the latest message it answered
        Time retryAt{}; // resend when nothing was answered until then
        bool probing = true;
        bool everAcked = false;
    };

    bool isVoter(const Replica &replica) const;
    uint64_t termAt(uint64_t index) const;
    size_t majority() const;
    void becomeFollower(uint64_t term, std::optional<Replica> leader, Time now);
    void campaign(bool preVote, bool transfer, Time now, Actions &out);
    void becomeLeader(Time now, Actions &out);
    void resetElectionDeadline(Time now);
    void append(pb::Entry entry, Actions &out);
    void sendAppend(const Replica &to, Progress &progress, Time now, Actions &out);
    void broadcast(Time now, Actions &out);
    void advanceCommit(Actions &out);
    void commitTo(uint64_t index, Actions &out);
    void truncateFrom(uint64_t index, Actions &out);
    void recomputeMembership();
    void saveHardState(Actions &out);
    pb::RaftMessage message(pb::RaftMessage::Kind kind, const Replica &to) const;
    void requestSnapshot(const pb::RaftMessage &msg, Actions &out) const;
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
    pb::Snapshot m_snapshot; // latest durable snapshot, sent to replicas that are far behind
    pb::Membership m_membership;
    uint64_t m_membershipIndex = 0;
    uint64_t m_commit = 0;
    Role m_role = Role::Follower;
    std::optional<Replica> m_leader;
    Time m_leaderContact{}; // last message from a live leader, or start
    Time m_electionDeadline{};
    Time m_heartbeatDue{};
    uint64_t m_termStart = 0; // index of the first entry of the leader's term
    std::map<Replica, bool> m_votes;
    std::map<Replica, Progress> m_progress;
    std::optional<Time> m_transferDeadline;
    std::mt19937_64 m_random;
};

} // namespace roserail
