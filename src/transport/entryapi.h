// HTTP interface of an entry host: forwards callers' requests, lists router addresses, and reports readiness.
#pragma once

#include "protocol/hostsettings.h"
#include "state/configurationdelta.h"
#include "transport/forwarder.h"
#include "transport/mesh.h"
#include "transport/quotagate.h"

#include <array>

namespace roserail
{

class EntryApi
{
public:
    EntryApi(net::io_context &io, const EntrySettings &settings, const PlatformCodec &codec);
    // Errors are BadSettings.
    Result<void> listen();
    // Applies the settings that can change at run time: the seeds, the retry limits, the bounds of quotas and the log detail.
    void applySettings(const EntrySettings &settings);
    // Ends the service of this host: withdraws its address, serves until no caller can have an address list that contains it, and
    // closes all connections once their requests have ended. Must run on the thread of `io`.
    Task<> stop(Time signalledAt);
    // Returns the state of this process as JSON. Must be called on the thread of `io`.
    std::string dump();
    // What all servers of the process share.
    const std::shared_ptr<Ingress> &ingress() const
    {
        return m_ingress;
    }

private:
    std::array<HttpServer *, 4> servers();
    void logConnections(std::string_view event) const;
    Task<> answerReady(CallerConnection &caller);
    Task<> answerResolve(CallerConnection &caller);
    Task<bool> closeExpiredConnections();
    pb::SyncRequest buildSyncRequest();
    // `askedAt`: when the poll was sent.
    void applySync(const pb::SyncReply &reply, Time askedAt);
    void applyConfigurationOf(const pb::SyncReply &reply);
    void applyConfiguration(const pb::WholeConfiguration &configuration);
    void logRefusedParts();
    void addConfigurationPiece(const pb::ConfigurationPiece &piece);
    void applyConfigurationDelta(const pb::ConfigurationDelta &delta);
    bool ready() const;

    net::io_context &m_io;
    EntrySettings m_settings;
    const PlatformCodec &m_codec;
    Registry m_registry; // as received from control hosts
    pb::RecordSoftware m_software; // as the control hosts listed it last
    pb::SoftwareList m_softwareList = pb::SOFTWARE_LIST_NOT_KEPT;
    Balancer m_balancer;
    RetryLimits m_retries;
    CrashWatch m_crashes;
    CrashingParts m_crashingParts;
    std::set<PromptPartId> m_loggedRefusedParts;
    Forwarder m_forwarder;
    PeerRouters m_peers;
    std::shared_ptr<Ingress> m_ingress;
    HttpServer m_callerServer;
    HttpServer m_relayServer;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    uint64_t m_epoch = 0; // of the control process that assigned `m_version`
    uint64_t m_version = 0; // of the last sync
    pb::WholeConfiguration m_configuration; // base of differences; empty: the whole is requested
    ConfigurationReceiver m_configurationReceiver;
    bool m_synced = false; // at least one sync has succeeded
    bool m_draining = false;
    std::unique_ptr<QuotaGate> m_quotas;
    std::unique_ptr<MeshClient> m_meshClient;
};

} // namespace roserail
