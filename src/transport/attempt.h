// One attempt of a request on one endpoint. Each attempt opens its own connection, so that an unresponsive connection
// delays no other attempt.
#pragma once

#include "coordination/retry.h"
#include "protocol/sse.h"

#include <functional>
#include <httplib.h>
#include <mutex>
#include <set>
#include <string>

namespace roserail
{

class BlockingConnection;

// Connections to endpoints that can be ended together.
class AttemptConnections
{
public:
    // Ends all connections that are open.
    void close();
    void add(BlockingConnection &connection);
    void remove(BlockingConnection &connection);

private:
    std::mutex m_mutex;
    std::set<BlockingConnection *> m_connections;
};

// The request that is sent to an endpoint.
struct AttemptRequest {
    std::string address; // host:port
    uint64_t incarnation = 0;
    AttemptId attempt;
    std::string method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    Time deadline{};
    AttemptConnections *connections = nullptr; // to which the attempt's connection is added; may be null
    bool engine = false; // a model engine must return the attempt's id in its answer; a plain service need not
};

// A complete answer.
struct Answer {
    int status = 0;
    std::string contentType;
    std::string body;
};

struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    Answer answer; // if `end` is Completed
    std::string reason;
};

// Sends the request and waits for the complete answer.
AttemptResult runAttempt(const AttemptRequest &request);

// Position in a stream, which may be read over several connections.
struct StreamProgress {
    uint64_t next = 0; // offset of the next event
    bool ended = false; // the end marker was received, and no event before it is missing
};

// Receives events in order, each once. Returns false if the caller has disconnected.
using EventSink = std::function<bool(uint64_t offset, const std::string &data)>;

// Sends the request and reads its stream or, with `resume`, reads the attempt's stream from `progress.next`.
AttemptResult runStream(const AttemptRequest &request, bool resume, StreamProgress &progress, const EventSink &sink);

// Requests from an engine the complete answer of an attempt whose connection was lost.
AttemptResult fetchResult(const AttemptRequest &request);

// Returns whether the endpoint's process of this incarnation has certainly ended: another one answers, or the connection
// is refused.
bool endpointGone(const std::string &address, uint64_t incarnation);

} // namespace roserail
