#include "coordination/registry.h"

#include "state/tunables.h"

#include <algorithm>
#include <set>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxEarlyHoldings = 4096; // above the number of engines; reached only by entries that are never announced

bool sameModels(const google::protobuf::RepeatedPtrField<pb::HeldModel> &a, const google::protobuf::RepeatedPtrField<pb::HeldModel> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const pb::HeldModel &x, const pb::HeldModel &y) {
        return x.model() == y.model() && std::equal(x.adapters().begin(), x.adapters().end(), y.adapters().begin(), y.adapters().end());
    });
}

// Returns the models of which the endpoint's host has a copy, in memory or on disk.
std::set<std::string> copies(const pb::Announcement &announcement)
{
    std::set<std::string> result(announcement.on_disk().begin(), announcement.on_disk().end());
    result.insert(announcement.in_memory().begin(), announcement.in_memory().end());
    return result;
}

// Returns whether routers need no update. `holdingsKnown`: they use the holdings instead of the announced models.
bool sameForRouters(const pb::Announcement &a, const pb::Announcement &b, bool holdingsKnown)
{
    return a.born_ms() == b.born_ms() && a.address() == b.address() && a.zone() == b.zone() && a.service() == b.service()
        && a.slots() == b.slots() && a.software() == b.software() && a.leaving() == b.leaving() && a.gone() == b.gone()
        && a.lost() == b.lost() && (holdingsKnown || sameModels(a.models(), b.models())) && copies(a) == copies(b);
}

bool sameForRouters(const pb::RouterState &a, const pb::RouterState &b)
{
    const auto sameReport = [](const pb::CrashReport &x, const pb::CrashReport &y) {
        return x.fingerprint() == y.fingerprint() && x.endpoint() == y.endpoint() && x.born_ms() == y.born_ms();
    };
    const auto samePartCrash = [](const pb::PartCrash &x, const pb::PartCrash &y) {
        return x.endpoint() == y.endpoint() && x.born_ms() == y.born_ms()
            && std::equal(x.parts().begin(), x.parts().end(), y.parts().begin(), y.parts().end());
    };
    return a.incarnation() == b.incarnation() && a.address() == b.address() && a.zone() == b.zone() && a.accepting() == b.accepting()
        && a.relay_address() == b.relay_address() && a.isolated() == b.isolated()
        && std::equal(a.crashes().begin(), a.crashes().end(), b.crashes().begin(), b.crashes().end(), sameReport)
        && std::equal(a.part_crashes().begin(), a.part_crashes().end(), b.part_crashes().begin(), b.part_crashes().end(), samePartCrash)
        && std::equal(a.sound_parts().begin(), a.sound_parts().end(), b.sound_parts().begin(), b.sound_parts().end());
}

bool holdingsKnown(const LiveEndpoint &endpoint)
{
    return !endpoint.holdings.endpoint().empty() && endpoint.holdings.born_ms() == endpoint.announcement.born_ms();
}

// Returns whether another control host needs a change of `version` that the host `from` sent to this one.
bool selected(const ChangeFilter &filter, uint64_t version, const std::string &from)
{
    return version > filter.version && (filter.version == 0 || from.empty() || filter.forwarded.count(from) != 0);
}

uint64_t ageMs(Time lastSeenAt, Time now)
{
    return uint64_t(std::max<int64_t>(0, (now - lastSeenAt).count()));
}

} // namespace

const google::protobuf::RepeatedPtrField<pb::HeldModel> &LiveEndpoint::models() const
{
    return holdingsKnown(*this) ? holdings.models() : announcement.models();
}

pb::Holdings LiveEndpoint::holdingsNow(Time now) const
{
    pb::Holdings result = holdings;
    const uint64_t age = ageMs(holdingsAt, now);
    for (pb::LoadingModel &it : *result.mutable_loading())
        it.set_ready_in_ms(it.ready_in_ms() > age ? it.ready_in_ms() - age : 0);
    return result;
}

std::string_view stateName(const pb::Announcement &announcement)
{
    if (announcement.gone())
        return "gone";
    if (announcement.lost())
        return "lost";
    return announcement.leaving() ? "leaving" : "ready";
}

Registry::Registry(HeartbeatTimeouts timeouts, Time startedAt)
    : m_timeouts(timeouts)
    , m_startedAt(startedAt)
{
}

