// Relations of a control host to the others: announces this host's state, bootstraps a new cluster if this host is one of
// its first members, and maintains the lists of hosts to share live state with and to send join requests to.
#pragma once

#include "coordination/bootstrap.h"
#include "coordination/softwareseen.h"
#include "protocol/hostsettings.h"
#include "state/tunables.h"
#include "transport/http.h"
#include "transport/meshsharer.h"
#include "transport/replicanode.h"

namespace roserail
{

// Incarnation of the disks of a cluster's first members; a disk that is added or replaced later has a random one.
constexpr uint64_t BootstrapIncarnation = 1;

// Returns this host's address for the internal protocol of the control hosts.
std::string internalAddress(const KeeperSettings &settings);

// Derives a replica's id from its address, so that the id stays the same when the disk is replaced.
uint64_t replicaId(const std::string &internalAddress);

class ControlPeers
{
public:
    // `node` is null on a host without a disk.
    ControlPeers(net::io_context &io, const KeeperSettings &settings, LiveTable &table, ReplicaNode *node);
    // Applies the settings that may change while the process runs: the seeds and the log detail.
    void applySettings(const KeeperSettings &settings);
    Task<> run();

private:
    Task<bool> updateAndWait();
    void updatePeers(Time now);
    void announceState(const std::set<std::string> &unreachable, Time now);
    void logIsolation(const ReplicaStatus &status, Time now);
    void bootstrapIfDue();
    void recordSoftware(const ReplicaStatus &status, const pb::RecordSoftware &recorded, Time now);
    void recordStreams(const ReplicaStatus &status, Time now);

    net::io_context &m_io;
    LiveTable &m_table;
    ReplicaNode *m_node;
    BootstrapView m_bootstrapView;
    pb::KeeperState m_state;
    Time m_nextAnnounceAt{};
    bool m_isolated = false; // as logged last
    SoftwareSeen m_software{tunables::StreamVersionRetention};
    uint64_t m_softwareTerm = 0; // in which the list of the log was taken over
    uint64_t m_proposedSoftware = 0; // checksum of the list proposed last
    Time m_softwareRetryAt{};
    // Whether a proposal of streams has no result yet. Shared with its callback, which may run after this object has gone.
    std::shared_ptr<std::atomic<bool>> m_recordingStreams = std::make_shared<std::atomic<bool>>(false);
    MeshSharer m_sharer;
};

} // namespace roserail
