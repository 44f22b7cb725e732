// State of a process as JSON, for operators: GET /dump at the metrics address.
#pragma once

#include "coordination/registry.h"

#include <nlohmann/json.hpp>
#include <string>

namespace roserail
{

// Returns `process`, the state of the process itself, and all endpoints, routers and control hosts in its registry, each
// with the age of its last report.
std::string stateDump(nlohmann::json process, const Registry &registry, Time now);

} // namespace roserail
