// Differences between versions of a configuration, so that a change doesn't send the whole configuration to every host.
#pragma once

#include "mesh.pb.h"

#include <deque>
#include <optional>

namespace roserail
{

// Returns the difference between two configurations: what is between their common beginning and their common end.
pb::ConfigurationDelta makeDelta(const pb::WholeConfiguration &base, const pb::WholeConfiguration &target);

// Applies a difference. Returns nothing if it was made for another base or the result's checksum differs: the whole
// configuration must be requested then.
std::optional<pb::WholeConfiguration> applyDelta(const pb::WholeConfiguration &base, const pb::ConfigurationDelta &delta);

// The latest configuration and the differences that lead to it from the versions before it.
class ConfigurationHistory
{
public:
    // Stores a configuration if its version is higher than the latest one's, and returns whether it was.
    bool merge(const pb::WholeConfiguration &configuration);
    const pb::WholeConfiguration &latest() const
    {
        return m_latest;
    }
    // Returns the difference from `version` to the latest configuration, or nullptr if that version is no longer known.
    const pb::ConfigurationDelta *deltaFrom(uint64_t version) const;

private:
    pb::WholeConfiguration m_latest;
    std::deque<pb::WholeConfiguration> m_previous; // oldest first
    std::deque<pb::ConfigurationDelta> m_deltas; // from each of m_previous to m_latest
};

// Sets the field that updates a peer from `version` to the latest configuration: the difference if it is known, else the
// whole. Sets nothing if the peer is up to date. `Message` has the fields configuration and configuration_delta.
template <typename Message>
void addConfiguration(const ConfigurationHistory &history, uint64_t version, Message &out)
{
    if (history.latest().version() <= version)
        return;
    if (const pb::ConfigurationDelta *delta = history.deltaFrom(version))
        *out.mutable_configuration_delta() = *delta;
    else
        *out.mutable_configuration() = history.latest();
}

} // namespace roserail
