// The configuration that is replaced as a whole: general HTTP routes to services, the capacities of their
// engines, and client accounts.
#pragma once

#include "state/accounts.h"
#include "state/errors.h"
#include "state/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace roserail
{

using ServiceId = Id<struct ServiceTag>;

// Whether a request that may have run may be sent again.
enum class RetryPolicy {
    Always, // idempotent
    Never, // a request runs at most once
    Resume, // a stream is resumed after the last event that was forwarded
};

// A service and its share of a route's requests.
struct WeightedService {
    ServiceId service;
    uint32_t weight = 0;
};

// Matches requests for a host whose path begins with a prefix.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RetryPolicy retryPolicy = RetryPolicy::Never;
    bool stream = false; // the answer is a stream of events
    Millis timeout{0}; // until the complete answer
    Millis latencyTarget{0}; // for the first byte of an answer
    Millis gapTarget{0}; // for the pauses between events of a stream; 0: none
    Millis abandonTimeout{0}; // callers close a stream that has no event for this long; 0: at their deadline
    uint32_t priority = 0; // 0 is the most urgent
    uint32_t attempts = 1; // endpoints to which one request may be sent
    bool prefixAffinity = false; // requests carry identifiers of the parts of their prompts
    bool anonymous = false; // requests need no API key
    std::vector<WeightedService> services;
};

// A model that an engine can load.
struct ModelSpec {
    std::string name;
    double megabytes = 0;
    Millis storeLoadTime{0}; // from the weight store
    Millis memoryLoadTime{0}; // from a copy in the host's memory
    Millis diskLoadTime{0}; // from a copy on the host's disk
    uint32_t adapters = 0;
    double adapterMegabytes = 0;
};

// What the model engines of a service have in common.
struct EngineSpec {
    uint32_t slots = 0; // maximum requests in one batch
    uint64_t cacheTokens = 0; // capacity of the cache for prompts and running requests
    double megabytes = 0; // memory for weights and adapters
    uint32_t adapterSlots = 0;
    double storeLoadsPerSecond = 0; // over all endpoints
    std::map<std::string, ModelSpec> models; // by name
};

struct ServiceSpec {
    ServiceId id;
    std::string healthPath;
    uint32_t maxConnections = 0; // accepted by one endpoint, from all callers
    bool hasEngine = false;
    EngineSpec engine;
};

// Limits on the size and duration of requests on a caller's connection.
struct IngressLimits {
    uint32_t maxHeaderBytes = 16u << 10;
    uint64_t maxBodyBytes = 4u << 20;
    Millis headerTimeout{3000};
    Millis idleTimeout{15000};
};

struct RouteTable {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceSpec> services;
    IngressLimits limits;
    std::optional<Accounts> accounts; // none: requests need no API key on any route

    // Returns the route of the host with the longest matching prefix, or null.
    const Route *match(const std::string &host, const std::string &path) const;
    const ServiceSpec *service(const ServiceId &id) const;
};

// Validates references, uniqueness and values. Errors are InvalidDocument.
Result<void> checkRoutes(const RouteTable &table);

} // namespace roserail
