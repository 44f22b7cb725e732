// Process of simulated engines: one engine, or several that share a weight store.

#include "standin/engine.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-engine", "Simulated model engines for tests.");
    options.add_options()("id", "endpoint id (a prefix if count > 1)", cxxopts::value<std::string>()->default_value("engine"))(
        "pool", "pool", cxxopts::value<std::string>()->default_value("pool"))(
        "port", "first port", cxxopts::value<int>()->default_value("0"))("count", "number of engines",
                                                                         cxxopts::value<int>()->default_value("1"))(
        "per-host", "engines per host", cxxopts::value<int>()->default_value("1"))("routers", "host:port list",
                                                                                   cxxopts::value<std::vector<std::string>>())(
        "gib", "memory of an engine in GiB", cxxopts::value<double>()->default_value("24"))("host-gib", "memory of a host in GiB",
                                                                                            cxxopts::value<double>()->default_value("24"))(
        "ignores-fencing", "accept orders with stale fencing tokens")("load-ms", "duration of a load in ms",
                                                                      cxxopts::value<double>()->default_value("1000"))(
        "token-ms", "time per token in ms", cxxopts::value<double>()->default_value("5"))("prefill-ms", "time to the first token in ms",
                                                                                          cxxopts::value<double>()->default_value("20"))(
        "capacity", "concurrent requests", cxxopts::value<uint32_t>()->default_value("8"))("store-rate", "loads from the store per second",
                                                                                           cxxopts::value<double>()->default_value("4"))(
        "store-slowdown", "factor by which the store is slowed down",
        cxxopts::value<double>()->default_value("1"))("keep-process", "a crash restarts the engine inside the process");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    standin::SharedCluster cluster(arguments["store-rate"].as<double>(), arguments["store-slowdown"].as<double>());
    std::vector<std::unique_ptr<standin::Engine>> engines;
    const int count = arguments["count"].as<int>();
    for (int i = 0; i < count; ++i) {
        standin::EngineOptions engine;
        engine.id = arguments["id"].as<std::string>() + (count > 1 ? fmt::format("-{}", i) : "");
        engine.host = fmt::format("host-{}-{}", arguments["id"].as<std::string>(), i / arguments["per-host"].as<int>());
        engine.zone = fmt::format("zone-{}", i % 3);
        engine.pool = arguments["pool"].as<std::string>();
        engine.port = arguments["port"].as<int>() == 0 ? 0 : arguments["port"].as<int>() + i;
        engine.routers = arguments["routers"].as<std::vector<std::string>>();
        engine.endpointBytes = uint64_t(arguments["gib"].as<double>() * 1073741824.0);
        engine.hostBytes = uint64_t(arguments["host-gib"].as<double>() * 1073741824.0);
        engine.checksFencing = arguments.count("ignores-fencing") == 0;
        engine.loadMs = arguments["load-ms"].as<double>();
        engine.tokenMs = arguments["token-ms"].as<double>();
        engine.prefillMs = arguments["prefill-ms"].as<double>();
        engine.capacity = arguments["capacity"].as<uint32_t>();
        engine.crashExits = arguments.count("keep-process") == 0;
        engines.push_back(std::make_unique<standin::Engine>(engine, cluster));
    }
    int signal = 0;
    sigwait(&signals, &signal);
    std::cout << cluster.stats().dump() << std::endl;
    _exit(0);
}
