#include "transport/program.h"

#include "protocol/log.h"
#include "protocol/settings.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace roserail
{

namespace
{

constexpr int MmapThresholdBytes = 128 << 10; // the allocator's first value, which it raises unless it is set

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

int runWithSettings(const Program &program, const std::string &path, bool checkOnly)
{
    const Result<std::string> text = readTextFile(path);
    if (text.has_error())
        return reportFatal(text.error());
    const Result<std::string> checkedSettings = program.check(text.value(), path);
    if (checkedSettings.has_error())
        return reportFatal(checkedSettings.error());
    if (checkOnly) {
        std::cout << checkedSettings.value();
        return 0;
    }
    return program.run(text.value(), path);
}

} // namespace

int reportFatal(const Error &error)
{
    logEvent("fatal", {{"kind", traits(error.kind).name}, {"error", error.message}});
    return traits(error.kind).exitCode;
}

void waitForStopSignal(const std::function<void()> &reload)
{
    const sigset_t signals = stopSignals();
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&signals, &signal);
        logEvent(signal == SIGHUP ? "reload" : "stopping", {{"signal", signal}});
        if (signal == SIGHUP)
            reload();
    }
}

uint64_t randomNumber()
{
    std::random_device device;
    return (uint64_t(device()) << 32) | device();
}

int runProgram(int argc, char **argv, const Program &program)
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    setLogProcess(program.name);
#ifdef __GLIBC__
    ::mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes); // large buffers return to the system when they are freed
#endif
    cxxopts::Options options(program.name, program.description);
    options.add_options()("settings", "YAML file with settings", cxxopts::value<std::string>())(
        "check", "check the settings, print them with defaults and exit")("version", "print the version")("h,help", "print this help");
    options.parse_positional({"settings"});
    options.positional_help("SETTINGS");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << program.name << " " ROSERAIL_VERSION "\n";
            return 0;
        }
        const char *fromEnvironment = std::getenv("ROSERAIL_CONFIG");
        const std::string path = arguments.count("settings") ? arguments["settings"].as<std::string>()
            : fromEnvironment                                ? fromEnvironment
                                                             : "";
        if (path.empty()) {
            std::cerr << "no settings file; pass it as an argument or in ROSERAIL_CONFIG, see --help\n";
            return traits(ErrorKind::BadRequest).exitCode;
        }
        return runWithSettings(program, path, arguments.count("check") != 0);
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << ex.what() << "; see --help\n";
        return traits(ErrorKind::BadRequest).exitCode;
    }
}

} // namespace roserail
