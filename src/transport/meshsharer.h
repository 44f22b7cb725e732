// Sends this control host's changes of the live state to other control hosts.
#pragma once

#include "coordination/sharing.h"
#include "mesh.grpc.pb.h"
#include "transport/channel.h"
#include "transport/livetable.h"

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <thread>

namespace roserail
{

// Runs one thread for each peer.
class MeshSharer
{
public:
    MeshSharer(LiveTable &table, std::string self, bool disk);
    ~MeshSharer();
    MeshSharer(const MeshSharer &) = delete;
    MeshSharer &operator=(const MeshSharer &) = delete;
    // Sets the peers and the part of the live state that each receives.
    void setPeers(const std::map<std::string, ShareRole> &roles);
    // Returns the peers that did not answer the last message.
    std::set<std::string> unreachable() const;

private:
    struct Peer {
        Peer(const std::string &address, ShareRole peerRole)
            : channel(address)
            , role(peerRole)
        {
        }
        Channel channel;
        std::atomic<ShareRole> role;
        std::atomic<bool> reachable{true};
        std::atomic<bool> stop{false};
        std::atomic<bool> finished{false};
        std::thread thread;
    };
    // What a peer has received, as far as this host knows.
    struct Progress {
        uint64_t version = 0; // of the registry, up to which the peer has the changes; 0: it needs everything
        uint64_t ownVersion = 0; // of this host's own state when it was last sent
        uint64_t epoch = 0; // of the peer's process; 0: unknown
        uint64_t configuration = UINT64_MAX; // not sent before the peer's first reply
        Time configurationLagsSince{}; // when the peer's version was found to be older
        std::optional<pb::ConfigurationProgress> transfer; // what the peer has received of an update; none: it accepts no pieces
        bool transferring() const
        {
            return transfer && transfer->received() > 0;
        }
        ShareRole role = ShareRole::None;
        Time nextUseAt{}; // when the peer may be sent the requests on endpoints again
        Time nextAccountUseAt{}; // the same for the requests by client account
        std::set<std::string> forwarded; // hosts whose changes this host forwards to the peer
        uint64_t restarts = 0; // value of m_restarts
    };

    void run(Peer &peer);
    void waitForWork(const Peer &peer, const Progress &progress) const;
    void updateProgress(const Peer &peer, Progress &progress) const;
    pb::ShareRequest buildRequest(const Peer &peer, Progress &progress, Time now, uint64_t &version) const;
    bool leads() const;
    void addConfigurationIfLagging(Progress &progress, Time now, pb::ShareRequest &request) const;
    void send(Peer &peer, Progress &progress, const pb::ShareRequest &request, uint64_t version);
    void handleReply(const pb::ShareReply &reply, Time askedAt, Progress &progress, uint64_t version);

    LiveTable &m_table;
    std::string m_self;
    bool m_disk;
    mutable std::mutex m_mutex; // protects m_peers and m_stopping
    std::map<std::string, std::unique_ptr<Peer>> m_peers;
    std::list<std::unique_ptr<Peer>> m_stopping; // whose threads have been told to stop
    std::atomic<uint64_t> m_restarts{0}; // of peers, which may have ended before they had sent their last changes to all
};

} // namespace roserail
