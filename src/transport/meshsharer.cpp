#include "transport/meshsharer.h"

#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

MeshSharer::MeshSharer(LiveTable &table, std::string self, bool disk)
    : m_table(table)
    , m_self(std::move(self))
    , m_disk(disk)
{
}

MeshSharer::~MeshSharer()
{
    setPeers({});
    for (std::unique_ptr<Peer> &it : m_stopping)
        it->thread.join();
}

void MeshSharer::setPeers(const std::map<std::string, ShareRole> &roles)
{
    const std::lock_guard lock(m_mutex);
    for (const std::pair<const std::string, ShareRole> &it : roles) {
        std::unique_ptr<Peer> &peer = m_peers[it.first];
        if (peer) {
            peer->role = it.second;
            continue;
        }
        peer = std::make_unique<Peer>(it.first, it.second);
        peer->thread = std::thread([this, &peer = *peer] { run(peer); });
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (roles.count(it->first) != 0) {
            ++it;
            continue;
        }
        it->second->stop = true;
        m_stopping.push_back(std::move(it->second));
        it = m_peers.erase(it);
        m_table.notifyAll();
    }
    // A thread that has not ended yet may be waiting for a reply, and the caller must not wait for that.
    m_stopping.remove_if([](const std::unique_ptr<Peer> &it) {
        const bool finished = it->finished;
        if (finished)
            it->thread.join();
        return finished;
    });
}

std::set<std::string> MeshSharer::unreachable() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> result;
    for (const std::pair<const std::string, std::unique_ptr<Peer>> &it : m_peers) {
        if (!it.second->reachable)
            result.insert(it.first);
    }
    return result;
}

void MeshSharer::run(Peer &peer)
{
    Progress progress;
    while (!peer.stop) {
        // Combines changes that are made within a short time into one message.
        std::this_thread::sleep_for(peer.reachable ? ShareBatchDelay : ShareRetryDelay);
        waitForWork(peer, progress);
        updateProgress(peer, progress);
        uint64_t version = 0;
        const pb::ShareRequest request = buildRequest(peer, progress, monotonicNow(), version);
        const bool empty = !request.has_use() && !request.has_account_use()
            && request.endpoints_size() + request.holdings_size() + request.routers_size() + request.keepers_size() == 0
            && !request.has_configuration() && !request.has_configuration_delta() && !request.has_configuration_piece();
        if (empty)
            progress.version = version;
        else
            send(peer, progress, request, version);
    }
    peer.finished = true;
}

// Waits for a change that the peer needs.
void MeshSharer::waitForWork(const Peer &peer, const Progress &progress) const
{
    if (!peer.reachable || progress.transferring())
        return;
    const bool state = receivesState(peer.role);
    m_table.waitFor(MaxShareInterval, [&](const Registry &registry) {
        const auto self = registry.keepers().find(m_self);
        const bool ownChange = self != registry.keepers().end() && self->second.version > progress.ownVersion;
        return peer.stop || ownChange || (state && registry.version() > progress.version);
    });
}

// Starts again from the whole state if the peer now needs more than the changes that were selected for it so far.
void MeshSharer::updateProgress(const Peer &peer, Progress &progress) const
{
    const uint64_t restarts = m_restarts;
    const std::set<std::string> silent = unreachable();
    std::set<std::string> forwarded = m_table.read([&](const Registry &registry) {
        std::set<std::string> hosts = forwardedHosts(m_self, peer.channel.address(), registry);
        hosts.insert(silent.begin(), silent.end());
        return hosts;
    });
    const bool moreForwarded = !std::includes(progress.forwarded.begin(), progress.forwarded.end(), forwarded.begin(), forwarded.end());
    if (peer.role != progress.role || moreForwarded || restarts != progress.restarts)
        progress.version = 0;
    progress.role = peer.role;
    progress.restarts = restarts;
    progress.forwarded = std::move(forwarded);
}

