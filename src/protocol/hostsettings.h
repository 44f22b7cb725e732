// Settings of the processes that serve general HTTP routes and find each other by seeds.
#pragma once

#include "protocol/log.h"
#include "protocol/settings.h"
#include "state/errors.h"
#include "state/types.h"

#include <functional>
#include <string>
#include <vector>

namespace roserail
{

// What both kinds of process need.
struct HostSettings {
    std::string id; // unique among hosts
    std::string zone;
    std::string address; // IP address of the host
    std::vector<std::string> seeds; // operator addresses of some control hosts, host:port
    uint16_t internalPort = 0; // of the control hosts' own protocol, the same on each of them
    std::string metrics; // host:port; empty: not served
    Millis grace{0}; // from a stop signal to the end of the process
    LogDetail log = LogDetail::Decisions; // of requests
};

struct EntrySettings {
    HostSettings host;
    std::string listen; // for callers
    std::string ready; // for readiness checks
    std::string directory; // for callers that ask for addresses
    double retryRatio = 0; // repeats allowed in a window, as a share of requests
    double retrySlack = 0; // repeats allowed besides, over all routers
    Millis retryWindow{0};
};

struct KeeperSettings {
    HostSettings host;
    std::string listen; // for operators and endpoints
    std::string dataFolder; // empty: the host has no disk, and passes calls on
    bool mayFound = false; // the whole system starts for the first time
    uint32_t lossesToBear = 0; // hosts with a disk that may be lost at the same time
    Millis orderLease{0}; // no other host orders within this time of the last order
};

Result<EntrySettings> parseEntrySettings(const std::string &text, const std::string &file);
Result<KeeperSettings> parseKeeperSettings(const std::string &text, const std::string &file);

// Reads the settings file again after a signal. A file that can't be read or is wrong changes nothing, and is logged.
template <typename Settings>
void reloadSettings(const std::string &path, Result<Settings> (*parse)(const std::string &, const std::string &),
                    const std::function<void(const Settings &)> &apply)
{
    const Result<std::string> text = readTextFile(path);
    const Result<Settings> settings = text.has_error() ? Result<Settings>(text.error()) : parse(text.value(), path);
    if (settings.has_error())
        logEvent("settings_kept", {{"error", settings.error().message}});
    else
        apply(settings.value());
}

// The settings with every default filled in, as YAML.
std::string toYaml(const EntrySettings &settings);
std::string toYaml(const KeeperSettings &settings);

// Addresses of the control hosts' own protocol that follow from the seeds.
std::vector<std::string> internalSeeds(const HostSettings &settings);

} // namespace roserail
