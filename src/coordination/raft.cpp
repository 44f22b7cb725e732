#include "coordination/raft.h"

#include "state/invariant.h"
#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Time DistantPast{Millis(INT64_MIN / 4)};
constexpr Millis SnapshotResendInterval{2000};

} // namespace

Replica fromProto(const pb::ReplicaIdentity &identity)
{
    return Replica{identity.id(), identity.incarnation()};
}

pb::ReplicaIdentity toProto(const Replica &replica)
{
    pb::ReplicaIdentity identity;
    identity.set_id(replica.id);
    identity.set_incarnation(replica.incarnation);
    return identity;
}

Millis sendTimeout(size_t bytes)
{
    return MessageTimeout + Millis(bytes / MinSendBytesPerMs);
}

bool Actions::needsSync() const
{
    return persist.has_hard_state() || persist.truncate_from() != 0 || persist.entries_size() != 0;
}

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Leader:
        return "leader";
    case Role::Candidate:
    case Role::PreCandidate:
        return "candidate";
    default:
        return "follower";
    }
}

Raft::Raft(Replica self, const DurableState &disk, uint64_t seed, Time now)
    : m_self(self)
    , m_clusterId(disk.identity.cluster_id())
    , m_hard(disk.hardState)
    , m_log(disk.entries.begin(), disk.entries.end())
    , m_snapIndex(disk.snapshot.index())
    , m_snapTerm(disk.snapshot.term())
    , m_snapMembership(disk.snapshot.membership())
    , m_snapshot(disk.snapshot)
    , m_commit(disk.snapshot.index())
    , m_startedAt(now)
    , m_currentAt(DistantPast)
    , m_tokenKey(std::mt19937_64(seed)())
    , m_random(seed)
{
    if (!m_log.empty())
        invariant(m_log.front().index() == m_snapIndex + 1, "the log starts right after the snapshot");
    recomputeMembership();
    // A restarted replica does not know which leader it last acknowledged: it must not vote while that leader's lease
    // may still be valid.
    m_leaderContact = now;
    resetElectionDeadline(now);
}

uint64_t Raft::lastIndex() const
{
    return m_snapIndex + m_log.size();
}

const pb::Entry &Raft::entry(uint64_t index) const
{
    invariant(index > m_snapIndex && index <= lastIndex(), "the entry is in the log");
    return m_log[index - m_snapIndex - 1];
}

uint64_t Raft::termAt(uint64_t index) const
{
    if (index == m_snapIndex)
        return m_snapTerm;
    return entry(index).term();
}

uint64_t Raft::matchIndex(const Replica &replica) const
{
    if (replica == m_self)
        return lastIndex();
    const auto it = m_progress.find(replica);
    return it == m_progress.end() ? 0 : it->second.match;
}

bool Raft::isVoter(const Replica &replica) const
{
    return std::any_of(m_membership.members().begin(), m_membership.members().end(),
                       [&](const pb::Member &it) { return it.voter() && fromProto(it.identity()) == replica; });
}

size_t Raft::majority() const
{
    const auto n
        = std::count_if(m_membership.members().begin(), m_membership.members().end(), [](const pb::Member &it) { return it.voter(); });
    return size_t(n) / 2 + 1;
}

// Returns the latest send time that a majority of voters, including this one, has acknowledged.
Time Raft::quorumAckTime() const
{
    std::vector<Time> acked;
    for (const pb::Member &member : m_membership.members()) {
        if (!member.voter())
            continue;
        const Replica replica = fromProto(member.identity());
        if (replica == m_self) {
            acked.push_back(Time::max());
            continue;
        }
        const auto it = m_progress.find(replica);
        acked.push_back(it != m_progress.end() && it->second.everAcked ? it->second.ackedSentAt : DistantPast);
    }
    if (acked.size() < majority())
        return DistantPast;
    std::sort(acked.begin(), acked.end(), std::greater<>());
    return acked[majority() - 1];
}

Time Raft::leaseEnd(Time now) const
{
    if (m_role != Role::Leader || m_transferDeadline)
        return DistantPast;
    return std::min(now, quorumAckTime()) + LeaderLease;
}

