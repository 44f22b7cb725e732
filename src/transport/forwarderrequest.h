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
    RequestMetadata facts;
    Fingerprint fingerprint;
    EndpointRequirements requirements;
    Time deadline{};
    RouteProgress progress;
    EventRelay events; // of a stream that can go on at another endpoint
    std::shared_ptr<Interrupt> interrupt = std::make_shared<Interrupt>();
    std::string endpoint; // of the last attempt
    unsigned status = 0; // that the caller got
    Millis waited{0}; // for a model
    ErrorKind refusal = ErrorKind::NotRun; // if no endpoint has run it
    std::optional<Millis> retryDelay; // when it can be served
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
    ResponseMetadata facts;
    unsigned status = 0;
    bool keepAlive = false;
};

} // namespace roserail
