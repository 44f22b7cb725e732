// What a process believes, as JSON, for operators: GET /dump at the address of the metrics.
#pragma once

#include "coordination/registry.h"

#include <nlohmann/json.hpp>
#include <string>

namespace roserail
{

// `process`: what the process tells of itself. Beside it stand all endpoints, routers and control hosts that it has heard
// of, with the time since.
std::string stateDump(nlohmann::json process, const Registry &registry, Time now);

} // namespace roserail
