#include "coordination/peerrouters.h"

#include "state/address.h"
#include "state/tunables.h"

namespace roserail
{

using namespace tunables;

namespace
{

constexpr uint32_t OtherZoneCost = 2; // requests by which a router of the same zone may exceed one of another zone

} // namespace

void PeerRouters::update(const Registry &registry)
{
    for (std::pair<const std::string, Peer> &it : m_peers)
        it.second.available = false;
    m_hosts.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        const pb::RouterState &state = it.second.state;
        if (it.first == m_self || state.relay_address().empty())
            continue;
        const Result<HostPort> address = parseHostPort(state.relay_address());
        if (address.has_value())
            m_hosts[it.first] = address.value().host;
        Peer &peer = m_peers[it.first];
        peer.address = state.relay_address();
        peer.sameZone = state.zone() == m_zone;
        peer.available = state.accepting() && !state.isolated();
    }
    std::erase_if(m_peers, [](const std::pair<const std::string, Peer> &it) { return !it.second.available && it.second.running == 0; });
}

bool PeerRouters::isAt(const std::string &router, const std::string &ip) const
{
    const auto it = m_hosts.find(router);
    return it != m_hosts.end() && it->second == ip;
}

std::optional<PeerChoice> PeerRouters::choose(const std::set<std::string> &avoid, Time now) const
{
    std::optional<PeerChoice> best;
    uint32_t bestCost = 0;
    for (const std::pair<const std::string, Peer> &it : m_peers) {
        const Peer &peer = it.second;
        if (!peer.available || now < peer.failedUntil || avoid.count(it.first) != 0)
            continue;
        const uint32_t cost = peer.running + (peer.sameZone ? 0 : OtherZoneCost);
        if (best && cost >= bestCost)
            continue;
        best = PeerChoice{it.first, peer.address};
        bestCost = cost;
    }
    return best;
}

void PeerRouters::started(const std::string &router)
{
    ++m_peers[router].running;
}

void PeerRouters::ended(const std::string &router)
{
    const auto it = m_peers.find(router);
    if (it != m_peers.end())
        --it->second.running;
}

void PeerRouters::failed(const std::string &router, Time now)
{
    m_peers[router].failedUntil = now + EndpointFailureCooldown;
}

} // namespace roserail
