// A router's choice of endpoint for each request: by what endpoints hold, what of the prompt they have read before,
// and how busy they are.
#pragma once

#include "coordination/registry.h"
#include "protocol/platformcodec.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace roserail
{

// What a request asks of an endpoint.
struct Need {
    ServiceId service;
    std::string model; // empty: a plain service
    std::string adapter;
    std::vector<PromptPart> prompt;
    uint32_t promptTokens = 0;
    std::set<std::string> avoid; // endpoints that were tried
};

// What decided a choice, for the log.
struct ChoiceInputs {
    uint32_t candidates = 0; // endpoints that hold what the request needs
    double expectedMs = 0; // until the first byte
    uint32_t own = 0; // requests of this router on the endpoint
    uint32_t others = 0; // of other routers, as far as an answer told
    Millis othersAge{-1}; // since that answer; negative: none
    uint32_t cachedTokens = 0; // of the prompt, read there before
};

struct Choice {
    std::string endpoint;
    std::string address;
    uint64_t born = 0;
    ChoiceInputs inputs;
};

// How a request's stay at an endpoint ended, for later choices.
enum class StayEnd {
    Answered,
    NotHeld, // the endpoint doesn't hold the artifact, whatever is known of it
    Full,
    Failed, // no connection, or it broke off
    Cancelled, // by the caller or the clock
};

class Balancer
{
public:
    explicit Balancer(std::string zone);

    // Takes over what is known of endpoints.
    void update(const Registry &registry);
    // The best endpoint for the request, if there is one.
    std::optional<Choice> choose(const Need &need, Time now) const;
    // True if some endpoint of the service can be used at all.
    bool serves(const ServiceId &service) const;

    void started(const Need &need, const Choice &choice, Time now);
    void ended(const Need &need, const Choice &choice, StayEnd end, Time now);
    // What an endpoint's answer said of its load.
    void observeLoad(const std::string &endpoint, uint32_t running, uint32_t waiting, Time now);

    // A request begins to wait for a model, or stops.
    void waits(const Need &need, Time now);
    void stopsWaiting(const Need &need, Time since);
    bool anyWaiting() const;
    // What waits and runs here, for the holder of orders.
    std::vector<pb::ArtifactDemand> demands(Time now);

private:
    struct Endpoint {
        pb::Announcement announcement;
        bool usable = false;
        std::map<std::string, std::set<std::string>> held; // adapters by model
        uint32_t own = 0; // requests of this router on it
        uint32_t observed = 0; // of all routers, without ours, when last told
        Time observedAt{};
        Time failedUntil{}; // chosen only if no other serves
        std::map<std::string, Time> notHeldUntil; // by model/adapter
        std::unordered_map<uint64_t, Time> parts; // prompt parts that were read there
    };
    struct Demand {
        uint32_t running = 0;
        std::multiset<Time> waiting; // since when
    };
    using ArtifactKey = std::tuple<ServiceId, std::string, std::string>;

    bool holds(const Endpoint &endpoint, const Need &need, Time now) const;
    double cost(const Endpoint &endpoint, const Need &need, Time now) const;
    uint32_t cachedTokens(const Endpoint &endpoint, const Need &need) const;
    void rememberPrompt(Endpoint &endpoint, const Need &need, Time now);
    Demand &demandOf(const Need &need);

    std::string m_zone;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<ArtifactKey, Demand> m_demands;
};

} // namespace roserail
