// Planned work on a system of hosts, drawn from a seed: stops in series that overlap, reloads, changes of the configuration,
// endpoints that leave and join.
#pragma once

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

namespace roserail::test
{

using Ms = std::chrono::milliseconds;

constexpr Ms Grace{8000};
constexpr Ms PlanTime{36000};
constexpr Ms RepeatedStop{11600}; // from one stop of a host to the next
constexpr int HostCount = 4; // all have an entry process, those up to KeeperHosts a control process
constexpr int KeeperHosts = 3;
constexpr int MaxStoppingEntries = 2;
constexpr int FirstRunners = 7; // the others are of the plain service
constexpr int MaxRunner = 19; // limit of Fleet's ports

// Draws from `low` to `high`, with the same result on every platform.
inline int draw(std::mt19937 &random, int low, int high)
{
    return low + int(uint32_t(random()) % uint32_t(high - low + 1));
}

enum class Work {
    Stop,
    StopLeader,
    Reload,
    Join,
    Configure,
};

struct Step {
    Ms at{0}; // from the beginning of the plan
    Work work = Work::Stop;
    std::string process; // empty: no process is named
};

// Draws planned work, ordered by time.
class Plan
{
public:
    explicit Plan(uint32_t seed)
        : m_random(seed)
    {
        for (m_at = Ms(1000); m_at < PlanTime; m_at += Ms(draw(m_random, 300, 3500)))
            add(draw(m_random, 0, 9));
        std::stable_sort(m_steps.begin(), m_steps.end(), [](const Step &a, const Step &b) { return a.at < b.at; });
    }
    const std::vector<Step> &steps() const
    {
        return m_steps;
    }

private:
    void add(int kind)
    {
        const int host = draw(m_random, 1, HostCount);
        const int other = host % HostCount + 1;
        if (kind <= 2 && stopEntry(host, m_at))
            configureAround();
        if (kind == 3 && stopKeeper(host, m_at))
            stopKeeper(host, m_at + RepeatedStop);
        if ((kind == 4 || kind == 5) && stopEntry(host, m_at)) {
            stopKeeper(host, m_at);
            configureAround();
        }
        if (kind == 6 && stopEntry(host, m_at)) {
            stopKeeper(host, m_at);
            stopEntry(other, m_at + Ms(1000));
            stopKeeper(other, m_at + Ms(1000));
        }
        if (kind == 7) {
            m_steps.push_back({m_at, Work::StopLeader, ""});
            configureAround();
        }
        if (kind == 8) {
            m_steps.push_back({m_at, Work::Reload, fmt::format("entry-{}", host)});
            m_steps.push_back({m_at, Work::Reload, fmt::format("keeper-{}", host % KeeperHosts + 1)});
        }
        if (kind == 9 && m_lastRunner < MaxRunner) {
            m_steps.push_back({m_at, Work::Join, fmt::format("runner-{}", ++m_lastRunner)});
            m_steps.push_back({m_at + Ms(draw(m_random, 0, 1500)), Work::Stop, fmt::format("runner-{}", m_lastRunner - 4)});
        }
    }
    // Returns false if the process, or too many, may still be stopping.
    bool stopEntry(int host, Ms at)
    {
        const auto stopping = std::count_if(m_entryFreeAt, m_entryFreeAt + HostCount + 1, [at](Ms it) { return it > at; });
        if (m_entryFreeAt[host] > at || stopping >= MaxStoppingEntries)
            return false;
        m_entryFreeAt[host] = at + Grace + Ms(1000);
        m_steps.push_back({at, Work::Stop, fmt::format("entry-{}", host)});
        return true;
    }
    bool stopKeeper(int host, Ms at)
    {
        if (host <= KeeperHosts)
            m_steps.push_back({at, Work::Stop, fmt::format("keeper-{}", host)});
        return host <= KeeperHosts;
    }
    // Changes the configuration just before, at or after the signal, or not.
    void configureAround()
    {
        const int when = draw(m_random, 0, 3);
        if (when < 3)
            m_steps.push_back({m_at + Ms(when == 0 ? -100 : when == 1 ? 0 : draw(m_random, 100, 1500)), Work::Configure, ""});
    }

    std::mt19937 m_random;
    std::vector<Step> m_steps;
    Ms m_at{0};
    Ms m_entryFreeAt[HostCount + 1]{};
    int m_lastRunner = FirstRunners;
};

} // namespace roserail::test