Time Raft::currentAt(Time now) const
{
    if (m_role != Role::Leader || m_commit < m_termStart)
        return m_currentAt;
    return std::max(m_currentAt, std::min(now, quorumAckTime()));
}

bool Raft::holdsLease(Time now) const
{
    return now < leaseEnd(now);
}

bool Raft::unresponsiveSince(const Replica &replica, Time since) const
{
    if (m_role != Role::Leader || m_leaderContact > since)
        return false;
    const auto it = m_progress.find(replica);
    return it == m_progress.end() || !it->second.everAcked || it->second.ackedSentAt < since;
}

bool Raft::canRead(Time now) const
{
    return holdsLease(now) && m_commit >= m_termStart;
}

// Returns whether this replica sent orders in the latest term of which any replica may have: a leader sends none before an entry of its
// term is committed, and the log of a later leader contains that entry.
bool Raft::isLatestOrderTerm() const
{
    return m_hard.order_term() != 0 && m_hard.order_term() == termAt(lastIndex());
}

// If all replicas have restarted, the one that sent the latest orders to endpoints stands for election first: as the leader it need not
// wait for the end of another's order lease.
void Raft::resetElectionDeadline(Time now)
{
    std::uniform_int_distribution<int64_t> spread(ElectionTimeoutMin.count(), ElectionTimeoutMax.count());
    const bool preferred = m_leaderContact == m_startedAt && isLatestOrderTerm();
    m_electionDeadline = now + (preferred ? PreferredElectionTimeout : Millis(spread(m_random)));
}

void Raft::recordOrders(Actions &out)
{
    if (m_role != Role::Leader || m_hard.order_term() == m_hard.term())
        return;
    m_hard.set_order_term(m_hard.term());
    saveHardState(out);
}

void Raft::saveHardState(Actions &out)
{
    *out.persist.mutable_hard_state() = m_hard;
}

pb::RaftMessage Raft::message(pb::RaftMessage::Kind kind, const Replica &to) const
{
    pb::RaftMessage msg;
    msg.set_kind(kind);
    msg.set_cluster_id(m_clusterId);
    *msg.mutable_from() = toProto(m_self);
    *msg.mutable_to() = toProto(to);
    msg.set_term(m_hard.term());
    return msg;
}

