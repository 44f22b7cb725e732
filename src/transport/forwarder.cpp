#include "transport/forwarder.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/recordedstreams.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"
#include "transport/tasks.h"

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

// Selects one of a route's services by the hash of the request's id, so that requests are distributed by weight.
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

// Hashes the parts of a request that are the same each time its caller sends it.
Fingerprint fingerprintOf(const http::request<http::string_body> &request, const RequestMetadata &metadata)
{
    const std::string head = fmt::format("{}\n{}\n{}\n{}/{}\n", view(request.method_string()), view(request[http::field::host]),
                                         view(request.target()), metadata.model, metadata.adapter);
    const uint64_t seed = XXH3_64bits(head.data(), head.size());
    return Fingerprint(XXH3_64bits_withSeed(request.body().data(), request.body().size(), seed));
}

// Returns the parts of the prompt that other requests may have as well: all but the last one.
std::vector<PromptPartId> sharedParts(const RequestMetadata &metadata)
{
    std::vector<PromptPartId> parts;
    for (size_t i = 0; i + 1 < metadata.prompt.size(); ++i)
        parts.emplace_back(metadata.prompt[i].id);
    return parts;
}

std::string retryAfterHeader(Millis time)
{
    return fmt::format("{:.3f}", double(time.count()) / 1000);
}

} // namespace

Forwarder::Forwarder(net::io_context &io, const PlatformCodec &codec, Balancer &balancer, RetryLimits &retries, CrashWatch &crashes,
                     CrashingParts &crashingParts)
    : m_io(io)
    , m_codec(codec)
    , m_balancer(balancer)
    , m_retries(retries)
    , m_crashes(crashes)
    , m_crashingParts(crashingParts)
    , m_pool(io)
    , m_streamVersions(StreamVersionRetention, MaxStreamVersions)
    , m_software(StreamVersionRetention)
{
}

void Forwarder::wakeWaitingRequests()
{
    for (net::steady_timer *it : m_waitTimers)
        it->cancel();
}

void Forwarder::drain(const StopSchedule &schedule)
{
    m_stop = schedule;
    wakeWaitingRequests();
}

void Forwarder::endRequests()
{
    for (Request *it : m_inProgress)
        it->cancellation->cancel(it->cancellation->hostStopping);
}

// Returns whether the request may be sent to an endpoint: one may have run it before, or it ends before this process does.
bool Forwarder::mayBegin(const Request &request) const
{
    return !m_stop || request.progress.runs > 0 || m_stop->mayBegin(request.deadline);
}

void Forwarder::refuseByStop(Request &request)
{
    request.cause = "this host is stopping; another host can serve the request";
    request.refusedByStop = true;
    request.retryDelay = Millis(0);
}

Task<> Forwarder::handle(CallerConnection &caller)
{
    Request request(caller, m_table);
    co_await run(request);
}

Task<> Forwarder::run(Request &request)
{
    CallerConnection &caller = request.caller;
    request.metadata = m_codec.requestMetadata(caller.lookup());
    spawn(m_io, "watch_caller", watchCaller(caller, request.cancellation));
    m_inProgress.insert(&request);
    try {
        co_await serve(request);
    } catch (const std::exception &ex) {
        logEvent("request_failed", {{"id", request.metadata.id}, {"error", ex.what()}});
        caller.abort();
    }
    m_inProgress.erase(&request);
    request.cancellation->finished = true;
    ErrorCode ec;
    caller.socket().cancel(ec);
    if (request.cancellation->callerDisconnected)
        caller.abort();
}

Task<> Forwarder::serve(Request &request)
{
    CallerConnection &caller = request.caller;
    if (!request.table)
        co_await waitForConfiguration(request);
    if (!request.table) {
        const Error error{ErrorKind::Unavailable, "no configuration is available yet; retry later", RetryAfterBusy.count()};
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
    if (const std::optional<std::pair<Error, unsigned>> refusal = identifyAccount(request)) {
        co_await refuse(request, refusal->first, refusal->second);
        co_return;
    }
    request.deadline = caller.arrivedAt() + request.route->timeout;
    if (request.metadata.timeout)
        request.deadline = std::min(request.deadline, caller.arrivedAt() + *request.metadata.timeout);
    net::steady_timer timer(m_io, request.deadline - monotonicNow());
    timer.async_wait([cancellation = request.cancellation](const ErrorCode &ec) {
        if (!ec)
            cancellation->cancel(cancellation->deadlinePassed);
    });
    request.fingerprint = fingerprintOf(request.caller.request(), request.metadata);
    if (limitedByQuota(request) && mayBegin(request) && !co_await takeQuota(request)) {
        co_await finish(request, RouteStep::AnswerNotRun, AttemptEnd::NotSent);
        co_return;
    }
    co_await forward(request);
}

// Detects a caller that closes its connection while its request is in progress.
Task<> Forwarder::watchCaller(CallerConnection &caller, std::shared_ptr<Cancellation> cancellation)
{
    if (cancellation->finished) // before this task began; the connection may be gone
        co_return;
    ErrorCode ec;
    co_await caller.socket().async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, ec));
    if (ec || cancellation->finished)
        co_return;
    if (isClosedByPeer(caller.socket()))
        cancellation->cancel(cancellation->callerDisconnected);
}

