#include "transport/entryapi.h"

#include "coordination/addresslist.h"
#include "protocol/log.h"
#include "protocol/statedump.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/program.h"
#include "transport/tasks.h"

#include <future>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxAddresses = 64; // in one answer
constexpr Millis ExpiryCheckInterval{1000};

// Returns the time between polls that limits their number at each control host.
Millis minSyncInterval(size_t routers, size_t controlHosts)
{
    const double pollsPerSecond = MaxPollsPerControlHost * double(std::max<size_t>(1, controlHosts));
    return std::max(SyncIntervalWhileWaiting, Millis(int64_t(double(routers) / pollsPerSecond * 1000)));
}

std::string formatModels(const pb::Holdings &holdings)
{
    std::string names;
    for (const pb::HeldModel &it : holdings.models()) {
        names += (names.empty() ? "" : ",") + it.model();
        for (const std::string &adapter : it.adapters())
            names += "/" + adapter;
    }
    return names;
}

} // namespace

EntryApi::EntryApi(net::io_context &io, const EntrySettings &settings, const PlatformCodec &codec)
    : m_io(io)
    , m_settings(settings)
    , m_codec(codec)
    , m_registry(HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, monotonicNow())
    , m_balancer(settings.host.zone, settings.host.id)
    , m_retries(settings.retryRatio, settings.retryWindow, settings.firstStart ? std::nullopt : std::optional(monotonicNow()))
    , m_forwarder(io, codec, m_balancer, m_retries, m_crashes, m_crashingParts)
    , m_peers(settings.host.id, settings.host.zone)
    , m_ingress(std::make_shared<Ingress>(settings.host.limits))
    , m_callerServer(
          io, [this](CallerConnection &caller) { return m_forwarder.handle(caller); }, m_ingress, CallersDescriptorShare)
    , m_relayServer(
          io, [this](CallerConnection &caller) { return m_forwarder.handleRelayed(caller); }, m_ingress, RelayDescriptorShare)
    , m_readinessServer(
          io, [this](CallerConnection &caller) { return answerReady(caller); }, m_ingress, MonitoringDescriptorShare)
    , m_directoryServer(
          io, [this](CallerConnection &caller) { return answerResolve(caller); }, m_ingress, DirectoryDescriptorShare)
    , m_incarnation(wallMillis())
{
    m_forwarder.pool().setIngress(m_ingress);
    m_forwarder.setKeysValidFor(settings.keysValidFor);
    m_forwarder.onWait([this] {
        m_meshClient->setWaiting(true);
        m_meshClient->wake();
    });
    m_forwarder.onReport([this] { m_meshClient->wake(); });
}

Result<void> EntryApi::listen()
{
    BOOST_OUTCOME_TRY(m_callerServer.listen(m_settings.listen));
    if (!m_settings.relay.empty()) {
        BOOST_OUTCOME_TRY(m_relayServer.listen(m_settings.relay));
        m_forwarder.setPeers(&m_peers, m_settings.host.id);
    }
    BOOST_OUTCOME_TRY(m_readinessServer.listen(m_settings.ready));
    BOOST_OUTCOME_TRY(m_directoryServer.listen(m_settings.directory));
    // The thread of MeshClient gets each request from this thread, and passes each reply to it.
    const MeshClient::BuildRequest buildRequest = [this] {
        std::promise<pb::SyncRequest> promise;
        std::future<pb::SyncRequest> request = promise.get_future();
        net::post(m_io, [this, &promise] { promise.set_value(buildSyncRequest()); });
        return request.get();
    };
    const MeshClient::HandleReply handleReply = [this](const pb::SyncReply &reply, Time askedAt) {
        net::post(m_io, [this, reply, askedAt] { applySync(reply, askedAt); });
    };
    m_quotas = std::make_unique<QuotaGate>(m_io, m_settings.host.quota, m_settings.host.id, internalSeeds(m_settings.host));
    m_forwarder.setQuotas(m_quotas.get());
    m_meshClient = std::make_unique<MeshClient>(internalSeeds(m_settings.host), buildRequest, handleReply);
    const auto iteration = [this] {
        return closeExpiredConnections();
    };
    spawn(m_io, "close_expired", repeat(m_io, "close_expired", iteration));
    return boost::outcome_v2::success();
}

