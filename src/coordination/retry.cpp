#include "coordination/retry.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr int MaxResumes = 5;

bool mayRetry(const ExchangeState &state, RetryBudget &budget)
{
    return state.attempts < AttemptsPerRequest && budget.tryRetry();
}

// Nothing of this attempt ran.
Step afterUnrun(const ExchangeState &state, Time now, RetryBudget &budget)
{
    if (now < state.deadline && mayRetry(state, budget))
        return Step::RetryElsewhere;
    if (!state.everSent)
        return Step::RefuseNotRun;
    return state.idempotent ? Step::EndIncomplete : Step::EndUnknown;
}

} // namespace

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

Step nextStep(const ExchangeState &state, AttemptEnd end, Time now, RetryBudget &budget)
{
    switch (end) {
    case AttemptEnd::Completed:
        return Step::Deliver;
    case AttemptEnd::Abandoned:
        return Step::EndAbandoned;
    case AttemptEnd::NotSent:
    case AttemptEnd::RefusedNotRun:
        return afterUnrun(state, now, budget);
    default:
        break;
    }
    if (!state.idempotent)
        return Step::EndUnknown;
    if (now >= state.deadline)
        return state.delivered ? Step::EndIncomplete : Step::EndLate;
    if (end == AttemptEnd::Interrupted && state.streaming && state.resumes < MaxResumes)
        return Step::Resume;
    if (!state.delivered && mayRetry(state, budget))
        return Step::RetryElsewhere;
    return Step::EndIncomplete;
}

} // namespace roserail
