// Plans changes of the replica set, one step at a time: a replica with an empty disk joins as a learner, is caught
// up, and only then takes the place of its lost incarnation.
#pragma once

#include "coordination/raft.h"

namespace roserail
{

class MembershipPlan
{
public:
    // A replica with an empty data folder asks to be caught up.
    void requestJoin(const pb::Member &member, Time now);
    // An operator allows a replica id that was never a member.
    void approve(uint64_t id);
    // An operator removes a replica.
    void requestRemoval(uint64_t id);
    // The next membership to propose, if a step is due.
    std::optional<pb::Membership> next(const Raft &raft, Time now);

private:
    struct Join {
        pb::Member member;
        Time askedAt{};
    };

    std::map<uint64_t, Join> m_joins; // by replica id
    std::vector<uint64_t> m_approved;
    std::vector<uint64_t> m_removals;
};

} // namespace roserail
