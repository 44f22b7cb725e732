// How urgent requests are, and what the more urgent ones may take from others when engines' memory for models is short.
//
// Load pattern: requests with an aim of half a second concentrate on few models, while requests with an aim of seconds ask for many rarely
// used ones. Single requests for those keep engines from making room for another holder of a busy model, whose requests queue in the
// engines that hold it, although most engines are nearly idle.
#pragma once

#include "state/routes.h"

#include <map>
#include <optional>

namespace roserail
{

// How urgent a request is: the smaller, the more urgent.
struct Urgency {
    uint32_t priority = 0; // 0 is the most urgent
    Millis aim{0}; // from the request's arrival to the first byte of its answer
    auto operator<=>(const Urgency &) const = default;
};

// Returns the urgency of a route's requests, or nothing if the service is not shared by urgency: that takes client accounts, and routes of
// different priorities that lead to it.
std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route, const ServiceId &service, uint32_t priority);

// The urgencies of the requests in progress for one model or adapter at a router.
class UrgencyCount
{
public:
    void add(const std::optional<Urgency> &urgency);
    void remove(const std::optional<Urgency> &urgency);
    std::optional<Urgency> mostUrgent() const
    {
        return m_requests.empty() ? std::nullopt : std::optional(m_requests.begin()->first);
    }

private:
    std::map<Urgency, uint32_t> m_requests;
};

constexpr uint32_t LastAdmissionRank = 9;
// Returns the rank by which an endpoint admits a request among those that wait for a slot: by priority, and after those of the same
// priority that can still be answered within their aim if this one cannot.
uint32_t admissionRank(const Urgency &urgency, Millis waited);

// The use of a model that would be evicted for another one.
struct VictimUse {
    Urgency urgency; // of its most urgent request
    uint32_t running = 0;
    uint32_t waiting = 0;
    Millis reloadTime{0}; // from a copy, with the unload of another model
};

// Returns whether a model in use may be evicted for a more urgent one though no other engine serves its requests: the running ones end
// first, and the next one can still be answered within its aim after a reload.
bool mayDisplace(const Urgency &urgency, const VictimUse &victim);

// Returns whether a model in use is spared though other engines could serve its requests: its requests are more urgent, and those that ask
// for its place have not waited for half of their aim.
bool isSpared(const Urgency &victim, const Urgency &urgency, Millis longestWait);

} // namespace roserail
