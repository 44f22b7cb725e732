// The software versions that began streams which callers may continue, as the replicated log keeps them.
//
// Load pattern: the endpoints of a service are replaced by those of a newer version, and all hosts are killed meanwhile. Callers then
// continue their streams at any host. The log keeps streams only while there are several versions, and the latest of them.
#pragma once

#include "state.pb.h"
#include "state/types.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace roserail
{

// Returns the id of the stream that the request with this id began.
StreamId streamId(const std::string &requestId);

// Adds a stream to the group of its version at the end, or to a new group.
void addStream(google::protobuf::RepeatedPtrField<pb::BegunStreams> &groups, const SoftwareVersion &version, StreamId stream);

class RecordedStreams
{
public:
    // Applies a command. The first record of a stream holds.
    void apply(const pb::RecordStreams &command);
    std::optional<SoftwareVersion> find(StreamId stream) const;
    bool empty() const
    {
        return m_order.empty();
    }
    void save(pb::MachineState &state) const;
    void restore(const pb::MachineState &state);

private:
    void add(const pb::BegunStreams &streams);

    std::unordered_map<StreamId, SoftwareVersion> m_versions;
    std::deque<StreamId> m_order; // oldest first
};

} // namespace roserail
