// Divides what client accounts may use between the routers.
//
// Load pattern: some 90 to 400 routers with a few requests a second each; a small account has a request at one of them in half a
// minute, and at times one account sends several times its limit through all of them. No router sees enough to know what an account
// uses, so the leading control host grants the units of each request from one bucket, and routers hold a small stock for cheap ones.
#pragma once

#include "coordination/quotaplaces.h"
#include "coordination/quotawindow.h"
#include "state/accounts.h"

#include <map>
#include <optional>

namespace roserail
{

// By how much the use of an account, over all routers and in any window, may exceed rate * window + burst.
struct QuotaBounds {
    Millis window{8000};
    double overshoot = 0.1; // share of rate * window + burst
    double slack = 0; // units
    bool operator==(const QuotaBounds &) const = default;

    // Returns the units by which the account may exceed its limit in a window.
    double allowance(const Quota &quota) const;
    // A share of the allowance: a grant may be used for as long as the account needs to be granted that much.
    Millis grantAge(const Quota &quota) const;
    // Another share: what all routers together may hold.
    double stock(const Quota &quota) const;
    // The bucket: it grants at most rate * window + burst in a window, and half of the allowance, so that requests whose order changed on
    // their way are not refused. What it granted before the window is forgotten: an account may use its burst in each window.
    double bucketSize(const Quota &quota) const;
    double refillPerSecond(const Quota &quota) const;
    QuotaEnvelope envelope(const Quota &quota) const;

private:
    double granted(const Quota &quota) const; // in a window, by the bucket
};

enum class QuotaVerdict {
    Granted,
    Later, // to be asked again: the account may be within its limit, which a new leader cannot tell yet
    Denied, // the account is over its limit
};

struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::Denied;
    Millis retryIn{0}; // until the account's rate has allowed for it, after what was denied before
};

// What one request asks for.
struct QuotaUse {
    double units = 0;
    bool again = false; // it was told to ask later
    std::optional<Fingerprint> request = std::nullopt; // the parts that are the same when its caller comes back
    Millis longestWait{0}; // its caller comes back after this time at the latest
};

// Token buckets of all accounts, at the leading control host for one term. They begin empty: an earlier leader may have granted
// whole bursts just before.
class QuotaAllocator
{
public:
    explicit QuotaAllocator(QuotaBounds bounds)
        : m_bounds(bounds)
    {
    }
    void setBounds(const QuotaBounds &bounds)
    {
        m_bounds = bounds;
    }
    // Replaces the accounts. Those that are new, or limited for the first time, begin with an empty bucket.
    void setAccounts(const Accounts &accounts, Time now);
    // Decides on a request. One that is denied and can wait until its turn gets a place: it is granted when it comes back then.
    QuotaDecision ask(const AccountId &account, const QuotaUse &use, Time now);
    // The same for a request that can't be recognized when it comes back.
    QuotaDecision ask(const AccountId &account, double units, bool again, Time now)
    {
        return ask(account, QuotaUse{units, again}, now);
    }
    // Returns the units for a router's stock, up to `wanted`. A part of the bucket is kept for requests that wait.
    double refill(const AccountId &account, double wanted, Time now);

    struct Bucket {
        explicit Bucket(Time beganAt)
            : window(beganAt)
            , filledAt(beganAt)
        {
        }
        Quota quota;
        QuotaWindow window;
        QuotaPlaces places;
        double level = 0; // units that may be granted at `filledAt`, also to those that come back
        // What the account may have left at most, given what was asked since the bucket began, while earlier grants are not known.
        double mostLeft = 0;
        Time filledAt{};
        Time queueEnd{}; // when the rate has allowed for all requests that were denied without a place
        double granted = 0; // units, since the term began
        double denied = 0;
        size_t placesGiven = 0;
        size_t placesKept = 0; // granted when they came back
        size_t placesExpired = 0; // not claimed in time
    };
    const std::map<AccountId, Bucket> &buckets() const
    {
        return m_buckets;
    }

private:
    void fill(Bucket &bucket, Time now) const;
    void grant(Bucket &bucket, double units, Time now) const;
    QuotaDecision deny(Bucket &bucket, const QuotaUse &use, Time now) const;

    QuotaBounds m_bounds;
    std::map<AccountId, Bucket> m_buckets; // of limited accounts
};

// What one router holds of each account, and which accounts are over their limit.
class QuotaStock
{
public:
    explicit QuotaStock(QuotaBounds bounds)
        : m_bounds(bounds)
    {
    }
    void setBounds(const QuotaBounds &bounds);
    // Replaces the accounts. Stocks shrink to what a lowered limit allows.
    void setAccounts(const Accounts &accounts);
    // Sets the number of routers that may hold stocks, as a control host listed them at `now`.
    void setRouters(size_t routers, Time now);
    // Takes a request's units from the stock. Returns false if it holds too few.
    bool take(const AccountId &account, double units, Time now);
    // Returns the units that the router should ask for, 0 while the stock is at least half full.
    double wanted(const AccountId &account, Time now) const;
    // Adds units that were granted for the stock to a request of `askedAt`. They are lost above the limit of the stock.
    void add(const AccountId &account, double units, Time askedAt, Time now);
    // Returns until when a grant may be used that was asked for at `askedAt`.
    Time usableUntil(const AccountId &account, Time askedAt) const;
    // Adds the units of a request that has not run, if its grant may still be used.
    void giveBack(const AccountId &account, double units, Time usableUntil, Time now);
    // Returns whether a request may be asked for although others were denied lately: some are, since their place may have come.
    bool mayAskAgain(const AccountId &account, Time now);
    // Returns the most units that a request of the account can ever use, if it needs more.
    std::optional<double> exceeds(const AccountId &account, double units) const;
    // Records that a request of so many units was denied.
    void recordDenied(const AccountId &account, double units, Millis retryIn, Time now);
    // Returns when a request of so many units can be served, if it must be refused now without being asked for. Those that are refused
    // after each other are told different times.
    std::optional<Time> refuse(const AccountId &account, double units, Time now);

    struct Held {
        Quota quota;
        double units = 0;
        double deniedUnits = 0; // of the smallest request that was denied lately
        Time deniedUntil{}; // no request of as many units is asked for before
        Time retryAt{}; // when the latest one that was denied can be served
        size_t asked = 0; // requests since the pause began
        Time askedUntil{}; // end of the pause
    };
    const std::map<AccountId, Held> &held() const
    {
        return m_held;
    }

private:
    double limit(const Held &held) const;
    bool confirmed(Time now) const;

    QuotaBounds m_bounds;
    size_t m_routers = 0; // 0: not known yet
    Time m_routersAt{};
    std::map<AccountId, Held> m_held; // limited accounts
};

} // namespace roserail
