// Quarantine of requests, by fingerprint. A fingerprint is quarantined for QuarantineDuration once QuarantineCrashThreshold
// endpoints were lost while they ran it, so that one request cannot crash one endpoint after another.
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
    // Records a crash. An incarnation of an endpoint is counted once, however many routers report it.
    pb::CommandResult report(const pb::ReportCrash &command, WallTime now);
    void expire(WallTime now);
    std::vector<Fingerprint> quarantined() const;

    void save(pb::MachineState &out) const;
    void restore(const pb::MachineState &in);

private:
    std::map<Fingerprint, pb::CrashRecord> m_records;
};

} // namespace roserail
