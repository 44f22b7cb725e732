#include "coordination/directory.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr uint32_t LoadLevels = 8;

// Quantises the load, so that small changes are not sent to every router.
uint32_t loadLevel(const pb::EndpointReport &report)
{
    if (report.capacity() == 0)
        return LoadLevels;
    return std::min(LoadLevels, report.running() * LoadLevels / report.capacity());
}

// Builds the entry that routers receive. It lists loaded artifacts whose slot is not being unloaded.
pb::DirectoryEntry visibleEntry(const pb::EndpointReport &report, const Ledger &ledger)
{
    pb::DirectoryEntry entry;
    entry.set_endpoint(report.endpoint());
    entry.set_incarnation(report.incarnation());
    entry.set_address(report.address());
    entry.set_zone(report.zone());
    entry.set_pool(report.pool());
    entry.set_service(report.service());
    entry.set_gone(report.leaving());
    entry.set_capacity(report.capacity());
    entry.set_load_level(loadLevel(report));
    for (const pb::ArtifactReport &it : report.artifacts()) {
        const Slot *slot = ledger.slotOf(EndpointId(report.endpoint()), ArtifactId(it.artifact()));
        const bool usable = it.state() == pb::ARTIFACT_LOADED && slot != nullptr && slot->lastOrder == OrderKind::Load;
        if (usable)
            *entry.add_artifacts() = it;
    }
    return entry;
}

} // namespace

void Directory::reset(Time now)
{
    *this = Directory();
    m_leadingSince = now;
}

void Directory::publish(EndpointView &view, pb::DirectoryEntry entry)
{
    if (view.version != 0 && entry.SerializeAsString() == view.visible.SerializeAsString())
        return;
    m_byVersion.erase(view.version);
    view.visible = std::move(entry);
    view.version = ++m_version;
    m_byVersion[view.version] = EndpointId(view.visible.endpoint());
}

void Directory::storeReport(const pb::EndpointReport &report, const Ledger &ledger, Time now)
{
    EndpointView &view = m_endpoints[EndpointId(report.endpoint())];
    const bool older = report.incarnation() < view.report.incarnation()
        || (report.incarnation() == view.report.incarnation() && report.sequence() <= view.report.sequence());
    if (older)
        return;
    view.report = report;
    view.expiresAt = now + EndpointReportTimeout;
    view.lost = false;
    publish(view, visibleEntry(report, ledger));
}

void Directory::refresh(const EndpointId &endpoint, const Ledger &ledger)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end() && !it->second.lost)
        publish(it->second, visibleEntry(it->second.report, ledger));
}

void Directory::expire(Time now)
{
    for (std::pair<const EndpointId, EndpointView> &it : m_endpoints) {
        if (now < it.second.expiresAt || it.second.lost)
            continue;
        it.second.lost = true;
        pb::DirectoryEntry entry = it.second.visible;
        entry.set_gone(true);
        entry.clear_artifacts();
        publish(it.second, std::move(entry));
    }
    const size_t removed = std::erase_if(
        m_routers, [now](const std::pair<const RouterId, RouterView> &it) { return it.second.leaseUntil + RouterLease < now; });
    m_routersVersion += removed;
}

void Directory::addDelta(const pb::HeartbeatRequest &request, pb::HeartbeatReply &reply) const
{
    const bool incremental = request.leader_term() == reply.term() && request.directory_version() != 0;
    reply.set_directory_full(!incremental);
    reply.set_directory_version(m_version);
    for (auto it = m_byVersion.upper_bound(incremental ? request.directory_version() : 0); it != m_byVersion.end(); ++it) {
        const pb::DirectoryEntry &entry = m_endpoints.at(it->second).visible;
        if (incremental || !entry.gone())
            *reply.add_endpoints() = entry;
    }
    reply.set_routers_version(m_routersVersion);
    if (incremental && request.routers_version() == m_routersVersion)
        return;
    for (const std::pair<const RouterId, RouterView> &it : m_routers) {
        if (it.second.draining)
            continue;
        pb::RouterAddress &address = *reply.add_routers();
        address.set_router(it.first.value());
        address.set_address(it.second.address);
        address.set_zone(it.second.zone);
    }
}

void Directory::addConfiguration(const pb::HeartbeatRequest &request, const StateMachine &machine, pb::HeartbeatReply &reply) const
{
    reply.set_revision(machine.revision().value());
    if (request.applied_revision() >= machine.revision().value())
        return;
    for (const std::pair<const std::string, pb::Section> &it : machine.sections()) {
        reply.add_section_names(it.first);
        if (it.second.revision() > request.applied_revision())
            *reply.add_sections() = it.second;
    }
}

void Directory::heartbeat(const pb::HeartbeatRequest &request, const StateMachine &machine, Time now, pb::HeartbeatReply &reply)
{
    for (const pb::EndpointReport &it : request.reports())
        storeReport(it, machine.ledger(), now);
    RouterView &router = m_routers[RouterId(request.router())];
    const bool changed
        = router.address != request.address() || router.draining != request.draining() || router.incarnation != request.incarnation();
    m_routersVersion += changed ? 1 : 0;
    router.incarnation = request.incarnation();
    router.address = request.address();
    router.zone = request.zone();
    router.draining = request.draining();
    router.appliedRevision = request.applied_revision();
    router.leaseUntil = now + RouterLease;
    reply.set_lease_ms(uint32_t(RouterLease.count()));
    addDelta(request, reply);
    addConfiguration(request, machine, reply);
    for (const Fingerprint &it : machine.quarantine().quarantined())
        reply.add_quarantined(it.value());
}

bool Directory::inForce(Revision revision, Time now) const
{
    // Routers may still hold a lease from the previous leader.
    if (now < m_leadingSince + RouterLease)
        return false;
    return std::all_of(m_routers.begin(), m_routers.end(), [&](const std::pair<const RouterId, RouterView> &it) {
        return it.second.leaseUntil <= now || it.second.appliedRevision >= revision.value();
    });
}

std::vector<pb::Command> Directory::registrations(const Ledger &ledger) const
{
    std::vector<pb::Command> commands;
    for (const std::pair<const EndpointId, EndpointView> &it : m_endpoints) {
        const pb::EndpointReport &report = it.second.report;
        const EndpointRecord *known = ledger.endpoint(it.first);
        const bool current = known != nullptr && known->incarnation >= report.incarnation();
        if (report.service() || current || it.second.lost)
            continue;
        pb::Command command;
        pb::RegisterEndpoint &body = *command.mutable_register_endpoint();
        body.set_endpoint(report.endpoint());
        body.set_incarnation(report.incarnation());
        body.set_host(report.host());
        body.set_host_bytes(report.host_bytes());
        body.set_endpoint_bytes(report.endpoint_bytes());
        body.set_checks_fencing(report.checks_fencing());
        commands.push_back(std::move(command));
    }
    return commands;
}

const pb::EndpointReport *Directory::report(const EndpointId &endpoint, uint64_t incarnation) const
{
    const auto it = m_endpoints.find(endpoint);
    const bool live = it != m_endpoints.end() && !it->second.lost && it->second.report.incarnation() == incarnation;
    return live ? &it->second.report : nullptr;
}

} // namespace roserail
