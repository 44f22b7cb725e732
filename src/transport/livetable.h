// The registry of a control host, shared by the threads that hear of changes and those that pass them on.
#pragma once

#include "coordination/registry.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace roserail
{

class LiveTable
{
public:
    LiveTable(Lifetimes lifetimes, Time startedAt)
        : m_registry(lifetimes, startedAt)
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
    // Waits until there is a change after `version`, `stop` holds after a wake, or the time is up.
    void waitForChange(uint64_t version, Millis timeout, const std::function<bool()> &stop)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [&] { return m_registry.version() > version || stop(); });
    }
    void wakeAll()
    {
        m_changed.notify_all();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Registry m_registry;
};

} // namespace roserail
