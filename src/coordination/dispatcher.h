// A router's queue and choice of endpoint for one pool. Every admitted request leaves it exactly once: granted an
// endpoint, or refused.
#pragma once

#include "coordination/retry.h"
#include "state/document.h"
#include "state/errors.h"

#include "control.pb.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace roserail
{

using TicketId = Id<struct TicketTag, uint64_t>;

// A request that waits for an endpoint.
struct QueuedRequest {
    TicketId ticket;
    CallerId caller;
    std::string target; // artifact or service
    bool service = false;
    RequestClass requestClass = RequestClass::Interactive;
    Time deadline{};
    uint64_t prefixHash = 0; // 0: no preference
    std::set<EndpointId> avoid; // endpoints that failed it; used again only if no other serves
    Millis loadTime{0}; // of the artifact, from the document
    bool replicaAllowed = true; // false: the document allows no replica
};

struct Grant {
    TicketId ticket;
    EndpointId endpoint;
    uint64_t incarnation = 0;
    std::string address;
};

struct Refusal {
    TicketId ticket;
    Error error;
};

struct Decisions {
    std::vector<Grant> grants;
    std::vector<Refusal> refusals;
};

class Dispatcher
{
public:
    explicit Dispatcher(std::string pool);

    // Takes a request, or says at once why it cannot be answered in time.
    Result<void> admit(QueuedRequest request, Time now);
    // An attempt on an endpoint ended. `took` is its service time, if it completed.
    void finish(const Grant &grant, const QueuedRequest &request, AttemptEnd end, Millis took, Time now);
    void setEndpoint(const pb::DirectoryEntry &entry);
    void setEstimate(const pb::LoadEstimate &estimate, Time now);
    void setLease(Time until);
    // Grants what can run and refuses what cannot be answered in time.
    Decisions decide(Time now);
    // What waits and runs, for the control leader. Includes what was used since the last call.
    std::vector<pb::Demand> takeDemands(Time now);

    const std::string &pool() const
    {
        return m_pool;
    }
    size_t queueLength() const
    {
        return m_queue.size();
    }

private:
    struct Endpoint {
        pb::DirectoryEntry entry;
        uint32_t running = 0; // granted by this router
        uint32_t runningOvernight = 0;
        std::map<std::string, Time> refusedUntil; // targets that it has just refused
    };
    struct Estimate {
        Time readyAt{};
        Time validUntil{};
        bool placeable = true;
    };
    // What is known of one artifact or service at this router.
    struct Target {
        uint32_t running = 0;
        double serviceMs = 0; // moving average
        Time lastUse{};
        bool usedSinceReport = false;
        std::optional<Estimate> estimate;
    };

    bool serves(const Endpoint &endpoint, const QueuedRequest &request) const;
    bool hasRoom(const Endpoint &endpoint, const QueuedRequest &request) const;
    // The endpoint to grant now, if there is one.
    Endpoint *choose(const QueuedRequest &request, Time now);
    uint32_t capacityFor(const QueuedRequest &request) const;
    uint32_t requestsAhead(const QueuedRequest &request) const;
    std::optional<Error> refusalReason(const QueuedRequest &request, Time now) const;
    std::vector<size_t> schedulingOrder() const;

    std::string m_pool;
    Time m_leaseUntil{};
    std::vector<QueuedRequest> m_queue;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<std::string, Target> m_targets;
    std::map<CallerId, uint32_t> m_runningByCaller;
};

} // namespace roserail
