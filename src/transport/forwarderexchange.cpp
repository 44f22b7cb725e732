// Exchange of Forwarder with one endpoint: sends the request and relays the answer.
#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <limits>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr std::string_view EventStreamType = "text/event-stream";
constexpr size_t ReadBufferBytes = 8192; // of the buffer for one read from an endpoint

bool isRelayHeader(std::string_view name)
{
    const std::string_view begin = name.substr(0, RelayHeaderPrefix.size());
    return boost::beast::iequals(boost::beast::string_view(begin.data(), begin.size()),
                                 boost::beast::string_view(RelayHeaderPrefix.data(), RelayHeaderPrefix.size()));
}

AnswerFraming framingOf(const http::response_parser<http::buffer_body> &parser)
{
    if (parser.chunked())
        return AnswerFraming::Chunked;
    if (parser.need_eof())
        return AnswerFraming::Close;
    return parser.content_length() ? AnswerFraming::Length : AnswerFraming::None;
}

} // namespace

// Returns the head of the request that is sent to the endpoint; the body follows as it was received.
std::string Forwarder::buildRequestHead(const Request &request, const EndpointChoice &choice, Time now) const
{
    const http::request<http::string_body> &original = request.caller.request();
    const bool resumes = request.route->retryPolicy == RetryPolicy::Resume && !request.eventRelay.lastId().empty();
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", view(original.method_string()), view(original.target()));
    for (const http::fields::value_type &it : original) {
        const std::string_view name = view(it.name_string());
        const bool replaced = resumes && boost::beast::iequals(it.name_string(), LastEventId);
        const bool replacedByAccount = request.table->accounts && m_codec.isAccountHeader(name);
        if (!isHopByHop(name) && !m_codec.isReserved(name) && !isRelayHeader(name) && !replaced && !replacedByAccount)
            bytes += fmt::format("{}: {}\r\n", name, view(it.value()));
    }
    if (resumes)
        bytes += fmt::format("{}: {}\r\n", LastEventId, request.eventRelay.lastId());
    std::vector<HeaderField> added = m_codec.forwardHeaders(choice.endpoint, request.deadline - now, accountId(request));
    if (!choice.router.empty()) {
        const std::vector<HeaderField> headers = relayHeaders(request);
        added.insert(added.end(), headers.begin(), headers.end());
    }
    if (choice.router.empty() && request.rank)
        added.push_back(m_codec.admissionRankHeader(*request.rank));
    for (const HeaderField &it : added)
        bytes += fmt::format("{}: {}\r\n", it.name, it.value);
    const bool hasBody = !original.body().empty() || original.method() == http::verb::post || original.method() == http::verb::put;
    if (hasBody)
        bytes += fmt::format("Content-Length: {}\r\n", original.body().size());
    return bytes + "\r\n";
}

Task<AttemptEnd> Forwarder::exchange(Request &request, const EndpointChoice &choice, EndpointConnection &connection, bool &reusable)
{
    const std::string head = buildRequestHead(request, choice, monotonicNow());
    const std::array<net::const_buffer, 2> bytes{net::buffer(head), net::buffer(request.caller.request().body())};
    ErrorCode ec;
    co_await net::async_write(connection.socket, bytes, net::redirect_error(net::use_awaitable, ec));
    if (ec) {
        request.cause = "the connection failed while the request was sent: " + ec.message();
        co_return AttemptEnd::Interrupted;
    }
    EndpointAnswer answer;
    if (!co_await readHead(request, connection, answer))
        co_return AttemptEnd::Interrupted;
    connection.expectBytes(answer.parser->content_length().value_or(0));
    if (!choice.router.empty() && !view(answer.parser->get()[RelayOutcome]).empty())
        co_return co_await readRelayOutcome(request, connection, answer);
    if (!choice.router.empty())
        request.software = SoftwareVersion(std::string(view(answer.parser->get()[RelaySoftware])));
    else
        recordAdvice(request, choice, answer);
    if (answer.metadata.load && choice.router.empty())
        m_balancer.observeLoad(choice.endpoint, *answer.metadata.load, monotonicNow());
    const AttemptEnd end = co_await relay(request, connection, answer);
    connection.used = true;
    if (answer.metadata.notRun || answer.status >= 400)
        connection.failed.push_back(requestKey(request.metadata.id));
    reusable = answer.parser->is_done() && answer.keepAlive && connection.buffer.size() == 0;
    co_return end;
}

