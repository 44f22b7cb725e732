// Reverse proxy of the general routes: forwards callers' requests to endpoints and relays the answers.
#pragma once

#include "coordination/accountshare.h"
#include "coordination/balancer.h"
#include "coordination/crashingparts.h"
#include "coordination/crashwatch.h"
#include "coordination/peerrouters.h"
#include "coordination/retry.h"
#include "coordination/retrywindow.h"
#include "coordination/softwareseen.h"
#include "coordination/stopschedule.h"
#include "coordination/streamversions.h"
#include "transport/endpointpool.h"
#include "transport/quotagate.h"

#include <memory>
#include <utility>

namespace roserail
{

class Forwarder
{
public:
    Forwarder(net::io_context &io, const PlatformCodec &codec, Balancer &balancer, RetryLimits &retries, CrashWatch &crashes,
              CrashingParts &crashingParts);

    // Sets a new configuration. Requests in progress keep theirs.
    void setTable(std::shared_ptr<const RouteTable> table)
    {
        m_table = std::move(table);
        wakeWaitingRequests();
    }
    const std::shared_ptr<const RouteTable> &table() const
    {
        return m_table;
    }
    // Wakes the requests that wait for a configuration or a model, after a change of the configuration or the registry.
    void wakeWaitingRequests();
    // The software versions that began the streams that callers may continue.
    SoftwareSeen &software()
    {
        return m_software;
    }
    // Called when a control host that was asked at `askedAt` has shown that its list of software versions was complete `age` before.
    // Since then, versions that this router has not heard of may have begun a stream.
    void confirmSoftware(Time askedAt, Millis age)
    {
        m_softwareConfirmed.record(askedAt, age);
        if (waitsForVersions())
            wakeWaitingRequests();
    }
    // The requests of client accounts in progress, where requests are ranked.
    AccountLoad &accountLoad()
    {
        return m_accountLoad;
    }
    // Adds this router's recent streams to its state while there are several software versions, and the streams to a poll whose versions
    // it wants to know.
    void addStreams(pb::SyncRequest &request, Time now) const;
    // Records the versions of streams that a control host has found.
    void recordFoundStreams(const pb::SyncReply &reply, Time now);
    bool waitsForVersions() const
    {
        return m_waitingForVersion > 0;
    }
    // Records a sync with a control host for the log: its version of the registry, the time, and when the configuration was
    // known to be the newest.
    void recordSync(uint64_t version, Time now, Time currentAt)
    {
        m_registryVersion = version;
        m_syncedAt = now;
        m_currentAt = currentAt;
    }
    // Records that no newer configuration was in force at that time.
    void confirmConfiguration(Time at)
    {
        m_newestAt = std::max(m_newestAt, at);
    }
    // Sets for how long API keys are accepted after the configuration was known to be the newest; none: without an end.
    void setKeysValidFor(std::optional<Millis> time)
    {
        m_keysValidFor = time;
    }
    // Called when a request begins to wait for a model.
    void onWait(std::function<void()> callback)
    {
        m_onWait = std::move(callback);
    }
    // Called when an endpoint has said something about itself that the control hosts are to learn soon.
    void onReport(std::function<void()> callback)
    {
        m_onReport = std::move(callback);
    }
    // Sets the time before which the control leader sends no orders, so that no model is loaded.
    void setOrdersAllowedAt(Time from)
    {
        m_ordersAllowedAt = from;
    }
    Task<> handle(CallerConnection &caller);
    // Serves a request that another router has passed on, which it is never passed on from here.
    Task<> handleRelayed(CallerConnection &caller);
    // Refuses requests that no endpoint has run and that might not end before the process does, from now on.
    void drain(const StopSchedule &schedule);
    // Gives all requests in progress their final answers; streams that have begun are broken off.
    void endRequests();
    // Enables passing requests on to other routers. `self`: the id of this one.
    void setPeers(PeerRouters *peers, std::string self)
    {
        m_peers = peers;
        m_self = std::move(self);
    }
    // Enables the quotas of client accounts.
    void setQuotas(QuotaGate *quotas)
    {
        m_quotas = quotas;
    }
    size_t active() const
    {
        return m_inProgress.size();
    }
    // Logs the requests in progress, which end with the process and get no answer, or only part of one.
    void logCutRequests() const;
    EndpointPool &pool()
    {
        return m_pool;
    }

private:
    struct Request;
    struct Cancellation;
    // What may identify the cause if the endpoint has crashed. The request itself may have ended when that is known.
    struct InterruptedRequest {
        std::string id;
        Fingerprint fingerprint;
        std::vector<PromptPartId> sharedParts; // of its prompt, which other requests may have as well
        uint64_t events = 0; // of its stream that were received
    };

