#include "transport/forwarder.h"

#include "coordination/admission.h"
#include "protocol/eventrelay.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <boost/beast/core/string.hpp>

#include <limits>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr const char *LastEventId = "Last-Event-Id"; // of the HTML standard's event streams
constexpr size_t RelayBytes = 8192; // read from an endpoint at once
constexpr size_t WholeAnswerBytes
    = 8u << 20; // an answer that is no stream is held back until it is complete; twice the largest body of a request
constexpr uint32_t AnswerHeaderBytes = 64u << 10;
constexpr int ForeignAnswers = 2; // late answers to earlier requests that are skipped on one connection

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string hostWithoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.find(':')));
}

// The request's id spreads requests over a route's services by weight.
ServiceId serviceFor(const Route &route, const std::string &requestId)
{
    uint64_t total = 0;
    for (const WeightedService &it : route.services)
        total += it.weight;
    uint64_t point = std::hash<std::string>()(requestId) % total;
    for (const WeightedService &it : route.services) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return route.services.back().service;
}

// What a request has in common with itself when its caller sends it again.
Fingerprint fingerprintOf(const http::request<http::string_body> &request, const RequestFacts &facts)
{
    std::string text = fmt::format("{}\n{}\n{}\n", view(request.method_string()), view(request[http::field::host]), view(request.target()));
    text += fmt::format("{}/{}\n{}", facts.model, facts.adapter, request.body());
    return Fingerprint(XXH3_64bits(text.data(), text.size()));
}

std::string retryAfter(Millis time)
{
    return fmt::format("{:.3f}", double(time.count()) / 1000);
}

} // namespace

// Ends what a request waits for: its caller has left, or its time is up.
struct Forwarder::Interrupt {
    bool callerLeft = false;
    bool timeUp = false;
    bool finished = false; // the request is done; nothing of it may be touched
    std::function<void()> stop; // of what is being waited for
    bool raised() const
    {
        return callerLeft || timeUp;
    }
    void raise(bool &why)
    {
        if (finished)
            return;
        why = true;
        if (stop)
            stop();
    }
};

// One request, from its arrival to its final answer.
struct Forwarder::Request {
    Request(CallerConnection &connection, std::shared_ptr<const RouteTable> routes)
        : caller(connection)
        , table(std::move(routes))
    {
    }
    CallerConnection &caller;
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    RequestFacts facts;
    Fingerprint fingerprint;
    Need need;
    Time deadline{};
    RouteProgress progress;
    EventRelay events; // of a stream that can go on at another endpoint
    std::shared_ptr<Interrupt> interrupt = std::make_shared<Interrupt>();
    std::string endpoint; // of the last attempt
    unsigned status = 0; // that the caller got
    Millis waited{0}; // for a model
    ErrorKind refusal = ErrorKind::NotRun; // if no endpoint has run it
    std::optional<Millis> comeBackIn; // when it can be served
    Time firstAt{}; // first bytes of the answer were passed on
    Time lastAt{}; // the latest were
    Millis longestPause{0}; // between two of them
    void passedOn(Time now)
    {
        if (firstAt == Time())
            firstAt = now;
        else
            longestPause = std::max(longestPause, Millis(now - lastAt));
        lastAt = now;
    }
    std::string cause; // of the last failure
};

// An endpoint's answer while it is read.
struct EndpointAnswer {
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
    AnswerFacts facts;
    unsigned status = 0;
    bool keepAlive = false;
};

Forwarder::Forwarder(net::io_context &io, const Dialect &dialect, Balancer &balancer, RetryWindow &retries, CrashWatch &crashes)
    : m_io(io)
    , m_dialect(dialect)
    , m_balancer(balancer)
    , m_retries(retries)
    , m_crashes(crashes)
    , m_pool(io)
{
}

void Forwarder::endpointsChanged()
{
    for (net::steady_timer *it : m_waiters)
        it->cancel();
}

void Forwarder::drain(Time now)
{
    m_waitUntil = now + DrainWaitTime;
    m_streamsUntil = now + DrainStreamTime;
}

