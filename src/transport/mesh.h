// Propagates live state: control hosts push changes to each other, and routers poll them several times a second.
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

// Answers the polls of routers and merges the changes pushed by other control hosts.
class MeshService : public pb::Mesh::Service
{
public:
    // Without a disk, Sync only refers routers to other control hosts.
    MeshService(LiveTable &table, std::vector<std::string> seeds, bool disk, uint64_t epoch);
    grpc::Status Sync(grpc::ServerContext *context, const pb::SyncRequest *request, pb::SyncReply *reply) override;
    grpc::Status Share(grpc::ServerContext *context, const pb::ShareRequest *request, pb::ShareReply *reply) override;

private:
    LiveTable &m_table;
    std::vector<std::string> m_seeds; // internal addresses
    bool m_disk;
    uint64_t m_epoch; // identifies this process
};

// Pushes changes to the other control hosts, with one thread for each.
class MeshSharer
{
public:
    MeshSharer(LiveTable &table, std::string self);
    ~MeshSharer();
    MeshSharer(const MeshSharer &) = delete;
    MeshSharer &operator=(const MeshSharer &) = delete;
    // Replaces the set of hosts that changes are pushed to.
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
        Unknown, // no state of it has been received
        Diskless, // needs no live state
        Follower, // answers routers
        Leader, // also sends orders to engines
    };
    PeerKind kindOf(const std::string &address) const;
    void run(Peer &peer);
    void mergeKeepers(const pb::ShareReply &reply);
    void stop(Peer &peer);

    LiveTable &m_table;
    std::string m_self;
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
};

// A router's session with the control hosts: a thread that polls one of them at a time.
class MeshClient
{
public:
    // `buildRequest` returns the request of a poll, `handleReply` receives the reply. Both run on the session's thread.
    using BuildRequest = std::function<pb::SyncRequest()>;
    using HandleReply = std::function<void(const pb::SyncReply &)>;
    MeshClient(std::vector<std::string> seeds, BuildRequest buildRequest, HandleReply handleReply);
    ~MeshClient();
    MeshClient(const MeshClient &) = delete;
    MeshClient &operator=(const MeshClient &) = delete;
    // Replaces the hosts to connect to while no others are known.
    void setSeeds(std::vector<std::string> seeds);
    // Starts the next poll as soon as SyncIntervalWhileWaiting has passed since the last one.
    void wake();
    // While set, polls at SyncIntervalWhileWaiting instead of SyncInterval.
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
    std::vector<std::string> m_controlHosts; // as listed by the last reply, nearest first
    size_t m_seedOffset; // random, so that routers start with different seeds
    size_t m_attempt = 0; // addresses chosen since the nearest host was last due
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
