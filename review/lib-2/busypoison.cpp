// A request that crashes runners reaches them again and again while they are busy. See review/6/claim.txt.
#include "crashingrunner.h"

#include <memory>

using namespace review;

namespace
{

constexpr double ContactMs = 3000;
constexpr int Machines = 3;
constexpr int Runners = 6;
constexpr int Slots = 64;
constexpr double WorkMs = 1000;
constexpr int Retries = 6; // of the request that crashes runners

// Other requests at the same time, over all machines. REQUESTS=N: another number.
int usualRequests()
{
    const char *const text = std::getenv("REQUESTS");
    return text == nullptr ? 360 : std::atoi(text);
}

const char *const Host = "ficu95.example";
const char *const PoisonBody = "{\"account\":\"4711\"}";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/actie/","type":"unsafe","timeout_ms":12000,)"
           R"("target_latency_ms":3000,"priority":2,"service":"dossier","max_attempts":1}],)"
           R"("services":[{"name":"dossier","health_path":"/healthz","max_connections":380,"protocol":"h1","tls":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        cannotRun("pass the folder of the record");
    Record record(std::string(argv[1]) + "/record.txt");
    Site site(record, 3, Machines);
    site.startAll();
    if (!site.putConfiguration(configuration()))
        cannotRun("the configuration is not acknowledged");
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 1; n <= Runners; ++n)
        runners.push_back(std::make_unique<Runner>(record, site, n, Slots, WorkMs));
    if (!site.waitUntilReady({1, 2, 3}))
        cannotRun("the machines are not ready");
    const auto crashes = [&] {
        int n = 0;
        for (const std::unique_ptr<Runner> &it : runners)
            n += it->crashes();
        return n;
    };
    std::atomic<int> number{0};
    std::atomic<int> served{0};
    std::atomic<int> cut{0};
    const auto send = [&](int machine, const char *path, const std::string &body) {
        char id[32];
        std::snprintf(id, sizeof id, "%016x", 0x1000 + ++number);
        const std::string headers
            = std::string("Host: ") + Host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 12000\r\nContent-Type: application/json\r\n";
        const double sentAt = nowMs();
        const Answer answer = call(site.ip(machine), site.frontend(), "POST", path, headers, body, 13000);
        record.line("request %s (%s) sent to machine %d at %.1f, answered %d", id, path, machine, sentAt, answer.status);
        return answer.status;
    };
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    const int requests = usualRequests();
    for (int i = 0; i < requests; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(WorkMs * i / requests);
            for (int n = 0; !stop; ++n) {
                const double startedAt = nowMs();
                const int machine = (i + n) % 2 == 0 ? 1 : 2 + (i + n) / 2 % (Machines - 1); // half of them come at machine 1
                const int status = send(machine, "/actie/gezond", "{\"n\":\"" + std::to_string(i) + "-" + std::to_string(n) + "\"}");
                ++(status == 200 ? served : cut);
                if (status != 200)
                    sleepMs(std::max(0.0, startedAt + WorkMs - nowMs()));
            }
        });
    }
    const auto allUp = [&] {
        for (const double until = nowMs() + 10000; nowMs() < until; sleepMs(20)) {
            bool all = true;
            for (const std::unique_ptr<Runner> &it : runners)
                all = all && it->up();
            if (all) {
                sleepMs(5 * WorkMs); // they are as busy as before
                return;
            }
        }
        record.line("the runners do not come back");
    };
    // Its client keeps to one machine.
    const auto sendPoison = [&] {
        allUp();
        const int before = crashes();
        int running = 0;
        for (const std::unique_ptr<Runner> &it : runners)
            running += it->running();
        record.line("%d requests are running on %d runners", running, Runners);
        send(1, trouble() ? "/actie/vergiftigd" : "/actie/gezond", PoisonBody);
        sleepMs(600);
        return crashes() - before;
    };
    allUp();
    sleepMs(ContactMs);
    int first = 0;
    for (int i = 0; i < 3; ++i)
        first += sendPoison();
    sleepMs(ContactMs);
    record.line("the request has crashed %d runners; retries from here on count", first);
    int retries = 0;
    for (int i = 0; i < Retries && (first == 3 || !trouble()); ++i)
        retries += sendPoison();
    stop = true;
    for (std::thread &it : clients)
        it.join();
    if (first != (trouble() ? 3 : 0))
        cannotRun("the request did not crash three runners");
    record.line("BUDGET: %d of %d retries reached runners later than %.0f ms after the third crash, three are allowed", retries, Retries,
                ContactMs);
    std::printf("%d of %d retries reached runners later than %.0f ms after the third crash, three are allowed; %d other requests served, "
                "%d not\n",
                retries, Retries, ContactMs, served.load(), cut.load());
    return retries > 3 ? 1 : 0;
}
