// Pool of connections to endpoints. An idle connection is reused unless it was closed or has received unexpected bytes.
#pragma once

#include "state/tunables.h"
#include "transport/http.h"

#include <deque>
#include <unordered_map>

namespace roserail
{

// A hash of a request's id.
using RequestKey = Id<struct RequestKeyTag, uint64_t>;
RequestKey requestKey(const std::string &requestId);

// A connection to an endpoint. `buffer` holds bytes received after the end of the last answer.
struct EndpointConnection {
    explicit EndpointConnection(net::io_context &io)
        : socket(io)
    {
    }
    // Makes room for an answer that is larger than what may wait unread on each connection.
    void expectBytes(uint64_t bytes);

    std::shared_ptr<Ingress> ingress; // null: what may wait in the kernel is not limited
    std::optional<BufferShare> unreadShare; // of `ingress`
    tcp::socket socket;
    boost::beast::flat_buffer buffer{tunables::MaxUnparsedBytes};
    std::string address;
    std::string keepAliveHeader; // of the last answer
    bool used = false; // it has carried a request: what arrives may belong to that one
    std::vector<RequestKey> failed; // requests that were refused or failed on it; an endpoint may repeat these answers
    Time idleUntil{}; // not used later, because the endpoint may close it
};

using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

class EndpointPool
{
public:
    explicit EndpointPool(net::io_context &io);
    // Counts what may wait unread on connections that are opened from now on.
    void setIngress(std::shared_ptr<Ingress> ingress)
    {
        m_ingress = std::move(ingress);
    }
    // Returns an idle connection, or null if there is none. One on which the request failed before is left for other requests: an
    // answer that the endpoint repeats there could not be told from the one to come.
    EndpointConnectionPtr takeIdle(const std::string &address, Time now, std::optional<RequestKey> request = std::nullopt);
    // Opens a connection. Returns null if that fails or takes longer than `timeout`. `error` receives the result.
    Task<EndpointConnectionPtr> connect(const std::string &address, Millis timeout, ErrorCode *error = nullptr);
    // Returns a connection to the pool after its last answer was read completely, or closes it if too many requests failed on it.
    void putIdle(EndpointConnectionPtr connection, Time now);
    // Closes the idle connections to an address.
    void closeIdle(const std::string &address);
    // Closes connections whose idle time-out has passed.
    void closeExpired(Time now);

private:
    net::io_context &m_io;
    std::shared_ptr<Ingress> m_ingress;
    std::unordered_map<std::string, std::deque<EndpointConnectionPtr>> m_idle; // newest last
};

// The complete answer to a call.
struct CallAnswer {
    unsigned status = 0;
    std::string body;
    http::fields headers;
};

// Sends one request on a connection that no other request uses, and reads the complete answer. Returns nothing if there
// is none within `timeout`. `reusable` is set to whether the connection can be used for another request.
Task<std::optional<CallAnswer>> callOnConnection(EndpointConnection &connection, std::string method, std::string path,
                                                 std::vector<HeaderField> headers, std::string body, Millis timeout, bool &reusable);

// Does the same on a connection of the pool. `permitted`, if set, is asked once the connection is open; nothing is sent if it returns
// false.
Task<std::optional<CallAnswer>> callEndpoint(EndpointPool &pool, std::string address, std::string method, std::string path,
                                             std::vector<HeaderField> headers, std::string body, Millis timeout,
                                             std::function<bool()> permitted = nullptr);

} // namespace roserail