// Records what the endpoint says about itself: that it is leaving, or that it wants no request for a while.
void Forwarder::recordAdvice(const Request &request, const EndpointChoice &choice, const EndpointAnswer &answer)
{
    const Time now = monotonicNow();
    EndpointAdvice &advice = m_balancer.advice();
    if (answer.metadata.leaving && advice.recordLeaving(choice.endpoint, choice.startedAtMs, now)) {
        logEvent("endpoint_leaving", {{"id", request.metadata.id}, {"endpoint", choice.endpoint}, {"born_ms", choice.startedAtMs}});
        if (m_onReport)
            m_onReport();
    }
    recordCapacity(request, choice, answer, now);
    if (!answer.metadata.pause)
        return;
    const Time until = advice.recordPause(choice.endpoint, choice.startedAtMs, *answer.metadata.pause, now);
    logDecision("endpoint_paused",
                {{"id", request.metadata.id},
                 {"endpoint", choice.endpoint},
                 {"asked_ms", answer.metadata.pause->count()},
                 {"paused_ms", (until - now).count()}});
}

// A 421 may come from another endpoint, to which the address belongs now.
void Forwarder::recordCapacity(const Request &request, const EndpointChoice &choice, const EndpointAnswer &answer, Time now)
{
    if (answer.status == 421
        || !m_balancer.recordCapacity(choice, EndpointCapacity{answer.metadata.requestsPerSecond, answer.metadata.maxRefusals},
                                      request.sentAt, now))
        return;
    logEvent("endpoint_capacity",
             {{"id", request.metadata.id},
              {"endpoint", choice.endpoint},
              {"born_ms", choice.startedAtMs},
              {"requests_per_s", answer.metadata.requestsPerSecond.value_or(-1)},
              {"max_refusals_per_s", answer.metadata.maxRefusals ? int64_t(*answer.metadata.maxRefusals) : -1}});
    if (m_onReport)
        m_onReport();
}

// Reads the next final head on the connection and skips interim ones. Returns whether it was received.
Task<bool> Forwarder::readNextHead(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        ErrorCode ec;
        answer.parser = std::make_unique<http::response_parser<http::buffer_body>>();
        answer.parser->eager(true);
        answer.parser->header_limit(MaxAnswerHeaderBytes);
        answer.parser->body_limit(std::numeric_limits<uint64_t>::max());
        answer.parser->skip(request.caller.request().method() == http::verb::head);
        co_await http::async_read_header(connection.socket, connection.buffer, *answer.parser, net::redirect_error(net::use_awaitable, ec));
        if (ec) {
            request.cause = "no answer from the endpoint: " + ec.message();
            co_return false;
        }
        answer.status = answer.parser->get().result_int();
        if (!isHttpStatus(answer.status)) {
            request.cause = fmt::format("the endpoint's answer has the invalid status {:03}", answer.status);
            co_return false;
        }
        if (answer.status / 100 != 1)
            co_return true;
    }
    request.cause = "the endpoint sent too many interim answers";
    co_return false;
}

