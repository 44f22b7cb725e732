// Coroutines whose end nobody waits for. What they throw is logged as `task_failed` and counted, never dropped.
#pragma once

#include "transport/http.h"

#include <functional>
#include <string>

namespace roserail
{

// Starts a coroutine. If it throws, `onFailure` runs after that is logged: it removes what the coroutine would have removed at its end.
void spawn(net::io_context &io, std::string name, Task<> task, std::function<void()> onFailure = nullptr);

// Runs `iteration` until it returns false. If it throws, `onFailure` runs after that is logged, and the next iteration begins after
// LoopRetryDelay.
Task<> repeat(net::io_context &io, std::string name, std::function<Task<bool>()> iteration, std::function<void()> onFailure = nullptr);

} // namespace roserail
