// The part of Forwarder that selects an endpoint for a request, or waits until there is one: for a configuration, a stream's software
// version, capacity or a model.
#include "coordination/admission.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarder.h"
#include "transport/forwarderrequest.h"

namespace roserail
{

using namespace tunables;

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
    if (request.refusedByRouter || request.refusedByQuota || refuseForSlots(request))
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

// If the caller would leave before any endpoint admits the request, sets the refusal and returns true. That can be told of a request which
// is admitted after all others: a least urgent one of an account that uses far more than
// its share.
bool Forwarder::refuseForSlots(Request &request)
{
    static Counter &refusals = metrics().counter("roserail_requests_refused_for_slots_total");
    const Time now = monotonicNow();
    const EndpointRequirements &requirements = request.requirements;
    const std::optional<Millis> slotTime = m_slotTimes.mean(requirements.service);
    const bool last = requirements.urgency && requirements.urgency->level + 1 == requirements.urgency->levels;
    if (!last || !slotTime || request.progress.sends > 0 || !request.relayedFrom.empty())
        return false;
    std::vector<FullEndpoint> endpoints;
    for (const EndpointKey it : m_balancer.servingEndpoints(requirements, now)) {
        const std::optional<FullEndpoint> full = m_accountLoad.full(it, now);
        if (!full || !m_accountLoad.position(it, accountKey(accountId(request)), full->slots, now).farAbove())
            return false;
        endpoints.push_back(*full);
    }
    const Time leavesAt = callerLeavesAt(*request.route, request.caller.arrivedAt(), request.deadline);
    request.retryDelay = retryDelayForSlots(endpoints, *slotTime, leavesAt, now);
    if (!request.retryDelay)
        return false;
    request.cause = fmt::format("the account uses far more than its share of {} full endpoints, none of which has a slot within {} ms",
                                endpoints.size(), (leavesAt - now).count());
    refusals.add();
    logDecision("refused_for_slots",
                {{"id", request.metadata.id},
                 {"account", accountId(request).value()},
                 {"endpoints", endpoints.size()},
                 {"requests", endpoints.front().requests},
                 {"slots", endpoints.front().slots},
                 {"age_ms", endpoints.front().age.count()},
                 {"slot_ms", slotTime->count()},
                 {"left_ms", (leavesAt - now).count()},
                 {"retry_ms", request.retryDelay->count()}});
    return true;
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

} // namespace roserail
