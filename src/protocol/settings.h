// Settings of roserail-control and roserail-router, read from YAML and checked, and helpers for settings in general.
// Unknown keys and invalid values are errors.
#pragma once

#include "state/address.h"
#include "state/errors.h"
#include "state/yamlreader.h"

#include <string>
#include <vector>

namespace roserail
{

struct PeerSettings {
    uint64_t id = 0;
    std::string peerAddress; // host:port of the gRPC service
    std::string operatorAddress; // host:port of the HTTP service
};

// What a process may use of its host.
struct ProcessLimits {
    Bytes memory = 0;
    uint32_t descriptors = 0;
};

struct ControlSettings {
    uint64_t id = 0;
    std::string zone;
    std::string dataFolder;
    std::string peerAddress;
    std::string operatorAddress;
    std::string rootTokenSha256; // of the token that permits changes to every section
    std::vector<PeerSettings> replicas; // all initial replicas, including this one
    uint64_t snapshotEvery = 0; // log entries between snapshots
    ProcessLimits limits;
};

struct RouterSettings {
    std::string id;
    std::string zone;
    std::string listen; // host:port
    std::string address; // host:port advertised to callers; defaults to `listen`
    std::vector<std::string> control; // peer addresses of control replicas
    std::string announceTokenSha256; // empty if endpoints need no token
    Millis grace{0}; // from a stop signal to the exit of the process
    ProcessLimits limits;
};

Result<ControlSettings> parseControlSettings(const std::string &text, const std::string &file);
Result<RouterSettings> parseRouterSettings(const std::string &text, const std::string &file);

// Returns the settings with all defaults filled in, as YAML.
std::string toYaml(const ControlSettings &settings);
std::string toYaml(const RouterSettings &settings);

// Reads the optional keys 'memory' and 'descriptors'.
ProcessLimits readLimits(const YAML::Node &root);
std::string toYaml(const ProcessLimits &limits);

// Reads a required "host:port" value; `what` names the mapping in the error message.
std::string readAddress(const YAML::Node &parent, const char *key, const char *what);

Result<std::string> readTextFile(const std::string &path);

} // namespace roserail
