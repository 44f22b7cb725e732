// Tests of Raft on a simulated cluster: faults never lose a committed entry, give two replicas a lease at once or let a
// replica vote after it has lost its disk.
#define BOOST_TEST_MODULE raft
#include "raftcluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

// One step of a randomised run.
struct Step {
    int kind = 0;
    uint64_t a = 1;
    uint64_t b = 1;
};

void showValue(const Step &step, std::ostream &os)
{
    os << "{" << step.kind << "," << step.a << "," << step.b << "}";
}

rc::Gen<Step> anyStep(uint64_t replicas)
{
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 24)),
                                rc::gen::set(&Step::a, rc::gen::inRange<uint64_t>(1, replicas + 1)),
                                rc::gen::set(&Step::b, rc::gen::inRange<uint64_t>(1, replicas + 1)));
}

void perform(Cluster &cluster, const Step &step)
{
    switch (step.kind) {
    case 0:
        return cluster.crash(step.a);
    case 1:
    case 2:
        return cluster.start(step.a);
    case 3:
        return cluster.freeze(step.a, true);
    case 4:
    case 5:
        return cluster.freeze(step.a, false);
    case 6:
        return cluster.dropLink(step.a, step.b);
    case 7:
        cluster.loss = int(step.b * 10);
        return;
    case 8:
        return cluster.heal();
    case 9:
        // A second disk may be lost only after the first one is repaired: Raft tolerates the loss of a minority only.
        if (cluster.membershipRepaired())
            cluster.wipe(step.a);
        return;
    case 10:
        return cluster.snapshot(step.a);
    case 11:
        cluster.tearNextWrite = true;
        return;
    case 12:
        cluster.duplicates = int(step.b * 10);
        cluster.maxDelay = int(step.a * 40);
        return;
    case 13:
    case 14:
    case 15:
    case 16:
        cluster.propose();
        return cluster.advance(Millis(20));
    default:
        return cluster.run(Millis(int64_t(step.a * 100)));
    }
}

void randomRun(uint64_t replicas)
{
    const bool passed = rc::check("Raft under loss, delay, duplicates, crashes, torn writes, wipes, freezes, broken links", [replicas] {
        const std::vector<Step> steps = *rc::gen::container<std::vector<Step>>(anyStep(replicas));
        Cluster cluster(replicas, *rc::gen::inRange<uint64_t>(1, 1000000));
        cluster.run(Millis(2000));
        for (const Step &it : steps) {
            perform(cluster, it);
            cluster.advance(Millis(10));
        }
        cluster.propose();
        cluster.healAndVerify();
    });
    BOOST_TEST(passed);
}

} // namespace

BOOST_DATA_TEST_CASE(randomisedRuns, bdata::make({3u, 5u}), replicas)
{
    randomRun(replicas);
}

// After a restart of all, the leader that sent the latest orders is mostly elected again, and needs no wait for the end of another's order
// lease. `advance` checks that no leader omits that wait after another has sent orders.
BOOST_AUTO_TEST_CASE(leaderLeadsAgainAfterARestartOfAll)
{
    constexpr uint64_t seeds = 50;
    uint64_t ledAgain = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cluster cluster(5, seed);
        cluster.run(Millis(2000));
        const uint64_t old = cluster.leader()->self().id;
        BOOST_TEST(!cluster.leader()->sentLastOrders());
        for (uint64_t id = 1; id <= 5; ++id)
            cluster.crash(id);
        for (uint64_t id = 1; id <= 5; ++id) {
            cluster.start(1 + (old + id + seed) % 5);
            cluster.run(Millis(100));
        }
        cluster.run(Millis(2000));
        BOOST_REQUIRE(cluster.leader() != nullptr);
        BOOST_TEST(cluster.leader()->sentLastOrders() == (cluster.leader()->self().id == old));
        ledAgain += cluster.leader()->self().id == old ? 1 : 0;
    }
    BOOST_TEST(ledAgain > seeds / 2);
}