Task<> Forwarder::handle(CallerConnection &caller)
{
    Request request(caller, m_table);
    request.facts = m_dialect.requestFacts(caller.lookup());
    net::co_spawn(m_io, watchCaller(caller, request.interrupt), net::detached);
    ++m_active;
    co_await serve(request);
    --m_active;
    request.interrupt->finished = true;
    ErrorCode ec;
    caller.socket().cancel(ec);
    if (request.interrupt->callerLeft)
        caller.abort();
}

Task<> Forwarder::serve(Request &request)
{
    CallerConnection &caller = request.caller;
    if (!request.table)
        co_await waitForConfiguration(request);
    if (!request.table) {
        const Error error{ErrorKind::Unavailable, "no configuration is known yet; come back later", RetryAfterBusy.count()};
        co_await refuse(request, error, 503);
        co_return;
    }
    const std::string target(view(caller.request().target()));
    request.route = request.table->match(hostWithoutPort(caller.header("Host")), target.substr(0, target.find('?')));
    if (request.route == nullptr) {
        const Error error{ErrorKind::NotFound, "no route serves this host and path; correct the address", 0};
        co_await refuse(request, error, 404);
        co_return;
    }
    request.deadline = caller.arrivedAt() + request.route->timeout;
    if (request.facts.patience)
        request.deadline = std::min(request.deadline, caller.arrivedAt() + *request.facts.patience);
    net::steady_timer timer(m_io, request.deadline - monotonicNow());
    timer.async_wait([interrupt = request.interrupt](const ErrorCode &ec) {
        if (!ec)
            interrupt->raise(interrupt->timeUp);
    });
    co_await forward(request);
}

// A host that has just started learns the configuration within a moment: requests that come before are held for it.
Task<> Forwarder::waitForConfiguration(Request &request)
{
    const Time until = request.caller.arrivedAt() + configurationWait(request.facts.patience);
    net::steady_timer timer(m_io, until - monotonicNow());
    request.interrupt->stop = [&timer] {
        timer.cancel();
    };
    m_waiters.insert(&timer);
    while (!m_table && !request.interrupt->raised() && monotonicNow() < std::min(until, m_waitUntil)) {
        ErrorCode ec;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
    m_waiters.erase(&timer);
    request.interrupt->stop = nullptr;
    request.table = m_table;
}

// Notices a caller that closes its connection while its request is under way.
Task<> Forwarder::watchCaller(CallerConnection &caller, std::shared_ptr<Interrupt> interrupt)
{
    ErrorCode ec;
    co_await caller.socket().async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, ec));
    if (ec || interrupt->finished)
        co_return;
    char byte = 0;
    const ssize_t n = ::recv(caller.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes are the next request, sent early: they wait.
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        interrupt->raise(interrupt->callerLeft);
}

Task<> Forwarder::forward(Request &request)
{
    const Route &route = *request.route;
    request.need.service = serviceFor(route, request.facts.id);
    request.need.model = request.facts.model;
    request.need.adapter = request.facts.adapter;
    request.need.prompt = request.facts.prompt;
    request.need.promptTokens = request.facts.promptTokens;
    request.fingerprint = fingerprintOf(request.caller.request(), request.facts);
    request.progress.repeat = route.repeat;
    request.progress.maxRuns = route.attempts;
    m_retries.requestStarted(monotonicNow());
    while (true) {
        const std::optional<Choice> choice = co_await findEndpoint(request);
        AttemptEnd end = AttemptEnd::NotSent;
        if (choice)
            end = co_await attempt(request, *choice);
        else
            request.cause = request.cause.empty() ? "no endpoint serves it in time" : request.cause;
        if (request.interrupt->raised())
            end = end == AttemptEnd::Completed ? end : AttemptEnd::Abandoned;
        const RouteStep step = choice ? nextRouteStep(request.progress, end, [&] { return m_retries.tryRetry(monotonicNow()); })
                                      : stepWithoutEndpoint(request.progress);
        if (choice && end != AttemptEnd::Completed)
            logFailedAttempt(request, end, step, monotonicNow());
        if (step != RouteStep::Retry) {
            co_await finish(request, step, end);
            co_return;
        }
    }
}

