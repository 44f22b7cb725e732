// A request that crashes runners reaches them again after the entry hosts that have seen the crashes were restarted in turn. See
// review/8/claim.txt.
#include "crashingrunner.h"

#include <memory>

using namespace review;

namespace
{

constexpr double ContactMs = 3000;
constexpr int Runners = 4;

const char *const Host = "ficu95.example";
const char *const PoisonBody = "{\"account\":\"4711\"}";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/actie/","type":"unsafe","timeout_ms":1000,)"
           R"("target_latency_ms":100,"priority":2,"service":"dossier","max_attempts":1}],)"
           R"("services":[{"name":"dossier","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        cannotRun("pass the folder of the record");
    Record record(std::string(argv[1]) + "/record.txt");
    Site site(record, 3, 6);
    site.startAll();
    if (!site.putConfiguration(configuration()))
        cannotRun("the configuration is not acknowledged");
    std::vector<std::unique_ptr<Runner>> runners;
    for (int n = 1; n <= Runners; ++n)
        runners.push_back(std::make_unique<Runner>(record, site, n, 6, 15));
    if (!site.waitUntilReady({1, 2, 3, 4, 5, 6}))
        cannotRun("the machines are not ready");
    const auto crashes = [&] {
        int n = 0;
        for (const std::unique_ptr<Runner> &it : runners)
            n += it->crashes();
        return n;
    };
    const auto allUp = [&] {
        for (const double until = nowMs() + 10000; nowMs() < until; sleepMs(20)) {
            bool all = true;
            for (const std::unique_ptr<Runner> &it : runners)
                all = all && it->up();
            if (all) {
                sleepMs(700); // the machines know them
                return;
            }
        }
        cannotRun("the runners do not come back");
    };
    int number = 0;
    const auto send = [&](int machine, const char *path) {
        char id[32];
        std::snprintf(id, sizeof id, "%016x", 0x1000 + ++number);
        const std::string headers
            = std::string("Host: ") + Host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\nContent-Type: application/json\r\n";
        const double sentAt = nowMs();
        const Answer answer = call(site.ip(machine), site.frontend(), "POST", path, headers, PoisonBody, 1500);
        record.line("request %s (%s) sent to machine %d at %.1f, answered %d", id, path, machine, sentAt, answer.status);
        return answer.status;
    };
    const auto sendPoison = [&](int machine) {
        allUp();
        const int before = crashes();
        send(machine, "/actie/vergiftigd");
        sleepMs(600);
        return crashes() - before;
    };
    // Stops a machine as planned work does, and starts it again. Waits until it is in touch.
    const auto restart = [&](int machine) {
        const std::string entry = "entry-" + std::to_string(machine);
        const std::string keeper = "keeper-" + std::to_string(machine);
        site.signal(entry, SIGTERM);
        site.signal(keeper, SIGTERM);
        for (const double until = nowMs() + 8000; nowMs() < until && (site.runs(entry) || site.runs(keeper));)
            sleepMs(20);
        if (site.runs(entry))
            site.signal(entry, SIGKILL);
        if (site.runs(keeper))
            site.signal(keeper, SIGKILL);
        sleepMs(300);
        site.startKeeper(machine, false);
        site.startEntry(machine, false);
        if (!site.waitUntilReady({machine}))
            cannotRun("a restarted machine is not ready");
        sleepMs(ContactMs + 500);
    };
    allUp();
    sleepMs(ContactMs);
    if (send(4, "/actie/gezond") != 200)
        cannotRun("a sound request is not served");
    int first = 0;
    for (int i = 0; i < 3; ++i)
        first += sendPoison(4);
    if (first != 3)
        cannotRun("the request did not crash three runners");
    allUp();
    sleepMs(ContactMs);
    record.line("the request has crashed three runners; retries from here on count");
    int retries = 0;
    for (const int machine : {4, 5, 6})
        retries += sendPoison(machine);
    if (trouble())
        restart(4);
    for (int i = 0; i < 4; ++i)
        retries += sendPoison(5);
    if (trouble())
        restart(5);
    for (int i = 0; i < 2; ++i)
        retries += sendPoison(6);
    const int sound = send(6, "/actie/gezond");
    record.line("BUDGET: %d retries reached runners later than %.0f ms after the third crash, three are allowed", retries, ContactMs);
    std::printf("%d retries reached runners later than %.0f ms after the third crash, three are allowed; a sound request got %d\n", retries,
                ContactMs, sound);
    return retries > 3 ? 1 : 0;
}
