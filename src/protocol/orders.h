// Orders to model engines and announcements of endpoints, as JSON over HTTP (docs/ENGINES.md).
#pragma once

#include "state/errors.h"
#include "state/ledger.h"

#include "control.pb.h"

#include <string>

namespace roserail
{

// An order to an endpoint, numbered by its fencing token.
struct Order {
    SlotId slot;
    Fence fence;
    OrderKind kind = OrderKind::Load;
    EndpointId endpoint;
    uint64_t incarnation = 0;
    ArtifactId artifact;
    ArtifactId base;
    std::string version;
    Bytes bytes = 0;
};

std::string encodeOrder(const Order &order);

// Parses an announcement. Errors are BadRequest and name the field.
Result<pb::EndpointReport> parseAnnouncement(const std::string &body);

// Returns the sequence number in an endpoint's answer to an order; 0 if there is none.
uint64_t parseOrderAnswer(const std::string &body);

} // namespace roserail
