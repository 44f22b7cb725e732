// A router's connection to the control replicas: finds the leader and follows it.
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
    // One heartbeat to the leader as last known. Fails if it does not answer as leader.
    Result<pb::HeartbeatReply> heartbeat(const pb::HeartbeatRequest &request);
    // Executes a command that may be repeated, at whichever replica leads, until the deadline.
    Result<pb::CommandResult> execute(const pb::Command &command, Time deadline);

private:
    std::shared_ptr<Channel> currentChannel();
    // Goes on with the hinted address, or the next one.
    void switchChannel(const std::shared_ptr<Channel> &failed, const std::string &hint);

    std::mutex m_mutex;
    std::vector<std::shared_ptr<Channel>> m_channels;
    size_t m_current = 0;
};

} // namespace roserail
