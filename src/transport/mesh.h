// Spreads live state: between control hosts by pushes, and from them to routers, which ask several times a second.
#pragma once

#include "mesh.grpc.pb.h"
#include "transport/channel.h"
#include "transport/livetable.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <thread>

namespace roserail
{

// Answers routers and takes pushes of other control hosts.
class MeshService : public pb::Mesh::Service
{
public:
    // Without a disk, routers are only told of other control hosts.
    MeshService(LiveTable &table, std::vector<std::string> seeds, bool disk, uint64_t epoch);
    grpc::Status Sync(grpc::ServerContext *context, const pb::SyncRequest *request, pb::SyncReply *reply) override;
    grpc::Status Share(grpc::ServerContext *context, const pb::ShareRequest *request, pb::ShareReply *reply) override;

private:
    LiveTable &m_table;
    std::vector<std::string> m_seeds; // internal addresses
    bool m_disk;
    uint64_t m_epoch; // of this process
};

// Pushes changes to the other control hosts, each from a thread of its own.
class MeshSharer
{
public:
    MeshSharer(LiveTable &table, std::string self);
    ~MeshSharer();
    MeshSharer(const MeshSharer &) = delete;
    MeshSharer &operator=(const MeshSharer &) = delete;
    // Shares with exactly these hosts from now on.
    void setPeers(const std::vector<std::string> &addresses);

private:
    struct Peer {
        explicit Peer(const std::string &address)
            : channel(address)
        {
        }
        Channel channel;
        std::atomic<bool> stop{false};
        std::thread thread;
    };
    enum class PeerKind {
        Unknown,
        PassesOn, // has no disk: it needs no live state
        Keeps, // answers routers
        Orders, // decides what engines hold
    };
    PeerKind kindOf(const std::string &address) const;
    void run(Peer &peer);
    void takeKeepers(const pb::ShareReply &reply);
    void stop(Peer &peer);

    LiveTable &m_table;
    std::string m_self;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
};

// A router's session with the control hosts: the thread that asks them, one at a time.
class MeshClient
{
public:
    // `build` makes a request; `take` gets each reply. Both run on the session's thread.
    using Build = std::function<pb::SyncRequest()>;
    using Take = std::function<void(const pb::SyncReply &)>;
    MeshClient(std::vector<std::string> seeds, Build build, Take take);
    ~MeshClient();
    MeshClient(const MeshClient &) = delete;
    MeshClient &operator=(const MeshClient &) = delete;
    // The hosts to begin with from now on.
    void setSeeds(std::vector<std::string> seeds);
    // Asks soon, and often while `waiting` is set.
    void wake();
    void setWaiting(bool waiting)
    {
        m_waiting = waiting;
    }

private:
    void run();
    bool syncOnce();
    std::string nextAddress();
    void returnToNearest();

    std::vector<std::string> m_seeds;
    Build m_build;
    Take m_take;
    std::vector<std::string> m_control; // heard of
    size_t m_spread; // so that routers begin with different seeds
    size_t m_turn = 0;
    Time m_nearestAt{};
    std::unique_ptr<Channel> m_channel;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_waiting{false};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_woken = false;
    std::thread m_thread;
};

} // namespace roserail
