#include "state/ledger.h"

#include "state/invariant.h"

#include <algorithm>
#include <fmt/format.h>

namespace roserail
{

namespace
{

LedgerResult refuse(pb::Verdict verdict, std::string message)
{
    return LedgerResult{verdict, std::move(message), {}, {}};
}

pb::Slot toProto(const Slot &slot)
{
    pb::Slot out;
    out.set_id(slot.id.value());
    out.set_endpoint(slot.endpoint.value());
    out.set_incarnation(slot.incarnation);
    out.set_host(slot.host.value());
    out.set_artifact(slot.artifact.value());
    out.set_base(slot.base.value());
    out.set_version(slot.version);
    out.set_answered_sequence(slot.answeredSequence);
    out.set_bytes(slot.bytes);
    out.set_last_order(slot.lastOrder == OrderKind::Load ? pb::ORDER_LOAD : pb::ORDER_UNLOAD);
    out.set_last_fence(slot.lastFence.value());
    for (const Fence &it : slot.unanswered)
        out.add_unanswered(it.value());
    return out;
}

Slot fromProto(const pb::Slot &in)
{
    Slot slot;
    slot.id = SlotId(in.id());
    slot.endpoint = EndpointId(in.endpoint());
    slot.incarnation = in.incarnation();
    slot.host = HostId(in.host());
    slot.artifact = ArtifactId(in.artifact());
    slot.base = ArtifactId(in.base());
    slot.version = in.version();
    slot.answeredSequence = in.answered_sequence();
    slot.bytes = in.bytes();
    slot.lastOrder = in.last_order() == pb::ORDER_LOAD ? OrderKind::Load : OrderKind::Unload;
    slot.lastFence = Fence(in.last_fence());
    for (const uint64_t it : in.unanswered())
        slot.unanswered.insert(Fence(it));
    return slot;
}

// Keeps a slot across a restart: an order for it may still arrive at the endpoint's new process.
void moveToIncarnation(Slot &slot, uint64_t incarnation)
{
    slot.incarnation = incarnation;
    slot.answeredSequence = 0;
}

template <typename Key>
Bytes lookup(const std::map<Key, Bytes> &map, const Key &key)
{
    const auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
}

} // namespace

const Slot *Ledger::slot(SlotId id) const
{
    const auto it = m_slots.find(id);
    return it == m_slots.end() ? nullptr : &it->second;
}

const Slot *Ledger::slotOf(const EndpointId &endpoint, const ArtifactId &artifact) const
{
    const auto it = m_byEndpointArtifact.find(EndpointArtifact{endpoint, artifact});
    return it == m_byEndpointArtifact.end() ? nullptr : slot(it->second);
}

bool Ledger::hasAdapters(const EndpointId &endpoint, const ArtifactId &model) const
{
    const auto it = m_adapterSlots.find(EndpointArtifact{endpoint, model});
    return it != m_adapterSlots.end() && it->second > 0;
}

const EndpointRecord *Ledger::endpoint(const EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

uint32_t Ledger::replicas(const ArtifactId &artifact) const
{
    const auto it = m_replicas.find(artifact);
    return it == m_replicas.end() ? 0 : it->second;
}

Bytes Ledger::reservedOnHost(const HostId &host) const
{
    return lookup(m_reservedOnHost, host);
}

Bytes Ledger::reservedOnEndpoint(const EndpointId &endpoint) const
{
    return lookup(m_reservedOnEndpoint, endpoint);
}

Bytes Ledger::hostBytes(const HostId &host) const
{
    const auto it = m_endpointsOnHost.find(host);
    if (it == m_endpointsOnHost.end())
        return 0;
    Bytes bytes = UINT64_MAX;
    for (const EndpointId &endpoint : it->second)
        bytes = std::min(bytes, m_endpoints.at(endpoint).hostBytes);
    return bytes;
}

void Ledger::addEndpoint(const EndpointRecord &record)
{
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end())
        removeFromHost(known->second);
    m_endpoints[record.id] = record;
    m_endpointsOnHost[record.host].insert(record.id);
}

void Ledger::removeFromHost(const EndpointRecord &record)
{
    const auto it = m_endpointsOnHost.find(record.host);
    it->second.erase(record.id);
    if (it->second.empty())
        m_endpointsOnHost.erase(it);
}

void Ledger::add(const Slot &slot)
{
    m_reservedOnHost[slot.host] += slot.bytes;
    m_reservedOnEndpoint[slot.endpoint] += slot.bytes;
    m_byEndpointArtifact[EndpointArtifact{slot.endpoint, slot.artifact}] = slot.id;
    ++m_replicas[slot.artifact];
    if (!slot.base.value().empty())
        ++m_adapterSlots[EndpointArtifact{slot.endpoint, slot.base}];
    m_slots[slot.id] = slot;
}

void Ledger::remove(SlotId id)
{
    const auto it = m_slots.find(id);
    invariant(it != m_slots.end(), "only an existing slot is released");
    invariant(m_reservedOnHost[it->second.host] >= it->second.bytes, "a host's reserved memory never goes below zero");
    m_reservedOnHost[it->second.host] -= it->second.bytes;
    m_reservedOnEndpoint[it->second.endpoint] -= it->second.bytes;
    m_byEndpointArtifact.erase(EndpointArtifact{it->second.endpoint, it->second.artifact});
    if (--m_replicas[it->second.artifact] == 0)
        m_replicas.erase(it->second.artifact);
    const EndpointArtifact base{it->second.endpoint, it->second.base};
    if (!it->second.base.value().empty() && --m_adapterSlots[base] == 0)
        m_adapterSlots.erase(base);
    m_slots.erase(it);
}

LedgerResult Ledger::registerEndpoint(const EndpointRecord &record)
{
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end()) {
        if (record.incarnation < known->second.incarnation)
            return refuse(pb::VERDICT_STALE, "the endpoint has already announced a later incarnation");
        if (record.incarnation == known->second.incarnation)
            return {};
    }
    // The process that held the artifacts has ended. An order that arrives late would load its artifact in the new process.
    releaseSlots(record.id, known != m_endpoints.end() && known->second.host != record.host);
    for (std::pair<const SlotId, Slot> &it : m_slots) {
        if (it.second.endpoint == record.id)
            moveToIncarnation(it.second, record.incarnation);
    }
    addEndpoint(record);
    return {};
}

