// State shared by the source files of Forwarder: a request in progress, and the endpoint's answer to it.
#pragma once

#include "protocol/eventrelay.h"
#include "transport/forwarder.h"

namespace roserail
{

constexpr const char *LastEventId = "Last-Event-Id"; // of the event streams of the HTML standard

// Headers of requests that one router passes on to another, and of the answers to these. They are not forwarded further.
constexpr std::string_view RelayHeaderPrefix = "Roserail-";
constexpr const char *RelayedFrom = "Roserail-Relayed-From"; // the router
constexpr const char *RelayConfiguration = "Roserail-Configuration"; // version that the request must at least be handled by
constexpr const char *RelaySoftware = "Roserail-Software"; // version required to continue a stream; in an answer, the one that began it
constexpr const char *RelayAttempts = "Roserail-Attempts"; // endpoints that may still run the request
constexpr const char *RelayOutcome = "Roserail-Outcome"; // the answer is the router's own; NotRunOutcome, or another kind of error
constexpr const char *RelayAccount = "Roserail-Account"; // client account whose API key the other router has checked
constexpr std::string_view NotRunOutcome = "not_run";
// Not run, since that router can't connect to the endpoints either, or is stopping; another router may serve the request.
constexpr std::string_view UnreachableOutcome = "unreachable";

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Cancels the pending operation of a request when its caller disconnects, its deadline passes or the process is about to end.
struct Forwarder::Cancellation {
    bool callerDisconnected = false;
    bool deadlinePassed = false;
    bool hostStopping = false; // the process ends before the deadline
    bool finished = false; // the request has ended; its state must no longer be accessed
    std::function<void()> cancelPending; // cancels the operation that the request waits for; may be empty
    bool cancelled() const
    {
        return callerDisconnected || deadlinePassed || hostStopping;
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

// How the end of an endpoint's answer is recognized.
enum class AnswerFraming {
    None, // no answer was received, or it has no body
    Length,
    Chunked,
    Close, // the answer ends with its connection
};

// A request from its arrival to its final answer.
struct Forwarder::Request {
    Request(CallerConnection &connection, std::shared_ptr<const RouteTable> routes)
        : caller(connection)
        , table(std::move(routes))
        , buffered(connection.ingress().budget().answers)
    {
    }
    CallerConnection &caller;
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    const Account *account = nullptr; // of the caller, in `table`; null: the request needs no API key
    std::optional<ApiKeyDigest> apiKey; // none: the request needs none, or another router has checked it
    // Returns the rank of the request, 0 is the most urgent. The route must be known.
    uint32_t priority() const
    {
        return account != nullptr && account->priority ? *account->priority : route->priority;
    }
    RequestMetadata metadata;
    Fingerprint fingerprint;
    std::vector<PromptPartId> sharedParts; // of the prompt, which other requests may have as well
    EndpointRequirements requirements;
    SoftwareVersion software; // of the endpoint that began the answer
    Time deadline = Time::max(); // set once the route is known
    Time sentAt{}; // of the last attempt
    std::optional<uint32_t> rank; // of the last attempt, by which the endpoint admits it; none: it is not ranked
    AccountPosition accountPosition; // on the endpoint of the last attempt, if it is ranked
    RouteProgress progress;
    EventRelay eventRelay; // of a stream
    // Sets the bytes that are held of the current answer. Returns false if they exceed `maxBytes` or there is no room for them.
    bool buffer(size_t bytes, size_t maxBytes)
    {
        return caller.ingress().grow(buffered, bytes, maxBytes);
    }
    BufferShare buffered; // what is held of the current answer
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    QuotaRequest grant; // of an account with a limit: the latest grant
    Millis quotaWait{0}; // total time spent waiting for it
    bool refusedByQuota = false; // the request got no grant
    std::string relayedFrom; // router that has passed the request on; empty: it came from its caller
    std::optional<uint32_t> attemptsLeft; // of a request that was passed on
    uint32_t runsBeforeRelay = 0; // endpoints that may have run the request before it was passed on
    std::set<std::string> triedRouters; // that the request was passed to
    bool connectFailed = false; // the last attempt could not connect to its endpoint
    bool refusedByStop = false; // the request might not end before the process does
    bool refusedByRouter = false; // the router that the request was passed to has refused it
    std::string endpoint; // of the last attempt
    unsigned status = 0; // of the latest answer
    AnswerFraming framing = AnswerFraming::None; // of the latest answer
    uint64_t answerBytes = 0; // of the bodies received from endpoints
    Millis waitTime{0}; // total time spent waiting for a model
    ErrorKind refusalKind = ErrorKind::NotRun; // of the answer if no endpoint has run the request
    std::optional<Millis> retryDelay; // for Retry-After, if it is known when the request can be served
    Time firstForwardedAt{}; // when the first bytes of the answer were sent to the caller
    Time lastForwardedAt{}; // when the latest were
    Millis longestPause{0}; // between two writes of the answer
    void recordForwarding(Time now)
    {
        if (firstForwardedAt == Time())
            firstForwardedAt = now;
        else
            longestPause = std::max(longestPause, Millis(now - lastForwardedAt));
        lastForwardedAt = now;
    }
    std::string cause; // of the last failure, for the log and the caller
};

// An endpoint's answer while it is being read.
struct EndpointAnswer {
    std::unique_ptr<http::response_parser<http::buffer_body>> parser;
    ResponseMetadata metadata;
    unsigned status = 0;
    bool keepAlive = false;
};

} // namespace roserail
