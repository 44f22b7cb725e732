// Endpoint on loopback that answers each request with given bytes, and a caller that reads one answer, so that tests
// control framing, truncation and the way in which a connection ends.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace roserail::test
{

// How an answer ends after its last byte.
enum class AnswerEnd {
    KeepOpen, // the connection stays open for the next request
    Close,
    Reset,
    Endless, // the last piece is repeated until the other side closes the connection
};

struct RawAnswer {
    std::string bytes; // of the answer, head included; "{id}" is replaced by the id of the request
    AnswerEnd end = AnswerEnd::KeepOpen;
    std::string repeated{}; // the piece that an endless answer repeats
    std::chrono::milliseconds endsAfter = std::chrono::hours(1); // the endpoint closes the connection if the other side doesn't
    std::vector<std::string> later{}; // pieces that follow the bytes, each after `pause`
    std::chrono::milliseconds pause{0}; // before each later or repeated piece
};

class RawEndpoint
{
public:
    // Receives the head and body of a request and returns the answer to it.
    using Script = std::function<RawAnswer(const std::string &request)>;

    explicit RawEndpoint(Script script);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    std::string address() const;
    std::vector<std::string> requests();
    // Returns the number of connections that were opened.
    size_t connections();
    size_t openConnections();
    // Bytes that the other side has accepted, over all answers.
    size_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    void acceptConnections();
    void serve(int connection);
    bool send(int connection, const std::string &bytes);

    Script m_script;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<size_t> m_bytesSent{0};
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::list<int> m_connections;
    size_t m_accepted = 0;
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

// What a caller received.
struct ReceivedAnswer {
    unsigned status = 0; // 0: no head was received
    bool complete = false; // the answer has ended as its framing says
    bool keepsConnection = false; // the connection may carry another request
    std::string body;
};

// Sends a request to a port on loopback on a connection of its own and reads the answer, for at most ten seconds.
ReceivedAnswer callRaw(int port, const std::string &request);

// Sends `begin` and then `repeated` again and again, until the other side closes the connection or has accepted
// `maxBytes`. Returns the number of bytes that it has accepted.
size_t sendWithoutEnd(int port, const std::string &begin, const std::string &repeated, size_t maxBytes);

} // namespace roserail::test
