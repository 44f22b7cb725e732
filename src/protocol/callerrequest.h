// Parses and checks input from callers: bodies of chat and completion requests, deadlines and idempotency keys.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <string>

namespace roserail
{

// Fields of a chat or completion request that are used for routing.
struct ModelRequest {
    std::string model;
    bool stream = false;
    uint64_t prefixHash = 0; // of the first bytes of the prompt; 0 if the prompt is empty
};

Result<ModelRequest> parseModelRequest(const std::string &body);

// Parses the time that the caller allows, the value of Roserail-Deadline-Ms. Returns `fallback` if it is empty.
Result<Millis> parseDeadline(const std::string &value, Millis fallback);

// Extracts the creation time in milliseconds from an idempotency key: a UUIDv7, or "<unix seconds>-<anything>".
Result<uint64_t> parseKeyTime(const std::string &key);

} // namespace roserail
