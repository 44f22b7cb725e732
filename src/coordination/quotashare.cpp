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
// The bucket holds at least some requests, also without a burst.
constexpr double MaxLeastBucketShare = 0.25; // of what it grants in a window
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
    const double least = quota.unit == QuotaUnit::Token ? MinBucketTokens : MinBucketRequests;
    return std::max(quota.burst + BucketShare * allowance(quota), std::min(least, MaxLeastBucketShare * granted(quota)));
}

double QuotaBounds::refillPerSecond(const Quota &quota) const
{
    return (granted(quota) - bucketSize(quota)) / double(window.count()) * 1000;
}

// A grant is used within its age: what is used in a window was granted in this longer time.
QuotaEnvelope QuotaBounds::envelope(const Quota &quota) const
{
    return {bucketSize(quota), refillPerSecond(quota), window + grantAge(quota)};
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
        const bool kept = known != m_buckets.end() && known->second.quota.unit == quota.unit;
        Bucket &bucket = buckets.emplace(it.first, kept ? known->second : Bucket(now)).first->second;
        if (kept)
            fill(bucket, now);
        else
            bucket.mostLeft = m_bounds.bucketSize(quota);
        bucket.quota = quota;
        fill(bucket, now);
    }
    m_buckets = std::move(buckets);
}

// Adds what the rate has allowed for since the last call.
void QuotaAllocator::fill(Bucket &bucket, Time now) const
{
    now = std::max(now, bucket.filledAt);
    const double units = m_bounds.refillPerSecond(bucket.quota) * double((now - bucket.filledAt).count()) / 1000;
    bucket.mostLeft = std::min(m_bounds.bucketSize(bucket.quota), bucket.mostLeft + units);
    bucket.level = bucket.window.left(m_bounds.envelope(bucket.quota), now);
    bucket.placesExpired += bucket.places.expire(now);
    bucket.filledAt = now;
}

void QuotaAllocator::grant(Bucket &bucket, double units, Time now) const
{
    bucket.window.add(units, m_bounds.envelope(bucket.quota), std::max(now, bucket.filledAt));
    bucket.level -= units;
    bucket.granted += units;
}

QuotaDecision QuotaAllocator::ask(const AccountId &account, const QuotaUse &use, Time now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end()) // the router's configuration is another one than this host's
        return {QuotaVerdict::Later, QuotaLaterInterval};
    Bucket &bucket = it->second;
    fill(bucket, now);
    // What is kept for those that come back is not for other requests.
    const bool returned = use.request && use.units <= bucket.level && bucket.places.claim(*use.request, now);
    const double reserved = returned ? 0 : bucket.places.reserved(m_bounds.refillPerSecond(bucket.quota), now);
    const bool known = bucket.window.complete(m_bounds.envelope(bucket.quota), now);
    const bool may = use.again || (!known && use.units + reserved <= bucket.mostLeft);
    const bool granted = use.units + reserved <= bucket.level;
    if (!use.again && (may || granted))
        bucket.mostLeft = std::max(0.0, bucket.mostLeft - use.units);
    bucket.placesKept += returned ? 1 : 0;
    if (granted) {
        grant(bucket, use.units, now);
        return {QuotaVerdict::Granted, Millis(0)};
    }
    if (!may)
        return deny(bucket, use, now);
    const Millis alone = timeFor(use.units - bucket.level, m_bounds.refillPerSecond(bucket.quota), MaxQuotaRetryTime);
    return {QuotaVerdict::Later, std::min(alone, QuotaLaterInterval)};
}

QuotaDecision QuotaAllocator::deny(Bucket &bucket, const QuotaUse &use, Time now) const
{
    bucket.denied += use.units;
    const double perSecond = m_bounds.refillPerSecond(bucket.quota);
    if (use.request) {
        const Time at = bucket.places.nextTime(use.units, bucket.level, perSecond, now);
        const bool placed = at <= now + use.longestWait;
        if (placed)
            bucket.places.add(*use.request, use.units, at);
        bucket.placesGiven += placed ? 1 : 0;
        return {QuotaVerdict::Denied, std::min(Millis(at - now), MaxQuotaRetryTime)};
    }
    // Those that were denied before come back first.
    const Time alone = now + timeFor(use.units - bucket.level, perSecond, MaxQuotaRetryTime);
    const Time queued = std::max(bucket.queueEnd, now) + timeFor(use.units, perSecond, MaxQuotaRetryTime);
    bucket.queueEnd = std::max(alone, std::min(queued, now + MaxQuotaRetryTime));
    return {QuotaVerdict::Denied, bucket.queueEnd - now};
}

double QuotaAllocator::refill(const AccountId &account, double wanted, Time now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end())
        return 0;
    Bucket &bucket = it->second;
    fill(bucket, now);
    const double reserved
        = ReservedShare * m_bounds.bucketSize(bucket.quota) + bucket.places.reserved(m_bounds.refillPerSecond(bucket.quota), now);
    const double units = std::clamp(wanted, 0.0, std::max(0.0, bucket.level - reserved));
    if (units <= 0)
        return 0;
    bucket.mostLeft = std::max(0.0, bucket.mostLeft - units);
    grant(bucket, units, now);
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

bool QuotaStock::mayAskAgain(const AccountId &account, Time now)
{
    const auto it = m_held.find(account);
    if (it == m_held.end())
        return true;
    Held &held = it->second;
    if (now >= held.askedUntil) {
        held.asked = 0;
        held.askedUntil = now + MaxQuotaPause;
    }
    return ++held.asked <= MaxQuotaAsksPerPause;
}

std::optional<double> QuotaStock::exceeds(const AccountId &account, double units) const
{
    const auto it = m_held.find(account);
    if (it == m_held.end() || units <= m_bounds.bucketSize(it->second.quota))
        return std::nullopt;
    return m_bounds.bucketSize(it->second.quota);
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
