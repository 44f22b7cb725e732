// A crowd of callers that follow no limits, played by one thread: each sends its bytes, whole or in small pieces, and then stays
// connected. Also reads what a process uses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <vector>

namespace roserail::test
{

// What each caller sends: `begin`, then `unit` again and again, `bytes` in all.
struct CrowdText {
    std::string begin;
    std::string unit;
    size_t bytes = 0;
};

struct CrowdManner {
    int callers = 0;
    size_t pieceBytes = 64u << 10; // of one write
    bool reads = true; // what the server sends
    bool manyAddresses = false; // else all callers come from one
};

class Crowd
{
public:
    Crowd(const std::string &host, int port, CrowdText text, CrowdManner manner)
        : m_host(host)
        , m_port(port)
        , m_text(std::move(text))
        , m_manner(manner)
        , m_callers(size_t(manner.callers))
    {
        m_piece = m_text.begin;
        while (m_piece.size() < m_text.begin.size() + 2 * m_manner.pieceBytes + m_text.unit.size())
            m_piece += m_text.unit.empty() ? "x" : m_text.unit;
        for (size_t i = 0; i < m_callers.size(); ++i)
            connect(m_callers[i], int(i));
    }
    ~Crowd()
    {
        for (const CallerState &it : m_callers) {
            if (it.fd >= 0)
                ::close(it.fd);
        }
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    // Sends and reads until all have sent their bytes or have been closed, or the time has passed.
    void play(std::chrono::milliseconds time)
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            size_t busy = 0;
            for (CallerState &it : m_callers)
                busy += step(it) ? 1 : 0;
            if (busy == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    struct CallerState {
        int fd = -1;
        size_t sent = 0;
    };

    void connect(CallerState &caller, int number)
    {
        caller.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in from{};
        from.sin_family = AF_INET;
        from.sin_addr.s_addr = htonl((127u << 24) + 100u + uint32_t(number % 100));
        if (m_manner.manyAddresses)
            ::bind(caller.fd, reinterpret_cast<const sockaddr *>(&from), sizeof from);
        const int window = 4096;
        if (!m_manner.reads)
            ::setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(uint16_t(m_port));
        ::inet_pton(AF_INET, m_host.c_str(), &to.sin_addr);
        ::fcntl(caller.fd, F_SETFL, O_NONBLOCK);
        ::connect(caller.fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }

    // Returns whether the caller has sent bytes.
    bool step(CallerState &caller)
    {
        if (caller.fd < 0)
            return false;
        char buf[16384];
        if (m_manner.reads && ::recv(caller.fd, buf, sizeof buf, MSG_DONTWAIT) == 0)
            return close(caller);
        if (caller.sent >= m_text.bytes)
            return false;
        // The text repeats, so that a position beyond the first units has the bytes of an earlier one.
        const size_t unit = m_text.unit.empty() ? 1 : m_text.unit.size();
        const size_t begin = m_text.begin.size();
        const size_t at = caller.sent < begin ? caller.sent : begin + (caller.sent - begin) % unit;
        const size_t n = std::min<size_t>({m_manner.pieceBytes, m_text.bytes - caller.sent, m_piece.size() - at});
        const ssize_t sent = ::send(caller.fd, m_piece.data() + at, n, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN && errno != EINPROGRESS && errno != EALREADY)
            return close(caller);
        if (sent <= 0)
            return false;
        caller.sent += size_t(sent);
        m_sentBytes += size_t(sent);
        return true;
    }

    static bool close(CallerState &caller)
    {
        ::close(caller.fd);
        caller.fd = -1;
        return false;
    }

    std::string m_host;
    int m_port;
    CrowdText m_text;
    CrowdManner m_manner;
    std::string m_piece; // the beginning of the text
    std::vector<CallerState> m_callers;
    size_t m_sentBytes = 0;
};

// Returns a figure of /proc/PID/status in kB: VmHWM is the largest resident memory so far, VmRSS that of the moment.
inline size_t memoryKb(int pid, const std::string &name)
{
    std::ifstream in(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(in, line);) {
        if (line.rfind(name + ":", 0) == 0)
            return std::stoul(line.substr(name.size() + 1));
    }
    return 0;
}

// Returns the number of open descriptors of a process.
inline size_t openDescriptors(int pid)
{
    std::error_code ec;
    size_t n = 0;
    for (const std::filesystem::directory_entry &it : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), ec))
        n += it.path().empty() ? 0 : 1;
    return n;
}

// Returns the inodes of the sockets that a process has open, as text.
inline std::set<std::string> socketInodes(int pid)
{
    std::error_code ec;
    std::set<std::string> inodes;
    for (const std::filesystem::directory_entry &it : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), ec)) {
        const std::string target = std::filesystem::read_symlink(it.path(), ec).string();
        if (target.rfind("socket:[", 0) == 0)
            inodes.insert(target.substr(8, target.size() - 9));
    }
    return inodes;
}

struct SocketBytes {
    size_t unread = 0; // have arrived, and have not been read
    size_t unsent = 0; // have been written, and have not been acknowledged
};

// Returns what waits in the TCP sockets of a process, those of connections that it has not accepted included.
inline SocketBytes socketBytes(int pid)
{
    constexpr const char *listening = "0A";
    const std::set<std::string> inodes = socketInodes(pid);
    struct Row {
        std::string port;
        std::string state;
        std::string inode;
        SocketBytes bytes;
    };
    std::vector<Row> rows;
    std::set<std::string> ports;
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line);
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string rest;
        std::string inode;
        fields >> number >> local >> remote >> state >> queues >> rest >> rest >> rest >> rest >> inode;
        const SocketBytes bytes{std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16), std::stoul(queues, nullptr, 16)};
        rows.push_back({local.substr(local.find(':') + 1), state, inode, bytes});
        if (state == listening && inodes.count(inode) != 0)
            ports.insert(rows.back().port);
    }
    SocketBytes sum;
    for (const Row &it : rows) {
        const bool notAccepted = it.inode == "0" && ports.count(it.port) != 0;
        if (it.state == listening || (!notAccepted && inodes.count(it.inode) == 0))
            continue;
        sum.unread += it.bytes.unread;
        sum.unsent += it.bytes.unsent;
    }
    return sum;
}

} // namespace roserail::test
