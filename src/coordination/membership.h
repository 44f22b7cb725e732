// Plans changes of the replica set, one step at a time: a replica with an empty disk joins as a learner, is caught
// up, and only then takes the place of its lost incarnation.
#pragma once

#include "coordination/raft.h"

namespace roserail
{

// Who may take part.
struct MembershipPolicy {
    bool admitAll = false; // replicas that ask to join need no operator's approval
    uint32_t voters = 0; // wanted; further replicas are learners that step in for a lost voter. 0: all vote
};

// When a replica that is no member asks to be taken in: one with an empty data folder, or one that was replaced while it
// was away and whose log doesn't say so yet.
class JoinTimer
{
public:
    explicit JoinTimer(Time start)
        : m_leaderKnownAt(start)
    {
    }
    bool due(const Raft &raft, Time now);

private:
    Time m_leaderKnownAt;
    Time m_next{};
};

class MembershipPlanner
{
public:
    explicit MembershipPlanner(MembershipPolicy policy = {});
    // A replica with an empty data folder asks to be caught up.
    void requestJoin(const pb::Member &member, Time now);
    // An operator allows a replica id that was never a member.
    void approve(uint64_t id);
    // An operator removes a replica.
    void requestRemoval(uint64_t id);
    // The next membership to propose, if a step is due.
    std::optional<pb::Membership> next(const Raft &raft, Time now);

private:
    // The step that gives a caught-up learner a vote, if there is a place for it.
    std::optional<pb::Membership> promote(const Raft &raft, const pb::Member &learner, Time now) const;
    bool mayJoin(uint64_t id) const;

    struct Join {
        pb::Member member;
        Time requestedAt{};
    };

    MembershipPolicy m_policy;
    std::map<uint64_t, Join> m_joins; // by replica id
    std::vector<uint64_t> m_approved;
    std::vector<uint64_t> m_removals;
};

} // namespace roserail
