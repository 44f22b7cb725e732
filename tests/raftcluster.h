// Simulates a Raft cluster with a lossy network, crashing replicas and in-memory disks, and checks Raft's safety properties
// after every step.
#pragma once

#include "coordination/membership.h"
#include "coordination/raft.h"
#include "state/invariant.h"
#include "state/tunables.h"

#include <memory>
#include <set>

namespace roserail::test
{

// One replica: its disk, and its Raft instance while it runs.
struct Node {
    DurableState disk;
    std::unique_ptr<Raft> raft;
    MembershipPlanner planner;
    JoinTimer joinTimer{Time()};
    std::map<uint64_t, std::string> applied; // by index; command bytes
    uint64_t appliedIndex = 0;
    bool frozen = false;
};

// A message in transit.
struct Envelope {
    pb::RaftMessage message;
    Time due{};
};

class Cluster
{
public:
    Cluster(size_t voters, uint64_t seed, MembershipPolicy policy = {})
        : m_random(seed)
        , m_policy(policy)
    {
        pb::Membership membership;
        for (uint64_t id = 1; id <= voters; ++id)
            *membership.add_members() = member(id, id * 100);
        for (uint64_t id = 1; id <= voters; ++id) {
            Node &node = m_nodes[id];
            node.disk.identity.set_cluster_id(7);
            *node.disk.identity.mutable_identity() = membership.members(int(id) - 1).identity();
            node.disk.snapshot.set_index(1);
            node.disk.snapshot.set_term(1);
            *node.disk.snapshot.mutable_membership() = membership;
            node.disk.hardState.set_term(1);
            start(id);
        }
    }

    static pb::Member member(uint64_t id, uint64_t incarnation)
    {
        pb::Member it;
        it.mutable_identity()->set_id(id);
        it.mutable_identity()->set_incarnation(incarnation);
        it.set_voter(true);
        return it;
    }

    // Advances the clock, delivers the messages that are due and ticks every running replica.
    void advance(Millis step)
    {
        m_now += step;
        std::vector<pb::RaftMessage> due;
        for (size_t i = 0; i < m_network.size();) {
            if (m_network[i].due > m_now) {
                ++i;
                continue;
            }
            due.push_back(std::move(m_network[i].message));
            m_network[i] = std::move(m_network.back());
            m_network.pop_back();
        }
        for (const pb::RaftMessage &it : due)
            deliver(it);
        for (std::pair<const uint64_t, Node> &it : m_nodes) {
            if (!it.second.raft || it.second.frozen)
                continue;
            Actions actions;
            it.second.raft->tick(m_now, actions);
            const std::optional<pb::Membership> next = it.second.planner.next(*it.second.raft, m_now);
            if (next)
                it.second.raft->proposeMembership(*next, actions);
            it.second.raft->flush(m_now, actions);
            sendOrders(it.first, actions);
            perform(it.first, actions);
            sendJoinRequests(it.first);
        }
        check();
    }

    void run(Millis time)
    {
        for (const Time end = m_now + time; m_now < end;)
            advance(Millis(10));
    }

    // Proposes a command at every replica in the leader role, also at one that has lost its majority.
    void propose(const std::string &content = "")
    {
        for (std::pair<const uint64_t, Node> &it : m_nodes) {
            if (!it.second.raft || it.second.frozen || !it.second.raft->isLeader())
                continue;
            pb::Command command;
            command.set_wall_ms(++m_proposals);
            if (!content.empty())
                command.mutable_put_configuration()->mutable_configuration()->set_content(content);
            Actions actions;
            it.second.raft->propose(command, actions);
            it.second.raft->flush(m_now, actions);
            perform(it.first, actions);
        }
    }

    // Stops the process of a replica. Its synced data is kept.
    void crash(uint64_t id)
    {
        m_nodes.at(id).raft.reset();
        m_nodes.at(id).frozen = false;
    }

    void start(uint64_t id)
    {
        Node &node = m_nodes.at(id);
        if (node.raft)
            return;
        node.planner = MembershipPlanner(m_policy);
        node.joinTimer = JoinTimer(m_now);
        node.applied.clear();
        node.appliedIndex = node.disk.snapshot.index();
        node.raft = std::make_unique<Raft>(fromProto(node.disk.identity.identity()), node.disk, m_random(), m_now);
    }

