#include "transport/ordersender.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/tasks.h"

namespace roserail
{

using namespace tunables;

OrderSender::OrderSender(net::io_context &io, const PlatformCodec &codec, LiveTable &table, ReplicaNode &node, std::string holder,
                         Millis orderLease)
    : m_io(io)
    , m_codec(codec)
    , m_table(table)
    , m_node(node)
    , m_holder(std::move(holder))
    , m_orderLease(orderLease)
    , m_pool(io)
{
}

Task<> OrderSender::run()
{
    const auto iteration = [this] {
        return waitAndPlan();
    };
    const auto drop = [this] {
        dropPlan();
    };
    co_await repeat(m_io, "send_orders", iteration, drop);
}

Task<bool> OrderSender::waitAndPlan()
{
    net::steady_timer timer(m_io, PlacementInterval);
    ErrorCode ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    planOnce(monotonicNow());
    m_pool.closeExpired(monotonicNow());
    co_return true;
}

// The next plan begins with reports of the engines, as after a lease that was lost.
void OrderSender::dropPlan()
{
    if (m_residency)
        m_lastNumbers = m_residency->lastNumbers();
    m_residency.reset();
}

// Returns the configuration in force, decoded once per version; null if there is none yet.
std::shared_ptr<const RouteTable> OrderSender::routes()
{
    const uint64_t known = m_routes ? m_routes->version : 0;
    const std::string content = m_node.withMachine([&](const StateMachine &machine) {
        return machine.configuration().version() == known ? std::string() : machine.configuration().content();
    });
    if (content.empty())
        return m_routes;
    Result<RouteTable> table = m_codec.decodeConfiguration(content);
    if (table.has_error())
        logEvent("configuration_error", {{"error", table.error().message}});
    else
        m_routes = std::make_shared<const RouteTable>(std::move(table.value()));
    return m_routes;
}

// Creates a new plan when this process starts to lead. A leader that regains its lease in the same term need not wait
// again before it sends orders, because no other replica has led in between.
void OrderSender::beginTerm(const ReplicaStatus &status, Time now)
{
    if (m_residency)
        m_lastNumbers = m_residency->lastNumbers();
    // The previous leader sent its last order before its lease ended, which was before this term began. If that was this host, no other
    // holder's orders can still arrive, but the loads that it began count toward the weight store's rate.
    const Time otherOrdersEndAt = now + m_orderLease + OrderDeliveryMargin;
    if (status.term != m_term) {
        m_ordersAllowedAt = status.sentLastOrders ? std::max(m_ordersAllowedAt, now + OrderResumeDelay) : otherOrdersEndAt;
        m_storeLoadsAllowedAt = otherOrdersEndAt;
        m_ordersRecorded = false;
    }
    m_term = status.term;
    m_residency = std::make_unique<Residency>(m_term, m_lastNumbers, m_holder, m_ordersAllowedAt);
    m_residency->allowStoreLoadsFrom(m_storeLoadsAllowedAt);
    m_table.setOrderPermission(LiveTable::OrderPermission{m_term, m_ordersAllowedAt});
    logEvent("orders_begin",
             {{"term", m_term}, {"from_ms", (m_ordersAllowedAt - now).count()}, {"sent_last_orders", status.sentLastOrders}});
}

void OrderSender::planOnce(Time now)
{
    const ReplicaStatus status = m_node.status();
    if (!status.leads(now)) {
        const bool planned = m_residency != nullptr;
        dropPlan();
        if (planned)
            logEvent("orders_stopped", {{"term", m_term}, {"last_fence", m_lastNumbers.fence}});
        return;
    }
    if (!m_residency || m_term != status.term)
        beginTerm(status, now);
    const std::shared_ptr<const RouteTable> table = routes();
    if (!table)
        return;
    if (m_onRoutes)
        m_onRoutes(table);
    struct Target {
        std::string address;
        uint64_t startedAtMs = 0;
    };
    std::map<std::string, Target> targets;
    m_table.expire(now);
    m_table.change([&](Registry &registry) {
        m_residency->observe(*table, registry, now);
        for (const std::pair<const std::string, LiveEndpoint> &it : registry.endpoints())
            targets[it.first] = Target{it.second.announcement.address(), it.second.announcement.born_ms()};
    });
    Residency::Plan plan = m_residency->decide(now);
    const std::vector<pb::Holdings> holdings = m_residency->takeHoldings(now);
    if (!holdings.empty()) {
        m_table.change([&](Registry &registry) {
            for (const pb::Holdings &it : holdings)
                registry.merge(it, now);
        });
    }
    if (!plan.orders.empty() && !m_ordersRecorded) {
        m_node.recordOrders();
        m_ordersRecorded = true;
    }
    for (ArtifactOrder &it : plan.orders) {
        const std::string address = targets[it.endpoint].address;
        const auto unanswered = [this, order = it, term = m_term] {
            if (m_residency && m_term == term)
                m_residency->orderAnswered(order, std::nullopt, monotonicNow());
        };
        spawn(m_io, "send_order", sendOrder(std::move(it), address, m_term), unanswered);
    }
    for (const std::string &it : plan.reportRequests) {
        const auto unanswered = [this, endpoint = it, term = m_term] {
            if (m_residency && m_term == term)
                m_residency->reportFailed(endpoint, monotonicNow());
        };
        spawn(m_io, "request_report", requestReport(it, targets[it].address, targets[it].startedAtMs, m_term), unanswered);
    }
}

Task<> OrderSender::sendOrder(ArtifactOrder order, std::string address, uint64_t term)
{
    // Checks the lease again right before sending: the process may have been suspended since the order was planned, or while it connected.
    const std::shared_ptr<bool> sent = std::make_shared<bool>(false);
    const auto permitted = [this, sent] {
        return *sent = m_node.status().leads(monotonicNow());
    };
    const Time startedAt = monotonicNow();
    const std::optional<CallAnswer> answer = co_await callEndpoint(
        m_pool, address, "POST", m_codec.orderPath(), m_codec.orderHeaders(order), m_codec.encodeOrder(order), OrderTimeout, permitted);
    metrics().counter(answer ? "roserail_orders_total{answer=\"yes\"}" : "roserail_orders_total{answer=\"none\"}").add();
    logEvent("order",
             {{"action", order.action == OrderAction::Load ? "load" : "unload"},
              {"endpoint", order.endpoint},
              {"model", order.model},
              {"adapter", order.adapter},
              {"fence", order.fence},
              {"expected", order.expectedSequence},
              {"sent", *sent},
              {"status", answer ? answer->status : 0},
              {"took_ms", (monotonicNow() - startedAt).count()},
              {"waiting", order.inputs.waiting},
              {"running", order.inputs.running},
              {"longest_wait_ms", order.inputs.longestWait.count()},
              {"holders", order.inputs.holders},
              {"used_mb", int64_t(order.inputs.usedMegabytes)},
              {"contents_age_ms", order.inputs.contentsAge.count()},
              {"from_store", order.inputs.fromStore},
              {"room_for", order.inputs.roomFor}});
    if (!m_residency || m_term != term)
        co_return;
    std::optional<OrderAnswer> outcome;
    if (answer)
        outcome = m_codec.decodeOrderAnswer(int(answer->status));
    m_residency->orderAnswered(order, outcome, monotonicNow());
}

Task<> OrderSender::requestReport(std::string endpoint, std::string address, uint64_t startedAtMs, uint64_t term)
{
    const Time requestedAt = monotonicNow();
    const std::optional<CallAnswer> answer = co_await callEndpoint(m_pool, address, "GET", m_codec.reportPath(), {}, "", OrderTimeout);
    if (!m_residency || m_term != term)
        co_return;
    if (answer && answer->status == 200) {
        const Result<EngineReport> report = m_codec.decodeReport(answer->body);
        if (report.has_value()) {
            m_residency->applyReport(endpoint, startedAtMs, report.value(), requestedAt);
            co_return;
        }
        logEvent("report_refused", {{"endpoint", endpoint}, {"error", report.error().message}});
    }
    m_residency->reportFailed(endpoint, monotonicNow());
}

} // namespace roserail