// A leader that takes over from another waits, also if it sent orders before that one.
BOOST_AUTO_TEST_CASE(leaderAfterAnotherOneDidNotSendTheLatestOrders)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(3, seed);
        cluster.run(Millis(2000));
        const uint64_t first = cluster.leader()->self().id;
        cluster.freeze(first, true);
        cluster.run(Millis(2000));
        const uint64_t second = cluster.leader()->self().id;
        BOOST_TEST(!cluster.leader()->sentLastOrders());
        cluster.freeze(first, false);
        cluster.crash(second);
        cluster.run(Millis(2000));
        BOOST_REQUIRE(cluster.leader() != nullptr);
        BOOST_TEST(!cluster.leader()->sentLastOrders());
    }
}

BOOST_AUTO_TEST_CASE(secondHostLostRightAfterRepair)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(3, seed);
        cluster.run(Millis(2000));
        for (int i = 0; i < 300; ++i) {
            cluster.propose();
            cluster.advance(Millis(10));
        }
        cluster.run(Millis(300));
        const size_t committed = cluster.committed();
        BOOST_TEST(committed >= 300u);
        for (const uint64_t id : {1, 2, 3}) {
            cluster.wipe(id);
            for (int i = 0; i < 200 && !cluster.membershipRepaired(); ++i)
                cluster.run(Millis(100));
            BOOST_REQUIRE(cluster.membershipRepaired());
        }
        cluster.healAndVerify();
        BOOST_TEST(cluster.leader()->commitIndex() >= committed);
    }
}

BOOST_AUTO_TEST_CASE(emptyLearnerReceivesTheLogAfterLeaderChange)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(5, seed);
        cluster.run(Millis(2000));
        const uint64_t first = cluster.leader()->self().id;
        const uint64_t wiped = first % 5 + 1;
        cluster.crash(wiped);
        cluster.run(Millis(2500));
        cluster.wipe(wiped);
        // Stops the replica as soon as it is a learner: its log is still empty when its leader crashes.
        while (cluster.leader()->membership().members_size() == 5)
            cluster.advance(Millis(10));
        cluster.crash(wiped);
        cluster.run(Millis(100));
        cluster.crash(first);
        cluster.run(Millis(3000));
        cluster.healAndVerify();
    }
}

BOOST_AUTO_TEST_CASE(wipedMajorityDoesNotBootstrap)
{
    Cluster cluster(3, 5);
    cluster.run(Millis(2000));
    cluster.crash(1);
    cluster.wipe(2);
    cluster.wipe(3);
    cluster.run(Millis(20000));
    BOOST_TEST(cluster.leader() == nullptr);
    for (const uint64_t id : {2, 3})
        BOOST_TEST(cluster.nodes().at(id).disk.identity.cluster_id() == 0u);
}

BOOST_AUTO_TEST_CASE(wipedReplicaDoesNotVoteUnderItsOldIncarnation)
{
    // The leader and one follower hold an entry that the third replica lacks. After the follower has lost its disk, its
    // vote must not make the third replica the leader.
    Cluster cluster(3, 9);
    cluster.run(Millis(2000));
    const uint64_t leader = cluster.leader()->self().id;
    const uint64_t wiped = leader % 3 + 1;
    const uint64_t behind = wiped % 3 + 1;
    cluster.dropLink(leader, behind);
    cluster.dropLink(wiped, behind);
    cluster.propose();
    cluster.run(Millis(200));
    const size_t committed = cluster.committed();
    cluster.crash(leader);
    cluster.wipe(wiped);
    cluster.run(Millis(10000));
    BOOST_TEST(cluster.leader() == nullptr);
    cluster.healAndVerify();
    BOOST_TEST(cluster.leader()->commitIndex() >= committed);
}

