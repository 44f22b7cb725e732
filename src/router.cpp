// roserail-router: takes callers' requests on an entry host.

#include "protocol/log.h"
#include "transport/callerapi.h"
#include "transport/clock.h"
#include "transport/program.h"

namespace
{

using namespace roserail;

constexpr Millis DrainPollInterval{20};

// Leaves the list of addresses, and serves on until no caller can still hold an old answer and every request ended.
void drain(Router &router)
{
    router.drain();
    while (!router.drainAnnounced())
        std::this_thread::sleep_for(DrainPollInterval);
    // Another router may give out an old list until its lease ends, and callers keep it for a while.
    const Time addressListsExpire = monotonicNow() + tunables::RouterLease + tunables::AddressListTtl;
    while (monotonicNow() < addressListsExpire || router.activeRequests() > 0)
        std::this_thread::sleep_for(DrainPollInterval);
}

int serve(const RouterSettings &settings)
{
    Router router(settings);
    CallerApi api(router);
    if (!api.bind())
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or correct 'listen'", settings.listen)});
    std::thread httpThread([&] { api.listen(); });
    logEvent("started", {{"version", ROSERAIL_VERSION}, {"listen", settings.listen}});
    waitForStopSignal();
    drain(router);
    api.stop();
    httpThread.join();
    logEvent("stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const Program program{
        "roserail-router",
        "An entry router of roserail: serves callers and routes their requests to endpoints.",
        [](const std::string &text, const std::string &file) -> Result<std::string> {
            BOOST_OUTCOME_TRY(settings, parseRouterSettings(text, file));
            return toYaml(settings);
        },
        [](const std::string &text, const std::string &file) {
            const RouterSettings settings = parseRouterSettings(text, file).value();
            setLogProcess(fmt::format("router-{}", settings.id));
            return serve(settings);
        },
    };
    return runProgram(argc, argv, program);
}
