// Settings of roserail-entry and roserail-keeper, which serve general HTTP routes and discover each other through seeds.
#pragma once

#include "coordination/quotashare.h"
#include "protocol/log.h"
#include "protocol/settings.h"
#include "state/errors.h"
#include "state/types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace roserail
{

// Settings common to both processes.
struct HostSettings {
    std::string id; // unique among all hosts
    std::string zone;
    std::string address; // IP address of the host
    std::vector<std::string> seeds; // operator addresses of some control hosts, host:port
    uint16_t internalPort = 0; // of the control hosts' internal protocol, the same on all of them
    std::string metrics; // host:port; empty if metrics are not served
    Millis grace{0}; // from a stop signal to the exit of the process
    LogDetail log = LogDetail::Decisions; // for requests
    QuotaBounds quota; // of the use of client accounts, the same on all hosts
    ProcessLimits limits;
};

struct EntrySettings {
    HostSettings host;
    std::string listen; // host:port for callers
    std::string ready; // host:port for readiness checks
    std::string directory; // host:port for callers that resolve addresses
    std::string relay; // host:port for requests that other routers pass on; empty: none are passed on, from here or to here
    double retryRatio = 0; // retries allowed in a window, as a share of requests
    double retrySlack = 0; // additional retries allowed, over all routers
    Millis retryWindow{0};
    // For which API keys are accepted after the configuration was last known to be the newest; none: without an end.
    std::optional<Millis> keysValidFor;
    bool firstStart = false; // of the whole system: no earlier process of this host can have spent retries
};

struct KeeperSettings {
    HostSettings host;
    std::string listen; // host:port for operators and endpoints
    std::string dataFolder; // empty: the host has no disk and redirects requests to one that has
    bool mayFound = false; // allows the host to create the cluster when the system first starts
    uint32_t lossesToBear = 0; // hosts with a disk whose simultaneous loss is tolerated
    Millis orderLease{0}; // after an order, no other host sends orders for this time
};

Result<EntrySettings> parseEntrySettings(const std::string &text, const std::string &file);
Result<KeeperSettings> parseKeeperSettings(const std::string &text, const std::string &file);

// Reloads the settings file after a signal. If it is unreadable or invalid, logs the error and keeps the current settings.
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

// Returns the settings with all defaults filled in, as YAML.
std::string toYaml(const EntrySettings &settings);
std::string toYaml(const KeeperSettings &settings);

// Returns the addresses of the control hosts' internal protocol, derived from the seeds.
std::vector<std::string> internalSeeds(const HostSettings &settings);

} // namespace roserail
