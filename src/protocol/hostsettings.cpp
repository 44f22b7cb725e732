#include "protocol/hostsettings.h"

#include "state/yamlreader.h"

#include <fmt/format.h>

namespace roserail
{

using namespace yaml;

namespace
{

constexpr Millis MinQuotaWindow{100};
constexpr double MinQuotaOvershoot = 0.01;
constexpr double MaxQuotaSlack = 1e12;

constexpr std::pair<LogDetail, std::string_view> LogDetailNames[] = {
    {LogDetail::Events, "events"},
    {LogDetail::Outcomes, "outcomes"},
    {LogDetail::Decisions, "decisions"},
};

LogDetail readLogDetail(const YAML::Node &root)
{
    const std::string name = root["log"] ? readName(root, "log", "the settings") : "decisions";
    for (const std::pair<LogDetail, std::string_view> &it : LogDetailNames) {
        if (it.second == name)
            return it.first;
    }
    fail(root["log"], fmt::format("'log' is '{}'; it must be events, outcomes or decisions", name));
}

std::string_view logDetailName(LogDetail detail)
{
    return LogDetailNames[size_t(detail)].second;
}

// Returns an address, or an empty string if the key is absent or its value empty.
std::string readOptionalAddress(const YAML::Node &root, const char *key)
{
    const bool empty = readValue<std::string>(root, key, "", "an address, or empty").empty();
    return empty ? "" : readAddress(root, key, "the settings");
}

QuotaBounds readQuotaBounds(const YAML::Node &root)
{
    QuotaBounds quota;
    quota.window = readDuration(root, "quotaWindow", quota.window);
    quota.overshoot = readValue<double>(root, "quotaOvershoot", quota.overshoot, "a share of the limit");
    quota.slack = readValue<double>(root, "quotaSlack", quota.slack, "a number of units");
    if (quota.window < MinQuotaWindow)
        fail(root["quotaWindow"], fmt::format("'quotaWindow' must be at least {}ms; write a time such as 8s", MinQuotaWindow.count()));
    // Without any overshoot, no router could use what it was granted.
    if (!(quota.overshoot >= MinQuotaOvershoot && quota.overshoot <= 1))
        fail(root["quotaOvershoot"], fmt::format("'quotaOvershoot' must be from {} to 1; write 0.1 for a tenth", MinQuotaOvershoot));
    if (!(quota.slack >= 0 && quota.slack <= MaxQuotaSlack))
        fail(root["quotaSlack"], fmt::format("'quotaSlack' must be from 0 to {:.0f}", MaxQuotaSlack));
    return quota;
}

HostSettings readHost(const YAML::Node &root)
{
    HostSettings host;
    host.id = readName(root, "id", "the settings");
    host.zone = readName(root, "zone", "the settings");
    host.address = readName(root, "address", "the settings");
    host.seeds = readNames(root, "seeds");
    if (host.seeds.empty())
        fail(root, "the settings need 'seeds': a list of operator addresses of control hosts");
    for (const std::string &it : host.seeds) {
        if (parseHostPort(it).has_error())
            fail(root["seeds"], fmt::format("'{}' in 'seeds' must be host:port", it));
    }
    const uint32_t port = readValue<uint32_t>(root, "internalPort", 0, "a port");
    if (port == 0 || port > 65535)
        fail(root, "'internalPort' must be a port from 1 to 65535");
    host.internalPort = uint16_t(port);
    host.metrics = readOptionalAddress(root, "metrics");
    host.grace = readDuration(root, "grace", Millis(8000));
    host.log = readLogDetail(root);
    host.quota = readQuotaBounds(root);
    host.limits = readLimits(root);
    return host;
}

EntrySettings readEntry(const YAML::Node &root)
{
    checkKeys(root, "the settings",
              {"id",          "zone",        "address",      "seeds",       "internalPort",   "metrics",   "grace",      "log",
               "memory",      "descriptors", "listen",       "ready",       "directory",      "relay",     "retryRatio", "retrySlack",
               "retryWindow", "firstStart",  "keysValidFor", "quotaWindow", "quotaOvershoot", "quotaSlack"});
    EntrySettings settings;
    settings.host = readHost(root);
    settings.listen = readAddress(root, "listen", "the settings");
    settings.ready = readAddress(root, "ready", "the settings");
    settings.directory = readAddress(root, "directory", "the settings");
    settings.relay = readOptionalAddress(root, "relay");
    settings.retryRatio = readValue<double>(root, "retryRatio", 0.2, "a share of requests");
    settings.retrySlack = readValue<double>(root, "retrySlack", 20, "a number of requests");
    settings.firstStart = readValue<bool>(root, "firstStart", false, "true or false");
    settings.retryWindow = readDuration(root, "retryWindow", Millis(10000));
    if (root["keysValidFor"])
        settings.keysValidFor = readDuration(root, "keysValidFor", Millis(0));
    return settings;
}

KeeperSettings readKeeper(const YAML::Node &root)
{
    checkKeys(root, "the settings",
              {"id", "zone", "address", "seeds", "internalPort", "metrics", "grace", "log", "memory", "descriptors", "listen", "dataFolder",
               "mayFound", "lossesToBear", "orderLease", "quotaWindow", "quotaOvershoot", "quotaSlack"});
    KeeperSettings settings;
    settings.host = readHost(root);
    settings.listen = readAddress(root, "listen", "the settings");
    settings.dataFolder = root["dataFolder"] ? readName(root, "dataFolder", "the settings") : "";
    settings.mayFound = readValue<bool>(root, "mayFound", false, "true or false");
    settings.lossesToBear = uint32_t(readCount(root, "lossesToBear", 1));
    settings.orderLease = readDuration(root, "orderLease", Millis(3000));
    return settings;
}

std::string hostToYaml(const HostSettings &host)
{
    return fmt::format("id: {}\nzone: {}\naddress: {}\nseeds: [\"{}\"]\ninternalPort: {}\nmetrics: \"{}\"\ngrace: {}ms\nlog: {}\n", host.id,
                       host.zone, host.address, fmt::join(host.seeds, "\", \""), host.internalPort, host.metrics, host.grace.count(),
                       logDetailName(host.log))
        + fmt::format("quotaWindow: {}ms\nquotaOvershoot: {}\nquotaSlack: {}\n", host.quota.window.count(), host.quota.overshoot,
                      host.quota.slack)
        + toYaml(host.limits);
}

} // namespace

Result<EntrySettings> parseEntrySettings(const std::string &text, const std::string &file)
{
    return readFile(text, file, ErrorKind::BadSettings, readEntry);
}

Result<KeeperSettings> parseKeeperSettings(const std::string &text, const std::string &file)
{
    return readFile(text, file, ErrorKind::BadSettings, readKeeper);
}

std::string toYaml(const EntrySettings &settings)
{
    return hostToYaml(settings.host)
        + fmt::format("listen: \"{}\"\nready: \"{}\"\ndirectory: \"{}\"\nrelay: \"{}\"\nretryRatio: {}\nretrySlack: {}\nretryWindow: "
                      "{}ms\nfirstStart: {}\n",
                      settings.listen, settings.ready, settings.directory, settings.relay, settings.retryRatio, settings.retrySlack,
                      settings.retryWindow.count(), settings.firstStart)
        + (settings.keysValidFor ? fmt::format("keysValidFor: {}ms\n", settings.keysValidFor->count()) : "");
}

std::string toYaml(const KeeperSettings &settings)
{
    return hostToYaml(settings.host)
        + fmt::format("listen: \"{}\"\ndataFolder: \"{}\"\nmayFound: {}\nlossesToBear: {}\norderLease: {}ms\n", settings.listen,
                      settings.dataFolder, settings.mayFound, settings.lossesToBear, settings.orderLease.count());
}

std::vector<std::string> internalSeeds(const HostSettings &settings)
{
    std::vector<std::string> result;
    for (const std::string &it : settings.seeds)
        result.push_back(fmt::format("{}:{}", parseHostPort(it).value().host, settings.internalPort));
    return result;
}

} // namespace roserail