Task<std::optional<Choice>> Forwarder::findEndpoint(Request &request)
{
    if (request.route->stream && monotonicNow() > m_streamsUntil) {
        request.cause = "this host stops; another one serves it";
        co_return std::nullopt;
    }
    if (m_crashes.refuses(request.fingerprint, monotonicNow())) {
        request.cause = "endpoints crashed while they ran this request";
        request.refusal = ErrorKind::Quarantined;
        request.comeBackIn = QuarantineTime;
        co_return std::nullopt;
    }
    std::optional<Choice> choice = m_balancer.choose(request.need, monotonicNow());
    if (choice || request.need.model.empty() || !m_balancer.serves(request.need.service))
        co_return choice;
    const ServiceSpec *service = request.table->service(request.need.service);
    if (!service->hasEngine || service->engine.models.count(request.need.model) == 0) {
        request.cause = "the configuration has no such model";
        co_return std::nullopt;
    }
    co_return co_await waitForModel(request);
}

// Waits until an endpoint holds the model, as long as an answer in time is still possible.
Task<std::optional<Choice>> Forwarder::waitForModel(Request &request)
{
    const Time since = monotonicNow();
    const ModelSpec &model = request.table->service(request.need.service)->engine.models.at(request.need.model);
    const double spread = double(std::hash<std::string>()(request.facts.id) % 1000) / 1000;
    const ColdAdmission admission
        = admitCold(*request.route, model, request.caller.arrivedAt(), request.deadline, m_ordersFrom, spread, since);
    request.comeBackIn = admission.comeBackIn;
    if (request.comeBackIn) {
        request.cause = fmt::format("no model is loaded for {} ms, after a change of control", (m_ordersFrom - since).count());
        co_return std::nullopt;
    }
    const Time until = admission.until;
    net::steady_timer timer(m_io);
    logWait(request, since, until);
    m_balancer.waits(request.need, since);
    m_waiters.insert(&timer);
    request.interrupt->stop = [&timer] {
        timer.cancel();
    };
    if (m_onWait)
        m_onWait();
    std::optional<Choice> choice;
    while (!choice && !request.interrupt->raised() && monotonicNow() < std::min(until, m_waitUntil)) {
        ErrorCode ec;
        timer.expires_after(std::min(until - monotonicNow(), NotHeldPause));
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
        choice = m_balancer.choose(request.need, monotonicNow());
    }
    request.interrupt->stop = nullptr;
    m_waiters.erase(&timer);
    m_balancer.stopsWaiting(request.need, since);
    request.waited += monotonicNow() - since;
    if (!choice)
        request.cause = "the model was not loaded in time";
    co_return request.interrupt->raised() ? std::nullopt : choice;
}