void Raft::becomeFollower(uint64_t term, std::optional<Replica> leader, Time now)
{
    invariant(term >= m_hard.term(), "the term never decreases");
    if (term > m_hard.term()) {
        m_hard.set_term(term);
        m_hard.clear_voted_for();
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
    m_progress.clear();
    m_transferDeadline.reset();
    resetElectionDeadline(now);
}

void Raft::tick(Time now, Actions &out)
{
    if (m_role == Role::Leader) {
        const bool quorumLost = quorumAckTime() != Time::max() && std::max(quorumAckTime(), m_leaderContact) + ElectionTimeoutMax < now;
        const bool transferFailed = m_transferDeadline && now >= *m_transferDeadline;
        if (quorumLost || transferFailed) {
            becomeFollower(m_hard.term(), std::nullopt, now);
            return;
        }
        if (now >= m_heartbeatDue)
            broadcast(now, out);
        return;
    }
    if (now < m_electionDeadline)
        return;
    if (isVoter(m_self)) {
        campaign(true, false, now, out);
        return;
    }
    // A learner can't replace the leader, but it must not rely on one that it no longer hears from.
    m_leader.reset();
    resetElectionDeadline(now);
}

// Requests votes. A pre-vote changes no term: it finds out whether a real election could be won.
void Raft::campaign(bool preVote, bool transfer, Time now, Actions &out)
{
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    m_leader.reset();
    m_votes.clear();
    m_votes[m_self] = true;
    resetElectionDeadline(now);
    if (!preVote) {
        m_hard.set_term(m_hard.term() + 1);
        *m_hard.mutable_voted_for() = toProto(m_self);
        saveHardState(out);
    }
    if (majority() == 1 && isVoter(m_self)) {
        if (preVote)
            campaign(false, transfer, now, out);
        else
            becomeLeader(now, out);
        return;
    }
    for (const pb::Member &member : m_membership.members()) {
        const Replica to = fromProto(member.identity());
        if (!member.voter() || to == m_self)
            continue;
        pb::RaftMessage msg = message(preVote ? pb::RaftMessage::PRE_VOTE : pb::RaftMessage::VOTE, to);
        msg.set_term(m_hard.term() + (preVote ? 1 : 0));
        msg.set_log_index(lastIndex());
        msg.set_log_term(termAt(lastIndex()));
        msg.set_transfer(transfer);
        out.messages.push_back(std::move(msg));
    }
}

void Raft::becomeLeader(Time now, Actions &out)
{
    invariant(isVoter(m_self), "only a voter becomes leader");
    m_role = Role::Leader;
    m_leader = m_self;
    m_leaderContact = now;
    m_progress.clear();
    m_transferDeadline.reset();
    m_sentLastOrders = isLatestOrderTerm();
    pb::Entry noop;
    m_termStart = lastIndex() + 1;
    append(std::move(noop), out);
    advanceCommit(out);
    broadcast(now, out);
}

void Raft::append(pb::Entry entry, Actions &out)
{
    entry.set_index(lastIndex() + 1);
    entry.set_term(m_hard.term());
    if (entry.has_membership()) {
        m_membership = entry.membership();
        m_membershipIndex = entry.index();
    }
    *out.persist.add_entries() = entry;
    m_log.push_back(std::move(entry));
}

std::optional<uint64_t> Raft::propose(pb::Command command, Actions &out)
{
    if (m_role != Role::Leader || m_transferDeadline)
        return std::nullopt;
    pb::Entry entry;
    *entry.mutable_command() = std::move(command);
    append(std::move(entry), out);
    return lastIndex();
}

bool Raft::proposeMembership(const pb::Membership &membership, Actions &out)
{
    if (m_role != Role::Leader || m_transferDeadline || !membershipCommitted() || m_commit < m_termStart)
        return false;
    std::map<Replica, int> change;
    for (const pb::Member &member : m_membership.members())
        change[fromProto(member.identity())] += member.voter() ? 1 : 0;
    for (const pb::Member &member : membership.members())
        change[fromProto(member.identity())] -= member.voter() ? 1 : 0;
    const auto changed
        = std::count_if(change.begin(), change.end(), [](const std::pair<const Replica, int> &it) { return it.second != 0; });
    if (changed > 1)
        return false;
    pb::Entry entry;
    *entry.mutable_membership() = membership;
    append(std::move(entry), out);
    return true;
}

bool Raft::transferLeadership(Time now, Actions &out)
{
    if (m_role != Role::Leader || m_transferDeadline)
        return false;
    for (const pb::Member &member : m_membership.members()) {
        const Replica to = fromProto(member.identity());
        const auto it = m_progress.find(to);
        if (!member.voter() || to == m_self || it == m_progress.end() || it->second.match != lastIndex())
            continue;
        // From here on this leader does not hold its lease again in this term.
        m_transferDeadline = now + ElectionTimeoutMin;
        out.messages.push_back(message(pb::RaftMessage::TIMEOUT_NOW, to));
        return true;
    }
    return false;
}

void Raft::flush(Time now, Actions &out)
{
    if (m_role != Role::Leader)
        return;
    advanceCommit(out);
    for (const pb::Member &member : m_membership.members()) {
        const Replica to = fromProto(member.identity());
        if (to == m_self)
            continue;
        Progress &progress = m_progress[to];
        sendEntries(to, progress, now, out);
    }
}

void Raft::broadcast(Time now, Actions &out)
{
    m_heartbeatDue = now + HeartbeatInterval;
    for (const pb::Member &member : m_membership.members()) {
        const Replica to = fromProto(member.identity());
        if (to == m_self)
            continue;
        const bool known = m_progress.count(to) != 0;
        Progress &progress = m_progress[to];
        if (!known)
            progress.next = lastIndex();
        sendHeartbeat(to, progress, now, out);
    }
}

void Raft::Progress::probe(uint64_t first)
{
    probing = true;
    next = first;
    clearInFlight();
}

void Raft::Progress::clearInFlight()
{
    bytesInFlight = 0;
    largeUntil = Time::max();
}

void Raft::sendFailed(const Replica &to)
{
    const auto it = m_progress.find(to);
    if (it != m_progress.end() && it->second.largeInFlight())
        it->second.probe(it->second.match + 1);
}

// Returns whether the log no longer contains `next`. Sends the snapshot then, unless it was sent a short time ago.
bool Raft::sendSnapshotIfBehind(const Replica &to, Progress &progress, Time now, Actions &out)
{
    if (progress.next > m_snapIndex)
        return false;
    if (now < progress.retryAt)
        return true;
    pb::RaftMessage msg = message(pb::RaftMessage::INSTALL, to);
    *msg.mutable_snapshot() = m_snapshot;
    msg.set_sent_at_ms(uint64_t(toMillis(now)));
    progress.retryAt = now + SnapshotResendInterval;
    out.messages.push_back(std::move(msg));
    return true;
}

// Returns an append without entries.
pb::RaftMessage Raft::appendAfter(uint64_t prev, const Replica &to, const Progress &progress, Time now) const
{
    pb::RaftMessage msg = message(pb::RaftMessage::APPEND, to);
    msg.set_log_index(prev);
    msg.set_log_term(termAt(prev));
    msg.set_commit(m_commit);
    msg.set_sent_at_ms(uint64_t(toMillis(now)));
    msg.set_answered_token(canRead(now) ? progress.replyToken : 0);
    return msg;
}

// Sends an append without entries, and the snapshot if the replica needs it. Large entries may arrive after a later heartbeat,
// which therefore refers to what is confirmed; small ones arrive in order, and a heartbeat after them finds out if they were lost.
void Raft::sendHeartbeat(const Replica &to, Progress &progress, Time now, Actions &out)
{
    if (now >= progress.largeUntil)
        progress.probe(progress.match + 1);
    const bool behind = sendSnapshotIfBehind(to, progress, now, out);
    const uint64_t confirmed = progress.largeInFlight() ? std::max(progress.match, m_snapIndex) : progress.next - 1;
    out.messages.push_back(appendAfter(behind ? lastIndex() : confirmed, to, progress, now));
}

// Sends the next entries, or the snapshot, to a replica whose log is known to match up to them. The bytes in flight are limited,
// and large entries are sent only while nothing else is in flight.
void Raft::sendEntries(const Replica &to, Progress &progress, Time now, Actions &out)
{
    if (progress.probing || progress.next > lastIndex() || sendSnapshotIfBehind(to, progress, now, out))
        return;
    const size_t limit = progress.bytesInFlight == 0 ? MaxBytesPerAppend : MaxSmallAppendBytes;
    if (progress.largeInFlight() || progress.bytesInFlight >= MaxBytesInFlight
        || (progress.bytesInFlight > 0 && entry(progress.next).ByteSizeLong() > limit))
        return;
    pb::RaftMessage msg = appendAfter(progress.next - 1, to, progress, now);
    size_t bytes = 0;
    while (progress.next <= lastIndex() && size_t(msg.entries_size()) < MaxEntriesPerAppend) {
        const size_t size = entry(progress.next).ByteSizeLong();
        if (msg.entries_size() > 0 && bytes + size > limit)
            break;
        bytes += size;
        *msg.add_entries() = entry(progress.next++);
    }
    progress.bytesInFlight += bytes;
    if (bytes > MaxSmallAppendBytes)
        progress.largeUntil = now + sendTimeout(bytes);
    out.messages.push_back(std::move(msg));
}

void Raft::receive(const pb::RaftMessage &msg, Time now, Actions &out)
{
    // Messages for an earlier incarnation of this replica or from another cluster are dropped.
    if (fromProto(msg.to()) != m_self)
        return;
    const Replica from = fromProto(msg.from());
    if (m_clusterId == 0 && msg.kind() == pb::RaftMessage::APPEND) {
        requestSnapshot(msg, out);
        return;
    }
    const bool joining = m_clusterId == 0 && msg.kind() == pb::RaftMessage::INSTALL;
    if (msg.cluster_id() != m_clusterId && !joining)
        return;
    const bool isVoteRequest = msg.kind() == pb::RaftMessage::PRE_VOTE || msg.kind() == pb::RaftMessage::VOTE;
    if (isVoteRequest) {
        onVote(msg, now, out);
        return;
    }
    const bool preVoteReply = msg.kind() == pb::RaftMessage::PRE_VOTE_REPLY;
    if (msg.term() > m_hard.term() && !(preVoteReply && msg.granted())) {
        const bool fromLeader = msg.kind() == pb::RaftMessage::APPEND || msg.kind() == pb::RaftMessage::INSTALL;
        becomeFollower(msg.term(), fromLeader ? std::optional(from) : std::nullopt, now);
        saveHardState(out);
    }
    switch (msg.kind()) {
    case pb::RaftMessage::PRE_VOTE_REPLY:
    case pb::RaftMessage::VOTE_REPLY:
        onVoteReply(msg, now, out);
        break;
    case pb::RaftMessage::APPEND:
        onAppend(msg, now, out);
        break;
    case pb::RaftMessage::APPEND_REPLY:
        onAppendReply(msg, now, out);
        break;
    case pb::RaftMessage::INSTALL:
        onInstall(msg, now, out);
        break;
    case pb::RaftMessage::TIMEOUT_NOW:
        if (msg.term() == m_hard.term() && m_role == Role::Follower && isVoter(m_self))
            campaign(false, true, now, out);
        break;
    default:
        break;
    }
}

// Rejects an append with index 0, so that the leader sends a snapshot: an empty replica has no log to append to.
void Raft::requestSnapshot(const pb::RaftMessage &msg, Actions &out) const
{
    pb::RaftMessage reply = message(pb::RaftMessage::APPEND_REPLY, fromProto(msg.from()));
    reply.set_cluster_id(msg.cluster_id());
    reply.set_term(msg.term());
    reply.set_sent_at_ms(msg.sent_at_ms());
    out.messages.push_back(std::move(reply));
}

void Raft::onVote(const pb::RaftMessage &msg, Time now, Actions &out)
{
    const bool preVote = msg.kind() == pb::RaftMessage::PRE_VOTE;
    const Replica from = fromProto(msg.from());
    const bool leaderAlive = now < m_leaderContact + ElectionTimeoutMin || holdsLease(now);
    if (leaderAlive && !msg.transfer())
        return;
    if (!preVote && msg.term() > m_hard.term()) {
        becomeFollower(msg.term(), std::nullopt, now);
        saveHardState(out);
    }
    const bool logCurrent
        = msg.log_term() > termAt(lastIndex()) || (msg.log_term() == termAt(lastIndex()) && msg.log_index() >= lastIndex());
    bool granted = false;
    if (preVote) {
        granted = msg.term() > m_hard.term() && logCurrent;
    } else if (msg.term() == m_hard.term()) {
        const bool mayVote = !m_hard.has_voted_for() || fromProto(m_hard.voted_for()) == from;
        granted = mayVote && logCurrent;
    }
    if (granted && !preVote) {
        *m_hard.mutable_voted_for() = msg.from();
        saveHardState(out);
        resetElectionDeadline(now);
    }
    pb::RaftMessage reply = message(preVote ? pb::RaftMessage::PRE_VOTE_REPLY : pb::RaftMessage::VOTE_REPLY, from);
    reply.set_granted(granted);
    if (preVote && granted)
        reply.set_term(msg.term());
    out.messages.push_back(std::move(reply));
}

void Raft::onVoteReply(const pb::RaftMessage &msg, Time now, Actions &out)
{
    const bool preVote = msg.kind() == pb::RaftMessage::PRE_VOTE_REPLY;
    const bool expected = preVote ? m_role == Role::PreCandidate && msg.term() == m_hard.term() + 1
                                  : m_role == Role::Candidate && msg.term() == m_hard.term();
    const Replica from = fromProto(msg.from());
    if (!expected || !msg.granted() || !isVoter(from))
        return;
    m_votes[from] = true;
    size_t n = 0;
    for (const std::pair<const Replica, bool> &it : m_votes)
        n += isVoter(it.first) ? 1 : 0;
    if (n < majority())
        return;
    if (preVote)
        campaign(false, false, now, out);
    else
        becomeLeader(now, out);
}

// Returns a reply with a token that means its time only to this process: a later one, after a reboot, has another clock.
pb::RaftMessage Raft::appendReply(const pb::RaftMessage &msg, Time now) const
{
    pb::RaftMessage reply = message(pb::RaftMessage::APPEND_REPLY, fromProto(msg.from()));
    reply.set_sent_at_ms(msg.sent_at_ms());
    reply.set_reply_token(uint64_t(toMillis(now)) ^ m_tokenKey);
    return reply;
}

// Returns the time as of which an append names all that is committed: that of the reply which the leader had read. The append itself may
// be read much later than it was sent, by a replica that stood still.
Time Raft::confirmedAt(const pb::RaftMessage &append, Time now) const
{
    if (!append.has_answered_token())
        return now; // from an older build
    const Time repliedAt = timeFromMillis(int64_t(append.answered_token() ^ m_tokenKey));
    return repliedAt >= m_startedAt && repliedAt <= now ? repliedAt : DistantPast;
}

void Raft::onAppend(const pb::RaftMessage &msg, Time now, Actions &out)
{
    const Replica from = fromProto(msg.from());
    pb::RaftMessage reply = appendReply(msg, now);
    if (msg.term() < m_hard.term()) {
        out.messages.push_back(std::move(reply));
        return;
    }
    invariant(m_role != Role::Leader, "one leader per term");
    if (m_role != Role::Follower)
        becomeFollower(msg.term(), from, now);
    m_leader = from;
    m_leaderContact = now;
    resetElectionDeadline(now);
    const bool hasPrev = msg.log_index() <= m_snapIndex || (msg.log_index() <= lastIndex() && termAt(msg.log_index()) == msg.log_term());
    if (!hasPrev) {
        reply.set_log_index(std::max(m_commit, std::min(lastIndex(), msg.log_index() - 1)));
        out.messages.push_back(std::move(reply));
        return;
    }
    uint64_t last = msg.log_index();
    for (const pb::Entry &it : msg.entries()) {
        last = it.index();
        if (it.index() <= m_snapIndex)
            continue;
        if (it.index() <= lastIndex()) {
            if (termAt(it.index()) == it.term())
                continue;
            truncateFrom(it.index(), out);
        }
        invariant(it.index() == lastIndex() + 1, "the log has no gap");
        if (it.has_membership()) {
            m_membership = it.membership();
            m_membershipIndex = it.index();
        }
        *out.persist.add_entries() = it;
        m_log.push_back(it);
    }
    commitTo(std::min(msg.commit(), last), out);
    // A new leader does not know yet what is committed until it has committed an entry of its own term.
    if (m_commit >= msg.commit() && termAt(m_commit) == msg.term())
        m_currentAt = std::max(m_currentAt, confirmedAt(msg, now));
    reply.set_granted(true);
    reply.set_log_index(last);
    out.messages.push_back(std::move(reply));
}

void Raft::onAppendReply(const pb::RaftMessage &msg, Time now, Actions &out)
{
    if (m_role != Role::Leader || msg.term() != m_hard.term())
        return;
    const Replica from = fromProto(msg.from());
    const auto it = m_progress.find(from);
    if (it == m_progress.end())
        return;
    Progress &progress = it->second;
    const Time sentAt = timeFromMillis(int64_t(msg.sent_at_ms()));
    progress.ackedSentAt = progress.everAcked ? std::max(progress.ackedSentAt, sentAt) : sentAt;
    progress.everAcked = true;
    progress.replyToken = msg.reply_token();
    if (!msg.granted()) {
        const uint64_t next = std::max(progress.match, std::min(msg.log_index(), lastIndex())) + 1;
        // A repeated rejection is not answered: each duplicate would cause further duplicates.
        const bool repeated = progress.probing && progress.next == next;
        progress.probe(next);
        if (!repeated && (progress.next > m_snapIndex || now >= progress.retryAt))
            sendHeartbeat(from, progress, now, out);
        return;
    }
    invariant(msg.log_index() <= lastIndex(), "a follower acknowledges only what was sent");
    progress.probing = false;
    if (msg.log_index() > progress.match) {
        progress.match = msg.log_index();
        progress.retryAt = now;
    }
    progress.next = std::max(progress.next, progress.match + 1);
    if (progress.next == progress.match + 1)
        progress.clearInFlight();
    advanceCommit(out);
    sendEntries(from, progress, now, out);
}

void Raft::onInstall(const pb::RaftMessage &msg, Time now, Actions &out)
{
    const Replica from = fromProto(msg.from());
    pb::RaftMessage reply = appendReply(msg, now);
    if (msg.term() < m_hard.term()) {
        out.messages.push_back(std::move(reply));
        return;
    }
    m_clusterId = msg.cluster_id();
    reply.set_cluster_id(m_clusterId);
    m_leader = from;
    m_leaderContact = now;
    resetElectionDeadline(now);
    const pb::Snapshot &snapshot = msg.snapshot();
    if (snapshot.index() > m_commit) {
        // Entries after the snapshot may have been acknowledged: they are kept if the log matches the snapshot.
        const bool continues
            = snapshot.index() > m_snapIndex && snapshot.index() <= lastIndex() && termAt(snapshot.index()) == snapshot.term();
        if (continues)
            m_log.erase(m_log.begin(), m_log.begin() + long(snapshot.index() - m_snapIndex));
        else
            m_log.clear();
        m_snapIndex = snapshot.index();
        m_snapTerm = snapshot.term();
        m_snapMembership = snapshot.membership();
        m_snapshot = snapshot;
        m_commit = snapshot.index();
        recomputeMembership();
        out.install = snapshot;
        out.persist.clear_entries();
        out.persist.set_truncate_from(0);
        out.committed.clear();
        saveHardState(out);
    }
    reply.set_granted(true);
    reply.set_log_index(snapshot.index());
    out.messages.push_back(std::move(reply));
}

void Raft::truncateFrom(uint64_t index, Actions &out)
{
    invariant(index > m_commit, "a committed entry is never truncated");
    m_log.resize(index - m_snapIndex - 1);
    google::protobuf::RepeatedPtrField<pb::Entry> &entries = *out.persist.mutable_entries();
    while (!entries.empty() && entries.rbegin()->index() >= index)
        entries.RemoveLast();
    const uint64_t earlier = out.persist.truncate_from();
    out.persist.set_truncate_from(earlier == 0 ? index : std::min(earlier, index));
    recomputeMembership();
}

// Recomputes the membership in force: the latest in the log, committed or not.
void Raft::recomputeMembership()
{
    m_membership = m_snapMembership;
    m_membershipIndex = m_snapIndex;
    for (const pb::Entry &it : m_log) {
        if (!it.has_membership())
            continue;
        m_membership = it.membership();
        m_membershipIndex = it.index();
    }
}

pb::Membership Raft::membershipAt(uint64_t index) const
{
    pb::Membership membership = m_snapMembership;
    for (const pb::Entry &it : m_log) {
        if (it.index() <= index && it.has_membership())
            membership = it.membership();
    }
    return membership;
}

// Commits the entries that a majority holds, if the last of them is of the current term.
void Raft::advanceCommit(Actions &out)
{
    std::vector<uint64_t> matches;
    for (const pb::Member &member : m_membership.members()) {
        if (member.voter())
            matches.push_back(matchIndex(fromProto(member.identity())));
    }
    if (matches.size() < majority())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const uint64_t index = matches[majority() - 1];
    if (index > m_commit && termAt(index) == m_hard.term())
        commitTo(index, out);
}

void Raft::commitTo(uint64_t index, Actions &out)
{
    while (m_commit < index) {
        ++m_commit;
        out.committed.push_back(entry(m_commit));
    }
    // A leader that was removed steps down once its removal is committed.
    if (m_role == Role::Leader && membershipCommitted() && !isVoter(m_self)) {
        m_role = Role::Follower;
        m_leader.reset();
        m_progress.clear();
    }
}

void Raft::compact(const pb::Snapshot &snapshot)
{
    invariant(snapshot.index() <= m_commit, "only committed entries are compacted");
    if (snapshot.index() <= m_snapIndex)
        return;
    const uint64_t term = termAt(snapshot.index());
    m_log.erase(m_log.begin(), m_log.begin() + long(snapshot.index() - m_snapIndex));
    m_snapIndex = snapshot.index();
    m_snapTerm = term;
    m_snapMembership = snapshot.membership();
    m_snapshot = snapshot;
}

} // namespace roserail
