#include "coordination/loadpriority.h"

#include "state/tunables.h"

#include <algorithm>
#include <tuple>

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

// A model that needs another engine.
struct Candidate {
    uint32_t priority = 0;
    bool late = false; // its first request is past its aim
    double wait = 0; // that the load ends: milliseconds, or multiples of the aim
    std::string model;
    bool operator<(const Candidate &other) const
    {
        return std::tie(priority, late, other.wait, model) < std::tie(other.priority, other.late, wait, other.model);
    }
};

Candidate candidateOf(const ModelDemand &demand, double wait)
{
    if (!demand.urgency)
        return Candidate{0, false, wait, demand.model};
    const bool late = demand.holders == 0 && demand.longestWait >= demand.urgency->aim;
    return Candidate{demand.urgency->priority, late, wait / double(demand.urgency->aim.count()), demand.model};
}

} // namespace

std::vector<std::string> modelsByLoadPriority(const std::vector<ModelDemand> &demands, uint32_t slots)
{
    std::vector<Candidate> rows;
    for (const ModelDemand &it : demands) {
        const double wait = waitSaved(it, slots);
        if (wait > 0)
            rows.push_back(candidateOf(it, wait));
    }
    std::sort(rows.begin(), rows.end());
    const auto begin = rows.begin();
    const auto patient = std::find_if(begin, rows.end(), [&](const Candidate &it) { return it.priority == rows.back().priority; });
    std::vector<std::string> models;
    for (auto urgent = begin, next = patient; urgent != patient || next != rows.end();) {
        const bool share = (models.size() + 1) % PatientLoadInterval == 0;
        const bool usePatient = urgent == patient || (share && next != rows.end());
        models.push_back(std::move((usePatient ? next++ : urgent++)->model));
    }
    return models;
}

} // namespace roserail