Task<AttemptEnd> Forwarder::attempt(Request &request, const Choice &choice)
{
    request.endpoint = choice.endpoint;
    EndpointConnectionPtr connection = m_pool.takeIdle(choice.address, monotonicNow());
    if (!connection)
        connection = co_await m_pool.connect(choice.address, EndpointConnectTimeout);
    if (request.interrupt->raised())
        co_return AttemptEnd::Abandoned;
    if (!connection) {
        request.cause = "no connection to the endpoint";
        request.need.avoid.insert(choice.endpoint);
        m_balancer.started(request.need, choice, monotonicNow());
        m_balancer.ended(request.need, choice, StayEnd::Failed, monotonicNow());
        co_return AttemptEnd::NotSent;
    }
    logSend(request, choice, monotonicNow());
    m_balancer.started(request.need, choice, monotonicNow());
    ++request.progress.sends;
    ++request.progress.runs;
    request.interrupt->stop = [&socket = connection->socket] {
        ErrorCode ec;
        socket.close(ec);
    };
    bool reusable = false;
    const AttemptEnd end = co_await exchange(request, choice, *connection, reusable);
    request.interrupt->stop = nullptr;
    StayEnd stay = StayEnd::Failed;
    if (end == AttemptEnd::Completed)
        stay = StayEnd::Answered;
    else if (end == AttemptEnd::RefusedNotRun)
        stay = request.status == 421 ? StayEnd::NotHeld : StayEnd::Full;
    else if (request.interrupt->raised())
        stay = StayEnd::Cancelled;
    m_balancer.ended(request.need, choice, stay, monotonicNow());
    if (end == AttemptEnd::RefusedNotRun)
        --request.progress.runs;
    if (end == AttemptEnd::Completed)
        m_crashes.answered(request.fingerprint);
    if (end == AttemptEnd::Interrupted && !request.interrupt->raised()) {
        const bool suspect = m_crashes.crashes(request.fingerprint, monotonicNow()) > 0;
        Task<> inspection = inspectLoss(request.facts.id, request.fingerprint, choice);
        // The next endpoint waits for the verdict only if this would not be the first one lost.
        if (suspect)
            co_await std::move(inspection);
        else
            net::co_spawn(m_io, std::move(inspection), net::detached);
    }
    if (end != AttemptEnd::Completed && stay != StayEnd::NotHeld)
        request.need.avoid.insert(choice.endpoint);
    if (reusable && connection->socket.is_open())
        m_pool.keep(std::move(connection), monotonicNow());
    co_return end;
}

// Finds out whether an endpoint that broke off a request still listens; if not, the request may have crashed it.
Task<> Forwarder::inspectLoss(std::string id, Fingerprint fingerprint, Choice choice)
{
    ErrorCode ec;
    EndpointConnectionPtr connection = co_await m_pool.connect(choice.address, EndpointConnectTimeout, &ec);
    if (connection)
        m_pool.keep(std::move(connection), monotonicNow());
    if (ec != net::error::connection_refused && ec != net::error::connection_reset)
        co_return;
    const Time now = monotonicNow();
    if (!m_crashes.crashed(fingerprint, choice.endpoint, choice.born, now))
        co_return;
    logEvent("endpoint_crashed",
             {{"id", id},
              {"endpoint", choice.endpoint},
              {"born_ms", choice.born},
              {"fingerprint", fmt::format("{:016x}", fingerprint.value())},
              {"crashes", m_crashes.crashes(fingerprint, now)}});
}

std::string Forwarder::requestBytes(const Request &request, const Choice &choice, Time now) const
{
    const http::request<http::string_body> &original = request.caller.request();
    const bool resumes = request.route->repeat == Repeat::Resume && !request.events.lastId().empty();
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", view(original.method_string()), view(original.target()));
    for (const http::fields::value_type &it : original) {
        const std::string_view name = view(it.name_string());
        const bool replaced = resumes && boost::beast::iequals(it.name_string(), LastEventId);
        if (!isHopByHop(name) && !m_dialect.isReserved(name) && !replaced)
            bytes += fmt::format("{}: {}\r\n", name, view(it.value()));
    }
    if (resumes)
        bytes += fmt::format("{}: {}\r\n", LastEventId, request.events.lastId());
    for (const HeaderField &it : m_dialect.forwardHeaders(choice.endpoint, request.deadline - now))
        bytes += fmt::format("{}: {}\r\n", it.name, it.value);
    const bool hasBody = !original.body().empty() || original.method() == http::verb::post || original.method() == http::verb::put;
    if (hasBody)
        bytes += fmt::format("Content-Length: {}\r\n", original.body().size());
    return bytes + "\r\n" + original.body();
}

