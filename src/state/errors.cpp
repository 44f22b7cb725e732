#include "state/errors.h"

#include <algorithm>
#include <array>

namespace roserail
{

namespace
{

constexpr std::array Traits{
    ErrorTraits{ErrorKind::BadRequest, "bad_request", 400, 2},
    ErrorTraits{ErrorKind::Unauthorized, "unauthorized", 401, 3},
    ErrorTraits{ErrorKind::Forbidden, "forbidden", 403, 3},
    ErrorTraits{ErrorKind::NotFound, "not_found", 404, 4},
    ErrorTraits{ErrorKind::Conflict, "conflict", 409, 5},
    ErrorTraits{ErrorKind::InvalidDocument, "invalid_document", 422, 6},
    ErrorTraits{ErrorKind::KeyMismatch, "key_mismatch", 422, 2},
    ErrorTraits{ErrorKind::KeyExpired, "key_expired", 422, 2},
    ErrorTraits{ErrorKind::TooLarge, "too_large", 413, 2},
    ErrorTraits{ErrorKind::NotRun, "not_run", 503, 7},
    ErrorTraits{ErrorKind::Overloaded, "overloaded_not_run", 503, 7},
    ErrorTraits{ErrorKind::Quarantined, "quarantined_not_run", 503, 7},
    ErrorTraits{ErrorKind::OverQuota, "over_quota_not_run", 429, 7},
    ErrorTraits{ErrorKind::OutcomeUnknown, "outcome_unknown", 504, 8},
    ErrorTraits{ErrorKind::Incomplete, "incomplete", 502, 8},
    ErrorTraits{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, 8},
    ErrorTraits{ErrorKind::NotLeader, "not_leader", 421, 7},
    ErrorTraits{ErrorKind::Unavailable, "unavailable", 503, 7},
    ErrorTraits{ErrorKind::DiskDamaged, "disk_damaged", 500, 9},
    ErrorTraits{ErrorKind::DiskFailure, "disk_failure", 500, 9},
    ErrorTraits{ErrorKind::WrongDataFolder, "wrong_data_folder", 500, 9},
    ErrorTraits{ErrorKind::BadSettings, "bad_settings", 500, 10},
};

} // namespace

const ErrorTraits &traits(ErrorKind kind)
{
    return *std::find_if(Traits.begin(), Traits.end(), [kind](const ErrorTraits &it) { return it.kind == kind; });
}

} // namespace roserail
