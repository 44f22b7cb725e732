#include "standin/engine.h"

#include <cmath>
#include <fmt/format.h>
#include <unistd.h>

namespace standin
{

namespace
{

constexpr int FullSpeedLoads = 4;
constexpr int FullSpeedAdapters = 32;
constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr std::chrono::seconds AbandonAfter{10};
constexpr std::chrono::seconds StallDuration{30};

void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

std::chrono::nanoseconds toNanoseconds(double ms)
{
    return std::chrono::nanoseconds(int64_t(ms * 1e6));
}

// Returns the fault that the prompt requests, such as "cut@5" for "fault:cut@5"; empty for none.
std::string requestedFault(const std::string &body)
{
    const size_t at = body.find("fault:");
    if (at == std::string::npos)
        return "";
    const size_t end = body.find_first_of(" \"\\", at);
    return body.substr(at + 6, end - at - 6);
}

} // namespace

SharedCluster::SharedCluster(double loadsPerSecond, double slowdown)
    : m_interval(1 / loadsPerSecond)
    , m_slowdown(slowdown)
{
}

void SharedCluster::setSlowdown(double slowdown)
{
    const std::lock_guard lock(m_mutex);
    m_slowdown = slowdown;
}

void SharedCluster::load(double ms)
{
    Clock::time_point start;
    double factor = 1;
    {
        const std::lock_guard lock(m_mutex);
        start = std::max(Clock::now(), m_nextStart);
        m_nextStart = start + toNanoseconds(m_interval * 1000 * m_slowdown);
        ++m_loads;
        ++m_totalLoads;
        m_peakLoads = std::max(m_peakLoads, m_loads);
        factor = m_slowdown * std::max(1.0, double(m_loads) / FullSpeedLoads);
    }
    std::this_thread::sleep_until(start);
    sleepMs(ms * factor);
    const std::lock_guard lock(m_mutex);
    --m_loads;
}

void SharedCluster::adapterLoad(double ms)
{
    double factor = 1;
    {
        const std::lock_guard lock(m_mutex);
        ++m_adapterLoads;
        m_peakAdapterLoads = std::max(m_peakAdapterLoads, m_adapterLoads);
        factor = std::max(1.0, double(m_adapterLoads) / FullSpeedAdapters);
    }
    sleepMs(ms * factor);
    const std::lock_guard lock(m_mutex);
    --m_adapterLoads;
}

void SharedCluster::accumulateHeldSeconds()
{
    const Clock::time_point now = Clock::now();
    m_heldSeconds += m_modelCount * std::chrono::duration<double>(now - m_heldUpdatedAt).count();
    m_heldUpdatedAt = now;
}

void SharedCluster::allocate(const std::string &host, const std::string &artifact, uint64_t bytes, uint64_t hostBytes)
{
    const std::lock_guard lock(m_mutex);
    accumulateHeldSeconds();
    m_modelCount += 1;
    m_peakReplicas[artifact] = std::max(m_peakReplicas[artifact], ++m_replicas[artifact]);
    m_hostBytes[host] += bytes;
    m_overcommitted += m_hostBytes[host] > hostBytes ? 1 : 0;
}

void SharedCluster::release(const std::string &host, const std::string &artifact, uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    accumulateHeldSeconds();
    m_modelCount -= 1;
    --m_replicas[artifact];
    m_hostBytes[host] -= bytes;
}

Json SharedCluster::stats()
{
    const std::lock_guard lock(m_mutex);
    accumulateHeldSeconds();
    return Json{{"peak_loads", m_peakLoads},
                {"total_loads", m_totalLoads},
                {"peak_adapter_loads", m_peakAdapterLoads},
                {"overcommitted", m_overcommitted},
                {"peak_replicas", m_peakReplicas},
                {"replicas", m_replicas},
                {"held_replica_seconds", m_heldSeconds}};
}

Engine::Engine(EngineOptions options, SharedCluster &cluster)
    : m_options(std::move(options))
    , m_cluster(cluster)
    , m_incarnation(uint64_t(std::chrono::system_clock::now().time_since_epoch().count()))
{
    m_server.new_task_queue = [] {
        return new httplib::ThreadPool(64);
    };
    m_server.set_tcp_nodelay(true);
    route();
    if (m_options.port == 0)
        m_options.port = m_server.bind_to_any_port(m_options.listenHost.c_str());
    else if (!m_server.bind_to_port(m_options.listenHost.c_str(), m_options.port))
        throw std::runtime_error(fmt::format("cannot listen on port {}", m_options.port));
    m_serverThread = std::thread([this] { m_server.listen_after_bind(); });
    m_announceThread = std::thread([this] { announceLoop(); });
}

Engine::~Engine()
{
    m_stop = true;
    wakeAnnounce();
    m_server.stop();
    m_serverThread.join();
    m_announceThread.join();
    for (std::thread &it : m_jobs)
        it.join();
}

void Engine::run(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs.emplace_back(std::move(job));
}

void Engine::route()
{
    m_server.Post("/v1/orders", [this](const httplib::Request &request, httplib::Response &response) { order(request, response); });
    m_server.Post(R"(/v1/(chat/)?completions)",
                  [this](const httplib::Request &request, httplib::Response &response) { complete(request, response); });
    m_server.Get(R"(/v1/streams/(\w+))", [this](const httplib::Request &request, httplib::Response &response) {
        stream(request.matches[1].str(), std::strtoull(request.get_param_value("from").c_str(), nullptr, 10), "", response);
    });
    m_server.Get(R"(/v1/results/(\w+))",
                 [this](const httplib::Request &request, httplib::Response &response) { result(request.matches[1].str(), response); });
    m_server.Get("/healthz", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        response.set_header("X-Incarnation", std::to_string(m_incarnation));
    });
    m_server.Get("/standin/stats", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(stats().dump(), "application/json");
    });
    m_server.Post("/standin/script", [this](const httplib::Request &request, httplib::Response &) {
        const Json script = Json::parse(request.body, nullptr, false);
        const std::lock_guard lock(m_mutex);
        m_dropAnswers = script.value("drop_answers", m_dropAnswers);
        m_delayOrdersMs = script.value("delay_orders_ms", m_delayOrdersMs);
        m_muted = script.value("muted", m_muted);
        m_leaving = script.value("leaving", m_leaving.load());
        m_stallEpoch += script.value("silence_old", false) ? 1 : 0;
        m_changed = true;
        m_wake.notify_all();
    });
}

