// Selection of one of the endpoints that can serve a request, in one pass over them.
//
// Load pattern: many routers with a few requests a second each. What they know of each other's requests is some tenths of a second old,
// so that all of them would choose the endpoint that was the least loaded then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roserail
{

struct EndpointCandidate {
    double costMs = 0; // expected time to the first byte plus the delay of other requests
    uint64_t rank = 0; // hash of the endpoint's id and the router's
    double freeSlots = 0; // expected; not above 0 if the endpoint is full
    bool ownSlotFree = false; // one of the slots that are this router's share, and the endpoint is not slow at the moment
    uint32_t cachedTokens = 0; // of the prompt
};

// Both return the index of the selected candidate; there must be one. `spread` varies between requests.

// Of the candidates of lowest cost a router uses PreferredEndpoints, in turn.
size_t selectInTurn(const std::vector<EndpointCandidate> &candidates, uint64_t spread);

// For endpoints whose speeds vary. A router uses the slots that are its share first: no other router takes these. Without one it compares
// a sample, drawn by the free slots that are expected, and the candidate that has most of the prompt in its cache.
size_t selectUneven(const std::vector<EndpointCandidate> &candidates, uint64_t spread);

} // namespace roserail
