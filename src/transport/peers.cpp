#include "transport/peers.h"

#include "state/tunables.h"

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxBytesPerCall = MaxBytesInFlight; // unless a single message is larger
// Bytes queued for one replica, by Peers::Kind; 0: one message. The consensus algorithm has at most one message with large
// entries, and one snapshot, under way.
constexpr size_t MaxQueuedBytes[]{1u << 20, 0, 0};

size_t entryBytes(const pb::RaftMessage &message)
{
    size_t n = 0;
    for (const pb::Entry &it : message.entries())
        n += it.ByteSizeLong();
    return n;
}

} // namespace

PeerSender::PeerSender(const std::string &address, size_t maxQueuedBytes, SendFailure onFailure)
    : m_channel(address)
    , m_maxQueuedBytes(maxQueuedBytes)
    , m_onFailure(std::move(onFailure))
    , m_thread([this] { run(); })
{
}

PeerSender::~PeerSender()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
        if (m_call != nullptr)
            m_call->TryCancel();
    }
    m_wake.notify_all();
    m_thread.join();
}

void PeerSender::send(pb::RaftMessage message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queuedBytes += message.ByteSizeLong();
        m_queue.push_back(std::move(message));
        while (m_queue.size() > 1 && m_queuedBytes > m_maxQueuedBytes) {
            m_queuedBytes -= m_queue.front().ByteSizeLong();
            m_queue.pop_front();
        }
    }
    m_wake.notify_one();
}

// Takes the messages that were queued during the last call, up to the limit of one call.
pb::RaftBatch PeerSender::takeBatch()
{
    pb::RaftBatch batch;
    size_t bytes = 0;
    while (!m_queue.empty() && (bytes == 0 || bytes + m_queue.front().ByteSizeLong() <= MaxBytesPerCall)) {
        bytes += m_queue.front().ByteSizeLong();
        *batch.add_messages() = std::move(m_queue.front());
        m_queue.pop_front();
    }
    m_queuedBytes -= bytes;
    return batch;
}

// Sends a batch without the lock, which is held before and after. Returns whether it was received.
bool PeerSender::call(const pb::RaftBatch &batch, std::unique_lock<std::mutex> &lock)
{
    grpc::ClientContext context;
    setDeadline(context, sendTimeout(batch.ByteSizeLong()));
    m_call = &context;
    lock.unlock();
    const std::shared_ptr<grpc::Channel> channel = m_channel.get();
    pb::Ack ack;
    const grpc::Status status = pb::Peer::NewStub(channel)->Step(&context, batch, &ack);
    m_channel.handleStatus(status, channel);
    lock.lock();
    m_call = nullptr;
    return status.ok();
}

void PeerSender::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stop || !m_queue.empty(); });
        if (m_stop)
            return;
        const pb::RaftBatch batch = takeBatch();
        if (!call(batch, lock) && !m_stop)
            m_onFailure(fromProto(batch.messages(0).to()));
    }
}

void Peers::send(const std::string &address, pb::RaftMessage message)
{
    Senders &senders = m_senders[address];
    for (size_t kind = 0; kind < Kinds && !senders[kind]; ++kind) {
        const SendFailure ignored = [](const Replica &) {
        };
        senders[kind] = std::make_unique<PeerSender>(address, MaxQueuedBytes[kind], kind == Small ? ignored : m_onLargeLost);
    }
    Kind kind = entryBytes(message) > MaxSmallAppendBytes ? Large : Small;
    if (message.kind() == pb::RaftMessage::INSTALL)
        kind = Snapshots;
    senders[kind]->send(std::move(message));
}

} // namespace roserail