Json Engine::stats()
{
    Json cluster = m_cluster.stats();
    const std::lock_guard lock(m_mutex);
    int repeated = 0;
    for (const std::pair<const std::string, int> &it : m_executions)
        repeated += it.second > 1 ? 1 : 0;
    cluster["id"] = m_options.id;
    cluster["completions"] = m_completions;
    cluster["repeated_attempts"] = repeated;
    cluster["stale_orders"] = m_staleOrders;
    cluster["held"] = m_held.size();
    cluster["incarnation"] = m_incarnation;
    return cluster;
}

void Engine::order(const httplib::Request &request, httplib::Response &response)
{
    const Json json = Json::parse(request.body, nullptr, false);
    int delay = 0;
    {
        const std::lock_guard lock(m_mutex);
        delay = m_delayOrdersMs;
    }
    if (delay > 0)
        sleepMs(delay);
    std::unique_lock lock(m_mutex);
    const uint64_t fence = json.value("fence", uint64_t(0));
    if (m_options.checksFencing && fence < m_fence) {
        ++m_staleOrders;
        response.status = 409;
        response.set_content(Json{{"error", "stale fence"}, {"sequence", m_sequence}}.dump(), "application/json");
        return;
    }
    m_fence = std::max(m_fence, fence);
    const std::string artifact = json.value("artifact", "");
    const uint64_t incarnation = m_incarnation;
    const bool held = m_held.count(artifact) != 0;
    if (json.value("kind", "") == "load" && !held) {
        const HeldArtifact entry{json.value("version", ""), json.value("bytes", uint64_t(0)), false, json.value("base", "")};
        m_held[artifact] = entry;
        m_cluster.allocate(m_options.host, artifact, entry.bytes, m_options.hostBytes);
        lock.unlock();
        run([this, artifact, entry, incarnation] { load(artifact, entry, incarnation); });
        lock.lock();
    } else if (json.value("kind", "") == "unload" && held) {
        lock.unlock();
        run([this, artifact, incarnation] { unload(artifact, incarnation); });
        lock.lock();
    }
    const bool drop = m_dropAnswers > 0;
    m_dropAnswers -= drop ? 1 : 0;
    response.status = 202;
    response.set_content(Json{{"sequence", ++m_sequence}}.dump(), "application/json");
    lock.unlock();
    wakeAnnounce();
    if (drop)
        sleepMs(4000);
}

void Engine::load(const std::string &artifact, HeldArtifact held, uint64_t incarnation)
{
    bool onDisk = false;
    {
        const std::lock_guard lock(m_mutex);
        onDisk = m_disk.count(artifact) != 0 && m_disk[artifact] == held.version;
    }
    if (!held.base.empty())
        m_cluster.adapterLoad(7);
    else if (onDisk)
        sleepMs(m_options.loadMs * 0.3);
    else
        m_cluster.load(m_options.loadMs);
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_held.find(artifact);
        if (it == m_held.end() || m_incarnation != incarnation)
            return;
        it->second.loaded = true;
        m_disk[artifact] = held.version;
    }
    wakeAnnounce();
}

