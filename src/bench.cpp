// roserail-bench: measures the cost of one unit of each kind of work of the decision and state code at several sizes, and
// prints a signature of the results, which stays the same as long as behaviour does.

#include "coordination/directory.h"
#include "coordination/dispatcher.h"
#include "coordination/placement.h"
#include "coordination/raft.h"
#include "state/machine.h"

#include <array>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <xxhash.h>

namespace
{

using namespace roserail;

constexpr Bytes GiB = 1u << 30;

// Cost of one unit of work at one size.
struct Measurement {
    std::string work;
    std::string size;
    double microseconds = 0;
    double bytes = 0; // sent, or used on the heap
};

uint64_t signature = 0;

void updateSignature(const std::string &text)
{
    signature = XXH64(text.data(), text.size(), signature);
}

template <typename Function>
double averageMicroseconds(size_t n, Function function)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < n; ++i)
        function(i);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / double(n);
}

size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::string documentText(size_t models, size_t adapters)
{
    std::string text = "pools: [{name: pool, endpointBytes: 64GiB}]\nmodels:\n";
    for (size_t i = 0; i < models; ++i)
        text
            += fmt::format("  - {{name: model-{}, version: v1, pool: pool, bytes: 8GiB, replicas: {{min: 0, max: 4}}, loadTime: 4s}}\n", i);
    text += "adapters:\n";
    for (size_t i = 0; i < adapters; ++i)
        text += fmt::format("  - {{name: adapter-{}, version: v1, base: model-{}, bytes: 64MiB}}\n", i, i % models);
    return text;
}

pb::Command changeCommand(const std::string &id, uint64_t base, const std::string &text)
{
    pb::Command command;
    command.mutable_change_document()->set_change_id(id);
    pb::SectionChange &section = *command.mutable_change_document()->add_sections();
    section.set_name("all");
    section.set_base_revision(base);
    section.set_text(text);
    return command;
}

pb::EndpointReport makeReport(size_t i, uint64_t sequence, uint32_t running, size_t artifacts)
{
    pb::EndpointReport report;
    report.set_endpoint(fmt::format("engine-{}", i));
    report.set_incarnation(1);
    report.set_sequence(sequence);
    report.set_address(fmt::format("10.0.{}.{}:8000", i / 250, i % 250));
    report.set_host(fmt::format("host-{}", i));
    report.set_zone("zone-a");
    report.set_pool("pool");
    report.set_host_bytes(64 * GiB);
    report.set_endpoint_bytes(64 * GiB);
    report.set_checks_fencing(true);
    report.set_running(running);
    report.set_capacity(16);
    for (size_t k = 0; k < artifacts; ++k) {
        pb::ArtifactReport &artifact = *report.add_artifacts();
        artifact.set_artifact(fmt::format("model-{}", (i + k) % 130));
        artifact.set_version("v1");
        artifact.set_state(pb::ARTIFACT_LOADED);
    }
    return report;
}

// Measures the handling of heartbeats on the leader: `runners` endpoints report through `routers` routers, each once per
// round. If `changing`, a tenth of them report a changed load in each round.
Measurement measureHeartbeats(size_t routers, size_t runners, bool changing)
{
    StateMachine machine;
    machine.apply(changeCommand("c", 0, documentText(130, 0)));
    Directory directory;
    directory.reset(Time(Millis(1)));
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
    uint64_t sequence = 0;
    std::vector<uint64_t> versions(routers, 0);
    std::vector<uint64_t> routerVersions(routers, 0);
    const auto round = [&](size_t n) {
        ++sequence;
        for (size_t i = 0; i < routers; ++i) {
            pb::HeartbeatRequest request;
            request.set_router(fmt::format("router-{}", i));
            request.set_incarnation(1);
            request.set_address(fmt::format("10.1.{}.{}:80", i / 250, i % 250));
            request.set_applied_revision(1);
            request.set_leader_term(1);
            request.set_directory_version(versions[i]);
            request.set_routers_version(routerVersions[i]);
            for (size_t k = i; k < runners; k += routers)
                *request.add_reports() = makeReport(k, sequence, changing && k % 10 == n % 10 ? 4 : 0, 3);
            pb::HeartbeatReply reply;
            reply.set_term(1);
            directory.heartbeat(request, machine, Time(Millis(1000 + int64_t(n))), reply);
            versions[i] = reply.directory_version();
            routerVersions[i] = reply.routers_version();
            sentBytes += reply.ByteSizeLong();
            receivedBytes += request.ByteSizeLong();
        }
    };
    round(0);
    round(1);
    sentBytes = 0;
    receivedBytes = 0;
    constexpr size_t rounds = 20;
    const double perRound = averageMicroseconds(rounds, [&](size_t i) { round(i + 2); });
    updateSignature(fmt::format("{} {}", sentBytes, directory.endpoints().size()));
    return Measurement{changing ? "heartbeat, a tenth of runners change load" : "heartbeat, nothing changes",
                       fmt::format("{} routers, {} runners", routers, runners), perRound / double(routers),
                       double(sentBytes + receivedBytes) / double(rounds * routers)};
}

