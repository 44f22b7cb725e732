// Decides which artifacts are loaded on which endpoints. Derives from the routers' reported demand the commands that
// reserve slots, order loads and unloads, and release slots. A decision takes effect only once its command is committed.
#pragma once

#include "coordination/directory.h"
#include "coordination/keepwarm.h"

#include <deque>
#include <map>
#include <vector>

namespace roserail
{

class Placement
{
public:
    // Clears all state when this replica becomes the leader.
    void reset(Time now);
    // Replaces the router's previous demand.
    void updateDemand(const RouterId &router, const google::protobuf::RepeatedPtrField<pb::Demand> &demands, Time now);
    // Records that an order was sent, or was committed and is about to be sent.
    void recordOrderSent(SlotId slot, Time now);
    // Returns the commands to propose now. The caller commits all of them before the next call.
    std::vector<pb::Command> decide(const StateMachine &machine, const Directory &directory, Time now);
    // Returns when an artifact is expected to be loaded, for the routers that wait for it.
    pb::LoadEstimate estimate(const ArtifactId &artifact) const;

private:
    struct RouterDemand {
        std::vector<pb::Demand> demands;
        Time expiresAt{};
    };
    // Demand for one artifact over all routers.
    struct TotalDemand {
        ArtifactId artifact;
        uint32_t waiting = 0;
        uint32_t running = 0;
        Time deadline = Time::max(); // earliest
        bool interactive = false;
    };
    // Inputs and results of one call of `decide`.
    struct Round;

    std::map<ArtifactId, TotalDemand> collectDemand(Time now);
    void addDerivedDemand(const Document &document, std::map<ArtifactId, TotalDemand> &demandByArtifact) const;
    void collectCandidates(Round &round) const;
    void reviewSlot(Round &round, const Slot &slot);
    void reviewLoad(Round &round, const Slot &slot, const pb::EndpointReport &report, pb::ArtifactState state);
    void reviewUnload(Round &round, const Slot &slot, const pb::EndpointReport &report, pb::ArtifactState state);
    void markFencedOrdersAnswered(Round &round, const Slot &slot, const pb::EndpointReport &report);
    bool shouldUnload(const Round &round, const Slot &slot) const;
    void placeReplicas(Round &round, const TotalDemand &demand);
    bool placeReplica(Round &round, const Artifact &artifact);
    bool evictIdleReplica(Round &round, const Artifact &artifact);
    void updateEstimate(Round &round, const TotalDemand &demand);
    bool resendDue(SlotId slot, Time now) const;
    void refillTokens(const Policy &policy, Time now);

    Time m_leadingSince{};
    std::map<RouterId, RouterDemand> m_demands;
    KeepWarmPolicy m_keepWarm;
    std::map<SlotId, Time> m_orderSentAt;
    std::map<ArtifactId, pb::LoadEstimate> m_estimates;
    double m_storeTokens = 0;
    Time m_tokensAt{};
};

} // namespace roserail
