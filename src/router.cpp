// roserail-router: serves callers on an entry host and routes their requests to endpoints.

#include "protocol/log.h"
#include "transport/callerapi.h"
#include "transport/clock.h"
#include "transport/program.h"

namespace
{

using namespace roserail;

constexpr Millis DrainPollInterval{20};

// Withdraws this router from the address list, then keeps serving until no caller can still have a list that contains it
// and all requests have ended.
void drain(Router &router)
{
    router.drain();
    while (!router.drainAnnounced())
        std::this_thread::sleep_for(DrainPollInterval);
    // Other routers may return an old list until their lease ends, and callers cache it for up to AddressListTtl.
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
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or change 'listen'", settings.listen)});
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
        "Entry router of roserail: serves callers and routes their requests to endpoints.",
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