// Reads the head of the answer to this request, and skips late answers to earlier requests on the connection. Returns
// whether it was received.
Task<bool> Forwarder::readHead(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    for (int skipped = 0; skipped <= MaxSkippedAnswers; ++skipped) {
        if (!co_await readNextHead(request, connection, answer))
            co_return false;
        const http::response<http::buffer_body> &head = answer.parser->get();
        answer.metadata = m_codec.responseMetadata(
            int(answer.status), [&head](std::string_view name) { return view(head[boost::beast::string_view(name.data(), name.size())]); });
        answer.keepAlive = answer.parser->keep_alive();
        request.framing = framingOf(*answer.parser);
        connection.keepAliveHeader = std::string(view(head[http::field::keep_alive]));
        const bool success = answer.status / 100 == 2;
        // Endpoints name the request in each answer. A failure that names none is taken for this one's only if no other request
        // can have caused it.
        const bool unnamed = answer.metadata.requestId.empty();
        const bool foreign = unnamed ? success || connection.used : answer.metadata.requestId != request.metadata.id;
        if (!foreign) {
            if (success && answer.metadata.signature.empty()) {
                request.cause = "the answer has no signature";
                co_return false;
            }
            co_return true;
        }
        logEvent("foreign_answer", {{"id", request.metadata.id}, {"endpoint", request.endpoint}, {"answers", answer.metadata.requestId}});
        if (!co_await skipBody(request, connection, answer) || !answer.keepAlive)
            break;
    }
    request.cause = "the endpoint sent the answer to another request";
    co_return false;
}

// Reads and drops the body of an answer. Returns whether it was complete and not too large.
Task<bool> Forwarder::skipBody(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    std::vector<char> buf(ReadBufferBytes);
    size_t skippedBytes = 0;
    while (!answer.parser->is_done()) {
        size_t n = 0;
        if (!co_await readBody(request, connection, answer, buf, n))
            co_return false;
        skippedBytes += n;
        if (skippedBytes > MaxBufferedAnswerBytes)
            co_return false;
    }
    co_return true;
}

std::string Forwarder::buildAnswerHead(const Request &request, const EndpointAnswer &answer) const
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, view(http::obsolete_reason(http::status(answer.status))));
    for (const http::fields::value_type &it : answer.parser->get()) {
        if (!isHopByHop(view(it.name_string())) && !isRelayHeader(view(it.name_string())))
            head += fmt::format("{}: {}\r\n", view(it.name_string()), view(it.value()));
    }
    if (!request.relayedFrom.empty() && !request.software.value().empty())
        head += fmt::format("{}: {}\r\n", RelaySoftware, request.software.value());
    if (!request.caller.announceKeepAlive())
        head += "Connection: close\r\n";
    return head;
}

// Reads the next bytes of the body into the buffer and sets `n` to their number. Returns whether the read succeeded.
Task<bool> Forwarder::readBody(Request &request, EndpointConnection &connection, EndpointAnswer &answer, std::vector<char> &buf, size_t &n)
{
    ErrorCode ec;
    answer.parser->get().body().data = buf.data();
    answer.parser->get().body().size = buf.size();
    co_await http::async_read_some(connection.socket, connection.buffer, *answer.parser, net::redirect_error(net::use_awaitable, ec));
    n = buf.size() - answer.parser->get().body().size;
    request.answerBytes += n;
    if (!ec || ec == http::error::need_buffer)
        co_return true;
    request.cause = "the endpoint's answer was interrupted: " + ec.message();
    co_return false;
}