// Returns whether the request has ended meanwhile. If this process was suspended, its caller may have left and its deadline may have
// passed although the events that say so have not been handled yet.
bool Forwarder::hasEnded(Request &request)
{
    Cancellation &cancellation = *request.cancellation;
    if (!cancellation.cancelled() && isClosedByPeer(request.caller.socket()))
        cancellation.cancel(cancellation.callerDisconnected);
    if (!cancellation.cancelled() && monotonicNow() >= request.deadline)
        cancellation.cancel(cancellation.deadlinePassed);
    return cancellation.cancelled();
}

Task<> Forwarder::forward(Request &request)
{
    const Route &route = *request.route;
    request.requirements.service = serviceFor(route, request.metadata.id);
    request.requirements.model = request.metadata.model;
    request.requirements.adapter = request.metadata.adapter;
    request.requirements.prompt = request.metadata.prompt;
    request.requirements.promptTokens = request.metadata.promptTokens;
    request.requirements.urgency = urgencyOf(*request.table, route, request.requirements.service, request.priority());
    request.requirements.spread = XXH3_64bits(request.metadata.id.data(), request.metadata.id.size());
    request.requirements.recordedSoftware = route.retryPolicy == RetryPolicy::Resume;
    request.sharedParts = sharedParts(request.metadata);
    request.progress.retryPolicy = route.retryPolicy;
    request.progress.maxRuns = std::min(route.attempts, request.attemptsLeft.value_or(route.attempts));
    if (request.relayedFrom.empty()) // else it counts where it came from
        m_retries.requestStarted(request.requirements.service, monotonicNow());
    const bool mayContinue = !mayBegin(request) || co_await selectVersion(request);
    while (true) {
        std::optional<EndpointChoice> choice;
        if (mayContinue && mayBegin(request))
            choice = co_await findEndpoint(request);
        if (keyTakenAway(request) && !request.cancellation->cancelled()) {
            const Error error{ErrorKind::Unauthorized, "the API key was taken away before the request was sent; use another key", 0};
            co_await refuse(request, error, 401);
            co_return;
        }
        if (!mayBegin(request)) { // also if the stop has begun meanwhile
            choice.reset();
            refuseByStop(request);
        }
        AttemptEnd end = AttemptEnd::NotSent;
        if (choice)
            end = co_await attempt(request, *choice);
        else
            request.cause = request.cause.empty() ? "no endpoint is available" : request.cause;
        if (request.cancellation->hostStopping)
            request.cause = "this host stops before the endpoint has answered";
        if (request.cancellation->cancelled())
            end = end == AttemptEnd::Completed ? end : AttemptEnd::Abandoned;
        const auto mayRetry = [&] {
            return m_retries.tryRetry(request.requirements.service, monotonicNow());
        };
        const RouteStep step = choice ? nextRouteStep(request.progress, end, mayRetry) : stepWithoutEndpoint(request.progress);
        if (choice && end != AttemptEnd::Completed)
            logFailedAttempt(request, end, step, monotonicNow());
        if (step != RouteStep::Retry) {
            co_await finish(request, step, end);
            co_return;
        }
    }
}

void Forwarder::addStreams(pb::SyncRequest &request, Time now) const
{
    if (m_software.severalOfAny(now))
        m_streamVersions.addReports(*request.mutable_router(), StreamReportTime, MaxStreamsPerReport, now);
    for (const std::pair<const StreamId, size_t> &it : m_wantedStreams) {
        if (size_t(request.wanted_streams_size()) < MaxWantedStreams)
            request.add_wanted_streams(it.first.value());
    }
}