// Collects what the peer needs, and the registry's version that it will have then. A peer that did not answer the last
// message receives only this host's own state until it answers.
pb::ShareRequest MeshSharer::buildRequest(const Peer &peer, Progress &progress, Time now, uint64_t &version) const
{
    const bool state = peer.reachable && receivesState(progress.role);
    pb::ShareRequest request;
    request.set_from(m_self);
    request.set_replica(m_disk);
    request.set_sent_at_ms(uint64_t(toMillis(now)));
    m_table.read([&](const Registry &registry) {
        version = peer.reachable ? registry.version() : progress.version;
        if (state)
            registry.changesSince(ChangeFilter{progress.version, receivesEverything(progress.role), progress.forwarded}, now, request);
        if (state && m_disk && now >= progress.nextUseAt) {
            if (std::optional<pb::EndpointUse> use = registry.use().ofRouters(now))
                *request.mutable_use() = std::move(*use);
            progress.nextUseAt = now + EndpointUseInterval;
        }
        if (state && m_disk && now >= progress.nextAccountUseAt) {
            if (std::optional<pb::AccountUse> use = registry.accounts().ofRouters(now))
                *request.mutable_account_use() = std::move(*use);
            progress.nextAccountUseAt = now + AccountUseInterval;
        }
        const auto self = registry.keepers().find(m_self);
        request.set_incarnation(self == registry.keepers().end() ? 0 : self->second.state.incarnation());
        if (self != registry.keepers().end() && self->second.version > progress.ownVersion) {
            *request.add_keepers() = self->second.state;
            progress.ownVersion = self->second.version;
        }
    });
    if (state && m_disk)
        addConfigurationIfLagging(progress, now, request);
    if (leads())
        request.set_newest_configuration(m_table.configurationVersion());
    return request;
}

bool MeshSharer::leads() const
{
    return m_table.read([&](const Registry &registry) {
        const auto self = registry.keepers().find(m_self);
        return self != registry.keepers().end() && self->second.state.term() > 0;
    });
}

// The other hosts with a disk get the configuration from the log. The leader sends it to one that did not, for
// example because its disk is slow.
void MeshSharer::addConfigurationIfLagging(Progress &progress, Time now, pb::ShareRequest &request) const
{
    if (!leads() || m_table.configurationVersion() <= progress.configuration) {
        progress.configurationLagsSince = Time();
        return;
    }
    if (progress.configurationLagsSince == Time())
        progress.configurationLagsSince = now;
    if (now >= progress.configurationLagsSince + ConfigurationLagLimit)
        m_table.addConfigurationSince(progress.configuration, progress.transfer ? &*progress.transfer : nullptr, request);
}

void MeshSharer::send(Peer &peer, Progress &progress, const pb::ShareRequest &request, uint64_t version)
{
    const std::shared_ptr<grpc::Channel> channel = peer.channel.get();
    grpc::ClientContext context;
    setDeadline(context, ShareTimeout);
    pb::ShareReply reply;
    const Time askedAt = monotonicNow();
    const grpc::Status status = pb::Mesh::NewStub(channel)->Share(&context, request, &reply);
    peer.channel.handleStatus(status, channel);
    if (status.ok() != peer.reachable)
        logEvent(status.ok() ? "peer_regained" : "peer_lost", {{"peer", peer.channel.address()}, {"error", status.error_message()}});
    peer.reachable = status.ok();
    if (status.ok())
        handleReply(reply, askedAt, progress, version);
    else
        progress.ownVersion = 0;
}

void MeshSharer::handleReply(const pb::ShareReply &reply, Time askedAt, Progress &progress, uint64_t version)
{
    // A peer that has restarted has lost all state and receives everything again.
    const bool restarted = progress.epoch != 0 && progress.epoch != reply.epoch();
    if (restarted)
        ++m_restarts;
    progress.version = restarted ? 0 : version;
    progress.epoch = reply.epoch();
    progress.configuration = reply.configuration();
    if (reply.has_progress())
        progress.transfer = reply.progress();
    if (reply.keepers().empty())
        return;
    m_table.change([&](Registry &registry) {
        for (const pb::KeeperState &it : reply.keepers()) {
            if (Millis(it.age_ms()) < KeeperLivenessTimeout)
                registry.merge(it, askedAt - Millis(it.age_ms()));
        }
    });
}

} // namespace roserail
