#include "transport/quotagranter.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "transport/clock.h"

#include <cmath>
#include <limits>

namespace roserail
{

namespace
{

constexpr Millis DeniedLogInterval{1000};

pb::QuotaAnswer toProto(QuotaVerdict verdict)
{
    static constexpr std::array answers{pb::QUOTA_ANSWER_GRANTED, pb::QUOTA_ANSWER_LATER, pb::QUOTA_ANSWER_DENIED};
    return answers[size_t(verdict)];
}

} // namespace

QuotaGranter::QuotaGranter(const ReplicaNode *node, const LiveTable &table, QuotaBounds bounds)
    : m_node(node)
    , m_table(table)
    , m_bounds(bounds)
    , m_allocator(bounds)
{
}

void QuotaGranter::setBounds(const QuotaBounds &bounds)
{
    const std::lock_guard lock(m_mutex);
    m_bounds = bounds;
    m_allocator.setBounds(bounds);
}

void QuotaGranter::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    const std::lock_guard lock(m_mutex);
    if (routes == m_routes)
        return;
    m_routes = std::move(routes);
    m_allocator.setAccounts(m_routes->accounts.value_or(Accounts()), monotonicNow());
}

std::string QuotaGranter::leaderAddress() const
{
    if (m_node != nullptr) {
        const ReplicaStatus status = m_node->status();
        for (const pb::Member &it : status.membership.members()) {
            if (status.leader && fromProto(it.identity()) == *status.leader)
                return it.peer_address();
        }
    }
    return m_table.read([](const Registry &registry) {
        const LiveKeeper *leader = registry.leader();
        return leader == nullptr ? std::string() : leader->state.address();
    });
}

// What an earlier leader granted is not known.
void QuotaGranter::beginTerm(uint64_t term, Time now)
{
    m_term = term;
    m_allocator = QuotaAllocator(m_bounds);
    if (m_routes)
        m_allocator.setAccounts(m_routes->accounts.value_or(Accounts()), now);
    logEvent("quotas_begin", {{"term", term}, {"accounts", m_allocator.buckets().size()}});
}

pb::LeaseReply QuotaGranter::lease(const pb::LeaseRequest &request)
{
    pb::LeaseReply reply;
    const ReplicaStatus status = m_node == nullptr ? ReplicaStatus() : m_node->status();
    bool leads = status.leads(monotonicNow());
    if (leads) {
        const std::lock_guard lock(m_mutex);
        const Time now = monotonicNow();
        if (status.term > m_term)
            beginTerm(status.term, now);
        for (const pb::QuotaAsk &it : request.asks())
            decide(it, now, *reply.add_grants());
        logDenied(now);
        leads = status.term == m_term;
    }
    // The lease may have expired before the decision.
    if (leads && m_node->status().leads(monotonicNow())) {
        reply.set_leader(true);
        return reply;
    }
    reply.clear_grants();
    reply.set_leader_address(leaderAddress());
    return reply;
}

void QuotaGranter::decide(const pb::QuotaAsk &ask, Time now, pb::QuotaGrant &out)
{
    static Counter &requests = metrics().counter("roserail_quota_requests_granted_total");
    static Counter &denied = metrics().counter("roserail_quota_requests_denied_total");
    static Counter &later = metrics().counter("roserail_quota_requests_postponed_total");
    static const std::array<Counter *, 3> counters{&requests, &later, &denied};
    const AccountId account(ask.account());
    for (int i = 0; i < ask.units_size(); ++i) {
        QuotaUse use;
        use.units = std::isfinite(ask.units(i)) ? std::max(0.0, ask.units(i)) : std::numeric_limits<double>::max();
        use.again = i < ask.again_size() && ask.again(i);
        // Routers of earlier releases send neither.
        if (i < ask.request_size() && ask.request(i) != 0)
            use.request = Fingerprint(ask.request(i));
        if (i < ask.longest_wait_ms_size())
            use.longestWait = Millis(ask.longest_wait_ms(i));
        const QuotaDecision decision = m_allocator.ask(account, use, now);
        out.add_answers(toProto(decision.verdict));
        out.add_retry_in_ms(uint32_t(decision.retryIn.count()));
        counters[size_t(decision.verdict)]->add();
        if (decision.verdict == QuotaVerdict::Denied)
            ++m_denied[account];
    }
    if (ask.stock() > 0)
        out.set_stock(m_allocator.refill(account, ask.stock(), now));
}

void QuotaGranter::logDenied(Time now)
{
    if (m_denied.empty() || now < m_nextLogAt)
        return;
    m_nextLogAt = now + DeniedLogInterval;
    for (const std::pair<const AccountId, uint64_t> &it : m_denied) {
        const auto bucket = m_allocator.buckets().find(it.first);
        if (bucket != m_allocator.buckets().end())
            logEvent("quota_denied",
                     {{"account", it.first.value()},
                      {"requests", it.second},
                      {"left", int64_t(bucket->second.level)},
                      {"per_s", bucket->second.quota.perSecond},
                      {"queue_ms", std::max<int64_t>(0, (bucket->second.queueEnd - now).count())},
                      {"places", bucket->second.places.size()},
                      {"places_kept", bucket->second.placesKept},
                      {"places_expired", bucket->second.placesExpired},
                      {"term", m_term}});
    }
    m_denied.clear();
}

nlohmann::json QuotaGranter::dump() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json accounts = nlohmann::json::object();
    for (const std::pair<const AccountId, QuotaAllocator::Bucket> &it : m_allocator.buckets())
        accounts[it.first.value()]
            = {{"per_s", it.second.quota.perSecond},    {"burst", it.second.quota.burst},      {"left", it.second.level},
               {"granted", it.second.granted},          {"denied", it.second.denied},          {"places", it.second.places.size()},
               {"places_given", it.second.placesGiven}, {"places_kept", it.second.placesKept}, {"places_expired", it.second.placesExpired}};
    return {{"term", m_term}, {"accounts", std::move(accounts)}};
}

} // namespace roserail
