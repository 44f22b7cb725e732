#include "transport/forwarder.h"

#include "coordination/admission.h"
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

std::string formatParts(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId it : parts)
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", it.value());
    return text;
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
    co_await forward(request);
}

// Waits for the first configuration: a host that has just started receives it shortly after its first requests.
Task<> Forwarder::waitForConfiguration(Request &request)
{
    const std::function<bool()> known = [this] {
        return m_table != nullptr;
    };
    co_await waitUntil(request, known);
    request.table = m_table;
}

// Waits until the condition holds, which a message of a control host may cause, but only for a part of the caller's time.
Task<> Forwarder::waitUntil(Request &request, const std::function<bool()> &condition)
{
    const Time until = request.caller.arrivedAt() + configurationWait(request.metadata.timeout);
    net::steady_timer timer(m_io, until - monotonicNow());
    request.cancellation->cancelPending = [&timer] {
        timer.cancel();
    };
    m_waitTimers.insert(&timer);
    while (!condition() && !request.cancellation->cancelled() && mayBegin(request) && monotonicNow() < until) {
        ErrorCode ec;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
    m_waitTimers.erase(&timer);
    request.cancellation->cancelPending = nullptr;
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
    // Available bytes belong to a pipelined request, which is read after this one.
    if (isClosedByPeer(caller.socket()))
        cancellation->cancel(cancellation->callerDisconnected);
}

Task<> Forwarder::forward(Request &request)
{
    const Route &route = *request.route;
    request.requirements.service = serviceFor(route, request.metadata.id);
    request.requirements.model = request.metadata.model;
    request.requirements.adapter = request.metadata.adapter;
    request.requirements.prompt = request.metadata.prompt;
    request.requirements.promptTokens = request.metadata.promptTokens;
    request.requirements.recordedSoftware = route.retryPolicy == RetryPolicy::Resume;
    request.fingerprint = fingerprintOf(request.caller.request(), request.metadata);
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
        // After a pause of this process, a request may be read whose caller has left before.
        if (choice && isClosedByPeer(request.caller.socket())) {
            request.cancellation->cancel(request.cancellation->callerDisconnected);
            request.cause = "the caller has left";
        }
        AttemptEnd end = AttemptEnd::NotSent;
        if (choice && !request.cancellation->callerDisconnected)
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

// Requires the software version that began the stream which the request continues, if it continues one. Returns false if
// that version is not known and several may have begun it.
Task<bool> Forwarder::selectVersion(Request &request)
{
    static Counter &unknown = metrics().counter("roserail_continuations_of_unknown_version_total");
    if (request.route->retryPolicy != RetryPolicy::Resume || request.caller.header(LastEventId).empty())
        co_return true;
    if (!request.relayedFrom.empty() && !request.caller.header(RelaySoftware).empty())
        request.requirements.software = SoftwareVersion(std::string(request.caller.header(RelaySoftware)));
    else
        request.requirements.software = m_streamVersions.find(streamId(request.metadata.resumes), monotonicNow());
    if (!request.requirements.software)
        co_await askForVersion(request);
    if (request.requirements.software)
        co_return true;
    unknown.add();
    request.cause = "it is not known which software version began the stream; begin a new one";
    request.retryDelay = Millis(0);
    co_return false;
}

// Waits for a control host to name the version that began the stream, or to show that only one can have. The stream may have begun at
// another host, or before this process.
Task<> Forwarder::askForVersion(Request &request)
{
    const bool named = !request.metadata.resumes.empty();
    const StreamId stream = streamId(request.metadata.resumes);
    std::optional<SoftwareVersion> &version = request.requirements.software;
    const std::function<bool()> decided = [&, this] {
        const Time now = monotonicNow();
        const std::set<SoftwareVersion> versions = softwareVersions(request.requirements.service, now);
        version = named ? m_streamVersions.find(stream, now) : std::nullopt;
        if (!version)
            version = onlyVersion(versions, m_softwareConfirmed, request.caller.arrivedAt());
        return version || (!named && versions.size() > 1);
    };
    ++m_waitingForVersion;
    if (named)
        ++m_wantedStreams[stream];
    if (m_onWait)
        m_onWait();
    co_await waitUntil(request, decided);
    --m_waitingForVersion;
    if (named && --m_wantedStreams[stream] == 0)
        m_wantedStreams.erase(stream);
    logDecision("stream_version",
                {{"id", request.metadata.id},
                 {"resumes", request.metadata.resumes},
                 {"software", version.value_or(SoftwareVersion("unknown")).value()},
                 {"list_age_ms", m_softwareConfirmed.age(monotonicNow()).count()},
                 {"known", m_registryVersion}});
}

// Returns the versions of the service's endpoints, and those that the log lists: endpoints whose changes a control host has postponed may
// have them.
std::set<SoftwareVersion> Forwarder::softwareVersions(const ServiceId &service, Time now) const
{
    std::set<SoftwareVersion> versions = m_balancer.softwareVersions(service);
    versions.merge(m_software.versions(service.value(), now));
    return versions;
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

Task<std::optional<EndpointChoice>> Forwarder::findEndpoint(Request &request)
{
    const bool crashingPart = m_crashingParts.shouldRefuse(request.sharedParts);
    if (crashingPart || m_crashes.shouldRefuse(request.fingerprint, monotonicNow())) {
        request.cause = crashingPart ? "endpoints crashed while they ran requests with a part of this prompt"
                                     : "endpoints crashed while they ran this request";
        request.refusalKind = ErrorKind::Quarantined;
        request.retryDelay = QuarantineDuration;
        co_return std::nullopt;
    }
    if (request.requirements.software && !m_balancer.hasUsableEndpoint(request.requirements)) {
        request.cause = fmt::format("no endpoint of software version '{}', which began the stream, is left to continue it",
                                    request.requirements.software->value());
        request.retryDelay = Millis(0);
        co_return std::nullopt;
    }
    if (request.refusedByRouter)
        co_return std::nullopt;
    std::optional<EndpointChoice> choice = m_balancer.choose(request.requirements, monotonicNow(), false);
    if (!choice)
        choice = choosePeer(request);
    if (!choice && m_balancer.isolated() && m_balancer.reachableByOthersOnly(request.requirements, monotonicNow())) {
        request.connectFailed = true;
        request.cause = "this host can't connect to the endpoints, and no other host takes the request";
        request.retryDelay = ReachabilityProbeInterval;
        co_return std::nullopt;
    }
    if (!choice)
        choice = m_balancer.choose(request.requirements, monotonicNow());
    if (choice)
        co_return choice;
    if (lacksRecordOnly(request.requirements)) {
        if (m_onWait)
            m_onWait();
        co_return co_await waitForChoice(request, monotonicNow() + UnrecordedSoftwareWait);
    }
    if (request.requirements.model.empty())
        co_return co_await waitForCapacity(request);
    if (refuseIfPaused(request) || !m_balancer.hasUsableEndpoint(request.requirements))
        co_return std::nullopt;
    const ServiceSpec *service = request.table->service(request.requirements.service);
    if (!service->hasEngine || service->engine.models.count(request.requirements.model) == 0) {
        request.cause = "the model is not part of the configuration";
        co_return std::nullopt;
    }
    co_return co_await waitForModel(request);
}

// Returns whether endpoints could serve the request, but their software version is not yet in the replicated log.
bool Forwarder::lacksRecordOnly(const EndpointRequirements &requirements) const
{
    if (!requirements.recordedSoftware)
        return false;
    EndpointRequirements any = requirements;
    any.recordedSoftware = false;
    return m_balancer.choose(any, monotonicNow()).has_value();
}

// If all endpoints that can serve the request have asked for a pause, sets the refusal and returns true.
bool Forwarder::refuseIfPaused(Request &request)
{
    const Time now = monotonicNow();
    const std::optional<Restriction> restriction = m_balancer.restriction(request.requirements, 0, now);
    if (!restriction || restriction->byLimit)
        return false;
    refuseRestricted(request, *restriction, now);
    return true;
}

void Forwarder::refuseRestricted(Request &request, const Restriction &restriction, Time now)
{
    request.cause = restriction.byLimit ? "the endpoints that can serve the request have reached the limits that they named"
                                        : "all endpoints that can serve the request have asked for a pause";
    if (restriction.until != Time::max())
        request.retryDelay = restriction.until - now;
}

// Waits until an endpoint takes the request under its limit, or sets the refusal at once if that is too late for the caller.
Task<std::optional<EndpointChoice>> Forwarder::waitForCapacity(Request &request)
{
    const Time now = monotonicNow();
    size_t &waiting = m_waitingForCapacity[request.requirements.service];
    const std::optional<Restriction> restriction = m_balancer.restriction(request.requirements, waiting, now);
    if (!restriction)
        co_return std::nullopt;
    const Time until = request.caller.arrivedAt() + coldWait(*request.route, request.deadline - request.caller.arrivedAt());
    if (!restriction->byLimit || restriction->until > until) {
        refuseRestricted(request, *restriction, now);
        co_return std::nullopt;
    }
    ++waiting;
    logWait(request, now, until);
    const std::optional<EndpointChoice> choice = co_await waitForChoice(request, until);
    --waiting;
    if (!choice)
        request.cause = "no endpoint took the request in time, by the limits that they named";
    co_return choice;
}

// Waits until an endpoint takes the request, but not longer than `until`.
Task<std::optional<EndpointChoice>> Forwarder::waitForChoice(Request &request, Time until)
{
    const Time since = monotonicNow();
    net::steady_timer timer(m_io);
    m_waitTimers.insert(&timer);
    request.cancellation->cancelPending = [&timer] {
        timer.cancel();
    };
    std::optional<EndpointChoice> choice;
    while (!choice && !request.cancellation->cancelled() && mayBegin(request) && !keyTakenAway(request) && monotonicNow() < until) {
        ErrorCode ec;
        const Time now = monotonicNow();
        const std::optional<Restriction> restriction = m_balancer.restriction(request.requirements, 0, now);
        const Time nextTry = std::min({until, now + ModelNotHeldCooldown, restriction ? restriction->until : Time::max()});
        timer.expires_after(nextTry - now);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
        choice = m_balancer.choose(request.requirements, monotonicNow());
        if (!choice && refuseIfPaused(request))
            break;
    }
    request.cancellation->cancelPending = nullptr;
    m_waitTimers.erase(&timer);
    request.waitTime += monotonicNow() - since;
    co_return request.cancellation->cancelled() ? std::nullopt : choice;
}

// Waits until an endpoint holds the model, but no longer than leaves time to answer the caller.
Task<std::optional<EndpointChoice>> Forwarder::waitForModel(Request &request)
{
    const Time since = monotonicNow();
    const ModelSpec &model = request.table->service(request.requirements.service)->engine.models.at(request.requirements.model);
    const double jitter = double(std::hash<std::string>()(request.metadata.id) % 1000) / 1000;
    const ColdModel place = m_balancer.coldModel(request.requirements, since);
    const ColdAdmission admission
        = admitColdRequest(*request.route, model, place, request.caller.arrivedAt(), request.deadline, m_ordersAllowedAt, jitter, since);
    const std::optional<Restriction> restriction = m_balancer.restriction(request.requirements, 0, since);
    const bool heldInTime = restriction && restriction->until <= admission.until;
    request.retryDelay = heldInTime ? std::nullopt : admission.retryDelay;
    if (request.retryDelay) {
        request.cause = m_ordersAllowedAt > since
            ? fmt::format("no model can be loaded for the next {} ms, because the control leader has changed",
                          (m_ordersAllowedAt - since).count())
            : fmt::format("the model must come from the weight store and can't be loaded for another {} ms", request.retryDelay->count());
        m_balancer.recordRefusal(request.requirements, since);
        co_return std::nullopt;
    }
    logWait(request, since, admission.until);
    m_balancer.startWaiting(request.requirements, since);
    if (m_onWait)
        m_onWait();
    const std::optional<EndpointChoice> choice = co_await waitForChoice(request, admission.until);
    m_balancer.stopWaiting(request.requirements, since);
    if (!choice && !request.retryDelay)
        request.cause = "the model was not loaded in time";
    co_return choice;
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
        m_balancer.attemptStarted(request.requirements, choice, monotonicNow());
        m_balancer.attemptEnded(request.requirements, choice, AttemptOutcome::Failed, monotonicNow());
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
    request.sentAt = monotonicNow();
    logSend(request, choice, request.sentAt);
    m_balancer.recordSend(choice, request.sentAt);
    m_balancer.attemptStarted(request.requirements, choice, monotonicNow());
    ++request.progress.sends;
    ++request.progress.runs;
    if (request.eventRelay.events() == 0)
        request.software = choice.software;
    const AttemptEnd end = co_await exchangeOn(request, choice, std::move(connection));
    AttemptOutcome outcome = AttemptOutcome::Failed;
    if (end == AttemptEnd::Completed)
        outcome = AttemptOutcome::Answered;
    else if (end == AttemptEnd::RefusedNotRun)
        outcome = request.status == 421 ? AttemptOutcome::NotHeld : AttemptOutcome::Full;
    else if (request.cancellation->cancelled())
        outcome = AttemptOutcome::Cancelled;
    m_balancer.attemptEnded(request.requirements, choice, outcome, monotonicNow());
    if (outcome == AttemptOutcome::Full && m_balancer.recordRefusal(choice, monotonicNow())) {
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

// Returns whether the endpoint's process has ended, judged by a new connection: it is refused or reset. Other errors, such
// as a time-out, prove nothing. A process that is ending may still accept the connection, which is then closed at once.
Task<bool> Forwarder::processEnded(std::string address)
{
    for (int i = 0; i < CrashCheckConnections; ++i) {
        ErrorCode ec;
        EndpointConnectionPtr connection = co_await m_pool.connect(address, EndpointConnectTimeout, &ec);
        if (!connection)
            co_return ec == net::error::connection_refused || ec == net::error::connection_reset;
        net::steady_timer timer(m_io, CrashConfirmTime);
        timer.async_wait([&socket = connection->socket](const ErrorCode &error) {
            ErrorCode ignored;
            if (!error)
                socket.cancel(ignored);
        });
        ErrorCode closed;
        co_await connection->socket.async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, closed));
        timer.cancel();
        if (closed) {
            m_pool.putIdle(std::move(connection), monotonicNow());
            co_return false;
        }
    }
    co_return false;
}

// Returns whether this router can connect to another endpoint, or there is none. If it can't, the network between it and the
// endpoints is the probable cause of a refused connection. A crash interrupts many requests, which share one comparison.
Task<bool> Forwarder::reachesOtherEndpoint(std::string endpoint)
{
    const Time since = monotonicNow();
    net::steady_timer timer(m_io, CrashConfirmTime); // a cut does not reset all connections at the same moment
    ErrorCode ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    while (m_comparison.running) {
        timer.expires_after(CrashConfirmTime);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
    if (m_comparison.startedAt <= since)
        co_await compareEndpoints(std::move(endpoint));
    co_return m_comparison.connected;
}

Task<> Forwarder::compareEndpoints(std::string endpoint)
{
    const std::map<std::string, std::string> others = m_balancer.otherEndpoints(endpoint, CrashComparisonEndpoints);
    m_comparison.running = true;
    m_comparison.startedAt = monotonicNow();
    m_comparison.connected = others.empty();
    try {
        for (const std::pair<const std::string, std::string> &it : others) {
            EndpointConnectionPtr connection = co_await connect(it.first, it.second);
            if (!connection)
                continue;
            m_pool.putIdle(std::move(connection), monotonicNow());
            m_comparison.connected = true;
            break;
        }
    } catch (...) {
        m_comparison.running = false;
        throw;
    }
    m_comparison.running = false;
}

Forwarder::InterruptedRequest Forwarder::interruptedRequest(const Request &request)
{
    return InterruptedRequest{request.metadata.id, request.fingerprint, request.sharedParts, request.eventRelay.events()};
}

// Checks whether the endpoint of an interrupted attempt has crashed, and records that its request may be the cause.
Task<> Forwarder::checkForCrash(InterruptedRequest request, EndpointChoice choice)
{
    if (!co_await processEnded(choice.address))
        co_return;
    if (!co_await reachesOtherEndpoint(choice.endpoint)) {
        logDecision("crash_not_counted", {{"id", request.id}, {"endpoint", choice.endpoint}, {"isolated", m_balancer.isolated()}});
        co_return;
    }
    const Time now = monotonicNow();
    m_crashingParts.recordCrash(request.sharedParts, request.events, choice.endpoint, choice.startedAtMs, now);
    if (!m_crashes.recordCrash(request.fingerprint, choice.endpoint, choice.startedAtMs, now))
        co_return;
    logEvent("endpoint_crashed",
             {{"id", request.id},
              {"endpoint", choice.endpoint},
              {"born_ms", choice.startedAtMs},
              {"fingerprint", fmt::format("{:016x}", request.fingerprint.value())},
              {"parts", formatParts(request.sharedParts)},
              {"events", request.events},
              {"crashes", m_crashes.crashCount(request.fingerprint, now)}});
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
        co_await refuse(request, error, 503);
    } else if (request.cancellation->deadlinePassed) {
        const Error error{ErrorKind::DeadlineExceeded, "the deadline passed without an answer; it may have run", 0};
        co_await refuse(request, error, 504);
    } else {
        const Error error{ErrorKind::OutcomeUnknown, cause + "; it may have run", 0};
        co_await refuse(request, error, 502);
    }
}

} // namespace roserail