Measurement measureClaims(size_t n)
{
    StateMachine machine;
    const size_t initialBytes = heapBytes();
    const double average = averageMicroseconds(n, [&](size_t i) {
        pb::Command command;
        command.set_wall_ms(1000);
        pb::StartClaim &start = *command.mutable_start_claim();
        start.set_caller("helpline");
        start.set_key(fmt::format("1796300000-{:020}", i));
        start.set_key_time_ms(1000);
        start.set_attempt(fmt::format("{:032x}", i));
        start.set_router("router-1");
        machine.apply(command);
        pb::Command finish;
        finish.set_wall_ms(1000);
        pb::FinishClaim &finishClaim = *finish.mutable_finish_claim();
        finishClaim.set_caller("helpline");
        finishClaim.set_key(start.key());
        finishClaim.set_attempt(start.attempt());
        finishClaim.set_outcome(pb::CLAIM_COMPLETED);
        finishClaim.mutable_answer()->set_body(std::string(200, 'a'));
        machine.apply(finish);
    });
    const size_t usedBytes = heapBytes() - initialBytes;
    updateSignature(machine.save().SerializeAsString());
    return Measurement{"claim: start and finish, 200 bytes of answer", fmt::format("{} claims", n), average, double(usedBytes) / double(n)};
}

Measurement measureSnapshots(size_t n)
{
    StateMachine machine;
    for (size_t i = 0; i < n; ++i) {
        pb::Command command;
        command.set_wall_ms(1000);
        command.mutable_start_claim()->set_caller("helpline");
        command.mutable_start_claim()->set_key(fmt::format("1796300000-{:020}", i));
        command.mutable_start_claim()->set_key_time_ms(1000);
        command.mutable_start_claim()->set_attempt(fmt::format("{:032x}", i));
        machine.apply(command);
    }
    std::string bytes;
    const double average = averageMicroseconds(3, [&](size_t) { bytes = machine.save().SerializeAsString(); });
    return Measurement{"snapshot: encode", fmt::format("{} claims", n), average, double(bytes.size())};
}

Measurement measureDocuments(size_t models, size_t adapters)
{
    const std::string text = documentText(models, adapters);
    const size_t initialBytes = heapBytes();
    std::vector<Document> parsed;
    const double average = averageMicroseconds(3, [&](size_t) {
        Result<SectionContent> content = parseSection("all", text);
        parsed.push_back(mergeSections({content.value()}).value());
    });
    const size_t bytes = (heapBytes() - initialBytes) / 3;
    updateSignature(fmt::format("{}", parsed[0].artifacts.size()));
    return Measurement{fmt::format("document: parse ({} bytes of text)", text.size()),
                       fmt::format("{} models, {} adapters", models, adapters), average, double(bytes)};
}