    Task<> run(Request &request);
    Task<> serve(Request &request);
    Task<> waitForConfiguration(Request &request);
    std::optional<std::pair<Error, unsigned>> identifyAccount(Request &request) const;
    bool keyTakenAway(const Request &request) const;
    bool limitedByQuota(const Request &request) const;
    Task<bool> takeQuota(Request &request);
    static void refuseByQuota(Request &request, Time now);
    Task<> renewQuota(Request &request);
    bool quotaExpired(const Request &request) const;
    void giveQuotaBack(const Request &request);
    static bool hasEnded(Request &request);
    bool isFromRouter(const CallerConnection &caller) const;
    void countByAccount(const Request &request, std::string_view outcome) const;
    static AccountId accountId(const Request &request);
    Task<> waitUntil(Request &request, const std::function<bool()> &condition);
    bool mayBegin(const Request &request) const;
    static void refuseByStop(Request &request);
    Task<> forward(Request &request);
    Task<std::optional<EndpointChoice>> findEndpoint(Request &request);
    Task<std::optional<EndpointChoice>> waitForModel(Request &request);
    Task<AttemptEnd> attempt(Request &request, const EndpointChoice &choice);
    bool refuseForSlots(Request &request);
    void setRank(Request &request, const EndpointChoice &choice, Time now) const;
    std::optional<EndpointChoice> choosePeer(const Request &request) const;
    Task<AttemptEnd> relayAttempt(Request &request, const EndpointChoice &choice);
    Task<AttemptEnd> readRelayOutcome(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    std::vector<HeaderField> relayHeaders(const Request &request) const;
    static HeaderField relayOutcome(const Request &request, const Error &error, unsigned status);
    Task<EndpointConnectionPtr> connect(std::string endpoint, std::string address);
    Task<> probe(std::string endpoint, std::string address);
    Task<bool> probeEndpoints();
    Task<bool> selectVersion(Request &request);
    Task<> askForVersion(Request &request);
    std::set<SoftwareVersion> softwareVersions(const ServiceId &service, Time now) const;
    Task<bool> confirmIncarnation(Request &request, const EndpointChoice &choice, EndpointConnection &connection);
    static void closeOnCancel(Request &request, EndpointConnection &connection);
    Task<AttemptEnd> exchangeOn(Request &request, const EndpointChoice &choice, EndpointConnectionPtr connection);
    Task<AttemptEnd> exchange(Request &request, const EndpointChoice &choice, EndpointConnection &connection, bool &reusable);
    Task<bool> processEnded(std::string address);
    Task<bool> reachesOtherEndpoint(std::string endpoint);
    Task<> compareEndpoints(std::string endpoint);
    static InterruptedRequest interruptedRequest(const Request &request);
    Task<> checkForCrash(InterruptedRequest request, EndpointChoice choice);
    void recordAdvice(const Request &request, const EndpointChoice &choice, const struct EndpointAnswer &answer);
    void recordCapacity(const Request &request, const EndpointChoice &choice, const struct EndpointAnswer &answer, Time now);
    bool lacksRecordOnly(const EndpointRequirements &requirements) const;
    bool refuseIfPaused(Request &request);
    static void refuseRestricted(Request &request, const Restriction &restriction, Time now);
    Task<std::optional<EndpointChoice>> waitForCapacity(Request &request);
    Task<std::optional<EndpointChoice>> waitForChoice(Request &request, Time until);
    Task<bool> readNextHead(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<bool> skipBody(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<bool> readHead(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<AttemptEnd> relay(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<AttemptEnd> relayStream(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer);
    Task<bool> forwardPiece(Request &request, const struct EndpointAnswer &answer, const std::string &piece, bool last);
    Task<bool> readBody(Request &request, EndpointConnection &connection, struct EndpointAnswer &answer, std::vector<char> &buf, size_t &n);
    std::string buildAnswerHead(const Request &request, const struct EndpointAnswer &answer) const;
    Task<> refuse(Request &request, const Error &error, unsigned status);
    Task<> finish(Request &request, RouteStep step, AttemptEnd end);
    std::string buildRequestHead(const Request &request, const EndpointChoice &choice, Time now) const;
    Task<> watchCaller(CallerConnection &caller, std::shared_ptr<Cancellation> cancellation);
    void logRequest(const Request &request, std::string_view outcome) const;
    void logSend(const Request &request, const EndpointChoice &choice, bool reused, Time now) const;
    void logWait(const Request &request, Time now, Time until) const;
    void logFailedAttempt(const Request &request, AttemptEnd end, RouteStep step, Time now) const;

    net::io_context &m_io;
    const PlatformCodec &m_codec;
    Balancer &m_balancer;
    AccountLoad m_accountLoad;
    SlotTimes m_slotTimes;
    RetryLimits &m_retries;
    CrashWatch &m_crashes;
    CrashingParts &m_crashingParts;
    EndpointPool m_pool;
    std::shared_ptr<const RouteTable> m_table;
    std::function<void()> m_onWait;
    std::function<void()> m_onReport;
    std::set<net::steady_timer *> m_waitTimers;
    std::map<ServiceId, size_t> m_waitingForCapacity; // requests
    StreamVersions m_streamVersions;
    SoftwareSeen m_software;
    Confirmation m_softwareConfirmed; // of the list of versions, by control hosts
    size_t m_waitingForVersion = 0; // requests that continue streams
    std::map<StreamId, size_t> m_wantedStreams; // with the number of requests that continue each
    QuotaGate *m_quotas = nullptr; // null: accounts are not limited
    PeerRouters *m_peers = nullptr; // null: requests are not passed on
    std::string m_self;
    std::set<Request *> m_inProgress;
    size_t m_activeRelayed = 0; // requests in progress that other routers have passed on
    // Whether this router could connect to another endpoint than one that seems to have ended, at the last comparison.
    struct {
        bool running = false;
        bool connected = false;
        Time startedAt{};
    } m_comparison;
    bool m_probing = false; // probeEndpoints() is running
    uint64_t m_registryVersion = 0; // of the control host, at the last sync
    Time m_syncedAt{};
    Time m_currentAt{}; // of the configuration
    Time m_newestAt{}; // when the configuration was last known to be the newest; of the polls that found no newer one
    std::optional<Millis> m_keysValidFor;
    mutable std::set<AccountId> m_countedAccounts; // with metrics of their own
    Time m_ordersAllowedAt{}; // no order is sent earlier, and thus no model loaded
    std::optional<StopSchedule> m_stop; // set once the host is stopping
};

} // namespace roserail
