// roserail-router: serves callers on an entry host and routes their requests to endpoints.

#include "protocol/log.h"
#include "transport/callerapi.h"
#include "transport/clock.h"
#include "transport/program.h"

#include <atomic>
#include <cstdlib>

namespace
{

using namespace roserail;
using namespace tunables;

// Withdraws this router from the address list and keeps serving until no caller can still have a list that contains it. Then
// refuses new requests and waits for the others, which get an error if they haven't ended RouterStopAnswerTime before the deadline.
void drain(Router &router, Time deadline)
{
    const Time requestsEnd = deadline - RouterStopAnswerTime;
    router.drain(requestsEnd);
    while (!router.drainAnnounced() && monotonicNow() < requestsEnd)
        std::this_thread::sleep_for(StopPollInterval);
    // Other routers may return an old list until their lease ends, and callers cache it for up to AddressListTtl.
    const Time addressListsExpire = std::min(requestsEnd, monotonicNow() + RouterLease + AddressListTtl);
    while (monotonicNow() < addressListsExpire)
        std::this_thread::sleep_for(StopPollInterval);
    router.refuseRequests();
    while (router.activeRequests() > 0 && monotonicNow() < deadline) {
        if (monotonicNow() >= requestsEnd)
            router.endRequests();
        std::this_thread::sleep_for(StopPollInterval);
    }
}

int serve(const RouterSettings &settings)
{
    Router router(settings);
    CallerApi api(router);
    if (!api.bind())
        return reportFatal(
            Error{ErrorKind::BadSettings, fmt::format("cannot listen on {}; free the port or change 'listen'", settings.listen)});
    std::atomic<bool> listening = true;
    std::thread httpThread([&] {
        api.listen();
        listening = false;
    });
    logEvent("started", {{"version", ROSERAIL_VERSION}, {"listen", settings.listen}});
    waitForStopSignal();
    const Time deadline = monotonicNow() + settings.grace - StopExitMargin;
    drain(router, deadline);
    api.stop();
    // Threads of kept connections end when these have been idle for some seconds.
    while (listening && monotonicNow() < deadline)
        std::this_thread::sleep_for(StopPollInterval);
    logEvent("stopped", {{"active", router.activeRequests()}});
    if (listening)
        std::_Exit(0);
    httpThread.join();
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
