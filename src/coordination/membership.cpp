#include "coordination/membership.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis JoinRequestInterval{500};
constexpr Millis LeaderlessTimeout{3000}; // time for several elections; a member without a leader for longer may have been replaced
constexpr Millis JoinRequestValidity{3000};
constexpr Millis VoterLostTimeout{2000}; // a voter that has not replied for this long may be replaced
constexpr Millis LearnerLostTimeout{10000}; // a learner that has not replied for this long is removed; it may join again

const pb::Member *findMember(const pb::Membership &membership, uint64_t id, bool voter)
{
    const auto it = std::find_if(membership.members().begin(), membership.members().end(),
                                 [&](const pb::Member &m) { return m.identity().id() == id && m.voter() == voter; });
    return it == membership.members().end() ? nullptr : &*it;
}

pb::Membership withoutMember(const pb::Membership &membership, const Replica &replica)
{
    pb::Membership result;
    for (const pb::Member &it : membership.members()) {
        if (fromProto(it.identity()) != replica)
            *result.add_members() = it;
    }
    return result;
}

pb::Membership withVoter(const pb::Membership &membership, const Replica &replica)
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
    return match != 0 && match + LearnerPromotionMaxLag >= raft.lastIndex();
}

} // namespace

bool JoinTimer::due(const Raft &raft, Time now)
{
    const google::protobuf::RepeatedPtrField<pb::Member> &members = raft.membership().members();
    const bool member
        = std::any_of(members.begin(), members.end(), [&](const pb::Member &it) { return fromProto(it.identity()) == raft.self(); });
    if (raft.leader())
        m_leaderKnownAt = now;
    if ((member && now < m_leaderKnownAt + LeaderlessTimeout) || now < m_next)
        return false;
    m_next = now + JoinRequestInterval;
    return true;
}

MembershipPlanner::MembershipPlanner(MembershipPolicy policy)
    : m_policy(policy)
{
}

void MembershipPlanner::requestJoin(const pb::Member &member, Time now)
{
    m_joinRequests[member.identity().id()] = JoinRequest{member, now};
}

void MembershipPlanner::approve(uint64_t id)
{
    m_approved.push_back(id);
}

void MembershipPlanner::requestRemoval(uint64_t id)
{
    m_removals.push_back(id);
}

bool MembershipPlanner::mayJoin(uint64_t id) const
{
    return m_policy.admitAll || std::find(m_approved.begin(), m_approved.end(), id) != m_approved.end();
}

// Removes a lost voter before the learner becomes a voter: replacing it in one step would allow two disjoint majorities.
std::optional<pb::Membership> MembershipPlanner::promote(const Raft &raft, const pb::Member &learner, Time now) const
{
    const pb::Membership &current = raft.membership();
    const pb::Member *previous = findMember(current, learner.identity().id(), true);
    if (previous != nullptr)
        return withoutMember(current, fromProto(previous->identity()));
    uint32_t voters = 0;
    const pb::Member *unresponsive = nullptr;
    for (const pb::Member &it : current.members()) {
        if (!it.voter())
            continue;
        ++voters;
        const Replica replica = fromProto(it.identity());
        if (replica != raft.self() && raft.unresponsiveSince(replica, now - VoterLostTimeout))
            unresponsive = &it;
    }
    if (m_policy.voters == 0 || voters < m_policy.voters)
        return withVoter(current, fromProto(learner.identity()));
    if (unresponsive != nullptr && voters == m_policy.voters)
        return withoutMember(current, fromProto(unresponsive->identity()));
    return std::nullopt;
}

std::optional<pb::Membership> MembershipPlanner::next(const Raft &raft, Time now)
{
    if (!raft.isLeader() || !raft.membershipCommitted())
        return std::nullopt;
    const pb::Membership &current = raft.membership();
    if (!m_removals.empty()) {
        const uint64_t id = m_removals.back();
        for (const bool voter : {false, true}) {
            const pb::Member *member = findMember(current, id, voter);
            if (member != nullptr)
                return withoutMember(current, fromProto(member->identity()));
        }
        m_removals.pop_back();
    }
    for (const pb::Member &learner : current.members()) {
        if (learner.voter() || !caughtUp(raft, fromProto(learner.identity())))
            continue;
        const std::optional<pb::Membership> step = promote(raft, learner, now);
        if (step)
            return step;
    }
    if (m_policy.admitAll) {
        for (const pb::Member &learner : current.members()) {
            if (!learner.voter() && raft.unresponsiveSince(fromProto(learner.identity()), now - LearnerLostTimeout))
                return withoutMember(current, fromProto(learner.identity()));
        }
    }
    for (const std::pair<const uint64_t, JoinRequest> &it : m_joinRequests) {
        const Replica replica = fromProto(it.second.member.identity());
        if (now > it.second.requestedAt + JoinRequestValidity)
            continue;
        const pb::Member *voter = findMember(current, it.first, true);
        const pb::Member *learner = findMember(current, it.first, false);
        if (learner != nullptr && fromProto(learner->identity()) != replica)
            return withoutMember(current, fromProto(learner->identity()));
        if (learner != nullptr || (voter != nullptr && fromProto(voter->identity()) == replica))
            continue;
        if (voter == nullptr && !mayJoin(it.first))
            continue;
        if (voter != nullptr && !raft.unresponsiveSince(fromProto(voter->identity()), now - VoterLostTimeout))
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
