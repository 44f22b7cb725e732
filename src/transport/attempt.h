// One attempt of a request on one endpoint, on a connection of its own: a connection that has gone silent can then
// delay nothing but its own attempt.
#pragma once

#include "coordination/retry.h"
#include "protocol/sse.h"

#include <functional>
#include <httplib.h>
#include <optional>
#include <string>

namespace roserail
{

// What is sent to an endpoint.
struct AttemptRequest {
    std::string address; // host:port
    uint64_t incarnation = 0;
    AttemptId attempt;
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    Time deadline{};
    bool engine = false; // a model engine must echo the attempt's id; a plain service may
};

// A whole answer.
struct Answer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    Answer answer; // if completed
    std::string reason;
};

// Sends the request and waits for the whole answer.
AttemptResult runAttempt(const AttemptRequest &request);

// Position in a stream, kept over the connections that it takes.
struct StreamProgress {
    uint64_t next = 0; // offset of the next event
    bool ended = false; // the end marker was seen, and nothing is missing before it
};

// Receives events in order, each once; returns false when the caller has gone.
using EventSink = std::function<bool(uint64_t offset, const std::string &data)>;

// Sends the request, or with `progress.next` above 0 or `resume` set fetches the rest of the attempt's stream.
AttemptResult runStream(const AttemptRequest &request, bool resume, StreamProgress &progress, const EventSink &sink);

// Asks an engine for the whole answer of an attempt whose connection was lost.
AttemptResult fetchResult(const AttemptRequest &request);

// True if the endpoint's process of this incarnation is known to be gone.
bool endpointGone(const std::string &address, uint64_t incarnation);

} // namespace roserail
