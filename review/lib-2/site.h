// Parts of the review's scripts: starts the project's programs as a small deployment on loopback addresses, with stand-ins for
// clients, plain servers and the operator, and writes a record. Needs the C++ library and sockets only.
//
// A machine N has the address 127.A.B.N, its own keeper and entry process, and settings as the templates in deploy/ give them with the
// bounds of the site grijslijn. The stand-ins write and read HTTP/1.1 with lengths.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

// Milliseconds since the program started.
inline double nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// What was sent, answered and run, with times.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr)
            return;
        std::fprintf(m_file, "%10.1f ms  ", nowMs());
        va_list list;
        va_start(list, format);
        std::vfprintf(m_file, format, list);
        va_end(list);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

// Ends the program: the case could not run.
[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(2);
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(uint16_t(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string headerOf(const std::string &head, const std::string &name)
{
    size_t at = 0;
    while ((at = head.find("\r\n", at)) != std::string::npos) {
        at += 2;
        const size_t end = head.find("\r\n", at);
        const size_t colon = head.find(':', at);
        if (end == std::string::npos || colon == std::string::npos || colon > end)
            continue;
        if (colon - at == name.size() && strncasecmp(head.c_str() + at, name.c_str(), name.size()) == 0) {
            const size_t value = head.find_first_not_of(' ', colon + 1);
            return value >= end ? "" : head.substr(value, end - value);
        }
    }
    return "";
}

// One connection, which reads and writes whole messages.
class Stream
{
public:
    explicit Stream(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Stream()
    {
        close();
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    bool connect(const std::string &ip, int port, int timeoutMs)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = socketAddress(ip, port);
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            return false;
        pollfd it{m_fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        return ::poll(&it, 1, timeoutMs) > 0 && ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    bool send(const std::string &bytes)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n > 0) {
                done += size_t(n);
                continue;
            }
            pollfd it{m_fd, POLLOUT, 0};
            if (n < 0 && (errno == EAGAIN || errno == EINTR) && ::poll(&it, 1, 5000) > 0)
                continue;
            return false;
        }
        return true;
    }
    // Reads one message with a length. Returns false if it does not arrive whole by the deadline.
    bool read(std::string &head, std::string &body, double deadlineMs)
    {
        while (true) {
            const size_t end = m_buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                head = m_buffer.substr(0, end + 4);
                const size_t length = size_t(std::atoll(headerOf(head, "Content-Length").c_str()));
                if (m_buffer.size() >= end + 4 + length) {
                    body = m_buffer.substr(end + 4, length);
                    m_buffer.erase(0, end + 4 + length);
                    return true;
                }
            }
            pollfd it{m_fd, POLLIN, 0};
            const double left = deadlineMs - nowMs();
            if (left <= 0 || ::poll(&it, 1, int(left) + 1) <= 0)
                return false;
            char bytes[16384];
            const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
            if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
                return false;
            if (n > 0)
                m_buffer.append(bytes, size_t(n));
        }
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    int fd() const
    {
        return m_fd;
    }

private:
    int m_fd;
    std::string m_buffer;
};

struct Answer {
    int status = 0; // 0: no answer
    std::string head;
    std::string body;
};

// Sends one request on a connection of its own.
inline Answer call(const std::string &ip, int port, const std::string &method, const std::string &target, const std::string &headers,
                   const std::string &body, int timeoutMs = 1000)
{
    Answer answer;
    const double deadline = nowMs() + timeoutMs;
    Stream stream;
    if (!stream.connect(ip, port, timeoutMs))
        return answer;
    std::string text = method + " " + target + " HTTP/1.1\r\n" + headers;
    if (headers.find("Host:") == std::string::npos)
        text += "Host: " + ip + "\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!stream.send(text + "Connection: close\r\n\r\n" + body) || !stream.read(answer.head, answer.body, deadline))
        return answer;
    answer.status = std::atoi(answer.head.c_str() + answer.head.find(' ') + 1);
    return answer;
}

// A small HTTP server, with a thread for each connection.
class Server
{
public:
    using Handler = std::function<std::string(const std::string &head, const std::string &body)>; // returns the whole answer

    Server(const std::string &ip, int port, Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socketAddress(ip, port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, 128) != 0)
            cannotRun("no server can listen on " + ip + ":" + std::to_string(port));
        m_thread = std::thread([this] { accept(); });
    }
    // Stops accepting connections and closes those that are open, as a process that exits does.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int it : m_open)
            ::shutdown(it, SHUT_RDWR);
    }
    ~Server()
    {
        stop();
        while (m_running > 0)
            sleepMs(5);
    }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0) {
                if (m_stopped)
                    return;
                sleepMs(1);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_running;
            std::thread([this, fd] {
                {
                    Stream stream(fd);
                    std::string head;
                    std::string body;
                    while (!m_stopped && stream.read(head, body, nowMs() + 60000)) {
                        if (!stream.send(m_handler(head, body)))
                            break;
                    }
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                }
                --m_running;
            }).detach();
        }
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

inline std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The processes of the deployment. Each process of the project ends with this program.
class Site
{
public:
    // `disks`: the first machines, which have one. `machines`: all.
    Site(Record &record, int disks, int machines)
        : m_record(record)
        , m_disks(disks)
        , m_machines(machines)
    {
        const char *const base = std::getenv("REVIEW_FOLDER"); // a temporary folder, which run.sh removes
        std::string name = std::string(base == nullptr ? "/tmp" : base) + "/roserail-review-XXXXXX";
        const char *const folder = ::mkdtemp(name.data());
        if (folder == nullptr)
            cannotRun("no temporary folder");
        m_folder = folder;
        std::random_device random;
        for (int i = 0; i < 50 && m_net.empty(); ++i) {
            const std::string net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
            if (portsFree(net))
                m_net = net;
        }
        if (m_net.empty())
            cannotRun("no free loopback addresses");
    }
    ~Site()
    {
        for (const std::pair<const std::string, pid_t> &it : m_pids) {
            ::kill(it.second, SIGCONT);
            ::kill(it.second, SIGKILL);
            ::waitpid(it.second, nullptr, 0);
        }
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_folder);
        else
            std::fprintf(stderr, "kept: %s\n", m_folder.c_str());
    }
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    std::string ip(int n) const
    {
        return m_net + std::to_string(n);
    }
    int control() const
    {
        return Control;
    }
    int frontend() const
    {
        return Frontend;
    }
    int ready() const
    {
        return Ready;
    }
    int directory() const
    {
        return Directory;
    }
    const std::string &folder() const
    {
        return m_folder;
    }
    void startKeeper(int n, bool first = true, bool disk = false)
    {
        std::string text = common(n, Metrics) + "listen: \"" + ip(n) + ":" + std::to_string(Control) + "\"\n";
        if (n <= m_disks || disk)
            text += "dataFolder: \"" + m_folder + "/data-" + std::to_string(n) + "\"\n";
        text += std::string("mayFound: ") + (first ? "true" : "false") + "\nlossesToBear: 1\norderLease: 3000ms\n" + limits();
        spawn("keeper-" + std::to_string(n), "target/roserail-keeper", text);
    }
    void startEntry(int n, bool first = true)
    {
        const std::string own = "\"" + ip(n) + ":";
        std::string text = common(n, Metrics + 1) + "listen: " + own + std::to_string(Frontend) + "\"\nready: " + own + std::to_string(Ready)
            + "\"\ndirectory: " + own + std::to_string(Directory) + "\"\nrelay: " + own + std::to_string(Relay) + "\"\n"
            + "retryRatio: 0.2\nretrySlack: 60\nretryWindow: 10s\nfirstStart: " + (first ? "true" : "false") + "\n" + limits();
        spawn("entry-" + std::to_string(n), "target/roserail-entry", text);
    }
    void startAll()
    {
        for (int n = 1; n <= m_machines; ++n) {
            startKeeper(n);
            startEntry(n);
        }
    }
    void signal(const std::string &process, int number)
    {
        m_record.line("signal %d to %s", number, process.c_str());
        ::kill(m_pids.at(process), number);
        if (number == SIGKILL) {
            ::waitpid(m_pids.at(process), nullptr, 0);
            m_pids.erase(process);
        }
    }
    // Returns whether the process runs.
    bool runs(const std::string &process)
    {
        const auto it = m_pids.find(process);
        return it != m_pids.end() && ::waitpid(it->second, nullptr, WNOHANG) == 0;
    }
    // Sends a configuration as the operator does: to any control host, following redirects.
    bool putConfiguration(const std::string &body)
    {
        const double until = nowMs() + 15000;
        for (int i = 0; nowMs() < until; ++i) {
            std::string address = ip(1 + i % m_machines);
            int port = Control;
            for (int redirect = 0; redirect <= 2; ++redirect) {
                const Answer answer = call(address, port, "PUT", "/api/config", "Content-Type: application/json\r\n", body, 3000);
                if (answer.status == 200) {
                    m_record.line("the operator's configuration is acknowledged by %s", address.c_str());
                    return true;
                }
                const std::string location = headerOf(answer.head, "Location");
                if (answer.status != 307 || location.size() < 8)
                    break;
                const std::string target = location.substr(7, location.find('/', 7) - 7);
                address = target.substr(0, target.find(':'));
                port = std::atoi(target.c_str() + target.find(':') + 1);
            }
            sleepMs(200);
        }
        return false;
    }
    bool waitUntilReady(const std::vector<int> &machines)
    {
        for (const double until = nowMs() + 15000; nowMs() < until; sleepMs(50)) {
            bool all = true;
            for (const int n : machines)
                all = all && call(ip(n), Ready, "GET", "/api/readyz", "", "").status == 200;
            if (all)
                return true;
        }
        return false;
    }

private:
    static constexpr int Control = 8144;
    static constexpr int Frontend = 8149;
    static constexpr int Ready = 8141;
    static constexpr int Directory = 8143;
    static constexpr int Internal = 7380;
    static constexpr int Relay = 7381;
    static constexpr int Metrics = 7390;

    bool portsFree(const std::string &net) const
    {
        for (int n = 1; n <= m_machines; ++n) {
            for (const int port : {Control, Frontend, Ready, Directory, Internal, Relay, Metrics, Metrics + 1}) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = socketAddress(net + std::to_string(n), port);
                const int on = 1;
                ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
                const bool free = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
                ::close(fd);
                if (!free)
                    return false;
            }
        }
        return true;
    }
    std::string common(int n, int metrics) const
    {
        static const char *const zones[] = {"enschede-a", "hengelo-b", "deventer-c"};
        std::string seeds;
        for (int i = 1; i <= std::min(3, m_machines); ++i)
            seeds += (i == 1 ? "\"" : ", \"") + ip(i) + ":" + std::to_string(Control) + "\"";
        return "id: frontend-" + std::to_string(n) + "\nzone: " + zones[(n - 1) % 3] + "\naddress: \"" + ip(n) + "\"\nseeds: [" + seeds
            + "]\ninternalPort: " + std::to_string(Internal) + "\nmetrics: \"" + ip(n) + ":" + std::to_string(metrics) + "\"\ngrace: 8s\n";
    }
    static std::string limits()
    {
        return "memory: 260MB\ndescriptors: 4100\n";
    }
    void spawn(const std::string &name, const std::string &program, const std::string &settings)
    {
        const std::string file = m_folder + "/" + name + ".yaml";
        std::ofstream(file) << settings;
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid < 0)
            cannotRun("no process can be started");
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int log = ::open((m_folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("ROSERAIL_CONFIG", file.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        m_pids[name] = pid;
        m_record.line("start %s", name.c_str());
    }

    Record &m_record;
    int m_disks;
    int m_machines;
    std::string m_folder;
    std::string m_net;
    std::map<std::string, pid_t> m_pids;
};

inline bool trouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
