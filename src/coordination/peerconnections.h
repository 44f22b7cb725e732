// Decides which connection of the internal protocol is closed when a new one arrives and no room is left.
//
// Load pattern: a crowd opens connections to a control host and sends nothing on them, or hardly anything, while control hosts and
// routers send calls all the time and open connections now and then.
#pragma once

#include "coordination/ingressbudget.h"

namespace roserail
{

// Of the descriptors of a process, for the internal protocol: 614 connections by default.
constexpr double PeersDescriptorShare = 0.45;

// Returns the oldest connection that has sent nothing, or else, of those older than TransferGrace, the one that has sent least for its age.
std::optional<size_t> leastUsedConnection(const std::vector<Transfer> &connections, Time now);

} // namespace roserail
