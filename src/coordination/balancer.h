// A router's load balancing: selects an endpoint for each request by the models that endpoints hold, the part of the
// prompt that is in their cache, and their load.
#pragma once

#include "coordination/admission.h"
#include "coordination/endpointadvice.h"
#include "coordination/endpointselection.h"
#include "coordination/endpointuse.h"
#include "coordination/enginespeed.h"
#include "coordination/limitshare.h"
#include "coordination/reachability.h"
#include "coordination/registry.h"
#include "coordination/urgency.h"
#include "protocol/platformcodec.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace roserail
{

// What an endpoint must provide to run a request.
struct EndpointRequirements {
    ServiceId service;
    std::string model; // empty: the request names no model
    std::string adapter;
    std::vector<PromptPart> prompt;
    uint32_t promptTokens = 0;
    uint64_t spread = 0; // varies between requests, so that a router uses several endpoints of equal cost
    std::set<std::string> avoid; // endpoints that were tried already
    std::optional<SoftwareVersion> software; // of the endpoint that began the stream, if this continues one
    std::optional<Urgency> urgency; // none: the service is not shared by urgency
    bool recordedSoftware = false; // the endpoint's software version must be in the replicated log, as others may continue the stream
};

// The values behind a choice, for the log.
struct ChoiceInputs {
    uint32_t candidates = 0; // endpoints that can serve the request
    double expectedMs = 0; // expected time to the first byte, plus the delay of other requests
    uint32_t ownRequests = 0; // of this router, running on the endpoint
    uint32_t otherRequests = 0; // of other routers
    Millis otherRequestsAge{-1}; // since they were known; negative: never
    uint32_t slots = 0;
    bool ownSlot = false; // a slot that is this router's share was free
    double slowdown = 1; // by the endpoint's latest load report to any router
    Millis slowdownAge{-1}; // of that load report; negative: none is known
    uint32_t cachedTokens = 0; // of the prompt, estimated to be in the endpoint's cache
};

struct EndpointChoice {
    std::string endpoint;
    std::string address;
    uint64_t startedAtMs = 0;
    SoftwareVersion software;
    ChoiceInputs inputs;
    std::string router{}; // that the request is passed to instead of an endpoint; empty: none
};

// How an attempt on an endpoint ended, as far as it matters to later choices.
enum class AttemptOutcome {
    Answered,
    NotHeld, // the endpoint answered that it doesn't hold the artifact, although the registry lists it there
    Full, // the endpoint refused the request for lack of capacity
    Failed, // the connection failed or was interrupted
    Cancelled, // by the caller or at the deadline
};

// Why no endpoint takes a request now, although some can serve it.
struct Restriction {
    Time until{}; // when the next of them takes one; Time::max() if it is not known
    bool byLimit = false; // one of them has a limit or is brittle; otherwise all have asked for a pause
};

class Balancer
{
public:
    // `self`: the id of this router.
    explicit Balancer(std::string zone, std::string self = "");

    // Updates endpoints from the registry.
    void update(const Registry &registry);
    // Sets the software versions that the replicated log lists. `kept`: the leader keeps that list.
    void setRecordedSoftware(const pb::RecordSoftware &list, bool kept);
    // Returns the endpoint of lowest cost that can serve the request, if there is one. One that this router can't connect to is
    // returned only as a last resort.
    std::optional<EndpointChoice> choose(const EndpointRequirements &requirements, Time now, bool lastResort = true) const;
    // Returns whether an endpoint that takes the request has a free slot, as far as this router knows.
    bool hasFreeSlot(const EndpointRequirements &requirements, Time now) const;
    // Returns the endpoints that take the request.
    std::vector<EndpointKey> servingEndpoints(const EndpointRequirements &requirements, Time now) const;
    // Returns whether a request may still be sent to a chosen endpoint, which may have said since that it is leaving or
    // that it wants none, or taken another request under its limit.
    bool accepts(const EndpointChoice &choice, Time now) const;
    // Returns what keeps a request from all endpoints that can serve it: the pauses that they asked for, or their limits.
    // `waiting`: requests that wait for the same endpoints already.
    std::optional<Restriction> restriction(const EndpointRequirements &requirements, size_t waiting, Time now) const;
    // Returns where the model of a request can be loaded from, if no engine holds it.
    ColdModel coldModel(const EndpointRequirements &requirements, Time now) const;
    // Returns whether the service has an endpoint that is neither leaving, gone nor lost. If the request requires a software
    // version, the endpoint must have it and not have been tried.
    bool hasUsableEndpoint(const EndpointRequirements &requirements) const;
    // Returns the software versions of the service's known endpoints.
    std::set<SoftwareVersion> softwareVersions(const ServiceId &service) const;

    void attemptStarted(const EndpointRequirements &requirements, const EndpointChoice &choice, Time now);
    // `took`: from the sending of the request.
    void attemptEnded(const EndpointRequirements &requirements, const EndpointChoice &choice, AttemptOutcome end, Time now,
                      Millis took = Millis(0));
    // Records a request that is sent to an endpoint with a limit.
    void recordSend(const EndpointChoice &choice, Time now);
    // Records that an endpoint refused a request for lack of room. Returns whether it is brittle, so that others must know.
    bool recordRefusal(const EndpointChoice &choice, Time now);
    // Records what the answer to a request sent at `sentAt` says about the endpoint's capacity. Returns whether it has changed.
    bool recordCapacity(const EndpointChoice &choice, const EndpointCapacity &capacity, Time sentAt, Time now);
    // Records the load that an endpoint reported with an answer.
    void observeLoad(const std::string &endpoint, const EndpointLoad &load, Time now);

    // Record the result of an attempt to connect to an endpoint. Each returns whether its state has changed.
    bool recordConnected(const std::string &endpoint, Time now)
    {
        return m_reachability.recordConnected(endpoint, now);
    }
    bool recordConnectFailed(const std::string &endpoint, Time now)
    {
        return m_reachability.recordFailed(endpoint, now);
    }
    // Returns whether this router can't connect to at least half of the endpoints.
    bool isolated() const
    {
        return m_reachability.anyUnreachable() && m_reachability.isolated(usableEndpoints());
    }
    bool hasUnreachableEndpoint() const;
    // Returns whether endpoints can serve the request, but this router can't connect to any of them.
    bool reachableByOthersOnly(const EndpointRequirements &requirements, Time now) const;
    // Returns up to `n` usable endpoints other than this one, with their addresses.
    std::map<std::string, std::string> otherEndpoints(const std::string &endpoint, size_t n) const;
    // Returns the addresses of the endpoints that are to be probed now, by endpoint.
    std::map<std::string, std::string> dueProbes(Time now);

    // Adds this router's requests on endpoints to its state, if endpoints have said how long work takes at present.
    void addUse(pb::RouterState &state, Time now) const;
    // Sets the requests that all other routers have on endpoints.
    void applyUse(const pb::EndpointUse &use, Time now);

    EndpointAdvice &advice()
    {
        return m_advice;
    }

    // Adds a request to those that wait for its artifact, or removes it; `since` is the time at which it was added.
    void startWaiting(const EndpointRequirements &requirements, Time now);
    void stopWaiting(const EndpointRequirements &requirements, Time since);
    bool hasWaitingRequests() const;
    // Records a request that was refused because its model can't be loaded in time.
    void recordRefusal(const EndpointRequirements &requirements, Time now);
    // Returns this router's waiting and running requests per artifact, for the control host that orders loads and
    // unloads.
    std::vector<pb::ArtifactDemand> demands(Time now);

private:
    struct Endpoint {
        pb::Announcement announcement;
        EndpointKey key;
        uint64_t rank = 0; // hash of its id and this router's
        bool usable = false;
        Time announcedAt{}; // this incarnation for the first time
        std::map<std::string, std::set<std::string>> held; // adapters by model
        std::set<std::string> copies; // models in the memory or on the disk of its host
        std::map<std::string, Time> loading; // from the weight store, with the expected end
        uint32_t ownRequests = 0; // of this router, running on it
        uint32_t otherRequests = 0; // of other routers, by its latest load report
        Time loadReportedAt{};
        Slowdown slowdown; // by its latest load report to any router
        uint32_t sharedRequests = 0; // of other routers, as these said
        Time sharedAt{}; // of that; before the first: never
        uint32_t slots = 0; // by its latest load report; 0: it has named none
        Time fullUntil{}; // of a service whose endpoints vary: it refused a request for lack of room
        Time failedUntil{}; // chosen before then only if no other endpoint can serve the request
        std::map<std::string, Time> notHeldUntil; // end of the cooldown after a NotHeld, by model/adapter
        std::unordered_map<uint64_t, Time> cachedParts; // time of last use of prompt parts, by partKey
    };
    struct Demand {
        uint32_t running = 0;
        std::multiset<Time> waiting; // start times of the waiting requests
        std::deque<Time> refused; // times of the latest refusals
    };
    using ArtifactKey = std::tuple<ServiceId, std::string, std::string>;

    bool usable(const Endpoint &endpoint) const;
    std::vector<std::string> usableEndpoints() const;
    // Returns the time from which the endpoint takes a request of this router: the end of a pause, or the next one under its
    // limit; Time::max() if other routers share that.
    Time acceptsFrom(const Endpoint &endpoint, uint64_t startedAtMs, Time now) const;
    Time acceptsFrom(const Endpoint &endpoint, Time now) const
    {
        return acceptsFrom(endpoint, endpoint.announcement.born_ms(), now);
    }
    // Returns the time from which a brittle endpoint takes a request of this router: it must have room for it, which each
    // router sees only in part, and must not have refused one shortly before.
    Time brittleAcceptsFrom(const Endpoint &endpoint, const EndpointCapacity &capacity, Time now) const;
    // Returns whether an endpoint of the service, and thus probably each, is brittle.
    bool brittle(const std::string &service, Time now) const;
    std::optional<double> limit(const std::string &endpoint, uint64_t startedAtMs) const
    {
        return m_advice.capacity(endpoint, startedAtMs).capacity.requestsPerSecond;
    }
    void updateCapacity(const LiveEndpoint &endpoint);
    // Applies a capacity that was told at `toldAt` to this router's share. `wasLimited`: the endpoint had a limit before.
    void applyCapacity(const pb::Announcement &endpoint, const EndpointCapacity &capacity, bool wasLimited, Time toldAt);
    // Returns whether the endpoint belongs to the service and has the software version that the request requires.
    static bool matches(const Endpoint &endpoint, const EndpointRequirements &requirements);
    // Returns whether all hosts will know of the endpoint's software version, even after a loss of all processes; or may, since the
    // log has not listed it for long.
    bool softwareRecorded(const Endpoint &endpoint, Time now) const;
    // Returns whether the endpoint can serve the request once its pause, if it asked for one, is over.
    bool canServe(const Endpoint &endpoint, const EndpointRequirements &requirements, Time now) const;
    double cost(const Endpoint &endpoint, const EndpointRequirements &requirements, uint32_t cachedTokens, Time now) const;
    EndpointCandidate candidate(const Endpoint &endpoint, const EndpointRequirements &requirements, Time now) const;
    // Returns the requests of other routers on an endpoint, by the newest of what it and they said.
    double otherRequestsOn(const Endpoint &endpoint, Time now) const;
    // Returns the requests running and queued on an endpoint, as far as this router knows.
    double requestsOn(const Endpoint &endpoint, Time now) const;
    // Returns the speed of the endpoint's service if its endpoints say how long work takes, else null.
    const ServiceSpeed *speedOf(const Endpoint &endpoint) const;
    static uint32_t slotsOf(const Endpoint &endpoint);
    ChoiceInputs inputsOf(const Endpoint &endpoint, Time now) const;
    uint32_t cachedTokens(const Endpoint &endpoint, const EndpointRequirements &requirements) const;
    void recordPrompt(Endpoint &endpoint, const EndpointRequirements &requirements, Time now);
    Demand &demandFor(const EndpointRequirements &requirements);

    std::string m_zone;
    std::string m_self;
    std::map<std::string, Endpoint> m_endpoints;
    uint64_t m_seenVersion = 0; // of the registry, at the last update
    EndpointAdvice m_advice;
    EndpointReachability m_reachability;
    LimitShare m_limitShare;
    std::map<std::string, Time> m_brittleUntil; // by service
    std::map<std::string, ServiceSpeed> m_speeds; // of services whose endpoints say how long work takes at present
    std::set<std::pair<std::string, std::string>> m_recordedSoftware; // services and versions
    bool m_softwareKept = false;
    std::map<ArtifactKey, Demand> m_demands;
};

} // namespace roserail
