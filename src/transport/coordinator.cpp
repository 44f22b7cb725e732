#include "transport/coordinator.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/attempt.h"
#include "transport/blockingcall.h"
#include "transport/clock.h"

#include <future>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr int OrderThreads = 32;
constexpr Millis CommitTimeout{2000};
constexpr Millis ProbeInterval{1000};

std::optional<Order> orderFor(const pb::Command &command, const pb::CommandResult &result, const Ledger &ledger)
{
    const bool orders = command.has_reserve_slot() || command.has_send_order();
    const Slot *slot = orders && result.verdict() == pb::VERDICT_OK ? ledger.slot(SlotId(result.slot())) : nullptr;
    if (slot == nullptr)
        return std::nullopt;
    const bool unload = command.has_send_order() && command.send_order().kind() == pb::ORDER_UNLOAD;
    Order order;
    order.slot = slot->id;
    order.fence = Fence(result.fence());
    order.kind = unload ? OrderKind::Unload : OrderKind::Load;
    order.endpoint = slot->endpoint;
    order.incarnation = slot->incarnation;
    order.artifact = slot->artifact;
    order.base = slot->base;
    order.version = slot->version;
    order.bytes = slot->bytes;
    return order;
}

} // namespace

Coordinator::Coordinator(ReplicaNode &node)
    : m_node(node)
    , m_parallelism(tbb::global_control::max_allowed_parallelism, OrderThreads + 8)
    , m_arena(OrderThreads)
    , m_thread([this] { run(); })
{
}

Coordinator::~Coordinator()
{
    m_stop = true;
    m_thread.join();
    m_arena.execute([this] { m_tasks.wait(); });
}

std::string Coordinator::leaderAddress() const
{
    const ReplicaStatus status = m_node.status();
    for (const pb::Member &it : status.membership.members()) {
        if (status.leader && fromProto(it.identity()) == *status.leader)
            return it.peer_address();
    }
    return "";
}

bool Coordinator::ensureLeading(Time now)
{
    const ReplicaStatus status = m_node.status();
    if (!status.leads(now))
        return false;
    if (status.term != m_term) {
        m_term = status.term;
        m_directory.reset(now);
        m_placement.reset(now);
        logEvent("leading", {{"term", m_term}});
    }
    return true;
}

pb::HeartbeatReply Coordinator::heartbeat(const pb::HeartbeatRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const Time now = monotonicNow();
    pb::HeartbeatReply reply;
    if (!ensureLeading(now)) {
        reply.set_leader_peer_address(leaderAddress());
        return reply;
    }
    reply.set_leader(true);
    reply.set_term(m_term);
    m_placement.updateDemand(RouterId(request.router()), request.demands(), now);
    m_node.withMachine([&](const StateMachine &machine) { m_directory.heartbeat(request, machine, now, reply); });
    for (const pb::Demand &it : request.demands()) {
        if (it.waiting() > 0)
            *reply.add_estimates() = m_placement.estimate(ArtifactId(it.artifact()));
    }
    // The lease may have expired while the reply was built.
    if (!m_node.status().leads(monotonicNow()))
        return pb::HeartbeatReply();
    return reply;
}

bool Coordinator::inForce(Revision revision)
{
    const std::lock_guard lock(m_mutex);
    const Time now = monotonicNow();
    return ensureLeading(now) && m_directory.inForce(revision, now);
}

void Coordinator::run()
{
    while (!m_stop) {
        std::this_thread::sleep_for(PlacementInterval);
        runPlacement();
        probeLostEndpoints();
    }
}

void Coordinator::probeLostEndpoints()
{
    std::vector<pb::EndpointReport> lost;
    {
        const std::lock_guard lock(m_mutex);
        const Time now = monotonicNow();
        if (now < m_nextProbeAt || !ensureLeading(now))
            return;
        m_nextProbeAt = now + ProbeInterval;
        m_node.withMachine([&](const StateMachine &machine) {
            for (const std::pair<const EndpointId, EndpointView> &it : m_directory.endpoints()) {
                const bool reportMissing = m_directory.report(it.first, it.second.report.incarnation()) == nullptr;
                if (reportMissing && machine.ledger().reservedOnEndpoint(it.first) > 0)
                    lost.push_back(it.second.report);
            }
        });
    }
    for (const pb::EndpointReport &it : lost) {
        m_arena.execute([&] {
            m_tasks.run([this, it] {
                // A refused connection proves that the host is up and the process is not. A missing answer proves nothing.
                if (!endpointGone(it.address(), it.incarnation()))
                    return;
                logEvent("endpoint_gone", {{"endpoint", it.endpoint()}, {"incarnation", it.incarnation()}});
                pb::Command command;
                command.mutable_forget_endpoint()->set_endpoint(it.endpoint());
                command.mutable_forget_endpoint()->set_incarnation(it.incarnation());
                m_node.propose(std::move(command), [](const Result<pb::CommandResult> &) {});
            });
        });
    }
}

void Coordinator::runPlacement()
{
    std::vector<pb::Command> commands;
    {
        const std::lock_guard lock(m_mutex);
        const Time now = monotonicNow();
        if (!ensureLeading(now))
            return;
        m_directory.expire(now);
        m_node.withMachine([&](const StateMachine &machine) { commands = m_placement.decide(machine, m_directory, now); });
    }
    for (const Order &it : propose(std::move(commands)))
        enqueue(it);
}

