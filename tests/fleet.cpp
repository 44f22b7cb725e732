#include "fleet.h"

#include <fmt/format.h>
#include <thread>

namespace roserail::test
{

namespace
{

constexpr int KeeperCount = 3;
constexpr std::chrono::milliseconds OrderStartMargin{1000}; // OrderDeliveryMargin (500 ms), and time for all processes to learn the leader

httplib::Client clientFor(const std::string &host, int port)
{
    httplib::Client client(host, port);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::seconds(20));
    client.set_follow_location(true);
    return client;
}

std::string keeperAddress(int n)
{
    return fmt::format("127.0.0.{}", n);
}

Json engineSpec()
{
    Json models = Json::array();
    for (int i = 1; i <= 6; ++i)
        models.push_back(Json{{"name", fmt::format("m{}", i)},
                              {"weights_mb", 60},
                              {"load_time_s", 0.2},
                              {"adapters", 0},
                              {"warm_s", 0.2},
                              {"disk_load_s", 0.2}});
    return Json{{"slots", 8}, {"weights_mb", 200}, {"adapter_slots", 4}, {"loads_per_s", 4}, {"models", models}};
}

} // namespace

Fleet::Fleet(const std::string &name, int firstPort)
    : Processes(name)
    , m_firstPort(firstPort)
    , m_programs(ROSERAIL_BUILD)
{
}

void Fleet::setBuild(const std::string &programs)
{
    m_programs = programs.empty() ? ROSERAIL_BUILD : programs;
}

std::string Fleet::settings(const std::string &id, const std::string &address, const std::string &seed) const
{
    std::string seeds = seed.empty() ? "" : fmt::format("\"{}:{}\"", seed, m_firstPort + 1);
    for (int n = 1; n <= KeeperCount && seed.empty(); ++n)
        seeds += fmt::format("{}\"{}:{}\"", n == 1 ? "" : ", ", keeperAddress(n), m_firstPort + 1);
    return fmt::format("id: {}\nzone: z1\naddress: {}\nseeds: [{}]\ninternalPort: {}\ngrace: {}ms\n", id, address, seeds, internalPort(),
                       m_graceMs)
        + m_hostSettings;
}

void Fleet::startKeeper(int n, bool mayFound, int orderLeaseMs)
{
    const std::string id = fmt::format("keeper-{}", n);
    const std::string text = settings(id, keeperAddress(n)) + fmt::format("metrics: \"{}:{}\"\n", keeperAddress(n), m_firstPort + 60)
        + fmt::format("listen: \"{}:{}\"\ndataFolder: \"{}\"\nmayFound: {}\norderLease: {}ms\n", keeperAddress(n), m_firstPort + 1,
                      (folder() / ("data-" + id)).string(), mayFound, orderLeaseMs);
    spawn(id, {m_programs + "/roserail-keeper", writeFile(id + ".yaml", text)});
}

void Fleet::startEntry(int n, const std::string &seed)
{
    const std::string id = fmt::format("entry-{}", n);
    const std::string text = settings(id, "127.0.0.1", seed) + fmt::format("metrics: \"127.0.0.1:{}\"\n", m_firstPort + 60 + n)
        + fmt::format("firstStart: true\nlisten: \"127.0.0.1:{}\"\nready: \"127.0.0.1:{}\"\ndirectory: \"127.0.0.1:{}\"\n", entryPort(n),
                      m_firstPort + 20 + n, m_firstPort + 30 + n)
        + fmt::format("relay: \"127.0.0.1:{}\"\n", m_firstPort + 70 + n) + m_entrySettings;
    spawn(id, {m_programs + "/roserail-entry", writeFile(id + ".yaml", text)});
}

void Fleet::startRunner(int n, const std::string &service, const std::string &models, bool refuseOrders, const std::string &copies,
                        const std::string &software)
{
    std::vector<std::string> command{ROSERAIL_BUILD "/tests/standin-runner",
                                     "--id",
                                     fmt::format("i-{}", n),
                                     "--port",
                                     std::to_string(runnerPort(n)),
                                     "--service",
                                     service,
                                     "--models",
                                     models,
                                     "--copies",
                                     copies,
                                     "--software",
                                     software,
                                     "--order-answer-ms",
                                     std::to_string(m_orderAnswerMs),
                                     "--control"};
    std::string control;
    for (int i = 1; i <= KeeperCount; ++i)
        control += fmt::format("{}{}:{}", i == 1 ? "" : ",", keeperAddress(i), m_firstPort + 1);
    command.push_back(control);
    if (refuseOrders)
        command.push_back("--refuse-orders");
    spawn(fmt::format("runner-{}", n), command);
}

void Fleet::wipe(int keeper)
{
    std::filesystem::remove_all(folder() / fmt::format("data-keeper-{}", keeper));
}

httplib::Result Fleet::putText(int keeper, const std::string &body)
{
    return clientFor(keeperAddress(keeper), m_firstPort + 1).Put("/api/config", body, "application/json");
}

httplib::Result Fleet::putConfiguration(int keeper, uint64_t version, int streamTimeoutMs)
{
    return putText(keeper, configurationText(version, streamTimeoutMs));
}

