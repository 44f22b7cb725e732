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

MeshService::MeshService(LiveTable &table, ReplicaNode &node, std::vector<std::string> seeds, uint64_t epoch)
    : m_table(table)
    , m_node(node)
    , m_seeds(std::move(seeds))
    , m_epoch(epoch)
{
}

grpc::Status MeshService::Sync(grpc::ServerContext *, const pb::SyncRequest *request, pb::SyncReply *reply)
{
    const Time now = monotonicNow();
    if (request->router().router().empty())
        return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "'router' is empty; set 'id' in the router's settings");
    m_table.change([&](Registry &registry) {
        registry.take(request->router(), now);
        registry.expire(now);
        registry.visibleSince(request->epoch() == m_epoch ? request->version() : 0, now, *reply);
    });
    reply->set_epoch(m_epoch);
    m_node.withMachine([&](const Machine &machine) {
        if (machine.configuration().version() > request->configuration())
            *reply->mutable_configuration() = machine.configuration();
    });
    std::set<std::string> control(m_seeds.begin(), m_seeds.end());
    const ReplicaStatus status = m_node.status();
    for (const pb::Member &it : status.membership.members())
        control.insert(it.peer_address());
    for (const std::string &it : control)
        reply->add_control(it);
    return grpc::Status::OK;
}

grpc::Status MeshService::Share(grpc::ServerContext *, const pb::ShareRequest *request, pb::ShareReply *reply)
{
    const Time now = monotonicNow();
    m_table.change([&](Registry &registry) {
        for (const pb::Announcement &it : request->endpoints())
            registry.take(it, now - Millis(it.age_ms()));
        for (const pb::Holdings &it : request->holdings())
            registry.take(it);
        for (const pb::RouterState &it : request->routers())
            registry.take(it, now - Millis(it.age_ms()));
    });
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
    m_table.wakeAll();
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

void MeshSharer::run(Peer &peer)
{
    uint64_t shared = 0; // version that the peer has
    uint64_t epoch = 0; // of the peer's process
    bool reachable = true;
    while (!peer.stop) {
        m_table.waitForChange(shared, ShareAnyway, [&] { return peer.stop.load(); });
        // Changes that come together go out together.
        std::this_thread::sleep_for(ShareGather);
        pb::ShareRequest request;
        request.set_from(m_self);
        uint64_t version = 0;
        m_table.read([&](const Registry &registry) {
            version = registry.version();
            registry.changesSince(shared, monotonicNow(), request);
        });
        const std::shared_ptr<grpc::Channel> channel = peer.channel.get();
        grpc::ClientContext context;
        setDeadline(context, ShareTimeout);
        pb::ShareReply reply;
        const grpc::Status status = pb::Mesh::NewStub(channel)->Share(&context, request, &reply);
        peer.channel.report(status, channel);
        if (status.ok() != reachable)
            logEvent(status.ok() ? "peer_regained" : "peer_lost", {{"peer", peer.channel.address()}, {"error", status.error_message()}});
        reachable = status.ok();
        if (!status.ok()) {
            std::this_thread::sleep_for(ShareRetry);
            continue;
        }
        // A process that has started again knows nothing of before.
        shared = epoch == 0 || epoch == reply.epoch() ? version : 0;
        epoch = reply.epoch();
    }
}

MeshClient::MeshClient(std::vector<std::string> seeds, Build build, Take take)
    : m_seeds(std::move(seeds))
    , m_build(std::move(build))
    , m_take(std::move(take))
    , m_turn(randomNumber() % 1024)
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

// Goes through the hosts that were heard of, and the seeds now and then in case all of those have gone.
std::string MeshClient::nextAddress()
{
    ++m_turn;
    const std::vector<std::string> &known = m_control.empty() || m_turn % 4 == 0 ? m_seeds : m_control;
    return known[m_turn % known.size()];
}

bool MeshClient::syncOnce()
{
    if (!m_channel)
        m_channel = std::make_unique<Channel>(nextAddress());
    const pb::SyncRequest request = m_build();
    const std::shared_ptr<grpc::Channel> channel = m_channel->get();
    grpc::ClientContext context;
    setDeadline(context, SyncTimeout);
    pb::SyncReply reply;
    const grpc::Status status = pb::Mesh::NewStub(channel)->Sync(&context, request, &reply);
    if (!status.ok()) {
        m_channel.reset();
        return false;
    }
    m_control.assign(reply.control().begin(), reply.control().end());
    m_take(reply);
    return true;
}

void MeshClient::run()
{
    bool reachable = true;
    while (!m_stop) {
        const bool ok = syncOnce();
        if (ok != reachable)
            logEvent(ok ? "control_regained" : "control_lost", {{"hosts", m_control.size()}});
        reachable = ok;
        // Never faster than the short interval, however often it is woken.
        std::this_thread::sleep_for(SyncWhileWaiting);
        std::unique_lock lock(m_mutex);
        if (ok && !m_waiting)
            m_wake.wait_for(lock, SyncInterval - SyncWhileWaiting, [this] { return m_woken; });
        m_woken = false;
    }
}

} // namespace roserail
