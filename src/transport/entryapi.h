// HTTP interface of an entry host: forwards callers' requests, lists router addresses, and reports readiness.
#pragma once

#include "protocol/hostsettings.h"
#include "state/configurationdelta.h"
#include "transport/forwarder.h"
#include "transport/mesh.h"

namespace roserail
{

class EntryApi
{
public:
    EntryApi(net::io_context &io, const EntrySettings &settings, const PlatformCodec &codec);
    // Errors are BadSettings.
    Result<void> listen();
    // Applies the settings that can change at run time: the seeds, the retry limits and the log detail.
    void applySettings(const EntrySettings &settings);
    // Stops listing this host's address; requests that still arrive are served.
    void drain();
    // Logs the connections of callers and other routers by stage, and what is in progress. Must be called on the thread of `io`.
    void logConnections(std::string_view event) const;
    // Logs the requests that end with the process. Must be called on the thread of `io`.
    void logCutRequests() const
    {
        m_forwarder.logCutRequests();
    }
    // Returns the state of this process as JSON. Must be called on the thread of `io`.
    std::string dump();
    size_t active() const
    {
        return m_forwarder.active();
    }

private:
    Task<> answerReady(CallerConnection &caller);
    Task<> answerResolve(CallerConnection &caller);
    Task<> closeExpiredConnections();
    pb::SyncRequest buildSyncRequest();
    void applySync(const pb::SyncReply &reply);
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
    std::unique_ptr<MeshClient> m_meshClient;
};

} // namespace roserail
