// A router's request queue and endpoint selection for one pool. Every admitted request leaves the queue exactly once:
// either it is granted an endpoint or it is refused.
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
    std::string target; // name of an artifact or a service
    bool service = false; // the target is a service
    RequestClass requestClass = RequestClass::Interactive;
    Time deadline{};
    uint64_t prefixHash = 0; // of the prompt's prefix; 0: no preferred endpoint
    std::set<EndpointId> avoid; // endpoints of failed attempts; used again only if no other serves the target
    Millis loadTime{0}; // of the artifact, from the document
    bool replicaAllowed = true; // false: the document allows no replica of the target
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

    // Queues a request, or returns why it cannot be answered in time.
    Result<void> admit(QueuedRequest request, Time now);
    // Records the end of an attempt on an endpoint. `serviceTime` is used only if it completed.
    void finish(const Grant &grant, const QueuedRequest &request, AttemptEnd end, Millis serviceTime, Time now);
    void setEndpoint(const pb::DirectoryEntry &entry);
    // Sets the control leader's estimate of when an artifact is loaded.
    void setEstimate(const pb::LoadEstimate &estimate, Time now);
    // Sets the end of this router's lease; without a lease, nothing is granted.
    void setLease(Time until);
    // Grants requests that can run now and refuses those that cannot be answered in time.
    Decisions decide(Time now);
    // Returns running and waiting requests per target, for the control leader. Includes targets that were requested since
    // the last call, even if nothing of them runs or waits now.
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
        std::map<std::string, Time> refusedUntil; // end of the cooldown after a refusal, by target
    };
    struct Estimate {
        Time readyAt{};
        Time validUntil{};
        bool placeable = true;
    };
    // This router's statistics of one artifact or service.
    struct Target {
        uint32_t running = 0;
        double serviceMs = 0; // moving average of the service time
        Time lastUse{};
        bool usedSinceReport = false;
        std::optional<Estimate> estimate;
    };

    // Returns whether the endpoint is listed and offers the target, regardless of its load.
    bool serves(const Endpoint &endpoint, const QueuedRequest &request) const;
    bool hasRoom(const Endpoint &endpoint, const QueuedRequest &request) const;
    // Returns the endpoint to grant now, or nullptr.
    Endpoint *choose(const QueuedRequest &request, Time now);
    uint32_t capacityFor(const QueuedRequest &request) const;
    // Returns the number of queued requests for the same target that have a higher class or an earlier deadline.
    uint32_t requestsAhead(const QueuedRequest &request) const;
    std::optional<Error> refusalReason(const QueuedRequest &request, Time now) const;
    // Returns indexes of m_queue in the order in which requests are granted.
    std::vector<size_t> schedulingOrder() const;

    std::string m_pool;
    Time m_leaseUntil{};
    std::vector<QueuedRequest> m_queue;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<std::string, Target> m_targets;
    std::map<CallerId, uint32_t> m_runningByCaller;
};

} // namespace roserail
