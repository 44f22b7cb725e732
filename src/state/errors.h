// Typed errors. Each kind has a stable name, an HTTP status and an exit code; each message names the remedy.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace roserail
{

enum class ErrorKind {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    InvalidDocument,
    KeyMismatch,
    KeyExpired,
    TooLarge,
    NotRun, // refused; no endpoint has run the request
    Overloaded, // not run: no answer is possible by the deadline
    Quarantined, // not run: endpoints crashed while they ran the same request
    OverQuota, // not run: the client account has used what it may
    OutcomeUnknown, // the request may have run
    Incomplete, // the request ran, but its answer could not be delivered completely
    DeadlineExceeded, // no complete answer by the deadline, for idempotent requests and on general routes
    NotLeader,
    Unavailable,
    DiskDamaged,
    DiskFailure,
    WrongDataFolder,
    BadSettings,
};

struct Error {
    ErrorKind kind = ErrorKind::BadRequest;
    std::string message;
    int64_t retryAfterMs = 0; // 0: no hint
};

template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

// How a kind of error is reported to callers and operators.
struct ErrorTraits {
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    int exitCode;
};

const ErrorTraits &traits(ErrorKind kind);

} // namespace roserail