BOOST_AUTO_TEST_CASE(isolatedLeaderLosesItsLeaseBeforeAnotherLeads)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Cluster cluster(3, seed);
        cluster.run(Millis(2000));
        const uint64_t old = cluster.leader()->self().id;
        for (const uint64_t id : {1, 2, 3}) {
            cluster.dropLink(old, id);
            cluster.dropLink(id, old);
        }
        // `advance` checks that at most one replica holds the lease at any time.
        cluster.run(Millis(4000));
        BOOST_REQUIRE(cluster.leader() != nullptr);
        BOOST_TEST(cluster.leader()->self().id != old);
    }
}

BOOST_AUTO_TEST_CASE(frozenLeaderHoldsNoLeaseAfterResuming)
{
    Cluster cluster(3, 3);
    cluster.run(Millis(2000));
    const uint64_t old = cluster.leader()->self().id;
    cluster.freeze(old, true);
    cluster.run(Millis(4000));
    cluster.freeze(old, false);
    BOOST_TEST(!cluster.nodes().at(old).raft->holdsLease(cluster.now()));
    cluster.healAndVerify();
}

BOOST_AUTO_TEST_CASE(leadershipTransferNeverGivesTwoLeases)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Cluster cluster(3, seed);
        cluster.run(Millis(2000));
        Raft *raft = cluster.leader();
        const uint64_t old = raft->self().id;
        Actions actions;
        BOOST_REQUIRE(raft->transferLeadership(cluster.now(), actions));
        BOOST_TEST(!raft->holdsLease(cluster.now()));
        BOOST_REQUIRE(actions.messages.size() == 1u);
        Raft &target = *cluster.nodes().at(actions.messages[0].to().id()).raft;
        Actions campaign;
        target.receive(actions.messages[0], cluster.now(), campaign);
        BOOST_TEST(campaign.messages.size() == 2u);
        cluster.run(Millis(3000));
        BOOST_REQUIRE(cluster.leader() != nullptr);
        BOOST_TEST(old != 0u);
    }
}

BOOST_AUTO_TEST_CASE(lateSnapshotDropsNoAcknowledgedEntry)
{
    Cluster cluster(3, 6);
    cluster.run(Millis(2000));
    Raft *leader = cluster.leader();
    const Replica follower{leader->self().id % 3 + 1, (leader->self().id % 3 + 1) * 100};
    Raft &raft = *cluster.nodes().at(follower.id).raft;
    // The follower holds entries that it does not know to be committed when an older snapshot arrives.
    pb::RaftMessage append;
    append.set_kind(pb::RaftMessage::APPEND);
    append.set_cluster_id(7);
    *append.mutable_from() = toProto(leader->self());
    *append.mutable_to() = toProto(follower);
    append.set_term(leader->term());
    append.set_log_index(leader->lastIndex());
    append.set_log_term(leader->term());
    for (uint64_t i = 1; i <= 2; ++i) {
        pb::Entry &entry = *append.add_entries();
        entry.set_index(leader->lastIndex() + i);
        entry.set_term(leader->term());
    }
    Actions actions;
    raft.receive(append, cluster.now(), actions);
    pb::RaftMessage install = append;
    install.set_kind(pb::RaftMessage::INSTALL);
    install.clear_entries();
    install.mutable_snapshot()->set_index(leader->lastIndex() + 1);
    install.mutable_snapshot()->set_term(leader->term());
    *install.mutable_snapshot()->mutable_membership() = leader->membership();
    raft.receive(install, cluster.now(), actions);
    BOOST_TEST(raft.lastIndex() == leader->lastIndex() + 2);
}

