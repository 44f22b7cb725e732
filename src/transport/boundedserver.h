// Server of cpp-httplib that limits the bytes and the time of each request, the memory of all requests together, and the connections.
#pragma once

#include "coordination/ingressbudget.h"
#include "protocol/settings.h"

#include <condition_variable>
#include <httplib.h>
#include <list>
#include <mutex>

namespace roserail
{

class RequestStream;

class BoundedServer : public httplib::Server
{
public:
    // `threads`: that serve a connection each.
    BoundedServer(const ProcessLimits &limits, size_t threads);

private:
    friend class ConnectionQueue;
    friend class RequestStream;

    bool process_and_close_socket(socket_t socket) override;
    // Counts a new connection, for which another one may be ended. Returns false if it can't be served.
    bool admitConnection();
    void beginConnection();
    void endConnection();
    // Ends a connection if others wait for a thread.
    void yieldToWaiting();
    bool endOneConnection();

    IngressBudget m_budget;
    const size_t m_threads;
    const size_t m_maxConnections;
    std::mutex m_mutex;
    std::condition_variable m_connectionEnded;
    std::list<RequestStream *> m_streams;
    size_t m_open = 0; // connections, also those that wait for a thread
    size_t m_waiting = 0; // for a thread
    size_t m_ending = 0;
};

} // namespace roserail
