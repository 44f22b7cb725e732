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
    NotRun, // refused, and no endpoint has run it
    Overloaded, // not run: no answer in time is possible
    Quarantined,
    OutcomeUnknown,
    Incomplete, // it ran, but the whole answer could not be delivered
    DeadlineExceeded, // idempotent, and no whole answer came by the deadline
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

// What the outside sees of a kind.
struct ErrorTraits {
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    int exitCode;
};

const ErrorTraits &traits(ErrorKind kind);

} // namespace roserail
