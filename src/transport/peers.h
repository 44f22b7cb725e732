// Sends consensus messages to the other control replicas. Each replica has threads of its own, so that one that
// is unresponsive or distant does not delay the others. Messages may be lost; the consensus algorithm repeats them.
#pragma once

#include "transport/channel.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <thread>
#include <vector>

namespace roserail
{

// Sends batches of messages to one address from a thread of its own.
class PeerSender
{
public:
    PeerSender(const std::string &address, Millis callTimeout);
    ~PeerSender();
    PeerSender(const PeerSender &) = delete;
    PeerSender &operator=(const PeerSender &) = delete;
    void send(pb::RaftMessage message);

private:
    void run();

    Channel m_channel;
    Millis m_callTimeout;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<pb::RaftMessage> m_queue;
    bool m_stop = false;
    std::thread m_thread;
};

class Peers
{
public:
    void send(const std::string &address, pb::RaftMessage message);

private:
    // Snapshots are large and slow to send. They have a sender of their own, so that they do not delay heartbeats.
    struct Senders {
        std::unique_ptr<PeerSender> messages;
        std::unique_ptr<PeerSender> snapshots;
    };
    std::map<std::string, Senders> m_senders;
};

} // namespace roserail
