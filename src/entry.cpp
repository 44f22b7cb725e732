// roserail-entry: runs on every entry host and forwards callers' requests on general HTTP routes.

#include "platform/codec.h"
#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/entryapi.h"
#include "transport/program.h"

namespace
{

using namespace roserail;

constexpr Millis DrainPollInterval{20};
constexpr Millis DrainExitMargin{300}; // of the grace period, so that the process exits before it is killed

// Keeps serving until no caller can still have an address list that contains this host and all requests have ended, but
// no longer than the grace period.
void drain(EntryApi &api, Millis grace)
{
    const Time deadline = monotonicNow() + grace - DrainExitMargin;
    const Time listsExpire = std::min(deadline, monotonicNow() + tunables::ResolveTtl * 3 + tunables::SyncInterval * 2);
    while (monotonicNow() < deadline && (monotonicNow() < listsExpire || api.active() > 0))
        std::this_thread::sleep_for(DrainPollInterval);
}

int serve(const EntrySettings &settings, const std::string &file)
{
    net::io_context io(1);
    EntryApi api(io, settings, platform::codec());
    const Result<void> listening = api.listen();
    if (listening.has_error())
        return reportFatal(listening.error());
    const std::function<std::string()> dump = [&api] {
        return api.dump();
    };
    HttpServer metricsServer(io, [&dump](CallerConnection &caller) { return answerMonitoring(caller, dump); });
    if (!settings.host.metrics.empty() && metricsServer.listen(settings.host.metrics).has_error())
        return reportFatal(Error{ErrorKind::BadSettings, "cannot listen on 'metrics'; free the port or change the address", 0});
    std::thread ioThread([&io] { io.run(); });
    logEvent("started", {{"version", ROSERAIL_VERSION}, {"listen", settings.listen}, {"zone", settings.host.zone}});
    waitForStopSignal([&] {
        reloadSettings<EntrySettings>(file, parseEntrySettings, [&](const EntrySettings &changed) {
            net::post(io, [&api, changed] { api.applySettings(changed); });
        });
    });
    const Time signalledAt = monotonicNow();
    net::post(io, [&api] {
        api.logConnections("stop_begins");
        api.drain();
    });
    drain(api, settings.host.grace);
    net::post(io, [&api, &io] {
        api.logConnections("stop_ends");
        api.logCutRequests();
        io.stop();
    });
    ioThread.join();
    logEvent("stopped", {{"after_ms", (monotonicNow() - signalledAt).count()}});
    std::_Exit(0); // without destructors: the mesh client's thread may be waiting for a reply from the joined thread
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-entry",
        "Router of roserail for general HTTP routes; discovers control hosts through seeds.",
        [](const std::string &text, const std::string &file) -> Result<std::string> {
            BOOST_OUTCOME_TRY(settings, parseEntrySettings(text, file));
            return toYaml(settings);
        },
        [](const std::string &text, const std::string &file) {
            const EntrySettings settings = parseEntrySettings(text, file).value();
            setLogProcess(fmt::format("entry-{}", settings.host.id));
            setLogDetail(settings.host.log);
            logToStandardOutput();
            return serve(settings, file);
        },
    };
    return runProgram(argc, argv, program);
}
