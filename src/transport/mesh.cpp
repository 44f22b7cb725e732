#include "transport/mesh.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/recordedstreams.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/program.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis ReplyCountInterval{1000}; // of the log line with the counts of replies to routers
constexpr Millis MaxLoggedInterval = std::chrono::hours(1);
constexpr Millis SearchLogInterval{1000}; // of a router that has no control host

std::string_view toString(PollOutcome outcome)
{
    static constexpr std::array<std::string_view, PollOutcomes> names{"served", "busy", "referred", "not_connected", "no_reply"};
    return names[size_t(outcome)];
}

// Returns a number by which a router orders control hosts that are equally near.
size_t spread(const std::string &router, const std::string &host)
{
    const std::string both = router + " " + host;
    return XXH3_64bits(both.data(), both.size());
}

} // namespace

MeshService::MeshService(LiveTable &table, std::string self, std::vector<std::string> seeds, bool disk, uint64_t epoch)
    : m_table(table)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_disk(disk)
    , m_epoch(epoch)
{
}

grpc::Status MeshService::Sync(grpc::ServerContext *, const pb::SyncRequest *request, pb::SyncReply *reply)
{
    const Time now = monotonicNow();
    if (request->router().router().empty())
        return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "'router' is empty; set 'id' in the router's settings");
    const Time sentAt = now - ageOf(request->router().router(), request->router().incarnation(), request->sent_at_ms(), now);
    // A router without a configuration takes an old one rather than none.
    const bool current = m_disk && !(m_table.isolated(now) && request->configuration() > 0);
    const bool wholeList = request->epoch() != m_epoch;
    const bool available = maySend(MaxReplyBacklog, now);
    const bool serves = current && (!wholeList || available);
    bool postponed = current && !serves;
    if (m_disk)
        m_table.expire(now);
    m_table.change([&](Registry &registry) {
        if (m_disk)
            registry.merge(request->router(), sentAt);
        if (serves)
            registry.routerChangesSince(wholeList ? 0 : request->version(), now, *reply);
        if (m_disk)
            shareUse(registry, request->router(), sentAt, now, *reply);
        if (m_disk)
            shareAccountUse(registry, request->router(), sentAt, now, *reply);
        if (registry.ordersAllowedAt() > now)
            reply->set_orders_in_ms(uint64_t((registry.ordersAllowedAt() - now).count()));
        addControlHosts(registry, request->router(), current, now, *reply);
    });
    if (serves && !available && reply->ByteSizeLong() > MaxUnlimitedReplyBytes) {
        postponeChanges(*request, *reply);
        postponed = true;
    }
    reply->set_epoch(serves ? m_epoch : 0);
    reply->set_busy(current && !serves);
    reply->set_state_age_ms(uint64_t(m_table.stateAge(now).count()));
    postponed |= !addConfiguration(*request, now, *reply);
    m_table.addSoftwareUnless(request->software(), now, *reply);
    addFoundStreams(*request, *reply);
    if (request->router().has_quotas() && m_quotas != nullptr)
        reply->set_leader(m_quotas->leaderAddress());
    recordReply(*reply, serves && wholeList, postponed, now);
    return grpc::Status::OK;
}

// Returns how long a message has been on its way, and logs it if the sender has surely given up waiting for the reply.
Millis MeshService::ageOf(const std::string &sender, uint64_t incarnation, uint64_t sentAtMs, Time now)
{
    Millis age;
    {
        const std::lock_guard lock(m_mutex);
        age = m_ages.age(sender, incarnation, sentAtMs, now);
    }
    if (age > SyncTimeout)
        logEvent("message_late", {{"from", sender}, {"age_ms", age.count()}});
    return age;
}

// Records the requests that a router has on endpoints, and adds those of the others.
void MeshService::shareUse(Registry &registry, const pb::RouterState &router, Time sentAt, Time now, pb::SyncReply &reply)
{
    if (!router.has_use())
        return;
    registry.use().setRouter(router.router(), router.use(), sentAt);
    std::optional<pb::EndpointUse> use = registry.use().ofOthers(router.router(), now);
    if (use)
        *reply.mutable_use() = std::move(*use);
}