void Forwarder::recordFoundStreams(const pb::SyncReply &reply, Time now)
{
    for (const pb::BegunStreams &group : reply.found_streams()) {
        for (const uint64_t it : group.streams())
            m_streamVersions.record(StreamId(it), SoftwareVersion(group.version()), now);
    }
    if (reply.found_streams_size() > 0)
        wakeWaitingRequests();
}

// Opens a connection to an endpoint and records whether it can be reached from here.
Task<EndpointConnectionPtr> Forwarder::connect(std::string endpoint, std::string address)
{
    ErrorCode ec;
    EndpointConnectionPtr connection = co_await m_pool.connect(address, EndpointConnectTimeout, &ec);
    const Time now = monotonicNow();
    const bool isolatedBefore = m_balancer.isolated();
    if (connection) {
        if (m_balancer.recordConnected(endpoint, now))
            logEvent("endpoint_reachable", {{"endpoint", endpoint}, {"address", address}});
    } else if (m_balancer.recordConnectFailed(endpoint, now)) {
        logEvent("endpoint_unreachable", {{"endpoint", endpoint}, {"address", address}, {"error", ec.message()}});
    }
    if (!connection && !m_probing) {
        const auto iteration = [this] {
            return probeEndpoints();
        };
        spawn(m_io, "probe_endpoints", repeat(m_io, "probe_endpoints", iteration));
    }
    // A refused connection says nothing about open ones.
    if (!connection && ec != net::error::connection_refused)
        m_pool.closeIdle(address);
    const bool isolated = m_balancer.isolated();
    if (isolated != isolatedBefore) {
        logEvent(isolated ? "isolated_from_endpoints" : "isolation_from_endpoints_ended");
        if (m_onReport)
            m_onReport();
    }
    co_return connection;
}

Task<> Forwarder::probe(std::string endpoint, std::string address)
{
    EndpointConnectionPtr connection = co_await connect(std::move(endpoint), std::move(address));
    if (!connection)
        co_return;
    m_pool.putIdle(std::move(connection), monotonicNow());
    wakeWaitingRequests();
}

// Probes the endpoints that this router can't connect to. Returns false if there are none.
Task<bool> Forwarder::probeEndpoints()
{
    m_probing = m_balancer.hasUnreachableEndpoint();
    if (!m_probing)
        co_return false;
    net::steady_timer timer(m_io, ReachabilityCheckInterval);
    ErrorCode ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    for (const std::pair<const std::string, std::string> &it : m_balancer.dueProbes(monotonicNow()))
        spawn(m_io, "probe", probe(it.first, it.second));
    co_return true;
}

