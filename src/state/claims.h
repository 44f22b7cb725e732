// At-most-once records: one for each (caller, idempotency key) of a non-idempotent request.
// A start is recorded before the first byte leaves a router; a record outlives every key that may still be resent.
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
    // OK: the attempt may run. Anything else: it must not.
    pb::CommandResult start(const pb::StartClaim &command, WallTime now);
    pb::CommandResult finish(const pb::FinishClaim &command);
    // Drops records whose keys are too old to be accepted again.
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
