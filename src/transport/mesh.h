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
        Diskless, // has no disk: it needs no live state
        Follower, // answers routers
        Leader, // decides what engines hold
    };
    PeerKind kindOf(const std::string &address) const;
    void run(Peer &peer);
    void mergeKeepers(const pb::ShareReply &reply);
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
    using BuildRequest = std::function<pb::SyncRequest()>;
    using HandleReply = std::function<void(const pb::SyncReply &)>;
    MeshClient(std::vector<std::string> seeds, BuildRequest buildRequest, HandleReply handleReply);
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
    void retryNearestHost();

    std::vector<std::string> m_seeds;
    BuildRequest m_buildRequest;
    HandleReply m_handleReply;
    std::vector<std::string> m_controlHosts; // heard of
    size_t m_seedOffset; // so that routers begin with different seeds
    size_t m_attempt = 0;
    Time m_nearestRetryAt{};
    std::unique_ptr<Channel> m_channel;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_waiting{false};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_woken = false;
    std::thread m_thread;
};

} // namespace roserail
