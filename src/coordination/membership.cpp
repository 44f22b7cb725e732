#include "coordination/membership.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis JoinFresh{3000}; // a join request counts this long
constexpr Millis LostAfter{2000}; // an incarnation that was silent this long may be replaced

const pb::Member *findId(const pb::Membership &membership, uint64_t id, bool voter)
{
    const auto it = std::find_if(membership.members().begin(), membership.members().end(),
                                 [&](const pb::Member &m) { return m.identity().id() == id && m.voter() == voter; });
    return it == membership.members().end() ? nullptr : &*it;
}

pb::Membership without(const pb::Membership &membership, const Replica &replica)
{
    pb::Membership result;
    for (const pb::Member &it : membership.members()) {
        if (fromProto(it.identity()) != replica)
            *result.add_members() = it;
    }
    return result;
}

pb::Membership promoted(const pb::Membership &membership, const Replica &replica)
{
    pb::Membership result = membership;
    for (pb::Member &it : *result.mutable_members()) {
        if (fromProto(it.identity()) == replica)
            it.set_voter(true);
    }
    return result;
}

bool caughtUp(const Raft &raft, const Replica &replica)
{
    const uint64_t match = raft.matchIndex(replica);
    return match != 0 && match + PromoteWithinEntries >= raft.lastIndex();
}

} // namespace

void MembershipPlan::requestJoin(const pb::Member &member, Time now)
{
    m_joins[member.identity().id()] = Join{member, now};
}

void MembershipPlan::approve(uint64_t id)
{
    m_approved.push_back(id);
}

void MembershipPlan::requestRemoval(uint64_t id)
{
    m_removals.push_back(id);
}

std::optional<pb::Membership> MembershipPlan::next(const Raft &raft, Time now)
{
    if (!raft.isLeader() || !raft.membershipSettled())
        return std::nullopt;
    const pb::Membership &current = raft.membership();
    if (!m_removals.empty()) {
        const uint64_t id = m_removals.back();
        for (const bool voter : {false, true}) {
            const pb::Member *member = findId(current, id, voter);
            if (member != nullptr)
                return without(current, fromProto(member->identity()));
        }
        m_removals.pop_back();
    }
    for (const pb::Member &learner : current.members()) {
        if (learner.voter() || !caughtUp(raft, fromProto(learner.identity())))
            continue;
        // The lost incarnation leaves first: replacing it in one step would let two majorities be disjoint.
        const pb::Member *lost = findId(current, learner.identity().id(), true);
        if (lost != nullptr)
            return without(current, fromProto(lost->identity()));
        return promoted(current, fromProto(learner.identity()));
    }
    for (const std::pair<const uint64_t, Join> &it : m_joins) {
        const Replica replica = fromProto(it.second.member.identity());
        if (now > it.second.askedAt + JoinFresh)
            continue;
        const pb::Member *voter = findId(current, it.first, true);
        const pb::Member *learner = findId(current, it.first, false);
        if (learner != nullptr && fromProto(learner->identity()) != replica)
            return without(current, fromProto(learner->identity()));
        if (learner != nullptr || (voter != nullptr && fromProto(voter->identity()) == replica))
            continue;
        const bool approved = std::find(m_approved.begin(), m_approved.end(), it.first) != m_approved.end();
        if (voter == nullptr && !approved)
            continue;
        if (voter != nullptr && !raft.silentSince(fromProto(voter->identity()), now - LostAfter))
            continue;
        pb::Membership result = current;
        pb::Member &added = *result.add_members();
        added = it.second.member;
        added.set_voter(false);
        return result;
    }
    return std::nullopt;
}

} // namespace roserail
