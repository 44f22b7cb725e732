// Command line, settings file and signals of the long-running programs.
#pragma once

#include "state/errors.h"

#include <functional>
#include <string>

namespace roserail
{

struct Program {
    std::string name;
    std::string description;
    // Checks the text of the settings file and returns the settings with all defaults, as YAML.
    std::function<Result<std::string>(const std::string &text, const std::string &file)> check;
    // Runs until SIGTERM or SIGINT, which are blocked, and returns the exit code.
    std::function<int(const std::string &text, const std::string &file)> run;
};

// Parses the command line, reads the settings and runs the program. Returns the exit code.
int runProgram(int argc, char **argv, const Program &program);

// Logs an error that ends the process and returns its exit code.
int reportFatal(const Error &error);

// Blocks until SIGTERM or SIGINT. Each SIGHUP until then calls `reload`.
void waitForStopSignal(const std::function<void()> &reload = [] {});

// Returns a random number, which differs between processes and runs.
uint64_t randomNumber();

} // namespace roserail