// The same for requests by client account.
void MeshService::shareAccountUse(Registry &registry, const pb::RouterState &router, Time sentAt, Time now, pb::SyncReply &reply)
{
    if (!router.has_account_use())
        return;
    registry.accounts().setRouter(router.router(), router.account_use(), sentAt);
    std::optional<pb::AccountUse> use = registry.accounts().ofOthers(router.router(), now);
    if (use)
        *reply.mutable_account_use() = std::move(*use);
}

// Adds the control hosts that serve routers: those of the router's own availability zone first; otherwise routers use different ones.
void MeshService::addControlHosts(const Registry &registry, const pb::RouterState &router, bool current, Time now,
                                  pb::SyncReply &reply) const
{
    std::set<std::tuple<bool, size_t, std::string>> control;
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        if (it.second.state.disk() && (current || it.first != m_self) && now < it.second.lastSeenAt + KeeperStateMaxAge)
            control.emplace(it.second.state.zone() != router.zone(), spread(router.router(), it.first), it.first);
    }
    for (const std::tuple<bool, size_t, std::string> &it : control)
        reply.add_control(std::get<std::string>(it));
    if (control.empty())
        reply.mutable_control()->Add(m_seeds.begin(), m_seeds.end());
}

// Adds the next part of the configuration if the router's is older. Returns false if that must wait.
bool MeshService::addConfiguration(const pb::SyncRequest &request, Time now, pb::SyncReply &reply)
{
    if (request.configuration() >= m_table.configurationVersion())
        return true;
    reply.set_newer_configuration(m_table.configurationVersion());
    if (!maySend(MaxConfigurationBacklog, now))
        return false;
    m_table.addConfigurationSince(request.configuration(), request.has_progress() ? &request.progress() : nullptr, reply);
    return true;
}

// Adds the versions of the streams that a router wants to know, from the log, or as routers have reported them since.
void MeshService::addFoundStreams(const pb::SyncRequest &request, pb::SyncReply &reply) const
{
    std::map<StreamId, SoftwareVersion> reported;
    if (request.wanted_streams_size() > 0)
        reported = m_table.read([](const Registry &registry) { return registry.begunStreams(); });
    for (const uint64_t it : request.wanted_streams()) {
        const StreamId stream(it);
        const auto known = reported.find(stream);
        std::optional<SoftwareVersion> version = m_findStream ? m_findStream(stream) : std::nullopt;
        if (!version && known != reported.end())
            version = known->second;
        if (version)
            addStream(*reply.mutable_found_streams(), *version, stream);
    }
}

// Removes the changes of the live state from a reply. The router gets them, together with later ones, with another poll.
void MeshService::postponeChanges(const pb::SyncRequest &request, pb::SyncReply &reply)
{
    reply.clear_endpoints();
    reply.clear_holdings();
    reply.clear_routers();
    reply.clear_full();
    reply.set_version(request.version());
}

bool MeshService::maySend(Millis backlog, Time now)
{
    const std::lock_guard lock(m_mutex);
    return m_replies.available(now, backlog);
}

// Counts a reply, and logs the counts of a second in which routers came to this host or were sent on.
void MeshService::recordReply(const pb::SyncReply &reply, bool wholeList, bool postponed, Time now)
{
    static Counter &allPostponed = metrics().counter("roserail_replies_postponed_total");
    if (postponed)
        allPostponed.add();
    const size_t bytes = reply.ByteSizeLong();
    const std::lock_guard lock(m_mutex);
    m_replies.record(bytes, now);
    ++m_counts.replies;
    m_counts.bytes += bytes;
    m_counts.postponed += postponed ? 1 : 0;
    m_counts.lists += wholeList ? 1 : 0;
    m_counts.listBytes += wholeList ? bytes : 0;
    m_counts.referred += reply.epoch() == 0 && !reply.busy() ? 1 : 0;
    if (now < m_countedSince + ReplyCountInterval)
        return;
    if (m_counts.lists + m_counts.postponed + m_counts.referred > 0)
        logEvent("replies_to_routers",
                 {{"replies", m_counts.replies},
                  {"bytes", m_counts.bytes},
                  {"lists", m_counts.lists},
                  {"list_bytes", m_counts.listBytes},
                  {"postponed", m_counts.postponed},
                  {"referred", m_counts.referred},
                  {"in_ms", std::min<int64_t>((now - m_countedSince).count(), MaxLoggedInterval.count())}});
    m_counts = ReplyCounts();
    m_countedSince = now;
}

