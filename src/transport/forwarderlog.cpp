// Log lines of Forwarder: the outcome of each request, and the decisions about it with their inputs.
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

namespace roserail
{

namespace
{

constexpr std::string_view FramingNames[] = {"none", "length", "chunked", "close"};

} // namespace

void Forwarder::logRequest(const Request &request, std::string_view outcome) const
{
    static Histogram &took = metrics().histogram("roserail_request_milliseconds");
    const Time now = monotonicNow();
    took.record(uint64_t((now - request.caller.arrivedAt()).count()));
    metrics().counter(fmt::format("roserail_requests_total{{outcome=\"{}\"}}", outcome)).add();
    countByAccount(request, outcome);
    logOutcome("request",
               {{"id", request.metadata.id},
                {"route", request.route == nullptr ? "" : request.route->name},
                {"account", accountId(request).value()},
                {"config", request.table ? request.table->version : 0},
                {"config_age_ms", (now - m_currentAt).count()},
                {"model", request.requirements.model},
                {"adapter", request.requirements.adapter},
                {"endpoint", request.endpoint},
                {"sends", request.progress.sends},
                {"status", request.status},
                {"outcome", outcome},
                {"waited_ms", request.waitTime.count()},
                {"quota_ms", request.quotaWait.count()},
                {"first_ms", request.firstForwardedAt == Time() ? -1 : (request.firstForwardedAt - request.caller.arrivedAt()).count()},
                {"longest_pause_ms", request.longestPause.count()},
                {"took_ms", (now - request.caller.arrivedAt()).count()},
                {"framing", FramingNames[size_t(request.framing)]},
                {"bytes", request.answerBytes},
                {"events", request.eventRelay.events()},
                {"unfinished_bytes", request.eventRelay.unfinishedBytes()},
                {"cause", request.cause}});
}

void Forwarder::logSend(const Request &request, const EndpointChoice &choice, bool reused, Time now) const
{
    if (logDetail() != LogDetail::Decisions)
        return;
    const ChoiceInputs &inputs = choice.inputs;
    logDecision("send",
                {{"id", request.metadata.id},
                 {"endpoint", choice.endpoint},
                 {"software", choice.software.value()},
                 {"send", request.progress.sends + 1},
                 {"candidates", inputs.candidates},
                 {"expected_ms", int64_t(inputs.expectedMs)},
                 {"own", inputs.ownRequests},
                 {"others", inputs.otherRequests},
                 {"others_age_ms", inputs.otherRequestsAge.count()},
                 {"slots", inputs.slots},
                 {"slowdown", inputs.slowdown},
                 {"slowdown_age_ms", inputs.slowdownAge.count()},
                 {"own_slot", inputs.ownSlot},
                 {"reused", reused},
                 {"prompt", request.requirements.promptTokens},
                 {"cached", inputs.cachedTokens},
                 {"left_ms", (request.deadline - now).count()},
                 {"priority", request.requirements.urgency ? int64_t(request.requirements.urgency->priority) : -1},
                 {"rank", request.rank ? int64_t(*request.rank) : -1},
                 {"account_requests", request.accountPosition.requests},
                 {"account_share", request.accountPosition.share.value_or(-1)},
                 {"account_age_ms", request.accountPosition.age.count()},
                 {"known", m_registryVersion},
                 {"known_age_ms", (now - m_syncedAt).count()}});
}

void Forwarder::logWait(const Request &request, Time now, Time until) const
{
    logDecision("wait",
                {{"id", request.metadata.id},
                 {"model", request.requirements.model},
                 {"adapter", request.requirements.adapter},
                 {"at_most_ms", (until - now).count()},
                 {"known", m_registryVersion},
                 {"known_age_ms", (now - m_syncedAt).count()}});
}

void Forwarder::logFailedAttempt(const Request &request, AttemptEnd end, RouteStep step, Time now) const
{
    const RetryLimits::Usage budget = m_retries.usage(request.requirements.service, now);
    logDecision("attempt_failed",
                {{"id", request.metadata.id},
                 {"endpoint", request.endpoint},
                 {"end", toString(end)},
                 {"next", toString(step)},
                 {"sends", request.progress.sends},
                 {"runs", request.progress.runs},
                 {"retries", budget.used},
                 {"retries_allowed", int64_t(budget.allowed)},
                 {"cause", request.cause}});
}

void Forwarder::logCutRequests() const
{
    static Counter &cut = metrics().counter("roserail_requests_cut_at_exit_total");
    const Time now = monotonicNow();
    for (const Request *it : m_inProgress) {
        cut.add();
        logEvent("request_cut",
                 {{"id", it->metadata.id},
                  {"route", it->route == nullptr ? "" : it->route->name},
                  {"endpoint", it->endpoint},
                  {"relayed_from", it->relayedFrom},
                  {"sends", it->progress.sends},
                  {"delivered", it->progress.delivered},
                  {"arrived_ms_ago", (now - it->caller.arrivedAt()).count()},
                  {"sent_ms_ago", it->sentAt == Time() ? -1 : (now - it->sentAt).count()},
                  {"left_ms", it->route == nullptr ? -1 : (it->deadline - now).count()}});
    }
}

} // namespace roserail
