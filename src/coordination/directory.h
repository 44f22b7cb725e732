// The leader's view of routers and endpoints. It is soft state: a new leader rebuilds it from heartbeats.
// Routers hold directory and configuration under one lease and receive changes of the directory as deltas.
#pragma once

#include "state/machine.h"

#include "control.pb.h"

#include <map>
#include <optional>
#include <vector>

namespace roserail
{

// The latest report of an endpoint and when it expires.
struct EndpointView {
    pb::EndpointReport report;
    Time expiresAt{};
    bool lost = false; // the report has expired; a leaving endpoint is gone for routers, but not lost
    uint64_t version = 0; // directory version of the last visible change
    pb::DirectoryEntry visible; // what routers receive
};

struct RouterView {
    uint64_t incarnation = 0;
    std::string address;
    std::string zone;
    bool draining = false;
    uint64_t appliedRevision = 0;
    Time leaseUntil{};
};

class Directory
{
public:
    // Clears the directory when this replica becomes leader.
    void reset(Time now);
    // Processes a router's heartbeat and fills the reply with the changes since the versions that the router has.
    void heartbeat(const pb::HeartbeatRequest &request, const StateMachine &machine, Time now, pb::HeartbeatReply &reply);
    // Marks endpoints without a recent report as lost and removes routers whose lease ended one lease period ago.
    void expire(Time now);
    // Recomputes what routers may use of an endpoint, after an order for it.
    void refresh(const EndpointId &endpoint, const Ledger &ledger);
    // Returns whether every router that may hold a lease has applied the revision.
    bool inForce(Revision revision, Time now) const;
    // Returns registration commands for endpoints whose incarnation the ledger does not contain.
    std::vector<pb::Command> registrations(const Ledger &ledger) const;

    // Returns the report of an endpoint's given incarnation, or nullptr if there is none or the endpoint is lost.
    const pb::EndpointReport *report(const EndpointId &endpoint, uint64_t incarnation) const;
    const std::map<EndpointId, EndpointView> &endpoints() const
    {
        return m_endpoints;
    }
    const std::map<RouterId, RouterView> &routers() const
    {
        return m_routers;
    }

private:
    void storeReport(const pb::EndpointReport &report, const Ledger &ledger, Time now);
    void publish(EndpointView &view, pb::DirectoryEntry entry);
    void addDelta(const pb::HeartbeatRequest &request, pb::HeartbeatReply &reply) const;
    void addConfiguration(const pb::HeartbeatRequest &request, const StateMachine &machine, pb::HeartbeatReply &reply) const;

    Time m_leadingSince{};
    uint64_t m_version = 1;
    uint64_t m_routersVersion = 1;
    std::map<EndpointId, EndpointView> m_endpoints;
    std::map<uint64_t, EndpointId> m_byVersion; // by version of the last visible change
    std::map<RouterId, RouterView> m_routers;
};

} // namespace roserail