Task<AttemptEnd> Forwarder::exchange(Request &request, const Choice &choice, EndpointConnection &connection, bool &reusable)
{
    const std::string bytes = requestBytes(request, choice, monotonicNow());
    ErrorCode ec;
    co_await net::async_write(connection.socket, net::buffer(bytes), net::redirect_error(net::use_awaitable, ec));
    if (ec) {
        request.cause = "the connection broke while the request was sent: " + ec.message();
        co_return AttemptEnd::Interrupted;
    }
    EndpointAnswer answer;
    if (!co_await readHead(request, connection, answer))
        co_return AttemptEnd::Interrupted;
    if (answer.facts.load)
        m_balancer.observeLoad(choice.endpoint, answer.facts.load->running, answer.facts.load->waiting, monotonicNow());
    const AttemptEnd end = co_await relay(request, connection, answer);
    reusable = answer.parser->is_done() && answer.keepAlive && connection.buffer.size() == 0;
    co_return end;
}

// Reads the head of the answer to this request. Late answers to earlier ones on the connection are skipped.
Task<bool> Forwarder::readHead(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    for (int skipped = 0; skipped <= ForeignAnswers; ++skipped) {
        ErrorCode ec;
        answer.parser = std::make_unique<http::response_parser<http::buffer_body>>();
        answer.parser->eager(true);
        answer.parser->header_limit(AnswerHeaderBytes);
        answer.parser->body_limit(std::numeric_limits<uint64_t>::max());
        answer.parser->skip(request.caller.request().method() == http::verb::head);
        co_await http::async_read_header(connection.socket, connection.buffer, *answer.parser, net::redirect_error(net::use_awaitable, ec));
        if (ec) {
            request.cause = "no answer from the endpoint: " + ec.message();
            co_return false;
        }
        const http::response<http::buffer_body> &head = answer.parser->get();
        answer.status = head.result_int();
        answer.facts = m_dialect.answerFacts(
            int(answer.status), [&head](std::string_view name) { return view(head[boost::beast::string_view(name.data(), name.size())]); });
        answer.keepAlive = answer.parser->keep_alive();
        connection.keepAliveHeader = std::string(view(head[http::field::keep_alive]));
        const bool success = answer.status / 100 == 2;
        const bool foreign = answer.facts.requestId.empty() ? success : answer.facts.requestId != request.facts.id;
        if (!foreign) {
            if (success && answer.facts.seal.empty()) {
                request.cause = "the answer has no signature";
                co_return false;
            }
            co_return true;
        }
        logEvent("foreign_answer", {{"id", request.facts.id}, {"endpoint", request.endpoint}, {"answers", answer.facts.requestId}});
        std::vector<char> rest(RelayBytes);
        while (!answer.parser->is_done() && (!ec || ec == http::error::need_buffer)) {
            answer.parser->get().body().data = rest.data();
            answer.parser->get().body().size = rest.size();
            co_await http::async_read_some(connection.socket, connection.buffer, *answer.parser,
                                           net::redirect_error(net::use_awaitable, ec));
        }
        if (!answer.parser->is_done() || !answer.keepAlive)
            break;
    }
    request.cause = "the endpoint answered another request";
    co_return false;
}

std::string Forwarder::answerHead(const Request &request, const EndpointAnswer &answer) const
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, view(http::obsolete_reason(http::status(answer.status))));
    for (const http::fields::value_type &it : answer.parser->get()) {
        if (!isHopByHop(view(it.name_string())))
            head += fmt::format("{}: {}\r\n", view(it.name_string()), view(it.value()));
    }
    if (!request.caller.keepsAlive())
        head += "Connection: close\r\n";
    return head;
}

// Reads what has come of the body, at most the buffer's size. False: the answer broke off.
Task<bool> Forwarder::readBody(Request &request, EndpointConnection &connection, EndpointAnswer &answer, std::vector<char> &buf, size_t &n)
{
    ErrorCode ec;
    answer.parser->get().body().data = buf.data();
    answer.parser->get().body().size = buf.size();
    co_await http::async_read_some(connection.socket, connection.buffer, *answer.parser, net::redirect_error(net::use_awaitable, ec));
    n = buf.size() - answer.parser->get().body().size;
    if (!ec || ec == http::error::need_buffer)
        co_return true;
    request.cause = "the endpoint's answer broke off: " + ec.message();
    co_return false;
}

