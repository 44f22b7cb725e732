// Starts programs with their output redirected to files, sends them signals, and kills those still running at the end.
#pragma once

#include <chrono>
#include <csignal>
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
    // `name` is part of the name of the temporary folder for settings, data and output.
    explicit Processes(const std::string &name);
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    void signal(const std::string &process, int number);
    void kill(const std::string &process); // sends SIGKILL and waits until the process has ended
    int wait(const std::string &process); // returns the exit code; -1 if a signal ended the process
    // Waits until the process has ended and returns how; it can still be signalled until wait() or kill().
    siginfo_t waitWithoutReaping(const std::string &process);
    // Returns whether the process has ended; its exit code is still there for wait().
    bool hasEnded(const std::string &process);
    bool running(const std::string &process);
    // Returns whether the process was started and has not been killed or waited for since.
    bool started(const std::string &process) const
    {
        return m_pids.count(process) != 0;
    }
    int pid(const std::string &process) const
    {
        return m_pids.at(process);
    }
    // Returns what a process has written to standard output.
    std::string output(const std::string &process) const;
    // Returns what all processes have written to standard output and standard error.
    std::string allOutput() const;

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

// Runs a program until it ends, with its output in files, and returns its exit code. Standard input is the file `in`, or
// /dev/null if that is empty.
int runToEnd(const std::vector<std::string> &command, const std::filesystem::path &out, const std::filesystem::path &err,
             const std::string &in);

std::string readWholeFile(const std::filesystem::path &path);

// Polls until the condition holds; returns false if it doesn't within the given time.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds time = std::chrono::milliseconds(15000));

} // namespace roserail::test
