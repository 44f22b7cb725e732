// How urgent requests are, and in which order endpoints admit them when they have no free slot.
//
// Load pattern: requests with an aim of half a second and requests with an aim of seconds share engines. Some models are held by few
// engines, which have more requests than slots, and an engine admits them in the order of arrival unless it is told otherwise. Each router
// sends only few of them, so that none can order them.
#pragma once

#include "state/routes.h"

#include <optional>

namespace roserail
{

struct Urgency {
    uint32_t priority = 0; // 0 is the most urgent
    Millis aim{0}; // from the request's arrival to the first byte of its answer
    uint32_t level = 0; // position of the priority among those of the service's requests
    uint32_t levels = 1; // number of these
};

// Returns the urgency of a request with `priority` on a route, or nothing if the service is not shared by urgency: that takes client
// accounts, and routes of different priorities that lead to it.
std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route, const ServiceId &service, uint32_t priority);

// The order of requests of one priority.
enum class AdmissionStep {
    InTime, // the request can still be answered within its aim
    Late, // or its account uses more than its share of the endpoint
    OverShare // its account uses far more than its share
};

// How much an account uses of its share of an endpoint.
enum class ShareUse {
    Within,
    Above, // as may happen by chance, since requests arrive at random
    FarAbove
};

AdmissionStep admissionStep(const Urgency &urgency, Millis waited, ShareUse use);

constexpr uint32_t LastAdmissionRank = 9;
// Returns the rank by which an endpoint admits a request among those that wait for a slot: by priority, then by step, as far as there are
// ranks for the steps of all priorities.
uint32_t admissionRank(const Urgency &urgency, AdmissionStep step);

} // namespace roserail
