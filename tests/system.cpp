#include "system.h"

#include "protocol/json.h"
#include "protocol/sse.h"

#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace roserail::test
{

namespace
{

constexpr std::chrono::milliseconds Poll{20};

httplib::Client clientFor(int port, int timeoutMs = 20000)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::milliseconds(timeoutMs));
    return client;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream(path) << text;
}

// Starts a program with its output in files and returns its process id.
int start(const std::vector<std::string> &command, const std::filesystem::path &out, const std::filesystem::path &err,
          const std::string &in)
{
    std::vector<char *> words;
    for (const std::string &it : command)
        words.push_back(const_cast<char *>(it.c_str()));
    words.push_back(nullptr);
    const int pid = ::fork();
    if (pid != 0)
        return pid;
    ::dup2(::open(in.empty() ? "/dev/null" : in.c_str(), O_RDONLY), 0);
    ::dup2(::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), 1);
    ::dup2(::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), 2);
    ::execv(words[0], words.data());
    ::_exit(127);
}

} // namespace

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds time)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(Poll);
    }
    return true;
}

std::string freshKey(const std::string &name)
{
    return fmt::format("{}-{}", std::time(nullptr), name);
}

System::System(const std::string &name, int base, int snapshotEvery)
    : m_folder(std::filesystem::temp_directory_path() / fmt::format("roserail-{}-{}", name, ::getpid()))
    , m_base(base)
    , m_snapshotEvery(snapshotEvery)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

