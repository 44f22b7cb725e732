// A configuration that is replaced as a whole: general HTTP routes to services, and what their engines can hold.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <map>
#include <string>
#include <vector>

namespace roserail
{

using ServiceId = Id<struct ServiceTag>;

// What may be done again with a request that may have run.
enum class RetryPolicy {
    Always, // idempotent
    Never, // at most one run for each request
    Resume, // a stream that goes on after the last event that was passed on
};

// A service and its share of a route's requests.
struct WeightedService {
    ServiceId service;
    uint32_t weight = 0;
};

// Requests for a host whose path begins with a prefix.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RetryPolicy retryPolicy = RetryPolicy::Never;
    bool stream = false; // the answer is a series of events
    Millis timeout{0}; // longest time until the final answer
    Millis latencyTarget{0}; // time until the first byte of an answer in time
    Millis gapTarget{0}; // longest pause between events of an answer in time; 0: none
    Millis abandonTimeout{0}; // callers of a stream leave when nothing came for so long; 0: at their deadline
    uint32_t priority = 0; // 0 is the most urgent
    uint32_t attempts = 1; // endpoints that one request may be sent to
    bool prefixAffinity = false; // requests name the parts of their prompts
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
    uint32_t slots = 0; // requests of one batch
    uint64_t cacheTokens = 0; // memory for prompts and running requests
    double megabytes = 0; // memory for weights and adapters
    uint32_t adapterSlots = 0;
    double storeLoadsPerSecond = 0; // over all endpoints
    std::map<std::string, ModelSpec> models; // by name
};

struct ServiceSpec {
    ServiceId id;
    std::string healthPath;
    uint32_t maxConnections = 0; // that one endpoint accepts from all callers
    bool hasEngine = false;
    EngineSpec engine;
};

// What a caller's connection may send, and how long it may take.
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

    // The route of the host with the longest prefix of the path, or nothing.
    const Route *match(const std::string &host, const std::string &path) const;
    const ServiceSpec *service(const ServiceId &id) const;
};

// Checks references, uniqueness and values. Errors are InvalidDocument.
Result<void> checkRoutes(const RouteTable &table);

} // namespace roserail
