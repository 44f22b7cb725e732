// Decides whether a request is refused because it would wait for a slot until its caller leaves.
//
// Load pattern: a model is requested more often than the few engines that hold it can serve, for some seconds. Their queues grow to
// several times their slots, and the requests at the end are run for nobody: the caller has left. A request that is refused at once can
// come back when there is room.
#pragma once

#include "state/routes.h"

#include <map>
#include <optional>
#include <vector>

namespace roserail
{

// Requests of all routers on an endpoint without a free slot.
struct FullEndpoint {
    uint32_t requests = 0;
    uint32_t slots = 1;
    Millis age{0}; // since that was known
};

// Mean time for which requests of a service use a slot.
class SlotTimes
{
public:
    // `took`: from the first event to the end of an answer.
    void record(const ServiceId &service, Millis took);
    // Returns nothing before MinSlotTimes requests have ended.
    std::optional<Millis> mean(const ServiceId &service) const;

private:
    struct Mean {
        double ms = 0;
        uint32_t samples = 0;
    };
    std::map<ServiceId, Mean> m_means;
};

// Returns the expected wait for a slot of a request that is admitted after all that the endpoint has.
Millis slotWait(const FullEndpoint &endpoint, Millis slotTime);

// Returns when the caller leaves if nothing has been answered.
Time callerLeavesAt(const Route &route, Time arrived, Time deadline);

// Returns when to retry if the request would get a slot of none of the endpoints before `leavesAt`, else nothing.
std::optional<Millis> retryDelayForSlots(const std::vector<FullEndpoint> &endpoints, Millis slotTime, Time leavesAt, Time now);

} // namespace roserail
