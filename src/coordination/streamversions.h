// Software versions of the endpoints that began this router's recent streams, and of those that it has asked about, so that a caller
// who continues a stream in a new request gets no events of another version.
//
// Load pattern: streams break while the endpoints of a service are replaced by a newer version, and their callers come back.
#pragma once

#include "mesh.pb.h"
#include "state/recordedstreams.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace roserail
{

class StreamVersions
{
public:
    // `retention`: time for which a stream is remembered. `maxStreams`: above it, the oldest are forgotten.
    StreamVersions(Millis retention, size_t maxStreams)
        : m_retention(retention)
        , m_maxStreams(maxStreams)
    {
    }
    // Records the version that began a stream. The first record of an id holds.
    void record(StreamId stream, const SoftwareVersion &version, Time now);
    // Returns the version that began the stream, if it is known.
    std::optional<SoftwareVersion> find(StreamId stream, Time now) const;
    // Adds the streams that were recorded within `window`, the latest first, to this router's state.
    void addReports(pb::RouterState &state, Millis window, size_t maxStreams, Time now) const;

private:
    struct Entry {
        SoftwareVersion version;
        Time until{};
    };
    Millis m_retention;
    size_t m_maxStreams;
    std::unordered_map<StreamId, Entry> m_entries;
    std::deque<StreamId> m_order; // oldest first
};

} // namespace roserail