// Passes the answer on: a stream as it comes, other answers whole.
Task<AttemptEnd> Forwarder::relay(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    const bool retryable = request.route->repeat == Repeat::Always && answer.status >= 500;
    const bool another = retryable && request.progress.runs < request.progress.maxRuns;
    if (request.route->stream && answer.status / 100 == 2 && !answer.facts.notRun)
        co_return co_await relayStream(request, connection, answer);
    std::vector<char> buf(RelayBytes);
    std::string body;
    while (!answer.parser->is_done()) {
        size_t n = 0;
        if (!co_await readBody(request, connection, answer, buf, n))
            co_return AttemptEnd::Interrupted;
        body.append(buf.data(), n);
        if (body.size() > WholeAnswerBytes) {
            request.cause = "the endpoint's answer is too long to be held back";
            co_return AttemptEnd::Interrupted;
        }
    }
    if (answer.facts.notRun || another || request.progress.delivered) {
        request.status = answer.status;
        request.cause = fmt::format("the endpoint answered {}{}", answer.status, answer.facts.notRun ? ", not run" : "");
        co_return answer.facts.notRun ? AttemptEnd::RefusedNotRun : AttemptEnd::Interrupted;
    }
    request.status = answer.status;
    request.progress.delivered = true;
    const bool bodyless = answer.status == 204 || answer.status == 304;
    std::string head = answerHead(request, answer);
    request.passedOn(monotonicNow());
    head += bodyless ? "\r\n" : fmt::format("Content-Length: {}\r\n\r\n", body.size());
    if (!co_await request.caller.write(head + body))
        co_return AttemptEnd::Abandoned;
    co_return AttemptEnd::Completed;
}

// Passes a stream's events on as they come. The head leaves with the first of them; a run that goes on for another one
// adds its events only.
Task<AttemptEnd> Forwarder::relayStream(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    const bool chunked = request.caller.request().version() >= 11;
    const bool resumable = request.route->repeat == Repeat::Resume;
    if (!chunked)
        request.caller.closeAfterAnswer();
    request.events.beginRun();
    std::vector<char> buf(RelayBytes);
    bool done = false;
    while (!done) {
        size_t n = 0;
        if (!answer.parser->is_done() && !co_await readBody(request, connection, answer, buf, n))
            co_return AttemptEnd::Interrupted;
        done = answer.parser->is_done();
        std::string piece(buf.data(), n);
        if (resumable)
            piece = request.events.take(piece);
        if (resumable && done)
            piece += request.events.takeRest();
        if (!request.events.continuous()) {
            request.cause = "the endpoint's run doesn't go on at the next event";
            co_return AttemptEnd::Interrupted;
        }
        if (piece.empty() && !done)
            continue;
        std::string bytes;
        if (!request.progress.delivered)
            bytes = answerHead(request, answer) + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
        if (!piece.empty())
            bytes += chunked ? fmt::format("{:x}\r\n{}\r\n", piece.size(), piece) : piece;
        if (done && chunked)
            bytes += "0\r\n\r\n";
        request.status = answer.status;
        request.progress.delivered = true;
        request.passedOn(monotonicNow());
        if (!co_await request.caller.write(std::move(bytes))) {
            request.interrupt->callerLeft = true;
            co_return AttemptEnd::Abandoned;
        }
    }
    co_return AttemptEnd::Completed;
}

Task<> Forwarder::refuse(Request &request, const Error &error, unsigned status)
{
    request.status = status;
    std::vector<HeaderField> headers{{"Content-Type", "application/json"}};
    if (!request.facts.id.empty())
        headers.push_back({"X-Request-Id", request.facts.id});
    if (error.retryAfterMs > 0)
        headers.push_back({"Retry-After", retryAfter(Millis(error.retryAfterMs))});
    request.cause = error.message;
    log(request, traits(error.kind).name);
    co_await request.caller.answer(status, headers, m_dialect.encodeError(error));
}

