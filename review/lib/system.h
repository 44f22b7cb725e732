// A small deployment on loopback for the scripts of this review: machines with an entry and a keeper process each, started with the
// commands of the deploy file, and runners as the platform's pages describe them. Machine N has the address 127.0.0.N.
#pragma once

#include "processes.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point Begin = Clock::now();

inline int64_t nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - Begin).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

// Writes lines with the time since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << fmt::format("{:9.3f} s  {}\n", double(nowMs()) / 1000, text) << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline httplib::Client clientFor(const std::string &host, int port, Ms timeout = Ms(1000))
{
    httplib::Client client(host, port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_keep_alive(false);
    return client;
}

// Returns a port from which on `count` ports are free on the addresses of all machines.
inline int findFreePorts(int machines, int count)
{
    // Processes that start at the same time begin at different ports.
    const int first = int(::getpid()) % 190;
    for (int i = 0; i < 190; ++i) {
        const int base = 20000 + (first + i) % 190 * count;
        bool free = true;
        for (int n = 1; free && n <= machines; ++n) {
            for (int port = base; free && port < base + count; ++port) {
                const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
                sockaddr_in address{};
                address.sin_family = AF_INET;
                address.sin_port = htons(uint16_t(port));
                ::inet_pton(AF_INET, fmt::format("127.0.0.{}", n).c_str(), &address.sin_addr);
                free = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
                ::close(fd);
            }
        }
        if (free)
            return base;
    }
    return 0;
}

// The project's own programs. Machines 1 to 3 have a disk and are the seeds; the others have none.
class Deployment : public roserail::test::Processes
{
public:
    static constexpr int Disks = 3;
    static constexpr int PortsPerMachine = 60;

    Deployment(const std::string &name, int machines, Record &record)
        : Processes(name)
        , m_machines(machines)
        , m_base(findFreePorts(machines, PortsPerMachine))
        , m_record(record)
    {
    }
    static std::string address(int machine)
    {
        return fmt::format("127.0.0.{}", machine);
    }
    static std::string entry(int machine)
    {
        return fmt::format("entry-{}", machine);
    }
    static std::string keeper(int machine)
    {
        return fmt::format("keeper-{}", machine);
    }
    int controlPort() const
    {
        return m_base + 1;
    }
    int listenPort() const
    {
        return m_base + 4;
    }
    int runnerPort(int runner) const
    {
        return m_base + 20 + runner;
    }
    int machines() const
    {
        return m_machines;
    }
    bool hasPorts() const
    {
        return m_base != 0;
    }
    void startKeeper(int n, bool bootstrap)
    {
        std::string text = host(n, 3) + fmt::format("listen: \"{}:{}\"\n", address(n), controlPort());
        if (n <= Disks)
            text += fmt::format("dataFolder: \"{}\"\n", (folder() / fmt::format("data-{}", n)).string());
        text += fmt::format("mayFound: {}\nlossesToBear: 1\norderLease: 3000ms\n", bootstrap);
        spawn(keeper(n), {"target/roserail-keeper", writeFile(keeper(n) + ".yaml", text)});
    }
    void startEntry(int n, bool bootstrap)
    {
        const std::string text = host(n, 8)
            + fmt::format("listen: \"{0}:{1}\"\nready: \"{0}:{2}\"\ndirectory: \"{0}:{3}\"\nrelay: \"{0}:{4}\"\n", address(n), m_base + 4,
                          m_base + 5, m_base + 6, m_base + 7)
            + fmt::format("retryRatio: 0.2\nretrySlack: 60\nretryWindow: 10s\nfirstStart: {}\n", bootstrap);
        spawn(entry(n), {"target/roserail-entry", writeFile(entry(n) + ".yaml", text)});
    }
    void startAll()
    {
        for (int n = 1; n <= m_machines; ++n) {
            startKeeper(n, true);
            startEntry(n, true);
        }
    }
    // Sends a configuration as the operator does, to one node after another, and follows redirects. Returns whether it is acknowledged.
    bool putConfiguration(const Json &configuration)
    {
        const std::string body = configuration.dump();
        return roserail::test::eventually(
            [&] {
                for (int n = 1; n <= m_machines; ++n) {
                    httplib::Client client = clientFor(address(n), controlPort(), Ms(2000));
                    client.set_follow_location(true);
                    const httplib::Result result = client.Put("/api/config", body, "application/json");
                    if (result && result->status == 200) {
                        m_record.line(fmt::format("operator: version {} acknowledged", configuration["version"].get<int>()));
                        return true;
                    }
                }
                return false;
            },
            Ms(15000));
    }
    // Returns the memory of a process as the platform counts it, without the pages of its program and libraries; 0 if it doesn't run.
    int64_t memoryKb(const std::string &process)
    {
        int &pid = m_pidsByName[process];
        if (pid == 0) {
            const std::string file = (folder() / (process + ".yaml")).string();
            for (const std::filesystem::directory_entry &it : std::filesystem::directory_iterator("/proc")) {
                std::ifstream in(it.path() / "cmdline");
                const std::string command((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
                if (command.find(file) != std::string::npos && command.rfind("target/", 0) == 0)
                    pid = std::atoi(it.path().filename().c_str());
            }
        }
        std::ifstream in(fmt::format("/proc/{}/status", pid));
        for (std::string line; std::getline(in, line);) {
            if (line.rfind("RssAnon:", 0) == 0)
                return std::atoll(line.c_str() + 8);
        }
        pid = 0;
        return 0;
    }
    void forgetPid(const std::string &process)
    {
        m_pidsByName[process] = 0;
    }
    bool ready(int n)
    {
        const httplib::Result result = clientFor(address(n), m_base + 5).Get("/api/readyz");
        return result && result->status == 200;
    }
    bool waitUntilReady()
    {
        return roserail::test::eventually(
            [&] {
                for (int n = 1; n <= m_machines; ++n) {
                    if (!ready(n))
                        return false;
                }
                return true;
            },
            Ms(15000));
    }

private:
    std::string host(int n, int metrics) const
    {
        std::string seeds;
        for (int i = 1; i <= Disks; ++i)
            seeds += fmt::format("{}\"{}:{}\"", i == 1 ? "" : ", ", address(i), controlPort());
        return fmt::format("id: machine-{0}\nzone: z{1}\naddress: {2}\nseeds: [{3}]\ninternalPort: {4}\nmetrics: \"{2}:{5}\"\ngrace: 8s\n",
                           n, (n - 1) % 3 + 1, address(n), seeds, m_base + 2, m_base + metrics);
    }

    int m_machines;
    int m_base;
    Record &m_record;
    std::map<std::string, int> m_pidsByName;
};

// A configuration with routes to one engine service and one plain service, with the values of the pages' example.
inline Json configuration(int version, const std::vector<std::string> &modelNames = {"m1", "m2"})
{
    Json models = Json::array();
    for (const std::string &name : modelNames)
        models.push_back(Json{{"name", name},
                              {"weights_mb", 42700.0},
                              {"load_time_s", 6.0},
                              {"adapters", 0},
                              {"adapter_size_mb", 66.0},
                              {"warm_s", 0.44},
                              {"disk_load_s", 0.57}});
    const Json engine{{"slots", 64},        {"kv_capacity", 166161}, {"kv_bytes", 163840}, {"models", models}, {"weights_mb", 200000.0},
                      {"adapter_slots", 8}, {"loads_per_s", 4.3}};
    const Json services = Json::array(
        {Json{{"name", "taalhulp"},
              {"health_path", "/healthz"},
              {"max_connections", 380},
              {"protocol", "h1"},
              {"tls", false},
              {"engine", engine}},
         Json{{"name", "dossier"}, {"health_path", "/healthz"}, {"max_connections", 120}, {"protocol", "h1"}, {"tls", false}}});
    const auto route
        = [](const char *name, const char *prefix, const char *type, int timeoutMs, int targetMs, const char *service, int attempts) {
              return Json{{"name", name},  {"host", "h.example"},     {"path_prefix", prefix},
                          {"type", type},  {"timeout_ms", timeoutMs}, {"target_latency_ms", targetMs},
                          {"priority", 0}, {"service", service},      {"max_attempts", attempts}};
          };
    Json guide = route("stap-gids", "/guide/", "streaming", 25000, 2500, "taalhulp", 2);
    guide["session_affinity"] = true;
    guide["resumable"] = true;
    guide["gap_target_ms"] = 250;
    Json chat = route("chat-reply", "/chat/", "streaming", 12000, 300, "taalhulp", 1);
    chat["session_affinity"] = true;
    chat["resumable"] = false;
    chat["gap_target_ms"] = 250;
    const Json routes = Json::array({guide, chat, route("reset-actie", "/reset/", "unsafe", 1000, 100, "dossier", 1),
                                     route("status-lees", "/status/", "safe", 1000, 100, "dossier", 2)});
    return Json{
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

struct RunnerOptions {
    std::string id;
    std::string service;
    std::string software = "v1";
    int port = 0;
    std::set<std::string> models;
    std::vector<std::string> control; // addresses of nodes that serve control; the first is called until a call fails
    int controlPort = 0;
    int events = 40; // of a stream
    int eventPauseMs = 150;
    int workMs = 15; // of a plain answer
    std::set<std::string> diskCopies{}; // models that its disk has beside those it holds
    bool acceptsOrders = false;
    int heartbeatDelayMs = 0; // by which its heartbeats arrive late
    bool keepsConnections = false; // open for 15 s and any number of requests, otherwise for 5 s and 5 requests
    int announcedPort = 0; // of a proxy before it; 0: its own port
};

// A runner: sends heartbeats, runs plain requests and streams, refuses requests meant for another runner or a model that it lacks.
// Unless it accepts orders to load, it answers them as if one were always in progress.
class Runner
{
public:
    struct Arrival {
        int64_t atMs = 0;
        std::string id;
        std::string lastEventId;
    };

    Runner(RunnerOptions options, Record &record)
        : m_options(std::move(options))
        , m_record(record)
    {
        m_server.new_task_queue = [] {
            return new httplib::ThreadPool(64);
        };
        if (m_options.keepsConnections) {
            m_server.set_keep_alive_timeout(15);
            m_server.set_keep_alive_max_count(10000);
        }
        m_server.Get("/api/report", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            response.set_content(describe(m_orders).dump(), "application/json");
        });
        m_server.Post("/api/order", [this](const httplib::Request &request, httplib::Response &response) { order(request, response); });
        const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
            run(request, response);
        };
        m_server.Get("/.*", handler);
        m_server.Post("/.*", handler);
        m_serving = std::thread([this] { m_server.listen("127.0.0.1", m_options.port); });
        while (!m_server.is_running())
            sleepMs(1);
        m_beating = std::thread([this] { beat(); });
    }
    ~Runner()
    {
        m_stopBeating = true;
        m_beating.join();
        exit();
    }
    void stopHeartbeats()
    {
        m_stopBeating = true;
    }
    // Sends no heartbeats until it is called with false.
    void pauseHeartbeats(bool pause)
    {
        m_pauseBeating = pause;
    }
    struct Order {
        int64_t atMs = 0;
        uint64_t fence = 0;
        std::string holder;
        int status = 0;
    };
    std::vector<Order> orders()
    {
        const std::lock_guard lock(m_mutex);
        return m_orderLog;
    }
    // Says that it leaves: DELETE, without having reported `draining` before. Returns whether the node has acknowledged it.
    bool withdraw(const std::string &controlAddress)
    {
        const httplib::Result result
            = clientFor(controlAddress, m_options.controlPort).Delete("/api/instances/" + m_options.id, "", "application/json");
        return result && result->status / 100 == 2;
    }
    // Ends the runner at once: its answers are broken off, and its port is closed.
    void crash()
    {
        m_crashed = true;
        m_stopBeating = true;
        exit();
    }
    // Ends the runner: its port is closed.
    void exit()
    {
        m_server.stop();
        if (m_serving.joinable())
            m_serving.join();
    }
    std::vector<Arrival> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    const RunnerOptions &options() const
    {
        return m_options;
    }

private:
    // Carries out an order after its load time, if it was planned for the number of orders accepted so far.
    void order(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        finishOrder();
        const Json body = Json::parse(request.body);
        response.status = 409;
        const bool expected = body.value("expect", m_orders) == m_orders;
        if (m_options.acceptsOrders && !m_ordered && expected && body.value("operation", "") == "load") {
            ++m_orders;
            m_ordered = body["model"].get<std::string>();
            m_orderDoneAt = nowMs() + (m_options.diskCopies.count(*m_ordered) != 0 ? 570 : 6000); // disk_load_s, load_time_s
            response.status = 202;
        }
        m_orderLog.push_back(Order{nowMs(), body.value("fencing_token", uint64_t(0)), body.value("holder", ""), response.status});
        m_record.line(
            fmt::format("runner {} ({}) answers {} to the order {}", m_options.id, m_options.software, response.status, request.body));
    }
    void finishOrder()
    {
        if (!m_ordered || nowMs() < m_orderDoneAt)
            return;
        m_options.models.insert(*m_ordered);
        m_ordered.reset();
    }
    Json describe(int64_t sequence)
    {
        finishOrder();
        std::set<std::string> copies = m_options.diskCopies;
        copies.insert(m_options.models.begin(), m_options.models.end());
        Json models = Json::array();
        for (const std::string &it : m_options.models)
            models.push_back(Json{{"name", it}, {"version", 1}, {"adapters", Json::array()}});
        return Json{{"service", m_options.service},
                    {"address", fmt::format("127.0.0.1:{}", m_options.announcedPort == 0 ? m_options.port : m_options.announcedPort)},
                    {"zone", "z1"},
                    {"version", m_options.software},
                    {"slots", m_options.service == "dossier" ? 6 : 64},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"stage", "combined"},
                    {"models", models},
                    {"available", {{"in_memory", m_options.models}, {"on_disk", copies}}},
                    {"busy", m_ordered.has_value()},
                    {"queued", 0},
                    {"active", 0},
                    {"kv_used", 0},
                    {"kv_total", 166161},
                    {"handles", 0},
                    {"pending", Json::array()},
                    {"born", m_born},
                    {"sequence", sequence}};
    }
    void beat()
    {
        size_t node = 0;
        int64_t sequence = 0;
        while (!m_stopBeating) {
            const std::string body = [&] {
                const std::lock_guard lock(m_mutex);
                return describe(++sequence).dump();
            }();
            for (int waited = 0; waited < m_options.heartbeatDelayMs && !m_stopBeating; waited += 10)
                sleepMs(10);
            for (size_t i = 0; i < m_options.control.size(); ++i) {
                const httplib::Result result = clientFor(m_options.control[node], m_options.controlPort)
                                                   .Put("/api/instances/" + m_options.id, body, "application/json");
                if (result && result->status / 100 == 2)
                    break;
                node = (node + 1) % m_options.control.size();
            }
            for (int waited = 0; (waited < 1200 || m_pauseBeating) && !m_stopBeating; waited += 10)
                sleepMs(10);
        }
    }
    void run(const httplib::Request &request, httplib::Response &response)
    {
        const std::string id = request.get_header_value("X-Request-Id");
        response.set_header("X-Request-Id", id);
        const std::string expected = request.get_header_value("X-Expect-Instance");
        const std::string model = request.get_header_value("X-Model");
        const bool engine = !model.empty();
        const bool holds = [&] {
            const std::lock_guard lock(m_mutex);
            finishOrder();
            return model.empty() || m_options.models.count(model) != 0;
        }();
        if ((!expected.empty() && expected != m_options.id) || !holds) {
            response.status = 421;
            response.set_header("X-Not-Executed", "1");
            return;
        }
        const std::string lastEventId = request.get_header_value("Last-Event-Id");
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(Arrival{nowMs(), id, lastEventId});
        }
        m_record.line(fmt::format("runner {} ({}) runs {} {}", m_options.id, m_options.software, id,
                                  lastEventId.empty() ? "" : "from Last-Event-Id " + lastEventId));
        if (engine)
            ++m_running;
        response.set_header("X-Server-Seal", fmt::format("{}.{}", m_options.id, id));
        response.set_header("X-Server-Load", !engine ? "1,0,6" : fmt::format("{},0,64", int(m_running)));
        if (!engine) {
            sleepMs(m_options.workMs);
            response.set_content("answer of " + m_options.id, "text/plain");
            return;
        }
        response.set_header("X-Weight-Versions", "1");
        const std::shared_ptr<void> running(nullptr, [this](void *) { --m_running; });
        response.set_chunked_content_provider(
            "text/event-stream", [this, running, n = std::atoi(lastEventId.c_str())](size_t, httplib::DataSink &sink) mutable {
                ++n;
                const std::string event = fmt::format("id: {}\ndata: {} {}\n\n", n, m_options.id, m_options.software);
                if (m_crashed || !sink.write(event.data(), event.size()))
                    return false;
                if (n >= m_options.events)
                    sink.done();
                else
                    sleepMs(m_options.eventPauseMs);
                return true;
            });
    }

    RunnerOptions m_options;
    Record &m_record;
    httplib::Server m_server;
    std::thread m_serving;
    std::thread m_beating;
    std::atomic<bool> m_stopBeating{false};
    std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::atomic<int> m_running{0}; // streams
    std::atomic<bool> m_crashed{false};
    std::atomic<bool> m_pauseBeating{false};
    std::vector<Order> m_orderLog; // all that arrived
    int64_t m_orders = 0; // accepted
    std::optional<std::string> m_ordered; // model that is being loaded
    int64_t m_orderDoneAt = 0;
    int64_t m_born = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
};

} // namespace review
