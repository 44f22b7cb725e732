#include "transport/channel.h"

namespace roserail
{

namespace
{

constexpr int ReconnectBackoffMs = 100;

std::shared_ptr<grpc::Channel> connect(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MaxGrpcMessageBytes);
    arguments.SetMaxSendMessageSize(MaxGrpcMessageBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

Channel::Channel(std::string address)
    : m_address(std::move(address))
{
}

std::shared_ptr<grpc::Channel> Channel::get()
{
    const std::lock_guard lock(m_mutex);
    if (!m_channel)
        m_channel = connect(m_address);
    return m_channel;
}

void Channel::handleStatus(const grpc::Status &status, const std::shared_ptr<grpc::Channel> &used)
{
    if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED)
        return;
    const std::lock_guard lock(m_mutex);
    if (m_channel == used)
        m_channel.reset();
}

void setDeadline(grpc::ClientContext &context, Millis timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

} // namespace roserail
