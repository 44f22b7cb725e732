#include "coordination/addresslist.h"

#include "state/rendezvous.h"
#include "state/tunables.h"

#include <algorithm>
#include <functional>

namespace roserail
{

using namespace tunables;

std::vector<std::string> addressList(const std::string &self, std::vector<ListedRouter> routers, size_t most)
{
    const auto sameZone = [](const ListedRouter &it) {
        return it.sameZone;
    };
    if (size_t(std::count_if(routers.begin(), routers.end(), sameZone)) >= MinZoneAddresses)
        std::erase_if(routers, std::not_fn(sameZone));
    if (routers.size() > most) {
        std::sort(routers.begin(), routers.end(), [&self](const ListedRouter &a, const ListedRouter &b) {
            return rendezvousRank(self, a.router) < rendezvousRank(self, b.router);
        });
        routers.resize(most);
    }
    std::vector<std::string> addresses;
    for (const ListedRouter &it : routers)
        addresses.push_back(it.address);
    return addresses;
}

} // namespace roserail
