// Sends consensus messages to the other control replicas. Each replica has its own threads, so that one that is
// frozen or far away delays no other. Messages may be lost; consensus repeats them.
#pragma once

#include "transport/channel.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <thread>
#include <vector>

namespace roserail
{

// Sends batches to one address from one thread.
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
    // Snapshots are large and slow: they have a sender of their own, so that heartbeats pass them.
    struct Senders {
        std::unique_ptr<PeerSender> messages;
        std::unique_ptr<PeerSender> snapshots;
    };
    std::map<std::string, Senders> m_senders;
};

} // namespace roserail
