// At-most-once records, one for each caller and idempotency key of a non-idempotent request. A claim is recorded before
// the router sends the first byte to an endpoint, and is kept for as long as its key is accepted.
#pragma once

#include "state.pb.h"
#include "state/types.h"

#include <map>
#include <set>

namespace roserail
{

struct ClaimKey {
    CallerId caller;
    std::string key;
    auto operator<=>(const ClaimKey &) const = default;
};

class Claims
{
public:
    // Records an attempt. It may run only if the verdict is VERDICT_OK.
    pb::CommandResult start(const pb::StartClaim &command, WallTime now);
    // Records the outcome of an attempt, with its answer.
    pb::CommandResult finish(const pb::FinishClaim &command);
    // Removes records whose keys are too old to be accepted.
    void expire(WallTime now);
    size_t size() const
    {
        return m_claims.size();
    }

    void save(pb::MachineState &out) const;
    void restore(const pb::MachineState &in);

private:
    struct Expiry {
        uint64_t keyTimeMs;
        ClaimKey key;
        auto operator<=>(const Expiry &) const = default;
    };

    std::map<ClaimKey, pb::Claim> m_claims;
    std::set<Expiry> m_byKeyTime;
};

} // namespace roserail