std::string Fleet::configurationText(uint64_t version, int streamTimeoutMs)
{
    const Json routes = Json::array({
        Json{{"name", "stream"},
             {"host", "h.example"},
             {"path_prefix", "/s/"},
             {"type", "streaming"},
             {"timeout_ms", streamTimeoutMs},
             {"target_latency_ms", 500},
             {"priority", 0},
             {"service", "engines"},
             {"max_attempts", 1},
             {"resumable", false}},
        Json{{"name", "resumed"},
             {"host", "h.example"},
             {"path_prefix", "/e/"},
             {"type", "streaming"},
             {"timeout_ms", 15000},
             {"target_latency_ms", 500},
             {"priority", 0},
             {"service", "engines"},
             {"max_attempts", 2},
             {"resumable", true}},
        Json{{"name", "once"},
             {"host", "h.example"},
             {"path_prefix", "/u/"},
             {"type", "unsafe"},
             {"timeout_ms", 5000},
             {"service", "plain"},
             {"max_attempts", 1}},
        Json{{"name", "read"},
             {"host", "h.example"},
             {"path_prefix", "/r/"},
             {"type", "safe"},
             {"timeout_ms", 5000},
             {"service", "plain"},
             {"max_attempts", 2}},
    });
    const Json services
        = Json::array({Json{{"name", "engines"}, {"health_path", "/healthz"}, {"max_connections", 100}, {"engine", engineSpec()}},
                       Json{{"name", "plain"}, {"health_path", "/healthz"}, {"max_connections", 100}}});
    return Json{{"version", version}, {"routes", routes}, {"services", services}, {"limits", Json::object()}}.dump();
}

httplib::Result Fleet::getConfiguration(int keeper)
{
    return clientFor(keeperAddress(keeper), m_firstPort + 1).Get("/api/config");
}

bool Fleet::waitUntilReady(const std::vector<int> &entries)
{
    return eventually([&] {
        return std::all_of(entries.begin(), entries.end(), [&](int n) {
            const httplib::Result result = clientFor("127.0.0.1", m_firstPort + 20 + n).Get("/api/readyz");
            return result && result->status == 200;
        });
    });
}

bool Fleet::waitForEndpoints(const std::vector<int> &entries, size_t count)
{
    return eventually([&] {
        return std::all_of(entries.begin(), entries.end(), [&](int n) { return entryDump(n)["live"]["endpoints"].size() == count; });
    });
}

Json Fleet::resolve(int entry)
{
    const httplib::Result result = clientFor("127.0.0.1", m_firstPort + 30 + entry).Get("/api/resolve?name=h.example&region=r&zone=z1");
    return result && result->status == 200 ? Json::parse(result->body) : Json();
}

httplib::Result Fleet::sendRequest(int entry, const std::string &path, const std::string &id, const std::string &model,
                                   httplib::Headers extraHeaders)
{
    extraHeaders.emplace("Host", "h.example");
    extraHeaders.emplace("X-Request-Id", id);
    extraHeaders.emplace("X-Deadline-Ms", "10000");
    if (!model.empty())
        extraHeaders.emplace("X-Model", model);
    return clientFor("127.0.0.1", entryPort(entry)).Post(path, extraHeaders, "the body", "text/plain");
}

httplib::Result Fleet::sendToRunner(int runner, const std::string &path)
{
    return clientFor("127.0.0.1", runnerPort(runner)).Post(path, {{"X-Request-Id", "direct"}}, "", "text/plain");
}

Json Fleet::requestRecords(int runner)
{
    const httplib::Result result = clientFor("127.0.0.1", runnerPort(runner)).Get("/seen");
    return result ? Json::parse(result->body) : Json::object();
}

Json Fleet::requestRecord(int runner, const std::string &id)
{
    return requestRecords(runner).value(id, Json::object());
}

Json Fleet::entryDump(int entry)
{
    const httplib::Result result = clientFor("127.0.0.1", m_firstPort + 60 + entry).Get("/dump");
    return result ? Json::parse(result->body) : Json();
}

std::string Fleet::entryMetrics(int entry)
{
    const httplib::Result result = clientFor("127.0.0.1", m_firstPort + 60 + entry).Get("/metrics");
    return result ? result->body : "";
}

Json Fleet::keeperDump(int keeper)
{
    const httplib::Result result = clientFor(keeperAddress(keeper), m_firstPort + 60).Get("/dump");
    return result ? Json::parse(result->body) : Json();
}

int Fleet::leader()
{
    const std::string begin = "event=orders_begin term=";
    int leaderNumber = 0;
    size_t term = 0;
    for (int n = 1; n <= KeeperCount; ++n) {
        const std::string text = output("keeper-" + std::to_string(n));
        const size_t at = text.rfind(begin);
        if (at == std::string::npos)
            continue;
        const size_t foundTerm = std::stoul(text.substr(at + begin.size()));
        if (foundTerm > term) {
            term = foundTerm;
            leaderNumber = n;
        }
    }
    return leaderNumber;
}

bool Fleet::waitForOrders(int orderLeaseMs)
{
    const bool begun = eventually([&] { return leader() != 0; });
    std::this_thread::sleep_for(std::chrono::milliseconds(orderLeaseMs) + OrderStartMargin);
    return begun;
}

std::vector<int64_t> Fleet::arrivals(int runner)
{
    const httplib::Result result = clientFor("127.0.0.1", runnerPort(runner)).Get("/arrivals");
    return result ? Json::parse(result->body).get<std::vector<int64_t>>() : std::vector<int64_t>();
}

Json Fleet::orders(int runner)
{
    const httplib::Result result = clientFor("127.0.0.1", runnerPort(runner)).Get("/orders");
    return result ? Json::parse(result->body) : Json::array();
}

} // namespace roserail::test
