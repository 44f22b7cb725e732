// The leader's view of routers and endpoints. It is soft: a new leader learns it again from heartbeats.
// Routers hold directory and configuration under one lease, and get the directory as deltas.
#pragma once

#include "state/machine.h"

#include "control.pb.h"

#include <map>
#include <optional>
#include <vector>

namespace roserail
{

// The latest report of an endpoint, and when it came.
struct EndpointView {
    pb::EndpointReport report;
    Time expiresAt{};
    bool lost = false; // silent too long; a leaving endpoint is gone for routers, but not lost
    uint64_t version = 0; // directory version of the last visible change
    pb::DirectoryEntry visible;
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
    // Starts empty when this replica begins to lead.
    void reset(Time now);
    // Takes a router's heartbeat and fills in what the router does not know yet.
    void heartbeat(const pb::HeartbeatRequest &request, const Machine &machine, Time now, pb::HeartbeatReply &reply);
    // Drops endpoints and routers that were silent too long.
    void expire(Time now);
    // Recomputes what routers may use of an endpoint, after an order for it.
    void refresh(const EndpointId &endpoint, const Ledger &ledger);
    // True once every router that may hold a lease has applied the revision.
    bool inForce(Revision revision, Time now) const;
    // Commands for endpoints whose incarnation the ledger does not know.
    std::vector<pb::Command> registrations(const Ledger &ledger) const;

    // The live report of an endpoint's given incarnation.
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
    void addConfiguration(const pb::HeartbeatRequest &request, const Machine &machine, pb::HeartbeatReply &reply) const;

    Time m_leadingSince{};
    uint64_t m_version = 1;
    uint64_t m_routersVersion = 1;
    std::map<EndpointId, EndpointView> m_endpoints;
    std::map<uint64_t, EndpointId> m_byVersion; // of the last visible change
    std::map<RouterId, RouterView> m_routers;
};

} // namespace roserail
