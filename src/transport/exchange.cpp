#include "transport/exchange.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/invariant.h"
#include "transport/clock.h"
#include "transport/program.h"

#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis FinishClaimTimeout{1500};
constexpr Millis CrashReportTimeout{1000};
constexpr Millis ClaimPollInterval{100};

AttemptId newAttemptId()
{
    return AttemptId(fmt::format("{:016x}{:016x}", randomNumber(), randomNumber()));
}

Error unknownOutcome(const std::string &reason)
{
    return Error{ErrorKind::OutcomeUnknown,
                 fmt::format("the request may have run ({}); check whether it ran before sending it with a new key", reason)};
}

pb::ClaimOutcome outcomeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Completed:
        return pb::CLAIM_COMPLETED;
    case AttemptEnd::NotSent:
    case AttemptEnd::RefusedNotRun:
        return pb::CLAIM_NOT_RUN;
    default:
        return pb::CLAIM_UNKNOWN;
    }
}

} // namespace

uint64_t hashOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

Exchange::Exchange(Router &router, ExchangeRequest request)
    : m_router(router)
    , m_request(std::move(request))
{
    m_state.idempotent = m_request.idempotent;
    m_state.streaming = m_request.streaming;
    m_state.deadline = m_request.queued.deadline;
}

Result<Exchange::Attempt> Exchange::beginAttempt()
{
    m_request.queued.ticket = m_router.nextTicket();
    BOOST_OUTCOME_TRY(grant, m_router.acquire(m_request.pool, m_request.queued));
    Attempt attempt;
    attempt.startedAt = monotonicNow();
    attempt.request.address = grant.address;
    attempt.request.incarnation = grant.incarnation;
    attempt.request.attempt = newAttemptId();
    attempt.request.method = m_request.method;
    attempt.request.path = m_request.path;
    attempt.request.headers = m_request.headers;
    attempt.request.body = m_request.body;
    attempt.request.deadline = m_request.queued.deadline;
    attempt.request.engine = !m_request.queued.service;
    attempt.request.connections = &m_router.connections();
    attempt.grant = std::move(grant);
    ++m_state.attempts;
    m_state.resumes = 0;
    return attempt;
}

void Exchange::endAttempt(const Attempt &attempt, AttemptEnd end)
{
    m_router.release(m_request.pool, attempt.grant, m_request.queued, end, monotonicNow() - attempt.startedAt);
}

void Exchange::recordResult(const AttemptResult &result)
{
    const bool notRun = result.end == AttemptEnd::NotSent || result.end == AttemptEnd::RefusedNotRun;
    m_state.mayHaveRun |= !notRun;
    m_lastReason = result.reason;
    if (result.end == AttemptEnd::Completed)
        return;
    logEvent("attempt_failed",
             {{"target", m_request.queued.target}, {"end", int(result.end)}, {"reason", result.reason}, {"attempts", m_state.attempts}});
}

void Exchange::detectEndpointLoss(const Attempt &attempt, AttemptResult &result)
{
    if (result.end != AttemptEnd::Interrupted || !endpointGone(attempt.request.address, attempt.request.incarnation))
        return;
    result.end = AttemptEnd::EndpointLost;
    metrics().counter("roserail_endpoints_lost_total").add();
    pb::Command command;
    command.mutable_report_crash()->set_fingerprint(m_request.fingerprint.value());
    command.mutable_report_crash()->set_endpoint(attempt.grant.endpoint.value());
    command.mutable_report_crash()->set_incarnation(attempt.grant.incarnation);
    const Result<pb::CommandResult> count = m_router.execute(command, monotonicNow() + CrashReportTimeout);
    m_quarantined = count.has_value() && count.value().count() >= QuarantineCrashThreshold;
}

Error Exchange::finalError(ExchangeStep step, const AttemptResult &result) const
{
    switch (step) {
    case ExchangeStep::RefuseNotRun:
        invariant(!m_state.mayHaveRun, "a request is refused as not run only if no attempt can have run it");
        return Error{ErrorKind::NotRun, fmt::format("no endpoint accepted the request ({}); not run, retry later", result.reason),
                     MinRetryAfter.count()};
    case ExchangeStep::EndDeadlineExceeded:
        return Error{ErrorKind::DeadlineExceeded, "no complete answer was received by the deadline; set a later deadline"};
    case ExchangeStep::EndUnknown:
        return unknownOutcome(result.reason);
    default:
        return Error{ErrorKind::Incomplete, fmt::format("the answer could not be completed ({}); send the request again", result.reason)};
    }
}

