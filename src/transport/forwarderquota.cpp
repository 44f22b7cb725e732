// Requests of Forwarder under the quotas of client accounts: a request is charged where it came from its caller.
#include "coordination/admission.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <cmath>
#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

bool Forwarder::limitedByQuota(const Request &request) const
{
    return m_quotas != nullptr && request.relayedFrom.empty() && request.account != nullptr && request.account->quota.limited();
}

// Waits for the units that the request uses. If it gets none, sets the refusal and returns false.
Task<bool> Forwarder::takeQuota(Request &request)
{
    static Histogram &waits = metrics().histogram("roserail_quota_wait_milliseconds");
    const Time since = monotonicNow();
    const Time until = std::min(request.deadline, since + configurationWait(request.metadata.timeout));
    net::steady_timer timer(m_io, until - since);
    request.grant = QuotaRequest();
    request.grant.account = request.account->id;
    request.grant.units = request.account->quota.cost(request.metadata.tokens);
    request.grant.fingerprint = request.fingerprint;
    request.grant.longestWaitUntil = since + Millis(int64_t(double((request.deadline - since).count()) * MaxRetryAfterShare));
    request.grant.wake = request.cancellation->cancelPending = [&timer] {
        timer.cancel();
    };
    m_quotas->begin(request.grant, since);
    while (!request.grant.decided() && !request.cancellation->cancelled() && monotonicNow() < until) {
        ErrorCode ec;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
    request.cancellation->cancelPending = nullptr;
    m_quotas->remove(request.grant);
    const Time now = monotonicNow();
    waits.record(uint64_t((now - since).count()));
    request.quotaWait += now - since;
    if (request.grant.granted)
        co_return true;
    refuseByQuota(request, now);
    co_return false;
}

void Forwarder::refuseByQuota(Request &request, Time now)
{
    static Counter &unanswered = metrics().counter("roserail_quota_requests_unanswered_total");
    static Counter &exceeding = metrics().counter("roserail_quota_requests_exceeding_total");
    request.refusedByQuota = true;
    if (request.grant.mostUnits) {
        exceeding.add();
        request.cause
            = fmt::format("the request uses {} units, the quota of its client account allows for {} at most; send smaller requests, "
                          "or have the account's burst raised",
                          request.grant.units, std::floor(*request.grant.mostUnits));
        request.refusalKind = ErrorKind::OverQuota;
        request.retryDelay = Millis(0);
        return;
    }
    if (request.grant.retryAt) {
        request.cause = "the client account has used what it may for now";
        request.refusalKind = ErrorKind::OverQuota;
        request.retryDelay = std::max(Millis(1), Millis(*request.grant.retryAt - now));
        return;
    }
    unanswered.add();
    request.cause = "no control host could tell in time whether the client account is within its quota";
    request.retryDelay = RetryAfterBusy;
}

// Returns whether the request must not be sent on before it has new units: its grant has expired, as it does while the host is frozen.
bool Forwarder::quotaExpired(const Request &request) const
{
    return limitedByQuota(request) && request.progress.runs == 0 && !(request.grant.granted && monotonicNow() <= request.grant.usableUntil);
}

Task<> Forwarder::renewQuota(Request &request)
{
    static Counter &expired = metrics().counter("roserail_quota_grants_expired_total");
    expired.add();
    request.cause = "the units granted to the request expired before it was sent";
    co_await takeQuota(request);
}

// Keeps the units of a request that has not run, for another one.
void Forwarder::giveQuotaBack(const Request &request)
{
    if (limitedByQuota(request) && request.grant.granted)
        m_quotas->stock().giveBack(request.grant.account, request.grant.units, request.grant.usableUntil, monotonicNow());
}

} // namespace roserail
