// Requests of Forwarder that go to an endpoint by way of another router, because this one can't connect to the endpoints.
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <charconv>

namespace roserail
{

using namespace tunables;

namespace
{

template <typename Number>
Number parseHeader(std::string_view text)
{
    Number number{};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

// Returns a router that may reach the endpoints which this one can't connect to. A request that was passed on stays here.
std::optional<EndpointChoice> Forwarder::choosePeer(const Request &request) const
{
    if (m_peers == nullptr || !request.relayedFrom.empty() || request.triedRouters.size() >= MaxRelaysPerRequest)
        return std::nullopt;
    if (!m_balancer.isolated() && !m_balancer.reachableByOthersOnly(request.requirements, monotonicNow()))
        return std::nullopt;
    const std::optional<PeerChoice> peer = m_peers->choose(request.triedRouters, monotonicNow());
    if (!peer)
        return std::nullopt;
    EndpointChoice choice;
    choice.address = peer->address;
    choice.router = peer->router;
    return choice;
}

std::vector<HeaderField> Forwarder::relayHeaders(const Request &request) const
{
    const uint32_t attempts = request.progress.maxRuns - std::min(request.progress.maxRuns, request.runsBeforeRelay);
    std::vector<HeaderField> headers{
        {RelayedFrom, m_self}, {RelayConfiguration, std::to_string(request.table->version)}, {RelayAttempts, std::to_string(attempts)}};
    if (request.requirements.software)
        headers.push_back({RelaySoftware, request.requirements.software->value()});
    if (request.account != nullptr)
        headers.push_back({RelayAccount, request.account->id.value()});
    return headers;
}

// Returns the header by which the router that passed the request on recognizes the refusal and whether the request may have run.
HeaderField Forwarder::relayOutcome(const Request &request, const Error &error, unsigned status)
{
    if (status == 502 || status == 504)
        return {RelayOutcome, std::string(traits(error.kind).name)};
    return {RelayOutcome, std::string(request.connectFailed || request.refusedByStop ? UnreachableOutcome : NotRunOutcome)};
}

// Passes the request on to another router, which then selects endpoints, and retries, as for its own callers.
Task<AttemptEnd> Forwarder::relayAttempt(Request &request, const EndpointChoice &choice)
{
    static Counter &relayed = metrics().counter("roserail_requests_passed_on_total");
    request.endpoint = "";
    request.triedRouters.insert(choice.router);
    EndpointConnectionPtr connection = m_pool.takeIdle(choice.address, monotonicNow());
    if (!connection)
        connection = co_await m_pool.connect(choice.address, EndpointConnectTimeout);
    if (request.cancellation->cancelled())
        co_return AttemptEnd::Abandoned;
    if (!connection) {
        request.cause = "cannot connect to the router that the request is passed to";
        m_peers->failed(choice.router, monotonicNow());
        co_return AttemptEnd::NotSent;
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
        request.triedRouters.erase(choice.router);
        co_await renewQuota(request);
        co_return request.cancellation->cancelled() ? AttemptEnd::Abandoned : AttemptEnd::NotSent;
    }
    logDecision("pass_on",
                {{"id", request.metadata.id},
                 {"router", choice.router},
                 {"isolated", m_balancer.isolated()},
                 {"left_ms", (request.deadline - monotonicNow()).count()},
                 {"known", m_registryVersion},
                 {"known_age_ms", (monotonicNow() - m_syncedAt).count()}});
    relayed.add();
    m_peers->started(choice.router);
    ++request.progress.sends;
    // The other router may use all attempts that are left.
    request.runsBeforeRelay = request.progress.runs;
    request.progress.runs = request.progress.maxRuns;
    const AttemptEnd end = co_await exchangeOn(request, choice, std::move(connection));
    m_peers->ended(choice.router);
    if (end == AttemptEnd::RefusedNotRun)
        request.progress.runs = request.runsBeforeRelay;
    co_return end;
}

// Reads the answer of a router that has no endpoint's answer. If the request has not run, it is refused with that router's
// Retry-After, since another router would find the same, unless only that router can't connect to the endpoints.
Task<AttemptEnd> Forwarder::readRelayOutcome(Request &request, EndpointConnection &connection, EndpointAnswer &answer)
{
    const http::response<http::buffer_body> &head = answer.parser->get();
    const std::string outcome(view(head[RelayOutcome]));
    const double retryAfter = parseHeader<double>(view(head[http::field::retry_after]));
    request.status = answer.status;
    request.cause = fmt::format("the router that the request was passed to answered {}, {}", answer.status, outcome);
    const bool unreachable = outcome == UnreachableOutcome;
    if (!co_await skipBody(request, connection, answer) || !(unreachable || outcome == NotRunOutcome))
        co_return AttemptEnd::Interrupted;
    request.refusedByRouter = !unreachable;
    request.retryDelay = Millis(int64_t(retryAfter * 1000));
    co_return AttemptEnd::RefusedNotRun;
}

Task<> Forwarder::handleRelayed(CallerConnection &caller)
{
    Request request(caller, m_table);
    request.relayedFrom = std::string(caller.header(RelayedFrom));
    const uint64_t configuration = parseHeader<uint64_t>(caller.header(RelayConfiguration));
    const bool outdated = !m_table || m_table->version < configuration;
    // With accounts, only a router may say whose request it is, and that the request is not to be counted here.
    const bool unknownSender = m_table && m_table->accounts && !isFromRouter(caller);
    if (request.relayedFrom.empty() || outdated || unknownSender || m_activeRelayed >= MaxRelayedRequests) {
        request.metadata = m_codec.requestMetadata(caller.lookup());
        request.relayedFrom = request.relayedFrom.empty() ? "unknown" : request.relayedFrom;
        std::string cause = "this router takes no more requests of other routers";
        if (outdated)
            cause = fmt::format("this router has not received configuration {} yet", configuration);
        else if (unknownSender)
            cause = "this router does not know the sender as a router; send the request to the address for callers";
        const Error error{ErrorKind::NotRun, cause + "; not run, retry later", RetryAfterBusy.count()};
        co_await refuse(request, error, 503);
        co_return;
    }
    request.attemptsLeft = parseHeader<uint32_t>(caller.header(RelayAttempts));
    ++m_activeRelayed;
    co_await run(request);
    --m_activeRelayed;
}

} // namespace roserail
