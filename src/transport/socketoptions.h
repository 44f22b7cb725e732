// Options of TCP sockets.
#pragma once

#include "coordination/bufferquota.h"

namespace roserail
{

// Sets an option to an integer; without it the system's default holds.
void setSocketOption(int socket, int level, int name, int value);

// Sets the options of a connection: no delay, and keep-alive probes and a time-out that detect an unresponsive peer.
void configureConnection(int socket);

// Limits what may wait in the kernel on a connection, in each direction, to the least that the budget keeps for each one. Connections
// inherit it from their listening socket.
void limitSocketBuffers(int socket);

// Gives a connection a part of what the quota has left for bytes that have arrived and have not been read.
void growSocketBuffers(int socket, BufferShare &unread);

} // namespace roserail
