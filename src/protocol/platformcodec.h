// Interface to a platform's wire format: the routes, headers and bodies of its HTTP messages. An implementation converts
// between them and roserail's types and makes no decisions.
#pragma once

#include "mesh.pb.h"
#include "state/errors.h"
#include "state/routes.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roserail
{

// Kinds of requests that reach a router or a control host. All but Forward are answered by that process.
enum class CallKind {
    Forward, // any other request: meant for an endpoint
    Ready,
    Resolve,
    GetConfiguration,
    PutConfiguration,
    Announce,
    Withdraw,
};

struct Call {
    CallKind kind = CallKind::Forward;
    std::string endpoint; // id of the endpoint that announces or withdraws itself
    std::string zone; // of the caller that resolves addresses
};

// A part of a prompt. Parts shared by several requests have the same id.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

// Fields decoded from the headers of a request.
struct RequestMetadata {
    std::string id;
    std::string resumes; // id of the request that brought the first event of the stream that this one continues; may be empty
    std::optional<Millis> timeout; // how long the caller waits
    std::string model; // empty for a plain service
    std::string adapter; // empty for the base model
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; // upper limit
    std::optional<uint64_t> tokens; // of the prompt and the answer, if the request states them
    std::vector<PromptPart> prompt; // in the order of the prompt
};

// A header that the system sets itself on a request or response.
struct HeaderField {
    std::string name;
    std::string value;
};

// Requests running and queued at an endpoint, over all routers.
struct EndpointLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    std::optional<uint32_t> slots; // requests that it runs concurrently
    std::optional<double> slowdown; // how long work takes there at this moment, as a multiple of its usual time
};

// Fields decoded from the status and headers of an endpoint's response.
struct ResponseMetadata {
    std::optional<EndpointLoad> load;
    std::string requestId;
    bool notRun = false; // the endpoint states that it did not run the request
    std::string signature; // of the endpoint; empty if the response has none
    bool leaving = false; // the endpoint states that it is about to stop
    std::optional<Millis> pause; // for which the endpoint wants no request from this host
    std::optional<double> requestsPerSecond; // that the endpoint takes at most, from all routers together
    std::optional<uint32_t> maxRefusals; // in a second, above which the endpoint ends; set: it is brittle
};

enum class OrderAction { Load, Unload };

// Inputs of the decision behind an order, for the log.
struct OrderInputs {
    uint32_t waiting = 0; // requests queued for the artifact
    uint32_t running = 0; // requests running with the artifact
    Millis longestWait{0};
    uint32_t holders = 0; // engines that have its model loaded
    double usedMegabytes = 0; // memory in use on the engine before the order
    Millis contentsAge{0}; // since the engine's contents were last known to change
    bool fromStore = false;
    std::string roomFor; // model for which the engine frees memory; empty if none
};

// An order to a model engine. The engine accepts it only if it has accepted exactly `expectedSequence` orders since it
// started.
struct ArtifactOrder {
    OrderAction action = OrderAction::Load;
    std::string endpoint;
    std::string model;
    std::string adapter; // empty for the base model
    std::string holder; // id of the control host that issues the order
    uint64_t fence = 0; // fencing token
    uint64_t expectedSequence = 0;
    OrderInputs inputs;
};

enum class OrderAnswer {
    Accepted,
    AlreadyHolds,
    Busy, // another order is in progress, or the sequence differs
    Refused, // malformed, stale fencing token, or the address belongs to another endpoint
};

// State of a model engine, reported on request.
struct EngineReport {
    uint64_t startedAtMs = 0; // wall clock when the engine's process started; 0: not stated
    std::vector<pb::HeldModel> models;
    std::vector<std::string> pendingAdapters;
    bool busy = false; // an order is in progress
    uint64_t orderSequence = 0; // orders accepted since the engine started
    std::vector<std::string> inMemory;
    std::vector<std::string> onDisk;
};

class PlatformCodec
{
public:
    virtual ~PlatformCodec() = default;
    virtual Call classify(std::string_view method, std::string_view target) const = 0;

    virtual Result<RouteTable> decodeConfiguration(const std::string &body) const = 0;
    virtual Result<pb::Announcement> decodeAnnouncement(const std::string &endpoint, const std::string &body) const = 0;
    virtual std::string encodeAddresses(const std::vector<std::string> &addresses, Millis ttl) const = 0;
    virtual std::string encodeError(const Error &error) const = 0;

    // Returns the value of a header by its name, which is case-insensitive; empty if the header is absent.
    using Lookup = std::function<std::string_view(std::string_view name)>;
    virtual RequestMetadata requestMetadata(const Lookup &header) const = 0;
    virtual ResponseMetadata responseMetadata(int status, const Lookup &header) const = 0;
    // Returns whether a header is set only by the system: values sent by callers are not forwarded to endpoints.
    virtual bool isReserved(std::string_view name) const = 0;
    // Returns the name of the header in which callers send their API key.
    virtual std::string_view apiKeyHeader() const = 0;
    // Returns whether a header holds an API key or names a client account: values sent by callers are not forwarded if the
    // configuration has accounts.
    virtual bool isAccountHeader(std::string_view name) const = 0;
    // Headers that the system adds to a request forwarded to `endpoint`; if that is empty, to another router. `account`: of the caller;
    // empty if it has none.
    virtual std::vector<HeaderField> forwardHeaders(const std::string &endpoint, Millis timeLeft, const AccountId &account) const = 0;

    // Header that tells an endpoint the order in which it admits a request: from 0, which is first, to LastAdmissionRank.
    virtual HeaderField admissionRankHeader(uint32_t rank) const = 0;

    virtual std::string orderPath() const = 0;
    virtual std::string encodeOrder(const ArtifactOrder &order) const = 0;
    virtual std::vector<HeaderField> orderHeaders(const ArtifactOrder &order) const = 0;
    virtual OrderAnswer decodeOrderAnswer(int status) const = 0;
    virtual std::string reportPath() const = 0;
    virtual Result<EngineReport> decodeReport(const std::string &body) const = 0;
};

} // namespace roserail
