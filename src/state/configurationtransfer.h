// Transfer of configurations to other processes in pieces of bounded size.
//
// Load pattern: many routes are added, and all routers of an availability zone fetch the change at the same time over one
// link. A piece arrives within a poll's time limit then, and what has arrived is kept if a poll fails, also if the next one is
// sent to another host.
#pragma once

#include "state/configurationdelta.h"

namespace roserail
{

// Sets `out` to what a peer with configuration `known` needs next. `progress`: what it has received so far of an update.
void addNextPiece(ConfigurationHistory &history, uint64_t known, const pb::ConfigurationProgress &progress, pb::ConfigurationPiece &out);

// Sets the field that updates a peer from `version` to the latest configuration. Sets nothing if the peer is up to date.
// `progress`: what the peer has received of an update; null if it is of an earlier release, which accepts no pieces.
template <typename Message>
void addConfiguration(ConfigurationHistory &history, uint64_t version, const pb::ConfigurationProgress *progress, Message &out)
{
    if (history.latest().version() <= version)
        return;
    if (progress != nullptr)
        addNextPiece(history, version, *progress, *out.mutable_configuration_piece());
    else if (const pb::ConfigurationDelta *delta = history.deltaFrom(version))
        *out.mutable_configuration_delta() = *delta;
    else
        *out.mutable_configuration() = history.latest();
}

// Receives the pieces of one update at a time.
class ConfigurationReceiver
{
public:
    const pb::ConfigurationProgress &progress() const
    {
        return m_progress;
    }
    bool receiving() const
    {
        return m_progress.received() > 0;
    }
    // Adds a piece and returns the update if it is now complete. A piece of another update replaces what was received; one
    // that does not follow is ignored. A damaged update is dropped, so that it is requested again.
    std::optional<pb::ConfigurationUpdate> add(const pb::ConfigurationPiece &piece);

private:
    pb::ConfigurationProgress m_progress;
    std::string m_bytes;
};

} // namespace roserail
