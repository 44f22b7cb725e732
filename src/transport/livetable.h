// The registry of a control host, shared by the threads that hear of changes and those that pass them on.
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
    // Runs `read` while nothing changes.
    template <typename Read>
    auto read(Read read) const
    {
        const std::lock_guard lock(m_mutex);
        return read(m_registry);
    }
    // Runs `change` and wakes those who wait for changes.
    template <typename Change>
    auto change(Change change)
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
        return change(m_registry);
    }
    // Gives up what was silent for too long.
    void expire(Time now)
    {
        std::vector<std::string> lost;
        {
            const std::lock_guard lock(m_mutex);
            lost = m_registry.expire(now);
        }
        // Called for each sync of a router: nobody is woken for nothing.
        if (!lost.empty())
            m_changed.notify_all();
        for (const std::string &it : lost)
            logEvent("silent", {{"id", it}, {"state", "lost"}});
    }
    // Waits until there is a change after `version`, `stop` holds after a wake, or the time is up.
    void waitForChange(uint64_t version, Millis timeout, const std::function<bool()> &stop)
    {
        std::unique_lock lock(m_mutex);
        const uint64_t changes = m_configurationChanges;
        m_changed.wait_for(lock, timeout, [&] { return m_registry.version() > version || m_configurationChanges != changes || stop(); });
    }
    // The newest configuration that was committed, as far as this process has heard.
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
    // Since which term this process orders what engines hold, and from when on.
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
