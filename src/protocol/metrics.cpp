#include "protocol/metrics.h"

#include <bit>
#include <fmt/format.h>

namespace roserail
{

namespace
{

constexpr unsigned SubBucketBits = 3; // eight buckets to each power of two

size_t bucketOf(uint64_t value)
{
    if (value < (1u << SubBucketBits))
        return size_t(value);
    const unsigned exponent = unsigned(std::bit_width(value)) - 1;
    const uint64_t sub = (value >> (exponent - SubBucketBits)) & ((1u << SubBucketBits) - 1);
    return size_t((exponent - SubBucketBits + 1) << SubBucketBits) + size_t(sub);
}

uint64_t upperBound(size_t bucket)
{
    if (bucket < (1u << SubBucketBits))
        return bucket;
    const unsigned exponent = unsigned(bucket >> SubBucketBits) + SubBucketBits - 1;
    const uint64_t sub = (bucket & ((1u << SubBucketBits) - 1)) + (1u << SubBucketBits);
    return ((sub + 1) << (exponent - SubBucketBits)) - 1;
}

// Adds a suffix and a label to a name that may already include labels.
std::string withLabel(const std::string &name, const std::string &suffix, const std::string &label)
{
    const size_t brace = name.find('{');
    if (brace == std::string::npos)
        return label.empty() ? name + suffix : fmt::format("{}{}{{{}}}", name, suffix, label);
    const std::string labels = name.substr(brace + 1, name.size() - brace - 2);
    return fmt::format("{}{}{{{}{}{}}}", name.substr(0, brace), suffix, labels, label.empty() ? "" : ",", label);
}

} // namespace

void Histogram::record(uint64_t value)
{
    m_buckets[std::min(bucketOf(value), Buckets - 1)].fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

uint64_t Histogram::count() const
{
    uint64_t n = 0;
    for (const std::atomic<uint64_t> &it : m_buckets)
        n += it.load(std::memory_order_relaxed);
    return n;
}

double Histogram::sum() const
{
    return double(m_sum.load(std::memory_order_relaxed));
}

uint64_t Histogram::quantile(double q) const
{
    const uint64_t n = count();
    if (n == 0)
        return 0;
    const uint64_t rank = std::min(n - 1, uint64_t(q * double(n)));
    uint64_t seen = 0;
    for (size_t i = 0; i < Buckets; ++i) {
        seen += m_buckets[i].load(std::memory_order_relaxed);
        if (seen > rank)
            return upperBound(i);
    }
    return upperBound(Buckets - 1);
}

Counter &Metrics::counter(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Counter> &it = m_counters[name];
    if (!it)
        it = std::make_unique<Counter>();
    return *it;
}

Histogram &Metrics::histogram(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Histogram> &it = m_histograms[name];
    if (!it)
        it = std::make_unique<Histogram>();
    return *it;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const std::pair<const std::string, std::unique_ptr<Counter>> &it : m_counters)
        out += fmt::format("{} {}\n", it.first, it.second->value());
    for (const std::pair<const std::string, std::unique_ptr<Histogram>> &it : m_histograms) {
        for (const double q : {0.5, 0.95, 0.99})
            out += fmt::format("{} {}\n", withLabel(it.first, "", fmt::format("quantile=\"{}\"", q)), it.second->quantile(q));
        out += fmt::format("{} {}\n", withLabel(it.first, "_count", ""), it.second->count());
        out += fmt::format("{} {}\n", withLabel(it.first, "_sum", ""), it.second->sum());
    }
    return out;
}

Metrics &metrics()
{
    static Metrics instance;
    return instance;
}

} // namespace roserail
