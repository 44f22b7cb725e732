// Live state of endpoints, routers and control hosts, as last received by this process. It is soft state: processes
// exchange changes by version, merge them in any order and collect them again after a restart.
#pragma once

#include "coordination/accountshare.h"
#include "coordination/endpointadvice.h"
#include "coordination/endpointuse.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace roserail
{

// An endpoint or router without a heartbeat for longer than this is lost.
struct HeartbeatTimeouts {
    Millis endpoint{0};
    Millis router{0};
};

// Returns the state of an announced endpoint as the log writes it.
std::string_view stateName(const pb::Announcement &announcement);

// Versions of the registry at which an entry last changed.
struct EntryVersions {
    uint64_t version = 0; // of the last change
    uint64_t visibleVersion = 0; // of the last change that routers need, other than one of an endpoint's holdings
    uint64_t sharedVersion = 0; // of the last change for all control hosts with a disk: a visible one, or a periodic heartbeat
    Time sharedAt{};
    std::string from; // control host with a disk that sent the last change to this one; empty: received by another way
};

struct LiveEndpoint : EntryVersions {
    pb::Announcement announcement; // the newest
    pb::Holdings holdings; // as the control host that sends orders lists them; empty endpoint: none
    uint64_t holdingsVersion = 0; // of the last change of `holdings`
    std::string holdingsFrom; // as `from`
    Time holdingsAt{}; // when they were received
    Time lastSeenAt{};
    EndpointCapacity capacity; // of this incarnation, as routers report it
    Time capacityAt{}; // when the endpoint said so
    Time capacityRelayedAt{}; // when it was last a visible change
    bool usable() const
    {
        return !announcement.leaving() && !announcement.gone() && !announcement.lost();
    }
    // Returns the holdings, with the times until loads complete as of `now`.
    pb::Holdings holdingsNow(Time now) const;
    // Returns the models that the endpoint holds: from `holdings` if they are of this incarnation, else as announced.
    const google::protobuf::RepeatedPtrField<pb::HeldModel> &models() const;
};

struct LiveRouter : EntryVersions {
    pb::RouterState state;
    Time lastSeenAt{};
};

struct LiveKeeper {
    pb::KeeperState state;
    Time lastSeenAt{};
    uint64_t version = 0;
};

// Selects the changes for another control host.
struct ChangeFilter {
    uint64_t version = 0; // the peer has the changes up to this version; 0: it needs everything
    bool all = false; // all changes, not only those that routers need and periodic heartbeats
    std::set<std::string> forwarded; // hosts whose changes are included; others send theirs to the peer themselves
};

class Registry
{
public:
    Registry(HeartbeatTimeouts timeouts, Time startedAt);

    // Each stores a message if it is newer than the entry, and returns whether it was. `from`: the control host with a disk
    // that sent it, which sends it to the other ones as well; empty if the message was received by another way.
    bool merge(const pb::Announcement &announcement, Time lastSeenAt, const std::string &from = "");
    bool merge(const pb::Holdings &holdings, Time now, const std::string &from = "");
    bool merge(const pb::RouterState &state, Time lastSeenAt, const std::string &from = "");
    bool merge(const pb::KeeperState &state, Time lastSeenAt);
    // Marks an endpoint as gone after it has announced that it stops.
    void withdraw(const std::string &endpoint, Time now);
    // Marks entries without recent heartbeats as lost, and evicts those that have been gone or lost for
    // longer than TombstoneRetention.
    // Returns the ids of the endpoints and routers that this call marked as lost.
    std::vector<std::string> expire(Time now);
    // Marks the endpoints and routers as lost that `reply`, a full list, does not contain.
    void markUnlistedLost(const pb::SyncReply &reply, Time now);

    uint64_t version() const
    {
        return m_version;
    }
    // Collects changes for another control host.
    void changesSince(const ChangeFilter &filter, Time now, pb::ShareRequest &out) const;
    // Collects changes after a version that routers need.
    void routerChangesSince(uint64_t version, Time now, pb::SyncReply &out) const;

    // The requests in progress on endpoints.
    SharedUse &use()
    {
        return m_use;
    }
    const SharedUse &use() const
    {
        return m_use;
    }
    // The requests of client accounts in progress.
    SharedAccounts &accounts()
    {
        return m_accounts;
    }
    const SharedAccounts &accounts() const
    {
        return m_accounts;
    }
    // Returns the streams that routers report to have begun in the last seconds, with their software versions.
    std::map<StreamId, SoftwareVersion> begunStreams() const;
    // Returns the control host that announced itself as the leader of the highest term; null if none is known.
    const LiveKeeper *leader() const;
    // Returns the time from which engines may be sent orders, according to the leader of the highest known term.
    Time ordersAllowedAt() const;

    const std::map<std::string, LiveEndpoint> &endpoints() const
    {
        return m_endpoints;
    }
    const std::map<std::string, LiveRouter> &routers() const
    {
        return m_routers;
    }
    // Control hosts by internal address.
    const std::map<std::string, LiveKeeper> &keepers() const
    {
        return m_keepers;
    }

private:
    void markGone(LiveEndpoint &endpoint, Time now);
    // Each returns whether the entry changed.
    bool markLost(LiveEndpoint &endpoint, Time now);
    bool markLost(LiveRouter &router, Time now);
    bool markLeaving(LiveEndpoint &endpoint, Time now, const std::string &from);
    // Stores what the endpoint said at `at`, if it is newer.
    bool mergeCapacity(LiveEndpoint &endpoint, const pb::EndpointCapacity &message, Time at, Time now, const std::string &from);
    bool mergeAdvice(LiveEndpoint &endpoint, const pb::Announcement &announcement, Time lastSeenAt, const std::string &from);
    void applyAdvice(const pb::RouterState &state, Time sentAt);
    // Returns the endpoint if it is known by this start of it, else null.
    LiveEndpoint *incarnation(const std::string &endpoint, uint64_t startedAtMs);
    // Returns the announcement as it is sent to other processes, with all ages as of `now`.
    static pb::Announcement announcementNow(const LiveEndpoint &endpoint, Time now);
    void resolveAddressConflict(const LiveEndpoint &updated, Time now);
    // Assigns new versions to a changed entry. A change that routers don't need reaches all control hosts at intervals only.
    void recordChange(EntryVersions &entry, bool visible, Time now, const std::string &from);

    HeartbeatTimeouts m_timeouts;
    Time m_startedAt; // messages sent before did not reach this process
    uint64_t m_version = 0;
    uint64_t m_evictedVersion = 0; // highest version of an evicted entry
    std::map<std::string, LiveEndpoint> m_endpoints;
    std::map<std::string, pb::Holdings> m_earlyHoldings; // of endpoints that are not known yet
    std::map<std::string, LiveRouter> m_routers;
    std::map<std::string, LiveKeeper> m_keepers;
    SharedUse m_use;
    SharedAccounts m_accounts;
};

} // namespace roserail
