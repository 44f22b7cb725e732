// Placement ledger: the artifacts that each endpoint holds or may still load, and the memory reserved for them.
// A slot is created before the load order is sent and is released once the endpoint is known not to hold the artifact
// and no order for it can still arrive.
#pragma once

#include "state.pb.h"
#include "state/document.h"
#include "state/types.h"

#include <map>
#include <set>

namespace roserail
{

enum class OrderKind { Load, Unload };

struct EndpointRecord {
    EndpointId id;
    uint64_t incarnation = 0;
    HostId host;
    Bytes hostBytes = 0;
    Bytes endpointBytes = 0;
    bool checksFencing = false;
};

struct Slot {
    SlotId id;
    EndpointId endpoint;
    uint64_t incarnation = 0;
    HostId host;
    ArtifactId artifact;
    ArtifactId base; // empty for a model
    std::string version;
    Bytes bytes = 0;
    OrderKind lastOrder = OrderKind::Load;
    Fence lastFence;
    std::set<Fence> unanswered; // orders that may still arrive at the endpoint
    uint64_t answeredSequence = 0; // reports up to this sequence number may predate the last answered order
};

// Outcome of a ledger operation.
struct LedgerResult {
    pb::Verdict verdict = pb::VERDICT_OK;
    std::string message;
    SlotId slot;
    Fence fence;
};

class Ledger
{
public:
    // Records an endpoint's incarnation. Slots of earlier incarnations are released, unless an order may still arrive.
    LedgerResult registerEndpoint(const EndpointRecord &record);
    // Removes an endpoint that an operator declared permanently removed, and releases all of its slots.
    LedgerResult forgetEndpoint(const EndpointId &id);
    // Releases the slots of an incarnation whose process has ended, unless an order for them may still arrive.
    LedgerResult endIncarnation(const EndpointId &id, uint64_t incarnation);
    // Reserves a replica and its memory, and assigns the fence of the first load order.
    LedgerResult reserve(const EndpointId &endpoint, uint64_t incarnation, const Artifact &artifact);
    LedgerResult sendOrder(SlotId slot, OrderKind kind);
    LedgerResult answerOrder(SlotId slot, Fence fence, uint64_t sequence);
    // Releases a slot if the endpoint reported, after the last order, that the artifact is absent.
    LedgerResult release(SlotId slot, Fence reportedFence, uint64_t sequence);

    const std::map<SlotId, Slot> &slots() const
    {
        return m_slots;
    }
    const std::map<EndpointId, EndpointRecord> &endpoints() const
    {
        return m_endpoints;
    }
    const Slot *slot(SlotId id) const;
    const Slot *slotOf(const EndpointId &endpoint, const ArtifactId &artifact) const;
    const EndpointRecord *endpoint(const EndpointId &id) const;
    uint32_t replicas(const ArtifactId &artifact) const;
    // Returns whether adapters of the model have slots on the endpoint.
    bool hasAdapters(const EndpointId &endpoint, const ArtifactId &model) const;
    Bytes reservedOnHost(const HostId &host) const;
    Bytes reservedOnEndpoint(const EndpointId &endpoint) const;
    // Memory of a host: the smallest value that any of its endpoints announced.
    Bytes hostBytes(const HostId &host) const;

    void save(pb::MachineState &out) const;
    void restore(const pb::MachineState &in);

private:
    struct EndpointArtifact {
        EndpointId endpoint;
        ArtifactId artifact;
        auto operator<=>(const EndpointArtifact &) const = default;
    };

    void checkMemory(const HostId &host) const;

    std::map<EndpointId, EndpointRecord> m_endpoints;
    std::map<SlotId, Slot> m_slots;
    std::map<EndpointArtifact, SlotId> m_byEndpointArtifact;
    std::map<EndpointArtifact, uint32_t> m_adapterSlots; // number of adapter slots, by endpoint and base model
    std::map<ArtifactId, uint32_t> m_replicas;
    std::map<HostId, std::set<EndpointId>> m_endpointsOnHost;
    std::map<HostId, Bytes> m_reservedOnHost;
    std::map<EndpointId, Bytes> m_reservedOnEndpoint;
    uint64_t m_nextSlot = 1;
    uint64_t m_nextFence = 1;

    void addEndpoint(const EndpointRecord &record);
    void removeFromHost(const EndpointRecord &record);
    void add(const Slot &slot);
    void releaseSlots(const EndpointId &endpoint, bool includeUnanswered);
    void remove(SlotId id);
};

} // namespace roserail
