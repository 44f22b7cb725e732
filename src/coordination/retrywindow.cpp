#include "coordination/retrywindow.h"

namespace roserail
{

RetryWindow::RetryWindow(Millis window)
    : m_span(window / BucketsPerWindow)
{
}

RetryWindow::Bucket &RetryWindow::bucket(Time now)
{
    const int64_t number = now.time_since_epoch() / m_span;
    Bucket &current = m_buckets[size_t(number % Buckets)];
    if (current.number != number)
        current = Bucket{number, 0, 0};
    return current;
}

void RetryWindow::requestStarted(Time now)
{
    ++bucket(now).requests;
}

void RetryWindow::retryStarted(Time now)
{
    ++bucket(now).retries;
}

uint32_t RetryWindow::sum(Time now, int64_t buckets, uint32_t Bucket::*count) const
{
    const int64_t current = now.time_since_epoch() / m_span;
    uint32_t n = 0;
    for (const Bucket &it : m_buckets)
        n += it.number > current - buckets ? it.*count : 0;
    return n;
}

uint32_t RetryWindow::requests(Time now) const
{
    return sum(now, BucketsPerWindow, &Bucket::requests);
}

uint32_t RetryWindow::retries(Time now) const
{
    return sum(now, Buckets, &Bucket::retries);
}

RetryLimits::RetryLimits(double ratio, Millis window, std::optional<Time> restartedAt)
    : m_ratio(ratio)
    , m_window(window)
    , m_slackFrom(restartedAt ? *restartedAt + window : Time())
{
}

void RetryLimits::setShare(double slack, size_t routers)
{
    m_share = slack / double(routers + 1); // one more may have joined that this router has not heard of
}

void RetryLimits::requestStarted(const ServiceId &service, Time now)
{
    m_services.try_emplace(service, m_window).first->second.requestStarted(now);
}

bool RetryLimits::tryRetry(const ServiceId &service, Time now)
{
    const Usage window = usage(service, now);
    if (window.used + 1 > window.allowed)
        return false;
    m_services.try_emplace(service, m_window).first->second.retryStarted(now);
    return true;
}

RetryLimits::Usage RetryLimits::usage(const ServiceId &service, Time now) const
{
    Usage usage{0, now < m_slackFrom ? 0 : m_share};
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return usage;
    usage.used = it->second.retries(now);
    usage.allowed += m_ratio * it->second.requests(now);
    return usage;
}

RetryLimits::Usage RetryLimits::totalUsage(Time now) const
{
    Usage total;
    for (const std::pair<const ServiceId, RetryWindow> &it : m_services) {
        const Usage service = usage(it.first, now);
        total.used += service.used;
        total.allowed += service.allowed;
    }
    return total;
}

} // namespace roserail
