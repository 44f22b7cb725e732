// Simulated plain service for tests, whose requests may not be repeated. Counts the executions of each idempotency key.

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace
{

using Json = nlohmann::json;

std::mutex mutex;
std::map<std::string, int> runs;
std::map<std::string, int> script{{"delay_ms", 0}, {"cut", 0}, {"refuse", 0}, {"cross", 0}, {"leaving", 0}, {"muted", 0}};

int consumeScript(const std::string &name)
{
    const std::lock_guard lock(mutex);
    return script[name] > 0 ? script[name]-- : 0;
}

void handleRequest(const httplib::Request &request, httplib::Response &response)
{
    const std::string key = request.get_header_value("Idempotency-Key");
    response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    if (consumeScript("refuse") > 0) {
        response.status = 503;
        response.set_header("X-Not-Run", "true");
        return;
    }
    int delay = 0;
    int count = 0;
    {
        const std::lock_guard lock(mutex);
        count = ++runs[key];
        delay = script["delay_ms"];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    if (consumeScript("cut") > 0) {
        response.set_content_provider(1000, "text/plain", [](size_t, size_t, httplib::DataSink &) { return false; });
        return;
    }
    if (consumeScript("cross") > 0)
        response.headers.erase("X-Request-Id"), response.set_header("X-Request-Id", "of-another-request");
    response.set_content(Json{{"key", key}, {"run", count}, {"echo", request.body}}.dump(), "application/json");
}

void announce(const std::string &id, const std::string &pool, int port, const std::vector<std::string> &routers)
{
    const uint64_t incarnation = uint64_t(std::chrono::system_clock::now().time_since_epoch().count());
    uint64_t sequence = 0;
    size_t next = 0;
    while (true) {
        Json json{
            {"endpoint", id},       {"incarnation", incarnation}, {"sequence", ++sequence}, {"address", fmt::format("127.0.0.1:{}", port)},
            {"host", "host-" + id}, {"zone", "zone-0"},           {"pool", pool},           {"capacity", 64},
            {"service", true}};
        bool muted = false;
        {
            const std::lock_guard lock(mutex);
            json["leaving"] = script["leaving"] != 0;
            muted = script["muted"] != 0;
        }
        const std::string &router = routers[next % routers.size()];
        const size_t colon = router.rfind(':');
        httplib::Client client(router.substr(0, colon), std::atoi(router.c_str() + colon + 1));
        client.set_connection_timeout(std::chrono::milliseconds(300));
        client.set_read_timeout(std::chrono::milliseconds(500));
        if (!muted) {
            const httplib::Result answer = client.Post("/roserail/v1/announce", json.dump(), "application/json");
            next += answer && answer->status == 200 ? 0 : 1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-service", "Simulated plain service for tests.");
    options.add_options()("id", "endpoint id", cxxopts::value<std::string>())("pool", "pool", cxxopts::value<std::string>())(
        "port", "port", cxxopts::value<int>())("routers", "host:port list", cxxopts::value<std::vector<std::string>>());
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    httplib::Server server;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(64);
    };
    server.Get("/standin/stats", [](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(mutex);
        response.set_content(Json{{"runs", runs}}.dump(), "application/json");
    });
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &) {});
    server.Post("/standin/script", [](const httplib::Request &request, httplib::Response &) {
        const Json json = Json::parse(request.body, nullptr, false);
        const std::lock_guard lock(mutex);
        for (Json::const_iterator it = json.begin(); it != json.end(); ++it)
            script[it.key()] = it.value().get<int>();
    });
    server.Get(".*", handleRequest);
    server.Post(".*", handleRequest);
    std::thread(announce, arguments["id"].as<std::string>(), arguments["pool"].as<std::string>(), arguments["port"].as<int>(),
                arguments["routers"].as<std::vector<std::string>>())
        .detach();
    if (!server.listen("127.0.0.1", arguments["port"].as<int>())) {
        std::cerr << "cannot listen\n";
        return 1;
    }
}
