#include "coordination/sharing.h"

#include <algorithm>
#include <tuple>

namespace roserail
{

namespace
{

// Returns the host with a disk that a host without one sends its changes to: of those that answer and reach most others, the
// nearest. Hosts of one availability zone that has several choose different ones. Empty: none is known.
std::string relayTarget(const ShareView &view, const Registry &registry)
{
    std::tuple<bool, int, bool, size_t> bestRank;
    std::string best;
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        if (!it.second.state.disk())
            continue;
        const std::tuple<bool, int, bool, size_t> rank{view.unreachable.count(it.first) != 0, it.second.state.unreachable_size(),
                                                       it.second.state.zone() != view.zone, std::hash<std::string>()(view.self + it.first)};
        if (best.empty() || rank < bestRank) {
            best = it.first;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace

std::map<std::string, ShareRole> shareRoles(const ShareView &view, const Registry &registry)
{
    std::map<std::string, ShareRole> roles;
    for (const std::string &it : view.seeds)
        roles[it] = ShareRole::Announce;
    if (view.disk) {
        for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
            if (it.second.state.disk())
                roles[it.first] = it.second.state.term() > 0 ? ShareRole::Leader : ShareRole::Replica;
        }
    } else {
        const std::string target = relayTarget(view, registry);
        if (!target.empty())
            roles[target] = ShareRole::Relay;
    }
    roles.erase(view.self);
    return roles;
}

std::set<std::string> forwardedHosts(const std::string &self, const std::string &peer, const Registry &registry)
{
    std::set<std::string> hosts;
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        const google::protobuf::RepeatedPtrField<std::string> &unreachable = it.second.state.unreachable();
        if (it.first != self && std::find(unreachable.begin(), unreachable.end(), peer) != unreachable.end())
            hosts.insert(it.first);
    }
    return hosts;
}

} // namespace roserail
