// Measures a running system: latency through a router, throughput of non-idempotent requests, fail-over time, time until a
// change is in force. Not a test: it prints the results and checks no bounds.

#include "protocol/metrics.h"
#include "system.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <thread>

using namespace roserail;
using namespace roserail::test;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr int FirstPort = 23000;

uint64_t microsecondsSince(Clock::time_point began)
{
    return uint64_t(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began).count());
}

void print(const std::string &what, const Histogram &histogram)
{
    std::cout << fmt::format("{:58} n={:<6} p50={:.2f} ms p99={:.2f} ms\n", what, histogram.count(), double(histogram.quantile(0.5)) / 1000,
                             double(histogram.quantile(0.99)) / 1000);
}

// Requests one stream from a router or directly from an engine, and records the time to its first event and to its end.
void measureStream(int port, const httplib::Headers &headers, int requestNumber, Histogram &first, Histogram &whole)
{
    httplib::Client client("127.0.0.1", port);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = headers;
    request.headers.emplace("X-Request-Id", fmt::format("{:032x}", requestNumber));
    request.body = R"({"model":"small","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]})";
    const Clock::time_point began = Clock::now();
    uint64_t firstAt = 0;
    request.content_receiver = [&](const char *, size_t, uint64_t, uint64_t) {
        firstAt = firstAt == 0 ? microsecondsSince(began) : firstAt;
        return true;
    };
    const httplib::Result result = client.send(request);
    if (!result || result->status != 200)
        return;
    first.record(firstAt);
    whole.record(microsecondsSince(began));
}

// Alternates between the two, so that both are measured under the same load of the machine and the model stays loaded.
void compareStreams(const System &system)
{
    Histogram directFirst;
    Histogram directWhole;
    Histogram routedFirst;
    Histogram routedWhole;
    for (int i = 0; i < 300; ++i) {
        measureStream(system.enginePort(1), {}, i, directFirst, directWhole);
        measureStream(system.routerPort(1), {{"Authorization", "Bearer caller-token"}}, i, routedFirst, routedWhole);
    }
    print("engine called directly: first token", directFirst);
    print("engine called directly: whole answer", directWhole);
    print("through a router: first token", routedFirst);
    print("through a router: whole answer", routedWhole);
}

// Measures non-idempotent requests of several concurrent callers.
void measureServiceRequests(System &system, int callers)
{
    Histogram latency;
    std::atomic<int> next{0};
    const Clock::time_point began = Clock::now();
    std::vector<std::thread> threads;
    const uint64_t syncs = system.status(system.leader()).value("syncs", uint64_t(0));
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            while (Clock::now() < began + std::chrono::seconds(3)) {
                const Clock::time_point sent = Clock::now();
                const CallerResponse received
                    = system.callService(i % 2 + 1, newIdempotencyKey(fmt::format("m{}-{}", callers, ++next)), "x");
                if (received.status == 200)
                    latency.record(microsecondsSince(sent));
            }
        });
    }
    for (std::thread &it : threads)
        it.join();
    const double seconds = double(microsecondsSince(began)) / 1e6;
    const uint64_t synced = system.status(system.leader()).value("syncs", uint64_t(0)) - syncs;
    print(fmt::format("non-idempotent requests, {} callers", callers), latency);
    std::cout << fmt::format("    {:.0f} requests/s, each with 2 commits; {:.2f} syncs of the leader's log per request\n",
                             double(latency.count()) / seconds, double(synced) / double(std::max<uint64_t>(1, latency.count())));
}

void measureFailOver(System &system, int signalNumber, const std::string &name)
{
    Histogram times;
    for (int i = 0; i < 6; ++i) {
        const int oldLeader = system.waitForLeader();
        const std::string process = fmt::format("control-{}", oldLeader);
        const Clock::time_point began = Clock::now();
        if (signalNumber == SIGKILL)
            system.kill(process);
        else
            system.signal(process, signalNumber);
        eventually([&] {
            for (const int id : {1, 2, 3}) {
                if (id != oldLeader && system.status(id).value("leads", false))
                    return true;
            }
            return false;
        });
        times.record(microsecondsSince(began));
        if (signalNumber == SIGKILL)
            system.startControl(oldLeader);
        else
            system.signal(process, SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    }
    print("a new leader after " + name, times);
}

} // namespace

int main()
{
    System system("measure", FirstPort);
    for (const int id : {1, 2, 3})
        system.startControl(id);
    for (const int id : {1, 2})
        system.startRouter(id);
    system.startEngine(1, {"--prefill-ms", "5", "--token-ms", "2"});
    system.startService(1);
    system.bootstrap();
    eventually([&] { return system.stream(1, "small", "hello").done && system.callService(1, newIdempotencyKey("w"), "x").status == 200; });
    compareStreams(system);
    for (const int callers : {1, 8, 32})
        measureServiceRequests(system, callers);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    Histogram applyLatency;
    uint64_t revision = 1;
    for (int i = 0; i < 20; ++i) {
        const std::string text
            = fmt::format("sections:\n  models:\n    revision: {}\n    models:\n"
                          "      - {{name: small, version: v1, pool: pool, bytes: 8GiB, replicas: {{min: 0, max: {}}}, loadTime: 300ms}}\n",
                          revision, i % 3 + 1);
        const Clock::time_point began = Clock::now();
        const System::Output output = system.ctl({"apply", "-f", "-"}, text);
        if (output.code == 0)
            applyLatency.record(microsecondsSince(began));
        revision = Json::parse(output.out, nullptr, false).value("revision", revision);
    }
    print("a change accepted and in force on all routers", applyLatency);
    measureFailOver(system, SIGKILL, "SIGKILL");
    measureFailOver(system, SIGSTOP, "SIGSTOP");
    return 0;
}
