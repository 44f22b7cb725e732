#include "transport/socketoptions.h"

#include "coordination/ingressbudget.h"
#include "state/tunables.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace roserail
{

using namespace tunables;

namespace
{

// As much again may wait in a buffer, since the system doubles it for its own data.
void setBuffer(int socket, int option, size_t bytes)
{
    setSocketOption(socket, SOL_SOCKET, option, int(bytes / 2));
}

} // namespace

void setSocketOption(int socket, int level, int name, int value)
{
    ::setsockopt(socket, level, name, &value, sizeof value);
}

void configureConnection(int socket)
{
    setSocketOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, TcpKeepAliveIdleSeconds);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, TcpKeepAliveIntervalSeconds);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPCNT, TcpKeepAliveProbes);
    setSocketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, int(TcpUserTimeout.count()));
}

void limitReceiveBuffer(int socket)
{
    setBuffer(socket, SO_RCVBUF, MinUnreadBytes);
}

void limitBuffersOfListener(int socket)
{
    limitReceiveBuffer(socket);
    setBuffer(socket, SO_SNDBUF, MinUnsentBytes);
}

void growSocketBuffers(int socket, BufferShare &unread)
{
    if (unread.bytes() > 0)
        return;
    const size_t more = unreadBytesForConnection(unread.quota());
    if (more == 0 || !unread.resize(more, more))
        return;
    setBuffer(socket, SO_RCVBUF, MinUnreadBytes + more);
    setBuffer(socket, SO_SNDBUF, std::max(MinUnsentBytes, MinUnreadBytes + more));
}

} // namespace roserail
