// The versions of software of which a service's endpoints serve, or served a short time ago. A caller may continue a stream that one of
// them began; if there are several, the stream's own must be known.
//
// Load pattern: the endpoints of a service are replaced by those of a newer version, and all hosts are killed meanwhile or right
// after. The leader keeps the list in the replicated log, so that hosts that come back do not take the remaining version for the only one.
#pragma once

#include "coordination/confirmation.h"
#include "coordination/registry.h"

#include <map>
#include <optional>
#include <set>
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
    // Returns the versions of the service that were seen within the retention time.
    std::set<SoftwareVersion> versions(const std::string &service, Time now) const;
    // Returns whether there are several.
    bool several(const std::string &service, Time now) const
    {
        return versions(service, now).size() > 1;
    }
    // Returns whether that holds for any service.
    bool severalOfAny(Time now) const;

private:
    using Use = std::pair<std::string, std::string>; // service and version

    Millis m_retention;
    std::map<Use, Time> m_seenAt;
};

// Returns the version that began a stream, by the versions of its service that this router knows: the only one, if others can't have begun
// it. `listed`: how current they are. `continuedAt`: when the request to continue the stream came, and thus after its beginning.
std::optional<SoftwareVersion> onlyVersion(const std::set<SoftwareVersion> &versions, const Confirmation &listed, Time continuedAt);

// Returns a number by which lists are compared; 0 for an empty one.
uint64_t softwareChecksum(const pb::RecordSoftware &listed);

} // namespace roserail
