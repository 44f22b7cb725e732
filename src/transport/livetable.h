// The registry of a control host, protected by a mutex: some threads merge received changes into it, others wait for
// changes and push them to peers.
#pragma once

#include "coordination/registry.h"
#include "protocol/log.h"

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
            lost = m_registry.expire(now);
        }
        // This runs on each poll of a router: threads are woken only if there is a change.
        if (!lost.empty())
            m_changed.notify_all();
        for (const std::string &it : lost)
            logEvent("silent", {{"id", it}, {"state", "lost"}});
    }
    // Waits until the registry is newer than `version`, the configuration changes, `stop` returns true after a
    // notification, or the time-out expires.
    void waitForChange(uint64_t version, Millis timeout, const std::function<bool()> &stop)
    {
        std::unique_lock lock(m_mutex);
        const uint64_t changes = m_configurationChanges;
        m_changed.wait_for(lock, timeout, [&] { return m_registry.version() > version || m_configurationChanges != changes || stop(); });
    }
    // Returns the newest committed configuration that this process knows.
    pb::WholeConfiguration configuration() const
    {
        const std::lock_guard lock(m_mutex);
        return m_configuration;
    }
    uint64_t configurationVersion() const
    {
        const std::lock_guard lock(m_mutex);
        return m_configuration.version();
    }
    // Stores a configuration if it is newer than the known one.
    void mergeConfiguration(const pb::WholeConfiguration &configuration)
    {
        const std::lock_guard lock(m_mutex);
        if (configuration.version() <= m_configuration.version())
            return;
        m_configuration = configuration;
        ++m_configurationChanges;
        m_changed.notify_all();
        logEvent("configuration", {{"version", configuration.version()}});
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
    // Wakes the threads in waitForChange(), which then check `stop`.
    void notifyAll()
    {
        m_changed.notify_all();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Registry m_registry;
    pb::WholeConfiguration m_configuration;
    uint64_t m_configurationChanges = 0;
    OrderPermission m_orderPermission;
};

} // namespace roserail
