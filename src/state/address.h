// Addresses of the form "HOST:PORT", as settings, processes and endpoints state them.
#pragma once

#include "state/errors.h"

#include <string>

namespace roserail
{

// Splits "host:port".
struct HostPort {
    std::string host;
    int port = 0;
};
// The port must be a number from 1 to 65535, without anything before or behind it. Errors are BadRequest.
Result<HostPort> parseHostPort(const std::string &text);

// Returns whether the text is an IP address and a port.
bool isSocketAddress(const std::string &text);

} // namespace roserail
