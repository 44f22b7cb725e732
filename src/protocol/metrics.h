// Counters and histograms, and their text format for /metrics.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace roserail
{

class Counter
{
public:
    void add(uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    void set(uint64_t n)
    {
        m_value.store(n, std::memory_order_relaxed);
    }
    uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<uint64_t> m_value{0};
};

// Counts values in logarithmic buckets, eight to each power of two: at most 12.5% relative error.
class Histogram
{
public:
    void record(uint64_t value);
    uint64_t count() const;
    double sum() const;
    // Returns the upper bound of the bucket that contains the q-quantile, 0 <= q <= 1; 0 if no value was recorded.
    uint64_t quantile(double q) const;

private:
    static constexpr size_t Buckets = 64 * 8;
    std::array<std::atomic<uint64_t>, Buckets> m_buckets{};
    std::atomic<uint64_t> m_sum{0};
};

// All metrics of a process by name. A name may include labels: `requests_total{outcome="ok"}`.
class Metrics
{
public:
    Counter &counter(const std::string &name);
    Histogram &histogram(const std::string &name);
    // Returns the metrics in the Prometheus text format; histograms appear as quantiles, count and sum.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

// Returns the metrics of this process.
Metrics &metrics();

} // namespace roserail
