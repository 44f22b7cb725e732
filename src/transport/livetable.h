// The registry of a control host, protected by a mutex: some threads merge received changes into it, others wait for
// changes and push them to peers.
#pragma once

#include "coordination/confirmation.h"
#include "coordination/registry.h"
#include "coordination/softwareseen.h"
#include "coordination/staleness.h"
#include "protocol/log.h"
#include "state/configurationtransfer.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace roserail
{

class LiveTable
{
public:
    LiveTable(HeartbeatTimeouts timeouts, Time startedAt)
        : m_registry(timeouts, startedAt)
        , m_staleness(startedAt)
    {
    }
    // Runs `read` under the lock.
    template <typename Read>
    auto read(Read read) const
    {
        const std::lock_guard lock(m_mutex);
        return read(m_registry);
    }
    // Runs `change` under the lock and wakes the threads that wait for changes.
    template <typename Change>
    auto change(Change change)
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
        return change(m_registry);
    }
    // Marks entries without recent heartbeats as lost, and logs each.
    void expire(Time now)
    {
        std::vector<std::string> lost;
        {
            const std::lock_guard lock(m_mutex);
            if (now < m_nextExpiryAt)
                return;
            m_nextExpiryAt = now + ExpiryInterval;
            lost = m_registry.expire(now);
        }
        // This runs on each poll of a router: threads are woken only if there is a change.
        if (!lost.empty())
            m_changed.notify_all();
        for (const std::string &it : lost)
            logEvent("silent", {{"id", it}, {"state", "lost"}});
    }
    // Waits until `ready` returns true for the registry. It is called after each change and notification.
    template <typename Ready>
    void waitFor(Millis timeout, Ready ready)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [&] { return ready(m_registry); });
    }
    uint64_t configurationVersion() const
    {
        const std::lock_guard lock(m_mutex);
        return m_configuration.latest().version();
    }
    // Sets the next part of the configuration in a message to a process that has `version`; see addConfiguration().
    template <typename Message>
    void addConfigurationSince(uint64_t version, const pb::ConfigurationProgress *progress, Message &out)
    {
        const std::lock_guard lock(m_mutex);
        addConfiguration(m_configuration, version, progress, out);
    }
    // Stores a committed configuration if it is newer than the known one.
    void mergeConfiguration(const pb::WholeConfiguration &configuration)
    {
        const std::lock_guard lock(m_mutex);
        if (m_configuration.merge(configuration))
            logEvent("configuration", {{"version", configuration.version()}});
    }
    // Adds a piece of an update, and applies the update once it is complete.
    void mergeConfiguration(const pb::ConfigurationPiece &piece)
    {
        std::optional<pb::ConfigurationUpdate> update;
        {
            const std::lock_guard lock(m_mutex);
            update = m_receiver.add(piece);
        }
        if (update && update->has_whole())
            mergeConfiguration(update->whole());
        else if (update)
            mergeConfiguration(update->delta());
    }
    pb::ConfigurationProgress configurationProgress() const
    {
        const std::lock_guard lock(m_mutex);
        return m_receiver.progress();
    }
    // Applies a difference from the known configuration. Ignores one from another version.
    void mergeConfiguration(const pb::ConfigurationDelta &delta)
    {
        const std::lock_guard lock(m_mutex);
        const std::optional<pb::WholeConfiguration> configuration = applyDelta(m_configuration.latest(), delta);
        if (configuration && m_configuration.merge(*configuration))
            logEvent("configuration", {{"version", delta.version()}, {"base", delta.base()}});
    }
    // The versions of endpoints' software, as the replicated log lists them, and when the log was current. `complete`: it was since this
    // process started.
    void setSoftware(const pb::RecordSoftware &software, bool complete, Time currentAt)
    {
        const std::lock_guard lock(m_mutex);
        m_software = software;
        m_softwareChecksum = softwareChecksum(software);
        m_softwareComplete = complete;
        m_softwareConfirmed.record(currentAt, Millis(0));
    }
    // Sets the list in a reply to a process that has another one, its age, and whether it may lack versions.
    void addSoftwareUnless(uint64_t known, Time now, pb::SyncReply &out) const
    {
        const std::lock_guard lock(m_mutex);
        out.set_software_list(softwareList());
        out.set_software_age_ms(uint64_t(m_softwareConfirmed.age(now).count()));
        if (m_softwareChecksum != known)
            *out.mutable_software() = m_software;
    }
    // The latest term in which this process is or was the leader, and from when on it may send orders in that term.
    struct OrderPermission {
        uint64_t term = 0;
        Time ordersAllowedAt{};
    };
    void setOrderPermission(const OrderPermission &permission)
    {
        const std::lock_guard lock(m_mutex);
        m_orderPermission = permission;
    }
    OrderPermission orderPermission() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orderPermission;
    }
    void confirmByLog(Time currentAt)
    {
        const std::lock_guard lock(m_mutex);
        m_staleness.confirmByLog(currentAt);
    }
    void confirmByLeader(uint64_t newest, Time now)
    {
        const std::lock_guard lock(m_mutex);
        m_staleness.confirmByLeader(newest, m_configuration.latest().version(), now);
    }
    // Returns whether this host must refer routers to other control hosts, as its configuration may be an old one.
    bool isolated(Time now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_staleness.isolated(now);
    }
    // Returns the time since this host's configuration was known to be the newest.
    Millis stateAge(Time now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_staleness.age(now);
    }
    // Wakes the threads in waitFor(), which then check their condition.
    void notifyAll()
    {
        m_changed.notify_all();
    }

private:
    pb::SoftwareList softwareList() const
    {
        if (!m_softwareComplete)
            return pb::SOFTWARE_LIST_INCOMPLETE;
        const LiveKeeper *leader = m_registry.leader();
        return leader == nullptr || leader->state.keeps_software() ? pb::SOFTWARE_LIST_COMPLETE : pb::SOFTWARE_LIST_NOT_KEPT;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Registry m_registry;
    Time m_nextExpiryAt{};
    ConfigurationHistory m_configuration;
    ConfigurationReceiver m_receiver;
    OrderPermission m_orderPermission;
    StalenessWatch m_staleness;
    pb::RecordSoftware m_software;
    uint64_t m_softwareChecksum = 0;
    bool m_softwareComplete = false;
    Confirmation m_softwareConfirmed; // by the log

    static constexpr Millis ExpiryInterval{100};
};

} // namespace roserail
