// Fingerprints of requests in whose company endpoints were lost. After the second loss a fingerprint is refused
// for a while, so that one request cannot take down endpoint after endpoint.
#pragma once

#include "state.pb.h"
#include "state/types.h"

#include <map>
#include <vector>

namespace roserail
{

class Quarantine
{
public:
    // Counts one lost endpoint once, however many routers report it.
    pb::CommandResult report(const pb::ReportCrash &command, WallTime now);
    void expire(WallTime now);
    std::vector<Fingerprint> quarantined() const;

    void save(pb::MachineState &out) const;
    void restore(const pb::MachineState &in);

private:
    std::map<Fingerprint, pb::CrashRecord> m_records;
};

} // namespace roserail
