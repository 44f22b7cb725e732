#include "transport/attempt.h"

#include "protocol/metrics.h"
#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/blockingcall.h"
#include "transport/blockingconnection.h"
#include "transport/clock.h"

#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxAnswerBytes = 64u << 20; // of an answer that is not streamed
constexpr Millis ProbeTimeout{500};
constexpr int ProbeAttempts = 2;
const char *const EndMarker = "[DONE]";

std::string_view header(const BlockingConnection::Head &head, const char *name)
{
    const boost::beast::string_view value = head[name];
    return {value.data(), value.size()};
}

// Returns whether an answer belongs to this attempt, by the attempt's id in it. Only a plain service may omit the id.
bool belongsTo(const BlockingConnection::Head &head, const AttemptRequest &request)
{
    const std::string_view id = header(head, "X-Request-Id");
    return id == request.attempt.value() || (id.empty() && !request.engine);
}

bool refusedNotRun(const BlockingConnection::Head &head)
{
    return header(head, "X-Not-Run") == "true";
}

std::string toHttp(const AttemptRequest &request)
{
    const Millis left = std::max(Millis(0), request.deadline - monotonicNow());
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nAccept-Encoding: identity\r\n", request.method,
                                    encodePath(request.path), request.address);
    for (const std::pair<const std::string, std::string> &it : request.headers) {
        // The server decodes what callers encode in values.
        if (it.second.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos)
            bytes += fmt::format("{}: {}\r\n", it.first, it.second);
    }
    bytes += fmt::format("X-Request-Id: {}\r\nRoserail-Deadline-Ms: {}\r\n", request.attempt.value(), left.count());
    if (!request.body.empty() && request.headers.find("Content-Type") == request.headers.end())
        bytes += "Content-Type: text/plain\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH")
        bytes += fmt::format("Content-Length: {}\r\n", request.body.size());
    return bytes + "\r\n" + request.body;
}

AttemptResult interrupted(std::string_view event, const ErrorCode &ec)
{
    return AttemptResult{AttemptEnd::Interrupted, {}, fmt::format("{}: {}", event, ec.message())};
}

// Connects, sends the request and reads the head of its answer. Returns a result if the attempt has ended before.
std::optional<AttemptResult> openAttempt(const AttemptRequest &request, BlockingConnection &connection)
{
    const Result<HostPort> target = parseHostPort(request.address);
    if (target.has_error())
        return AttemptResult{AttemptEnd::NotSent, {}, "the endpoint's address is not host:port"};
    ErrorCode ec = connection.connect(target.value().host, target.value().port);
    if (ec)
        return AttemptResult{AttemptEnd::NotSent, {}, fmt::format("no connection to the endpoint: {}", ec.message())};
    ec = connection.send(toHttp(request));
    if (ec)
        return interrupted("the connection failed while the request was sent", ec);
    ec = connection.readHead(request.method == "HEAD");
    if (ec)
        return interrupted("no answer from the endpoint", ec);
    return std::nullopt;
}

// Reads the rest of an answer that is not streamed.
AttemptResult readAnswer(const AttemptRequest &request, BlockingConnection &connection)
{
    const BlockingConnection::Head &head = connection.head();
    std::string body;
    const ErrorCode ec = connection.readWholeBody(body, MaxAnswerBytes);
    if (ec)
        return interrupted("the endpoint's answer was interrupted", ec);
    if (!belongsTo(head, request)) {
        metrics().counter("roserail_crossed_answers_total").add();
        return AttemptResult{AttemptEnd::Interrupted, {}, "the answer belongs to another attempt"};
    }
    if (refusedNotRun(head))
        return AttemptResult{AttemptEnd::RefusedNotRun, {}, fmt::format("status {}", head.result_int())};
    return AttemptResult{AttemptEnd::Completed, Answer{int(head.result_int()), std::string(header(head, "Content-Type")), body}, ""};
}

// Lists a connection among those of the request while it is used.
class Listed
{
public:
    Listed(const AttemptRequest &request, BlockingConnection &connection)
        : m_connections(request.connections)
        , m_connection(connection)
    {
        if (m_connections != nullptr)
            m_connections->add(m_connection);
    }
    ~Listed()
    {
        if (m_connections != nullptr)
            m_connections->remove(m_connection);
    }
    Listed(const Listed &) = delete;
    Listed &operator=(const Listed &) = delete;

private:
    AttemptConnections *m_connections;
    BlockingConnection &m_connection;
};

// Passes events of the attempt to the sink, in order and each once. The methods return false to stop reading.
struct StreamReader {
    const AttemptRequest &request;
    StreamProgress &progress;
    const EventSink &sink;
    SseParser parser{};
    std::string failure{};
    bool abandoned = false;

