// Client accounts: which API keys they use, how urgent their requests are, and how much they may use.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace roserail
{

using AccountId = Id<struct AccountTag>;
// SHA-256 of an API key. The key itself is not kept.
using ApiKeyDigest = std::array<uint8_t, 32>;

ApiKeyDigest digestOf(std::string_view apiKey);

// What a quota counts.
enum class QuotaUnit {
    Request,
    Token, // of the prompt, and the most that the answer may have
};

// How much the requests of an account may use, over all routers: a token bucket.
struct Quota {
    QuotaUnit unit = QuotaUnit::Request;
    double perSecond = 0; // 0: unlimited
    double burst = 0;
    uint32_t plainTokens = 0; // of a request that states no number of tokens
    bool limited() const
    {
        return perSecond > 0;
    }
    // Returns the units that a request uses. `tokens`: as stated by the request; none if it states no number.
    double cost(std::optional<uint64_t> tokens) const
    {
        return unit == QuotaUnit::Request ? 1 : double(tokens.value_or(plainTokens));
    }
};

struct Account {
    AccountId id;
    std::optional<uint32_t> priority; // replaces that of the route
    Quota quota;
    std::set<ApiKeyDigest> keys;
};

// The accounts of a configuration.
class Accounts
{
public:
    // Adds an account. Errors are InvalidDocument: its name can't be sent in a header, or another account has it or one of its keys.
    Result<void> add(Account account);
    // Returns the account that holds the key, or null.
    const Account *findByKey(const ApiKeyDigest &key) const;
    const Account *find(const AccountId &id) const;
    const std::map<AccountId, Account> &all() const
    {
        return m_accounts;
    }

private:
    std::map<AccountId, Account> m_accounts;
    std::map<ApiKeyDigest, AccountId> m_holders;
};

} // namespace roserail
