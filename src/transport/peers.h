// Sends consensus messages to the other control replicas. Each replica has threads of its own, so that one that
// is unresponsive or distant does not delay the others. Messages may be lost; the consensus algorithm repeats them.
//
// Load pattern: a replica lacks several configurations of hundreds of kilobytes, or does not answer. Heartbeats do not wait behind
// them, and the bytes that are queued for one replica are limited.
#pragma once

#include "coordination/raft.h"
#include "transport/channel.h"

#include <array>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <thread>

namespace roserail
{

// Called with the receiver of a message whose call failed, on the thread of the sender.
using SendFailure = std::function<void(const Replica &)>;

// Sends batches of messages to one address from a thread of its own.
class PeerSender
{
public:
    // Above `maxQueuedBytes` the oldest messages are dropped, but never the newest.
    PeerSender(const std::string &address, size_t maxQueuedBytes, SendFailure onFailure);
    ~PeerSender();
    PeerSender(const PeerSender &) = delete;
    PeerSender &operator=(const PeerSender &) = delete;
    void send(pb::RaftMessage message);

private:
    void run();
    pb::RaftBatch takeBatch();
    bool call(const pb::RaftBatch &batch, std::unique_lock<std::mutex> &lock);

    Channel m_channel;
    size_t m_maxQueuedBytes;
    SendFailure m_onFailure;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<pb::RaftMessage> m_queue;
    size_t m_queuedBytes = 0;
    grpc::ClientContext *m_call = nullptr; // in progress
    bool m_stop = false;
    std::thread m_thread;
};

class Peers
{
public:
    // `onLargeLost`: called when a message with large entries, or a snapshot, could not be sent.
    explicit Peers(SendFailure onLargeLost = [](const Replica &) {})
        : m_onLargeLost(std::move(onLargeLost))
    {
    }
    void send(const std::string &address, pb::RaftMessage message);

private:
    // Heartbeats, votes and small entries; large entries; snapshots.
    enum Kind { Small, Large, Snapshots, Kinds };
    using Senders = std::array<std::unique_ptr<PeerSender>, Kinds>;

    SendFailure m_onLargeLost;
    std::map<std::string, Senders> m_senders;
};

} // namespace roserail
