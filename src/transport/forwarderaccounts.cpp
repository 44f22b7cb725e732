// Client accounts in Forwarder: which account a request belongs to, and whether its API key is still in use.
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

namespace
{

// Returns the text as it may stand in a label of a metric.
std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (const char it : text) {
        if (it == '"' || it == '\\')
            escaped += '\\';
        escaped += it;
    }
    return escaped;
}

} // namespace

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
    if (request.relayedFrom.empty() && m_keysValidFor && monotonicNow() - m_newestAt > *m_keysValidFor)
        return std::pair(Error{ErrorKind::Unavailable,
                               "this host can't tell whether the API key is still in use; not run, use another host",
                               RetryAfterBusy.count()},
                         503);
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

// Returns whether the connection comes from the host of the router that the request names as its sender.
bool Forwarder::isFromRouter(const CallerConnection &caller) const
{
    ErrorCode ec;
    const tcp::endpoint peer = caller.socket().remote_endpoint(ec);
    return !ec && m_peers != nullptr && m_peers->isAt(std::string(caller.header(RelayedFrom)), peer.address().to_string());
}

// Counts a request by its account. Accounts beyond the limit, which come and go with configurations, share a counter.
void Forwarder::countByAccount(const Request &request, std::string_view outcome) const
{
    if (request.account == nullptr)
        return;
    const AccountId &id = request.account->id;
    const bool counted
        = m_countedAccounts.count(id) != 0 || (m_countedAccounts.size() < MaxCountedAccounts && m_countedAccounts.insert(id).second);
    metrics()
        .counter(fmt::format("roserail_account_requests_total{{account=\"{}\",outcome=\"{}\"}}",
                             counted ? escapeLabel(id.value()) : "(other)", outcome))
        .add();
}

} // namespace roserail
