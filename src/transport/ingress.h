// Memory and connections that the HTTP servers of a process share: breaks off callers that have stalled when memory runs short, and
// publishes what is in use.
#pragma once

#include "coordination/ingressbudget.h"
#include "protocol/settings.h"
#include "transport/memorytrimmer.h"

#include <vector>

namespace roserail
{

class CallerConnection;
class HttpServer;

// Not thread-safe, except for the quotas of the budget: its servers run on one thread.
class Ingress
{
public:
    explicit Ingress(const ProcessLimits &limits);

    void add(HttpServer &server)
    {
        m_servers.push_back(&server);
    }
    void remove(HttpServer &server)
    {
        std::erase(m_servers, &server);
    }
    IngressBudget &budget()
    {
        return m_budget;
    }
    // Sets the bytes of a share, for which callers that have stalled may be broken off. Returns false if there is no room.
    bool grow(BufferShare &share, size_t bytes, size_t maxBytes);
    // Returns the Retry-After of a request that is refused for lack of memory.
    Millis retryDelay() const;
    void logRefusal(std::string_view event, const BufferShare &share, size_t bytes) const;
    // Publishes metrics, and gives memory back to the system after a crowd, at intervals.
    void review(Time now);

private:
    bool breakOffSlowest(const BufferQuota &quota);
    std::vector<CallerConnection *> holders(const BufferQuota &quota) const;

    IngressBudget m_budget;
    std::vector<HttpServer *> m_servers;
    Time m_reviewedAt{};
    MemoryTrimmer m_trimmer;
};

} // namespace roserail
