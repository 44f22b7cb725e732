// roserail-entry: forwards callers' requests on general HTTP routes, on every entry host.

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
constexpr Millis DrainExitMargin{300}; // before the process would be killed

// Serves on until no caller can still hold an old list of addresses and every request has ended, or time is up.
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
        return reportFatal(Error{ErrorKind::BadSettings, "cannot listen on 'metrics'; free the port or correct the address", 0});
    std::thread ioThread([&io] { io.run(); });
    logEvent("started", {{"version", ROSERAIL_VERSION}, {"listen", settings.listen}, {"zone", settings.host.zone}});
    waitForStopSignal([&] {
        reloadSettings<EntrySettings>(file, parseEntrySettings, [&](const EntrySettings &changed) {
            net::post(io, [&api, changed] { api.applySettings(changed); });
        });
    });
    net::post(io, [&api] { api.drain(); });
    drain(api, settings.host.grace);
    io.stop();
    ioThread.join();
    logEvent("stopped");
    std::_Exit(0); // the session's thread may wait for the one that has ended
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-entry",
        "A router of roserail for general HTTP routes, found by seeds.",
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
