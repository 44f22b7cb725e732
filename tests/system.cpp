#include "system.h"

#include "protocol/json.h"
#include "protocol/sse.h"

#include <fmt/format.h>
#include <thread>
#include <unistd.h>

namespace roserail::test
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{20};

httplib::Client clientFor(int port, int timeoutMs = 20000)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::milliseconds(timeoutMs));
    return client;
}

} // namespace

std::string newIdempotencyKey(const std::string &name)
{
    return fmt::format("{}-{}", std::time(nullptr), name);
}

System::System(const std::string &name, int firstPort, int snapshotEvery)
    : Processes(name)
    , m_firstPort(firstPort)
    , m_snapshotEvery(snapshotEvery)
{
}

std::string System::routerAddresses() const
{
    return fmt::format("127.0.0.1:{},127.0.0.1:{}", routerPort(1), routerPort(2));
}

void System::startControl(int id)
{
    std::string settings
        = fmt::format("id: {}\nzone: zone-{}\ndataFolder: {}\nrootTokenSha256: \"{}\"\nsnapshotEvery: {}\n{}replicas:\n", id, id,
                      (folder() / fmt::format("data-{}", id)).string(), sha256Hex("root-token"), m_snapshotEvery, m_moreSettings);
    for (const int it : {1, 2, 3})
        settings += fmt::format("  - {{id: {}, peerAddress: \"127.0.0.1:{}\", operatorAddress: \"127.0.0.1:{}\"}}\n", it, m_firstPort + it,
                                controlPort(it));
    const std::string path = writeFile(fmt::format("control-{}.yaml", id), settings);
    spawn(fmt::format("control-{}", id), {ROSERAIL_BUILD "/roserail-control", path});
}

void System::startRouter(int id, int graceMs)
{
    const std::filesystem::path path = folder() / fmt::format("router-{}.yaml", id);
    writeFile(
        path,
        fmt::format(
            "id: router-{}\nzone: zone-{}\nlisten: \"127.0.0.1:{}\"\ncontrol: [\"127.0.0.1:{}\", \"127.0.0.1:{}\", \"127.0.0.1:{}\"]\n{}",
            id, id, routerPort(id), m_firstPort + 1, m_firstPort + 2, m_firstPort + 3,
            graceMs == 0 ? "" : fmt::format("grace: {}ms\n", graceMs))
            + m_moreSettings);
    spawn(fmt::format("router-{}", id), {ROSERAIL_BUILD "/roserail-router", path});
}

void System::startEngine(int id, std::vector<std::string> options)
{
    std::vector<std::string> command{ROSERAIL_BUILD "/tests/standin-engine",
                                     "--id",
                                     fmt::format("engine-{}", id),
                                     "--pool",
                                     "pool",
                                     "--port",
                                     std::to_string(enginePort(id)),
                                     "--routers",
                                     routerAddresses(),
                                     "--load-ms",
                                     "300"};
    command.insert(command.end(), options.begin(), options.end());
    spawn(fmt::format("engine-{}", id), command);
}

void System::startService(int id)
{
    spawn(fmt::format("service-{}", id),
          {ROSERAIL_BUILD "/tests/standin-service", "--id", fmt::format("service-{}", id), "--pool", "ledger", "--port",
           std::to_string(servicePort(id)), "--routers", routerAddresses()});
}

std::string System::document(const std::string &models)
{
    return fmt::format(
        "sections:\n"
        "  platform:\n"
        "    revision: 0\n"
        "    pools: [{{name: pool, endpointBytes: 24GiB}}, {{name: ledger, endpointBytes: 0B}}]\n"
        "    operators: [{{name: owner, tokenSha256: \"{}\", sections: [models]}}]\n"
        "    callers:\n"
        "      - {{name: caller, tokenSha256: \"{}\", class: interactive, use: [\"*\"]}}\n"
        "      - {{name: other, tokenSha256: \"{}\", class: overnight, use: [\"*\"]}}\n"
        "    services: [{{name: licences, pool: ledger, idempotent: false}}, {{name: catalogue, pool: ledger, idempotent: true}}]\n"
        "  models:\n"
        "    revision: 0\n"
        "    models:\n{}",
        sha256Hex("owner-token"), sha256Hex("caller-token"), sha256Hex("other-token"), models);
}

void System::bootstrap()
{
    const Output bootstrapped = ctl({"bootstrap", "-f", (folder() / "control-1.yaml").string()});
    if (bootstrapped.code != 0)
        throw std::runtime_error("bootstrap: " + bootstrapped.err);
    const Output applied
        = ctl({"apply", "-f", "-"},
              document("      - {name: small, version: v1, pool: pool, bytes: 8GiB, replicas: {min: 0, max: 2}, loadTime: 300ms}\n"
                       "      - {name: large, version: v1, pool: pool, bytes: 16GiB, replicas: {min: 0, max: 1}, loadTime: 300ms}\n"));
    if (applied.code != 0)
        throw std::runtime_error("apply: " + applied.err);
}

void System::wipe(int control)
{
    std::filesystem::remove_all(folder() / fmt::format("data-{}", control));
}

