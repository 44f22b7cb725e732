// Limits the retries of one router in a sliding window, so that those of all routers together stay within a share of the
// requests plus a fixed number, the slack.
//
// Load pattern: endpoints reject or interrupt many requests at once while routers restart, join and leave. A router knows
// neither what the others spend nor what it spent itself before a restart: each spends its share of the slack at most, and
// none of it in the first window after a restart.
#pragma once

#include "state/routes.h"

#include <array>
#include <map>
#include <optional>

namespace roserail
{

// Retries and requests of one service.
class RetryWindow
{
public:
    explicit RetryWindow(Millis window);
    void requestStarted(Time now);
    void retryStarted(Time now);
    // Returns the requests that started within less than the last window.
    uint32_t requests(Time now) const;
    // Returns the retries that started within more than the last window.
    uint32_t retries(Time now) const;

private:
    static constexpr int64_t BucketsPerWindow = 20;
    // The oldest bucket is partly outside the window: its retries count, its requests don't.
    static constexpr int64_t Buckets = BucketsPerWindow + 1;
    struct Bucket {
        int64_t number = -1; // index of its time span since the clock's epoch
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    Bucket &bucket(Time now);
    // Returns the sum of a count over the latest `buckets`.
    uint32_t sum(Time now, int64_t buckets, uint32_t Bucket::*count) const;

    Millis m_span;
    std::array<Bucket, size_t(Buckets)> m_buckets;
};

// The limits of one router, for each service by itself.
class RetryLimits
{
public:
    // `restartedAt`: start of this process, unless no earlier one on its host can have spent from the slack.
    RetryLimits(double ratio, Millis window, std::optional<Time> restartedAt);
    void setRatio(double ratio)
    {
        m_ratio = ratio;
    }
    // Sets this router's share of the slack, equal for all of `routers`, those that may have spent from theirs within the
    // last window included.
    void setShare(double slack, size_t routers);
    void requestStarted(const ServiceId &service, Time now);
    bool tryRetry(const ServiceId &service, Time now);
    struct Usage {
        double used = 0;
        double allowed = 0;
    };
    // Returns the retries used and allowed in the window that ends at `now`.
    Usage usage(const ServiceId &service, Time now) const;
    // Returns the sums over all services.
    Usage totalUsage(Time now) const;

private:
    double m_ratio;
    Millis m_window;
    Time m_slackFrom{}; // none of the slack is used earlier
    double m_share = 0;
    std::map<ServiceId, RetryWindow> m_services;
};

} // namespace roserail