LedgerResult Ledger::forgetEndpoint(const EndpointId &id)
{
    const EndpointRecord *record = endpoint(id);
    if (record == nullptr)
        return refuse(pb::VERDICT_STALE, fmt::format("no endpoint '{}' is registered; see 'roserailctl status'", id.value()));
    removeFromHost(*record);
    m_endpoints.erase(id);
    releaseSlots(id, true);
    return {};
}

LedgerResult Ledger::endIncarnation(const EndpointId &id, uint64_t incarnation)
{
    const EndpointRecord *record = endpoint(id);
    if (record == nullptr || record->incarnation != incarnation)
        return refuse(pb::VERDICT_STALE, "the endpoint is not registered with this incarnation");
    releaseSlots(id, false);
    return {};
}

void Ledger::releaseSlots(const EndpointId &endpoint, bool includeUnanswered)
{
    std::vector<SlotId> ended;
    for (const std::pair<const SlotId, Slot> &it : m_slots) {
        if (it.second.endpoint == endpoint && (includeUnanswered || it.second.unanswered.empty()))
            ended.push_back(it.first);
    }
    for (const SlotId &it : ended)
        remove(it);
}

LedgerResult Ledger::reserve(const EndpointId &endpoint, uint64_t incarnation, const Artifact &artifact)
{
    const EndpointRecord *record = this->endpoint(endpoint);
    if (record == nullptr || record->incarnation != incarnation)
        return refuse(pb::VERDICT_STALE, "the endpoint has restarted or is not registered");
    if (slotOf(endpoint, artifact.id) != nullptr)
        return refuse(pb::VERDICT_NO_CAPACITY, "the endpoint already has a slot for the artifact");
    if (replicas(artifact.id) >= artifact.maxReplicas)
        return refuse(pb::VERDICT_NO_CAPACITY,
                      "the artifact already has the maximum number of replicas; raise replicas.max in the document");
    const Slot *base = artifact.isAdapter() ? slotOf(endpoint, artifact.base) : nullptr;
    if (artifact.isAdapter() && (base == nullptr || base->lastOrder != OrderKind::Load))
        return refuse(pb::VERDICT_NO_CAPACITY, "the adapter's base model is neither loaded nor loading on the endpoint; load it first");
    if (reservedOnEndpoint(endpoint) + artifact.bytes > record->endpointBytes)
        return refuse(pb::VERDICT_NO_CAPACITY, "the endpoint has too little unreserved memory");
    if (reservedOnHost(record->host) + artifact.bytes > hostBytes(record->host))
        return refuse(pb::VERDICT_NO_CAPACITY, "the host has too little unreserved memory");

    Slot slot;
    slot.id = SlotId(m_nextSlot++);
    slot.endpoint = endpoint;
    slot.incarnation = incarnation;
    slot.host = record->host;
    slot.artifact = artifact.id;
    slot.base = artifact.base;
    slot.version = artifact.version;
    slot.bytes = artifact.bytes;
    slot.lastFence = Fence(m_nextFence++);
    slot.unanswered.insert(slot.lastFence);
    add(slot);
    checkMemory(slot.host);
    invariant(replicas(artifact.id) <= artifact.maxReplicas, "an artifact never has more slots than its maximum of replicas");
    return LedgerResult{pb::VERDICT_OK, "", slot.id, slot.lastFence};
}

