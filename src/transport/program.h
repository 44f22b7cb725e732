// What the command lines of the long-running binaries have in common.
#pragma once

#include "state/errors.h"

#include <functional>
#include <string>

namespace roserail
{

struct Program {
    std::string name;
    std::string description;
    // Checks the text of the settings file and returns them with every default filled in.
    std::function<Result<std::string>(const std::string &text, const std::string &file)> check;
    // Runs until SIGTERM or SIGINT, which are blocked, and returns the exit code.
    std::function<int(const std::string &text, const std::string &file)> run;
};

// Reads options and settings and runs the program.
int runProgram(int argc, char **argv, const Program &program);

// Logs an error that ends the process and returns its exit code.
int reportFatal(const Error &error);

// Blocks until SIGTERM or SIGINT. Each SIGHUP until then calls `reload`.
void waitForStopSignal(const std::function<void()> &reload = [] {});

// A number that differs between processes and runs.
uint64_t randomNumber();

} // namespace roserail
