// Simulated runner of the platform for tests: implements the platform's HTTP API, holds models, executes orders and sends
// heartbeats with its address. The path of a request selects the behaviour: /events/N/ streams N events, /pause/MS/ pauses
// between them or before a plain answer, /cut/N/ cuts a plain answer off in the middle if this is runner N, /crash/ ends
// the process, and so does a part of the prompt with the id dead. From a request with /leaving/N/ on, runner N states in all its answers
// that it is leaving, and to one with /full/N/MS/ it answers that it wants no request for that time. From a request with
// /limit/N/R/ on it names a limit of R thousandths of a request a second (0: none), and from one with /brittle/N/R/ on it
// is brittle: it runs Slots requests at a time, refuses others, and ends if it refuses more than R in a second. On SIGTERM it drains,
// leaves, prints the records of its requests and ends.

#include <atomic>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>

namespace
{

using Json = nlohmann::json;

constexpr int AcceptQueue = 128; // connections
constexpr std::chrono::milliseconds HeartbeatInterval{200};
constexpr std::chrono::milliseconds LoadTime{200};
constexpr double ModelMegabytes = 60;
constexpr double CapacityMegabytes = 200;
constexpr int Slots = 8;
constexpr std::chrono::seconds RefusalWindow{1};
constexpr std::chrono::milliseconds DrainTime{2000}; // it serves after a control host has acknowledged that it drains
constexpr const char *CrashingPart = "dead:"; // id of a part of a prompt

std::atomic<bool> drains{false}; // since SIGTERM

struct Options {
    std::string id;
    int port = 0;
    std::string service;
    std::vector<std::string> control;
    bool refuseOrders = false;
    std::vector<std::string> copies; // models of which it has a copy from before a restart
    std::string software; // its version
    int orderAnswerMs = 0; // from the execution of an order to its answer
};

class Runner
{
public:
    Runner(Options options, const std::vector<std::string> &models)
        : m_options(std::move(options))
    {
        for (const std::string &it : models)
            m_models[it];
        m_copies.insert(m_options.copies.begin(), m_options.copies.end());
        m_server.new_task_queue = [] {
            return new httplib::ThreadPool(32);
        };
        m_server.Post("/api/order", [this](const httplib::Request &request, httplib::Response &response) {
            order(request, response);
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.orderAnswerMs));
        });
        m_server.Get("/api/report", [this](const httplib::Request &, httplib::Response &response) { report(response); });
        m_server.Get("/orders", [this](const httplib::Request &, httplib::Response &response) { orders(response); });
        m_server.Get("/arrivals", [this](const httplib::Request &, httplib::Response &response) { arrivals(response); });
        m_server.Get("/seen", [this](const httplib::Request &, httplib::Response &response) { requestRecords(response); });
        m_server.Get("/r/.*", [this](const httplib::Request &request, httplib::Response &response) { run(request, response); });
        m_server.Post(".*", [this](const httplib::Request &request, httplib::Response &response) { run(request, response); });
    }

    void serve()
    {
        std::thread heartbeatThread([this] { heartbeats(); });
        // The library's accept queue holds 5 connections: more callers at one moment get no answer to their connect.
        int listener = -1;
        m_server.set_socket_options([&listener](socket_t socket) {
            httplib::default_socket_options(socket);
            listener = socket;
        });
        if (m_server.bind_to_port("127.0.0.1", m_options.port) && ::listen(listener, AcceptQueue) == 0)
            m_server.listen_after_bind();
        m_stop = true;
        heartbeatThread.join();
        if (drains)
            fmt::print("{}\n", m_requestRecords.dump());
    }

