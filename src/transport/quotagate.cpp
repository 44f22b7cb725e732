#include "transport/quotagate.h"

#include "mesh.grpc.pb.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <algorithm>
#include <future>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxChannels = 16; // to control hosts

} // namespace

QuotaGate::QuotaGate(net::io_context &io, const QuotaBounds &bounds, std::string router, std::vector<std::string> seeds)
    : m_io(io)
    , m_router(std::move(router))
    , m_seeds(std::move(seeds))
    , m_stock(bounds)
    , m_retryTimer(io)
    , m_thread([this] { run(); })
{
}

QuotaGate::~QuotaGate()
{
    m_stop = true;
    wake();
    m_thread.join();
}

void QuotaGate::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_wake.notify_one();
}

void QuotaGate::setHosts(std::string leader, std::vector<std::string> hosts)
{
    if (!leader.empty())
        m_leader = std::move(leader);
    m_hosts = std::move(hosts);
}

void QuotaGate::begin(QuotaRequest &request, Time now)
{
    static Counter &fromStock = metrics().counter("roserail_quota_requests_from_stock_total");
    static Counter &refused = metrics().counter("roserail_quota_requests_refused_at_once_total");
    request.granted = m_stock.take(request.account, request.units, now);
    if (request.granted) {
        fromStock.add();
        request.usableUntil = m_stock.usableUntil(request.account, now);
        if (now >= m_nextRefillAt && m_stock.wanted(request.account, now) > 0)
            wake();
        return;
    }
    request.mostUnits = m_stock.exceeds(request.account, request.units);
    if (request.mostUnits)
        return;
    if (!m_stock.mayAskAgain(request.account, now))
        request.retryAt = m_stock.refuse(request.account, request.units, now);
    if (request.retryAt) {
        refused.add();
        return;
    }
    request.askAt = now;
    m_waiting.push_back(&request);
    wake();
}

void QuotaGate::remove(QuotaRequest &request)
{
    std::erase(m_waiting, &request);
    if (!m_call)
        return;
    for (std::vector<QuotaRequest *> &it : m_call->requests)
        std::replace(it.begin(), it.end(), &request, static_cast<QuotaRequest *>(nullptr));
}

// Returns the control host to ask: the leader, unless it did not answer lately, else each host in turn, which then names the leader.
std::string QuotaGate::nextHost(Time now)
{
    if (!m_leader.empty() && (m_leader != m_suspect || now >= m_suspectUntil))
        return m_leader;
    std::vector<std::string> hosts = m_hosts;
    hosts.insert(hosts.end(), m_seeds.begin(), m_seeds.end());
    if (hosts.size() > 1 && now < m_suspectUntil)
        std::erase(hosts, m_suspect);
    return hosts.empty() ? "" : hosts[m_nextHost++ % hosts.size()];
}

// Returns the waiting requests that are to be asked for now. Those whose account is no longer limited are granted.
std::map<AccountId, std::vector<QuotaRequest *>> QuotaGate::dueRequests(Time now)
{
    std::map<AccountId, std::vector<QuotaRequest *>> due;
    Time nextAskAt = Time::max();
    for (QuotaRequest *it : m_waiting) {
        it->granted = m_stock.held().count(it->account) == 0;
        it->usableUntil = Time::max();
        if (it->granted)
            continue;
        if (it->askAt <= now)
            due[it->account].push_back(it);
        else
            nextAskAt = std::min(nextAskAt, it->askAt);
    }
    wakeDecided();
    if (nextAskAt != Time::max())
        scheduleRetry(nextAskAt);
    return due;
}

const QuotaGate::Call *QuotaGate::buildCall()
{
    const Time now = monotonicNow();
    std::map<AccountId, std::vector<QuotaRequest *>> due = dueRequests(now);
    const bool refill = now >= m_nextRefillAt;
    Call call;
    for (const std::pair<const AccountId, QuotaStock::Held> &it : m_stock.held()) {
        std::vector<QuotaRequest *> &requests = due[it.first];
        const double wanted = refill || !requests.empty() ? m_stock.wanted(it.first, now) : 0;
        if (requests.empty() && wanted == 0)
            continue;
        pb::QuotaAsk &ask = *call.request.add_asks();
        ask.set_account(it.first.value());
        ask.set_stock(wanted);
        for (const QuotaRequest *request : requests) {
            ask.add_units(request->units);
            ask.add_again(request->again);
            ask.add_request(request->fingerprint.value_or(Fingerprint()).value());
            ask.add_longest_wait_ms(uint32_t(std::max<int64_t>(0, (request->longestWaitUntil - now).count())));
        }
        call.accounts.push_back(it.first);
        call.requests.push_back(std::move(requests));
    }
    call.address = call.accounts.empty() ? "" : nextHost(now);
    if (call.address.empty())
        return nullptr;
    m_nextRefillAt = now + QuotaRefillInterval;
    call.request.set_router(m_router);
    call.askedAt = now;
    m_call = std::move(call);
    return &*m_call;
}

void QuotaGate::endCall(const pb::LeaseReply *reply)
{
    const Time now = monotonicNow();
    const Call call = std::move(*m_call);
    m_call.reset();
    const bool silentLeader = reply == nullptr && call.address == m_leader;
    if (silentLeader) {
        m_suspect = m_leader;
        m_suspectUntil = now + QuotaSuspectTime;
    }
    const bool leads = reply != nullptr && reply->leader() && size_t(reply->grants_size()) == call.accounts.size();
    if (leads)
        m_leader = call.address;
    else if (reply != nullptr && (call.address == m_leader || !reply->leader_address().empty()))
        m_leader = reply->leader_address() == call.address ? "" : reply->leader_address();
    recordAnswered(leads, call.address, now);
    for (size_t i = 0; leads && i < call.accounts.size(); ++i)
        apply(call, i, reply->grants(int(i)), now);
    wakeDecided();
}

