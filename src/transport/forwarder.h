// Forwards callers' requests on general routes to endpoints and passes their answers back.
#pragma once

#include "coordination/balancer.h"
#include "coordination/crashwatch.h"
#include "coordination/retry.h"
#include "transport/endpointpool.h"

#include <memory>

namespace roserail
{

class Forwarder
{
public:
    Forwarder(net::io_context &io, const PlatformCodec &codec, Balancer &balancer, RetryWindow &retries, CrashWatch &crashes);

    // Takes a new configuration. Requests under way keep theirs.
    void setTable(std::shared_ptr<const RouteTable> table)
    {
        m_table = std::move(table);
        wakeWaiting();
    }
    const std::shared_ptr<const RouteTable> &table() const
    {
        return m_table;
    }
    // What is known has changed: requests that wait look again.
    void wakeWaiting();
    // Control was heard: what is known of endpoints is of this version, and as of now.
    void controlHeard(uint64_t version, Time now)
    {
        m_knownVersion = version;
        m_knownAt = now;
    }
    // Called when a request begins to wait for a model.
    void onWait(std::function<void()> callback)
    {
        m_onWait = std::move(callback);
    }
    // No model is loaded earlier.
    void setOrdersAllowedAt(Time from)
    {
        m_ordersAllowedAt = from;
    }
    Task<> handle(CallerConnection &caller);
    // The process stops: no request waits for a model any more, and streams that begin later than now by
    // DrainStreamCutoff are refused, because they might not end before the process does.
    void drain(Time now);
    size_t active() const
    {
        return m_active;
    }
    EndpointPool &pool()
    {
        return m_pool;
    }

private:
    struct Request;
    struct Interrupt;

    Task<> serve(Request &request);
    Task<> waitForConfiguration(Request &request);
    Task<> forward(Request &request);
    Task<std::optional<EndpointChoice>> findEndpoint(Request &request);
    Task<std::optional<EndpointChoice>> waitForModel(Request &request);
    Task<AttemptEnd> attempt(Request &request, const EndpointChoice &choice);
    Task<AttemptEnd> exchange(Request &request, const EndpointChoice &choice, EndpointConnection &connection, bool &reusable);
    Task<> inspectLoss(std::string id, Fingerprint fingerprint, EndpointChoice choice);
    Task<bool> readHead(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<AttemptEnd> relay(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<AttemptEnd> relayStream(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<bool> readBody(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer, std::vector<char> &buf, size_t &n);
    std::string answerHead(const Request &request, const struct EndpointAnswer &answer) const;
    Task<> refuse(Request &request, const Error &error, unsigned status);
    Task<> finish(Request &request, RouteStep step, AttemptEnd end);
    std::string requestBytes(const Request &request, const EndpointChoice &choice, Time now) const;
    Task<> watchCaller(CallerConnection &caller, std::shared_ptr<Interrupt> interrupt);
    void log(const Request &request, std::string_view outcome) const;
    void logSend(const Request &request, const EndpointChoice &choice, Time now) const;
    void logWait(const Request &request, Time now, Time until) const;
    void logFailedAttempt(const Request &request, AttemptEnd end, RouteStep step, Time now) const;

    net::io_context &m_io;
    const PlatformCodec &m_codec;
    Balancer &m_balancer;
    RetryWindow &m_retries;
    CrashWatch &m_crashes;
    EndpointPool m_pool;
    std::shared_ptr<const RouteTable> m_table;
    std::function<void()> m_onWait;
    std::set<net::steady_timer *> m_waiters;
    size_t m_active = 0;
    uint64_t m_knownVersion = 0; // of what control told of endpoints
    Time m_knownAt{};
    Time m_ordersAllowedAt{};
    Time m_waitUntil = Time::max(); // no request waits for a model later
    Time m_streamsUntil = Time::max(); // no stream begins later
};

} // namespace roserail
