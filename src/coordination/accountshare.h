// Fair shares of an endpoint's slots among client accounts.
//
// Load pattern: one account sends many times its usual through many routers, each of which sees few requests of any account. The engines
// that hold its models have no free slot, and admit in the order of arrival: requests of other accounts wait behind its own. So each
// router tells its control host what each account has in progress on each endpoint, and learns what the others have. An account may use
// its max-min share of the slots; what it has in progress beyond that takes only room that no other account asks for.
#pragma once

#include "coordination/endpointuse.h"
#include "coordination/slotwait.h"
#include "coordination/urgency.h"
#include "state/accounts.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace roserail
{

// A hash that identifies a client account; never BeyondShare.
using AccountKey = Id<struct AccountKeyTag, uint32_t>;
AccountKey accountKey(const AccountId &account);
// Stands for the account of requests that were sent as far above their account's share. They don't count in the shares.
constexpr uint32_t BeyondShare = 0;

// Returns the most requests that an account may have on an endpoint if `slots` are divided max-min fairly among accounts with these
// numbers of requests; nothing if there is room for all.
std::optional<double> fairShare(std::vector<uint32_t> requests, uint32_t slots);

// Requests in progress by account, on one endpoint.
struct AccountRequests {
    std::map<uint32_t, uint32_t> requests; // by AccountKey, or BeyondShare
    uint32_t slots = 0; // 0: not known
    uint32_t total() const;
    void add(const pb::EndpointAccounts &message);
};

// What a control host knows of the accounts' requests in progress.
class SharedAccounts
{
public:
    // Records the requests of a router that polls this host.
    void setRouter(const std::string &router, const pb::AccountUse &use, Time now);
    // Records the requests of the routers that poll another control host.
    void setHost(const std::string &host, const pb::AccountUse &use, Time now);
    // Returns the requests of the routers that poll this host; nothing if none takes part.
    std::optional<pb::AccountUse> ofRouters(Time now) const;
    // Returns the requests of all routers but one, on endpoints without a free slot; nothing if no other takes part.
    std::optional<pb::AccountUse> ofOthers(const std::string &router, Time now) const;
    // Removes what was received too long ago.
    void expire(Time now);

private:
    struct Entry {
        pb::AccountUse use;
        Time receivedAt{};
    };
    using Entries = std::map<std::string, Entry>;
    using Sums = std::map<uint32_t, AccountRequests>; // by EndpointKey
    static bool addTo(Sums &sums, const Entries &entries, const std::string &except, Time now);

    Entries m_routers;
    Entries m_hosts;
};

// The position of an account on an endpoint, for the log.
struct AccountPosition {
    uint32_t requests = 0; // of the account, in progress, without those that were sent as far above its share
    std::optional<double> share; // the most it may have; none: there is room for all, as far as this router knows
    Millis age{-1}; // of what other routers said; negative: nothing is known
    // Returns how much the account uses with one more request.
    ShareUse use() const;
    bool farAbove() const
    {
        return use() == ShareUse::FarAbove;
    }
};

// What a router knows of the accounts' requests in progress: its own, and those of other routers.
class AccountLoad
{
public:
    // Records a request that is sent to an endpoint, or has ended.
    void started(EndpointKey endpoint, AccountKey account, bool farAbove, uint32_t slots);
    void ended(EndpointKey endpoint, AccountKey account, bool farAbove);
    // Adds this router's requests to its state, if it has sent any that counts.
    void addUse(pb::RouterState &state) const;
    // Sets the requests of all other routers.
    void applyUse(const pb::AccountUse &use, Time now);
    // Returns the requests of all accounts on an endpoint, unless it has a free slot or that is not known.
    std::optional<FullEndpoint> full(EndpointKey endpoint, Time now) const;
    AccountPosition position(EndpointKey endpoint, AccountKey account, uint32_t slots, Time now) const;

private:
    std::map<uint32_t, AccountRequests> m_own; // by EndpointKey
    std::map<uint32_t, AccountRequests> m_others;
    Time m_othersAt{}; // before the first: never
    bool m_takesPart = false;
};

} // namespace roserail
