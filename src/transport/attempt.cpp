#include "transport/attempt.h"

#include "protocol/metrics.h"
#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/blockingcall.h"
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

void configureClient(httplib::Client &client, Millis read)
{
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(std::max(read, Millis(1)));
    client.set_write_timeout(HttpIoTimeout);
    client.set_keep_alive(false);
    client.set_follow_location(false);
}

// Returns whether the connection was never established, so that no byte of the request was sent.
bool neverConnected(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

// Returns whether an answer belongs to this attempt, by the attempt's id in it. Only a plain service may omit the id.
bool belongsTo(const httplib::Response &response, const AttemptRequest &request)
{
    const std::string id = response.get_header_value("X-Request-Id");
    return id == request.attempt.value() || (id.empty() && !request.engine);
}

bool refusedNotRun(const httplib::Response &response)
{
    return response.get_header_value("X-Not-Run") == "true";
}

httplib::Request toHttp(const AttemptRequest &request)
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    http.headers = request.headers;
    http.headers.emplace("X-Request-Id", request.attempt.value());
    const Millis left = request.deadline - monotonicNow();
    http.headers.emplace("Roserail-Deadline-Ms", std::to_string(std::max<int64_t>(0, left.count())));
    http.body = request.body;
    return http;
}

AttemptResult toAttemptResult(const httplib::Result &result, const AttemptRequest &request)
{
    if (!result) {
        const AttemptEnd end = neverConnected(result.error()) ? AttemptEnd::NotSent : AttemptEnd::Interrupted;
        return AttemptResult{end, {}, httplib::to_string(result.error())};
    }
    if (!belongsTo(*result, request)) {
        metrics().counter("roserail_crossed_answers_total").add();
        return AttemptResult{AttemptEnd::Interrupted, {}, "the answer belongs to another attempt"};
    }
    if (refusedNotRun(*result))
        return AttemptResult{AttemptEnd::RefusedNotRun, {}, fmt::format("status {}", result->status)};
    return AttemptResult{AttemptEnd::Completed, Answer{result->status, result->get_header_value("Content-Type"), result->body}, ""};
}

std::optional<httplib::Client> makeClient(const AttemptRequest &request, Millis read)
{
    const Result<HostPort> target = parseHostPort(request.address);
    if (target.has_error())
        return std::nullopt;
    std::optional<httplib::Client> client(std::in_place, target.value().host, target.value().port);
    configureClient(*client, read);
    return client;
}

// Lists a client among the connections of the request while it is used.
class Listed
{
public:
    Listed(const AttemptRequest &request, httplib::Client &client)
        : m_connections(request.connections)
        , m_client(client)
    {
        if (m_connections != nullptr)
            m_connections->add(m_client);
    }
    ~Listed()
    {
        if (m_connections != nullptr)
            m_connections->remove(m_client);
    }
    Listed(const Listed &) = delete;
    Listed &operator=(const Listed &) = delete;

private:
    AttemptConnections *m_connections;
    httplib::Client &m_client;
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
        if (event.data.empty())
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

} // namespace

void AttemptConnections::close()
{
    const std::lock_guard lock(m_mutex);
    for (httplib::Client *it : m_clients)
        it->stop();
}

void AttemptConnections::add(httplib::Client &client)
{
    const std::lock_guard lock(m_mutex);
    m_clients.insert(&client);
}

void AttemptConnections::remove(httplib::Client &client)
{
    const std::lock_guard lock(m_mutex);
    m_clients.erase(&client);
}

AttemptResult runAttempt(const AttemptRequest &request)
{
    std::optional<httplib::Client> client = makeClient(request, request.deadline - monotonicNow());
    if (!client)
        return AttemptResult{AttemptEnd::NotSent, {}, "the endpoint's address is not host:port"};
    const Listed listed(request, *client);
    httplib::Request http = toHttp(request);
    std::string body;
    http.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        body.append(data, n);
        return body.size() <= MaxAnswerBytes && monotonicNow() < request.deadline;
    };
    httplib::Result result = client->send(http);
    if (result)
        result->body = std::move(body);
    return toAttemptResult(result, request);
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
    // Engines send a comment at least once a second; a connection without any data for StreamIdleTimeout is broken.
    std::optional<httplib::Client> client = makeClient(request, StreamIdleTimeout);
    if (!client)
        return AttemptResult{AttemptEnd::NotSent, {}, "the endpoint's address is not host:port"};
    const Listed listed(request, *client);
    httplib::Request http = toHttp(request);
    if (resume) {
        http.method = "GET";
        http.path = fmt::format("/v1/streams/{}?from={}", request.attempt.value(), progress.next);
        http.body.clear();
    }
    StreamReader reader{request, progress, sink};
    httplib::Response head;
    head.status = 0; // no response was received; the default of httplib is -1
    bool accepted = false;
    http.response_handler = [&](const httplib::Response &response) {
        head.status = response.status;
        head.headers = response.headers;
        accepted = response.status == 200 && belongsTo(response, request) && !refusedNotRun(response);
        return true;
    };
    std::string errorBody;
    http.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        if (accepted)
            return reader.processChunk(data, n);
        errorBody.append(data, n);
        return errorBody.size() < MaxAnswerBytes;
    };
    const httplib::Result result = client->send(http);
    if (progress.ended)
        return AttemptResult{AttemptEnd::Completed, {}, ""};
    if (reader.abandoned)
        return AttemptResult{AttemptEnd::Abandoned, {}, "the caller has disconnected"};
    if (head.status == 0 || accepted) {
        const bool notSent = !result && neverConnected(result.error());
        return AttemptResult{notSent ? AttemptEnd::NotSent : AttemptEnd::Interrupted,
                             {},
                             reader.failure.empty() ? "the stream was interrupted" : reader.failure};
    }
    if (!belongsTo(head, request))
        return AttemptResult{AttemptEnd::Interrupted, {}, "the answer belongs to another attempt"};
    if (refusedNotRun(head) && !resume)
        return AttemptResult{AttemptEnd::RefusedNotRun, {}, fmt::format("status {}", head.status)};
    if (resume)
        return AttemptResult{AttemptEnd::Interrupted, {}, fmt::format("the stream cannot be resumed: status {}", head.status)};
    return AttemptResult{AttemptEnd::Completed, Answer{head.status, head.get_header_value("Content-Type"), errorBody}, ""};
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
