#include "state/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace roserail
{

Result<HostPort> parseHostPort(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return Error{ErrorKind::BadRequest, fmt::format("'{}' is not host:port", text)};
    uint16_t port = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return Error{ErrorKind::BadRequest, fmt::format("'{}' has no port from 1 to 65535", text)};
    return HostPort{text.substr(0, colon), port};
}

bool isSocketAddress(const std::string &text)
{
    const Result<HostPort> parts = parseHostPort(text);
    if (parts.has_error())
        return false;
    in6_addr ip{};
    const char *host = parts.value().host.c_str();
    return ::inet_pton(AF_INET, host, &ip) == 1 || ::inet_pton(AF_INET6, host, &ip) == 1;
}

} // namespace roserail
