// A router's session with the leading control host about the quotas of client accounts: requests take their units from the stock, or
// wait here while a thread asks for them.
//
// Load pattern: the leader is frozen or killed while requests wait, or a connection is silent. A call has a short time limit, after
// which other control hosts are asked who leads.
#pragma once

#include "coordination/quotashare.h"
#include "mesh.pb.h"
#include "transport/channel.h"
#include "transport/http.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace roserail
{

// A request that uses units of its account.
struct QuotaRequest {
    AccountId account;
    double units = 0;
    std::optional<Fingerprint> fingerprint; // the same when its caller comes back
    Time longestWaitUntil{}; // its caller comes back then at the latest, if it is refused
    bool granted = false;
    std::optional<double> mostUnits; // set: the quota never allows for more in one request
    std::optional<Time> retryAt; // set: the account is over its limit until then
    Time usableUntil{}; // of the grant
    Time askAt{}; // not earlier
    bool again = false; // the leader told to ask later
    std::function<void()> wake; // called once it is granted or denied
    bool decided() const
    {
        return granted || retryAt || mostUnits;
    }
};

class QuotaGate
{
public:
    QuotaGate(net::io_context &io, const QuotaBounds &bounds, std::string router, std::vector<std::string> seeds);
    ~QuotaGate();
    QuotaGate(const QuotaGate &) = delete;
    QuotaGate &operator=(const QuotaGate &) = delete;

    // All but the thread's own functions run on the thread of `io`.
    QuotaStock &stock()
    {
        return m_stock;
    }
    // Sets the control hosts to ask in addition to those that others name.
    void setSeeds(std::vector<std::string> seeds)
    {
        m_seeds = std::move(seeds);
    }
    // Sets the leader as a control host named it last, and the control hosts that it named.
    void setHosts(std::string leader, std::vector<std::string> hosts);
    // Decides on the request from what is known here, else asks for its units. It must stay in place until it is decided or removed.
    void begin(QuotaRequest &request, Time now);
    void remove(QuotaRequest &request);
    // Returns the stocks, the accounts that are over their limit, and the requests that wait.
    nlohmann::json dump() const;

private:
    // One call to a control host.
    struct Call {
        std::string address;
        Time askedAt{};
        pb::LeaseRequest request;
        std::vector<AccountId> accounts; // of the asks
        std::vector<std::vector<QuotaRequest *>> requests; // of each ask
    };
    void run();
    bool callOnce();
    void wake();
    // Sets the next call and returns it, or null if none is due.
    const Call *buildCall();
    std::map<AccountId, std::vector<QuotaRequest *>> dueRequests(Time now);
    std::string nextHost(Time now);
    // `reply`: null if there was none.
    void endCall(const pb::LeaseReply *reply);
    void apply(const Call &call, size_t ask, const pb::QuotaGrant &grant, Time now);
    void applyAnswer(QuotaRequest &request, Time askedAt, pb::QuotaAnswer answer, Millis retryIn, Time now);
    void wakeDecided();
    void scheduleRetry(Time at);
    void recordAnswered(bool answered, const std::string &host, Time now);

    net::io_context &m_io;
    std::string m_router;
    std::vector<std::string> m_seeds;
    QuotaStock m_stock;
    std::list<QuotaRequest *> m_waiting;
    std::string m_leader; // empty: not known
    std::vector<std::string> m_hosts;
    size_t m_nextHost = 0;
    std::string m_suspect; // leader that did not answer
    Time m_suspectUntil{};
    Time m_nextRefillAt{};
    Time m_lostSince = Time::max(); // max: not lost
    net::steady_timer m_retryTimer;
    std::optional<Call> m_call; // in progress

    std::map<std::string, std::unique_ptr<Channel>> m_channels; // of the thread
    std::string m_silentHost; // of the thread: the last one that did not answer
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_woken = false; // under m_mutex
    std::thread m_thread;
};

} // namespace roserail
