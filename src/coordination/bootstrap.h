// Who founds a new system: decided from facts that every control host sees the same, so that no two histories begin.
#pragma once

#include "coordination/registry.h"

#include <string>
#include <vector>

namespace roserail
{

struct BootstrapView {
    std::string self; // internal address
    std::vector<std::string> seeds; // internal addresses, the same on every host at the first start
    bool disk = false;
    bool mayFound = false;
    Time startedAt{};
};

// The first members, if this host is to found the system now: all seeds with a disk. If no seed has one, the host that
// the first seed names founds alone, and the others join it. Empty: not now, or not this host.
std::vector<std::string> bootstrapMembers(const BootstrapView &view, const Registry &registry);

// Whom the first seed names, if no seed has a disk: the first control host with one. Empty: nobody yet.
std::string chooseBootstrapHost(const BootstrapView &view, const Registry &registry, Time now);

} // namespace roserail
