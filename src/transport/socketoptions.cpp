#include "transport/socketoptions.h"

#include "coordination/ingressbudget.h"
#include "state/tunables.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace roserail
{

using namespace tunables;

namespace
{

// As much again may wait in a receive buffer, since the system doubles it for its own data.
void setBuffers(int socket, size_t unreadBytes)
{
    setSocketOption(socket, SOL_SOCKET, SO_RCVBUF, int(unreadBytes / 2));
    setSocketOption(socket, SOL_SOCKET, SO_SNDBUF, int(unreadBytes / 2));
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

void limitSocketBuffers(int socket)
{
    setBuffers(socket, MinUnreadBytes);
}

void growSocketBuffers(int socket, BufferShare &unread)
{
    const size_t more = unreadBytesForConnection(unread.quota());
    if (unread.resize(more, more))
        setBuffers(socket, MinUnreadBytes + more);
}

} // namespace roserail