    bool processChunk(const char *data, size_t n)
    {
        for (const SseEvent &it : parser.feed(data, n)) {
            if (!processEvent(it))
                return false;
        }
        failure = parser.overflow() ? "an event is too large" : "";
        return !parser.overflow();
    }

    bool processEvent(const SseEvent &event)
    {
        if (event.data.empty() || progress.ended)
            return true;
        const uint64_t offset = std::strtoull(event.id.c_str(), nullptr, 10);
        const bool end = event.data == EndMarker;
        if (!end && event.data.find(request.attempt.value()) == std::string::npos) {
            metrics().counter("roserail_crossed_answers_total").add();
            return true;
        }
        if (offset < progress.next)
            return true;
        if (offset > progress.next || event.id.empty()) {
            failure = "an event is missing";
            return false;
        }
        if (end) {
            progress.ended = true;
            return true;
        }
        ++progress.next;
        abandoned = !sink(offset, event.data);
        return !abandoned;
    }
};

// Reads the stream to the end of its connection, which may follow the end marker by StreamIdleTimeout.
AttemptResult readStream(BlockingConnection &connection, StreamReader reader)
{
    connection.setDeadline(Time::max());
    ErrorCode ec;
    while (!ec && !connection.done()) {
        std::string_view bytes;
        const bool ended = reader.progress.ended;
        ec = connection.readBody(bytes);
        if (!reader.processChunk(bytes.data(), bytes.size()))
            break;
        if (!ended && reader.progress.ended)
            connection.setDeadline(monotonicNow() + StreamIdleTimeout);
    }
    if (reader.progress.ended)
        return AttemptResult{AttemptEnd::Completed, {}, ""};
    if (reader.abandoned)
        return AttemptResult{AttemptEnd::Abandoned, {}, "the caller has disconnected"};
    if (!reader.failure.empty())
        return AttemptResult{AttemptEnd::Interrupted, {}, reader.failure};
    return ec ? interrupted("the stream was interrupted", ec) : AttemptResult{AttemptEnd::Interrupted, {}, "the stream was interrupted"};
}

} // namespace

void AttemptConnections::close()
{
    const std::lock_guard lock(m_mutex);
    for (BlockingConnection *it : m_connections)
        it->close();
}

void AttemptConnections::add(BlockingConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.insert(&connection);
}

void AttemptConnections::remove(BlockingConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
}

AttemptResult runAttempt(const AttemptRequest &request)
{
    BlockingConnection connection(request.deadline, request.deadline - monotonicNow());
    const Listed listed(request, connection);
    const std::optional<AttemptResult> ended = openAttempt(request, connection);
    return ended ? *ended : readAnswer(request, connection);
}

AttemptResult fetchResult(const AttemptRequest &request)
{
    AttemptRequest fetch = request;
    fetch.method = "GET";
    fetch.path = "/v1/results/" + request.attempt.value();
    fetch.body.clear();
    return runAttempt(fetch);
}

AttemptResult runStream(const AttemptRequest &request, bool resume, StreamProgress &progress, const EventSink &sink)
{
    AttemptRequest sent = request;
    if (resume) {
        sent.method = "GET";
        sent.path = fmt::format("/v1/streams/{}?from={}", request.attempt.value(), progress.next);
        sent.body.clear();
    }
    // Engines send a comment at least once a second; a connection without any data for StreamIdleTimeout is broken.
    BlockingConnection connection(request.deadline, StreamIdleTimeout);
    const Listed listed(request, connection);
    const std::optional<AttemptResult> ended = openAttempt(sent, connection);
    if (ended)
        return *ended;
    const BlockingConnection::Head &head = connection.head();
    if (head.result_int() == 200 && belongsTo(head, request) && !refusedNotRun(head))
        return readStream(connection, StreamReader{request, progress, sink});
    AttemptResult result = readAnswer(sent, connection);
    if (resume && result.end != AttemptEnd::Interrupted)
        return AttemptResult{AttemptEnd::Interrupted, {}, fmt::format("the stream cannot be resumed: status {}", head.result_int())};
    return result;
}

bool endpointGone(const std::string &address, uint64_t incarnation)
{
    if (parseHostPort(address).has_error())
        return false;
    for (int i = 0; i < ProbeAttempts; ++i) {
        const BlockingCall call = callBlocking(address, "GET", "/healthz", {{"Connection", "close"}}, "", ConnectTimeout, ProbeTimeout);
        if (call.answer) {
            const std::string currentIncarnation(call.answer->headers["X-Incarnation"]);
            return !currentIncarnation.empty() && currentIncarnation != std::to_string(incarnation);
        }
        // A connection that times out proves nothing.
        if (call.connectError && call.connectError != net::error::operation_aborted && call.connectError != net::error::timed_out)
            return true;
    }
    return false;
}

} // namespace roserail
