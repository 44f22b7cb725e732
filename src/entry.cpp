// roserail-entry: runs on every entry host and forwards callers' requests on general HTTP routes.

#include "platform/codec.h"
#include "protocol/log.h"
#include "transport/clock.h"
#include "transport/entryapi.h"
#include "transport/program.h"

namespace
{

using namespace roserail;

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
    HttpServer metricsServer(
        io, [&dump](CallerConnection &caller) { return answerMonitoring(caller, dump); }, api.ingress(),
        tunables::MonitoringDescriptorShare);
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
    net::co_spawn(io, api.stop(signalledAt), [&io](const std::exception_ptr &exception) {
        if (exception)
            logEvent("stop_failed");
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
