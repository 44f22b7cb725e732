#include "coordination/loadpriority.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Returns the wait, in milliseconds, that loading the model on one more engine would end, or 0 if none is needed.
double waitSaved(const ModelDemand &demand, uint32_t slots)
{
    if (demand.holders == 0)
        return demand.waiting == 0 ? 0 : double(std::max(demand.totalWait, Millis(1)).count());
    const double excessRequests = double(demand.running + demand.waiting) - double(demand.holders) * slots * ScaleUpSlotShare;
    return std::max(0.0, excessRequests) * double(ExcessRequestWait.count());
}

} // namespace

std::vector<std::string> modelsByLoadPriority(const std::vector<ModelDemand> &demands, uint32_t slots)
{
    std::vector<std::pair<double, std::string>> rows;
    for (const ModelDemand &it : demands) {
        const double wait = waitSaved(it, slots);
        if (wait > 0)
            rows.emplace_back(-wait, it.model);
    }
    std::sort(rows.begin(), rows.end());
    std::vector<std::string> models;
    for (std::pair<double, std::string> &it : rows)
        models.push_back(std::move(it.second));
    return models;
}

} // namespace roserail
