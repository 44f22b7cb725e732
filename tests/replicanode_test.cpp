// Tests of a control replica with a real data folder, and of the messages between replicas.
#define BOOST_TEST_MODULE replicanode
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/replicanode.h"

#include <boost/test/included/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <thread>
#include <unistd.h>

using namespace roserail;

namespace
{

// A folder that is removed with its contents.
struct Folder {
    std::filesystem::path path
        = std::filesystem::temp_directory_path() / fmt::format("roserail-replicanode-{}-{}", ::getpid(), uint64_t(wallMillis()));
    ~Folder()
    {
        std::filesystem::remove_all(path);
    }
};

// Opens the only replica of a cluster in the folder.
std::unique_ptr<ReplicaNode> openNode(const Folder &folder)
{
    Result<std::unique_ptr<Storage>> storage = Storage::open(folder.path, 1, 1);
    BOOST_REQUIRE(storage.has_value());
    pb::Member self;
    self.set_peer_address("127.0.0.1:1");
    return std::make_unique<ReplicaNode>(std::move(storage.value()), self, std::map<uint64_t, std::string>(),
                                         tunables::SnapshotEveryEntries, 1);
}

// Makes the replica the only member of a new cluster, and waits until it leads.
void bootstrap(ReplicaNode &node)
{
    pb::Membership membership;
    pb::Member &member = *membership.add_members();
    member.set_peer_address("127.0.0.1:1");
    member.set_voter(true);
    *member.mutable_identity() = toProto(Replica{1, 1});
    BOOST_REQUIRE(node.bootstrap(7, membership).has_value());
    const Time end = monotonicNow() + Millis(5000);
    while (!node.status().leads(monotonicNow()) && monotonicNow() < end)
        std::this_thread::sleep_for(Millis(10));
    BOOST_REQUIRE(node.status().leads(monotonicNow()));
}

// A replica whose calls with entries take long, as on a slow link, and others no time.
class SlowReplica final : public pb::Peer::Service
{
public:
    SlowReplica()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.SetMaxReceiveMessageSize(MaxGrpcMessageBytes);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        address = fmt::format("127.0.0.1:{}", port);
    }
    ~SlowReplica() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    grpc::Status Step(grpc::ServerContext *, const pb::RaftBatch *batch, pb::Ack *) override
    {
        for (const pb::RaftMessage &it : batch->messages()) {
            if (it.entries_size() > 0)
                std::this_thread::sleep_for(Millis(350)); // within the time limit of a call
            else
                ++heartbeats;
        }
        return grpc::Status::OK;
    }
    std::string address;
    std::atomic<int> heartbeats{0};

private:
    std::unique_ptr<grpc::Server> m_server;
};

// The leader of a replica, which keeps the replies that it gets.
class LeadingReplica final : public pb::Peer::Service
{
public:
    LeadingReplica()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        address = fmt::format("127.0.0.1:{}", port);
    }
    ~LeadingReplica() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    grpc::Status Step(grpc::ServerContext *, const pb::RaftBatch *batch, pb::Ack *) override
    {
        const std::lock_guard lock(m_mutex);
        m_replies.MergeFrom(*batch);
        return grpc::Status::OK;
    }
    // Sends an append with the entry `index` of term 5, which is committed, to the replica, and returns its reply; nothing if it does not
    // come.
    std::optional<pb::RaftMessage> append(ReplicaNode &node, uint64_t index, uint64_t answeredToken)
    {
        pb::RaftBatch batch;
        pb::RaftMessage &msg = *batch.add_messages();
        msg.set_kind(pb::RaftMessage::APPEND);
        msg.set_cluster_id(7);
        *msg.mutable_from() = toProto(Replica{2, 1});
        *msg.mutable_to() = toProto(Replica{1, 1});
        msg.set_term(5);
        msg.set_log_index(index - 1);
        msg.set_log_term(index == 2 ? 1 : 5);
        msg.set_commit(index);
        msg.set_sent_at_ms(index);
        msg.set_answered_token(answeredToken);
        pb::Entry &entry = *msg.add_entries();
        entry.set_index(index);
        entry.set_term(5);
        node.receive(std::move(batch));
        for (const Time end = monotonicNow() + Millis(3000); monotonicNow() < end; std::this_thread::sleep_for(Millis(2))) {
            const std::lock_guard lock(m_mutex);
            for (const pb::RaftMessage &it : m_replies.messages()) {
                if (it.kind() == pb::RaftMessage::APPEND_REPLY && it.granted() && it.log_index() == index)
                    return it;
            }
        }
        return std::nullopt;
    }
    std::string address;

private:
    std::mutex m_mutex;
    pb::RaftBatch m_replies;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace

// Guards against a log that is bounded in entries only: with large configurations it filled a disk of 64 MB, and memory.
BOOST_AUTO_TEST_CASE(logOfLargeConfigurationsIsShortened)
{
    constexpr size_t maxLogBytes = 16u << 20; // a quarter of the smallest disk
    const Folder folder;
    const std::unique_ptr<ReplicaNode> owned = openNode(folder);
    ReplicaNode &node = *owned;
    bootstrap(node);
    for (uint64_t version = 1; version <= 30; ++version) {
        pb::Command command;
        command.mutable_put_configuration()->mutable_configuration()->set_version(version);
        command.mutable_put_configuration()->mutable_configuration()->set_content(std::string(1u << 20, char('a' + version % 20)));
        const bool stored = node.execute(std::move(command), Millis(5000)).has_value();
        BOOST_REQUIRE(stored);
    }
    std::this_thread::sleep_for(Millis(200));
    BOOST_TEST(node.status().logBytes < maxLogBytes);
    BOOST_TEST(node.withMachine([](const StateMachine &machine) { return machine.configuration().version(); }) == 30u);
}

// Guards against a replica that has restarted and counts as up to date before it has applied its log: control hosts served routers
// a list of software versions without the one that had begun the callers' streams.
BOOST_AUTO_TEST_CASE(replicaIsCurrentOnceItHasAppliedWhatIsCommitted)
{
    constexpr uint64_t commands = 4000;
    const Folder folder;
    {
        const std::unique_ptr<ReplicaNode> node = openNode(folder);
        bootstrap(*node);
        std::atomic<uint64_t> stored = 0;
        for (uint64_t n = 1; n <= commands; ++n) {
            pb::Command command;
            command.mutable_put_configuration()->mutable_configuration()->set_version(n);
            node->propose(std::move(command), [&](const Result<pb::CommandResult> &result) { stored += result.has_value() ? 1 : 0; });
        }
        const Time end = monotonicNow() + Millis(10000);
        while (stored < commands && monotonicNow() < end)
            std::this_thread::sleep_for(Millis(10));
        BOOST_REQUIRE(stored == commands);
    }
    const Time restartedAt = monotonicNow();
    const std::unique_ptr<ReplicaNode> node = openNode(folder);
    const Time end = monotonicNow() + Millis(5000);
    while (node->status().currentAt < restartedAt && monotonicNow() < end)
        std::this_thread::yield();
    const uint64_t version = node->withMachine([](const StateMachine &machine) { return machine.configuration().version(); });
    BOOST_TEST((node->status().currentAt >= restartedAt));
    BOOST_TEST(version == commands);
}

// Guards against a control host that stood still and calls its list of software versions current because it reads a message that its leader
// sent before: only what the leader has answered counts, as of when it was asked.
BOOST_AUTO_TEST_CASE(followerIsCurrentAsOfItsLastAnsweredReply)
{
    const Folder folder;
    LeadingReplica leader;
    const std::unique_ptr<ReplicaNode> node = openNode(folder);
    pb::Membership membership;
    for (const uint64_t id : {1, 2}) {
        pb::Member &member = *membership.add_members();
        member.set_peer_address(id == 1 ? "127.0.0.1:1" : leader.address);
        member.set_voter(true);
        *member.mutable_identity() = toProto(Replica{id, 1});
    }
    BOOST_REQUIRE(node->bootstrap(7, membership).has_value());
    const Time startedAt = monotonicNow();
    const std::optional<pb::RaftMessage> first = leader.append(*node, 2, 0);
    BOOST_REQUIRE(first.has_value());
    const Time answeredAt = monotonicNow();
    BOOST_TEST((node->status().currentAt < startedAt));
    std::this_thread::sleep_for(Millis(100));
    const std::optional<pb::RaftMessage> second = leader.append(*node, 3, first->reply_token());
    BOOST_REQUIRE(second.has_value());
    std::this_thread::sleep_for(Millis(50)); // until it is applied
    BOOST_TEST((node->status().currentAt >= startedAt));
    BOOST_TEST((node->status().currentAt <= answeredAt));
    // A token of another process, as of this replica before a reboot.
    BOOST_REQUIRE(leader.append(*node, 4, second->reply_token() ^ 0x5a5a5a5a5a5a5a5au).has_value());
    std::this_thread::sleep_for(Millis(50));
    BOOST_TEST((node->status().currentAt <= answeredAt));
}

// Guards against heartbeats that wait behind large entries for the same replica, so that it takes its leader for lost.
BOOST_AUTO_TEST_CASE(heartbeatsDoNotWaitForLargeEntries)
{
    SlowReplica replica;
    Peers peers;
    const auto heartbeat = [&] {
        pb::RaftMessage message;
        message.set_kind(pb::RaftMessage::APPEND);
        peers.send(replica.address, std::move(message));
    };
    heartbeat();
    const Time connected = monotonicNow() + Millis(5000);
    while (replica.heartbeats == 0 && monotonicNow() < connected)
        std::this_thread::sleep_for(Millis(5));
    BOOST_REQUIRE(replica.heartbeats == 1);
    pb::RaftMessage entries;
    entries.set_kind(pb::RaftMessage::APPEND);
    entries.add_entries()->mutable_command()->mutable_put_configuration()->mutable_configuration()->set_content(std::string(1u << 20, 'x'));
    peers.send(replica.address, std::move(entries));
    std::this_thread::sleep_for(Millis(50));
    // The whole of a heartbeat interval, and as long again for the call itself.
    heartbeat();
    std::this_thread::sleep_for(2 * tunables::HeartbeatInterval);
    BOOST_TEST(replica.heartbeats == 2);
}
