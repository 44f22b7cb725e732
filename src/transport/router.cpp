#include "transport/router.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "transport/clock.h"
#include "transport/program.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis MinHeartbeatInterval{40}; // the interval while requests are queued, for example for a load

} // namespace

Router::Router(RouterSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(randomNumber())
    , m_control(m_settings.control)
    , m_configuration(std::make_shared<Configuration>())
{
    m_queueThread = std::thread([this] { runQueues(); });
    m_heartbeatThread = std::thread([this] { runHeartbeats(); });
}

Router::~Router()
{
    m_stop = true;
    wakeHeartbeat();
    m_queueThread.join();
    m_heartbeatThread.join();
}

Router::Shard &Router::shardOf(const std::string &pool)
{
    return m_shards[std::hash<std::string>()(pool) % QueueShards];
}

Dispatcher &Router::dispatcherOf(Shard &shard, const std::string &pool)
{
    const auto it = shard.dispatchers.find(pool);
    if (it != shard.dispatchers.end())
        return it->second;
    Dispatcher &dispatcher = shard.dispatchers.emplace(pool, Dispatcher(pool)).first->second;
    dispatcher.setLease(leaseUntil());
    const std::lock_guard lock(m_stateMutex);
    for (const std::pair<const EndpointId, pb::DirectoryEntry> &entry : m_directory) {
        if (entry.second.pool() == pool)
            dispatcher.setEndpoint(entry.second);
    }
    return dispatcher;
}

TicketId Router::nextTicket()
{
    return TicketId(m_nextTicket.fetch_add(1));
}

Result<Grant> Router::acquire(const std::string &pool, QueuedRequest request)
{
    Shard &shard = shardOf(pool);
    std::future<Result<Grant>> future;
    bool queued = false;
    {
        const std::lock_guard lock(shard.mutex);
        const Time now = monotonicNow();
        Dispatcher &dispatcher = dispatcherOf(shard, pool);
        const TicketId ticket = request.ticket;
        const Result<void> admitted = dispatcher.admit(std::move(request), now);
        if (admitted.has_error())
            return admitted.error();
        future = shard.waiters[ticket].get_future();
        applyDecisions(shard, dispatcher, now);
        queued = shard.waiters.count(ticket) != 0;
    }
    if (queued)
        wakeHeartbeat();
    return future.get();
}

void Router::applyDecisions(Shard &shard, Dispatcher &dispatcher, Time now)
{
    Decisions decisions = dispatcher.decide(now);
    for (Grant &it : decisions.grants) {
        const auto waiter = shard.waiters.find(it.ticket);
        waiter->second.set_value(std::move(it));
        shard.waiters.erase(waiter);
    }
    for (Refusal &it : decisions.refusals) {
        const auto waiter = shard.waiters.find(it.ticket);
        waiter->second.set_value(std::move(it.error));
        shard.waiters.erase(waiter);
    }
}

void Router::release(const std::string &pool, const Grant &grant, const QueuedRequest &request, AttemptEnd end, Millis duration)
{
    Shard &shard = shardOf(pool);
    const std::lock_guard lock(shard.mutex);
    Dispatcher &dispatcher = dispatcherOf(shard, pool);
    const Time now = monotonicNow();
    dispatcher.finish(grant, request, end, duration, now);
    applyDecisions(shard, dispatcher, now);
}

void Router::runQueues()
{
    while (!m_stop) {
        std::this_thread::sleep_for(QueueTick);
        for (Shard &shard : m_shards) {
            const std::lock_guard lock(shard.mutex);
            for (std::pair<const std::string, Dispatcher> &it : shard.dispatchers)
                applyDecisions(shard, it.second, monotonicNow());
        }
    }
}

void Router::queueReport(pb::EndpointReport report)
{
    {
        const std::lock_guard lock(m_reportsMutex);
        pb::EndpointReport &known = m_pendingReports[EndpointId(report.endpoint())];
        if (report.incarnation() < known.incarnation())
            return;
        known = std::move(report);
    }
    wakeHeartbeat();
}

Result<pb::CommandResult> Router::execute(const pb::Command &command, Time deadline)
{
    return m_control.execute(command, deadline);
}

void Router::wakeHeartbeat()
{
    {
        const std::lock_guard lock(m_wakeMutex);
        m_wakeRequested = true;
    }
    m_wake.notify_one();
}

void Router::runHeartbeats()
{
    while (!m_stop) {
        sendHeartbeat();
        // Limits the rate of heartbeats, however often the thread is woken.
        std::this_thread::sleep_for(MinHeartbeatInterval);
        bool waiting = false;
        for (Shard &shard : m_shards) {
            const std::lock_guard lock(shard.mutex);
            waiting |= !shard.waiters.empty();
        }
        std::unique_lock lock(m_wakeMutex);
        if (!waiting)
            m_wake.wait_for(lock, RouterHeartbeatInterval - MinHeartbeatInterval, [this] { return m_wakeRequested; });
        m_wakeRequested = false;
    }
}

pb::HeartbeatRequest Router::buildHeartbeat()
{
    pb::HeartbeatRequest request;
    request.set_router(m_settings.id);
    request.set_incarnation(m_incarnation);
    request.set_address(m_settings.address);
    request.set_zone(m_settings.zone);
    request.set_draining(m_draining);
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (std::pair<const std::string, Dispatcher> &it : shard.dispatchers) {
            for (pb::Demand &demand : it.second.takeDemands(monotonicNow()))
                *request.add_demands() = std::move(demand);
        }
    }
    {
        const std::lock_guard lock(m_reportsMutex);
        for (const std::pair<const EndpointId, pb::EndpointReport> &it : m_pendingReports)
            *request.add_reports() = it.second;
        m_pendingReports.clear();
    }
    const std::lock_guard lock(m_stateMutex);
    request.set_applied_revision(m_configuration->revision.value());
    request.set_directory_version(m_directoryVersion);
    request.set_routers_version(m_routersVersion);
    request.set_leader_term(m_leaderTerm);
    return request;
}

