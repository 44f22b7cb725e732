// Plans membership changes of the replicated log, one step at a time: a replica with an empty disk joins as a learner,
// receives the log, and only then becomes a voter in place of its lost incarnation.
#pragma once

#include "coordination/raft.h"

namespace roserail
{

// Which replicas may join and how many of them vote.
struct MembershipPolicy {
    bool admitAll = false; // replicas join without an operator's approval
    uint32_t voters = 0; // target; further replicas are learners that replace a lost voter. 0: all vote
};

// Decides when a replica sends a join request: when it is not a member because its data folder is empty, or when it was
// replaced while it was offline and its own log does not show that yet.
class JoinTimer
{
public:
    explicit JoinTimer(Time start)
        : m_leaderKnownAt(start)
    {
    }
    // Returns whether a request is due now, and schedules the next one.
    bool due(const Raft &raft, Time now);

private:
    Time m_leaderKnownAt;
    Time m_next{};
};

// Runs on the leader and chooses the next membership to propose.
class MembershipPlanner
{
public:
    explicit MembershipPlanner(MembershipPolicy policy = {});
    // Records the join request of a replica that is not a member.
    void requestJoin(const pb::Member &member, Time now);
    // Records that an operator allows a replica id that was never a member to join.
    void approve(uint64_t id);
    // Records that an operator removes a replica.
    void requestRemoval(uint64_t id);
    // Returns the next membership to propose, if a step is due.
    std::optional<pb::Membership> next(const Raft &raft, Time now);

private:
    // Returns the step towards making a caught-up learner a voter, if a voter is missing or lost.
    std::optional<pb::Membership> promote(const Raft &raft, const pb::Member &learner, Time now) const;
    bool mayJoin(uint64_t id) const;

    struct JoinRequest {
        pb::Member member;
        Time requestedAt{};
    };

    MembershipPolicy m_policy;
    std::map<uint64_t, JoinRequest> m_joinRequests; // by replica id
    std::vector<uint64_t> m_approved;
    std::vector<uint64_t> m_removals;
};

} // namespace roserail
