#include "coordination/peerconnections.h"

#include "state/tunables.h"

#include <algorithm>
#include <utility>

namespace roserail
{

std::optional<size_t> leastUsedConnection(const std::vector<Transfer> &connections, Time now)
{
    using Order = std::pair<double, Time>; // bytes per ms, and the time of the connection
    const auto orderOf = [now](const Transfer &it) {
        return Order(double(it.bytes) / double(std::max<int64_t>(1, (now - it.startedAt).count())), it.startedAt);
    };
    std::optional<size_t> least;
    for (size_t i = 0; i < connections.size(); ++i) {
        const Transfer &it = connections[i];
        if (it.bytes > 0 && now - it.startedAt < tunables::TransferGrace)
            continue;
        if (!least || orderOf(it) < orderOf(connections[*least]))
            least = i;
    }
    return least;
}

} // namespace roserail
