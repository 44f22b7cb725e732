#include "coordination/bootstrap.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

struct SeedDisks {
    bool allKnown = true;
    std::vector<std::string> withDisk; // seeds with a disk, sorted by address
};

// Whether a seed has a disk never changes, so all hosts that know every seed get the same result.
SeedDisks seedDisks(const BootstrapView &view, const Registry &registry)
{
    SeedDisks result;
    std::vector<std::string> seeds = view.seeds;
    std::sort(seeds.begin(), seeds.end());
    for (const std::string &it : seeds) {
        const auto known = registry.keepers().find(it);
        result.allKnown &= known != registry.keepers().end();
        if (known != registry.keepers().end() && known->second.state.disk())
            result.withDisk.push_back(it);
    }
    return result;
}

std::string firstSeed(const BootstrapView &view)
{
    return *std::min_element(view.seeds.begin(), view.seeds.end());
}

} // namespace

std::vector<std::string> bootstrapMembers(const BootstrapView &view, const Registry &registry)
{
    if (!view.mayFound || !view.disk)
        return {};
    const SeedDisks seeds = seedDisks(view, registry);
    if (!seeds.allKnown)
        return {};
    if (std::find(seeds.withDisk.begin(), seeds.withDisk.end(), view.self) != seeds.withDisk.end())
        return seeds.withDisk;
    const auto first = registry.keepers().find(firstSeed(view));
    const bool chosen = seeds.withDisk.empty() && first->second.state.founder() == view.self;
    return chosen ? std::vector<std::string>{view.self} : std::vector<std::string>();
}

std::string chooseBootstrapHost(const BootstrapView &view, const Registry &registry, Time now)
{
    const bool first = firstSeed(view) == view.self;
    const SeedDisks seeds = seedDisks(view, registry);
    if (!first || !view.mayFound || !seeds.allKnown || !seeds.withDisk.empty() || now < view.startedAt + BootstrapDiscoveryTime)
        return "";
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        if (it.second.state.disk() && it.second.state.may_found())
            return it.first;
    }
    return "";
}

} // namespace roserail
