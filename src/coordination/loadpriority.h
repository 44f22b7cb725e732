// Priority of models for loading when more are requested than engines can load at once.
//
// Load pattern: demand shifts to popular models, while rarely used ones receive single requests. Loads are the
// bottleneck, as an engine executes one order at a time, so models are ordered by the total wait time of their requests.
// Many requests whose callers disconnect after two seconds then don't queue behind single requests that have waited
// longer, and a single request isn't starved, since its total wait keeps growing.
//
// Load pattern: requests of different urgency share the engines, and a burst of the less urgent ones asks for many rarely used models.
// Models of more urgent requests come first, ordered by the wait in units of the aim, and those whose requests can still be answered within
// it before those that are late already. One in PatientLoadInterval goes to the least urgent ones, so that these are not starved.
#pragma once

#include "coordination/urgency.h"
#include "state/types.h"

#include <string>
#include <vector>

namespace roserail
{

// Demand for one model, summed over all routers.
struct ModelDemand {
    std::string model;
    uint32_t waiting = 0;
    uint32_t running = 0;
    Millis totalWait{0}; // sum over the waiting requests
    uint32_t holders = 0; // engines that have it loaded, or will have
    std::optional<Urgency> urgency{}; // of its most urgent request; none: the service is not shared by urgency
    Millis longestWait{0};
};

// Returns the models that need to be loaded on one more engine, highest priority first. An engine runs up to `slots`
// requests at once.
std::vector<std::string> modelsByLoadPriority(const std::vector<ModelDemand> &demands, uint32_t slots);

} // namespace roserail
