#include "coordination/controlhosts.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

ControlHosts::ControlHosts(std::vector<std::string> seeds, size_t offset)
{
    std::rotate(seeds.begin(), seeds.begin() + long(offset % seeds.size()), seeds.end());
    setSeeds(std::move(seeds));
}

void ControlHosts::setSeeds(std::vector<std::string> seeds)
{
    std::vector<Host> next;
    for (std::string &it : seeds) {
        const Host *known = find(m_seeds, it);
        next.push_back(known == nullptr ? Host{std::move(it), Time(), Time()} : *known);
    }
    m_seeds = std::move(next);
}

ControlHosts::Host *ControlHosts::find(std::vector<Host> &hosts, const std::string &address)
{
    const auto it = std::find_if(hosts.begin(), hosts.end(), [&](const Host &host) { return host.address == address; });
    return it == hosts.end() ? nullptr : &*it;
}

std::string ControlHosts::next(Time now)
{
    Host *best = nullptr;
    for (std::vector<Host> *list : {&m_hosts, &m_seeds}) {
        for (Host &it : *list) {
            if (list == &m_seeds && find(m_hosts, it.address) != nullptr)
                continue;
            if (best == nullptr || it.triedAt < best->triedAt)
                best = &it;
        }
    }
    best->triedAt = now;
    return best->address;
}

void ControlHosts::named(const std::vector<std::string> &hosts, Time now)
{
    std::vector<Host> next;
    for (const std::string &it : hosts) {
        const Host *known = find(m_hosts, it);
        next.push_back(Host{it, now, known == nullptr ? Time() : known->triedAt});
    }
    for (const Host &it : m_hosts) {
        if (now < it.namedAt + ControlHostRetention && find(next, it.address) == nullptr)
            next.push_back(it);
    }
    if (next.size() > MaxKnownControlHosts)
        next.resize(MaxKnownControlHosts);
    m_hosts = std::move(next);
}

const std::string &ControlHosts::nearest() const
{
    static const std::string none;
    return m_hosts.empty() ? none : m_hosts.front().address;
}

void ControlHosts::preferNext(const std::string &host)
{
    Host *known = find(m_hosts, host);
    if (known != nullptr)
        known->triedAt = Time();
}

} // namespace roserail