// Relays the answer: a stream as it arrives, other answers once they are complete, so that they can be retried.
Task<AttemptEnd> Forwarder::relay(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    const bool retryable = request.route->retryPolicy == RetryPolicy::Always && answer.status >= 500;
    const bool retriesLeft = retryable && request.progress.runs < request.progress.maxRuns;
    if (request.route->stream && answer.status / 100 == 2 && !answer.metadata.notRun)
        co_return co_await relayStream(request, connection, answer);
    std::vector<char> buf(ReadBufferBytes);
    std::string body;
    while (!answer.parser->is_done()) {
        size_t n = 0;
        if (!co_await readBody(request, connection, answer, buf, n))
            co_return AttemptEnd::Interrupted;
        if (!request.buffer(body.size() + n, MaxBufferedAnswerBytes)) {
            request.cause = "the endpoint's answer is too large to buffer";
            co_return AttemptEnd::Interrupted;
        }
        body.append(buf.data(), n);
    }
    if (answer.metadata.notRun || retriesLeft || request.progress.delivered) {
        request.status = answer.status;
        request.cause = fmt::format("the endpoint answered {}{}", answer.status, answer.metadata.notRun ? ", not run" : "");
        co_return answer.metadata.notRun ? AttemptEnd::RefusedNotRun : AttemptEnd::Interrupted;
    }
    request.status = answer.status;
    request.progress.delivered = true;
    const bool bodyless = answer.status == 204 || answer.status == 304;
    std::string head = buildAnswerHead(request, answer);
    request.recordForwarding(monotonicNow());
    head += bodyless ? "\r\n" : fmt::format("Content-Length: {}\r\n\r\n", body.size());
    if (!co_await request.caller.write(std::move(head), body))
        co_return AttemptEnd::Abandoned;
    co_return AttemptEnd::Completed;
}

// Relays a stream's events as they arrive. The head is sent with the first of them; an endpoint that resumes the stream
// of another adds only events. An answer of another type is relayed as it is.
Task<AttemptEnd> Forwarder::relayStream(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    request.eventRelay.beginRun();
    const std::string_view contentType = view(answer.parser->get()[http::field::content_type]);
    const bool isEventStream = contentType.empty() || contentType.substr(0, EventStreamType.size()) == EventStreamType;
    std::vector<char> buf(ReadBufferBytes);
    while (true) {
        size_t n = 0;
        if (!answer.parser->is_done() && !co_await readBody(request, connection, answer, buf, n))
            co_return AttemptEnd::Interrupted;
        const std::string_view bytes(buf.data(), n);
        const std::string piece = isEventStream ? request.eventRelay.feed(bytes) : std::string(bytes);
        if (!request.eventRelay.continuous()) {
            request.cause = "the endpoint did not resume the stream at the next event";
            co_return AttemptEnd::Interrupted;
        }
        const bool ended = answer.parser->is_done();
        const bool brokenOff = isEventStream && request.eventRelay.brokenOff(request.framing != AnswerFraming::Close);
        const bool complete = ended && !brokenOff;
        if ((!piece.empty() || complete) && !co_await forwardPiece(request, answer, piece, complete)) {
            request.cancellation->callerDisconnected = true;
            co_return AttemptEnd::Abandoned;
        }
        if (complete)
            co_return AttemptEnd::Completed;
        if (!request.buffer(request.eventRelay.unfinishedBytes(), MaxEventBytes)) {
            request.cause = "an event of the endpoint's stream is too large to buffer";
            co_return AttemptEnd::Interrupted;
        }
        if (ended) {
            request.cause = "the endpoint broke off the stream inside an event or before the first";
            co_return AttemptEnd::Interrupted;
        }
    }
}

// Sends a piece of a stream to the caller, after the head if it is the first, and ends the answer if it is the last. Returns
// false if the caller has disconnected.
Task<bool> Forwarder::forwardPiece(Request &request, const EndpointAnswer &answer, const std::string &piece, bool last)
{
    const bool chunked = request.caller.request().version() >= 11;
    if (!request.progress.delivered && request.route->retryPolicy == RetryPolicy::Resume)
        m_streamVersions.record(streamId(request.metadata.id), request.software, monotonicNow());
    if (!request.progress.delivered && !chunked)
        request.caller.beginUnframed();
    std::string bytes;
    if (!request.progress.delivered)
        bytes = buildAnswerHead(request, answer) + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    if (!piece.empty())
        bytes += chunked ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : piece;
    if (last && chunked)
        bytes += "0\r\n\r\n";
    request.status = answer.status;
    request.progress.delivered = true;
    request.recordForwarding(monotonicNow());
    if (!co_await request.caller.write(std::move(bytes)))
        co_return false;
    if (last && !chunked)
        request.caller.endUnframed();
    co_return true;
}

} // namespace roserail
