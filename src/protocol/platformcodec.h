// How a platform speaks: the names, formats and calls at the system's borders. An implementation decodes them into the
// product's types and decides nothing.
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

// Calls that the system itself answers.
enum class CallKind {
    Forward, // none of ours: a request for an endpoint
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
    std::string zone; // of the caller that asks for addresses
};

// A part of a prompt. Parts that several requests share have the same id.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

// What a request's headers say of it.
struct RequestMetadata {
    std::string id;
    std::optional<Millis> timeout; // how long the caller waits
    std::string model; // empty: a plain service
    std::string adapter; // empty: the model itself
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; // at most
    std::vector<PromptPart> prompt; // in order
};

// A header that the system sets itself, or must not pass on as the caller sent it.
struct HeaderField {
    std::string name;
    std::string value;
};

// Requests that an endpoint works on and that wait there, for all routers.
struct EndpointLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
};

// What an endpoint's answer says beside its status.
struct ResponseMetadata {
    std::optional<EndpointLoad> load;
    std::string requestId;
    bool notRun = false; // the endpoint states that it did not run the request
    std::string signature; // the endpoint's signature
};

enum class OrderAction { Load, Unload };

// What decided an order, for the log.
struct OrderInputs {
    uint32_t waiting = 0; // requests for the artifact
    uint32_t running = 0;
    Millis longestWait{0};
    uint32_t holders = 0; // engines that hold its model
    double usedMegabytes = 0; // of the engine, before the order
    Millis contentsAge{0}; // since the engine's contents were last known to change
    bool fromStore = false;
    std::string roomFor; // model for which the engine makes room
};

// An order to a model engine, valid only if the engine has accepted exactly `expectedSequence` orders in this life.
struct ArtifactOrder {
    OrderAction action = OrderAction::Load;
    std::string endpoint;
    std::string model;
    std::string adapter; // empty: the model itself
    std::string holder;
    uint64_t fence = 0;
    uint64_t expectedSequence = 0;
    OrderInputs inputs;
};

enum class OrderAnswer {
    Accepted,
    AlreadyHolds,
    Busy, // another order is under way, or the sequence differs
    Refused, // malformed, fenced off, or another endpoint has the address
};

// A model engine's report on request.
struct EngineReport {
    std::vector<pb::HeldModel> models;
    std::vector<std::string> pendingAdapters;
    bool busy = false; // an order is being carried out
    uint64_t orderSequence = 0; // orders accepted in this life
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

    // Both look a header up by its name, in any case; an empty text means that it is absent.
    using Lookup = std::function<std::string_view(std::string_view name)>;
    virtual RequestMetadata requestMetadata(const Lookup &header) const = 0;
    virtual ResponseMetadata responseMetadata(int status, const Lookup &header) const = 0;
    // True for headers that callers may not set for an endpoint.
    virtual bool isReserved(std::string_view name) const = 0;
    virtual std::vector<HeaderField> forwardHeaders(const std::string &endpoint, Millis timeLeft) const = 0;

    virtual std::string orderPath() const = 0;
    virtual std::string encodeOrder(const ArtifactOrder &order) const = 0;
    virtual std::vector<HeaderField> orderHeaders(const ArtifactOrder &order) const = 0;
    virtual OrderAnswer decodeOrderAnswer(int status) const = 0;
    virtual std::string reportPath() const = 0;
    virtual Result<EngineReport> decodeReport(const std::string &body) const = 0;
};

} // namespace roserail