void EntryApi::applySettings(const EntrySettings &settings)
{
    m_settings.host.seeds = settings.host.seeds;
    m_settings.retryRatio = settings.retryRatio;
    m_settings.retrySlack = settings.retrySlack;
    m_retries.setRatio(settings.retryRatio);
    m_settings.keysValidFor = settings.keysValidFor;
    m_forwarder.setKeysValidFor(settings.keysValidFor);
    m_meshClient->setSeeds(internalSeeds(settings.host));
    m_quotas->setSeeds(internalSeeds(settings.host));
    m_quotas->stock().setBounds(settings.host.quota);
    setLogDetail(settings.host.log);
    logEvent("settings",
             {{"seeds", fmt::format("{}", fmt::join(settings.host.seeds, ","))},
              {"retry_ratio", settings.retryRatio},
              {"retry_slack", settings.retrySlack},
              {"quota_window_ms", settings.host.quota.window.count()},
              {"quota_overshoot", settings.host.quota.overshoot},
              {"quota_slack", settings.host.quota.slack},
              {"keys_valid_ms", settings.keysValidFor ? settings.keysValidFor->count() : -1}});
}

std::array<HttpServer *, 4> EntryApi::servers()
{
    return {&m_callerServer, &m_relayServer, &m_readinessServer, &m_directoryServer};
}

