// A router's share of the request rates that endpoints take from all routers together.
//
// Load pattern: an endpoint in need names a limit of one or two requests a second, while ten or three hundred routers send it
// requests, each only a few. None sees what the others send. So a few routers, selected for each endpoint by a hash that all
// compute alike, share the limit in equal parts, and each sends one request at a time at its part of the rate; the others use
// other endpoints. In any window the sum exceeds the limit by at most one request for each of them.
#pragma once

#include "state/types.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace roserail
{

class LimitShare
{
public:
    explicit LimitShare(std::string self)
        : m_self(std::move(self))
    {
    }
    // Sets the routers that accept requests; this router counts in any case.
    void setRouters(std::vector<std::string> routers);
    // Returns the number of routers, this one included.
    size_t routers() const
    {
        return std::max<size_t>(1, m_routers.size());
    }
    // Returns how many of an endpoint's slots are this router's share. `key` is the same at all routers; with it, the routers that have
    // none differ between endpoints.
    uint32_t ownSlots(uint32_t key, uint32_t slots) const;
    // Returns a time below `range` that differs between routers.
    Millis jitter(const std::string &endpoint, Millis range) const;
    // Returns when this router may send the endpoint its next request; Time::max() if other routers share the limit. If it is not
    // `confirmed`, no router has used the endpoint for a while, and the others have a small share as well.
    Time nextSendAt(const std::string &endpoint, double requestsPerSecond, bool confirmed) const;
    // Records a request that was sent to the endpoint, or that its limit was named, which counts as one. Forgets endpoints to
    // which nothing was sent for a while.
    void recordSend(const std::string &endpoint, Time now);

private:
    // Returns whether this router is among the `sharers` that are selected for the endpoint.
    bool selected(const std::string &endpoint, size_t sharers) const;

    std::string m_self;
    std::vector<std::string> m_routers; // sorted
    size_t m_position = 0; // of this router among them
    std::map<std::string, Time> m_sentAt; // the latest request, by endpoint
};

} // namespace roserail