// Guards against a host that takes its state for the newest because a new leader, which has committed nothing yet in its term,
// names an old commit index: the earlier leader may have committed entries that this replica lacks.
BOOST_AUTO_TEST_CASE(newLeaderConfirmsTheStateOnlyOnceItHasCommitted)
{
    Cluster cluster(3, 8);
    const Replica self{3, 300};
    Raft follower(self, cluster.nodes().at(3).disk, 1, cluster.now());
    const auto receiveAppend = [&](uint64_t entryTerm, uint64_t commit, Time at) {
        pb::RaftMessage msg;
        msg.set_kind(pb::RaftMessage::APPEND);
        msg.set_cluster_id(7);
        *msg.mutable_from() = toProto(Replica{1, 100});
        *msg.mutable_to() = toProto(self);
        msg.set_term(2);
        msg.set_log_index(follower.lastIndex());
        msg.set_log_term(follower.lastIndex() == 1 ? 1 : 2);
        msg.set_commit(commit);
        if (entryTerm != 0) {
            pb::Entry &entry = *msg.add_entries();
            entry.set_index(follower.lastIndex() + 1);
            entry.set_term(entryTerm);
        }
        Actions actions;
        follower.receive(msg, at, actions);
    };
    const Time start = cluster.now();
    receiveAppend(2, 1, start + Millis(10));
    BOOST_TEST((follower.currentAt(start + Millis(10)) < start));
    receiveAppend(0, 2, start + Millis(20));
    BOOST_TEST((follower.currentAt(start + Millis(20)) == start + Millis(20)));
    // It lacks the entry that the leader names as committed.
    receiveAppend(0, 3, start + Millis(30));
    BOOST_TEST((follower.currentAt(start + Millis(30)) == start + Millis(20)));
}

struct DelayedAppend {
    std::string name;
    bool frozen = false; // the follower; else it and the old leader are cut off from a majority that elects another
    Millis delay{0}; // before the entry is committed that the append lacks
};

std::ostream &operator<<(std::ostream &out, const DelayedAppend &it)
{
    return out << it.name;
}

const std::vector<DelayedAppend> DelayedAppends{
    {"read after standing still for a moment", true, Millis(0)},
    {"read after standing still for a second", true, Millis(1000)},
    {"of a leader that others have replaced", false, Millis(3000)},
};

// Guards against a replica that takes its state for current as of when it read a message of the leader: after it stood still, or if others
// have replaced the leader, entries were committed between, and routers got a list of software versions that lacked one.
BOOST_DATA_TEST_CASE(followerIsNotCurrentAsOfTheReadingOfAMessage, bdata::make(DelayedAppends), append)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(5, seed);
        cluster.run(Millis(2000));
        BOOST_REQUIRE(cluster.leader() != nullptr);
        const uint64_t leader = cluster.leader()->self().id;
        const uint64_t follower = leader % 5 + 1;
        if (append.frozen) {
            cluster.freeze(follower, true);
        } else {
            for (const uint64_t id : {1, 2, 3, 4, 5}) {
                if (id == leader || id == follower)
                    continue;
                for (const uint64_t minority : {leader, follower}) {
                    cluster.dropLink(id, minority);
                    cluster.dropLink(minority, id);
                }
            }
        }
        const Raft &raft = *cluster.nodes().at(follower).raft;
        for (const Time end = cluster.now() + append.delay; cluster.now() < end;)
            cluster.advance(Millis(10));
        const size_t before = cluster.committed();
        for (int i = 0; i < 20 && cluster.committed() == before; ++i) {
            cluster.propose();
            cluster.run(Millis(100));
        }
        BOOST_TEST(cluster.committed() > before);
        if (append.frozen)
            cluster.freeze(follower, false);
        cluster.run(Millis(1000)); // with the checks of Cluster
        BOOST_TEST((raft.currentAt(cluster.now()) > cluster.now() - Millis(300)) == append.frozen);
    }
}

// Guards against control hosts that refer all routers to one, because their state counts as older than it is.
BOOST_AUTO_TEST_CASE(followersOfACalmClusterAreCurrent)
{
    Cluster cluster(3, 4);
    cluster.run(Millis(2000));
    for (int i = 0; i < 100; ++i) {
        cluster.run(Millis(50));
        for (const std::pair<const uint64_t, Node> &it : cluster.nodes())
            BOOST_TEST((it.second.raft->currentAt(cluster.now()) >= cluster.now() - Millis(300)));
    }
}

