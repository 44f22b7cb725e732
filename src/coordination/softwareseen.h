// The versions of software of which a service's endpoints serve, or served a short time ago. A caller may continue a stream that one of
// them began; if there are several, the stream's own must be known.
//
// Load pattern: the endpoints of a service are replaced by those of a newer version, and all hosts are killed meanwhile or right
// after. The leader keeps the list in the replicated log, so that hosts that come back do not take the remaining version for the only one.
#pragma once

#include "coordination/registry.h"

#include <map>
#include <string>

namespace roserail
{

class SoftwareSeen
{
public:
    // `retention`: time for which a version counts after it was seen last; exceeds the longest stream and its caller's retries.
    explicit SoftwareSeen(Millis retention)
        : m_retention(retention)
    {
    }
    // Records the versions of all endpoints that are not gone or lost.
    void record(const Registry &registry, Time now);
    // Records versions that another process lists.
    void record(const pb::RecordSoftware &listed, Time now);
    // Returns the versions that were seen within the retention time, in order.
    pb::RecordSoftware list(Time now);
    // Returns whether several versions of the service were seen within the retention time.
    bool several(const std::string &service, Time now) const;
    // Returns whether that holds for any service.
    bool severalOfAny(Time now) const;

private:
    using Use = std::pair<std::string, std::string>; // service and version

    Millis m_retention;
    std::map<Use, Time> m_seenAt;
};

// Returns a number by which lists are compared; 0 for an empty one.
uint64_t softwareChecksum(const pb::RecordSoftware &listed);

} // namespace roserail
