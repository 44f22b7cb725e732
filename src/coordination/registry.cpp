#include "coordination/registry.h"

#include "state/tunables.h"

#include <algorithm>
#include <set>

namespace roserail
{

using namespace tunables;

namespace
{

// An announcement without what changes at every heartbeat and without what routers don't use.
pb::Announcement visible(const pb::Announcement &announcement)
{
    pb::Announcement result = announcement;
    result.clear_sequence();
    result.clear_age_ms();
    result.clear_in_memory();
    result.clear_on_disk();
    return result;
}

pb::RouterState visible(const pb::RouterState &state)
{
    pb::RouterState result = state;
    result.clear_sequence();
    result.clear_age_ms();
    result.clear_demands();
    return result;
}

template <typename Message>
bool sameForRouters(const Message &a, const Message &b)
{
    return visible(a).SerializeAsString() == visible(b).SerializeAsString();
}

uint64_t ageMs(Time heardAt, Time now)
{
    return uint64_t(std::max<int64_t>(0, (now - heardAt).count()));
}

} // namespace

const google::protobuf::RepeatedPtrField<pb::HeldModel> &LiveEndpoint::models() const
{
    const bool ordered = !holdings.endpoint().empty() && holdings.born_ms() == announcement.born_ms();
    return ordered ? holdings.models() : announcement.models();
}

std::string_view stateName(const pb::Announcement &announcement)
{
    if (announcement.gone())
        return "gone";
    if (announcement.lost())
        return "lost";
    return announcement.leaving() ? "leaving" : "ready";
}

Registry::Registry(Lifetimes lifetimes, Time startedAt)
    : m_lifetimes(lifetimes)
    , m_startedAt(startedAt)
{
}

template <typename Entry>
void Registry::touch(Entry &entry, bool visible, Time now)
{
    entry.version = ++m_version;
    if (visible)
        entry.visibleVersion = m_version;
    if (!visible && now < entry.spreadAt + LivenessRelayInterval)
        return;
    entry.spreadVersion = m_version;
    entry.spreadAt = now;
}

bool Registry::take(const pb::Announcement &announcement, Time heardAt)
{
    LiveEndpoint &known = m_endpoints[announcement.endpoint()];
    const bool first = known.version == 0;
    const bool sameLife = !first && announcement.born_ms() == known.announcement.born_ms();
    if (!first && announcement.born_ms() < known.announcement.born_ms())
        return false;
    // The end of a life is final: a heartbeat that was on its way doesn't undo it.
    if (sameLife && known.announcement.gone())
        return false;
    const bool newlyLost = announcement.lost() && announcement.sequence() == known.announcement.sequence() && !known.announcement.lost();
    if (sameLife && !announcement.gone() && !newlyLost && announcement.sequence() <= known.announcement.sequence())
        return false;
    const bool changed = first || !sameForRouters(known.announcement, announcement);
    known.announcement = announcement;
    known.heardAt = std::max(known.heardAt, heardAt);
    touch(known, changed, heardAt);
    if (changed && !announcement.gone())
        settleAddress(known, heardAt);
    return true;
}

// Two lives can't share an address: the one that was born earlier has ended.
void Registry::settleAddress(const LiveEndpoint &newcomer, Time now)
{
    const std::string address = newcomer.announcement.address();
    const uint64_t born = newcomer.announcement.born_ms();
    for (std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        const bool other = it.first != newcomer.announcement.endpoint() && it.second.announcement.address() == address;
        if (!other || it.second.announcement.gone())
            continue;
        if (it.second.announcement.born_ms() > born) {
            markGone(m_endpoints[newcomer.announcement.endpoint()], now);
            return;
        }
        markGone(it.second, now);
    }
}

bool Registry::take(const pb::Holdings &holdings, Time now)
{
    const auto it = m_endpoints.find(holdings.endpoint());
    if (it == m_endpoints.end())
        return false;
    pb::Holdings &known = it->second.holdings;
    const auto newness = [](const pb::Holdings &h) {
        return std::pair(h.term(), h.counter());
    };
    if (!known.endpoint().empty() && newness(holdings) <= newness(known))
        return false;
    known = holdings;
    touch(it->second, true, now);
    return true;
}

bool Registry::take(const pb::RouterState &state, Time heardAt)
{
    LiveRouter &known = m_routers[state.router()];
    const auto newness = [](const pb::RouterState &s) {
        return std::pair(s.incarnation(), s.sequence());
    };
    const bool newlyLost = newness(state) == newness(known.state) && !state.accepting() && known.state.accepting();
    // A router whose clock was set back has started again with a lower incarnation: after a silence it counts as new.
    const bool restarted = state.incarnation() != known.state.incarnation() && heardAt > known.heardAt + m_lifetimes.router;
    if (known.version != 0 && !newlyLost && !restarted && newness(state) <= newness(known.state))
        return false;
    const bool changed = known.version == 0 || !sameForRouters(known.state, state);
    known.state = state;
    known.heardAt = std::max(known.heardAt, heardAt);
    touch(known, changed, heardAt);
    return true;
}

bool Registry::take(const pb::KeeperState &state, Time heardAt)
{
    LiveKeeper &known = m_keepers[state.address()];
    const auto newness = [](const pb::KeeperState &s) {
        return std::pair(s.incarnation(), s.sequence());
    };
    if (known.version != 0 && newness(state) <= newness(known.state))
        return false;
    known.state = state;
    known.heardAt = std::max(known.heardAt, heardAt);
    known.version = ++m_version;
    return true;
}

void Registry::withdraw(const std::string &endpoint, Time now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end())
        markGone(it->second, now);
}

