// The other routers, to which this one may pass a request on if it can't connect to the endpoints itself.
//
// Load pattern: some routers, or most of an availability zone, are cut from all endpoints, so that few others receive the requests
// of all. A request goes to the router with the fewest of this router's requests, one hop at most, and never to a router that says
// that it can't connect to the endpoints either.
#pragma once

#include "coordination/registry.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace roserail
{

struct PeerChoice {
    std::string router;
    std::string address; // where it accepts requests of other routers
};

class PeerRouters
{
public:
    PeerRouters(std::string self, std::string zone)
        : m_self(std::move(self))
        , m_zone(std::move(zone))
    {
    }
    void update(const Registry &registry);
    // Returns the router that a request is to be passed to, if there is one. `avoid`: routers that were tried already.
    std::optional<PeerChoice> choose(const std::set<std::string> &avoid, Time now) const;
    // Returns whether a router, also one that takes no requests, has this IP address.
    bool isAt(const std::string &router, const std::string &ip) const;
    void started(const std::string &router);
    void ended(const std::string &router);
    // Records that the router could not be connected to.
    void failed(const std::string &router, Time now);

private:
    struct Peer {
        std::string address;
        bool sameZone = false;
        bool available = false; // it accepts requests and reaches endpoints
        uint32_t running = 0; // requests that this router has passed to it
        Time failedUntil{};
    };

    std::string m_self;
    std::string m_zone;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, std::string> m_hosts; // IP addresses of all other routers, by id
};

} // namespace roserail
