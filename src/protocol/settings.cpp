#include "protocol/settings.h"

#include "state/tunables.h"
#include "state/yamlreader.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace roserail
{

using namespace yaml;

namespace
{

// Of roserail-control without a setting: a quarter of it must hold a snapshot, which peers send in one message.
constexpr Bytes DefaultControlMemory = 2'048'000'000;

std::string readOptionalHash(const YAML::Node &parent, const char *key)
{
    const std::string hash = readValue<std::string>(parent, key, "", "64 lower-case hex digits");
    if (!hash.empty() && hash.size() != 64)
        fail(parent[key], fmt::format("'{}' must be 64 lower-case hex digits; create it with 'roserailctl token'", key));
    return hash;
}

PeerSettings readPeer(const YAML::Node &node)
{
    checkKeys(node, "a replica", {"id", "peerAddress", "operatorAddress"});
    return PeerSettings{readCount(node, "id", 0), readAddress(node, "peerAddress", "a replica"),
                        readAddress(node, "operatorAddress", "a replica")};
}

ControlSettings readControl(const YAML::Node &root)
{
    checkKeys(root, "the settings", {"id", "zone", "dataFolder", "rootTokenSha256", "replicas", "snapshotEvery", "memory", "descriptors"});
    ControlSettings settings;
    settings.id = readCount(root, "id", 0);
    settings.zone = readName(root, "zone", "the settings");
    settings.dataFolder = readName(root, "dataFolder", "the settings");
    settings.rootTokenSha256 = readOptionalHash(root, "rootTokenSha256");
    settings.snapshotEvery = readValue<uint64_t>(root, "snapshotEvery", tunables::SnapshotEveryEntries, "a number of log entries");
    const YAML::Node replicas = root["replicas"];
    if (!replicas || !replicas.IsSequence())
        fail(root, "the settings need 'replicas': a list of id, peerAddress and operatorAddress");
    for (const YAML::Node &it : replicas) {
        const PeerSettings peer = readPeer(it);
        settings.replicas.push_back(peer);
        if (peer.id != settings.id)
            continue;
        settings.peerAddress = peer.peerAddress;
        settings.operatorAddress = peer.operatorAddress;
    }
    if (settings.id == 0 || settings.peerAddress.empty())
        fail(root, "'id' must be above 0 and listed in 'replicas'");
    if (settings.snapshotEvery == 0)
        fail(root["snapshotEvery"], "'snapshotEvery' must be above 0");
    settings.limits = readLimits(root);
    if (!root["memory"])
        settings.limits.memory = DefaultControlMemory;
    return settings;
}

RouterSettings readRouter(const YAML::Node &root)
{
    checkKeys(root, "the settings",
              {"id", "zone", "listen", "address", "control", "announceTokenSha256", "grace", "memory", "descriptors"});
    RouterSettings settings;
    settings.id = readName(root, "id", "the settings");
    settings.zone = readName(root, "zone", "the settings");
    settings.listen = readAddress(root, "listen", "the settings");
    settings.address = root["address"] ? readAddress(root, "address", "the settings") : settings.listen;
    settings.control = readNames(root, "control");
    settings.limits = readLimits(root);
    settings.announceTokenSha256 = readOptionalHash(root, "announceTokenSha256");
    settings.grace = readDuration(root, "grace", tunables::RouterGrace);
    if (settings.grace < tunables::MinRouterGrace)
        fail(root["grace"],
             fmt::format("'grace' must be at least {} ms, in which no caller can still have an address list with this router",
                         tunables::MinRouterGrace.count()));
    if (settings.control.empty())
        fail(root, "the settings need 'control': a list of the control replicas' peer addresses");
    for (const std::string &it : settings.control) {
        if (parseHostPort(it).has_error())
            fail(root["control"], fmt::format("'{}' in 'control' must be host:port", it));
    }
    return settings;
}

} // namespace

std::string readAddress(const YAML::Node &parent, const char *key, const char *what)
{
    const std::string address = readName(parent, key, what);
    if (parseHostPort(address).has_error())
        fail(parent[key], fmt::format("'{}' must be host:port with a port from 1 to 65535", key));
    return address;
}

ProcessLimits readLimits(const YAML::Node &root)
{
    ProcessLimits limits;
    limits.memory = root["memory"] ? readBytes(root, "memory") : tunables::DefaultMemory;
    if (limits.memory < tunables::MinMemory)
        fail(root["memory"],
             fmt::format("'memory' must be at least {} bytes; it is what the process may use of its host", tunables::MinMemory));
    const double descriptors = readValue<double>(root, "descriptors", tunables::DefaultDescriptors, "a number of open files and sockets");
    if (!(descriptors >= tunables::MinDescriptors && descriptors <= tunables::MaxDescriptors))
        fail(root["descriptors"],
             fmt::format("'descriptors' must be a number from {} to {}", tunables::MinDescriptors, tunables::MaxDescriptors));
    limits.descriptors = uint32_t(descriptors);
    return limits;
}

std::string toYaml(const ProcessLimits &limits)
{
    return fmt::format("memory: {}B\ndescriptors: {}\n", limits.memory, limits.descriptors);
}

Result<ControlSettings> parseControlSettings(const std::string &text, const std::string &file)
{
    return readFile(text, file, ErrorKind::BadSettings, readControl);
}

Result<RouterSettings> parseRouterSettings(const std::string &text, const std::string &file)
{
    return readFile(text, file, ErrorKind::BadSettings, readRouter);
}

std::string toYaml(const ControlSettings &settings)
{
    std::string out = fmt::format("id: {}\nzone: {}\ndataFolder: {}\nrootTokenSha256: \"{}\"\nsnapshotEvery: {}\nreplicas:\n", settings.id,
                                  settings.zone, settings.dataFolder, settings.rootTokenSha256, settings.snapshotEvery);
    for (const PeerSettings &it : settings.replicas)
        out += fmt::format("  - {{id: {}, peerAddress: \"{}\", operatorAddress: \"{}\"}}\n", it.id, it.peerAddress, it.operatorAddress);
    return out + toYaml(settings.limits);
}

std::string toYaml(const RouterSettings &settings)
{
    return fmt::format("id: {}\nzone: {}\nlisten: \"{}\"\naddress: \"{}\"\ncontrol: [\"{}\"]\nannounceTokenSha256: \"{}\"\ngrace: {}ms\n",
                       settings.id, settings.zone, settings.listen, settings.address, fmt::join(settings.control, "\", \""),
                       settings.announceTokenSha256, settings.grace.count())
        + toYaml(settings.limits);
}

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return Error{ErrorKind::NotFound, fmt::format("cannot read '{}'; check the path and its permissions", path)};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace roserail