void Ledger::checkMemory(const HostId &host) const
{
    Bytes sum = 0;
    for (const std::pair<const SlotId, Slot> &it : m_slots)
        sum += it.second.host == host ? it.second.bytes : 0;
    invariant(sum == reservedOnHost(host), "a host's reserved memory is the sum of its slots");
    invariant(sum <= hostBytes(host), "a host's memory is never overcommitted");
}

LedgerResult Ledger::sendOrder(SlotId id, OrderKind kind)
{
    const auto it = m_slots.find(id);
    if (it == m_slots.end())
        return refuse(pb::VERDICT_STALE, "the slot has been released");
    Slot &slot = it->second;
    if (kind == OrderKind::Unload && hasAdapters(slot.endpoint, slot.artifact))
        return refuse(pb::VERDICT_MAY_ARRIVE, "adapters of the model have slots on the endpoint; unload them first");
    slot.lastOrder = kind;
    slot.lastFence = Fence(m_nextFence++);
    slot.unanswered.insert(slot.lastFence);
    return LedgerResult{pb::VERDICT_OK, "", id, slot.lastFence};
}

LedgerResult Ledger::answerOrder(SlotId id, Fence fence, uint64_t sequence)
{
    const auto it = m_slots.find(id);
    if (it == m_slots.end())
        return refuse(pb::VERDICT_STALE, "the slot has been released");
    it->second.unanswered.erase(fence);
    it->second.answeredSequence = std::max(it->second.answeredSequence, sequence);
    return LedgerResult{pb::VERDICT_OK, "", id, fence};
}

LedgerResult Ledger::release(SlotId id, Fence reportedFence, uint64_t sequence)
{
    const Slot *slot = this->slot(id);
    if (slot == nullptr)
        return refuse(pb::VERDICT_STALE, "the slot has been released");
    if (sequence <= slot->answeredSequence)
        return refuse(pb::VERDICT_STALE, "the report may be older than the last answered order");
    const EndpointRecord *record = endpoint(slot->endpoint);
    const bool fenced
        = record != nullptr && record->checksFencing && !slot->unanswered.empty() && reportedFence > *slot->unanswered.rbegin();
    if (!slot->unanswered.empty() && !fenced)
        return refuse(pb::VERDICT_MAY_ARRIVE, "an order for the slot may still arrive at the endpoint");
    remove(id);
    return LedgerResult{pb::VERDICT_OK, "", id, {}};
}

void Ledger::save(pb::MachineState &out) const
{
    out.set_next_slot(m_nextSlot);
    out.set_next_fence(m_nextFence);
    for (const std::pair<const EndpointId, EndpointRecord> &it : m_endpoints) {
        pb::EndpointRecord &record = *out.add_endpoints();
        record.set_endpoint(it.second.id.value());
        record.set_incarnation(it.second.incarnation);
        record.set_host(it.second.host.value());
        record.set_host_bytes(it.second.hostBytes);
        record.set_endpoint_bytes(it.second.endpointBytes);
        record.set_checks_fencing(it.second.checksFencing);
    }
    for (const std::pair<const SlotId, Slot> &it : m_slots)
        *out.add_slots() = toProto(it.second);
}

void Ledger::restore(const pb::MachineState &in)
{
    *this = Ledger();
    m_nextSlot = std::max<uint64_t>(1, in.next_slot());
    m_nextFence = std::max<uint64_t>(1, in.next_fence());
    for (const pb::EndpointRecord &it : in.endpoints()) {
        addEndpoint(EndpointRecord{EndpointId(it.endpoint()), it.incarnation(), HostId(it.host()), it.host_bytes(), it.endpoint_bytes(),
                                   it.checks_fencing()});
    }
    for (const pb::Slot &it : in.slots())
        add(fromProto(it));
}

} // namespace roserail