    // Adds a host with an empty disk.
    void add(uint64_t id)
    {
        m_nodes[id] = Node();
        wipe(id);
    }

    // Removes a host permanently.
    void remove(uint64_t id)
    {
        m_nodes.erase(id);
    }

    // Returns the voters of the leader's committed membership; empty while there is no leader.
    std::set<uint64_t> voters()
    {
        std::set<uint64_t> result;
        Raft *raft = leader();
        if (raft == nullptr || !raft->membershipCommitted())
            return result;
        for (const pb::Member &it : raft->membership().members()) {
            if (it.voter())
                result.insert(it.identity().id());
        }
        return result;
    }

    // Loses the disk of a replica: its process starts with an empty folder under a new incarnation.
    void wipe(uint64_t id)
    {
        crash(id);
        m_nodes.at(id).disk = DurableState();
        *m_nodes.at(id).disk.identity.mutable_identity() = toProto(Replica{id, ++m_incarnations});
        start(id);
    }

    void freeze(uint64_t id, bool frozen)
    {
        m_nodes.at(id).frozen = frozen && m_nodes.at(id).raft != nullptr;
    }

    // Drops all messages from one replica to another; the other direction is not affected.
    void dropLink(uint64_t from, uint64_t to)
    {
        m_droppedLinks.insert({from, to});
    }

    // Drops all messages between a replica and the others.
    void cutOff(uint64_t id)
    {
        for (const std::pair<const uint64_t, Node> &it : m_nodes) {
            if (it.first == id)
                continue;
            dropLink(id, it.first);
            dropLink(it.first, id);
        }
    }

    void heal()
    {
        m_droppedLinks.clear();
        loss = 0;
        tearNextWrite = false;
        for (std::pair<const uint64_t, Node> &it : m_nodes) {
            it.second.frozen = false;
            start(it.first);
        }
    }

    void snapshot(uint64_t id)
    {
        Node &node = m_nodes.at(id);
        if (!node.raft || node.appliedIndex <= node.raft->snapshotIndex())
            return;
        pb::Snapshot snapshot;
        snapshot.set_index(node.appliedIndex);
        snapshot.set_term(node.raft->entry(node.appliedIndex).term());
        *snapshot.mutable_membership() = node.raft->membershipAt(node.appliedIndex);
        node.raft->compact(snapshot);
        node.disk.snapshot = snapshot;
        std::erase_if(node.disk.entries, [&](const pb::Entry &it) { return it.index() <= snapshot.index(); });
    }

    Raft *leader()
    {
        for (std::pair<const uint64_t, Node> &it : m_nodes) {
            if (it.second.raft && !it.second.frozen && it.second.raft->holdsLease(m_now))
                return it.second.raft.get();
        }
        return nullptr;
    }

    // Returns whether the committed membership has every replica as a voter under its present incarnation.
    bool membershipRepaired()
    {
        Raft *raft = leader();
        if (raft == nullptr || !raft->membershipCommitted())
            return false;
        size_t n = 0;
        for (const pb::Member &it : raft->membership().members()) {
            const auto node = m_nodes.find(it.identity().id());
            n += it.voter() && node != m_nodes.end() && node->second.disk.identity.identity().incarnation() == it.identity().incarnation()
                ? 1
                : 0;
        }
        return n == m_nodes.size();
    }

    // Ends all faults and waits until all replicas have the same log; then checks that it has every committed entry.
    void healAndVerify()
    {
        heal();
        for (int i = 0; i < 40 && !(membershipRepaired() && converged()); ++i)
            run(Millis(500));
        invariant(leader() != nullptr, "the cluster has a leader after all faults have ended");
        invariant(membershipRepaired(), "every replica is a voter after all faults have ended");
        invariant(converged(), "all replicas have the same log after all faults have ended");
        for (const std::pair<const uint64_t, std::string> &it : m_committed) {
            invariant(it.first <= leader()->commitIndex(), "no committed entry is lost");
            if (it.first > leader()->snapshotIndex())
                invariant(leader()->entry(it.first).SerializeAsString() == it.second, "a committed entry does not change");
        }
    }