Measurement measurePlacement(size_t runners, size_t demands)
{
    StateMachine machine;
    machine.apply(changeCommand("c", 0, documentText(130, 4700)));
    Directory directory;
    directory.reset(Time(Millis(1)));
    pb::HeartbeatRequest request;
    request.set_router("router-1");
    for (size_t i = 0; i < runners; ++i)
        *request.add_reports() = makeReport(i, 1, 0, 3);
    pb::HeartbeatReply reply;
    directory.heartbeat(request, machine, Time(Millis(1000)), reply);
    for (const pb::Command &it : directory.registrations(machine.ledger()))
        machine.apply(it);
    Placement placement;
    placement.reset(Time(Millis(1)));
    for (size_t i = 0; i < demands; ++i) {
        pb::Demand &demand = *request.add_demands();
        demand.set_artifact(fmt::format("model-{}", i % 130));
        demand.set_waiting(1);
        demand.set_wait_ms(5000);
        demand.set_interactive(true);
    }
    placement.updateDemand(RouterId("router-1"), request.demands(), Time(Millis(1000)));
    for (const pb::Command &it : placement.decide(machine, directory, Time(Millis(3000))))
        machine.apply(it);
    size_t commands = 0;
    const double average
        = averageMicroseconds(5, [&](size_t) { commands += placement.decide(machine, directory, Time(Millis(3001))).size(); });
    updateSignature(fmt::format("{}", commands));
    return Measurement{"placement: one round of the leader", fmt::format("{} runners, {} models asked for", runners, demands), average, 0};
}

Measurement measureDispatch(size_t queued)
{
    Dispatcher dispatcher("pool");
    dispatcher.setLease(Time(Millis(1 << 30)));
    uint64_t ticket = 0;
    size_t granted = 0;
    pb::DirectoryEntry entry;
    entry.set_endpoint("engine-1");
    entry.set_incarnation(1);
    entry.set_capacity(1);
    entry.add_artifacts()->set_artifact("m");
    const auto request = [&] {
        QueuedRequest waiting;
        waiting.ticket = TicketId(++ticket);
        waiting.caller = CallerId(fmt::format("caller-{}", ticket % 8));
        waiting.target = "m";
        waiting.deadline = Time(Millis(100000 + int64_t(ticket * 7919 % 1000)));
        return waiting;
    };
    for (size_t i = 0; i < queued; ++i)
        (void)dispatcher.admit(request(), Time(Millis(1)));
    dispatcher.setEndpoint(entry);
    std::map<TicketId, QueuedRequest> waitings;
    const double average = averageMicroseconds(200, [&](size_t) {
        const QueuedRequest next = request();
        (void)dispatcher.admit(next, Time(Millis(1)));
        for (const Grant &it : dispatcher.decide(Time(Millis(1))).grants) {
            ++granted;
            QueuedRequest done = next;
            done.caller = CallerId(fmt::format("caller-{}", it.ticket.value() % 8));
            dispatcher.finish(it, done, AttemptEnd::Completed, Millis(0), Time(Millis(1)));
        }
    });
    updateSignature(fmt::format("{}", granted));
    return Measurement{"request: admit, grant, finish", fmt::format("{} requests queued", queued), average, 0};
}

void printMeasurement(const Measurement &it)
{
    std::cout << fmt::format("{:46} {:36} {:12.2f} {:14.0f}\n", it.work, it.size, it.microseconds, it.bytes);
}

} // namespace

int main()
{
    std::cout << fmt::format("{:46} {:36} {:>12} {:>14}\n", "work", "size", "us each", "bytes each");
    for (const size_t routers : {10, 100, 390})
        printMeasurement(measureHeartbeats(routers, routers * 600 / 390, false));
    for (const size_t routers : {10, 100, 390})
        printMeasurement(measureHeartbeats(routers, routers * 600 / 390, true));
    for (const size_t n : {10000, 30000, 100000})
        printMeasurement(measureClaims(n));
    for (const size_t n : {10000, 30000, 100000})
        printMeasurement(measureSnapshots(n));
    printMeasurement(measureDocuments(65, 75));
    printMeasurement(measureDocuments(130, 1000));
    printMeasurement(measureDocuments(130, 4700));
    for (const size_t runners : {15, 150, 600})
        printMeasurement(measurePlacement(runners, runners / 5));
    for (const size_t queued : {0, 50, 400})
        printMeasurement(measureDispatch(queued));
    std::cout << fmt::format("signature {:016x}\n", signature);
    return 0;
}
