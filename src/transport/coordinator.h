// Tasks of the leading control replica besides replication: answers routers' heartbeats, runs placement, and sends orders
// to endpoints. A replica that is not the leader answers heartbeats with the leader's address.
#pragma once

#include "coordination/directory.h"
#include "coordination/placement.h"
#include "protocol/orders.h"
#include "transport/replicanode.h"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

namespace roserail
{

class Coordinator
{
public:
    explicit Coordinator(ReplicaNode &node);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    pb::HeartbeatReply heartbeat(const pb::HeartbeatRequest &request);
    // Returns whether this replica is the leader and every router that may hold a lease has applied the revision.
    bool inForce(Revision revision);
    // Returns the peer address of the leader; empty if it is unknown.
    std::string leaderAddress() const;
    // Returns the routers and endpoints in the leader's directory, as YAML.
    std::string dump();

private:
    void run();
    // Returns whether this replica is the leader. Resets directory and placement at the start of each term that it leads.
    bool ensureLeading(Time now);
    void runPlacement();
    // Probes endpoints without a recent report. Those whose process has ended are forgotten, so that the ledger no longer
    // counts their replicas.
    void probeLostEndpoints();
    std::vector<Order> propose(std::vector<pb::Command> commands);
    void enqueue(const Order &order);
    void sendQueued(EndpointId endpoint);
    void sendOrder(const Order &order, const std::string &address);

    ReplicaNode &m_node;
    std::mutex m_mutex; // guards the next four members
    Directory m_directory;
    Placement m_placement;
    uint64_t m_term = 0;
    Time m_nextProbeAt{};

    std::mutex m_ordersMutex;
    std::map<EndpointId, std::deque<Order>> m_queuedOrders; // an endpoint has an entry while a task sends its orders
    tbb::global_control m_parallelism;
    tbb::task_arena m_arena;
    tbb::task_group m_tasks;

    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace roserail