Task<AttemptEnd> Forwarder::attempt(Request &request, const EndpointChoice &choice)
{
    static Counter &rejections = metrics().counter("roserail_endpoint_rejections_total");
    if (!choice.router.empty())
        co_return co_await relayAttempt(request, choice);
    request.endpoint = choice.endpoint;
    // Without an id in its answer, a request's own can only be told on a new connection.
    EndpointConnectionPtr connection
        = request.metadata.id.empty() ? nullptr : m_pool.takeIdle(choice.address, monotonicNow(), requestKey(request.metadata.id));
    if (!connection)
        connection = co_await connect(choice.endpoint, choice.address);
    if (request.cancellation->cancelled())
        co_return AttemptEnd::Abandoned;
    request.connectFailed = !connection;
    if (!connection) {
        request.cause = "cannot connect to the endpoint";
        request.requirements.avoid.insert(choice.endpoint);
        const Time now = monotonicNow();
        m_balancer.attemptStarted(request.requirements, choice, now);
        m_balancer.attemptEnded(request.requirements, choice, AttemptOutcome::Failed, now);
        co_return AttemptEnd::NotSent;
    }
    // The endpoint may have asked for a pause, or said that it is leaving, while the connection was opened.
    if (!m_balancer.accepts(choice, monotonicNow())) {
        request.cause = "the endpoint does not accept requests any longer";
        m_pool.putIdle(std::move(connection), monotonicNow());
        co_return AttemptEnd::NotSent;
    }
    const bool recent = m_softwareConfirmed.covers(monotonicNow() - MaxUncheckedAge);
    const bool check
        = request.requirements.software && (!recent || softwareVersions(request.requirements.service, monotonicNow()).size() > 1);
    if (check && !co_await confirmIncarnation(request, choice, *connection)) {
        request.cause = "the endpoint did not confirm that it is the one whose software version is known";
        request.requirements.avoid.insert(choice.endpoint);
        co_return request.cancellation->cancelled() ? AttemptEnd::Abandoned : AttemptEnd::NotSent;
    }
    if (!mayBegin(request) || keyTakenAway(request)) { // the stop has begun meanwhile, or a configuration has come
        m_pool.putIdle(std::move(connection), monotonicNow());
        co_return AttemptEnd::NotSent;
    }
    if (hasEnded(request)) {
        m_pool.putIdle(std::move(connection), monotonicNow());
        co_return AttemptEnd::Abandoned;
    }
    if (quotaExpired(request)) {
        m_pool.putIdle(std::move(connection), monotonicNow());
        co_await renewQuota(request);
        co_return request.cancellation->cancelled() ? AttemptEnd::Abandoned : AttemptEnd::NotSent;
    }
    request.sentAt = monotonicNow();
    setRank(request, choice, request.sentAt);
    logSend(request, choice, connection->used, request.sentAt);
    m_balancer.recordSend(choice, request.sentAt);
    m_balancer.attemptStarted(request.requirements, choice, request.sentAt);
    ++request.progress.sends;
    ++request.progress.runs;
    if (request.eventRelay.events() == 0)
        request.software = choice.software;
    const EndpointKey endpoint = endpointKey(choice.endpoint, choice.startedAtMs);
    const AccountKey account = accountKey(accountId(request));
    const bool farAbove = request.accountPosition.farAbove();
    if (request.rank)
        m_accountLoad.started(endpoint, account, farAbove, choice.inputs.slots);
    const AttemptEnd end = co_await exchangeOn(request, choice, std::move(connection));
    if (request.rank)
        m_accountLoad.ended(endpoint, account, farAbove);
    if (request.rank && request.route->stream && end == AttemptEnd::Completed)
        m_slotTimes.record(request.requirements.service, monotonicNow() - request.firstForwardedAt);
    AttemptOutcome outcome = AttemptOutcome::Failed;
    if (end == AttemptEnd::Completed)
        outcome = AttemptOutcome::Answered;
    else if (end == AttemptEnd::RefusedNotRun)
        outcome = request.status == 421 ? AttemptOutcome::NotHeld : AttemptOutcome::Full;
    else if (request.cancellation->cancelled())
        outcome = AttemptOutcome::Cancelled;
    const Time endedAt = monotonicNow();
    m_balancer.attemptEnded(request.requirements, choice, outcome, endedAt, endedAt - request.sentAt);
    if (outcome == AttemptOutcome::Full)
        rejections.add();
    if (outcome == AttemptOutcome::Full && m_balancer.recordRefusal(choice, endedAt)) {
        logDecision("brittle_endpoint_refused", {{"id", request.metadata.id}, {"endpoint", choice.endpoint}});
        if (m_onReport)
            m_onReport();
    }
    if (end == AttemptEnd::RefusedNotRun)
        --request.progress.runs;
    if (end == AttemptEnd::Interrupted && !request.cancellation->cancelled()) {
        const bool crashedBefore = m_crashes.crashCount(request.fingerprint, monotonicNow()) > 0;
        Task<> crashCheck = checkForCrash(interruptedRequest(request), choice);
        // The next attempt waits for the result only if an endpoint has crashed with this request before.
        if (crashedBefore)
            co_await std::move(crashCheck);
        else
            spawn(m_io, "check_for_crash", std::move(crashCheck));
    }
    if (end != AttemptEnd::Completed && outcome != AttemptOutcome::NotHeld)
        request.requirements.avoid.insert(choice.endpoint);
    co_return end;
}

// Sets the rank by which the endpoint admits the request, if the service is shared by urgency.
void Forwarder::setRank(Request &request, const EndpointChoice &choice, Time now) const
{
    static Counter &beyondShare = metrics().counter("roserail_requests_beyond_share_total");
    const std::optional<Urgency> &urgency = request.requirements.urgency;
    if (!urgency)
        return;
    request.accountPosition = m_accountLoad.position(endpointKey(choice.endpoint, choice.startedAtMs), accountKey(accountId(request)),
                                                     choice.inputs.slots, now);
    if (request.accountPosition.farAbove())
        beyondShare.add();
    request.rank = admissionRank(*urgency, admissionStep(*urgency, now - request.caller.arrivedAt(), request.accountPosition.use()));
}

