#include "transport/ingress.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/http.h"

#include <algorithm>
#include <array>

namespace roserail
{

using namespace tunables;

namespace
{

struct Share {
    const char *name;
    BufferQuota IngressBudget::*quota;
};

constexpr std::array Shares{Share{"heads", &IngressBudget::heads}, Share{"bodies", &IngressBudget::bodies},
                            Share{"answers", &IngressBudget::answers}};

std::vector<Transfer> transfersOf(const std::vector<CallerConnection *> &connections)
{
    std::vector<Transfer> transfers;
    for (const CallerConnection *it : connections)
        transfers.push_back(it->transfer());
    return transfers;
}

} // namespace

Ingress::Ingress(const ProcessLimits &limits)
    : m_budget(limits.memory, limits.descriptors)
{
}

// Returns the connections that may be broken off to make room in the quota: requests that are still being read, and answers that are
// being written.
std::vector<CallerConnection *> Ingress::holders(const BufferQuota &quota) const
{
    std::vector<CallerConnection *> found;
    for (const HttpServer *server : m_servers) {
        for (const std::shared_ptr<CallerConnection> &it : server->m_connections) {
            const bool reading = it->m_stage == ConnectionStage::Reading && !it->m_brokenOff;
            const bool holds = (&quota == &m_budget.heads && reading && it->m_headShare.bytes() > 0)
                || (&quota == &m_budget.bodies && reading && it->m_bodyShare.bytes() > 0)
                || (&quota == &m_budget.answers && it->m_writing && !it->m_aborted);
            if (holds)
                found.push_back(it.get());
        }
    }
    return found;
}

bool Ingress::breakOffSlowest(const BufferQuota &quota)
{
    static Counter &broken = metrics().counter("roserail_callers_broken_off_total");
    const Time now = monotonicNow();
    const std::vector<CallerConnection *> connections = holders(quota);
    const std::optional<size_t> slowest = slowestTransfer(transfersOf(connections), now);
    if (!slowest)
        return false;
    CallerConnection &connection = *connections[*slowest];
    broken.add();
    logEvent("caller_broken_off",
             {{"peer", connection.peer()},
              {"writing", connection.m_writing},
              {"bytes", connection.m_transfer.bytes},
              {"after_ms", (now - connection.m_transfer.startedAt).count()},
              {"used_bytes", quota.usedBytes()},
              {"limit_bytes", quota.totalBytes()}});
    connection.breakOff();
    return true;
}

bool Ingress::grow(BufferShare &share, size_t bytes, size_t maxBytes)
{
    while (!share.resize(bytes, maxBytes)) {
        if (bytes > maxBytes || !share.quota().canFit(bytes) || !breakOffSlowest(share.quota()))
            return false;
    }
    return true;
}

Millis Ingress::retryDelay() const
{
    return roomExpectedIn(transfersOf(holders(m_budget.bodies)), monotonicNow());
}

void Ingress::logRefusal(std::string_view event, const BufferShare &share, size_t bytes) const
{
    static Counter &refused = metrics().counter("roserail_refusals_for_lack_of_memory_total");
    refused.add();
    const auto it = std::find_if(Shares.begin(), Shares.end(), [&](const Share &row) { return &(m_budget.*row.quota) == &share.quota(); });
    logEvent(
        event,
        {{"share", it->name}, {"bytes", bytes}, {"used_bytes", share.quota().usedBytes()}, {"limit_bytes", share.quota().totalBytes()}});
}

void Ingress::review(Time now)
{
    if (now < m_reviewedAt + IngressReviewInterval)
        return;
    m_reviewedAt = now;
    size_t usedBytes = 0;
    for (const Share &it : Shares) {
        const BufferQuota &quota = m_budget.*it.quota;
        usedBytes += quota.usedBytes();
        metrics().counter(fmt::format("roserail_buffer_bytes{{share=\"{}\"}}", it.name)).set(quota.usedBytes());
        metrics().counter(fmt::format("roserail_buffer_peak_bytes{{share=\"{}\"}}", it.name)).set(quota.peakBytes());
    }
    m_trimmer.review(usedBytes);
}

} // namespace roserail
