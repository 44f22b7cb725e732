// Executes the residency plan on the leader: sends its orders to model engines, requests the engines' reports, and
// publishes their contents to routers. Orders are sent only while this process holds the leader lease.
#pragma once

#include "coordination/residency.h"
#include "transport/endpointpool.h"
#include "transport/livetable.h"
#include "transport/replicanode.h"

namespace roserail
{

class OrderSender
{
public:
    OrderSender(net::io_context &io, const PlatformCodec &codec, LiveTable &table, ReplicaNode &node, std::string holder,
                Millis orderLease);
    Task<> run();
    // `callback` receives the configuration in force at each plan.
    void onRoutes(std::function<void(const std::shared_ptr<const RouteTable> &)> callback)
    {
        m_onRoutes = std::move(callback);
    }

private:
    Task<bool> waitAndPlan();
    void dropPlan();
    void planOnce(Time now);
    void beginTerm(const ReplicaStatus &status, Time now);
    std::shared_ptr<const RouteTable> routes();
    Task<> sendOrder(ArtifactOrder order, std::string address, uint64_t term);
    Task<> requestReport(std::string endpoint, std::string address, uint64_t startedAtMs, uint64_t term);

    net::io_context &m_io;
    const PlatformCodec &m_codec;
    LiveTable &m_table;
    ReplicaNode &m_node;
    std::string m_holder;
    Millis m_orderLease;
    EndpointPool m_pool;
    std::shared_ptr<const RouteTable> m_routes;
    std::function<void(const std::shared_ptr<const RouteTable> &)> m_onRoutes;
    std::unique_ptr<Residency> m_residency; // null unless this process is the leader
    uint64_t m_term = 0;
    Time m_ordersAllowedAt{}; // no order is sent earlier in this term
    Time m_storeLoadsAllowedAt{}; // no load from the weight store is ordered earlier in this term
    bool m_ordersRecorded = false; // that this replica sends orders in this term
    Residency::Numbers m_lastNumbers; // of earlier plans
};

} // namespace roserail
