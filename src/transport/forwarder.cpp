#include "transport/forwarder.h"

#include "coordination/admission.h"
#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

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
Fingerprint fingerprintOf(const http::request<http::string_body> &request, const RequestMetadata &facts)
{
    const std::string head = fmt::format("{}\n{}\n{}\n{}/{}\n", view(request.method_string()), view(request[http::field::host]),
                                         view(request.target()), facts.model, facts.adapter);
    const uint64_t seed = XXH3_64bits(head.data(), head.size());
    return Fingerprint(XXH3_64bits_withSeed(request.body().data(), request.body().size(), seed));
}

std::string retryAfter(Millis time)
{
    return fmt::format("{:.3f}", double(time.count()) / 1000);
}

} // namespace

Forwarder::Forwarder(net::io_context &io, const PlatformCodec &codec, Balancer &balancer, RetryWindow &retries, CrashWatch &crashes)
    : m_io(io)
    , m_codec(codec)
    , m_balancer(balancer)
    , m_retries(retries)
    , m_crashes(crashes)
    , m_pool(io)
{
}

void Forwarder::wakeWaiting()
{
    for (net::steady_timer *it : m_waiters)
        it->cancel();
}

void Forwarder::drain(Time now)
{
    m_waitUntil = now + DrainLoadWait;
    m_streamsUntil = now + DrainStreamCutoff;
}

