#include "transport/mesh.h"

#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/program.h"

#include <algorithm>
#include <set>

namespace roserail
{

using namespace tunables;

MeshService::MeshService(LiveTable &table, std::vector<std::string> seeds, bool disk, uint64_t epoch)
    : m_table(table)
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
    // Hosts of the router's own availability zone come first.
    std::set<std::pair<bool, std::string>> control;
    if (m_disk)
        m_table.expire(now);
    m_table.change([&](Registry &registry) {
        if (m_disk) {
            registry.merge(request->router(), now);
            registry.routerChangesSince(request->epoch() == m_epoch ? request->version() : 0, now, *reply);
        }
        if (registry.ordersAllowedAt() > now)
            reply->set_orders_in_ms(uint64_t((registry.ordersAllowedAt() - now).count()));
        for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
            if (it.second.state.disk() && now < it.second.lastSeenAt + KeeperStateMaxAge)
                control.emplace(it.second.state.zone() != request->router().zone(), it.first);
        }
    });
    reply->set_epoch(m_disk ? m_epoch : 0);
    if (m_table.configurationVersion() > request->configuration())
        *reply->mutable_configuration() = m_table.configuration();
    for (const std::pair<bool, std::string> &it : control)
        reply->add_control(it.second);
    if (control.empty())
        reply->mutable_control()->Add(m_seeds.begin(), m_seeds.end());
    return grpc::Status::OK;
}

grpc::Status MeshService::Share(grpc::ServerContext *, const pb::ShareRequest *request, pb::ShareReply *reply)
{
    const Time now = monotonicNow();
    m_table.change([&](Registry &registry) {
        for (const pb::Announcement &it : request->endpoints())
            registry.merge(it, now - Millis(it.age_ms()));
        for (const pb::Holdings &it : request->holdings())
            registry.merge(it, now);
        for (const pb::RouterState &it : request->routers())
            registry.merge(it, now - Millis(it.age_ms()));
        for (const pb::KeeperState &it : request->keepers())
            registry.merge(it, now - Millis(it.age_ms()));
        if (request->keepers_size() > 0) {
            for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers())
                *reply->add_keepers() = it.second.state;
        }
    });
    if (request->has_configuration())
        m_table.mergeConfiguration(request->configuration());
    reply->set_configuration(m_table.configurationVersion());
    reply->set_epoch(m_epoch);
    return grpc::Status::OK;
}

MeshSharer::MeshSharer(LiveTable &table, std::string self)
    : m_table(table)
    , m_self(std::move(self))
{
}

MeshSharer::~MeshSharer()
{
    for (std::pair<const std::string, std::unique_ptr<Peer>> &it : m_peers)
        stop(*it.second);
}

void MeshSharer::stop(Peer &peer)
{
    peer.stop = true;
    m_table.notifyAll();
    peer.thread.join();
}

void MeshSharer::setPeers(const std::vector<std::string> &addresses)
{
    const std::set<std::string> wanted(addresses.begin(), addresses.end());
    for (const std::string &it : wanted) {
        if (it == m_self || m_peers.count(it) != 0)
            continue;
        std::unique_ptr<Peer> &peer = m_peers[it];
        peer = std::make_unique<Peer>(it);
        peer->thread = std::thread([this, &peer = *peer] { run(peer); });
    }
    std::erase_if(m_peers, [&](const std::pair<const std::string, std::unique_ptr<Peer>> &it) {
        const bool unwanted = wanted.count(it.first) == 0;
        if (unwanted)
            stop(*it.second);
        return unwanted;
    });
}

// Returns the kind of a peer, which determines the changes pushed to it.
MeshSharer::PeerKind MeshSharer::kindOf(const std::string &address) const
{
    return m_table.read([&](const Registry &registry) {
        const auto it = registry.keepers().find(address);
        if (it == registry.keepers().end())
            return PeerKind::Unknown;
        if (!it->second.state.disk())
            return PeerKind::Diskless;
        return it->second.state.term() > 0 ? PeerKind::Leader : PeerKind::Follower;
    });
}