grpc::Status MeshService::Lease(grpc::ServerContext *, const pb::LeaseRequest *request, pb::LeaseReply *reply)
{
    if (m_quotas == nullptr)
        return grpc::Status(grpc::StatusCode::UNIMPLEMENTED, "this control host grants no quotas");
    *reply = m_quotas->lease(*request);
    return grpc::Status::OK;
}

grpc::Status MeshService::Share(grpc::ServerContext *, const pb::ShareRequest *request, pb::ShareReply *reply)
{
    const Time now = monotonicNow();
    const Time sentAt = now - ageOf(request->from(), request->incarnation(), request->sent_at_ms(), now);
    const std::string from = request->replica() ? request->from() : "";
    m_table.change([&](Registry &registry) {
        for (const pb::Announcement &it : request->endpoints())
            registry.merge(it, sentAt - Millis(it.age_ms()), from);
        for (const pb::Holdings &it : request->holdings())
            registry.merge(it, sentAt, from);
        for (const pb::RouterState &it : request->routers())
            registry.merge(it, sentAt - Millis(it.age_ms()), from);
        for (const pb::KeeperState &it : request->keepers())
            registry.merge(it, sentAt - Millis(it.age_ms()));
        if (request->has_use())
            registry.use().setHost(request->from(), request->use(), sentAt);
        if (request->has_account_use())
            registry.accounts().setHost(request->from(), request->account_use(), sentAt);
        if (request->keepers_size() > 0)
            addKeepers(registry, now, *reply);
    });
    if (request->has_configuration())
        m_table.mergeConfiguration(request->configuration());
    if (request->has_configuration_delta())
        m_table.mergeConfiguration(request->configuration_delta());
    if (request->has_configuration_piece())
        m_table.mergeConfiguration(request->configuration_piece());
    m_table.confirmByLeader(request->newest_configuration(), sentAt);
    reply->set_configuration(m_table.configurationVersion());
    *reply->mutable_progress() = m_table.configurationProgress();
    reply->set_epoch(m_epoch);
    return grpc::Status::OK;
}

// Adds this host, through which the sender learns of its disk, and all known hosts with one.
void MeshService::addKeepers(const Registry &registry, Time now, pb::ShareReply &reply) const
{
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        if ((!it.second.state.disk() && it.first != m_self) || now > it.second.lastSeenAt + KeeperLivenessTimeout)
            continue;
        pb::KeeperState &state = *reply.add_keepers();
        state = it.second.state;
        state.set_age_ms(uint64_t(std::max<int64_t>(0, (now - it.second.lastSeenAt).count())));
    }
}

MeshClient::MeshClient(std::vector<std::string> seeds, BuildRequest buildRequest, HandleReply handleReply)
    : m_buildRequest(std::move(buildRequest))
    , m_handleReply(std::move(handleReply))
    , m_hosts(std::move(seeds), randomNumber())
    , m_minInterval(SyncIntervalWhileWaiting)
    , m_thread([this] { run(); })
{
}

MeshClient::~MeshClient()
{
    m_stop = true;
    wake();
    m_thread.join();
}

void MeshClient::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_wake.notify_one();
}

void MeshClient::setSeeds(std::vector<std::string> seeds)
{
    const std::lock_guard lock(m_mutex);
    m_hosts.setSeeds(std::move(seeds));
}

void MeshClient::connect()
{
    const std::lock_guard lock(m_mutex);
    m_channel = std::make_unique<Channel>(m_hosts.next(monotonicNow()));
}

