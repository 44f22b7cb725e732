// Decides which control hosts a control host sends live state to, and which part of it.
//
// The hosts with a disk send their own changes to each other. A host without one sends what it receives to a single host
// with a disk, the nearest that answers. So the number of sessions is quadratic only in the few hosts with a disk. Every
// host announces itself to its seeds, through which the others find it.
#pragma once

#include "coordination/registry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace roserail
{

// The part of the live state that a peer receives. All but None include the state of the sender.
enum class ShareRole {
    None, // nothing
    Announce, // a seed without a disk, or of which nothing is known yet
    Relay, // the host with a disk that a host without one uses: all changes
    Replica, // a host with a disk, to another: changes that routers need
    Leader, // the replica that sends orders to engines, to another host with a disk: all changes
};

// Returns whether a peer with this role receives changes of endpoints and routers.
inline bool receivesState(ShareRole role)
{
    return role == ShareRole::Relay || role == ShareRole::Replica || role == ShareRole::Leader;
}

// Returns whether these are all changes, instead of those that routers need.
inline bool receivesEverything(ShareRole role)
{
    return role == ShareRole::Relay || role == ShareRole::Leader;
}

// What a control host knows when it decides whom to send its changes to.
struct ShareView {
    std::string self; // internal address
    std::string zone;
    bool disk = false;
    std::vector<std::string> seeds; // internal addresses
    std::set<std::string> unreachable; // peers that did not answer the last message
};

// Returns the role of each peer to open a session with.
std::map<std::string, ShareRole> shareRoles(const ShareView &view, const Registry &registry);

// Returns the hosts whose changes `self` forwards to `peer`, because they announce that they can't reach it themselves.
std::set<std::string> forwardedHosts(const std::string &self, const std::string &peer, const Registry &registry);

} // namespace roserail
