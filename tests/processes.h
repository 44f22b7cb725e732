// Starts real programs with their output in files, signals them, and ends what it started.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace roserail::test
{

class Processes
{
public:
    // `name` names the folder for settings, data and output.
    explicit Processes(const std::string &name);
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    void signal(const std::string &process, int number);
    void kill(const std::string &process); // SIGKILL, and waits
    int wait(const std::string &process); // exit code; -1 after a signal
    bool running(const std::string &process);
    // True from its start until it was killed or waited for.
    bool started(const std::string &process) const
    {
        return m_pids.count(process) != 0;
    }
    // What a process has written to standard output.
    std::string output(const std::string &process) const;

protected:
    void spawn(const std::string &name, const std::vector<std::string> &command);
    // Writes a file into the folder and returns its path.
    std::string writeFile(const std::string &name, const std::string &text) const;
    const std::filesystem::path &folder() const
    {
        return m_folder;
    }

private:
    std::filesystem::path m_folder;
    std::map<std::string, int> m_pids;
};

// Runs a program to its end with its output in files; `in` is a file, or empty.
int runToEnd(const std::vector<std::string> &command, const std::filesystem::path &out, const std::filesystem::path &err,
             const std::string &in);

std::string readWholeFile(const std::filesystem::path &path);

// Waits until the condition holds; false after the time.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds time = std::chrono::milliseconds(15000));

} // namespace roserail::test
