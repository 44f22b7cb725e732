// State of a router and its session with the control leader: the configuration and the directory of endpoints, both
// under one lease, the request queues in shards, and the endpoints' reports that are to be sent to the leader.
#pragma once

#include "coordination/dispatcher.h"
#include "coordination/retry.h"
#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/attempt.h"
#include "transport/controlclient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <thread>
#include <unordered_set>

namespace roserail
{

// A parsed revision of the configuration.
struct Configuration {
    Revision revision;
    Document document;
};

class Router
{
public:
    explicit Router(RouterSettings settings);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Queues the request and blocks until it is granted an endpoint or refused.
    Result<Grant> acquire(const std::string &pool, QueuedRequest request);
    // Releases the grant after an attempt of the given duration.
    void release(const std::string &pool, const Grant &grant, const QueuedRequest &request, AttemptEnd end, Millis duration);
    // Queues an endpoint's report for the next heartbeat, unless a report of a later incarnation is queued.
    void queueReport(pb::EndpointReport report);
    Result<pb::CommandResult> execute(const pb::Command &command, Time deadline);

    std::shared_ptr<const Configuration> configuration() const;
    Time leaseUntil() const;
    bool hasLease(Time now) const;
    bool quarantined(Fingerprint fingerprint) const;
    // Returns whether the leader's list of routers contains the router. Draining and lost routers are not listed.
    bool routerAlive(const std::string &router) const;
    std::vector<pb::RouterAddress> addresses() const;
    // Returns the address of an endpoint, if the directory lists it with this incarnation.
    std::optional<std::string> addressOf(const EndpointId &endpoint, uint64_t incarnation) const;
    TicketId nextTicket();
    // Returns the step after an attempt. Retries count against this router's retry budget.
    ExchangeStep nextExchangeStep(const ExchangeState &state, AttemptEnd end);
    void requestStarted();
    void requestEnded();
    size_t activeRequests() const;
    // Removes this router from the list of addresses that callers receive. Requests that end before `requestsEnd` are still served; then
    // endRequests() is called.
    void drain(Time requestsEnd);
    // Refuses new requests from now on.
    void refuseRequests();
    bool refusesRequests() const
    {
        return m_refusing;
    }
    // Returns an error if a request with this deadline must be sent to another router, as this one stops.
    Result<void> admits(Time deadline) const;
    // Refuses the requests that wait for an endpoint and ends the connections to endpoints. To be repeated until no request is active.
    void endRequests();
    // Returns when a request with this deadline ends at the latest.
    Time requestsEnd(Time deadline) const
    {
        return std::min(deadline, timeFromMillis(m_requestsEndMs));
    }
    AttemptConnections &connections()
    {
        return m_connections;
    }
    // Returns whether the leader has answered a heartbeat that announced the drain, after which it removes this router from
    // the lists of all routers. True also without a lease.
    bool drainAnnounced() const;
    const RouterSettings &settings() const
    {
        return m_settings;
    }
    uint64_t incarnation() const
    {
        return m_incarnation;
    }
    std::string dump() const;

private:
    // Queues of the pools whose names hash to this shard.
    struct Shard {
        std::mutex mutex;
        std::map<std::string, Dispatcher> dispatchers;
        std::map<TicketId, std::promise<Result<Grant>>> waiters;
    };

    Shard &shardOf(const std::string &pool);
    Dispatcher &dispatcherOf(Shard &shard, const std::string &pool);
    // Decides on the requests of one queue and passes the results to the waiting threads. The shard's mutex must be held.
    void applyDecisions(Shard &shard, Dispatcher &dispatcher, Time now);
    void runQueues();
    void runHeartbeats();
    void sendHeartbeat();
    pb::HeartbeatRequest buildHeartbeat();
    void applyReply(const pb::HeartbeatReply &reply, Time sentAt);
    void applyConfiguration(const pb::HeartbeatReply &reply);
    void applyDirectory(const pb::HeartbeatReply &reply, Time lease, Time now);
    void wakeHeartbeat();

    RouterSettings m_settings;
    uint64_t m_incarnation;
    ControlClient m_control;
    std::array<Shard, tunables::QueueShards> m_shards;
    std::atomic<uint64_t> m_nextTicket{1};
    std::atomic<int64_t> m_leaseUntilMs{INT64_MIN / 4};
    std::atomic<size_t> m_active{0};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_drainAnnounced{false};
    std::atomic<bool> m_refusing{false};
    std::atomic<int64_t> m_requestsEndMs{INT64_MAX};
    AttemptConnections m_connections;
    std::atomic<bool> m_stop{false};

    mutable std::mutex m_stateMutex; // guards the members up to the next mutex
    std::shared_ptr<const Configuration> m_configuration;
    std::map<std::string, SectionContent> m_sections; // parsed
    std::map<EndpointId, pb::DirectoryEntry> m_directory;
    std::vector<pb::RouterAddress> m_routers;
    std::unordered_set<uint64_t> m_quarantined;
    uint64_t m_directoryVersion = 0;
    uint64_t m_routersVersion = 0;
    uint64_t m_leaderTerm = 0;

    std::mutex m_reportsMutex;
    std::map<EndpointId, pb::EndpointReport> m_pendingReports;

    std::mutex m_budgetMutex;
    RetryBudget m_budget;

    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    bool m_wakeRequested = false;
    std::thread m_queueThread;
    std::thread m_heartbeatThread;
};

} // namespace roserail