// Commits the commands and returns the orders that may now be sent.
std::vector<Order> Coordinator::propose(std::vector<pb::Command> commands)
{
    std::vector<std::future<Result<pb::CommandResult>>> futures;
    for (const pb::Command &it : commands) {
        const std::shared_ptr<std::promise<Result<pb::CommandResult>>> promise
            = std::make_shared<std::promise<Result<pb::CommandResult>>>();
        futures.push_back(promise->get_future());
        m_node.propose(it, [promise](const Result<pb::CommandResult> &result) { promise->set_value(result); });
    }
    std::vector<Order> orders;
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + CommitTimeout;
    for (size_t i = 0; i < commands.size(); ++i) {
        if (futures[i].wait_until(deadline) != std::future_status::ready)
            continue;
        const Result<pb::CommandResult> result = futures[i].get();
        if (result.has_error())
            continue;
        const std::lock_guard lock(m_mutex);
        m_node.withMachine([&](const StateMachine &machine) {
            const std::optional<Order> order = orderFor(commands[i], result.value(), machine.ledger());
            if (!order)
                return;
            m_placement.recordOrderSent(order->slot, monotonicNow());
            m_directory.refresh(order->endpoint, machine.ledger());
            orders.push_back(*order);
        });
    }
    return orders;
}

// Orders for one endpoint are sent one after another: an order with a higher fencing token that arrives first would
// invalidate the earlier ones.
void Coordinator::enqueue(const Order &order)
{
    const std::lock_guard lock(m_ordersMutex);
    const bool idle = m_queuedOrders.count(order.endpoint) == 0;
    m_queuedOrders[order.endpoint].push_back(order);
    if (idle)
        m_arena.execute([&] { m_tasks.run([this, endpoint = order.endpoint] { sendQueued(endpoint); }); });
}

void Coordinator::sendQueued(EndpointId endpoint)
{
    while (true) {
        Order order;
        {
            const std::lock_guard lock(m_ordersMutex);
            std::deque<Order> &queue = m_queuedOrders[endpoint];
            if (queue.empty() || m_stop) {
                m_queuedOrders.erase(endpoint);
                return;
            }
            order = queue.front();
            queue.pop_front();
        }
        std::string address;
        {
            const std::lock_guard lock(m_mutex);
            const pb::EndpointReport *report = m_directory.report(endpoint, order.incarnation);
            address = report == nullptr ? "" : report->address();
        }
        sendOrder(order, address);
    }
}

void Coordinator::sendOrder(const Order &order, const std::string &address)
{
    const Result<HostPort> target = parseHostPort(address);
    uint64_t sequence = 0;
    bool answered = true; // also if no byte was sent
    const bool maySend = target.has_value() && m_node.status().leads(monotonicNow());
    if (maySend) {
        const BlockingCall call
            = callBlocking(address, "POST", "/v1/orders", {{"Content-Type", "application/json"}, {"Connection", "close"}},
                           encodeOrder(order), ConnectTimeout, OrderTimeout);
        answered = call.answer || call.connectError;
        sequence = call.answer ? parseOrderAnswer(call.answer->body) : 0;
        logEvent("order",
                 {{"kind", order.kind == OrderKind::Load ? "load" : "unload"},
                  {"endpoint", order.endpoint.value()},
                  {"artifact", order.artifact.value()},
                  {"fence", order.fence.value()},
                  {"status", call.answer ? call.answer->status : 0},
                  {"error",
                   call.answer             ? "none"
                       : call.connectError ? call.connectError.message()
                                           : "no complete answer"}});
    }
    metrics().counter(answered ? "roserail_orders_total{answer=\"yes\"}" : "roserail_orders_total{answer=\"lost\"}").add();
    if (!answered)
        return;
    pb::Command command;
    command.mutable_answer_order()->set_slot(order.slot.value());
    command.mutable_answer_order()->set_fence(order.fence.value());
    command.mutable_answer_order()->set_sequence(sequence);
    m_node.propose(std::move(command), [](const Result<pb::CommandResult> &) {});
}

std::string Coordinator::dump()
{
    const std::lock_guard lock(m_mutex);
    const Time now = monotonicNow();
    std::string out = "routers:\n";
    for (const std::pair<const RouterId, RouterView> &it : m_directory.routers()) {
        out += fmt::format("  - {{id: {}, address: \"{}\", zone: {}, draining: {}, appliedRevision: {}, leaseMs: {}}}\n", it.first.value(),
                           it.second.address, it.second.zone, it.second.draining, it.second.appliedRevision,
                           (it.second.leaseUntil - now).count());
    }
    out += "endpoints:\n";
    for (const std::pair<const EndpointId, EndpointView> &it : m_directory.endpoints()) {
        const pb::EndpointReport &report = it.second.report;
        out += fmt::format(
            "  - {{id: {}, incarnation: {}, address: \"{}\", host: {}, zone: {}, pool: {}, leaving: {}, gone: {}, fence: {}, running: {}, "
            "artifacts: {}}}\n",
            it.first.value(), report.incarnation(), report.address(), report.host(), report.zone(), report.pool(), report.leaving(),
            it.second.visible.gone(), report.fence(), report.running(), report.artifacts_size());
    }
    return out;
}

} // namespace roserail
