// Addresses on loopback for tests that use sockets directly.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

namespace roserail::test
{

// Returns 127.0.0.1 with the port; 0: any free port.
inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace roserail::test
