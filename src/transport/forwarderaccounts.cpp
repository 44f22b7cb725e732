// Client accounts in Forwarder: which account a request belongs to, and whether its API key is still in use.
#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

namespace roserail
{

using namespace tunables;

AccountId Forwarder::accountId(const Request &request)
{
    return request.account == nullptr ? AccountId("") : request.account->id;
}

// Sets the account of the request if its route needs an API key. Returns the refusal and its status if there is none. A router that
// passes a request on has checked the key and sends the account's name instead.
std::optional<std::pair<Error, unsigned>> Forwarder::identifyAccount(Request &request) const
{
    if (!request.table->accounts || request.route->anonymous)
        return std::nullopt;
    const std::string_view name = m_codec.apiKeyHeader();
    const std::string_view account = request.relayedFrom.empty() ? "" : request.caller.header(RelayAccount);
    const std::string_view key = request.caller.header(name);
    const size_t keys = request.caller.request().count(boost::beast::string_view(name.data(), name.size()));
    if (!account.empty()) {
        request.account = request.table->accounts->find(AccountId(std::string(account)));
    } else if (keys == 1 && !key.empty()) {
        request.apiKey = digestOf(key);
        request.account = request.table->accounts->findByKey(*request.apiKey);
    }
    if (request.account != nullptr)
        return std::nullopt;
    std::string_view cause = keys > 1 ? "the request has several API keys" : "no client account has the API key";
    if (account.empty() && key.empty())
        cause = "the request has no API key";
    return std::pair(Error{ErrorKind::Unauthorized, fmt::format("{}; send one key of a client account in the header {}", cause, name), 0},
                     401);
}

// Returns whether a newer configuration has taken away the key of a request that was not sent to an endpoint yet. A key that has moved to
// another account is not: the request belongs to the account that held its key when it arrived.
bool Forwarder::keyTakenAway(const Request &request) const
{
    if (request.account == nullptr || request.progress.sends > 0 || m_table == request.table || !m_table->accounts)
        return false;
    return request.apiKey ? m_table->accounts->findByKey(*request.apiKey) == nullptr
                          : m_table->accounts->find(request.account->id) == nullptr;
}

} // namespace roserail