// Closes the connection if the caller disconnects or the deadline passes, until `cancelPending` is cleared.
void Forwarder::closeOnCancel(Request &request, EndpointConnection &connection)
{
    request.cancellation->cancelPending = [&socket = connection.socket] {
        ErrorCode ec;
        socket.close(ec);
    };
}

// Runs the exchange with an endpoint, or another router, on a connection, and records what an answer shows about the request.
Task<AttemptEnd> Forwarder::exchangeOn(Request &request, const EndpointChoice &choice, EndpointConnectionPtr connection)
{
    closeOnCancel(request, *connection);
    bool reusable = false;
    const AttemptEnd end = co_await exchange(request, choice, *connection, reusable);
    request.cancellation->cancelPending = nullptr;
    if (end == AttemptEnd::Completed)
        m_crashes.recordAnswer(request.fingerprint);
    if (end == AttemptEnd::Completed && request.status / 100 == 2)
        m_crashingParts.recordAnswer(request.sharedParts, monotonicNow());
    if (request.eventRelay.events() > 0)
        request.requirements.software = request.software;
    if (reusable && connection->socket.is_open())
        m_pool.putIdle(std::move(connection), monotonicNow());
    co_return end;
}

// Returns whether the process at the other end of the connection is the one of the choice, by a report on this connection:
// an endpoint may have restarted with other software under its id and address, and its heartbeat be late.
Task<bool> Forwarder::confirmIncarnation(Request &request, const EndpointChoice &choice, EndpointConnection &connection)
{
    closeOnCancel(request, connection);
    bool reusable = false;
    const std::optional<CallAnswer> answer
        = co_await callOnConnection(connection, "GET", m_codec.reportPath(), {}, "", EndpointConnectTimeout, reusable);
    request.cancellation->cancelPending = nullptr;
    if (!answer || answer->status != 200 || !reusable)
        co_return false;
    const Result<EngineReport> report = m_codec.decodeReport(answer->body);
    const uint64_t startedAtMs = report.has_value() ? report.value().startedAtMs : 0;
    logDecision(
        "incarnation_checked",
        {{"id", request.metadata.id}, {"endpoint", choice.endpoint}, {"expected_ms", choice.startedAtMs}, {"born_ms", startedAtMs}});
    const bool confirmed = startedAtMs != 0 && startedAtMs == choice.startedAtMs;
    co_return confirmed;
}

Task<> Forwarder::refuse(Request &request, const Error &error, unsigned status)
{
    request.status = status;
    std::vector<HeaderField> headers{{"Content-Type", "application/json"}};
    if (!request.metadata.id.empty())
        headers.push_back({"X-Request-Id", request.metadata.id});
    if (!request.relayedFrom.empty())
        headers.push_back(relayOutcome(request, error, status));
    if (error.retryAfterMs > 0 || request.refusedByStop)
        headers.push_back({"Retry-After", retryAfterHeader(Millis(error.retryAfterMs))});
    request.cause = error.message;
    logRequest(request, traits(error.kind).name);
    co_await request.caller.answer(status, headers, m_codec.encodeError(error));
}

Task<> Forwarder::finish(Request &request, RouteStep step, AttemptEnd end)
{
    if (step == RouteStep::Deliver) {
        logRequest(request, "completed");
        co_return;
    }
    if (request.cancellation->callerDisconnected) {
        request.caller.abort();
        logRequest(request, "caller_left");
        co_return;
    }
    if (step == RouteStep::BreakOff) {
        request.caller.abort();
        logRequest(request, request.cancellation->deadlinePassed ? "broken_off_at_deadline" : "broken_off");
        co_return;
    }
    const std::string cause = request.cause;
    if (step == RouteStep::AnswerNotRun) {
        const Millis busyDelay = end == AttemptEnd::RefusedNotRun ? RetryAfterBusy / 2 : RetryAfterBusy;
        const Millis delay = request.retryDelay.value_or(busyDelay);
        const std::string advice = delay.count() > 0 ? "; not run, retry later" : "; not run";
        const Error error{request.refusalKind, cause + advice, delay.count()};
        giveQuotaBack(request);
        co_await refuse(request, error, unsigned(traits(error.kind).httpStatus));
    } else if (request.cancellation->deadlinePassed) {
        const Error error{ErrorKind::DeadlineExceeded, "the deadline passed without an answer; it may have run", 0};
        co_await refuse(request, error, 504);
    } else {
        const Error error{ErrorKind::OutcomeUnknown, cause + "; it may have run", 0};
        co_await refuse(request, error, 502);
    }
}

} // namespace roserail