Task<> EntryApi::stop(Time signalledAt)
{
    const StopSchedule schedule = stopSchedule(signalledAt, m_settings.host.grace);
    const std::array<HttpServer *, 4> all = servers();
    const auto connected = [&all] {
        return std::any_of(all.begin(), all.end(), [](const HttpServer *it) { return it->connections() > 0; });
    };
    logConnections("stop_begins");
    m_draining = true;
    for (HttpServer *it : all)
        it->drain();
    m_forwarder.drain(schedule);
    m_meshClient->wake();
    ErrorCode ec;
    net::steady_timer timer(m_io, schedule.finishAt - monotonicNow());
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    logConnections("stop_listening");
    for (HttpServer *it : all)
        it->finish();
    bool answered = false;
    do {
        if (!answered && monotonicNow() >= schedule.answersBy) {
            answered = true;
            m_forwarder.endRequests();
            for (HttpServer *it : all)
                it->stopReading();
        }
        timer.expires_after(StopPollInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    } while (connected() && monotonicNow() < schedule.exitAt);
    logConnections("stop_ends");
    m_forwarder.logCutRequests();
}

void EntryApi::logConnections(std::string_view event) const
{
    const auto count = [this](ConnectionStage stage) {
        return m_callerServer.connections(stage) + m_relayServer.connections(stage);
    };
    logEvent(event,
             {{"active", m_forwarder.active()},
              {"idle", count(ConnectionStage::Idle)},
              {"reading", count(ConnectionStage::Reading)},
              {"answering", count(ConnectionStage::Answering)},
              {"closing", count(ConnectionStage::Closing)}});
}

std::string EntryApi::dump()
{
    const Time now = monotonicNow();
    const RetryLimits::Usage retries = m_retries.totalUsage(now);
    const nlohmann::json process{{"configuration", m_forwarder.table() ? m_forwarder.table()->version : 0},
                                 {"ready", ready()},
                                 {"draining", m_draining},
                                 {"active", m_forwarder.active()},
                                 {"isolated", m_balancer.isolated()},
                                 {"retries", retries.used},
                                 {"retries_allowed", retries.allowed},
                                 {"crash_reports", m_crashes.reports(now).size()},
                                 {"refused_prompt_parts", m_crashingParts.refused().size()},
                                 {"quotas", m_quotas->dump()},
                                 {"known", m_version}};
    return stateDump(process, m_registry, now);
}

bool EntryApi::ready() const
{
    return !m_draining && m_synced && m_forwarder.table() != nullptr;
}

Task<> EntryApi::answerReady(CallerConnection &caller)
{
    if (caller.call(m_codec).kind != CallKind::Ready)
        co_await caller.answer(404);
    else
        co_await caller.answer(ready() ? 200 : 503);
}

Task<> EntryApi::answerResolve(CallerConnection &caller)
{
    const Call call = caller.call(m_codec);
    if (call.kind != CallKind::Resolve) {
        co_await caller.answer(404);
        co_return;
    }
    std::vector<ListedRouter> routers;
    for (const std::pair<const std::string, LiveRouter> &it : m_registry.routers()) {
        const pb::RouterState &state = it.second.state;
        if (it.first != m_settings.host.id && state.accepting())
            routers.push_back({it.first, state.address(), state.zone() == call.zone});
    }
    if (ready())
        routers.push_back({m_settings.host.id, m_settings.listen, m_settings.host.zone == call.zone});
    const std::vector<std::string> chosen = addressList(m_settings.host.id, std::move(routers), MaxAddresses);
    if (chosen.empty()) {
        co_await caller.answer(503);
        co_return;
    }
    std::vector<HeaderField> headers{{"Content-Type", "application/json"}};
    co_await caller.answer(200, std::move(headers), m_codec.encodeAddresses(chosen, ResolveTtl));
}

Task<bool> EntryApi::closeExpiredConnections()
{
    net::steady_timer timer(m_io, ExpiryCheckInterval);
    ErrorCode ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    m_forwarder.pool().closeExpired(monotonicNow());
    co_return true;
}

pb::SyncRequest EntryApi::buildSyncRequest()
{
    pb::SyncRequest request;
    pb::RouterState &state = *request.mutable_router();
    state.set_router(m_settings.host.id);
    state.set_incarnation(m_incarnation);
    state.set_sequence(++m_sequence);
    state.set_address(m_settings.listen);
    state.set_zone(m_settings.host.zone);
    state.set_accepting(ready());
    state.set_relay_address(m_settings.relay);
    state.set_isolated(m_balancer.isolated());
    state.set_has_quotas(!m_quotas->stock().held().empty());
    for (pb::ArtifactDemand &it : m_balancer.demands(monotonicNow()))
        *state.add_demands() = std::move(it);
    for (pb::CrashReport &it : m_crashes.reports(monotonicNow()))
        *state.add_crashes() = std::move(it);
    m_crashingParts.addReports(state, monotonicNow());
    m_balancer.advice().addReports(state, monotonicNow());
    m_balancer.addUse(state, monotonicNow());
    m_forwarder.accountLoad().addUse(state);
    m_forwarder.addStreams(request, monotonicNow());
    request.set_epoch(m_epoch);
    request.set_version(m_version);
    request.set_configuration(m_configuration.version());
    request.set_software(softwareChecksum(m_software));
    *request.mutable_progress() = m_configurationReceiver.progress();
    m_meshClient->setWaiting(m_balancer.hasWaitingRequests() || m_forwarder.waitsForVersions() || !m_forwarder.table()
                             || m_configurationReceiver.receiving());
    return request;
}

// Ages and remaining times count from when the poll was sent: this process may have stood still before it read the reply.
void EntryApi::applySync(const pb::SyncReply &reply, Time askedAt)
{
    const Time now = monotonicNow();
    if (reply.has_software() || reply.software_list() != m_softwareList) {
        m_software = reply.has_software() ? reply.software() : m_software;
        m_softwareList = reply.software_list();
        m_balancer.setRecordedSoftware(m_software, m_softwareList != pb::SOFTWARE_LIST_NOT_KEPT);
        m_forwarder.wakeWaitingRequests();
    }
    applyConfigurationOf(reply);
    const bool newest = m_forwarder.table() && m_forwarder.table()->version >= reply.newer_configuration();
    if (newest && !m_configurationReceiver.receiving())
        m_forwarder.confirmConfiguration(askedAt - Millis(reply.state_age_ms()));
    m_forwarder.recordFoundStreams(reply, now);
    m_quotas->setHosts(reply.leader(), {reply.control().begin(), reply.control().end()});
    if (reply.busy())
        return;
    if (reply.has_use())
        m_balancer.applyUse(reply.use(), askedAt);
    if (reply.has_account_use())
        m_forwarder.accountLoad().applyUse(reply.account_use(), askedAt);
    m_epoch = reply.epoch();
    m_version = reply.version();
    const uint64_t previousVersion = m_registry.version();
    m_forwarder.software().record(m_software, now);
    if (m_softwareList != pb::SOFTWARE_LIST_INCOMPLETE)
        m_forwarder.confirmSoftware(askedAt, Millis(reply.has_software_age_ms() ? reply.software_age_ms() : reply.state_age_ms()));
    // Versions are remembered as of each change of the endpoints: those that are about to leave, and those that come.
    const bool endpointsChange = reply.full() || reply.endpoints_size() > 0;
    if (endpointsChange)
        m_forwarder.software().record(m_registry, now);
    for (const pb::Announcement &it : reply.endpoints()) {
        if (m_registry.merge(it, askedAt - Millis(it.age_ms())))
            logEvent("endpoint",
                     {{"endpoint", it.endpoint()},
                      {"service", it.service()},
                      {"address", it.address()},
                      {"born_ms", it.born_ms()},
                      {"software", it.software()},
                      {"state", stateName(it)},
                      {"age_ms", it.age_ms()},
                      {"requests_per_s", it.capacity().has_requests_per_second() ? it.capacity().requests_per_second() : -1},
                      {"capacity_age_ms", it.capacity().age_ms()},
                      {"known", reply.version()}});
    }
    for (const pb::Holdings &it : reply.holdings()) {
        if (m_registry.merge(it, askedAt))
            logEvent("holdings",
                     {{"endpoint", it.endpoint()}, {"models", formatModels(it)}, {"term", it.term()}, {"known", reply.version()}});
    }
    for (const pb::RouterState &it : reply.routers())
        m_registry.merge(it, askedAt - Millis(it.age_ms()));
    if (reply.full())
        m_registry.markUnlistedLost(reply, now);
    // Routers that have stopped may have spent retries within the window, and are listed for longer than that.
    m_retries.setShare(m_settings.retrySlack, std::max<size_t>(1, m_registry.routers().size()));
    m_quotas->stock().setRouters(std::max<size_t>(1, m_registry.routers().size()), askedAt);
    m_meshClient->setMinInterval(minSyncInterval(m_registry.routers().size(), size_t(reply.control_size())));
    m_synced = true;
    if (endpointsChange)
        m_forwarder.software().record(m_registry, now);
    m_forwarder.recordSync(reply.version(), now, askedAt - Millis(reply.state_age_ms()));
    m_forwarder.setOrdersAllowedAt(askedAt + Millis(reply.orders_in_ms()));
    logRefusedParts();
    if (m_registry.version() == previousVersion)
        return;
    m_balancer.update(m_registry);
    m_peers.update(m_registry);
    m_crashes.update(m_registry, m_settings.host.id);
    m_crashingParts.update(m_registry, m_settings.host.id, now);
    m_forwarder.wakeWaitingRequests();
}

void EntryApi::applyConfigurationOf(const pb::SyncReply &reply)
{
    if (reply.has_configuration())
        applyConfiguration(reply.configuration());
    if (reply.has_configuration_delta())
        applyConfigurationDelta(reply.configuration_delta());
    if (reply.has_configuration_piece())
        addConfigurationPiece(reply.configuration_piece());
}

void EntryApi::logRefusedParts()
{
    const auto log = [this](std::string_view event, PromptPartId part) {
        logEvent(event, {{"part", fmt::format("{:x}", part.value())}, {"crashes", m_crashingParts.crashCount(part)}});
    };
    for (const PromptPartId it : m_crashingParts.refused()) {
        if (m_loggedRefusedParts.count(it) == 0)
            log("prompt_part_refused", it);
    }
    for (const PromptPartId it : m_loggedRefusedParts) {
        if (m_crashingParts.refused().count(it) == 0)
            log("prompt_part_accepted", it);
    }
    m_loggedRefusedParts = m_crashingParts.refused();
}

void EntryApi::addConfigurationPiece(const pb::ConfigurationPiece &piece)
{
    const std::optional<pb::ConfigurationUpdate> update = m_configurationReceiver.add(piece);
    if (update && update->has_whole())
        applyConfiguration(update->whole());
    else if (update)
        applyConfigurationDelta(update->delta());
    else
        m_meshClient->wake(); // requests the next piece at once
    if (!update && !m_configurationReceiver.receiving())
        logEvent("configuration_update_damaged", {{"base", piece.base()}, {"version", piece.version()}, {"bytes", piece.size()}});
}

void EntryApi::applyConfigurationDelta(const pb::ConfigurationDelta &delta)
{
    const std::optional<pb::WholeConfiguration> configuration = applyDelta(m_configuration, delta);
    if (configuration)
        return applyConfiguration(*configuration);
    // A reply to an earlier poll has the same base. Otherwise the next poll requests the whole configuration.
    if (delta.version() <= m_configuration.version())
        return;
    logEvent("configuration_delta_refused", {{"base", delta.base()}, {"version", delta.version()}, {"known", m_configuration.version()}});
    m_configuration.Clear();
}

// Applies only a higher version: a running router never returns to an earlier configuration, whichever control host it
// syncs with.
void EntryApi::applyConfiguration(const pb::WholeConfiguration &configuration)
{
    if (configuration.version() > m_configuration.version())
        m_configuration = configuration;
    if (m_forwarder.table() && configuration.version() <= m_forwarder.table()->version)
        return;
    Result<RouteTable> table = m_codec.decodeConfiguration(configuration.content());
    if (table.has_error()) {
        logEvent("configuration_error", {{"version", configuration.version()}, {"error", table.error().message}});
        return;
    }
    logEvent("configuration", {{"version", configuration.version()}, {"routes", table.value().routes.size()}});
    m_callerServer.setLimits(table.value().limits);
    m_relayServer.setLimits(table.value().limits);
    m_quotas->stock().setAccounts(table.value().accounts.value_or(Accounts()));
    m_forwarder.setTable(std::make_shared<const RouteTable>(std::move(table.value())));
}

} // namespace roserail
