#include "transport/tasks.h"

#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"

namespace roserail
{

using namespace tunables;

namespace
{

std::string describe(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &ex) {
        return ex.what();
    } catch (...) {
        return "an exception without a description";
    }
}

// Logs and counts a failure, and removes what it has left behind. If that throws as well, the process ends, and others replace it.
void handleFailure(const std::string &name, const std::exception_ptr &exception, const std::function<void()> &onFailure) noexcept
{
    metrics().counter(fmt::format("roserail_tasks_failed_total{{task=\"{}\"}}", name)).add();
    logEvent("task_failed", {{"task", name}, {"error", describe(exception)}});
    if (onFailure)
        onFailure();
}

} // namespace

void spawn(net::io_context &io, std::string name, Task<> task, std::function<void()> onFailure)
{
    net::co_spawn(io, std::move(task), [name = std::move(name), onFailure = std::move(onFailure)](const std::exception_ptr &exception) {
        if (exception)
            handleFailure(name, exception, onFailure);
    });
}

Task<> repeat(net::io_context &io, std::string name, std::function<Task<bool>()> iteration, std::function<void()> onFailure)
{
    net::steady_timer timer(io);
    bool goOn = true;
    while (goOn) {
        std::exception_ptr exception;
        try {
            goOn = co_await iteration();
        } catch (...) {
            exception = std::current_exception();
        }
        if (!exception)
            continue;
        handleFailure(name, exception, onFailure);
        ErrorCode ec;
        timer.expires_after(LoopRetryDelay);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
}

} // namespace roserail