void Router::sendHeartbeat()
{
    static Counter &sent = metrics().counter("roserail_heartbeats_total");
    static Counter &bytesOut = metrics().counter("roserail_heartbeat_bytes_total{direction=\"out\"}");
    static Counter &bytesIn = metrics().counter("roserail_heartbeat_bytes_total{direction=\"in\"}");
    const pb::HeartbeatRequest request = buildHeartbeat();
    // The lease is counted from before the request is sent, so that it ends no later than the leader assumes.
    const Time sentAt = monotonicNow();
    const Result<pb::HeartbeatReply> reply = m_control.heartbeat(request);
    sent.add();
    bytesOut.add(request.ByteSizeLong());
    if (reply.has_error()) {
        const std::lock_guard lock(m_reportsMutex);
        for (const pb::EndpointReport &it : request.reports())
            m_pendingReports.emplace(EndpointId(it.endpoint()), it);
        return;
    }
    bytesIn.add(reply.value().ByteSizeLong());
    m_drainAnnounced = m_drainAnnounced || request.draining();
    applyReply(reply.value(), sentAt);
}

void Router::applyReply(const pb::HeartbeatReply &reply, Time sentAt)
{
    const Time lease = sentAt + Millis(reply.lease_ms());
    const Time now = monotonicNow();
    {
        const std::lock_guard lock(m_stateMutex);
        applyConfiguration(reply);
        // The lease is not extended while the configuration is older than the leader's.
        if (m_configuration->revision.value() < reply.revision())
            return;
    }
    m_leaseUntilMs = toMillis(lease);
    applyDirectory(reply, lease, now);
    // Acknowledges the revision at once: the leader waits until every router has applied it.
    if (reply.sections_size() > 0)
        wakeHeartbeat();
}

void Router::applyConfiguration(const pb::HeartbeatReply &reply)
{
    if (reply.revision() <= m_configuration->revision.value())
        return;
    for (const pb::Section &it : reply.sections()) {
        Result<SectionContent> content = parseSection(it.name(), it.text());
        if (content.has_error()) {
            logEvent("configuration_error", {{"error", content.error().message}});
            return;
        }
        m_sections[it.name()] = std::move(content.value());
    }
    const std::set<std::string> names(reply.section_names().begin(), reply.section_names().end());
    std::erase_if(m_sections, [&](const std::pair<const std::string, SectionContent> &it) { return names.count(it.first) == 0; });
    std::vector<SectionContent> contents;
    for (const std::pair<const std::string, SectionContent> &it : m_sections)
        contents.push_back(it.second);
    Result<Document> document = mergeSections(contents);
    if (document.has_error()) {
        logEvent("configuration_error", {{"error", document.error().message}});
        return;
    }
    m_configuration = std::make_shared<Configuration>(Configuration{Revision(reply.revision()), std::move(document.value())});
    logEvent("configuration", {{"revision", reply.revision()}});
}

