#include "state/accounts.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace roserail
{

ApiKeyDigest digestOf(std::string_view apiKey)
{
    ApiKeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(apiKey.data()), apiKey.size(), digest.data());
    return digest;
}

Result<void> Accounts::add(Account account)
{
    if (m_accounts.count(account.id) != 0)
        return Error{ErrorKind::InvalidDocument,
                     fmt::format("client account '{}' is listed twice; merge the two entries", account.id.value()), 0};
    for (const ApiKeyDigest &it : account.keys) {
        const auto holder = m_holders.find(it);
        if (holder != m_holders.end())
            return Error{ErrorKind::InvalidDocument,
                         fmt::format("client accounts '{}' and '{}' share an API key; give each its own", holder->second.value(),
                                     account.id.value()),
                         0};
    }
    for (const ApiKeyDigest &it : account.keys)
        m_holders.emplace(it, account.id);
    m_accounts.emplace(account.id, std::move(account));
    return boost::outcome_v2::success();
}

const Account *Accounts::findByKey(std::string_view apiKey) const
{
    const ApiKeyDigest digest = digestOf(apiKey);
    const auto it = m_holders.lower_bound(digest);
    const bool found = it != m_holders.end() && CRYPTO_memcmp(it->first.data(), digest.data(), digest.size()) == 0;
    return found ? &m_accounts.at(it->second) : nullptr;
}

const Account *Accounts::find(const AccountId &id) const
{
    const auto it = m_accounts.find(id);
    return it == m_accounts.end() ? nullptr : &it->second;
}

} // namespace roserail