// Waits for requests that run with the artifact, as a real engine does.
void Engine::unload(const std::string &artifact, uint64_t incarnation)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_held.find(artifact);
        if (it != m_held.end())
            it->second.loaded = false;
    }
    while (!m_stop) {
        bool busy = false;
        {
            const std::lock_guard lock(m_mutex);
            for (const std::pair<const std::string, Stream> &it : m_streams)
                busy |= it.second.model == artifact && !it.second.finished
                    && Clock::now() < it.second.firstToken + toNanoseconds(it.second.tokenMs * it.second.tokens);
        }
        if (!busy)
            break;
        sleepMs(5);
    }
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_held.find(artifact);
        if (it == m_held.end() || m_incarnation != incarnation)
            return;
        m_cluster.release(m_options.host, artifact, it->second.bytes);
        m_held.erase(it);
    }
    wakeAnnounce();
}

uint32_t Engine::running()
{
    uint32_t n = 0;
    for (const std::pair<const std::string, Stream> &it : m_streams)
        n += !it.second.finished && Clock::now() < it.second.firstToken + toNanoseconds(it.second.tokenMs * it.second.tokens) ? 1 : 0;
    return n;
}

void Engine::crash()
{
    if (m_options.crashExits)
        _exit(9);
    const std::lock_guard lock(m_mutex);
    for (const std::pair<const std::string, HeldArtifact> &it : m_held)
        m_cluster.release(m_options.host, it.first, it.second.bytes);
    m_held.clear();
    m_streams.clear();
    m_incarnation = uint64_t(std::chrono::system_clock::now().time_since_epoch().count());
    m_fence = 0;
    m_sequence = 1;
    ++m_stallEpoch;
}

void Engine::complete(const httplib::Request &request, httplib::Response &response)
{
    const std::string attempt = request.get_header_value("X-Request-Id");
    const std::string fault = requestedFault(request.body);
    const Json json = Json::parse(request.body, nullptr, false);
    const std::string model = json.value("model", "");
    response.set_header("X-Request-Id", attempt);
    if (fault == "crash")
        return crash();
    {
        const std::lock_guard lock(m_mutex);
        const auto held = m_held.find(model);
        const bool ready = held != m_held.end() && held->second.loaded && running() < m_options.capacity && fault != "refuse";
        if (!ready) {
            response.status = 503;
            response.set_header("X-Not-Run", "true");
            response.set_content(Json{{"error", "not loaded or full"}}.dump(), "application/json");
            return;
        }
        ++m_executions[attempt];
        ++m_completions;
        Stream &entry = m_streams[attempt];
        entry.model = model;
        entry.tokens = json.value("max_tokens", 16u);
        // Each request runs slower in a larger batch.
        entry.tokenMs = m_options.tokenMs * (1 + 0.05 * running());
        entry.firstToken = Clock::now() + toNanoseconds(m_options.prefillMs);
    }
    if (json.value("stream", false))
        stream(attempt, 0, fault, response);
    else
        result(attempt, response);
    if (fault == "cross")
        response.headers.erase("X-Request-Id"), response.set_header("X-Request-Id", "ffffffffffffffff");
}

std::string Engine::eventData(const std::string &attempt, const Stream &stream, uint64_t offset) const
{
    const bool last = offset + 1 == stream.tokens;
    const Json choice{{"index", 0},
                      {"delta", {{"content", fmt::format("{}-{} ", attempt.substr(0, 4), offset)}}},
                      {"finish_reason", last ? Json("stop") : Json()}};
    return Json{{"id", attempt}, {"object", "chat.completion.chunk"}, {"model", stream.model}, {"choices", {choice}}}.dump();
}

void Engine::result(const std::string &attempt, httplib::Response &response)
{
    Stream entry;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_streams.find(attempt);
        if (it == m_streams.end()) {
            response.status = 404;
            return;
        }
        entry = it->second;
    }
    std::this_thread::sleep_until(entry.firstToken + toNanoseconds(entry.tokenMs * entry.tokens));
    std::string text;
    for (uint64_t i = 0; i < entry.tokens; ++i)
        text += fmt::format("{}-{} ", attempt.substr(0, 4), i);
    response.set_header("X-Request-Id", attempt);
    const Json choice{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "stop"}};
    response.set_content(Json{{"id", attempt},
                              {"object", "chat.completion"},
                              {"model", entry.model},
                              {"choices", {choice}},
                              {"usage", {{"completion_tokens", entry.tokens}}}}
                             .dump(),
                         "application/json");
}