void Registry::markGone(LiveEndpoint &endpoint, Time now)
{
    if (endpoint.announcement.gone())
        return;
    endpoint.announcement.set_gone(true);
    endpoint.heardAt = now;
    touch(endpoint, true, now);
}

bool Registry::markLost(LiveEndpoint &endpoint, Time now)
{
    if (endpoint.announcement.gone() || endpoint.announcement.lost())
        return false;
    endpoint.announcement.set_lost(true);
    touch(endpoint, true, now);
    return true;
}

bool Registry::markLost(LiveRouter &router, Time now)
{
    if (!router.state.accepting())
        return false;
    router.state.set_accepting(false);
    touch(router, true, now);
    return true;
}

Time Registry::ordersFrom() const
{
    const LiveKeeper *leader = nullptr;
    for (const std::pair<const std::string, LiveKeeper> &it : m_keepers) {
        const uint64_t term = it.second.state.term();
        if (term > 0 && (leader == nullptr || term > leader->state.term()))
            leader = &it.second;
    }
    return leader == nullptr ? Time() : leader->heardAt + Millis(leader->state.orders_in_ms());
}

std::vector<std::string> Registry::expire(Time now)
{
    std::vector<std::string> lost;
    for (std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if (now > it.second.heardAt + m_lifetimes.endpoint && markLost(it.second, now))
            lost.push_back(it.first);
    }
    for (std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (now > it.second.heardAt + m_lifetimes.router && markLost(it.second, now))
            lost.push_back(it.first);
    }
    std::erase_if(m_keepers,
                  [&](const std::pair<const std::string, LiveKeeper> &it) { return now > it.second.heardAt + KeeperLivenessTimeout; });
    const auto forget = [&](const auto &entry, bool gone) {
        const bool old = gone && now > entry.heardAt + TombstoneRetention;
        if (old)
            m_forgottenVersion = std::max(m_forgottenVersion, entry.version);
        return old;
    };
    std::erase_if(m_endpoints, [&](const std::pair<const std::string, LiveEndpoint> &it) {
        return forget(it.second, it.second.announcement.gone() || it.second.announcement.lost());
    });
    std::erase_if(m_routers,
                  [&](const std::pair<const std::string, LiveRouter> &it) { return forget(it.second, !it.second.state.accepting()); });
    return lost;
}

void Registry::dropUnlisted(const pb::SyncReply &reply, Time now)
{
    std::set<std::string> listed;
    for (const pb::Announcement &it : reply.endpoints())
        listed.insert(it.endpoint());
    for (const pb::RouterState &it : reply.routers())
        listed.insert(it.router());
    for (std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if (listed.count(it.first) == 0)
            markLost(it.second, now);
    }
    for (std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (listed.count(it.first) == 0)
            markLost(it.second, now);
    }
}

void Registry::changesSince(uint64_t version, bool all, Time now, pb::ShareRequest &out) const
{
    for (const std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if ((all ? it.second.version : it.second.spreadVersion) <= version)
            continue;
        pb::Announcement &announcement = *out.add_endpoints();
        announcement = it.second.announcement;
        announcement.set_age_ms(ageMs(it.second.heardAt, now));
        if (!it.second.holdings.endpoint().empty() && it.second.visibleVersion > version)
            *out.add_holdings() = it.second.holdings;
    }
    for (const std::pair<const std::string, LiveRouter> &it : m_routers) {
        if ((all ? it.second.version : it.second.spreadVersion) <= version)
            continue;
        pb::RouterState &state = *out.add_routers();
        state = it.second.state;
        if (!all)
            state.clear_demands();
        state.set_age_ms(ageMs(it.second.heardAt, now));
    }
}

void Registry::visibleSince(uint64_t version, Time now, pb::SyncReply &out) const
{
    const uint64_t since = version < m_forgottenVersion ? 0 : version;
    // A process that has started again hasn't heard of all that lives: only later its list says what is gone.
    out.set_full(since == 0 && now > m_startedAt + m_lifetimes.endpoint);
    out.set_version(m_version);
    for (const std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if (it.second.visibleVersion <= since)
            continue;
        pb::Announcement &announcement = *out.add_endpoints();
        announcement = it.second.announcement;
        announcement.clear_in_memory();
        announcement.clear_on_disk();
        announcement.set_age_ms(ageMs(it.second.heardAt, now));
        if (!it.second.holdings.endpoint().empty())
            *out.add_holdings() = it.second.holdings;
    }
    for (const std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (it.second.visibleVersion <= since)
            continue;
        pb::RouterState &state = *out.add_routers();
        state = it.second.state;
        state.clear_demands();
        state.set_age_ms(ageMs(it.second.heardAt, now));
    }
}

} // namespace roserail