void MeshSharer::run(Peer &peer)
{
    uint64_t sharedVersion = 0; // registry version up to which the peer has the changes
    uint64_t epoch = 0; // of the peer's process; 0: unknown
    uint64_t sharedConfiguration = UINT64_MAX; // version that the peer has; not sent before its first reply
    PeerKind previousKind = PeerKind::Unknown;
    Time stateDueAt{}; // time to send this host's own state again
    uint64_t sentTerm = 0; // in this host's own state when it was last sent
    bool reachable = true;
    while (!peer.stop) {
        // Combines changes that are made within a short time into one message.
        std::this_thread::sleep_for(ShareBatchDelay);
        m_table.waitForChange(sharedVersion, MaxShareInterval, [&] { return peer.stop.load(); });
        const PeerKind kind = kindOf(peer.channel.address());
        // A new leader also needs the changes that are not pushed to followers.
        if (kind == PeerKind::Leader && previousKind != kind)
            sharedVersion = 0;
        previousKind = kind;
        const Time now = monotonicNow();
        pb::ShareRequest request;
        uint64_t version = 0;
        m_table.read([&](const Registry &registry) {
            version = registry.version();
            if (kind == PeerKind::Follower || kind == PeerKind::Leader)
                registry.changesSince(sharedVersion, kind == PeerKind::Leader, now, request);
            const auto self = registry.keepers().find(m_self);
            const bool known = self != registry.keepers().end();
            // A change of leader is sent at once, together with the time from which it may send orders.
            if (known && (now >= stateDueAt || self->second.state.term() != sentTerm))
                *request.add_keepers() = self->second.state;
        });
        const bool empty = request.endpoints_size() + request.routers_size() + request.keepers_size() == 0;
        if (empty && m_table.configurationVersion() <= sharedConfiguration) {
            sharedVersion = version;
            continue;
        }
        request.set_from(m_self);
        if (m_table.configurationVersion() > sharedConfiguration)
            *request.mutable_configuration() = m_table.configuration();
        const std::shared_ptr<grpc::Channel> channel = peer.channel.get();
        grpc::ClientContext context;
        setDeadline(context, ShareTimeout);
        pb::ShareReply reply;
        const grpc::Status status = pb::Mesh::NewStub(channel)->Share(&context, request, &reply);
        peer.channel.handleStatus(status, channel);
        if (status.ok() != reachable)
            logEvent(status.ok() ? "peer_regained" : "peer_lost", {{"peer", peer.channel.address()}, {"error", status.error_message()}});
        reachable = status.ok();
        if (request.keepers_size() > 0 && status.ok()) {
            stateDueAt = now + KeeperAnnounceInterval;
            sentTerm = request.keepers(0).term();
        }
        if (!status.ok()) {
            std::this_thread::sleep_for(ShareRetryDelay);
            continue;
        }
        // A peer that has restarted has lost all state and receives everything again.
        sharedVersion = epoch == 0 || epoch == reply.epoch() ? version : 0;
        epoch = reply.epoch();
        sharedConfiguration = reply.configuration();
        mergeKeepers(reply);
    }
}

// Merges the peer's list of control hosts if it contains one that is unknown here.
void MeshSharer::mergeKeepers(const pb::ShareReply &reply)
{
    const Time now = monotonicNow();
    const bool anyUnknown = m_table.read([&](const Registry &registry) {
        return std::any_of(reply.keepers().begin(), reply.keepers().end(),
                           [&](const pb::KeeperState &it) { return registry.keepers().count(it.address()) == 0; });
    });
    if (!anyUnknown)
        return;
    m_table.change([&](Registry &registry) {
        for (const pb::KeeperState &it : reply.keepers())
            registry.merge(it, now);
    });
}

MeshClient::MeshClient(std::vector<std::string> seeds, BuildRequest buildRequest, HandleReply handleReply)
    : m_seeds(std::move(seeds))
    , m_buildRequest(std::move(buildRequest))
    , m_handleReply(std::move(handleReply))
    , m_seedOffset(randomNumber() % 1024)
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
    m_seeds = std::move(seeds);
}

// Returns the next host to try: the known ones in turn, the nearest first. Every fourth attempt uses a seed, in case none
// of the known hosts exists any longer.
std::string MeshClient::nextAddress()
{
    const std::lock_guard lock(m_mutex);
    const std::vector<std::string> &known = m_controlHosts.empty() || m_attempt % 4 == 3 ? m_seeds : m_controlHosts;
    const size_t n = m_controlHosts.empty() ? m_seedOffset + m_attempt : m_attempt;
    ++m_attempt;
    return known[n % known.size()];
}

bool MeshClient::syncOnce()
{
    if (!m_channel)
        m_channel = std::make_unique<Channel>(nextAddress());
    const pb::SyncRequest request = m_buildRequest();
    const std::shared_ptr<grpc::Channel> channel = m_channel->get();
    grpc::ClientContext context;
    setDeadline(context, SyncTimeout);
    pb::SyncReply reply;
    const grpc::Status status = pb::Mesh::NewStub(channel)->Sync(&context, request, &reply);
    if (!status.ok()) {
        m_channel.reset();
        return false;
    }
    m_controlHosts.assign(reply.control().begin(), reply.control().end());
    if (reply.epoch() == 0) {
        m_channel.reset();
        return false;
    }
    m_handleReply(reply);
    retryNearestHost();
    return true;
}

// Reconnects to the nearest host, at intervals, if the session is with another one.
void MeshClient::retryNearestHost()
{
    const Time now = monotonicNow();
    if (now < m_nearestRetryAt || m_controlHosts.empty())
        return;
    m_nearestRetryAt = now + NearestHostRetryInterval;
    m_attempt = 0;
    if (m_channel->address() != m_controlHosts.front())
        m_channel.reset();
}

void MeshClient::run()
{
    bool reachable = true;
    while (!m_stop) {
        const bool ok = syncOnce();
        if (ok != reachable)
            logEvent(ok ? "control_regained" : "control_lost", {{"hosts", m_controlHosts.size()}});
        reachable = ok;
        // Limits the rate of polls, regardless of how often the thread is woken.
        std::this_thread::sleep_for(SyncIntervalWhileWaiting);
        std::unique_lock lock(m_mutex);
        if (ok && !m_waiting)
            m_wake.wait_for(lock, SyncInterval - SyncIntervalWhileWaiting, [this] { return m_woken; });
        m_woken = false;
    }
}

} // namespace roserail