System::Output System::ctl(const std::vector<std::string> &arguments, const std::string &text)
{
    static std::atomic<int> calls{0};
    const std::filesystem::path pathPrefix = folder() / fmt::format("ctl-{}", ++calls);
    std::vector<std::string> command{ROSERAIL_BUILD "/roserailctl", "--control",
                                     fmt::format("127.0.0.1:{},127.0.0.1:{},127.0.0.1:{}", controlPort(1), controlPort(2), controlPort(3))};
    const bool ownToken = std::find(arguments.begin(), arguments.end(), "--token") != arguments.end();
    if (!ownToken)
        command.insert(command.end(), {"--token", "root-token"});
    command.insert(command.end(), arguments.begin(), arguments.end());
    writeFile(pathPrefix.filename().string() + ".in", text);
    const int code = runToEnd(command, pathPrefix.string() + ".out", pathPrefix.string() + ".err", pathPrefix.string() + ".in");
    return Output{code, readWholeFile(pathPrefix.string() + ".out"), readWholeFile(pathPrefix.string() + ".err")};
}

Json System::status(int control)
{
    const httplib::Result result = clientFor(controlPort(control), 500).Get("/status");
    return result ? Json::parse(result->body, nullptr, false) : Json::object();
}

int System::leader()
{
    for (const int id : {1, 2, 3}) {
        if (started(fmt::format("control-{}", id)) && status(id).value("leads", false))
            return id;
    }
    return 0;
}

int System::waitForLeader(int except)
{
    int id = 0;
    eventually([&] {
        id = leader();
        return id != 0 && id != except;
    });
    return id;
}

Json System::engineStats(int id)
{
    const httplib::Result result = clientFor(enginePort(id), 1000).Get("/standin/stats");
    return result ? Json::parse(result->body, nullptr, false) : Json::object();
}

std::map<std::string, int> System::serviceExecutions(int id)
{
    const httplib::Result result = clientFor(servicePort(id), 1000).Get("/standin/stats");
    const Json json = result ? Json::parse(result->body, nullptr, false) : Json::object();
    return json.contains("runs") && json["runs"].is_object() ? json["runs"].get<std::map<std::string, int>>()
                                                             : std::map<std::string, int>();
}

void System::scriptEngine(int id, const Json &script)
{
    clientFor(enginePort(id)).Post("/standin/script", script.dump(), "application/json");
}

void System::scriptService(int id, const Json &script)
{
    clientFor(servicePort(id)).Post("/standin/script", script.dump(), "application/json");
}

CallerResponse System::sendAndRead(int port, httplib::Request request, const std::function<bool(const CallerResponse &)> &keepReading)
{
    CallerResponse received;
    SseParser parser;
    std::string body;
    request.response_handler = [&](const httplib::Response &response) {
        received.status = response.status;
        received.outcome = response.get_header_value("Roserail-Outcome");
        received.retryAfter = response.get_header_value("Retry-After");
        return true;
    };
    request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        body.append(data, n);
        for (const SseEvent &it : parser.feed(data, n)) {
            const Json json = Json::parse(it.data, nullptr, false);
            received.lastId = it.id.empty() ? received.lastId : it.id;
            received.done |= it.data == "[DONE]";
            if (json.is_object() && json.contains("error"))
                received.error = json["error"].value("type", "");
            else if (json.is_object())
                received.contents.push_back(json["choices"][0]["delta"].value("content", ""));
        }
        return keepReading == nullptr || keepReading(received);
    };
    clientFor(port).send(request);
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object())
        received.error = json["error"].value("type", "");
    else if (json.is_object())
        received.contents = {body};
    return received;
}

CallerResponse System::stream(int router, const std::string &model, const std::string &prompt, int tokens, int deadlineMs,
                              const std::function<bool(const CallerResponse &)> &keepReading)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}};
    request.body
        = Json{{"model", model}, {"stream", true}, {"max_tokens", tokens}, {"messages", {{{"role", "user"}, {"content", prompt}}}}}.dump();
    return sendAndRead(routerPort(router), request, keepReading);
}

CallerResponse System::resume(int router, const std::string &lastId, const std::string &token)
{
    httplib::Request request;
    request.method = "GET";
    request.path = "/v1/streams";
    request.headers = {{"Authorization", "Bearer " + token}, {"Last-Event-ID", lastId}};
    return sendAndRead(routerPort(router), request, nullptr);
}

CallerResponse System::completion(int router, const std::string &model, const std::string &prompt, int deadlineMs)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}};
    request.body = Json{{"model", model}, {"max_tokens", 4}, {"messages", {{{"role", "user"}, {"content", prompt}}}}}.dump();
    return sendAndRead(routerPort(router), request, nullptr);
}

CallerResponse System::callService(int router, const std::string &key, const std::string &payload, int deadlineMs)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/services/licences/sell";
    request.headers
        = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}, {"Idempotency-Key", key}};
    request.body = payload;
    return sendAndRead(routerPort(router), request, nullptr);
}

} // namespace roserail::test
