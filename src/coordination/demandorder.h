// The order in which models get a place in engines while more are wanted than engines can load at once.
//
// Load pattern: demand moves to models that many callers ask for, while rare ones are asked for one by one. Loads are
// the scarce means (an engine carries out one order at a time), so the model comes first whose load ends most waiting:
// the sum of the waits of its requests. A crowd that gives up after two seconds then isn't kept behind single requests
// that wait for long, and a single request's sum grows until its turn comes.
#pragma once

#include "state/types.h"

#include <string>
#include <vector>

namespace roserail
{

// One model's demand, over all routers.
struct ModelDemand {
    std::string model;
    uint32_t waiting = 0;
    uint32_t running = 0;
    Millis totalWait{0}; // sum over the requests that wait
    uint32_t holders = 0; // engines that hold it
};

// The models that want one more holder, most pressing first. `slots`: requests that one engine runs at once.
std::vector<std::string> demandOrder(const std::vector<ModelDemand> &demands, uint32_t slots);

} // namespace roserail
