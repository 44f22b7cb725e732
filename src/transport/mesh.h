// Sessions of the live state: control hosts receive changes from each other, and routers poll them several times a second.
#pragma once

#include "coordination/controlhosts.h"
#include "coordination/messageage.h"
#include "coordination/replybudget.h"
#include "mesh.grpc.pb.h"
#include "state/tunables.h"
#include "transport/channel.h"
#include "transport/livetable.h"
#include "transport/quotagranter.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <thread>

namespace roserail
{

// Answers the polls of routers and merges the changes that other control hosts send.
class MeshService : public pb::Mesh::Service
{
public:
    // Without a disk, Sync only refers routers to other control hosts.
    MeshService(LiveTable &table, std::string self, std::vector<std::string> seeds, bool disk, uint64_t epoch);
    // Sets the look-up of streams in the replicated log. To be called before the first poll.
    using FindStream = std::function<std::optional<SoftwareVersion>(StreamId)>;
    void setStreams(FindStream findStream)
    {
        m_findStream = std::move(findStream);
    }
    // Sets what grants units of quotas to routers. To be called before the first poll.
    void setQuotas(QuotaGranter &quotas)
    {
        m_quotas = &quotas;
    }
    grpc::Status Sync(grpc::ServerContext *context, const pb::SyncRequest *request, pb::SyncReply *reply) override;
    grpc::Status Share(grpc::ServerContext *context, const pb::ShareRequest *request, pb::ShareReply *reply) override;
    grpc::Status Lease(grpc::ServerContext *context, const pb::LeaseRequest *request, pb::LeaseReply *reply) override;

private:
    // Replies to routers within an interval.
    struct ReplyCounts {
        size_t replies = 0;
        size_t bytes = 0;
        size_t lists = 0; // whole lists of the live state
        size_t listBytes = 0;
        size_t postponed = 0; // because of the limit of bytes
        size_t referred = 0; // to other control hosts
    };
    void addKeepers(const Registry &registry, Time now, pb::ShareReply &reply) const;
    Millis ageOf(const std::string &sender, uint64_t incarnation, uint64_t sentAtMs, Time now);
    static void shareUse(Registry &registry, const pb::RouterState &router, Time sentAt, Time now, pb::SyncReply &reply);
    static void shareAccountUse(Registry &registry, const pb::RouterState &router, Time sentAt, Time now, pb::SyncReply &reply);
    void addControlHosts(const Registry &registry, const pb::RouterState &router, bool current, Time now, pb::SyncReply &reply) const;
    bool addConfiguration(const pb::SyncRequest &request, Time now, pb::SyncReply &reply);
    static void postponeChanges(const pb::SyncRequest &request, pb::SyncReply &reply);
    void addFoundStreams(const pb::SyncRequest &request, pb::SyncReply &reply) const;
    bool maySend(Millis backlog, Time now);
    void recordReply(const pb::SyncReply &reply, bool wholeList, bool postponed, Time now);

    LiveTable &m_table;
    std::string m_self; // internal address
    std::vector<std::string> m_seeds; // internal addresses
    bool m_disk;
    uint64_t m_epoch; // identifies this process
    FindStream m_findStream;
    QuotaGranter *m_quotas = nullptr;
    std::mutex m_mutex;
    ReplyBudget m_replies{tunables::MaxReplyBytesPerSecond}; // under m_mutex
    MessageAges m_ages; // under m_mutex
    ReplyCounts m_counts; // since m_countedSince, under m_mutex
    Time m_countedSince{};
};

// How a poll of a control host ended.
enum class PollOutcome {
    Served,
    Busy, // the host serves, but not yet this router
    Referred, // the host can't show that it is up to date
    NotConnected,
    NoReply
};
constexpr size_t PollOutcomes = 5;

// A router's session with the control hosts: a thread that polls one of them at a time.
class MeshClient
{
public:
    // `buildRequest` returns the request of a poll, `handleReply` receives the reply and when it was asked for. Both run on the session's
    // thread.
    using BuildRequest = std::function<pb::SyncRequest()>;
    using HandleReply = std::function<void(const pb::SyncReply &, Time)>;
    MeshClient(std::vector<std::string> seeds, BuildRequest buildRequest, HandleReply handleReply);
    ~MeshClient();
    MeshClient(const MeshClient &) = delete;
    MeshClient &operator=(const MeshClient &) = delete;
    // Replaces the hosts to ask in addition to those that other control hosts name.
    void setSeeds(std::vector<std::string> seeds);
    // Starts the next poll as soon as the minimum interval has passed since the last one.
    void wake();
    // While set, polls at the minimum interval instead of SyncInterval.
    void setWaiting(bool waiting)
    {
        m_waiting = waiting;
    }
    // Sets the minimum interval of polls; SyncIntervalWhileWaiting at first.
    void setMinInterval(Millis interval)
    {
        m_minInterval = interval;
    }

private:
    void run();
    PollOutcome syncOnce();
    void logOutcome(PollOutcome outcome);
    void connect();
    void retryNearestHost();

    BuildRequest m_buildRequest;
    HandleReply m_handleReply;
    ControlHosts m_hosts; // under m_mutex
    size_t m_failures = 0; // consecutive polls without a host that serves
    std::array<size_t, PollOutcomes> m_outcomes{}; // of these polls
    Time m_lostSince{};
    Time m_nextSearchLogAt{};
    Time m_nearestRetryAt{};
    std::unique_ptr<Channel> m_channel;
    std::string m_servedBy; // control host of the latest reply
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_waiting{false};
    std::atomic<Millis> m_minInterval;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_woken = false;
    std::thread m_thread;
};

} // namespace roserail
