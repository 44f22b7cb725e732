// A router's client of the control replicas: sends requests to the leader and finds the new one after a change.
#pragma once

#include "state/errors.h"
#include "transport/channel.h"

#include <vector>

namespace roserail
{

class ControlClient
{
public:
    explicit ControlClient(const std::vector<std::string> &addresses);
    // Sends a heartbeat to the last known leader. Fails if it does not answer or no longer leads.
    Result<pb::HeartbeatReply> heartbeat(const pb::HeartbeatRequest &request);
    // Sends a command to the leader until it is executed or the deadline passes. The command is sent again after a lost
    // answer, so it must be safe to repeat.
    Result<pb::CommandResult> execute(const pb::Command &command, Time deadline);

private:
    std::shared_ptr<Channel> currentChannel();
    // Switches from the failed channel to the hinted address, or to the next known address if the hint is empty.
    void switchChannel(const std::shared_ptr<Channel> &failed, const std::string &hint);

    std::mutex m_mutex;
    std::vector<std::shared_ptr<Channel>> m_channels;
    size_t m_current = 0;
};

} // namespace roserail