// Guards against a leader that sends the entries that a follower lacks again with each heartbeat: on a link of 100 Mbit/s a
// follower that lacked several large configurations got none of them, and the leader's memory grew until its process was ended.
BOOST_DATA_TEST_CASE(followerThatLacksLargeEntriesCatchesUpOnASlowLink, bdata::make({3u, 5u}), replicas)
{
    constexpr double bytesPerMs = 12500; // 100 Mbit/s
    constexpr size_t entryBytes = 500000;
    constexpr size_t entries = 24; // 12 MB, which the link takes in 1 s
    Cluster cluster(replicas, 11);
    cluster.run(Millis(2000));
    const uint64_t behind = cluster.leader()->self().id % replicas + 1;
    cluster.cutOff(behind);
    for (size_t i = 0; i < entries; ++i) {
        cluster.propose(std::string(entryBytes, 'x'));
        cluster.run(Millis(50));
    }
    cluster.run(Millis(500));
    cluster.bytesPerMs = bytesPerMs;
    cluster.callTimeout = Millis(400);
    cluster.heal();
    const uint64_t term = cluster.leader()->term();
    cluster.run(Millis(4000));
    BOOST_REQUIRE(cluster.leader() != nullptr);
    BOOST_TEST(cluster.leader()->term() <= term + 1); // the returning replica may cause one election
    BOOST_TEST(cluster.nodes().at(behind).appliedIndex == cluster.leader()->lastIndex());
    BOOST_TEST(cluster.peakLinkBytes < 4 * entryBytes);
}

// Guards against a leader whose messages to a replica that does not answer grow without bound.
BOOST_AUTO_TEST_CASE(replicaThatDoesNotAnswerIsSentFewBytes)
{
    constexpr size_t entryBytes = 500000;
    Cluster cluster(3, 12);
    cluster.run(Millis(2000));
    const uint64_t silent = cluster.leader()->self().id % 3 + 1;
    cluster.freeze(silent, true);
    cluster.bytesPerMs = 1e9; // counts only
    Raft &raft = *cluster.leader();
    size_t bytes = 0;
    const Time end = cluster.now() + Millis(3000);
    for (Time now = cluster.now(); now < end; now += Millis(20)) {
        Actions actions;
        pb::Command command;
        command.mutable_put_configuration()->mutable_configuration()->set_content(std::string(entryBytes, 'x'));
        if (toMillis(now) % 500 == 0)
            raft.propose(command, actions);
        raft.tick(now, actions);
        raft.flush(now, actions);
        for (const pb::RaftMessage &it : actions.messages)
            bytes += it.to().id() == silent ? it.ByteSizeLong() : 0;
        // The other follower answers at once, so that the leader stays the leader.
        for (const pb::RaftMessage &it : actions.messages) {
            if (it.kind() != pb::RaftMessage::APPEND || it.to().id() == silent)
                continue;
            pb::RaftMessage reply;
            reply.set_kind(pb::RaftMessage::APPEND_REPLY);
            reply.set_cluster_id(7);
            *reply.mutable_from() = it.to();
            *reply.mutable_to() = it.from();
            reply.set_term(raft.term());
            reply.set_sent_at_ms(it.sent_at_ms());
            reply.set_granted(true);
            reply.set_log_index(it.entries_size() == 0 ? it.log_index() : it.entries(it.entries_size() - 1).index());
            Actions ignored;
            raft.receive(reply, now, ignored);
        }
    }
    BOOST_TEST(raft.isLeader());
    BOOST_TEST(bytes < 2 * entryBytes);
}

BOOST_AUTO_TEST_CASE(twoVotersAreNeverChangedAtOnce)
{
    Cluster cluster(3, 4);
    cluster.run(Millis(2000));
    Raft *raft = cluster.leader();
    pb::Membership membership = raft->membership();
    membership.mutable_members()->RemoveLast();
    membership.mutable_members()->RemoveLast();
    Actions actions;
    BOOST_TEST(!raft->proposeMembership(membership, actions));
}
