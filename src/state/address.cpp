#include "state/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace roserail
{

SocketAddress splitAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    SocketAddress address;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    address.ip = text.substr(0, colon);
    if (address.ip.size() >= 2 && address.ip.front() == '[' && address.ip.back() == ']')
        address.ip = address.ip.substr(1, address.ip.size() - 2);
    return address;
}

bool isSocketAddress(const std::string &text)
{
    const SocketAddress address = splitAddress(text);
    in6_addr parsed{};
    const bool ip = ::inet_pton(AF_INET, address.ip.c_str(), &parsed) == 1 || ::inet_pton(AF_INET6, address.ip.c_str(), &parsed) == 1;
    return ip && address.port != 0;
}

} // namespace roserail
