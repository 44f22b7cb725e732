// The control hosts that a router knows, and the order in which it tries them.
//
// Pattern: the control hosts are split, and those of the smaller part know only each other. Which hosts exist is learned from any of
// them, but none can make the router forget others: it tries the one that it tried longest ago, so that it finds one that serves
// after as many attempts as it knows hosts.
#pragma once

#include "state/types.h"

#include <string>
#include <vector>

namespace roserail
{

class ControlHosts
{
public:
    // `offset`: which of the seeds is tried first, so that routers start with different ones.
    ControlHosts(std::vector<std::string> seeds, size_t offset);
    // Replaces the seeds: hosts to ask in addition to those that were named.
    void setSeeds(std::vector<std::string> seeds);
    // Returns the host to try next: the one tried longest ago, and among several the nearest.
    std::string next(Time now);
    // Records the hosts that another one named, the nearest first.
    void named(const std::vector<std::string> &hosts, Time now);
    // Returns the nearest host; empty if none has been named.
    const std::string &nearest() const;
    // Makes the host the next one to try.
    void preferNext(const std::string &host);
    // Returns the number of hosts that were named within the retention period.
    size_t size() const
    {
        return m_hosts.size();
    }

private:
    struct Host {
        std::string address;
        Time namedAt{};
        Time triedAt{};
    };
    static Host *find(std::vector<Host> &hosts, const std::string &address);

    std::vector<Host> m_hosts; // as named last, then those that were named before
    std::vector<Host> m_seeds;
};

} // namespace roserail
