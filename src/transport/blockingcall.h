// Calls of an endpoint by threads that wait for the answer.
#pragma once

#include "transport/endpointpool.h"

namespace roserail
{

struct BlockingCall {
    std::optional<CallAnswer> answer;
    ErrorCode connectError; // set if no connection was established, so that no byte was sent
};

// Sends one request on a connection of its own to "host:port" and returns the complete answer, within the limits of callOnConnection.
BlockingCall callBlocking(const std::string &address, const std::string &method, const std::string &path,
                          const std::vector<HeaderField> &headers, const std::string &body, Millis connectTimeout, Millis timeout);

} // namespace roserail
