// Grants units of client accounts' quotas to routers while this control host leads.
#pragma once

#include "coordination/quotashare.h"
#include "mesh.pb.h"
#include "state/routes.h"
#include "transport/livetable.h"
#include "transport/replicanode.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace roserail
{

class QuotaGranter
{
public:
    // `node` is null on a host without a disk, which grants nothing.
    QuotaGranter(const ReplicaNode *node, const LiveTable &table, QuotaBounds bounds);
    void setBounds(const QuotaBounds &bounds);
    // Sets the configuration in force, decoded, while this host leads.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    pb::LeaseReply lease(const pb::LeaseRequest &request);
    // Returns the internal address of the leader; empty if it is unknown.
    std::string leaderAddress() const;
    // Returns the buckets of this host's latest term.
    nlohmann::json dump() const;

private:
    void beginTerm(uint64_t term, Time now);
    void decide(const pb::QuotaAsk &ask, Time now, pb::QuotaGrant &out);
    void logDenied(Time now);

    const ReplicaNode *m_node;
    const LiveTable &m_table;
    mutable std::mutex m_mutex; // guards the members below
    QuotaBounds m_bounds;
    std::shared_ptr<const RouteTable> m_routes;
    uint64_t m_term = 0;
    QuotaAllocator m_allocator;
    std::map<AccountId, uint64_t> m_denied; // requests since the last log line
    Time m_nextLogAt{};
};

} // namespace roserail
