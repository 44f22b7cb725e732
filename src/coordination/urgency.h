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
};

// Returns the urgency of a request with `priority` on a route, or nothing if the service is not shared by urgency: that takes client
// accounts, and routes of different priorities that lead to it.
std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route, const ServiceId &service, uint32_t priority);

constexpr uint32_t LastAdmissionRank = 9;
// Returns the rank by which an endpoint admits a request among those that wait for a slot: by priority, and after those of the same
// priority that can still be answered within their aim if this one cannot.
uint32_t admissionRank(const Urgency &urgency, Millis waited);

} // namespace roserail
