#include "state/accounts.h"

#include <algorithm>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace roserail
{

namespace
{

// Returns whether a header can hold the text unchanged.
bool isHeaderValue(std::string_view text)
{
    const auto isControl = [](unsigned char c) {
        return c < 0x20 || c == 0x7f;
    };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace

ApiKeyDigest digestOf(std::string_view apiKey)
{
    ApiKeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(apiKey.data()), apiKey.size(), digest.data());
    return digest;
}

Result<void> Accounts::add(Account account)
{
    if (!isHeaderValue(account.id.value()))
        return Error{ErrorKind::InvalidDocument,
                     "the name of a client account is empty, has a control character, or a space at an end; choose another name", 0};
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

const Account *Accounts::findByKey(const ApiKeyDigest &key) const
{
    const auto it = m_holders.lower_bound(key);
    const bool found = it != m_holders.end() && CRYPTO_memcmp(it->first.data(), key.data(), key.size()) == 0;
    return found ? &m_accounts.at(it->second) : nullptr;
}

const Account *Accounts::find(const AccountId &id) const
{
    const auto it = m_accounts.find(id);
    return it == m_accounts.end() ? nullptr : &it->second;
}

} // namespace roserail
