// Errors as JSON, in the format that clients of the common chat API expect, and helpers for authentication tokens.
#pragma once

#include "state/errors.h"

#include <string>

namespace roserail
{

// Returns {"error": {"type", "message", "retry_after_ms"}}.
std::string errorBody(const Error &error);

// Returns the SHA-256 digest in lower-case hex.
std::string sha256Hex(const std::string &text);

// Compares in constant time, so that the duration does not reveal where the texts differ.
bool equalConstantTime(const std::string &a, const std::string &b);

// Returns the token of an "Authorization: Bearer" header; empty if there is none.
std::string bearerToken(const std::string &header);

} // namespace roserail
