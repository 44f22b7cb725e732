#include "transport/controlclient.h"

#include "state/tunables.h"
#include "transport/clock.h"

#include <thread>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis RetryDelay{30};
constexpr Millis HeartbeatTimeout{400};

} // namespace

ControlClient::ControlClient(const std::vector<std::string> &addresses)
{
    for (const std::string &it : addresses)
        m_channels.push_back(std::make_shared<Channel>(it));
}

std::shared_ptr<Channel> ControlClient::currentChannel()
{
    const std::lock_guard lock(m_mutex);
    return m_channels[m_current];
}

void ControlClient::switchChannel(const std::shared_ptr<Channel> &failed, const std::string &hint)
{
    const std::lock_guard lock(m_mutex);
    if (m_channels[m_current] != failed)
        return;
    for (size_t i = 0; i < m_channels.size(); ++i) {
        if (m_channels[i]->address() == hint) {
            m_current = i;
            return;
        }
    }
    if (!hint.empty()) {
        m_channels.push_back(std::make_shared<Channel>(hint));
        m_current = m_channels.size() - 1;
        return;
    }
    m_current = (m_current + 1) % m_channels.size();
}

Result<pb::HeartbeatReply> ControlClient::heartbeat(const pb::HeartbeatRequest &request)
{
    const std::shared_ptr<Channel> channel = currentChannel();
    const std::shared_ptr<grpc::Channel> connection = channel->get();
    grpc::ClientContext context;
    setDeadline(context, HeartbeatTimeout);
    pb::HeartbeatReply reply;
    const grpc::Status status = pb::Control::NewStub(connection)->Heartbeat(&context, request, &reply);
    channel->handleStatus(status, connection);
    if (status.ok() && reply.leader())
        return reply;
    switchChannel(channel, status.ok() ? reply.leader_peer_address() : "");
    return Error{ErrorKind::Unavailable, status.ok() ? "the replica is not the leader" : status.error_message()};
}

Result<pb::CommandResult> ControlClient::execute(const pb::Command &command, Time deadline)
{
    while (true) {
        const Time now = monotonicNow();
        if (now >= deadline)
            return Error{ErrorKind::Unavailable, "no control leader answered by the deadline"};
        const std::shared_ptr<Channel> channel = currentChannel();
        const std::shared_ptr<grpc::Channel> connection = channel->get();
        grpc::ClientContext context;
        setDeadline(context, std::min(ControlCallTimeout, Millis(deadline - now)));
        pb::CommandReply reply;
        const grpc::Status status = pb::Control::NewStub(connection)->Execute(&context, command, &reply);
        channel->handleStatus(status, connection);
        if (status.ok() && reply.leader())
            return reply.result();
        switchChannel(channel, status.ok() ? reply.leader_peer_address() : "");
        std::this_thread::sleep_for(RetryDelay);
    }
}

} // namespace roserail
