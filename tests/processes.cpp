#include "processes.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <sys/file.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace roserail::test
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{20};
constexpr const char *PortLock = "/tmp/roserail-system-tests.lock"; // one for the machine, as the ports are

std::mutex g_mutex;
int g_users = 0; // objects of this test
int g_lock = -1;

// The tests use fixed ports: waits until no other test on this machine has processes, for example in another checkout. The lock ends with
// the test, also if it is killed.
void acquirePorts()
{
    const std::lock_guard lock(g_mutex);
    if (g_users == 0) {
        g_lock = ::open(PortLock, O_RDONLY | O_CLOEXEC);
        if (g_lock < 0)
            g_lock = ::open(PortLock, O_RDONLY | O_CREAT | O_CLOEXEC, 0644);
        if (g_lock < 0 || ::flock(g_lock, LOCK_EX) != 0)
            throw std::runtime_error(fmt::format("cannot lock {}; make it readable", PortLock));
    }
    ++g_users;
}

void releasePorts()
{
    const std::lock_guard lock(g_mutex);
    if (--g_users == 0)
        ::close(g_lock);
}

// Starts a program with its input and output redirected to files and returns its process id.
int start(const std::vector<std::string> &command, const std::filesystem::path &out, const std::filesystem::path &err,
          const std::string &in)
{
    std::vector<char *> arguments;
    for (const std::string &it : command)
        arguments.push_back(const_cast<char *>(it.c_str()));
    arguments.push_back(nullptr);
    const int pid = ::fork();
    if (pid != 0)
        return pid;
    ::dup2(::open(in.empty() ? "/dev/null" : in.c_str(), O_RDONLY), 0);
    ::dup2(::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), 1);
    ::dup2(::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), 2);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

} // namespace

int runToEnd(const std::vector<std::string> &command, const std::filesystem::path &out, const std::filesystem::path &err,
             const std::string &in)
{
    int status = 0;
    ::waitpid(start(command, out, err, in), &status, 0);
    return WEXITSTATUS(status);
}

std::string readWholeFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
}

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds time)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

Processes::Processes(const std::string &name)
    : m_folder(std::filesystem::temp_directory_path() / fmt::format("roserail-{}-{}", name, ::getpid()))
{
    acquirePorts();
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
}

Processes::~Processes()
{
    for (const std::pair<const std::string, int> &it : m_pids) {
        ::kill(it.second, SIGCONT);
        ::kill(it.second, SIGKILL);
        ::waitpid(it.second, nullptr, 0);
    }
    if (std::getenv("ROSERAIL_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    releasePorts();
}

void Processes::spawn(const std::string &name, const std::vector<std::string> &command)
{
    m_pids[name] = start(command, m_folder / (name + ".out"), m_folder / (name + ".log"), "");
}

std::string Processes::writeFile(const std::string &name, const std::string &text) const
{
    const std::filesystem::path path = m_folder / name;
    std::ofstream(path) << text;
    return path.string();
}

void Processes::signal(const std::string &process, int number)
{
    ::kill(m_pids.at(process), number);
}

void Processes::kill(const std::string &process)
{
    const int pid = m_pids.at(process);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    m_pids.erase(process);
}

int Processes::wait(const std::string &process)
{
    int status = 0;
    ::waitpid(m_pids.at(process), &status, 0);
    m_pids.erase(process);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

siginfo_t Processes::waitWithoutReaping(const std::string &process)
{
    siginfo_t info{};
    ::waitid(P_PID, id_t(m_pids.at(process)), &info, WEXITED | WNOWAIT);
    return info;
}

bool Processes::hasEnded(const std::string &process)
{
    siginfo_t info{};
    ::waitid(P_PID, id_t(m_pids.at(process)), &info, WEXITED | WNOWAIT | WNOHANG);
    return info.si_pid != 0;
}

bool Processes::running(const std::string &process)
{
    return ::waitpid(m_pids.at(process), nullptr, WNOHANG) == 0;
}

std::string Processes::allOutput() const
{
    std::string text;
    for (const std::filesystem::directory_entry &it : std::filesystem::directory_iterator(m_folder)) {
        if (it.path().extension() == ".out" || it.path().extension() == ".log")
            text += readWholeFile(it.path());
    }
    return text;
}

std::string Processes::output(const std::string &process) const
{
    return readWholeFile(m_folder / (process + ".out"));
}

} // namespace roserail::test
