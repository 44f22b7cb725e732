// Callers are told the address of a machine that has been off for long. See review/8/claim.txt.
#include "site.h"

#include <memory>

using namespace review;

namespace
{

constexpr int Machines = 6;
constexpr int New = 7; // the machine that takes the place of the lost one
constexpr double ReplaceAfterMs = 2000;
constexpr int Off = 1; // the machine that is lost
constexpr int Starts = 15;
constexpr double KillAfterMs = 500;
constexpr double LongOffMs = 15000; // ttl_max_s, three times as some clients keep an answer
constexpr double WatchMs = 10000;

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/actie/","type":"unsafe","timeout_ms":3000,)"
           R"("target_latency_ms":1000,"priority":2,"service":"dossier","max_attempts":1}],)"
           R"("services":[{"name":"dossier","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// Returns the machine whose control host leads, by the programs' logs.
int leader(const Site &site)
{
    int result = 0;
    std::string latest;
    for (int n = 1; n <= 3; ++n) {
        std::ifstream log(site.folder() + "/keeper-" + std::to_string(n) + ".log");
        for (std::string line; std::getline(log, line);) {
            const std::string time = line.substr(0, line.find(' '));
            if (line.find("event=role role=leader") != std::string::npos && time > latest) {
                latest = time;
                result = n;
            }
        }
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        cannotRun("pass the folder of the record");
    Record record(std::string(argv[1]) + "/record.txt");
    // Machines 1 to 3 have a disk. 1 and 4 are in one zone, as are 2 and 5, 3 and 6. The first one shall lead, as chance has it.
    std::unique_ptr<Site> started;
    for (int i = 0; i < Starts && (!started || leader(*started) != Off); ++i) {
        started.reset();
        started = std::make_unique<Site>(record, 3, New);
        for (int n = 1; n <= Machines; ++n) {
            started->startKeeper(n);
            started->startEntry(n);
        }
        for (const double until = nowMs() + 5000; nowMs() < until && leader(*started) == 0;)
            sleepMs(50);
    }
    if (leader(*started) != Off)
        cannotRun("the machine does not lead");
    Site &site = *started;
    if (!site.putConfiguration(configuration()))
        cannotRun("the configuration is not acknowledged");
    if (!site.waitUntilReady({1, 2, 3, 4, 5, 6}))
        cannotRun("the machines are not ready");
    sleepMs(10000); // each machine has found its nearest control host
    if (leader(site) != Off)
        cannotRun("the machine does not lead any more");
    const int neighbour = Off + 3; // in the same zone
    // A planned restart of another machine. RESTART=0: without it.
    if (trouble() && std::getenv("RESTART") == nullptr) {
        const std::string entry = "entry-" + std::to_string(neighbour);
        const std::string keeper = "keeper-" + std::to_string(neighbour);
        site.signal(entry, SIGTERM);
        site.signal(keeper, SIGTERM);
        for (const double until = nowMs() + 8000; nowMs() < until && (site.runs(entry) || site.runs(keeper));)
            sleepMs(20);
        if (site.runs(entry) || site.runs(keeper))
            cannotRun("a machine does not stop");
        site.startKeeper(neighbour, false);
        site.startEntry(neighbour, false);
        if (!site.waitUntilReady({neighbour}))
            cannotRun("the restarted machine is not ready");
        record.line("machine %d is ready again", neighbour);
    }
    sleepMs(KillAfterMs);
    if (trouble()) {
        site.signal("keeper-" + std::to_string(Off), SIGKILL);
        site.signal("entry-" + std::to_string(Off), SIGKILL);
    }
    const double offAt = nowMs();
    if (trouble() && std::getenv("REPLACE") == nullptr) { // an empty machine takes its place, at another address. REPLACE=0: none does
        sleepMs(ReplaceAfterMs);
        site.startKeeper(New, false, true);
        site.startEntry(New, false);
    }
    const std::string address = site.ip(Off) + ":" + std::to_string(site.frontend());
    int answers = 0;
    int named = 0;
    std::set<int> by;
    while (nowMs() < offAt + LongOffMs + WatchMs) {
        for (int n = 1; n <= Machines; ++n) {
            if (n == Off)
                continue;
            const Answer answer = call(site.ip(n), site.directory(), "GET", "/api/resolve?name=ficu95.example&region=nl-oost&zone=enschede-a",
                                       "", "");
            const bool names = answer.body.find("\"" + address + "\"") != std::string::npos;
            record.line("machine %d answers %d %s%s", n, answer.status, answer.body.c_str(), names && trouble() ? " (names a machine that is off)" : "");
            if (nowMs() < offAt + LongOffMs || answer.status != 200)
                continue;
            ++answers;
            if (names && trouble()) {
                ++named;
                by.insert(n);
            }
        }
        sleepMs(1000);
    }
    std::string machines;
    for (const int n : by)
        machines += " " + std::to_string(n);
    record.line("DRAIN: %d of %d answers name a machine that has been off for over %.0f ms", named, answers, LongOffMs);
    std::printf("%d of %d answers of the directory name a machine that has been off for over %.0f ms; given by machine:%s\n", named, answers,
                LongOffMs, machines.c_str());
    if (answers == 0)
        cannotRun("the directory does not answer");
    return named > 0 ? 1 : 0;
}
