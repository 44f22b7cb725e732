// What callers may use of a process, derived from its settings: memory by purpose, and connections. Decides whose connection is broken
// off when either runs short.
//
// Load pattern: a crowd of callers sends large bodies or heads, stops just short of their end, or doesn't read its answers, and stays
// connected, while ordinary callers send and read at an ordinary rate.
#pragma once

#include "coordination/bufferquota.h"
#include "state/types.h"

#include <optional>
#include <vector>

namespace roserail
{

struct IngressBudget {
    // `memory`: that the process may use of its host. `descriptors`: that it may have open.
    IngressBudget(Bytes memory, uint32_t descriptors);

    // Returns the connections that a server may have which gets this share of the descriptors.
    size_t maxConnections(double descriptorShare) const
    {
        return size_t(double(descriptors) * descriptorShare);
    }

    BufferQuota buffers; // of all purposes below, but for `sockets`
    BufferQuota heads; // of requests, and input that has not been parsed yet
    BufferQuota bodies; // of requests: received so far, waiting for an endpoint, kept for another attempt
    BufferQuota answers; // of endpoints: until they are complete and their callers have taken them
    BufferQuota sockets; // bytes that have arrived and have not been read, beyond MinUnreadBytes of each connection
    BufferQuota messages; // calls of the internal protocol, until they have been answered
    uint32_t descriptors;
    size_t maxMessageBytes; // of one message of the internal protocol
};

// Returns how many bytes more than MinUnreadBytes may wait unread on a new connection: a fraction of what is left, so that connections of
// a crowd leave room for later ones.
size_t unreadBytesForConnection(const BufferQuota &sockets);

// What a connection has sent or read of its current request or answer.
struct Transfer {
    Time startedAt{};
    uint64_t bytes = 0;
};

// Returns whether the transfer is slower than that of any ordinary caller.
bool isStalled(const Transfer &transfer, Time now);

// Returns which of the transfers is broken off when room is short: of those that have stalled, the one with the lowest rate.
std::optional<size_t> slowestTransfer(const std::vector<Transfer> &transfers, Time now);

// Returns when the first of the transfers can be broken off; at least MinRetryAfter from now.
Millis roomExpectedIn(const std::vector<Transfer> &transfers, Time now);

} // namespace roserail
