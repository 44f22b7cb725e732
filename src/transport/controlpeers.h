// What a control host knows of the others: it says what it is itself, founds a new system if that falls to it, and keeps
// the lists of hosts to share live state with and to ask to be taken in.
#pragma once

#include "coordination/bootstrap.h"
#include "protocol/hostsettings.h"
#include "transport/http.h"
#include "transport/mesh.h"
#include "transport/replicanode.h"

namespace roserail
{

// Incarnation of the disks that found a system; a later life of a disk has a random one.
constexpr uint64_t BootstrapIncarnation = 1;

// Address of the control hosts' own protocol on this host.
std::string internalAddress(const KeeperSettings &settings);

// The same address is the same replica, also with a new disk.
uint64_t replicaId(const std::string &internalAddress);

class ControlPeers
{
public:
    // `node` is null on a host without a disk.
    ControlPeers(net::io_context &io, const KeeperSettings &settings, LiveTable &table, ReplicaNode *node);
    // Takes over what may change while the process runs: the seeds, the detail of the log.
    void applySettings(const KeeperSettings &settings);
    Task<> run();

private:
    void step(Time now);
    void announceState(Time now);
    void bootstrapIfDue();

    net::io_context &m_io;
    LiveTable &m_table;
    ReplicaNode *m_node;
    BootstrapView m_view;
    pb::KeeperState m_state;
    Time m_nextAnnounceAt{};
    MeshSharer m_sharer;
};

} // namespace roserail