void QuotaGate::apply(const Call &call, size_t ask, const pb::QuotaGrant &grant, Time now)
{
    const AccountId &account = call.accounts[ask];
    m_stock.add(account, grant.stock(), call.askedAt, now);
    for (int i = 0; i < grant.answers_size() && size_t(i) < call.requests[ask].size(); ++i) {
        const Millis retryIn(i < grant.retry_in_ms_size() ? grant.retry_in_ms(i) : 0);
        QuotaRequest *request = call.requests[ask][size_t(i)];
        if (request != nullptr)
            applyAnswer(*request, call.askedAt, grant.answers(i), retryIn, now);
        else if (grant.answers(i) == pb::QUOTA_ANSWER_GRANTED) // it has ended
            m_stock.add(account, call.request.asks(int(ask)).units(i), call.askedAt, now);
    }
}

void QuotaGate::applyAnswer(QuotaRequest &request, Time askedAt, pb::QuotaAnswer answer, Millis retryIn, Time now)
{
    request.usableUntil = m_stock.usableUntil(request.account, askedAt);
    request.granted = answer == pb::QUOTA_ANSWER_GRANTED && now <= request.usableUntil;
    request.again = true;
    request.askAt = now + retryIn;
    if (answer != pb::QUOTA_ANSWER_DENIED)
        return;
    request.retryAt = request.askAt;
    m_stock.recordDenied(request.account, request.units, retryIn, now);
}

void QuotaGate::wakeDecided()
{
    std::vector<QuotaRequest *> decided;
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(decided), [](const QuotaRequest *it) { return it->decided(); });
    std::erase_if(m_waiting, [](const QuotaRequest *it) { return it->decided(); });
    for (const QuotaRequest *it : decided)
        it->wake();
}

// Logs when the leader does not answer, and when one does again.
void QuotaGate::recordAnswered(bool answered, const std::string &host, Time now)
{
    if (answered && m_lostSince != Time::max())
        logEvent("quota_leader_regained", {{"host", host}, {"lost_ms", (now - m_lostSince).count()}, {"waiting", m_waiting.size()}});
    else if (!answered && m_lostSince == Time::max())
        logEvent("quota_leader_lost", {{"host", host}, {"waiting", m_waiting.size()}});
    m_lostSince = answered ? Time::max() : std::min(m_lostSince, now);
}

// Wakes the thread at a time.
void QuotaGate::scheduleRetry(Time at)
{
    m_retryTimer.expires_after(at - monotonicNow());
    m_retryTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            wake();
    });
}

void QuotaGate::run()
{
    while (!m_stop) {
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_woken || m_stop; });
            m_woken = false;
        }
        bool again = true;
        while (again && !m_stop)
            again = callOnce();
    }
}

// Makes the next call, if there is one. Returns whether another may be due.
bool QuotaGate::callOnce()
{
    static Counter &calls = metrics().counter("roserail_quota_calls_total");
    std::promise<const Call *> promise;
    std::future<const Call *> built = promise.get_future();
    net::post(m_io, [this, &promise] { promise.set_value(buildCall()); });
    // Only its requests change until it ends.
    const Call *call = built.get();
    if (call == nullptr)
        return false;
    if (m_channels.size() > MaxChannels)
        m_channels.clear();
    std::unique_ptr<Channel> &channel = m_channels[call->address];
    if (!channel)
        channel = std::make_unique<Channel>(call->address);
    grpc::ClientContext context;
    setDeadline(context, QuotaCallTimeout);
    const std::shared_ptr<pb::LeaseReply> reply = std::make_shared<pb::LeaseReply>();
    const std::shared_ptr<grpc::Channel> used = channel->get();
    const grpc::Status status = pb::Mesh::NewStub(used)->Lease(&context, call->request, reply.get());
    channel->handleStatus(status, used);
    calls.add();
    if (!status.ok())
        m_silentHost = channel->address();
    else if (reply->leader())
        m_silentHost.clear();
    const bool known = status.ok() && (reply->leader() || (!reply->leader_address().empty() && reply->leader_address() != m_silentHost));
    net::post(m_io, [this, reply, ok = status.ok()] { endCall(ok ? reply.get() : nullptr); });
    if (!known)
        std::this_thread::sleep_for(QuotaRetryInterval);
    return true;
}

nlohmann::json QuotaGate::dump() const
{
    const Time now = monotonicNow();
    nlohmann::json accounts = nlohmann::json::object();
    for (const std::pair<const AccountId, QuotaStock::Held> &it : m_stock.held())
        accounts[it.first.value()] = {{"stock", it.second.units},
                                      {"per_s", it.second.quota.perSecond},
                                      {"denied_for_ms", std::max<int64_t>(0, (it.second.deniedUntil - now).count())}};
    return {{"leader", m_leader},
            {"lost_ms", m_lostSince == Time::max() ? 0 : (now - m_lostSince).count()},
            {"waiting", m_waiting.size()},
            {"accounts", std::move(accounts)}};
}

} // namespace roserail
