// What the parts of Forwarder share: one request on its way, and the answer that is read for it.
#pragma once

#include "protocol/eventrelay.h"
#include "transport/forwarder.h"

namespace roserail
{

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Ends what a request waits for: its caller has left, or its time is up.
struct Forwarder::Cancellation {
    bool callerDisconnected = false;
    bool deadlinePassed = false;
    bool finished = false; // the request is done; nothing of it may be touched
    std::function<void()> cancelPending; // of what is being waited for
    bool cancelled() const
    {
        return callerDisconnected || deadlinePassed;
    }
    void cancel(bool &reason)
    {
        if (finished)
            return;
        reason = true;
        if (cancelPending)
            cancelPending();
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
    RequestMetadata metadata;
    Fingerprint fingerprint;
    EndpointRequirements requirements;
    Time deadline{};
    RouteProgress progress;
    EventRelay eventRelay; // of a stream that can go on at another endpoint
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    std::string endpoint; // of the last attempt
    unsigned status = 0; // that the caller got
    Millis waitTime{0}; // for a model
    ErrorKind refusalKind = ErrorKind::NotRun; // if no endpoint has run it
    std::optional<Millis> retryDelay; // when it can be served
    Time firstForwardedAt{}; // first bytes of the answer were passed on
    Time lastForwardedAt{}; // the latest were
    Millis longestPause{0}; // between two of them
    void recordForwarding(Time now)
    {
        if (firstForwardedAt == Time())
            firstForwardedAt = now;
        else
            longestPause = std::max(longestPause, Millis(now - lastForwardedAt));
        lastForwardedAt = now;
    }
    std::string cause; // of the last failure
};

// An endpoint's answer while it is read.
struct EndpointAnswer {
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
    ResponseMetadata metadata;
    unsigned status = 0;
    bool keepAlive = false;
};

} // namespace roserail
