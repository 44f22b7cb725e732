// Selects the first voters of a new cluster. The choice depends only on facts on which all control hosts agree, so that
// no two of them start separate replicated logs.
#pragma once

#include "coordination/registry.h"

#include <string>
#include <vector>

namespace roserail
{

// What one control host knows when it decides whether to bootstrap the cluster.
struct BootstrapView {
    std::string self; // internal address
    std::vector<std::string> seeds; // internal addresses, the same on every host at the first start
    bool disk = false;
    bool mayFound = false; // the settings allow this host to bootstrap
    Time startedAt{};
};

// Returns the first members if this host is to bootstrap the cluster now: all seeds with a disk. If no seed has a disk,
// the host that the first seed has chosen bootstraps alone, and the others join it. Empty: not now, or not this host.
std::vector<std::string> bootstrapMembers(const BootstrapView &view, const Registry &registry);

// Returns the host that the first seed chooses if no seed has a disk: the first control host with one, by address.
// Empty: none is chosen yet, or the choice is not up to this host.
std::string chooseBootstrapHost(const BootstrapView &view, const Registry &registry, Time now);

} // namespace roserail