void Registry::recordChange(EntryVersions &entry, bool visible, Time now, const std::string &from)
{
    entry.version = ++m_version;
    entry.from = from;
    if (visible)
        entry.visibleVersion = m_version;
    if (!visible && now < entry.sharedAt + LivenessRelayInterval)
        return;
    entry.sharedVersion = m_version;
    entry.sharedAt = now;
}

bool Registry::merge(const pb::Announcement &announcement, Time lastSeenAt, const std::string &from)
{
    LiveEndpoint &known = m_endpoints[announcement.endpoint()];
    const bool first = known.version == 0;
    const bool sameIncarnation = !first && announcement.born_ms() == known.announcement.born_ms();
    if (!first && announcement.born_ms() < known.announcement.born_ms())
        return false;
    // The end of an incarnation is final: a heartbeat that arrives late doesn't undo it.
    if (sameIncarnation && known.announcement.gone())
        return false;
    const bool newlyLost = announcement.lost() && announcement.sequence() == known.announcement.sequence() && !known.announcement.lost();
    if (sameIncarnation && !announcement.gone() && !newlyLost && announcement.sequence() <= known.announcement.sequence())
        return mergeAdvice(known, announcement, lastSeenAt, from);
    pb::Announcement next = announcement;
    // That an incarnation is leaving is final, too. A router may have learned it before the endpoint's heartbeats say so.
    next.set_leaving(announcement.leaving() || (sameIncarnation && known.announcement.leaving()));
    const bool changed = first || !sameForRouters(known.announcement, next, holdingsKnown(known));
    known.announcement = std::move(next);
    known.announcement.clear_capacity();
    known.lastSeenAt = std::max(known.lastSeenAt, lastSeenAt);
    if (!sameIncarnation) {
        known.capacity = EndpointCapacity();
        known.capacityAt = Time();
    }
    recordChange(known, changed, lastSeenAt, from);
    mergeAdvice(known, announcement, lastSeenAt, from);
    if (first) {
        const std::map<std::string, pb::Holdings>::node_type early = m_earlyHoldings.extract(announcement.endpoint());
        if (!early.empty())
            merge(early.mapped(), lastSeenAt, from);
    }
    if (changed && !announcement.gone())
        resolveAddressConflict(known, lastSeenAt);
    return true;
}

// Two incarnations can't share an address: the one that started earlier has ended.
void Registry::resolveAddressConflict(const LiveEndpoint &updated, Time now)
{
    const std::string address = updated.announcement.address();
    const uint64_t startedAtMs = updated.announcement.born_ms();
    for (std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        const bool other = it.first != updated.announcement.endpoint() && it.second.announcement.address() == address;
        if (!other || it.second.announcement.gone())
            continue;
        if (it.second.announcement.born_ms() > startedAtMs) {
            markGone(m_endpoints[updated.announcement.endpoint()], now);
            return;
        }
        markGone(it.second, now);
    }
}

bool Registry::merge(const pb::Holdings &holdings, Time now, const std::string &from)
{
    const auto versionOf = [](const pb::Holdings &h) {
        return std::pair(h.term(), h.counter());
    };
    const auto it = m_endpoints.find(holdings.endpoint());
    pb::Holdings &known = it == m_endpoints.end() ? m_earlyHoldings[holdings.endpoint()] : it->second.holdings;
    if (!known.endpoint().empty() && versionOf(holdings) <= versionOf(known))
        return false;
    known = holdings;
    if (m_earlyHoldings.size() > MaxEarlyHoldings)
        m_earlyHoldings.clear();
    if (it == m_endpoints.end())
        return false;
    it->second.holdingsVersion = ++m_version;
    it->second.holdingsFrom = from;
    it->second.holdingsAt = now;
    return true;
}

bool Registry::merge(const pb::RouterState &state, Time lastSeenAt, const std::string &from)
{
    LiveRouter &known = m_routers[state.router()];
    const auto versionOf = [](const pb::RouterState &s) {
        return std::pair(s.incarnation(), s.sequence());
    };
    const bool newlyLost = versionOf(state) == versionOf(known.state) && !state.accepting() && known.state.accepting();
    // A router that restarts after its clock was set back has a lower incarnation: it counts as new after the time-out.
    const bool restarted = state.incarnation() != known.state.incarnation() && lastSeenAt > known.lastSeenAt + m_timeouts.router;
    if (known.version != 0 && !newlyLost && !restarted && versionOf(state) <= versionOf(known.state))
        return false;
    const bool changed = known.version == 0 || !sameForRouters(known.state, state);
    known.state = state;
    known.lastSeenAt = std::max(known.lastSeenAt, lastSeenAt);
    recordChange(known, changed, lastSeenAt, from);
    applyAdvice(state, lastSeenAt);
    return true;
}

