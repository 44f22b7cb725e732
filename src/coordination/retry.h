// What follows the end of an attempt: the rules that keep "not run" true and non-idempotent requests at most once.
#pragma once

#include "state/types.h"

#include <string_view>

namespace roserail
{

// How an attempt on an endpoint ended.
enum class AttemptEnd {
    Completed, // the whole answer is here
    NotSent, // no byte left this router
    RefusedNotRun, // the endpoint refused before it ran anything
    Interrupted, // bytes left, and the answer is missing or broken off; the endpoint lives
    EndpointLost, // bytes left, and the endpoint's process is gone
    Abandoned, // the caller has gone
};

// What is known of the request when the attempt ends.
struct ExchangeState {
    bool idempotent = true;
    bool streaming = false;
    bool delivered = false; // part of an answer has reached the caller
    bool everSent = false; // bytes of some attempt have left and it was not refused unrun
    int attempts = 0; // begun so far
    int resumes = 0; // of this attempt
    Time deadline{};
};

enum class Step {
    Deliver,
    RetryElsewhere,
    Resume, // fetch the same attempt's answer on a new connection
    RefuseNotRun,
    EndLate, // the deadline passed; the request is idempotent
    EndIncomplete, // it ran, but the whole answer cannot be had
    EndUnknown, // non-idempotent: it may have run
    EndAbandoned,
};

// Retries allowed to a router: a share of its requests, so that an overloaded or failing endpoint is not hit harder.
class RetryBudget
{
public:
    void requestStarted();
    bool tryRetry();

private:
    double m_tokens = 0;
    bool m_started = false;
};

Step nextStep(const ExchangeState &state, AttemptEnd end, Time now, RetryBudget &budget);

} // namespace roserail
