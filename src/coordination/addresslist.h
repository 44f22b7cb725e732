// Which routers a router names to callers that ask for addresses.
//
// Load pattern: more routers in an availability zone than one answer may name. Callers connect to those that they are told only, so
// that a router that no answer names gets none of them.
#pragma once

#include <string>
#include <vector>

namespace roserail
{

struct ListedRouter {
    std::string router;
    std::string address; // host:port for callers
    bool sameZone = false; // as the caller
};

// Returns the addresses of the routers in the caller's availability zone, or of all routers if the zone has too few, but no more than
// `most`. Each answering router (`self`) has a sample of its own, which changes with the routers only: callers give up connections to
// addresses that the next answer lacks.
std::vector<std::string> addressList(const std::string &self, std::vector<ListedRouter> routers, size_t most);

} // namespace roserail
