// Differences between versions of a configuration, so that a change doesn't send the whole configuration to every host.
#pragma once

#include "mesh.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace roserail
{

// Returns the difference between two configurations: what is between their common beginning and their common end.
pb::ConfigurationDelta makeDelta(const pb::WholeConfiguration &base, const pb::WholeConfiguration &target);

// Applies a difference. Returns nothing if it was made for another base or the result's checksum differs: the whole
// configuration must be requested then.
std::optional<pb::WholeConfiguration> applyDelta(const pb::WholeConfiguration &base, const pb::ConfigurationDelta &delta);

// An update of the configuration as it is transferred.
struct EncodedUpdate {
    uint64_t base = 0; // version that it is applied to; 0: the whole configuration
    uint64_t checksum = 0;
    std::string bytes;
};

// Returns the checksum by which a receiver recognizes damaged content.
uint64_t contentChecksum(const std::string &content);

// The latest configuration and the differences that lead to it from the versions before it.
class ConfigurationHistory
{
public:
    // Returns the update from `known` to the latest configuration: the difference if that version is known, else the whole.
    const EncodedUpdate &encodedUpdate(uint64_t known);
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
    std::map<uint64_t, EncodedUpdate> m_encoded; // to m_latest, by base; encoded when first needed
};

} // namespace roserail
