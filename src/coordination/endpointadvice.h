// What endpoints say about themselves in answers to requests: that they are leaving, or that this host shall send them
// nothing for a while.
//
// Load pattern: an endpoint is shut down or overloaded while heartbeats that arrive later still list it as ready. Its own
// answers are the newest word on it, and they bind this host, whatever the registry lists.
#pragma once

#include "mesh.pb.h"
#include "state/types.h"

#include <map>
#include <string>
#include <vector>

namespace roserail
{

class EndpointAdvice
{
public:
    // Records that the incarnation of an endpoint is leaving, which is final. Returns false if it was known.
    bool recordLeaving(const std::string &endpoint, uint64_t startedAtMs, Time now);
    // Records that the endpoint wants no request for `pause`, at most MaxEndpointPause. A shorter pause doesn't end a
    // longer one. Returns the end of the pause.
    Time recordPause(const std::string &endpoint, uint64_t startedAtMs, Millis pause, Time now);

    bool leaving(const std::string &endpoint, uint64_t startedAtMs) const;
    // Returns the end of the pause; a time in the past if there is none.
    Time pausedUntil(const std::string &endpoint, uint64_t startedAtMs) const;

    // Returns the endpoints that are leaving, to be reported to the control hosts, and forgets those recorded long ago.
    std::vector<pb::LeavingReport> leavingReports(Time now);

private:
    struct Entry {
        uint64_t startedAtMs = 0;
        bool leaving = false;
        Time recordedAt{}; // when `leaving` was set
        Time pausedUntil{};
    };
    // Returns the entry of the incarnation, which replaces that of an earlier one; nullptr if a later one is recorded.
    Entry *entryFor(const std::string &endpoint, uint64_t startedAtMs);
    const Entry *find(const std::string &endpoint, uint64_t startedAtMs) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace roserail