private:
    Json models()
    {
        Json list = Json::array();
        for (const std::pair<const std::string, std::set<std::string>> &it : m_models)
            list.push_back(Json{{"name", it.first}, {"version", 1}, {"adapters", it.second}});
        return list;
    }

    void heartbeats()
    {
        size_t controlIndex = 0;
        std::optional<std::chrono::steady_clock::time_point> drainedAt;
        for (uint64_t sequence = 1; !m_stop; ++sequence) {
            const bool draining = drains;
            Json body{{"service", m_options.service},
                      {"address", fmt::format("127.0.0.1:{}", m_options.port)},
                      {"zone", "z1"},
                      {"version", m_options.software},
                      {"slots", Slots},
                      {"state", draining ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", sequence},
                      {"born", m_startedAtMs}};
            {
                const std::lock_guard lock(m_mutex);
                finishDueOrder();
                body["models"] = models();
                body["available"] = Json{{"in_memory", m_copies}, {"on_disk", m_copies}};
            }
            const std::string &control = m_options.control[controlIndex % m_options.control.size()];
            const size_t colon = control.find(':');
            httplib::Client client(control.substr(0, colon), std::stoi(control.substr(colon + 1)));
            client.set_connection_timeout(std::chrono::milliseconds(300));
            client.set_read_timeout(std::chrono::milliseconds(500));
            const std::string path = "/api/instances/" + m_options.id;
            const bool leaves = drainedAt && std::chrono::steady_clock::now() >= *drainedAt;
            const httplib::Result result = leaves ? client.Delete(path) : client.Put(path, body.dump(), "application/json");
            const bool acknowledged = result && result->status == 200;
            if (!acknowledged)
                ++controlIndex;
            if (acknowledged && leaves)
                return m_server.stop();
            if (acknowledged && draining && !drainedAt)
                drainedAt = std::chrono::steady_clock::now() + DrainTime;
            std::this_thread::sleep_for(HeartbeatInterval);
        }
    }

    // Completes the order in progress if its load time has passed.
    void finishDueOrder()
    {
        if (!m_busy || std::chrono::steady_clock::now() < m_doneAt)
            return;
        m_busy = false;
        if (m_orderUnloads)
            m_models.erase(m_orderedModel);
        else
            m_models[m_orderedModel];
        m_copies.insert(m_orderedModel);
    }

    void order(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        finishDueOrder();
        const Json body = Json::parse(request.body);
        const std::chrono::milliseconds now
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
        m_orders.push_back(Json{{"holder", body.value("holder", "")},
                                {"fence", body.value("fencing_token", 0ull)},
                                {"ms", now.count()},
                                {"operation", body.at("operation")},
                                {"model", body.at("model")},
                                {"taken", false}});
        response.status = 409;
        if (m_options.refuseOrders || m_busy || body.value("expect", m_sequence) != m_sequence)
            return;
        m_orders.back()["taken"] = true;
        ++m_sequence;
        const std::string adapter = body.value("adapter", "");
        m_orderedModel = body.at("model");
        m_orderUnloads = body.at("operation") == "unload";
        response.status = 202;
        if (!adapter.empty()) {
            if (m_orderUnloads)
                m_models[m_orderedModel].erase(adapter);
            else
                m_models[m_orderedModel].insert(adapter);
            return;
        }
        if (!m_orderUnloads && ModelMegabytes * double(m_models.size() + 1) > CapacityMegabytes)
            std::abort(); // the platform's runners crash when a load exceeds their memory
        m_busy = true;
        m_doneAt = std::chrono::steady_clock::now() + LoadTime;
    }

    void report(httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        finishDueOrder();
        const Json body{{"born", m_startedAtMs},
                        {"stage", "combined"},
                        {"models", models()},
                        {"busy", m_busy},
                        {"sequence", m_sequence},
                        {"pending", Json::array()},
                        {"available", Json{{"in_memory", m_copies}, {"on_disk", m_copies}}}};
        response.set_content(body.dump(), "application/json");
    }

    // Returns all orders received, including those that were refused.
    void orders(httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        response.set_content(m_orders.dump(), "application/json");
    }

    void requestRecords(httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        response.set_content(m_requestRecords.dump(), "application/json");
    }

    // Returns when requests of callers arrived, those that were refused included, in ms of the steady clock.
    void arrivals(httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        response.set_content(m_arrivals.dump(), "application/json");
    }

    // Returns the second number of /KEY/N/NUMBER/ if this is runner N, else the fallback.
    int ownPathNumber(const std::string &path, const std::string &key, int fallback) const
    {
        const std::string begin = fmt::format("/{}/{}/", key, m_options.id.substr(2));
        const size_t at = path.find(begin);
        return at == std::string::npos ? fallback : std::atoi(path.c_str() + at + begin.size());
    }

    // Refuses a request because all slots are taken. A brittle runner ends if it does so too often.
    void refuse(httplib::Response &response)
    {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        m_refusals.push_back(now);
        while (m_refusals.front() + RefusalWindow < now)
            m_refusals.pop_front();
        if (int(m_refusals.size()) > m_maxRefusals)
            std::_Exit(1);
        response.status = 503;
        response.set_header("X-Not-Executed", "1");
    }

    static int pathNumber(const std::string &path, const std::string &key, int fallback)
    {
        const size_t at = path.find("/" + key + "/");
        return at == std::string::npos ? fallback : std::atoi(path.c_str() + at + key.size() + 2);
    }

    void run(const httplib::Request &request, httplib::Response &response)
    {
        const std::string id = request.get_header_value("X-Request-Id");
        response.set_header("X-Request-Id", id);
        {
            const std::lock_guard lock(m_mutex);
            const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
            m_arrivals.push_back(now.count());
            m_limit = ownPathNumber(request.path, "limit", m_limit);
            m_maxRefusals = ownPathNumber(request.path, "brittle", m_maxRefusals);
            if (m_limit > 0)
                response.set_header("Server-Limit", fmt::format("{:.3f}", double(m_limit) / 1000));
            if (m_maxRefusals >= 0)
                response.set_header("Server-Brittle", std::to_string(m_maxRefusals));
            if (m_maxRefusals >= 0 && m_running >= Slots)
                return refuse(response);
        }
        ++m_running;
        const std::unique_ptr<std::atomic<int>, void (*)(std::atomic<int> *)> running(&m_running, [](std::atomic<int> *it) { --*it; });
        if (m_options.id == fmt::format("i-{}", pathNumber(request.path, "leaving", 0)))
            m_leaving = true;
        if (m_leaving)
            response.set_header("Server-Leaving", "1");
        const int fullMs = ownPathNumber(request.path, "full", -1);
        if (fullMs >= 0) {
            response.status = 503;
            response.set_header("X-Not-Executed", "1");
            response.set_header("Retry-After", fmt::format("{:.3f}", double(fullMs) / 1000));
            return;
        }
        const std::string artifact = request.get_header_value("X-Model");
        const std::string model = artifact.substr(0, artifact.find('/'));
        {
            const std::lock_guard lock(m_mutex);
            finishDueOrder();
            const std::string expected = request.get_header_value("X-Expect-Instance");
            if ((!expected.empty() && expected != m_options.id) || (!model.empty() && m_models.count(model) == 0)) {
                response.status = 421;
                response.set_header("X-Not-Executed", "1");
                return;
            }
            Json &entry = m_requestRecords[id];
            if (entry.is_null())
                entry = Json::object();
            entry["runs"] = entry.value("runs", 0) + 1;
            entry["headers"] = Json::object();
            for (const std::pair<const std::string, std::string> &it : request.headers)
                entry["headers"][it.first] = it.second;
            entry["path"] = request.path;
            entry["body"] = request.body;
        }
        const bool crashingPart = request.get_header_value("X-Prefix-Hash").find(CrashingPart) != std::string::npos;
        if (crashingPart || request.path.find("/crash/") != std::string::npos)
            std::_Exit(1);
        response.set_header("X-Server-Seal", "seal-" + id);
        response.set_header("X-Server-Load", "1,0,8");
        const int pause = pathNumber(request.path, "pause", 0);
        const int events = pathNumber(request.path, "events", 0);
        if (m_options.id == fmt::format("i-{}", pathNumber(request.path, "cut", 0))) {
            const std::string half = "half of an answer";
            response.set_content_provider(2 * half.size(), "text/plain", [half](size_t offset, size_t, httplib::DataSink &sink) {
                return offset == 0 && sink.write(half.data(), half.size());
            });
            return;
        }
        if (events == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pause));
            const size_t bytes = size_t(pathNumber(request.path, "bytes", 0));
            response.set_content("plain answer of " + m_options.id + std::string(bytes, '.'), "text/plain");
            return;
        }
        const int first = std::atoi(request.get_header_value("Last-Event-Id").c_str());
        response.set_chunked_content_provider("text/event-stream",
                                              [this, id, events, pause, n = first](size_t, httplib::DataSink &sink) mutable {
                                                  ++n;
                                                  const std::string event = fmt::format("id: {}\ndata: token\n\n", n);
                                                  const bool sent = sink.write(event.data(), event.size());
                                                  {
                                                      const std::lock_guard lock(m_mutex);
                                                      m_requestRecords[id]["events"] = n;
                                                      if (!sent)
                                                          m_requestRecords[id]["cancelled"] = true;
                                                  }
                                                  if (!sent)
                                                      return false;
                                                  if (n == events)
                                                      sink.done();
                                                  else
                                                      std::this_thread::sleep_for(std::chrono::milliseconds(pause));
                                                  return true;
                                              });
    }

    Options m_options;
    httplib::Server m_server;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_models;
    std::set<std::string> m_copies;
    Json m_requestRecords = Json::object(); // by request id
    Json m_orders = Json::array();
    Json m_arrivals = Json::array();
    std::atomic<int> m_running{0}; // requests, up to the begin of a stream
    int m_limit = 0; // thousandths of a request a second; 0: none
    int m_maxRefusals = -1; // -1: it is not brittle
    std::deque<std::chrono::steady_clock::time_point> m_refusals;
    uint64_t m_sequence = 0;
    bool m_busy = false;
    bool m_orderUnloads = false;
    std::string m_orderedModel;
    std::chrono::steady_clock::time_point m_doneAt;
    uint64_t m_startedAtMs
        = uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_leaving{false};
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-runner", "Simulated runner of the platform for tests.");
    options.add_options()("id", "", cxxopts::value<std::string>())("port", "", cxxopts::value<int>())(
        "service", "", cxxopts::value<std::string>())("control", "", cxxopts::value<std::vector<std::string>>())(
        "models", "", cxxopts::value<std::vector<std::string>>()->default_value(""))("refuse-orders", "")(
        "copies", "", cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "software", "", cxxopts::value<std::string>()->default_value("v1"))("order-answer-ms", "",
                                                                            cxxopts::value<int>()->default_value("0"));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    std::vector<std::string> models = arguments["models"].as<std::vector<std::string>>();
    std::erase(models, "");
    std::vector<std::string> copies = arguments["copies"].as<std::vector<std::string>>();
    std::erase(copies, "");
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { drains = true; });
    Runner runner(Options{arguments["id"].as<std::string>(), arguments["port"].as<int>(), arguments["service"].as<std::string>(),
                          arguments["control"].as<std::vector<std::string>>(), arguments.count("refuse-orders") != 0, copies,
                          arguments["software"].as<std::string>(), arguments["order-answer-ms"].as<int>()},
                  models);
    runner.serve();
    return 0;
}