    Time now() const
    {
        return m_now;
    }
    size_t committed() const
    {
        return m_committed.size();
    }
    std::map<uint64_t, Node> &nodes()
    {
        return m_nodes;
    }
    int loss = 0; // percent of messages
    int duplicates = 0; // percent of messages
    int maxDelay = 30; // ms
    double bytesPerMs = 0; // of each link; 0: unlimited
    Millis callTimeout = Millis::max(); // of a call that carries entries or a heartbeat; a call that takes longer is lost
    size_t peakLinkBytes = 0; // most bytes that waited for one link at a time
    bool tearNextWrite = false; // the replica crashes in the next write, which is lost

private:
    void perform(uint64_t id, Actions &actions)
    {
        Node &node = m_nodes.at(id);
        if (tearNextWrite && (actions.needsSync() || actions.install)) {
            tearNextWrite = false;
            crash(id);
            return;
        }
        if (actions.install) {
            node.disk.snapshot = *actions.install;
            node.disk.entries.clear();
            for (uint64_t i = node.raft->firstIndex(); i <= node.raft->lastIndex(); ++i)
                node.disk.entries.push_back(node.raft->entry(i));
            actions.persist.clear_entries();
            node.disk.identity.set_cluster_id(7);
            node.appliedIndex = actions.install->index();
        }
        if (actions.persist.has_hard_state())
            node.disk.hardState = actions.persist.hard_state();
        const uint64_t from = actions.persist.truncate_from();
        if (from != 0)
            std::erase_if(node.disk.entries, [from](const pb::Entry &it) { return it.index() >= from; });
        node.disk.entries.insert(node.disk.entries.end(), actions.persist.entries().begin(), actions.persist.entries().end());
        for (const pb::RaftMessage &it : actions.messages)
            send(id, it);
        for (const pb::Entry &it : actions.committed)
            apply(node, it);
    }

    void apply(Node &node, const pb::Entry &entry)
    {
        invariant(entry.index() == node.appliedIndex + 1, "entries are applied in order");
        node.appliedIndex = entry.index();
        const std::string bytes = entry.SerializeAsString();
        const auto existing = m_committed.find(entry.index());
        invariant(existing == m_committed.end() || existing->second == bytes, "a committed entry never changes");
        m_committed[entry.index()] = bytes;
        m_committedAt.emplace(entry.index(), m_now);
    }

    void send(uint64_t from, const pb::RaftMessage &message)
    {
        if (m_droppedLinks.count({from, message.to().id()}) != 0 || int(m_random() % 100) < loss)
            return;
        const int copies = int(m_random() % 100) < duplicates ? 2 : 1;
        const std::optional<Millis> transmission = transmit(from, message);
        for (int i = 0; transmission && i < copies; ++i)
            m_network.push_back(Envelope{message, m_now + *transmission + Millis(m_random() % uint64_t(maxDelay + 1))});
    }

    // Returns how long the message takes on a link of limited bandwidth, behind the messages before it; nothing if its call times
    // out. The link is occupied either way. Snapshots have a time limit that no message reaches.
    std::optional<Millis> transmit(uint64_t from, const pb::RaftMessage &message)
    {
        if (bytesPerMs == 0)
            return Millis(0);
        Time &freeAt = m_linkFreeAt[{from, message.to().id()}];
        freeAt = std::max(freeAt, m_now) + Millis(int64_t(double(message.ByteSizeLong()) / bytesPerMs));
        const Millis taken = freeAt - m_now;
        peakLinkBytes = std::max(peakLinkBytes, size_t(double(taken.count()) * bytesPerMs));
        return message.kind() != pb::RaftMessage::INSTALL && taken > callTimeout ? std::nullopt : std::optional(taken);
    }

