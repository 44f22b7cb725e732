#include "coordination/endpointselection.h"

#include "state/tunables.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr double ClearlyLowerCost = 0.8; // relative to another sampled endpoint; what is known of their loads is no more precise
constexpr double SampleBaseCostMs = 20; // so that an idle endpoint is not drawn by all routers
constexpr double NearlyFullEndpointWeight = 1e-3; // sampled only if the others are nearly full as well
constexpr double FullEndpointWeight = 1e-6; // sampled only if all others are full

// The `limit` candidates of lowest key, in ascending order.
template <typename Key, size_t N>
class Lowest
{
public:
    explicit Lowest(size_t limit = N)
        : m_limit(limit)
    {
    }
    void add(Key key, size_t index)
    {
        if (m_size == m_limit && !(key < m_entries[m_size - 1].key))
            return;
        size_t at = m_size < m_limit ? m_size++ : m_size - 1;
        for (; at > 0 && key < m_entries[at - 1].key; --at)
            m_entries[at] = m_entries[at - 1];
        m_entries[at] = Entry{key, index};
    }
    void clear()
    {
        m_size = 0;
    }
    size_t size() const
    {
        return m_size;
    }
    size_t operator[](size_t i) const
    {
        return m_entries[i].index;
    }

private:
    struct Entry {
        Key key{};
        size_t index = 0;
    };
    std::array<Entry, N> m_entries{};
    size_t m_limit;
    size_t m_size = 0;
};

// Returns a key by which a candidate is among the lowest the more often, over routers and requests, the higher its weight is. A router's
// requests use PreferredEndpoints different ones in turn.
double sampleKey(const EndpointCandidate &candidate, uint64_t spread)
{
    uint64_t hash = (candidate.rank ^ (spread % PreferredEndpoints)) * 0x9e3779b97f4a7c15ull;
    hash ^= hash >> 32;
    const double uniform = (double(hash >> 11) + 1) / double(1ull << 53);
    const bool full = candidate.freeSlots <= 0 || candidate.costMs >= FailedEndpointCostMs;
    // The other slots' routers take some of these meanwhile.
    const double room = std::max(candidate.freeSlots - 1, 0.0);
    const double weight = room * room / (candidate.costMs + SampleBaseCostMs);
    return -std::log(uniform) / (full ? FullEndpointWeight : std::max(weight, NearlyFullEndpointWeight));
}

} // namespace

size_t selectInTurn(const std::vector<EndpointCandidate> &candidates, uint64_t spread)
{
    Lowest<uint64_t, PreferredEndpoints> preferred;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (preferred.size() > 0 && candidates[i].costMs > candidates[preferred[0]].costMs)
            continue;
        if (preferred.size() > 0 && candidates[i].costMs < candidates[preferred[0]].costMs)
            preferred.clear();
        preferred.add(candidates[i].rank, i);
    }
    return preferred[spread % preferred.size()];
}

size_t selectUneven(const std::vector<EndpointCandidate> &candidates, uint64_t spread)
{
    const size_t samples = std::clamp<size_t>(candidates.size() - 1, 2, SampledEndpoints);
    Lowest<double, SampledEndpoints> sample(samples);
    Lowest<double, 1> own;
    size_t mostCached = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const EndpointCandidate &it = candidates[i];
        const double key = sampleKey(it, spread);
        sample.add(key, i);
        if (it.ownSlotFree && it.freeSlots > 0 && it.costMs < FailedEndpointCostMs)
            own.add(key, i);
        if (it.cachedTokens > candidates[mostCached].cachedTokens)
            mostCached = i;
    }
    size_t best = sample[0];
    for (size_t n = 1; n < sample.size(); ++n) {
        if (candidates[sample[n]].costMs < ClearlyLowerCost * candidates[best].costMs)
            best = sample[n];
    }
    if (own.size() > 0)
        best = own[0];
    const EndpointCandidate &cached = candidates[mostCached];
    const bool useCached
        = cached.cachedTokens > candidates[best].cachedTokens && cached.freeSlots > 0 && cached.costMs < candidates[best].costMs;
    return useCached ? mostCached : best;
}

} // namespace roserail
