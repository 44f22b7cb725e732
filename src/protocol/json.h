// Errors as JSON, in the shape that clients of the usual chat API expect.
#pragma once

#include "state/errors.h"

#include <string>

namespace roserail
{

// {"error": {"type", "message", "retry_after_ms"}}
std::string errorBody(const Error &error);

// Hex SHA-256, in lower case.
std::string sha256Hex(const std::string &text);

// Compares without telling by its duration where the texts differ.
bool equalConstantTime(const std::string &a, const std::string &b);

// The token of an "Authorization: Bearer" header; empty if there is none.
std::string bearerToken(const std::string &header);

} // namespace roserail
