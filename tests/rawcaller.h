// A caller with a socket, which tells how a server ends its calls: whole, cut, or without having read them.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <fmt/format.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace roserail::test
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr Millis UnreadCloseLimit{200}; // a connection whose request has not been read is closed within this time
constexpr Millis SlowSendTime{100}; // between the halves of a slow request
constexpr Millis CallTimeout{8000};

enum class Ending {
    Answered,
    NotSent, // no connection, or it was closed before all bytes were sent and before the server could read any
    Unread, // reset within UnreadCloseLimit: the server closed the connection without reading the request
    Cut,
};

struct CallResult {
    Ending ending = Ending::NotSent;
    int status = 0;
    std::string head;
    std::string body;
    std::string detail;
};

// Returns the status of the answer in `bytes` and its body if the answer is whole.
inline std::optional<std::pair<int, std::string>> wholeAnswer(const std::string &bytes)
{
    const size_t end = bytes.find("\r\n\r\n");
    const size_t at = bytes.find("Content-Length: ");
    if (end == std::string::npos || at == std::string::npos || at > end)
        return std::nullopt;
    const size_t length = std::stoul(bytes.substr(at + 16));
    if (bytes.size() < end + 4 + length)
        return std::nullopt;
    return std::make_pair(std::stoi(bytes.substr(9, 3)), bytes.substr(end + 4, length));
}

// `headers`: more lines, each with its end.
inline std::string requestText(const std::string &method, const std::string &path, const std::string &body, const std::string &headers = "")
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n{}Content-Length: {}\r\n\r\n{}", method, path,
                       headers, body.size(), body);
}

// A connection that is kept until the server closes it.
class Connection
{
public:
    Connection(const std::string &host, int port, Millis timeout = CallTimeout)
        : m_host(host)
        , m_port(port)
        , m_timeout(timeout)
    {
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_kept = false;
    }
    // Opens the connection unless it is open. Returns false if it is refused.
    bool open()
    {
        char byte = 0;
        if (m_fd >= 0 && ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) {
            ++m_closedAfterAnswer;
            close();
        }
        if (m_fd >= 0)
            return true;
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{std::chrono::duration_cast<std::chrono::seconds>(m_timeout).count(), 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(uint16_t(m_port));
        ::inet_pton(AF_INET, m_host.c_str(), &address.sin_addr);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return true;
        close();
        return false;
    }
    // Returns how often the server has ended the connection although its last answer had told the caller to keep it.
    int closedAfterAnswer() const
    {
        return m_closedAfterAnswer;
    }
    // Sends a request, in two halves with a pause if `slow`, and reads its answer.
    CallResult call(const std::string &request, bool slow)
    {
        CallResult result;
        if (!open())
            return result;
        const bool kept = std::exchange(m_kept, false);
        const size_t firstPart = slow ? request.size() / 2 : 0;
        if (slow) {
            if (!sendAll(request.substr(0, firstPart))) {
                close();
                return result;
            }
            std::this_thread::sleep_for(SlowSendTime);
        }
        const bool sent = sendAll(request.substr(firstPart));
        const Clock::time_point sentAt = Clock::now();
        std::string bytes;
        char buf[16384];
        while (true) {
            const ssize_t n = sent ? ::recv(m_fd, buf, sizeof buf, 0) : -1;
            if (n <= 0) {
                const int error = n < 0 ? errno : socketError();
                const Millis after = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
                // A server that closes a connection with unread input resets it; one that has read all ends it.
                const bool reset = error == ECONNRESET || error == EPIPE;
                result.ending = bytes.empty() && reset && !slow && after <= UnreadCloseLimit ? Ending::Unread : Ending::Cut;
                m_closedAfterAnswer += kept ? 1 : 0;
                result.detail = fmt::format("{} of {} bytes, error {}, after {} ms: {}", bytes.size(), sent ? "sent" : "partly sent", error,
                                            after.count(), request.substr(0, request.find('\r')));
                close();
                return result;
            }
            bytes.append(buf, size_t(n));
            const std::optional<std::pair<int, std::string>> answer = wholeAnswer(bytes);
            if (!answer)
                continue;
            result.ending = Ending::Answered;
            result.status = answer->first;
            result.head = bytes.substr(0, bytes.find("\r\n\r\n"));
            result.body = answer->second;
            m_kept = result.head.find("Connection: close") == std::string::npos;
            if (!m_kept)
                close();
            return result;
        }
    }

private:
    int socketError() const
    {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        return error;
    }
    bool sendAll(const std::string &bytes) const
    {
        return ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size());
    }

    std::string m_host;
    int m_port;
    Millis m_timeout;
    int m_fd = -1;
    bool m_kept = false; // the last answer told the caller to keep the connection
    int m_closedAfterAnswer = 0;
};

} // namespace roserail::test
