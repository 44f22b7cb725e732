#include "transport/mesh.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
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
    // A router without a configuration takes an old one rather than none.
    const bool current = m_disk && !(m_table.isolated(now) && request->configuration() > 0);
    const bool wholeList = request->epoch() != m_epoch;
    const bool serves = current && (!wholeList || maySend(now));
    // Hosts of the router's own availability zone come first; otherwise routers use different ones.
    std::set<std::tuple<bool, size_t, std::string>> control;
    if (m_disk)
        m_table.expire(now);
    m_table.change([&](Registry &registry) {
        if (m_disk) {
            registry.merge(request->router(), now);
            if (serves)
                registry.routerChangesSince(wholeList ? 0 : request->version(), now, *reply);
        }
        if (registry.ordersAllowedAt() > now)
            reply->set_orders_in_ms(uint64_t((registry.ordersAllowedAt() - now).count()));
        for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
            if (it.second.state.disk() && (current || it.first != m_self) && now < it.second.lastSeenAt + KeeperStateMaxAge)
                control.emplace(it.second.state.zone() != request->router().zone(), spread(request->router().router(), it.first), it.first);
        }
    });
    reply->set_epoch(serves ? m_epoch : 0);
    reply->set_busy(current && !serves);
    reply->set_state_age_ms(uint64_t(m_table.stateAge(now).count()));
    if (request->configuration() < m_table.configurationVersion() && maySend(now))
        m_table.addConfigurationSince(request->configuration(), request->has_progress() ? &request->progress() : nullptr, *reply);
    for (const std::tuple<bool, size_t, std::string> &it : control)
        reply->add_control(std::get<std::string>(it));
    if (control.empty())
        reply->mutable_control()->Add(m_seeds.begin(), m_seeds.end());
    m_table.addSoftwareUnless(request->software(), *reply);
    recordReply(reply->ByteSizeLong(), now);
    return grpc::Status::OK;
}

bool MeshService::maySend(Time now)
{
    static Counter &postponed = metrics().counter("roserail_replies_postponed_total");
    const std::lock_guard lock(m_mutex);
    const bool available = m_replies.available(now, MaxReplyBacklog);
    if (!available)
        postponed.add();
    return available;
}

void MeshService::recordReply(size_t bytes, Time now)
{
    const std::lock_guard lock(m_mutex);
    m_replies.record(bytes, now);
}

grpc::Status MeshService::Share(grpc::ServerContext *, const pb::ShareRequest *request, pb::ShareReply *reply)
{
    const Time now = monotonicNow();
    const std::string from = request->replica() ? request->from() : "";
    m_table.change([&](Registry &registry) {
        for (const pb::Announcement &it : request->endpoints())
            registry.merge(it, now - Millis(it.age_ms()), from);
        for (const pb::Holdings &it : request->holdings())
            registry.merge(it, now, from);
        for (const pb::RouterState &it : request->routers())
            registry.merge(it, now - Millis(it.age_ms()), from);
        for (const pb::KeeperState &it : request->keepers())
            registry.merge(it, now - Millis(it.age_ms()));
        if (request->keepers_size() > 0)
            addKeepers(registry, now, *reply);
    });
    if (request->has_configuration())
        m_table.mergeConfiguration(request->configuration());
    if (request->has_configuration_delta())
        m_table.mergeConfiguration(request->configuration_delta());
    if (request->has_configuration_piece())
        m_table.mergeConfiguration(request->configuration_piece());
    m_table.confirmByLeader(request->newest_configuration(), now);
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

bool MeshClient::syncOnce()
{
    const bool first = !m_channel;
    if (first)
        connect();
    const pb::SyncRequest request = m_buildRequest();
    const std::shared_ptr<grpc::Channel> channel = m_channel->get();
    // The first reply of a host brings the whole list. A host that can't be connected to gets no more time than another poll.
    if (first && !channel->WaitForConnected(std::chrono::system_clock::now() + SyncTimeout)) {
        m_channel.reset();
        return false;
    }
    grpc::ClientContext context;
    setDeadline(context, first ? ListTimeout : SyncTimeout);
    pb::SyncReply reply;
    const grpc::Status status = pb::Mesh::NewStub(channel)->Sync(&context, request, &reply);
    if (!status.ok()) {
        m_channel.reset();
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_hosts.named({reply.control().begin(), reply.control().end()}, monotonicNow());
    }
    if (reply.epoch() == 0) {
        if (reply.busy())
            m_handleReply(reply);
        m_channel.reset();
        return false;
    }
    if (m_servedBy != m_channel->address()) {
        m_servedBy = m_channel->address();
        logEvent("control_host", {{"host", m_servedBy}, {"state_age_ms", reply.state_age_ms()}});
    }
    m_handleReply(reply);
    retryNearestHost();
    return true;
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

void MeshClient::run()
{
    bool reachable = true;
    while (!m_stop) {
        const bool ok = syncOnce();
        if (ok != reachable)
            logEvent(ok ? "control_regained" : "control_lost", {{"host", m_servedBy}, {"hosts", m_hosts.size()}});
        reachable = ok;
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