    void deliver(const pb::RaftMessage &message)
    {
        const auto it = m_nodes.find(message.to().id());
        if (it == m_nodes.end() || !it->second.raft)
            return;
        if (it->second.frozen) {
            m_network.push_back(Envelope{message, m_now + Millis(200)});
            return;
        }
        if (message.kind() == pb::RaftMessage::JOIN) {
            it->second.planner.requestJoin(message.member(), m_now);
            return;
        }
        if (message.kind() == pb::RaftMessage::VOTE_REPLY && message.granted())
            recordVote(message);
        Actions actions;
        it->second.raft->receive(message, m_now, actions);
        it->second.raft->flush(m_now, actions);
        perform(it->first, actions);
    }

    // Checks that a replica votes once per term.
    void recordVote(const pb::RaftMessage &message)
    {
        const std::pair<Replica, uint64_t> key{fromProto(message.from()), message.term()};
        const auto existing = m_votes.emplace(key, fromProto(message.to()));
        invariant(existing.first->second == fromProto(message.to()), "a replica votes once per term");
    }

    void sendJoinRequests(uint64_t id)
    {
        Node &node = m_nodes.at(id);
        if (!node.raft || node.frozen || !node.joinTimer.due(*node.raft, m_now))
            return;
        for (const std::pair<const uint64_t, Node> &it : m_nodes) {
            pb::RaftMessage message;
            message.set_kind(pb::RaftMessage::JOIN);
            message.mutable_to()->set_id(it.first);
            *message.mutable_member() = member(id, node.disk.identity.identity().incarnation());
            if (it.first != id)
                send(id, message);
        }
    }

    // A leader sends orders to endpoints at intervals. If it needs no wait before its first ones, no other sent the latest.
    void sendOrders(uint64_t id, Actions &actions)
    {
        Raft &raft = *m_nodes.at(id).raft;
        if (!raft.canRead(m_now) || (m_now.time_since_epoch() / Millis(10) + int64_t(id)) % 8 != 0)
            return;
        if (m_lastOrders && m_lastOrders->second != raft.term())
            invariant(!raft.sentLastOrders() || m_lastOrders->first == raft.self(), "no other leader sent the latest orders");
        m_lastOrders = {raft.self(), raft.term()};
        raft.recordOrders(actions);
    }

    void check()
    {
        size_t leases = 0;
        for (const std::pair<const uint64_t, Node> &it : m_nodes) {
            if (!it.second.raft)
                continue;
            const Raft &raft = *it.second.raft;
            leases += raft.holdsLease(m_now) ? 1 : 0;
            const auto next = m_committedAt.find(raft.commitIndex() + 1);
            invariant(next == m_committedAt.end() || raft.currentAt(m_now) <= next->second,
                      "a replica counts its state as current only as of a time before the first commit that it lacks");
            if (!raft.isLeader())
                continue;
            const auto existing = m_leaders.emplace(raft.term(), raft.self());
            invariant(existing.first->second == raft.self(), "one leader per term");
        }
        invariant(leases <= 1, "at most one replica holds the lease");
    }

    // Returns whether every replica has applied the whole log of the leader.
    bool converged()
    {
        Raft *raft = leader();
        return raft != nullptr && std::all_of(m_nodes.begin(), m_nodes.end(), [raft](const std::pair<const uint64_t, Node> &it) {
                   return it.second.appliedIndex == raft->lastIndex();
               });
    }

    std::mt19937_64 m_random;
    MembershipPolicy m_policy;
    Time m_now{Millis(100000)};
    std::map<uint64_t, Node> m_nodes;
    std::vector<Envelope> m_network;
    std::set<std::pair<uint64_t, uint64_t>> m_droppedLinks;
    std::map<std::pair<uint64_t, uint64_t>, Time> m_linkFreeAt;
    std::map<uint64_t, std::string> m_committed; // by index
    std::map<uint64_t, Time> m_committedAt; // by index: at the first replica
    std::map<uint64_t, Replica> m_leaders; // by term
    std::map<std::pair<Replica, uint64_t>, Replica> m_votes;
    std::optional<std::pair<Replica, uint64_t>> m_lastOrders; // who sent the latest, and its term
    uint64_t m_proposals = 0;
    uint64_t m_incarnations = 1000;
};

} // namespace roserail::test
