// Addresses of the form "IP:PORT", as processes and endpoints state them.
#pragma once

#include <cstdint>
#include <string>

namespace roserail
{

// The parts of an address.
struct SocketAddress {
    std::string ip;
    uint16_t port = 0; // 0: the text is not an address
};

// Splits "IP:PORT" or "[IP]:PORT". The port must be a number from 1 to 65535, without anything before or behind it.
SocketAddress splitAddress(const std::string &text);

// Returns whether the text is an IP address and a port.
bool isSocketAddress(const std::string &text);

} // namespace roserail