void Engine::stream(const std::string &attempt, uint64_t from, const std::string &fault, httplib::Response &response)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_streams.count(attempt) == 0) {
            response.status = 404;
            return;
        }
    }
    response.set_header("X-Request-Id", attempt);
    const std::shared_ptr<uint64_t> next = std::make_shared<uint64_t>(from);
    const std::shared_ptr<Clock::time_point> lastWrite = std::make_shared<Clock::time_point>(Clock::now());
    const uint64_t epoch = m_stallEpoch;
    const uint64_t faultAt
        = fault.find('@') == std::string::npos ? UINT64_MAX : std::strtoull(fault.c_str() + fault.find('@') + 1, nullptr, 10);
    const std::string faultKind = fault.substr(0, fault.find('@'));
    response.set_chunked_content_provider("text/event-stream", [=, this](size_t, httplib::DataSink &sink) {
        if (m_stallEpoch != epoch || (faultKind == "silence" && *next >= faultAt)) {
            // The connection stays open but sends nothing more; new connections work.
            const Clock::time_point until = Clock::now() + StallDuration;
            while (Clock::now() < until && !m_stop && sink.is_writable())
                sleepMs(20);
            return false;
        }
        if (faultKind == "cut" && *next >= faultAt)
            return false;
        Stream entry;
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_streams.find(attempt);
            if (it == m_streams.end())
                return false;
            entry = it->second;
        }
        if (faultKind == "crash" && *next >= faultAt)
            crash();
        std::string text;
        if (*next >= entry.tokens) {
            text = fmt::format("id: {}\ndata: [DONE]\n\n", *next);
            const std::lock_guard lock(m_mutex);
            m_streams[attempt].finished = true;
        } else if (Clock::now() >= entry.firstToken + toNanoseconds(entry.tokenMs * double(*next))) {
            if (faultKind == "cross")
                text += fmt::format("id: {}\ndata: {}\n\n", *next, eventData("0123456789abcdef", entry, *next));
            text += fmt::format("id: {}\ndata: {}\n\n", *next, eventData(attempt, entry, *next));
        } else if (Clock::now() > *lastWrite + std::chrono::seconds(1)) {
            text = ": running\n\n";
        } else {
            sleepMs(1);
            return true;
        }
        *lastWrite = Clock::now();
        if (!sink.write(text.data(), text.size()))
            return false;
        if (*next >= entry.tokens)
            sink.done();
        *next += text[0] == ':' ? 0 : 1;
        return true;
    });
}

Json Engine::announcement()
{
    const std::lock_guard lock(m_mutex);
    Json artifacts = Json::array();
    for (const std::pair<const std::string, HeldArtifact> &it : m_held)
        artifacts.push_back(Json{
            {"artifact", it.first}, {"version", it.second.version}, {"state", it.second.loaded ? "loaded" : "loading"}, {"tier", "disk"}});
    for (const std::pair<const std::string, std::string> &it : m_disk) {
        if (m_held.count(it.first) == 0)
            artifacts.push_back(Json{{"artifact", it.first}, {"version", it.second}, {"state", "absent"}, {"tier", "disk"}});
    }
    return Json{{"endpoint", m_options.id},
                {"incarnation", m_incarnation},
                {"sequence", ++m_sequence},
                {"address", fmt::format("{}:{}", m_options.listenHost, m_options.port)},
                {"host", m_options.host},
                {"zone", m_options.zone},
                {"pool", m_options.pool},
                {"host_bytes", m_options.hostBytes},
                {"endpoint_bytes", m_options.endpointBytes},
                {"checks_fencing", m_options.checksFencing},
                {"leaving", m_leaving.load()},
                {"fence", m_options.checksFencing ? m_fence : 0},
                {"running", running()},
                {"capacity", m_options.capacity},
                {"artifacts", artifacts}};
}

void Engine::wakeAnnounce()
{
    const std::lock_guard lock(m_mutex);
    m_changed = true;
    m_wake.notify_all();
}

void Engine::announceLoop()
{
    while (!m_stop) {
        bool muted = false;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, AnnounceInterval, [this] { return m_changed || m_stop; });
            m_changed = false;
            muted = m_muted;
        }
        if (muted || m_options.routers.empty())
            continue;
        const std::string &router = m_options.routers[m_nextRouter % m_options.routers.size()];
        const size_t colon = router.rfind(':');
        httplib::Client client(router.substr(0, colon), std::atoi(router.c_str() + colon + 1));
        client.set_connection_timeout(std::chrono::milliseconds(300));
        client.set_read_timeout(std::chrono::milliseconds(500));
        const httplib::Result answer = client.Post("/roserail/v1/announce", announcement().dump(), "application/json");
        if (answer && answer->status == 200)
            continue;
        ++m_nextRouter;
        sleepMs(100);
        wakeAnnounce();
    }
}

} // namespace standin