System::~System()
{
    for (const std::pair<const std::string, int> &it : m_pids) {
        ::kill(it.second, SIGCONT);
        ::kill(it.second, SIGKILL);
        ::waitpid(it.second, nullptr, 0);
    }
    if (std::getenv("ROSERAIL_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
}

void System::spawn(const std::string &name, const std::vector<std::string> &command)
{
    m_pids[name] = start(command, m_folder / (name + ".out"), m_folder / (name + ".log"), "");
}

std::string System::routers() const
{
    return fmt::format("127.0.0.1:{},127.0.0.1:{}", routerPort(1), routerPort(2));
}

void System::startControl(int id)
{
    std::string settings = fmt::format("id: {}\nzone: zone-{}\ndataFolder: {}\nrootTokenSha256: \"{}\"\nsnapshotEvery: {}\nreplicas:\n", id,
                                       id, (m_folder / fmt::format("data-{}", id)).string(), sha256Hex("root-token"), m_snapshotEvery);
    for (const int it : {1, 2, 3})
        settings += fmt::format("  - {{id: {}, peerAddress: \"127.0.0.1:{}\", operatorAddress: \"127.0.0.1:{}\"}}\n", it, m_base + it,
                                controlPort(it));
    const std::filesystem::path path = m_folder / fmt::format("control-{}.yaml", id);
    writeFile(path, settings);
    spawn(fmt::format("control-{}", id), {ROSERAIL_BUILD "/roserail-control", path.string()});
}

void System::startRouter(int id)
{
    const std::filesystem::path path = m_folder / fmt::format("router-{}.yaml", id);
    writeFile(
        path,
        fmt::format(
            "id: router-{}\nzone: zone-{}\nlisten: \"127.0.0.1:{}\"\ncontrol: [\"127.0.0.1:{}\", \"127.0.0.1:{}\", \"127.0.0.1:{}\"]\n", id,
            id, routerPort(id), m_base + 1, m_base + 2, m_base + 3));
    spawn(fmt::format("router-{}", id), {ROSERAIL_BUILD "/roserail-router", path.string()});
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
                                     routers(),
                                     "--load-ms",
                                     "300"};
    command.insert(command.end(), options.begin(), options.end());
    spawn(fmt::format("engine-{}", id), command);
}

void System::startService(int id)
{
    spawn(fmt::format("service-{}", id),
          {ROSERAIL_BUILD "/tests/standin-service", "--id", fmt::format("service-{}", id), "--pool", "ledger", "--port",
           std::to_string(servicePort(id)), "--routers", routers()});
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

void System::found()
{
    const Output founded = ctl({"bootstrap", "-f", (m_folder / "control-1.yaml").string()});
    if (founded.code != 0)
        throw std::runtime_error("bootstrap: " + founded.err);
    const Output applied
        = ctl({"apply", "-f", "-"},
              document("      - {name: small, version: v1, pool: pool, bytes: 8GiB, replicas: {min: 0, max: 2}, loadTime: 300ms}\n"
                       "      - {name: large, version: v1, pool: pool, bytes: 16GiB, replicas: {min: 0, max: 1}, loadTime: 300ms}\n"));
    if (applied.code != 0)
        throw std::runtime_error("apply: " + applied.err);
}

void System::signal(const std::string &process, int number)
{
    ::kill(m_pids.at(process), number);
}

void System::kill(const std::string &process)
{
    const int pid = m_pids.at(process);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    m_pids.erase(process);
}

int System::wait(const std::string &process)
{
    int status = 0;
    ::waitpid(m_pids.at(process), &status, 0);
    m_pids.erase(process);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool System::running(const std::string &process)
{
    return ::waitpid(m_pids.at(process), nullptr, WNOHANG) == 0;
}

void System::wipe(int control)
{
    std::filesystem::remove_all(m_folder / fmt::format("data-{}", control));
}

System::Output System::ctl(const std::vector<std::string> &arguments, const std::string &text)
{
    static std::atomic<int> calls{0};
    const std::filesystem::path stem = m_folder / fmt::format("ctl-{}", ++calls);
    std::vector<std::string> command{ROSERAIL_BUILD "/roserailctl", "--control",
                                     fmt::format("127.0.0.1:{},127.0.0.1:{},127.0.0.1:{}", controlPort(1), controlPort(2), controlPort(3))};
    const bool ownToken = std::find(arguments.begin(), arguments.end(), "--token") != arguments.end();
    if (!ownToken)
        command.insert(command.end(), {"--token", "root-token"});
    command.insert(command.end(), arguments.begin(), arguments.end());
    writeFile(stem.string() + ".in", text);
    const int pid = start(command, stem.string() + ".out", stem.string() + ".err", stem.string() + ".in");
    int status = 0;
    ::waitpid(pid, &status, 0);
    return Output{WEXITSTATUS(status), readFile(stem.string() + ".out"), readFile(stem.string() + ".err")};
}

Json System::status(int control)
{
    const httplib::Result result = clientFor(controlPort(control), 500).Get("/status");
    return result ? Json::parse(result->body, nullptr, false) : Json::object();
}

int System::leader()
{
    for (const int id : {1, 2, 3}) {
        if (m_pids.count(fmt::format("control-{}", id)) != 0 && status(id).value("leads", false))
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

std::map<std::string, int> System::serviceRuns(int id)
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

Received System::read(int router, httplib::Request request, const std::function<bool(const Received &)> &goOn)
{
    Received received;
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
        return goOn == nullptr || goOn(received);
    };
    clientFor(router).send(request);
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object())
        received.error = json["error"].value("type", "");
    else if (json.is_object())
        received.contents = {body};
    return received;
}

Received System::stream(int router, const std::string &model, const std::string &prompt, int tokens, int deadlineMs,
                        const std::function<bool(const Received &)> &goOn)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}};
    request.body
        = Json{{"model", model}, {"stream", true}, {"max_tokens", tokens}, {"messages", {{{"role", "user"}, {"content", prompt}}}}}.dump();
    return read(routerPort(router), request, goOn);
}

Received System::resume(int router, const std::string &lastId, const std::string &token)
{
    httplib::Request request;
    request.method = "GET";
    request.path = "/v1/streams";
    request.headers = {{"Authorization", "Bearer " + token}, {"Last-Event-ID", lastId}};
    return read(routerPort(router), request, nullptr);
}

Received System::whole(int router, const std::string &model, const std::string &prompt, int deadlineMs)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}};
    request.body = Json{{"model", model}, {"max_tokens", 4}, {"messages", {{{"role", "user"}, {"content", prompt}}}}}.dump();
    return read(routerPort(router), request, nullptr);
}

Received System::act(int router, const std::string &key, const std::string &payload, int deadlineMs)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/services/licences/sell";
    request.headers
        = {{"Authorization", "Bearer caller-token"}, {"Roserail-Deadline-Ms", std::to_string(deadlineMs)}, {"Idempotency-Key", key}};
    request.body = payload;
    return read(routerPort(router), request, nullptr);
}

} // namespace roserail::test