Result<std::optional<Answer>> Exchange::startClaim(const Attempt &attempt)
{
    pb::Command command;
    pb::StartClaim &start = *command.mutable_start_claim();
    start.set_caller(m_request.queued.caller.value());
    start.set_key(m_request.key);
    start.set_payload_hash(m_request.payloadHash);
    start.set_key_time_ms(m_request.keyTimeMs);
    start.set_attempt(attempt.request.attempt.value());
    start.set_router(m_router.settings().id);
    while (true) {
        const Result<pb::CommandResult> result = m_router.execute(command, m_request.queued.deadline);
        if (result.has_error()) {
            // The claim may have been committed. Repeated requests are then answered with an unknown outcome, although
            // nothing was run.
            return Error{ErrorKind::NotRun, "the control replicas did not answer; not run, use another address", MinRetryAfter.count()};
        }
        const pb::CommandResult &claimed = result.value();
        if (claimed.verdict() == pb::VERDICT_OK)
            return std::optional<Answer>();
        const bool running = claimed.verdict() == pb::VERDICT_RUNNING;
        // Another attempt is running: waits for its outcome as long as its router is live.
        if (running && m_router.routerAlive(claimed.router()) && monotonicNow() + ClaimPollInterval < m_request.queued.deadline) {
            std::this_thread::sleep_for(ClaimPollInterval);
            continue;
        }
        BOOST_OUTCOME_TRY(stored, answerFromClaim(claimed));
        return std::optional(std::move(stored));
    }
}

Result<Answer> Exchange::answerFromClaim(const pb::CommandResult &result)
{
    switch (result.verdict()) {
    case pb::VERDICT_KEY_MISMATCH:
        return Error{ErrorKind::KeyMismatch, result.message()};
    case pb::VERDICT_KEY_EXPIRED:
        return Error{ErrorKind::KeyExpired, result.message()};
    default:
        break;
    }
    if (result.outcome() != pb::CLAIM_COMPLETED)
        return unknownOutcome("the outcome of an earlier attempt with this key is not known");
    if (result.answer().body_dropped())
        return Answer{int(result.answer().status()), "application/json",
                      "{\"roserail\":\"completed earlier; the answer was too large to keep\"}"};
    return Answer{int(result.answer().status()), result.answer().content_type(), result.answer().body()};
}

void Exchange::finishClaim(const Attempt &attempt, const AttemptResult &result)
{
    pb::Command command;
    pb::FinishClaim &finish = *command.mutable_finish_claim();
    finish.set_caller(m_request.queued.caller.value());
    finish.set_key(m_request.key);
    finish.set_attempt(attempt.request.attempt.value());
    finish.set_outcome(outcomeOf(result.end));
    if (result.end == AttemptEnd::Completed) {
        finish.mutable_answer()->set_status(uint32_t(result.answer.status));
        finish.mutable_answer()->set_content_type(result.answer.contentType);
        finish.mutable_answer()->set_body(result.answer.body);
    }
    const Result<pb::CommandResult> stored = m_router.execute(command, monotonicNow() + FinishClaimTimeout);
    if (stored.has_error())
        logEvent("claim_not_finished", {{"key", m_request.key}, {"error", stored.error().message}});
}

