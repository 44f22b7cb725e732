// What the leading control replica does besides the log: answers routers' heartbeats, runs placement, and sends
// orders to endpoints. A replica that does not lead answers that it does not.
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
    // True if this replica leads and every router that holds a lease has applied the revision.
    bool inForce(Revision revision);
    // Peer address of the leader as far as it is known.
    std::string leaderAddress() const;
    // Routers and endpoints as the leader sees them, as YAML.
    std::string dump();

private:
    void run();
    // Starts afresh when this replica begins to lead. False if it does not lead.
    bool ensureLeading(Time now);
    void runPlacement();
    // Finds out which endpoints that fell silent are gone, so that their replicas need not count any longer.
    void probeLostEndpoints();
    std::vector<Order> propose(std::vector<pb::Command> commands);
    void enqueue(const Order &order);
    void sendQueued(EndpointId endpoint);
    void sendOrder(const Order &order, const std::string &address);

    ReplicaNode &m_node;
    std::mutex m_mutex; // guards the four below
    Directory m_directory;
    Placement m_placement;
    uint64_t m_term = 0;
    Time m_nextProbeAt{};

    std::mutex m_ordersMutex;
    std::map<EndpointId, std::deque<Order>> m_queuedOrders; // an entry exists while a task sends from it
    tbb::global_control m_parallelism;
    tbb::task_arena m_arena;
    tbb::task_group m_tasks;

    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace roserail
