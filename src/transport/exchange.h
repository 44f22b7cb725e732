// Processes a caller's request until it has exactly one final answer: queues it, makes attempts on endpoints, resumes
// interrupted streams, and commits the claim of a non-idempotent request before its first byte is sent.
#pragma once

#include "transport/attempt.h"
#include "transport/router.h"

namespace roserail
{

// A validated request of an authenticated caller.
struct ExchangeRequest {
    std::string pool;
    QueuedRequest queued; // what the pool's dispatcher queues
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

// Receives the events of a streamed answer.
class StreamSink
{
public:
    virtual ~StreamSink() = default;
    // Called when the request was granted an endpoint; again for each retry.
    virtual void granted() = 0;
    // Receives an event and the token with which the caller can resume after it. Returns false if the caller has closed
    // its connection.
    virtual bool event(const std::string &token, const std::string &data) = 0;
};

class Exchange
{
public:
    Exchange(Router &router, ExchangeRequest request);

    // Returns the complete answer, or the error that the caller receives instead.
    Result<Answer> run();
    // Passes the events of the answer to the sink. The returned answer has a status only if the endpoint did not stream it.
    Result<Answer> runStreaming(StreamSink &sink);

private:
    struct Attempt {
        Grant grant;
        AttemptRequest request;
        Time startedAt{};
    };

    Result<Attempt> beginAttempt();
    void endAttempt(const Attempt &attempt, AttemptEnd end);
    // Commits the start of the claim. Returns the stored answer of an earlier request with this key, or nothing if the
    // request is to be run.
    Result<std::optional<Answer>> startClaim(const Attempt &attempt);
    void finishClaim(const Attempt &attempt, const AttemptResult &result);
    // Returns the answer to a repeated request from the stored claim.
    Result<Answer> answerFromClaim(const pb::CommandResult &result);
    // Checks after an interrupted attempt whether the endpoint's process has ended. If so, sets the end of `result` and
    // reports the crash for the fingerprint of the request.
    void detectEndpointLoss(const Attempt &attempt, AttemptResult &result);
    Error finalError(ExchangeStep step, const AttemptResult &result) const;
    void recordResult(const AttemptResult &result);

    Router &m_router;
    ExchangeRequest m_request;
    ExchangeState m_state;
    bool m_quarantined = false;
    std::string m_lastReason;
};

// Resumes a stream that was started through another router or on an earlier connection.
Result<Answer> resumeStream(Router &router, const ResumeToken &token, Time deadline, StreamSink &sink);

uint64_t hashOf(const std::string &text);

} // namespace roserail