Task<> Forwarder::finish(Request &request, RouteStep step, AttemptEnd end)
{
    if (step == RouteStep::Deliver) {
        log(request, "completed");
        co_return;
    }
    if (request.interrupt->callerLeft) {
        request.caller.abort();
        log(request, "caller_left");
        co_return;
    }
    if (step == RouteStep::BreakOff) {
        request.caller.abort();
        log(request, request.interrupt->timeUp ? "broken_off_at_deadline" : "broken_off");
        co_return;
    }
    const std::string cause = request.cause;
    if (step == RouteStep::AnswerNotRun) {
        const Millis busy = end == AttemptEnd::RefusedNotRun ? RetryAfterBusy / 2 : RetryAfterBusy;
        const Millis again = request.comeBackIn.value_or(busy);
        const Error error{request.refusal, cause + "; not run, come back later", again.count()};
        co_await refuse(request, error, 503);
    } else if (request.interrupt->timeUp) {
        const Error error{ErrorKind::Late, "no answer in time; it may have run", 0};
        co_await refuse(request, error, 504);
    } else {
        const Error error{ErrorKind::OutcomeUnknown, cause + "; it may have run", 0};
        co_await refuse(request, error, 502);
    }
}

void Forwarder::log(const Request &request, std::string_view outcome) const
{
    static Histogram &took = metrics().histogram("roserail_request_milliseconds");
    const Time now = monotonicNow();
    took.record(uint64_t((now - request.caller.arrivedAt()).count()));
    metrics().counter(fmt::format("roserail_requests_total{{outcome=\"{}\"}}", outcome)).add();
    logOutcome("request",
               {{"id", request.facts.id},
                {"route", request.route == nullptr ? "" : request.route->name},
                {"config", request.table ? request.table->version : 0},
                {"model", request.need.model},
                {"adapter", request.need.adapter},
                {"endpoint", request.endpoint},
                {"sends", request.progress.sends},
                {"status", request.status},
                {"outcome", outcome},
                {"waited_ms", request.waited.count()},
                {"first_ms", request.firstAt == Time() ? -1 : (request.firstAt - request.caller.arrivedAt()).count()},
                {"longest_pause_ms", request.longestPause.count()},
                {"took_ms", (now - request.caller.arrivedAt()).count()},
                {"cause", request.cause}});
}

void Forwarder::logSend(const Request &request, const Choice &choice, Time now) const
{
    if (logDetail() != LogDetail::Decisions)
        return;
    const ChoiceInputs &inputs = choice.inputs;
    logDecision("send",
                {{"id", request.facts.id},
                 {"endpoint", choice.endpoint},
                 {"send", request.progress.sends + 1},
                 {"candidates", inputs.candidates},
                 {"expected_ms", int64_t(inputs.expectedMs)},
                 {"own", inputs.own},
                 {"others", inputs.others},
                 {"others_age_ms", inputs.othersAge.count()},
                 {"prompt", request.need.promptTokens},
                 {"cached", inputs.cachedTokens},
                 {"left_ms", (request.deadline - now).count()},
                 {"known", m_knownVersion},
                 {"known_age_ms", (now - m_knownAt).count()}});
}

void Forwarder::logWait(const Request &request, Time now, Time until) const
{
    logDecision("wait",
                {{"id", request.facts.id},
                 {"model", request.need.model},
                 {"adapter", request.need.adapter},
                 {"at_most_ms", (until - now).count()},
                 {"known", m_knownVersion},
                 {"known_age_ms", (now - m_knownAt).count()}});
}

void Forwarder::logFailedAttempt(const Request &request, AttemptEnd end, RouteStep step, Time now) const
{
    const RetryWindow::Usage budget = m_retries.usage(now);
    logDecision("attempt_failed",
                {{"id", request.facts.id},
                 {"endpoint", request.endpoint},
                 {"end", toString(end)},
                 {"next", toString(step)},
                 {"sends", request.progress.sends},
                 {"runs", request.progress.runs},
                 {"retries", budget.used},
                 {"retries_allowed", int64_t(budget.allowed)},
                 {"cause", request.cause}});
}

} // namespace roserail
