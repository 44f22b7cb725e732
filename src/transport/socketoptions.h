// Options of TCP sockets.
#pragma once

#include "coordination/bufferquota.h"

namespace roserail
{

// Sets an option to an integer; without it the system's default holds.
void setSocketOption(int socket, int level, int name, int value);

// Sets the options of a connection: no delay, and keep-alive probes and a time-out that detect an unresponsive peer.
void configureConnection(int socket);

// Limits the unread bytes of a connection to the least that the budget keeps for each one.
void limitReceiveBuffer(int socket);

// Does so, and limits the bytes that wait to be sent as well, for all connections that a listening socket accepts.
void limitBuffersOfListener(int socket);

// Gives a connection a part of what the quota has left for bytes that have arrived and have not been read, once. For connections that carry
// more than a small request or answer.
void growSocketBuffers(int socket, BufferShare &unread);

} // namespace roserail
