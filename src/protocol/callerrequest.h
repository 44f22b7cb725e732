// Checks what callers send: bodies of chat and completion requests, deadlines and idempotency keys.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <string>

namespace roserail
{

// What roserail needs of a chat or completion request.
struct ModelRequest {
    std::string model;
    bool stream = false;
    uint64_t prefixHash = 0; // of the beginning of the prompt
};

Result<ModelRequest> parseModelRequest(const std::string &body);

// Time that the caller allows, from the value of Roserail-Deadline-Ms; the fallback if it is empty.
Result<Millis> parseDeadline(const std::string &value, Millis fallback);

// Creation time in milliseconds that an idempotency key carries: a UUIDv7, or "<unix seconds>-<anything>".
Result<uint64_t> parseKeyTime(const std::string &key);

} // namespace roserail
