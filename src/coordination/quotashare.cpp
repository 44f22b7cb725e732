#include "coordination/quotashare.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

// Shares of the allowance; their sum is at most 1.
constexpr double GrantAgeShare = 0.35;
constexpr double StockShare = 0.15;
constexpr double BucketShare = 0.5;
constexpr double KeptBurstShare = 0.25; // of the burst, in the bucket; the rest is spread over the window
constexpr double MaxSpreadBucketShare = 0.25; // of what the bucket grants in a window
// The bucket holds at least some requests.
constexpr double MinBucketTokens = 4096;
constexpr double MinBucketRequests = 2;
constexpr double ReservedShare = 0.5; // of a bucket, which stocks do not take

// Rounded up, so that the rate has surely allowed for the units by then.
Millis timeFor(double units, double perSecond, Millis longest)
{
    const double ms = std::max(0.0, units) / perSecond * 1000;
    return ms >= double(longest.count()) ? longest : Millis(int64_t(ms) + 1);
}

} // namespace

double QuotaBounds::allowance(const Quota &quota) const
{
    return overshoot * (quota.perSecond * double(window.count()) / 1000 + quota.burst) + slack;
}

Millis QuotaBounds::grantAge(const Quota &quota) const
{
    const double ms = GrantAgeShare * allowance(quota) / refillPerSecond(quota) * 1000;
    return Millis(int64_t(std::min(ms, double(MaxQuotaGrantAge.count()))));
}

double QuotaBounds::stock(const Quota &quota) const
{
    return StockShare * allowance(quota);
}

double QuotaBounds::bucketSize(const Quota &quota) const
{
    const double reserve = BucketShare * allowance(quota);
    const double least = quota.unit == QuotaUnit::Token ? MinBucketTokens : MinBucketRequests;
    const double most = std::max(quota.burst + reserve, MaxSpreadBucketShare * granted(quota));
    return std::min(std::max(KeptBurstShare * quota.burst + reserve, least), most);
}

double QuotaBounds::refillPerSecond(const Quota &quota) const
{
    return (granted(quota) - bucketSize(quota)) / double(window.count()) * 1000;
}

double QuotaBounds::granted(const Quota &quota) const
{
    return quota.perSecond * double(window.count()) / 1000 + quota.burst + BucketShare * allowance(quota);
}

void QuotaAllocator::setAccounts(const Accounts &accounts, Time now)
{
    std::map<AccountId, Bucket> buckets;
    for (const std::pair<const AccountId, Account> &it : accounts.all()) {
        const Quota &quota = it.second.quota;
        if (!quota.limited())
            continue;
        const auto known = m_buckets.find(it.first);
        Bucket &bucket = buckets[it.first];
        if (known != m_buckets.end() && known->second.quota.unit == quota.unit) {
            bucket = known->second;
            fill(bucket, now);
        } else {
            bucket.mostLeft = m_bounds.bucketSize(quota);
            bucket.filledAt = now;
        }
        bucket.quota = quota;
        fill(bucket, now);
    }
    m_buckets = std::move(buckets);
}

// Adds what the rate has allowed for since the last call.
void QuotaAllocator::fill(Bucket &bucket, Time now) const
{
    const double size = m_bounds.bucketSize(bucket.quota);
    const double units = m_bounds.refillPerSecond(bucket.quota) * double(std::max<int64_t>(0, (now - bucket.filledAt).count())) / 1000;
    bucket.level = std::min(size, bucket.level + units);
    bucket.mostLeft = std::min(size, bucket.mostLeft + units);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

QuotaDecision QuotaAllocator::ask(const AccountId &account, double units, bool again, Time now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end()) // the router's configuration is another one than this host's
        return {QuotaVerdict::Later, QuotaLaterInterval};
    Bucket &bucket = it->second;
    fill(bucket, now);
    const bool may = again || units <= bucket.mostLeft;
    if (!again && (may || units <= bucket.level))
        bucket.mostLeft = std::max(0.0, bucket.mostLeft - units);
    if (units <= bucket.level) {
        bucket.level -= units;
        bucket.granted += units;
        return {QuotaVerdict::Granted, Millis(0)};
    }
    const double perSecond = m_bounds.refillPerSecond(bucket.quota);
    const Time alone = now + timeFor(units - bucket.level, perSecond, MaxQuotaRetryTime);
    if (may)
        return {QuotaVerdict::Later, std::min<Millis>(alone - now, QuotaLaterInterval)};
    // Those that were denied before come back first.
    const Time queued = std::max(bucket.queueEnd, now) + timeFor(units, perSecond, MaxQuotaRetryTime);
    bucket.queueEnd = std::max(alone, std::min(queued, now + MaxQuotaRetryTime));
    bucket.denied += units;
    return {QuotaVerdict::Denied, bucket.queueEnd - now};
}

