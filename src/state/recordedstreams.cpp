#include "state/recordedstreams.h"

#include "state/tunables.h"

#include <xxhash.h>

namespace roserail
{

StreamId streamId(const std::string &requestId)
{
    return StreamId(XXH3_64bits(requestId.data(), requestId.size()));
}

void addStream(google::protobuf::RepeatedPtrField<pb::BegunStreams> &groups, const SoftwareVersion &version, StreamId stream)
{
    if (groups.empty() || groups.rbegin()->version() != version.value())
        groups.Add()->set_version(version.value());
    groups.rbegin()->add_streams(stream.value());
}

void RecordedStreams::apply(const pb::RecordStreams &command)
{
    if (command.forget_earlier()) {
        m_versions.clear();
        m_order.clear();
    }
    for (const pb::BegunStreams &it : command.begun())
        add(it);
}

void RecordedStreams::add(const pb::BegunStreams &streams)
{
    for (const uint64_t it : streams.streams()) {
        if (!m_versions.emplace(StreamId(it), SoftwareVersion(streams.version())).second)
            continue;
        m_order.emplace_back(it);
        if (m_order.size() > tunables::MaxRecordedStreams) {
            m_versions.erase(m_order.front());
            m_order.pop_front();
        }
    }
}

std::optional<SoftwareVersion> RecordedStreams::find(StreamId stream) const
{
    const auto it = m_versions.find(stream);
    return it == m_versions.end() ? std::nullopt : std::optional(it->second);
}

void RecordedStreams::save(pb::MachineState &state) const
{
    for (const StreamId it : m_order)
        addStream(*state.mutable_streams(), m_versions.at(it), it);
}

void RecordedStreams::restore(const pb::MachineState &state)
{
    m_versions.clear();
    m_order.clear();
    for (const pb::BegunStreams &it : state.streams())
        add(it);
}

} // namespace roserail
