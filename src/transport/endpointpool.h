// Connections to endpoints: kept ones are used again while nothing unexpected has come in on them.
#pragma once

#include "transport/http.h"

#include <deque>
#include <unordered_map>

namespace roserail
{

// One connection to an endpoint. Bytes that were read too far stay in `buffer`.
struct EndpointConnection {
    explicit EndpointConnection(net::io_context &io)
        : socket(io)
    {
    }
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string address;
    std::string keepAliveHeader; // of the last answer
    Time idleUntil{}; // the endpoint may close it later
};

using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

class EndpointPool
{
public:
    explicit EndpointPool(net::io_context &io);
    // A kept connection, or nothing.
    EndpointConnectionPtr takeIdle(const std::string &address, Time now);
    // A new connection; nothing if it can't be made in time.
    Task<EndpointConnectionPtr> connect(const std::string &address, Millis timeout, ErrorCode *error = nullptr);
    // Keeps a connection whose last answer is complete.
    void putIdle(EndpointConnectionPtr connection, Time now);
    // Closes connections that were idle for long.
    void closeExpired(Time now);
    net::io_context &io()
    {
        return m_io;
    }

private:
    net::io_context &m_io;
    std::unordered_map<std::string, std::deque<EndpointConnectionPtr>> m_idle; // newest last
};

// A whole answer to a call.
struct CallAnswer {
    unsigned status = 0;
    std::string body;
};

// Sends one request on a connection of its own and reads the whole answer. No answer in time: nothing.
Task<std::optional<CallAnswer>> callEndpoint(EndpointPool &pool, std::string address, std::string method, std::string path,
                                             std::vector<HeaderField> headers, std::string body, Millis timeout);

} // namespace roserail
