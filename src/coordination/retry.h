// What follows the end of an attempt: the rules that keep "not run" true and non-idempotent requests at most once.
#pragma once

#include "state/routes.h"
#include "state/types.h"

#include <array>
#include <functional>
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

std::string_view toString(AttemptEnd end);

// What is known of the request when the attempt ends.
struct ExchangeState {
    bool idempotent = true;
    bool streaming = false;
    bool delivered = false; // part of an answer has reached the caller
    bool mayHaveRun = false; // bytes of some attempt have left and it was not refused unrun
    int attempts = 0; // begun so far
    int resumes = 0; // of this attempt
    Time deadline{};
};

enum class ExchangeStep {
    Deliver,
    RetryElsewhere,
    Resume, // fetch the same attempt's answer on a new connection
    RefuseNotRun,
    EndDeadlineExceeded, // the deadline passed; the request is idempotent
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

// What is known of a request on a general route when an attempt on an endpoint ends.
struct RouteProgress {
    Repeat repeat = Repeat::Never;
    bool delivered = false; // part of an answer has reached the caller
    uint32_t sends = 0; // endpoints that it was sent to
    uint32_t runs = 0; // of these, those that may have run it
    uint32_t maxRuns = 1;
};

enum class RouteStep {
    Deliver,
    Retry,
    AnswerNotRun, // true: no endpoint has run it
    AnswerUnknown, // it may have run
    BreakOff, // the answer that has begun ends so that it looks incomplete
};

std::string_view toString(RouteStep step);

// What follows if no endpoint can be found for a request.
RouteStep stepWithoutEndpoint(const RouteProgress &progress);

// `mayRetry` is asked only if a retry is allowed by the route and would be a second send, and uses up a place in the budget.
RouteStep nextRouteStep(const RouteProgress &progress, AttemptEnd end, const std::function<bool()> &mayRetry);

// Retries in a sliding window: a share of the requests, and this router's part of what the system may have besides.
class RetryWindow
{
public:
    RetryWindow(double ratio, Millis window);
    void setRatio(double ratio)
    {
        m_ratio = ratio;
    }
    void setSlack(double slack)
    {
        m_slack = slack;
    }
    void requestStarted(Time now);
    bool tryRetry(Time now);
    struct Usage {
        double used = 0;
        double allowed = 0;
    };
    // Of the window that ends now.
    Usage usage(Time now);

private:
    static constexpr int Buckets = 20;
    struct Bucket {
        int64_t number = -1; // of the span of time that it counts
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    Bucket &bucket(Time now);

    double m_ratio;
    Millis m_span;
    double m_slack = 0;
    std::array<Bucket, Buckets> m_buckets;
};

ExchangeStep nextExchangeStep(const ExchangeState &state, AttemptEnd end, Time now, RetryBudget &budget);

} // namespace roserail
