// The operators' document: pools, models, adapters, services, limits on replicas, and permissions. It consists of
// sections, each a YAML mapping owned by one team.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace roserail
{

// Position of a value in the file it was read from; both are counted from 1.
struct Position {
    int line = 0;
    int column = 0;
};

enum class RequestClass { Interactive, Overnight };

struct Pool {
    std::string name;
    Bytes endpointBytes = 0; // memory of one endpoint
    Position position;
};

// A model, or an adapter when `base` is set.
struct Artifact {
    ArtifactId id;
    std::string version;
    ArtifactId base; // empty for a model
    std::string pool; // of an adapter: its base's pool
    Bytes bytes = 0;
    uint32_t minReplicas = 0;
    uint32_t maxReplicas = 1;
    Millis loadTime{4000}; // from the weight store, at the store's full speed
    Position position;
    bool isAdapter() const
    {
        return !base.value().empty();
    }
};

// A service without models: requests are forwarded unchanged.
struct Service {
    std::string name;
    std::string pool;
    bool idempotent = false;
    Position position;
};

struct Caller {
    CallerId id;
    std::string tokenSha256;
    RequestClass requestClass = RequestClass::Interactive;
    std::vector<std::string> uses; // artifacts and services; "*" for all
    Position position;
    bool mayUse(const std::string &name) const;
};

struct Operator {
    std::string name;
    std::string tokenSha256;
    std::vector<std::string> sections; // "*" for all
    Position position;
    bool mayChange(const std::string &section) const;
};

// When an idle replica is unloaded: after a time derived from its past idle periods, after `idleMax`, or only when memory
// is needed.
enum class IdleRule { Adaptive, Fixed, LeastRecentlyUsed };

// Weights of cold starts against idle hardware, and limits on loads and idle time.
struct Policy {
    double coldStartWeight = 1;
    double idleHourWeight = 1;
    double storeLoadsPerSecond = 4;
    Millis idleMax = std::chrono::minutes(30); // longest idle time before a replica is unloaded
    IdleRule idleRule = IdleRule::Adaptive;
};

// One parsed section, before references between sections are checked.
struct SectionContent {
    std::string name;
    std::vector<Pool> pools;
    std::vector<Artifact> artifacts;
    std::vector<Service> services;
    std::vector<Caller> callers;
    std::vector<Operator> operators;
    Policy policy;
    bool hasPolicy = false;
    Position position;
};

// All sections merged, with every reference resolved.
struct Document {
    std::map<std::string, Pool> pools;
    std::map<ArtifactId, Artifact> artifacts;
    std::map<std::string, Service> services;
    std::map<CallerId, Caller> callers;
    std::map<std::string, Operator> operators;
    Policy policy;

    const Artifact *artifact(const ArtifactId &id) const;
    const Caller *callerByToken(const std::string &tokenSha256) const;
    const Operator *operatorByToken(const std::string &tokenSha256) const;
};

// One section of a file that an operator applies.
struct FileSection {
    std::string name;
    uint64_t baseRevision = 0;
    bool remove = false;
    std::string text; // canonical YAML without the revision
    SectionContent content;
};

// Parses a file of sections. Errors are InvalidDocument, with line and column.
Result<std::vector<FileSection>> parseDocumentFile(const std::string &text);

// Parses the stored text of one section.
Result<SectionContent> parseSection(const std::string &name, const std::string &text);

// Merges sections and checks that every name is unique, every reference resolves and every artifact fits its pool.
Result<Document> mergeSections(const std::vector<SectionContent> &sections);

// Checks that no caller in one of the `changed` sections has the token of another caller. Not part of mergeSections(): documents that are
// stored already may have such callers, and replicas must agree on each change.
Result<void> checkTokens(const std::vector<SectionContent> &sections, const std::set<std::string> &changed);

} // namespace roserail