bool Registry::merge(const pb::KeeperState &state, Time lastSeenAt)
{
    LiveKeeper &known = m_keepers[state.address()];
    const auto versionOf = [](const pb::KeeperState &s) {
        return std::pair(s.incarnation(), s.sequence());
    };
    if (known.version != 0 && versionOf(state) <= versionOf(known.state))
        return false;
    known.state = state;
    known.lastSeenAt = std::max(known.lastSeenAt, lastSeenAt);
    known.version = ++m_version;
    return true;
}

bool Registry::markLeaving(LiveEndpoint &endpoint, Time now, const std::string &from)
{
    if (endpoint.announcement.gone() || endpoint.announcement.leaving())
        return false;
    endpoint.announcement.set_leaving(true);
    recordChange(endpoint, true, now, from);
    return true;
}

bool Registry::mergeCapacity(LiveEndpoint &endpoint, const pb::EndpointCapacity &message, Time at, Time now, const std::string &from)
{
    if (at <= endpoint.capacityAt)
        return false;
    const bool changed = endpoint.capacity.update(fromProto(message, at + Millis(message.age_ms())));
    endpoint.capacityAt = at;
    if (!changed && at < endpoint.capacityRelayedAt + CapacityRelayInterval)
        return false;
    endpoint.capacityRelayedAt = at;
    recordChange(endpoint, true, now, from);
    return true;
}

// Applies what routers have learned of the endpoint, as another process has added it to the announcement.
bool Registry::mergeAdvice(LiveEndpoint &endpoint, const pb::Announcement &announcement, Time lastSeenAt, const std::string &from)
{
    const Time sentAt = lastSeenAt + Millis(announcement.age_ms());
    bool changed = announcement.leaving() && markLeaving(endpoint, lastSeenAt, from);
    if (announcement.has_capacity())
        changed |= mergeCapacity(endpoint, announcement.capacity(), sentAt - Millis(announcement.capacity().age_ms()), lastSeenAt, from);
    return changed;
}

void Registry::applyAdvice(const pb::RouterState &state, Time sentAt)
{
    for (const pb::LeavingReport &it : state.leaving()) {
        LiveEndpoint *known = incarnation(it.endpoint(), it.born_ms());
        if (known != nullptr)
            markLeaving(*known, sentAt, "");
    }
    for (const pb::EndpointAdvice &it : state.advice()) {
        LiveEndpoint *known = incarnation(it.endpoint(), it.born_ms());
        if (known != nullptr && it.leaving())
            markLeaving(*known, sentAt, "");
        if (known != nullptr && it.has_capacity())
            mergeCapacity(*known, it.capacity(), sentAt - Millis(it.capacity().age_ms()), sentAt, "");
    }
}

LiveEndpoint *Registry::incarnation(const std::string &endpoint, uint64_t startedAtMs)
{
    const auto it = m_endpoints.find(endpoint);
    return it != m_endpoints.end() && it->second.announcement.born_ms() == startedAtMs ? &it->second : nullptr;
}

pb::Announcement Registry::announcementNow(const LiveEndpoint &endpoint, Time now)
{
    pb::Announcement announcement = endpoint.announcement;
    announcement.set_age_ms(ageMs(endpoint.lastSeenAt, now));
    if (endpoint.capacityAt != Time())
        *announcement.mutable_capacity() = toProto(endpoint.capacity, endpoint.capacityAt, now);
    return announcement;
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
    endpoint.lastSeenAt = now;
    recordChange(endpoint, true, now, "");
}

bool Registry::markLost(LiveEndpoint &endpoint, Time now)
{
    if (endpoint.announcement.gone() || endpoint.announcement.lost())
        return false;
    endpoint.announcement.set_lost(true);
    recordChange(endpoint, true, now, "");
    return true;
}

bool Registry::markLost(LiveRouter &router, Time now)
{
    if (!router.state.accepting())
        return false;
    router.state.set_accepting(false);
    recordChange(router, true, now, "");
    return true;
}

const LiveKeeper *Registry::leader() const
{
    const LiveKeeper *result = nullptr;
    for (const std::pair<const std::string, LiveKeeper> &it : m_keepers) {
        const uint64_t term = it.second.state.term();
        if (term > 0 && (result == nullptr || term > result->state.term()))
            result = &it.second;
    }
    return result;
}

