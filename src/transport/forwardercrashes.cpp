// Crashes in Forwarder: whether the endpoint of an interrupted request has ended, and which request may be the cause.
#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/forwarderrequest.h"

#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

namespace
{

std::string formatParts(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId it : parts)
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", it.value());
    return text;
}

} // namespace

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

} // namespace roserail