double QuotaAllocator::refill(const AccountId &account, double wanted, Time now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end())
        return 0;
    Bucket &bucket = it->second;
    fill(bucket, now);
    const double reserved = ReservedShare * m_bounds.bucketSize(bucket.quota);
    const double units = std::clamp(wanted, 0.0, std::max(0.0, bucket.level - reserved));
    bucket.level -= units;
    bucket.mostLeft = std::max(0.0, bucket.mostLeft - units);
    bucket.granted += units;
    return units;
}

void QuotaStock::setBounds(const QuotaBounds &bounds)
{
    m_bounds = bounds;
    for (std::pair<const AccountId, Held> &it : m_held)
        it.second.units = std::min(it.second.units, limit(it.second));
}

void QuotaStock::setAccounts(const Accounts &accounts)
{
    std::map<AccountId, Held> held;
    for (const std::pair<const AccountId, Account> &it : accounts.all()) {
        if (!it.second.quota.limited())
            continue;
        const auto known = m_held.find(it.first);
        Held &next = held[it.first];
        if (known != m_held.end() && known->second.quota.unit == it.second.quota.unit)
            next = known->second;
        // A raised limit takes effect at once.
        if (it.second.quota.perSecond > next.quota.perSecond || it.second.quota.burst > next.quota.burst)
            next.deniedUntil = Time();
        next.quota = it.second.quota;
        next.units = std::min(next.units, limit(next));
    }
    m_held = std::move(held);
}

void QuotaStock::setRouters(size_t routers, Time now)
{
    m_routers = routers;
    m_routersAt = now;
    for (std::pair<const AccountId, Held> &it : m_held)
        it.second.units = std::min(it.second.units, limit(it.second));
}

// Leaves room for routers that have joined and that this one has not heard of.
double QuotaStock::limit(const Held &held) const
{
    const double holders = double(m_routers) * QuotaRoutersMargin + 1;
    return m_routers == 0 ? 0 : m_bounds.stock(held.quota) / holders;
}

// While the number of routers is not confirmed, for example after a freeze, others may hold what this one held.
bool QuotaStock::confirmed(Time now) const
{
    return now <= m_routersAt + QuotaStockConfirmTime;
}

bool QuotaStock::take(const AccountId &account, double units, Time now)
{
    const auto it = m_held.find(account);
    if (it == m_held.end() || units > it->second.units || !confirmed(now))
        return false;
    it->second.units -= units;
    return true;
}

double QuotaStock::wanted(const AccountId &account, Time now) const
{
    const auto it = m_held.find(account);
    if (it == m_held.end() || !confirmed(now))
        return 0;
    const double most = limit(it->second);
    const bool useful = most >= std::max(1.0, it->second.quota.cost(std::nullopt));
    return useful && it->second.units < most / 2 ? most - it->second.units : 0;
}

Time QuotaStock::usableUntil(const AccountId &account, Time askedAt) const
{
    const auto it = m_held.find(account);
    return it == m_held.end() ? askedAt : askedAt + m_bounds.grantAge(it->second.quota);
}

void QuotaStock::add(const AccountId &account, double units, Time askedAt, Time now)
{
    giveBack(account, units, usableUntil(account, askedAt), now);
}

void QuotaStock::giveBack(const AccountId &account, double units, Time usableUntil, Time now)
{
    const auto it = m_held.find(account);
    if (it != m_held.end() && now <= usableUntil)
        it->second.units = std::max(it->second.units, std::min(it->second.units + units, limit(it->second)));
}

void QuotaStock::recordDenied(const AccountId &account, double units, Millis retryIn, Time now)
{
    const auto it = m_held.find(account);
    if (it == m_held.end())
        return;
    Held &held = it->second;
    held.deniedUnits = now < held.deniedUntil ? std::min(held.deniedUnits, units) : units;
    held.deniedUntil = now + std::min(retryIn, MaxQuotaPause);
    held.retryAt = now + retryIn;
}

std::optional<Time> QuotaStock::refuse(const AccountId &account, double units, Time now)
{
    const auto it = m_held.find(account);
    if (it == m_held.end() || now >= it->second.deniedUntil || units < it->second.deniedUnits)
        return std::nullopt;
    Held &held = it->second;
    const Time retryAt = held.retryAt;
    const Millis step = timeFor(units * double(std::max<size_t>(1, m_routers)), held.quota.perSecond, MaxQuotaRetryTime);
    held.retryAt = std::min(retryAt + step, now + MaxQuotaRetryTime);
    return retryAt;
}

} // namespace roserail