std::map<StreamId, SoftwareVersion> Registry::begunStreams() const
{
    std::map<StreamId, SoftwareVersion> result;
    for (const std::pair<const std::string, LiveRouter> &router : m_routers) {
        for (const pb::BegunStreams &group : router.second.state.begun_streams()) {
            for (const uint64_t it : group.streams())
                result.emplace(StreamId(it), SoftwareVersion(group.version()));
        }
    }
    return result;
}

Time Registry::ordersAllowedAt() const
{
    const LiveKeeper *known = leader();
    return known == nullptr ? Time() : known->lastSeenAt + Millis(known->state.orders_in_ms());
}

std::vector<std::string> Registry::expire(Time now)
{
    std::vector<std::string> lost;
    m_use.expire(now);
    m_accounts.expire(now);
    for (std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if (now > it.second.lastSeenAt + m_timeouts.endpoint && markLost(it.second, now))
            lost.push_back(it.first);
    }
    for (std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (now > it.second.lastSeenAt + m_timeouts.router && markLost(it.second, now))
            lost.push_back(it.first);
    }
    std::erase_if(m_keepers,
                  [&](const std::pair<const std::string, LiveKeeper> &it) { return now > it.second.lastSeenAt + KeeperLivenessTimeout; });
    const auto evict = [&](const auto &entry, bool gone) {
        const bool old = gone && now > entry.lastSeenAt + TombstoneRetention;
        if (old)
            m_evictedVersion = std::max(m_evictedVersion, entry.version);
        return old;
    };
    std::erase_if(m_endpoints, [&](const std::pair<const std::string, LiveEndpoint> &it) {
        return evict(it.second, it.second.announcement.gone() || it.second.announcement.lost());
    });
    std::erase_if(m_routers,
                  [&](const std::pair<const std::string, LiveRouter> &it) { return evict(it.second, !it.second.state.accepting()); });
    return lost;
}

void Registry::markUnlistedLost(const pb::SyncReply &reply, Time now)
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

void Registry::changesSince(const ChangeFilter &filter, Time now, pb::ShareRequest &out) const
{
    for (const std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        const LiveEndpoint &endpoint = it.second;
        if (selected(filter, filter.all ? endpoint.version : endpoint.sharedVersion, endpoint.from))
            *out.add_endpoints() = announcementNow(endpoint, now);
        if (selected(filter, endpoint.holdingsVersion, endpoint.holdingsFrom))
            *out.add_holdings() = endpoint.holdingsNow(now);
    }
    for (const std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (!selected(filter, filter.all ? it.second.version : it.second.sharedVersion, it.second.from))
            continue;
        pb::RouterState &state = *out.add_routers();
        state = it.second.state;
        state.clear_use(); // sent as a sum over routers
        state.clear_account_use();
        if (!filter.all) {
            state.clear_demands();
            state.clear_begun_streams();
        }
        state.set_age_ms(ageMs(it.second.lastSeenAt, now));
    }
}

void Registry::routerChangesSince(uint64_t version, Time now, pb::SyncReply &out) const
{
    const uint64_t since = version < m_evictedVersion ? 0 : version;
    // A restarted process doesn't know all live entries yet: its list is full only once each endpoint has had the time
    // to send a heartbeat.
    out.set_full(since == 0 && now > m_startedAt + m_timeouts.endpoint);
    out.set_version(m_version);
    for (const std::pair<const std::string, LiveEndpoint> &it : m_endpoints) {
        if (it.second.holdingsVersion > since)
            *out.add_holdings() = it.second.holdingsNow(now);
        if (it.second.visibleVersion <= since)
            continue;
        pb::Announcement &announcement = *out.add_endpoints();
        announcement = announcementNow(it.second, now);
        // Routers need not know where on the host the copies are.
        const std::set<std::string> all = copies(announcement);
        announcement.clear_in_memory();
        announcement.mutable_on_disk()->Assign(all.begin(), all.end());
        if (holdingsKnown(it.second))
            announcement.clear_models();
    }
    for (const std::pair<const std::string, LiveRouter> &it : m_routers) {
        if (it.second.visibleVersion <= since)
            continue;
        pb::RouterState &state = *out.add_routers();
        state = it.second.state;
        state.clear_demands();
        state.clear_begun_streams();
        state.clear_use();
        state.clear_account_use();
        // Applied to the announcements here.
        state.clear_advice();
        state.clear_leaving();
        state.set_age_ms(ageMs(it.second.lastSeenAt, now));
    }
}

} // namespace roserail