void Router::applyDirectory(const pb::HeartbeatReply &reply, Time lease, Time now)
{
    std::map<EndpointId, pb::DirectoryEntry> changed;
    {
        const std::lock_guard lock(m_stateMutex);
        if (reply.directory_full()) {
            for (std::pair<const EndpointId, pb::DirectoryEntry> &it : m_directory)
                it.second.set_gone(true);
        }
        for (const pb::DirectoryEntry &it : reply.endpoints())
            m_directory[EndpointId(it.endpoint())] = it;
        if (reply.directory_full())
            changed = m_directory;
        for (const pb::DirectoryEntry &it : reply.endpoints())
            changed[EndpointId(it.endpoint())] = it;
        if (reply.routers_version() != m_routersVersion || reply.term() != m_leaderTerm)
            m_routers.assign(reply.routers().begin(), reply.routers().end());
        m_quarantined = std::unordered_set<uint64_t>(reply.quarantined().begin(), reply.quarantined().end());
        m_directoryVersion = reply.directory_version();
        m_routersVersion = reply.routers_version();
        m_leaderTerm = reply.term();
    }
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (std::pair<const std::string, Dispatcher> &it : shard.dispatchers) {
            Dispatcher &dispatcher = it.second;
            dispatcher.setLease(lease);
            for (const std::pair<const EndpointId, pb::DirectoryEntry> &entry : changed) {
                if (entry.second.pool() == it.first)
                    dispatcher.setEndpoint(entry.second);
            }
            for (const pb::LoadEstimate &estimate : reply.estimates())
                dispatcher.setEstimate(estimate, now);
            applyDecisions(shard, dispatcher, monotonicNow());
        }
    }
}

std::shared_ptr<const Configuration> Router::configuration() const
{
    const std::lock_guard lock(m_stateMutex);
    return m_configuration;
}

Time Router::leaseUntil() const
{
    return timeFromMillis(m_leaseUntilMs);
}

bool Router::hasLease(Time now) const
{
    return now < leaseUntil();
}

bool Router::quarantined(Fingerprint fingerprint) const
{
    const std::lock_guard lock(m_stateMutex);
    return m_quarantined.count(fingerprint.value()) != 0;
}

bool Router::routerAlive(const std::string &router) const
{
    const std::lock_guard lock(m_stateMutex);
    return std::any_of(m_routers.begin(), m_routers.end(), [&](const pb::RouterAddress &it) { return it.router() == router; });
}

std::vector<pb::RouterAddress> Router::addresses() const
{
    const std::lock_guard lock(m_stateMutex);
    return m_routers;
}

std::optional<std::string> Router::addressOf(const EndpointId &endpoint, uint64_t incarnation) const
{
    const std::lock_guard lock(m_stateMutex);
    const auto it = m_directory.find(endpoint);
    if (it == m_directory.end() || it->second.gone() || it->second.incarnation() != incarnation)
        return std::nullopt;
    return it->second.address();
}

ExchangeStep Router::nextExchangeStep(const ExchangeState &state, AttemptEnd end)
{
    const std::lock_guard lock(m_budgetMutex);
    ExchangeState bounded = state;
    bounded.deadline = requestsEnd(state.deadline);
    return roserail::nextExchangeStep(bounded, end, monotonicNow(), m_budget);
}

void Router::requestStarted()
{
    ++m_active;
    const std::lock_guard lock(m_budgetMutex);
    m_budget.requestStarted();
}

void Router::requestEnded()
{
    --m_active;
}

size_t Router::activeRequests() const
{
    return m_active;
}

void Router::refuseRequests()
{
    m_refusing = true;
}

Result<void> Router::admits(Time deadline) const
{
    if (!m_refusing && deadline <= timeFromMillis(m_requestsEndMs))
        return boost::outcome_v2::success();
    return Error{ErrorKind::NotRun, "this router stops; not run, use another address", MinRetryAfter.count()};
}

void Router::endRequests()
{
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (std::pair<const std::string, Dispatcher> &it : shard.dispatchers)
            applyDecisions(shard, it.second, Time::max());
    }
    m_connections.close();
}

void Router::drain(Time requestsEnd)
{
    m_requestsEndMs = toMillis(requestsEnd);
    m_draining = true;
    wakeHeartbeat();
}

bool Router::drainAnnounced() const
{
    return m_drainAnnounced || !hasLease(monotonicNow());
}

std::string Router::dump() const
{
    const Time now = monotonicNow();
    std::string out = fmt::format("router: {}\nactive: {}\ndraining: {}\nleaseMs: {}\n", m_settings.id, activeRequests(), m_draining.load(),
                                  (leaseUntil() - now).count());
    const std::lock_guard lock(m_stateMutex);
    out += fmt::format("revision: {}\nleaderTerm: {}\ndirectoryVersion: {}\nendpoints:\n", m_configuration->revision.value(), m_leaderTerm,
                       m_directoryVersion);
    for (const std::pair<const EndpointId, pb::DirectoryEntry> &it : m_directory) {
        std::string artifacts;
        for (const pb::ArtifactReport &artifact : it.second.artifacts())
            artifacts += fmt::format("{}\"{}\"", artifacts.empty() ? "" : ", ", artifact.artifact());
        out += fmt::format("  - {{id: {}, incarnation: {}, address: \"{}\", pool: {}, gone: {}, artifacts: [{}]}}\n", it.first.value(),
                           it.second.incarnation(), it.second.address(), it.second.pool(), it.second.gone(), artifacts);
    }
    return out;
}

} // namespace roserail
