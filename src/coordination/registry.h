// Live endpoints and routers, as far as a process has heard of them. Soft state: it is spread between processes by
// versions, merged in any order, and learned again after a restart.
#pragma once

#include "mesh.pb.h"
#include "state/types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roserail
{

// How long silence is taken for life; stored once, from the settings.
struct HeartbeatTimeouts {
    Millis endpoint{0};
    Millis router{0};
};

// The state that an announcement tells, for the log.
std::string_view stateName(const pb::Announcement &announcement);

struct LiveEndpoint {
    pb::Announcement announcement; // its newest announcement
    pb::Holdings holdings; // of the holder of orders; empty endpoint: none
    Time lastSeenAt{};
    uint64_t version = 0; // of the last change
    uint64_t visibleVersion = 0; // of the last change that matters to routers
    uint64_t sharedVersion = 0; // of the last change that all control hosts get: a visible one, or a sign of life now and then
    Time sharedAt{};
    bool usable() const
    {
        return !announcement.leaving() && !announcement.gone() && !announcement.lost();
    }
    // What the endpoint holds, by the newest source.
    const google::protobuf::RepeatedPtrField<pb::HeldModel> &models() const;
};

struct LiveRouter {
    pb::RouterState state;
    Time lastSeenAt{};
    uint64_t version = 0;
    uint64_t visibleVersion = 0;
    uint64_t sharedVersion = 0;
    Time sharedAt{};
};

struct LiveKeeper {
    pb::KeeperState state;
    Time lastSeenAt{};
    uint64_t version = 0;
};

class Registry
{
public:
    Registry(HeartbeatTimeouts timeouts, Time startedAt);

    // Each takes a message if it is newer than what is known, and returns whether it was.
    bool merge(const pb::Announcement &announcement, Time lastSeenAt);
    bool merge(const pb::Holdings &holdings, Time now);
    bool merge(const pb::RouterState &state, Time lastSeenAt);
    bool merge(const pb::KeeperState &state, Time lastSeenAt);
    // An endpoint says that it ends.
    void withdraw(const std::string &endpoint, Time now);
    // Marks as lost what was silent too long, and forgets what has been gone or lost for long.
    // Returns the ids of endpoints and routers that are lost from now on.
    std::vector<std::string> expire(Time now);
    // Marks everything as lost that `reply`, a full list, does not name.
    void markUnlistedLost(const pb::SyncReply &reply, Time now);

    uint64_t version() const
    {
        return m_version;
    }
    // Changes after a version, for another control host: all of them for the one that orders what engines hold, for
    // others those that matter to routers, and signs of life.
    void changesSince(uint64_t version, bool all, Time now, pb::ShareRequest &out) const;
    // Changes after a version that matter to routers.
    void routerChangesSince(uint64_t version, Time now, pb::SyncReply &out) const;

    // From when on engines may be given orders, by the leader of the highest term that was heard of.
    Time ordersFrom() const;

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
    // Both return whether it was not lost before.
    bool markLost(LiveEndpoint &endpoint, Time now);
    bool markLost(LiveRouter &router, Time now);
    void resolveAddressConflict(const LiveEndpoint &updated, Time now);
    template <typename Entry>
    void recordChange(Entry &entry, bool visible, Time now);

    HeartbeatTimeouts m_timeouts;
    Time m_startedAt; // what was said before has not been heard
    uint64_t m_version = 0;
    uint64_t m_evictedVersion = 0; // latest version of anything that was forgotten
    std::map<std::string, LiveEndpoint> m_endpoints;
    std::map<std::string, LiveRouter> m_routers;
    std::map<std::string, LiveKeeper> m_keepers;
};

} // namespace roserail
