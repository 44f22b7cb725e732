#include "transport/peers.h"

namespace roserail
{

namespace
{

constexpr size_t MaxQueuedMessages = 1024; // above it, the oldest are dropped
constexpr Millis MessageTimeout{400};
constexpr Millis SnapshotTimeout{30000};

} // namespace

PeerSender::PeerSender(const std::string &address, Millis callTimeout)
    : m_channel(address)
    , m_callTimeout(callTimeout)
    , m_thread([this] { run(); })
{
}

PeerSender::~PeerSender()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void PeerSender::send(pb::RaftMessage message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(message));
        if (m_queue.size() > MaxQueuedMessages)
            m_queue.pop_front();
    }
    m_wake.notify_one();
}

// Messages that are queued during a call are sent together in the next one.
void PeerSender::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stop || !m_queue.empty(); });
        if (m_stop)
            return;
        pb::RaftBatch batch;
        for (pb::RaftMessage &it : m_queue)
            *batch.add_messages() = std::move(it);
        m_queue.clear();
        lock.unlock();
        const std::shared_ptr<grpc::Channel> channel = m_channel.get();
        grpc::ClientContext context;
        setDeadline(context, m_callTimeout);
        pb::Ack ack;
        const grpc::Status status = pb::Peer::NewStub(channel)->Step(&context, batch, &ack);
        m_channel.handleStatus(status, channel);
        lock.lock();
    }
}

void Peers::send(const std::string &address, pb::RaftMessage message)
{
    Senders &senders = m_senders[address];
    if (!senders.messages) {
        senders.messages = std::make_unique<PeerSender>(address, MessageTimeout);
        senders.snapshots = std::make_unique<PeerSender>(address, SnapshotTimeout);
    }
    PeerSender &sender = message.kind() == pb::RaftMessage::INSTALL ? *senders.snapshots : *senders.messages;
    sender.send(std::move(message));
}

} // namespace roserail
