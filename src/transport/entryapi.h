// What an entry host answers: callers' requests, where to connect, and whether it is ready.
#pragma once

#include "protocol/hostsettings.h"
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
    // Takes over what may change while the process runs: seeds and limits of retries.
    void applySettings(const EntrySettings &settings);
    // Leaves the list of addresses; requests are still served.
    void drain();
    // What this process believes, as JSON. Call it on the thread of `io`.
    std::string dump();
    size_t active() const
    {
        return m_forwarder.active();
    }

private:
    Task<> answerReady(CallerConnection &caller);
    Task<> answerResolve(CallerConnection &caller);
    Task<> trimConnections();
    pb::SyncRequest buildSyncRequest();
    void applySync(const pb::SyncReply &reply);
    void applyConfiguration(const pb::WholeConfiguration &configuration);
    bool ready() const;

    net::io_context &m_io;
    EntrySettings m_settings;
    const PlatformCodec &m_codec;
    Registry m_registry; // as the control hosts tell it
    Balancer m_balancer;
    RetryWindow m_retries;
    CrashWatch m_crashes;
    Forwarder m_forwarder;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    uint64_t m_epoch = 0; // of the control process whose version is `m_version`
    uint64_t m_version = 0;
    bool m_synced = false; // what is live has been heard at least once
    bool m_draining = false;
    std::unique_ptr<MeshClient> m_meshClient;
};

} // namespace roserail
