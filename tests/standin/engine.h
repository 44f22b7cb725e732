// Simulated model engine for tests: loads models by order, streams tokens at a given rate, counts the artifacts that it
// holds, and injects faults on request.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

// The weight store and the hosts' memory, shared by the engines of one process. Counts loads, replicas and memory in use
// independently of roserail, so that tests can check its limits.
class SharedCluster
{
public:
    SharedCluster(double loadsPerSecond, double slowdown);
    // Sleeps for the duration of a load from the store that takes `ms` at full speed. The store limits the rate at which loads
    // start, and serves four at once at full speed.
    void load(double ms);
    void adapterLoad(double ms);
    void allocate(const std::string &host, const std::string &artifact, uint64_t bytes, uint64_t hostBytes);
    void release(const std::string &host, const std::string &artifact, uint64_t bytes);
    void setSlowdown(double slowdown);
    Json stats();

private:
    std::mutex m_mutex;
    double m_interval; // seconds between starts
    double m_slowdown;
    Clock::time_point m_nextStart{};
    int m_loads = 0;
    int m_peakLoads = 0;
    int m_totalLoads = 0;
    int m_adapterLoads = 0;
    int m_peakAdapterLoads = 0;
    int m_overcommitted = 0;
    std::map<std::string, int> m_replicas;
    std::map<std::string, int> m_peakReplicas;
    std::map<std::string, uint64_t> m_hostBytes;
    double m_heldSeconds = 0; // replica seconds
    double m_modelCount = 0;
    Clock::time_point m_heldUpdatedAt = Clock::now();
    void accumulateHeldSeconds();
};

struct EngineOptions {
    std::string id;
    std::string host;
    std::string zone = "zone-a";
    std::string pool;
    std::string listenHost = "127.0.0.1";
    int port = 0;
    std::vector<std::string> routers;
    uint64_t hostBytes = 0;
    uint64_t endpointBytes = 0;
    bool checksFencing = true;
    double loadMs = 1000; // from the store
    double tokenMs = 5;
    double prefillMs = 20;
    uint32_t capacity = 8;
    bool crashExits = true; // a crash ends the process; otherwise the engine restarts with a new incarnation
};

class Engine
{
public:
    Engine(EngineOptions options, SharedCluster &cluster);
    ~Engine();
    Json stats();

private:
    struct HeldArtifact {
        std::string version;
        uint64_t bytes = 0;
        bool loaded = false;
        std::string base;
    };
    struct Stream {
        std::string model;
        Clock::time_point firstToken{};
        uint32_t tokens = 0;
        double tokenMs = 0;
        Clock::time_point abandonedAt = Clock::time_point::max();
        int readers = 0;
        bool finished = false;
    };

    void route();
    void order(const httplib::Request &request, httplib::Response &response);
    void load(const std::string &artifact, HeldArtifact held, uint64_t incarnation);
    void unload(const std::string &artifact, uint64_t incarnation);
    void complete(const httplib::Request &request, httplib::Response &response);
    void stream(const std::string &attempt, uint64_t from, const std::string &fault, httplib::Response &response);
    void result(const std::string &attempt, httplib::Response &response);
    void crash();
    void announceLoop();
    Json announcement();
    void wakeAnnounce();
    uint32_t running();
    void run(std::function<void()> job);
    std::string eventData(const std::string &attempt, const Stream &stream, uint64_t offset) const;

    EngineOptions m_options;
    SharedCluster &m_cluster;
    httplib::Server m_server;
    std::thread m_serverThread;
    std::thread m_announceThread;
    std::vector<std::thread> m_jobs;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_changed = false;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_leaving{false};
    uint64_t m_incarnation = 0;
    uint64_t m_sequence = 1;
    uint64_t m_fence = 0;
    std::map<std::string, HeldArtifact> m_held;
    std::map<std::string, std::string> m_disk; // artifact to version, cached on disk
    std::map<std::string, Stream> m_streams;
    std::map<std::string, int> m_executions; // by attempt
    uint64_t m_completions = 0;
    uint64_t m_staleOrders = 0;
    int m_dropAnswers = 0; // number of orders to execute without an answer in time
    int m_delayOrdersMs = 0;
    bool m_muted = false; // announcements are not sent
    std::atomic<uint64_t> m_stallEpoch{0};
    size_t m_nextRouter = 0;
};

} // namespace standin
