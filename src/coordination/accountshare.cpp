#include "coordination/accountshare.h"

#include "state/tunables.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

void addTo(pb::AccountUse &out, uint32_t endpoint, const AccountRequests &accounts)
{
    pb::EndpointAccounts &message = *out.add_endpoints();
    message.set_endpoint(endpoint);
    message.set_slots(accounts.slots);
    for (const std::pair<const uint32_t, uint32_t> &it : accounts.requests) {
        message.add_accounts(it.first);
        message.add_requests(it.second);
    }
}

} // namespace

AccountKey accountKey(const AccountId &account)
{
    return AccountKey(std::max(BeyondShare + 1, uint32_t(XXH3_64bits(account.value().data(), account.value().size()))));
}

std::optional<double> fairShare(std::vector<uint32_t> requests, uint32_t slots)
{
    if (std::accumulate(requests.begin(), requests.end(), uint64_t(0)) <= slots)
        return std::nullopt;
    std::sort(requests.begin(), requests.end());
    double left = slots;
    for (size_t i = 0; i < requests.size(); ++i) {
        const double share = left / double(requests.size() - i);
        if (requests[i] > share)
            return share;
        left -= requests[i];
    }
    return std::nullopt;
}

uint32_t AccountRequests::total() const
{
    return std::accumulate(requests.begin(), requests.end(), uint32_t(0),
                           [](uint32_t sum, const std::pair<const uint32_t, uint32_t> &it) { return sum + it.second; });
}

void AccountRequests::add(const pb::EndpointAccounts &message)
{
    for (int i = 0; i < std::min(message.accounts_size(), message.requests_size()); ++i)
        requests[message.accounts(i)] += std::min(message.requests(i), MaxEndpointUse);
    slots = std::max(slots, message.slots());
}

void SharedAccounts::setRouter(const std::string &router, const pb::AccountUse &use, Time now)
{
    m_routers[router] = Entry{use, now};
}

void SharedAccounts::setHost(const std::string &host, const pb::AccountUse &use, Time now)
{
    m_hosts[host] = Entry{use, now};
}

void SharedAccounts::expire(Time now)
{
    const auto expired = [now](const std::pair<const std::string, Entry> &it) {
        return now >= it.second.receivedAt + EndpointUseTtl;
    };
    std::erase_if(m_routers, expired);
    std::erase_if(m_hosts, expired);
}

// Adds the requests of all entries but one. Returns whether there is any that counts.
bool SharedAccounts::addTo(Sums &sums, const Entries &entries, const std::string &except, Time now)
{
    bool any = false;
    for (const std::pair<const std::string, Entry> &it : entries) {
        if (now >= it.second.receivedAt + EndpointUseTtl || it.first == except)
            continue;
        any = true;
        for (const pb::EndpointAccounts &endpoint : it.second.use.endpoints())
            sums[endpoint.endpoint()].add(endpoint);
    }
    return any;
}

std::optional<pb::AccountUse> SharedAccounts::ofRouters(Time now) const
{
    Sums sums;
    if (!addTo(sums, m_routers, "", now))
        return std::nullopt;
    pb::AccountUse out;
    for (const std::pair<const uint32_t, AccountRequests> &it : sums)
        roserail::addTo(out, it.first, it.second);
    return out;
}

std::optional<pb::AccountUse> SharedAccounts::ofOthers(const std::string &router, Time now) const
{
    Sums sums;
    const bool ofRouters = addTo(sums, m_routers, router, now);
    const bool ofHosts = addTo(sums, m_hosts, "", now);
    if (!ofRouters && !ofHosts)
        return std::nullopt;
    Sums own;
    const auto known = m_routers.find(router);
    if (known != m_routers.end())
        addTo(own, {*known}, "", now);
    pb::AccountUse out;
    for (const std::pair<const uint32_t, AccountRequests> &it : sums) {
        const AccountRequests &mine = own[it.first];
        const uint32_t slots = std::max(it.second.slots, mine.slots);
        if (it.second.total() + mine.total() >= slots)
            roserail::addTo(out, it.first, it.second);
    }
    return out;
}

void AccountLoad::started(EndpointKey endpoint, AccountKey account, bool farAbove, uint32_t slots)
{
    AccountRequests &own = m_own[endpoint.value()];
    ++own.requests[farAbove ? BeyondShare : account.value()];
    own.slots = slots;
    m_takesPart = true;
}

void AccountLoad::ended(EndpointKey endpoint, AccountKey account, bool farAbove)
{
    const auto own = m_own.find(endpoint.value());
    if (own == m_own.end())
        return;
    const auto it = own->second.requests.find(farAbove ? BeyondShare : account.value());
    if (it != own->second.requests.end() && --it->second == 0)
        own->second.requests.erase(it);
    if (own->second.requests.empty())
        m_own.erase(own);
}

void AccountLoad::addUse(pb::RouterState &state) const
{
    if (!m_takesPart)
        return;
    pb::AccountUse &use = *state.mutable_account_use();
    for (const std::pair<const uint32_t, AccountRequests> &it : m_own)
        addTo(use, it.first, it.second);
}

void AccountLoad::applyUse(const pb::AccountUse &use, Time now)
{
    m_others.clear();
    for (const pb::EndpointAccounts &it : use.endpoints())
        m_others[it.endpoint()].add(it);
    m_othersAt = now;
}

ShareUse AccountPosition::use() const
{
    const double deviation = share ? std::sqrt(*share) : 0; // of the number of requests that arrive at random
    if (!share || requests + 1 <= *share + deviation)
        return ShareUse::Within;
    return requests + 1 <= *share + ShareTolerance * deviation ? ShareUse::Above : ShareUse::FarAbove;
}

std::optional<FullEndpoint> AccountLoad::full(EndpointKey endpoint, Time now) const
{
    const auto others = m_others.find(endpoint.value());
    if (now >= m_othersAt + EndpointUseTtl || others == m_others.end())
        return std::nullopt;
    AccountRequests all = others->second;
    const auto own = m_own.find(endpoint.value());
    if (own != m_own.end())
        all.slots = std::max(all.slots, own->second.slots);
    const uint32_t requests = all.total() + (own == m_own.end() ? 0 : own->second.total());
    if (all.slots == 0 || requests < all.slots)
        return std::nullopt;
    return FullEndpoint{requests, all.slots, Millis(now - m_othersAt)};
}

AccountPosition AccountLoad::position(EndpointKey endpoint, AccountKey account, uint32_t slots, Time now) const
{
    AccountPosition result;
    std::map<uint32_t, uint32_t> requests;
    const auto add = [&](const std::map<uint32_t, AccountRequests> &known) {
        const auto found = known.find(endpoint.value());
        if (found == known.end())
            return;
        for (const std::pair<const uint32_t, uint32_t> &it : found->second.requests)
            requests[it.first] += it.second;
    };
    add(m_own);
    if (m_othersAt != Time())
        result.age = now - m_othersAt;
    if (m_othersAt != Time() && now < m_othersAt + EndpointUseTtl)
        add(m_others);
    requests.erase(BeyondShare);
    result.requests = requests[account.value()]++;
    std::vector<uint32_t> counts;
    for (const std::pair<const uint32_t, uint32_t> &it : requests)
        counts.push_back(it.second);
    result.share = fairShare(std::move(counts), slots);
    return result;
}

} // namespace roserail
