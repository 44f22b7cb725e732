// Retry policy: decides what follows an attempt, so that a "not run" answer is always true and non-idempotent requests
// run at most once.
#pragma once

#include "state/routes.h"
#include "state/types.h"

#include <functional>
#include <string_view>

namespace roserail
{

// How an attempt on an endpoint ended.
enum class AttemptEnd {
    Completed, // the whole answer was received
    NotSent, // no byte of the request was sent
    RefusedNotRun, // the endpoint refused before it ran anything
    Interrupted, // bytes were sent, and the answer is missing or incomplete; the endpoint's process still runs
    EndpointLost, // bytes were sent, and the endpoint's process has ended
    Abandoned, // the caller closed its connection or, on general routes, the deadline passed
};

std::string_view toString(AttemptEnd end);

// The state of a request for a model or service of the document when an attempt ends.
struct ExchangeState {
    bool idempotent = true;
    bool streaming = false;
    bool delivered = false; // part of an answer was sent to the caller
    bool mayHaveRun = false; // bytes of some attempt were sent, and the endpoint did not refuse it before running it
    int attempts = 0; // started so far
    int resumes = 0; // of the current attempt
    Time deadline{};
};

enum class ExchangeStep {
    Deliver,
    RetryElsewhere, // on another endpoint
    Resume, // fetch the same attempt's answer on a new connection
    RefuseNotRun, // no endpoint has run the request
    EndDeadlineExceeded, // the deadline passed; the request is idempotent
    EndIncomplete, // the request ran, but the whole answer cannot be obtained
    EndUnknown, // the request is not idempotent and may have run
    EndAbandoned, // the caller closed its connection
};

// Token bucket for the retries of one router: limits them to a share of its requests, so that retries don't add load to
// endpoints that are overloaded or failing.
class RetryBudget
{
public:
    void requestStarted();
    bool tryRetry();

private:
    double m_tokens = 0;
    bool m_started = false;
};

// The state of a request on a general route when an attempt on an endpoint ends.
struct RouteProgress {
    RetryPolicy retryPolicy = RetryPolicy::Never;
    bool delivered = false; // part of an answer was sent to the caller
    uint32_t sends = 0; // endpoints that the request was sent to
    uint32_t runs = 0; // endpoints among them that may have run it
    uint32_t maxRuns = 1; // limit of `runs`, from the route
};

enum class RouteStep {
    Deliver,
    Retry,
    AnswerNotRun, // no endpoint has run the request
    AnswerUnknown, // the request may have run
    BreakOff, // abort the partly delivered answer, so that the caller recognizes it as incomplete
};

std::string_view toString(RouteStep step);

// Returns the step for a request for which no endpoint was found.
RouteStep stepWithoutEndpoint(const RouteProgress &progress);

// Returns the step after an attempt. `mayRetry` takes a retry from the budget; it is called only if the route allows a
// retry and an endpoint was sent part of the request before.
RouteStep nextRouteStep(const RouteProgress &progress, AttemptEnd end, const std::function<bool()> &mayRetry);

ExchangeStep nextExchangeStep(const ExchangeState &state, AttemptEnd end, Time now, RetryBudget &budget);

} // namespace roserail