PollOutcome MeshClient::syncOnce()
{
    const bool first = !m_channel;
    if (first)
        connect();
    pb::SyncRequest request = m_buildRequest();
    const std::shared_ptr<grpc::Channel> channel = m_channel->get();
    // The first reply of a host brings the whole list. A host that can't be connected to gets no more time than another poll.
    if (first && !channel->WaitForConnected(std::chrono::system_clock::now() + SyncTimeout)) {
        m_channel.reset();
        return PollOutcome::NotConnected;
    }
    grpc::ClientContext context;
    setDeadline(context, first ? ListTimeout : SyncTimeout);
    pb::SyncReply reply;
    const Time askedAt = monotonicNow();
    request.set_sent_at_ms(uint64_t(toMillis(askedAt)));
    const grpc::Status status = pb::Mesh::NewStub(channel)->Sync(&context, request, &reply);
    if (!status.ok()) {
        m_channel.reset();
        return PollOutcome::NoReply;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_hosts.named({reply.control().begin(), reply.control().end()}, monotonicNow());
    }
    if (reply.epoch() == 0) {
        if (reply.busy())
            m_handleReply(reply, askedAt);
        m_channel.reset();
        return reply.busy() ? PollOutcome::Busy : PollOutcome::Referred;
    }
    if (m_servedBy != m_channel->address()) {
        m_servedBy = m_channel->address();
        logEvent("control_host", {{"host", m_servedBy}, {"state_age_ms", reply.state_age_ms()}});
    }
    m_handleReply(reply, askedAt);
    retryNearestHost();
    return PollOutcome::Served;
}

// Reconnects to the nearest host, at intervals, if the session is with another one.
void MeshClient::retryNearestHost()
{
    const Time now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    if (now < m_nearestRetryAt || m_hosts.nearest().empty())
        return;
    m_nearestRetryAt = now + NearestHostRetryInterval;
    if (m_channel->address() == m_hosts.nearest())
        return;
    m_hosts.preferNext(m_hosts.nearest());
    m_channel.reset();
}

// Logs when the router loses its control host and finds one again, and meanwhile how the polls of the hosts that it knows ended.
void MeshClient::logOutcome(PollOutcome outcome)
{
    const Time now = monotonicNow();
    const bool ok = outcome == PollOutcome::Served;
    if (m_failures == 0 && !ok) {
        m_outcomes = {};
        m_lostSince = now;
        m_nextSearchLogAt = now + SearchLogInterval;
        logEvent("control_lost", {{"host", m_servedBy}, {"hosts", m_hosts.size()}, {"cause", toString(outcome)}});
    }
    ++m_outcomes[size_t(outcome)];
    if (m_failures == 0 || (!ok && now < m_nextSearchLogAt))
        return;
    m_nextSearchLogAt = now + SearchLogInterval;
    logEvent(ok ? "control_regained" : "control_search",
             {{"host", m_servedBy},
              {"hosts", m_hosts.size()},
              {"lost_ms", (now - m_lostSince).count()},
              {"busy", m_outcomes[size_t(PollOutcome::Busy)]},
              {"referred", m_outcomes[size_t(PollOutcome::Referred)]},
              {"not_connected", m_outcomes[size_t(PollOutcome::NotConnected)]},
              {"no_reply", m_outcomes[size_t(PollOutcome::NoReply)]}});
}

void MeshClient::run()
{
    while (!m_stop) {
        const PollOutcome outcome = syncOnce();
        const bool ok = outcome == PollOutcome::Served;
        logOutcome(outcome);
        m_failures = ok ? 0 : m_failures + 1;
        // Limits the rate of polls, regardless of how often the thread is woken.
        const Millis interval = m_failures > m_hosts.size() ? std::max<Millis>(m_minInterval, SyncRetryInterval) : Millis(m_minInterval);
        std::this_thread::sleep_for(interval);
        std::unique_lock lock(m_mutex);
        if (ok && !m_waiting && interval < SyncInterval)
            m_wake.wait_for(lock, SyncInterval - interval, [this] { return m_woken; });
        m_woken = false;
    }
}

} // namespace roserail
