#include "coordination/retry.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr int MaxResumes = 5; // of one attempt

constexpr std::string_view AttemptEndNames[] = {"completed", "not_sent", "refused_not_run", "interrupted", "endpoint_lost", "abandoned"};
constexpr std::string_view RouteStepNames[] = {"deliver", "retry", "answer_not_run", "answer_unknown", "break_off"};

bool mayRetry(const ExchangeState &state, RetryBudget &budget)
{
    return state.attempts < MaxAttemptsPerRequest && budget.tryRetry();
}

// Returns the step after an attempt that did not run on the endpoint.
ExchangeStep stepAfterNotRun(const ExchangeState &state, Time now, RetryBudget &budget)
{
    if (now < state.deadline && mayRetry(state, budget))
        return ExchangeStep::RetryElsewhere;
    if (!state.mayHaveRun)
        return ExchangeStep::RefuseNotRun;
    return state.idempotent ? ExchangeStep::EndIncomplete : ExchangeStep::EndUnknown;
}

} // namespace

std::string_view toString(AttemptEnd end)
{
    return AttemptEndNames[size_t(end)];
}

std::string_view toString(RouteStep step)
{
    return RouteStepNames[size_t(step)];
}

void RetryBudget::requestStarted()
{
    if (!m_started)
        m_tokens = RetryBudgetBurst;
    m_started = true;
    m_tokens = std::min(RetryBudgetBurst, m_tokens + RetryBudgetRatio);
}

bool RetryBudget::tryRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

RouteStep stepWithoutEndpoint(const RouteProgress &progress)
{
    if (progress.delivered)
        return RouteStep::BreakOff;
    return progress.runs == 0 ? RouteStep::AnswerNotRun : RouteStep::AnswerUnknown;
}

RouteStep nextRouteStep(const RouteProgress &progress, AttemptEnd end, const std::function<bool()> &mayRetry)
{
    if (end == AttemptEnd::Completed)
        return RouteStep::Deliver;
    // A partly delivered answer can be continued only by a stream that another endpoint can resume.
    if (progress.delivered && progress.retryPolicy != RetryPolicy::Resume)
        return RouteStep::BreakOff;
    const bool notRun = end == AttemptEnd::NotSent || end == AttemptEnd::RefusedNotRun;
    const bool sendsLeft = progress.sends < MaxSendsPerRequest;
    const bool allowed = notRun || (progress.retryPolicy != RetryPolicy::Never && progress.runs < progress.maxRuns);
    // A request that was not sent to any endpoint has put no load on one: its retry is exempt from the budget.
    const bool exemptFromBudget = end == AttemptEnd::NotSent && progress.sends == 0;
    if (end != AttemptEnd::Abandoned && allowed && sendsLeft && (exemptFromBudget || mayRetry()))
        return RouteStep::Retry;
    return stepWithoutEndpoint(progress);
}

ExchangeStep nextExchangeStep(const ExchangeState &state, AttemptEnd end, Time now, RetryBudget &budget)
{
    switch (end) {
    case AttemptEnd::Completed:
        return ExchangeStep::Deliver;
    case AttemptEnd::Abandoned:
        return ExchangeStep::EndAbandoned;
    case AttemptEnd::NotSent:
    case AttemptEnd::RefusedNotRun:
        return stepAfterNotRun(state, now, budget);
    default:
        break;
    }
    if (!state.idempotent)
        return ExchangeStep::EndUnknown;
    if (now >= state.deadline)
        return state.delivered ? ExchangeStep::EndIncomplete : ExchangeStep::EndDeadlineExceeded;
    if (end == AttemptEnd::Interrupted && state.streaming && state.resumes < MaxResumes)
        return ExchangeStep::Resume;
    if (!state.delivered && mayRetry(state, budget))
        return ExchangeStep::RetryElsewhere;
    return ExchangeStep::EndIncomplete;
}

} // namespace roserail