Task<> Forwarder::handle(CallerConnection &caller)
{
    Request request(caller, m_table);
    request.facts = m_codec.requestMetadata(caller.lookup());
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
    if (request.facts.timeout)
        request.deadline = std::min(request.deadline, caller.arrivedAt() + *request.facts.timeout);
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
    const Time until = request.caller.arrivedAt() + configurationWait(request.facts.timeout);
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
    request.requirements.service = serviceFor(route, request.facts.id);
    request.requirements.model = request.facts.model;
    request.requirements.adapter = request.facts.adapter;
    request.requirements.prompt = request.facts.prompt;
    request.requirements.promptTokens = request.facts.promptTokens;
    request.fingerprint = fingerprintOf(request.caller.request(), request.facts);
    request.progress.retryPolicy = route.retryPolicy;
    request.progress.maxRuns = route.attempts;
    m_retries.requestStarted(monotonicNow());
    while (true) {
        const std::optional<EndpointChoice> choice = co_await findEndpoint(request);
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

Task<std::optional<EndpointChoice>> Forwarder::findEndpoint(Request &request)
{
    if (request.route->stream && monotonicNow() > m_streamsUntil) {
        request.cause = "this host stops; another one serves it";
        co_return std::nullopt;
    }
    if (m_crashes.shouldRefuse(request.fingerprint, monotonicNow())) {
        request.cause = "endpoints crashed while they ran this request";
        request.refusal = ErrorKind::Quarantined;
        request.retryDelay = QuarantineDuration;
        co_return std::nullopt;
    }
    std::optional<EndpointChoice> choice = m_balancer.choose(request.requirements, monotonicNow());
    if (choice || request.requirements.model.empty() || !m_balancer.hasUsableEndpoint(request.requirements.service))
        co_return choice;
    const ServiceSpec *service = request.table->service(request.requirements.service);
    if (!service->hasEngine || service->engine.models.count(request.requirements.model) == 0) {
        request.cause = "the configuration has no such model";
        co_return std::nullopt;
    }
    co_return co_await waitForModel(request);
}

// Waits until an endpoint holds the model, as long as an answer in time is still possible.
Task<std::optional<EndpointChoice>> Forwarder::waitForModel(Request &request)
{
    const Time since = monotonicNow();
    const ModelSpec &model = request.table->service(request.requirements.service)->engine.models.at(request.requirements.model);
    const double spread = double(std::hash<std::string>()(request.facts.id) % 1000) / 1000;
    const ColdAdmission admission
        = admitColdRequest(*request.route, model, request.caller.arrivedAt(), request.deadline, m_ordersAllowedAt, spread, since);
    request.retryDelay = admission.retryDelay;
    if (request.retryDelay) {
        request.cause = fmt::format("no model is loaded for {} ms, after a change of control", (m_ordersAllowedAt - since).count());
        co_return std::nullopt;
    }
    const Time until = admission.until;
    net::steady_timer timer(m_io);
    logWait(request, since, until);
    m_balancer.startWaiting(request.requirements, since);
    m_waiters.insert(&timer);
    request.interrupt->stop = [&timer] {
        timer.cancel();
    };
    if (m_onWait)
        m_onWait();
    std::optional<EndpointChoice> choice;
    while (!choice && !request.interrupt->raised() && monotonicNow() < std::min(until, m_waitUntil)) {
        ErrorCode ec;
        timer.expires_after(std::min(until - monotonicNow(), ModelNotHeldCooldown));
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
        choice = m_balancer.choose(request.requirements, monotonicNow());
    }
    request.interrupt->stop = nullptr;
    m_waiters.erase(&timer);
    m_balancer.stopWaiting(request.requirements, since);
    request.waited += monotonicNow() - since;
    if (!choice)
        request.cause = "the model was not loaded in time";
    co_return request.interrupt->raised() ? std::nullopt : choice;
}

Task<AttemptEnd> Forwarder::attempt(Request &request, const EndpointChoice &choice)
{
    request.endpoint = choice.endpoint;
    EndpointConnectionPtr connection = m_pool.takeIdle(choice.address, monotonicNow());
    if (!connection)
        connection = co_await m_pool.connect(choice.address, EndpointConnectTimeout);
    if (request.interrupt->raised())
        co_return AttemptEnd::Abandoned;
    if (!connection) {
        request.cause = "no connection to the endpoint";
        request.requirements.avoid.insert(choice.endpoint);
        m_balancer.attemptStarted(request.requirements, choice, monotonicNow());
        m_balancer.attemptEnded(request.requirements, choice, AttemptOutcome::Failed, monotonicNow());
        co_return AttemptEnd::NotSent;
    }
    logSend(request, choice, monotonicNow());
    m_balancer.attemptStarted(request.requirements, choice, monotonicNow());
    ++request.progress.sends;
    ++request.progress.runs;
    request.interrupt->stop = [&socket = connection->socket] {
        ErrorCode ec;
        socket.close(ec);
    };
    bool reusable = false;
    const AttemptEnd end = co_await exchange(request, choice, *connection, reusable);
    request.interrupt->stop = nullptr;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    if (end == AttemptEnd::Completed)
        outcome = AttemptOutcome::Answered;
    else if (end == AttemptEnd::RefusedNotRun)
        outcome = request.status == 421 ? AttemptOutcome::NotHeld : AttemptOutcome::Full;
    else if (request.interrupt->raised())
        outcome = AttemptOutcome::Cancelled;
    m_balancer.attemptEnded(request.requirements, choice, outcome, monotonicNow());
    if (end == AttemptEnd::RefusedNotRun)
        --request.progress.runs;
    if (end == AttemptEnd::Completed)
        m_crashes.recordAnswer(request.fingerprint);
    if (end == AttemptEnd::Interrupted && !request.interrupt->raised()) {
        const bool suspect = m_crashes.crashCount(request.fingerprint, monotonicNow()) > 0;
        Task<> inspection = inspectLoss(request.facts.id, request.fingerprint, choice);
        // The next endpoint waits for the verdict only if this would not be the first one lost.
        if (suspect)
            co_await std::move(inspection);
        else
            net::co_spawn(m_io, std::move(inspection), net::detached);
    }
    if (end != AttemptEnd::Completed && outcome != AttemptOutcome::NotHeld)
        request.requirements.avoid.insert(choice.endpoint);
    if (reusable && connection->socket.is_open())
        m_pool.keep(std::move(connection), monotonicNow());
    co_return end;
}

// Finds out whether an endpoint that broke off a request still listens; if not, the request may have crashed it.
Task<> Forwarder::inspectLoss(std::string id, Fingerprint fingerprint, EndpointChoice choice)
{
    ErrorCode ec;
    EndpointConnectionPtr connection = co_await m_pool.connect(choice.address, EndpointConnectTimeout, &ec);
    if (connection)
        m_pool.keep(std::move(connection), monotonicNow());
    if (ec != net::error::connection_refused && ec != net::error::connection_reset)
        co_return;
    const Time now = monotonicNow();
    if (!m_crashes.recordCrash(fingerprint, choice.endpoint, choice.startedAtMs, now))
        co_return;
    logEvent("endpoint_crashed",
             {{"id", id},
              {"endpoint", choice.endpoint},
              {"born_ms", choice.startedAtMs},
              {"fingerprint", fmt::format("{:016x}", fingerprint.value())},
              {"crashes", m_crashes.crashCount(fingerprint, now)}});
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
    co_await request.caller.answer(status, headers, m_codec.encodeError(error));
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
        const Millis again = request.retryDelay.value_or(busy);
        const Error error{request.refusal, cause + "; not run, come back later", again.count()};
        co_await refuse(request, error, 503);
    } else if (request.interrupt->timeUp) {
        const Error error{ErrorKind::DeadlineExceeded, "no answer in time; it may have run", 0};
        co_await refuse(request, error, 504);
    } else {
        const Error error{ErrorKind::OutcomeUnknown, cause + "; it may have run", 0};
        co_await refuse(request, error, 502);
    }
}

} // namespace roserail