Result<Answer> Exchange::run()
{
    while (true) {
        Result<Attempt> started = beginAttempt();
        if (started.has_error()) {
            // No endpoint is available for a retry, but an earlier attempt may have run the request: the error must not state
            // that it was not run.
            if (m_state.mayHaveRun)
                return finalError(m_state.idempotent ? ExchangeStep::EndIncomplete : ExchangeStep::EndUnknown,
                                  AttemptResult{AttemptEnd::Interrupted, {}, m_lastReason});
            return started.error();
        }
        const Attempt &attempt = started.value();
        if (!m_request.idempotent) {
            Result<std::optional<Answer>> stored = startClaim(attempt);
            if (stored.has_error() || stored.value()) {
                endAttempt(attempt, AttemptEnd::NotSent);
                if (stored.has_error())
                    return stored.error();
                return std::move(*stored.value());
            }
        }
        AttemptResult result{AttemptEnd::NotSent, {}, "this router's lease expired before the request was sent"};
        // The lease or the deadline may have passed since the grant, for example while the process was suspended.
        const Time now = monotonicNow();
        if (m_router.hasLease(now) && now < m_router.requestsEnd(m_request.queued.deadline))
            result = runAttempt(attempt.request);
        if (result.end == AttemptEnd::Interrupted && attempt.request.engine && monotonicNow() < m_request.queued.deadline) {
            const AttemptResult fetched = fetchResult(attempt.request);
            if (fetched.end == AttemptEnd::Completed && fetched.answer.status == 200)
                result = fetched;
        }
        detectEndpointLoss(attempt, result);
        recordResult(result);
        endAttempt(attempt, result.end);
        if (!m_request.idempotent)
            finishClaim(attempt, result);
        const ExchangeStep step = m_quarantined ? ExchangeStep::EndIncomplete : m_router.nextExchangeStep(m_state, result.end);
        if (step == ExchangeStep::Deliver)
            return std::move(result.answer);
        if (step != ExchangeStep::RetryElsewhere)
            return finalError(step, result);
        m_request.queued.avoid.insert(attempt.grant.endpoint);
    }
}

Result<Answer> Exchange::runStreaming(StreamSink &sink)
{
    while (true) {
        Result<Attempt> started = beginAttempt();
        if (started.has_error()) {
            if (m_state.mayHaveRun)
                return finalError(ExchangeStep::EndIncomplete, AttemptResult{AttemptEnd::Interrupted, {}, m_lastReason});
            return started.error();
        }
        const Attempt &attempt = started.value();
        sink.granted();
        ResumeToken token{attempt.grant.endpoint, attempt.grant.incarnation, attempt.request.attempt,
                          hashOf(m_request.queued.caller.value()), 0};
        StreamProgress progress;
        const EventSink forward = [&](uint64_t offset, const std::string &data) {
            token.next = offset + 1;
            m_state.delivered = true;
            return sink.event(encodeResumeToken(token), data);
        };
        AttemptResult result{AttemptEnd::NotSent, {}, "this router's lease expired before the request was sent"};
        ExchangeStep step = ExchangeStep::RetryElsewhere;
        bool resume = false;
        do {
            const bool mayStart = m_router.hasLease(monotonicNow()) && monotonicNow() < m_router.requestsEnd(m_request.queued.deadline);
            if (resume || mayStart)
                result = runStream(attempt.request, resume, progress, forward);
            // No byte was sent on this connection, but the request was sent on an earlier one and may have run.
            if (resume && result.end == AttemptEnd::NotSent)
                result.end = AttemptEnd::Interrupted;
            detectEndpointLoss(attempt, result);
            recordResult(result);
            step = m_quarantined ? ExchangeStep::EndIncomplete : m_router.nextExchangeStep(m_state, result.end);
            resume = step == ExchangeStep::Resume;
            ++m_state.resumes;
        } while (resume);
        endAttempt(attempt, result.end);
        if (step == ExchangeStep::Deliver)
            return std::move(result.answer);
        if (step != ExchangeStep::RetryElsewhere)
            return finalError(step, result);
        m_request.queued.avoid.insert(attempt.grant.endpoint);
    }
}

Result<Answer> resumeStream(Router &router, const ResumeToken &token, Time deadline, StreamSink &sink)
{
    const std::optional<std::string> address = router.addressOf(token.endpoint, token.incarnation);
    if (!address)
        return Error{ErrorKind::Incomplete, "the endpoint of this stream is no longer available; send the request again"};
    AttemptRequest request;
    request.address = *address;
    request.incarnation = token.incarnation;
    request.attempt = token.attempt;
    request.deadline = deadline;
    request.engine = true;
    request.connections = &router.connections();
    StreamProgress progress{token.next, false};
    ResumeToken next = token;
    sink.granted();
    const AttemptResult result = runStream(request, true, progress, [&](uint64_t offset, const std::string &data) {
        next.next = offset + 1;
        return sink.event(encodeResumeToken(next), data);
    });
    if (result.end == AttemptEnd::Completed)
        return Answer{};
    return Error{ErrorKind::Incomplete,
                 fmt::format("the stream cannot be resumed ({}); resume again with the id of the last event, or send the request again",
                             result.reason)};
}

} // namespace roserail
