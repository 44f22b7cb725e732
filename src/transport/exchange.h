// Carries one caller's request to exactly one final answer: queue, attempts, resumed streams, and for non-idempotent
// requests the claim that is committed before the first byte leaves.
#pragma once

#include "transport/attempt.h"
#include "transport/router.h"

namespace roserail
{

// A checked request of a known caller.
struct ExchangeRequest {
    std::string pool;
    QueuedRequest queued;
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    bool idempotent = true;
    bool streaming = false;
    Fingerprint fingerprint;
    // Non-idempotent requests only:
    std::string key;
    uint64_t keyTimeMs = 0;
    uint64_t payloadHash = 0;
};

// Receives a stream. `token` lets the caller resume after this event.
class StreamSink
{
public:
    virtual ~StreamSink() = default;
    virtual void granted() = 0;
    virtual bool event(const std::string &token, const std::string &data) = 0;
};

class Exchange
{
public:
    Exchange(Router &router, ExchangeRequest request);

    // The whole answer, or why there is none.
    Result<Answer> run();
    // Streams the answer into the sink. An answer with a status is one that the endpoint did not stream.
    Result<Answer> runStreaming(StreamSink &sink);

private:
    struct Attempt {
        Grant grant;
        AttemptRequest request;
        Time startedAt{};
    };

    Result<Attempt> beginAttempt();
    void endAttempt(const Attempt &attempt, AttemptEnd end);
    // Starts the claim. A value is the stored answer to give instead of running.
    Result<std::optional<Answer>> startClaim(const Attempt &attempt);
    void finishClaim(const Attempt &attempt, const AttemptResult &result);
    Result<Answer> answerFromClaim(const pb::CommandResult &result);
    // Finds out whether the endpoint was lost, and counts it against the request.
    void detectEndpointLoss(const Attempt &attempt, AttemptResult &result);
    Error finalError(ExchangeStep step, const AttemptResult &result) const;
    void recordResult(const AttemptResult &result);

    Router &m_router;
    ExchangeRequest m_request;
    ExchangeState m_state;
    bool m_quarantined = false;
    std::string m_lastReason;
};

// Resumes a stream that another router, or an earlier connection, began.
Result<Answer> resumeStream(Router &router, const ResumeToken &token, Time deadline, StreamSink &sink);

uint64_t hashOf(const std::string &text);

} // namespace roserail
