#include "state/document.h"

#include "state/tunables.h"
#include "state/yamlreader.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace roserail
{

using namespace yaml;

namespace
{

Error invalid(const std::string &section, Position at, const std::string &message)
{
    const std::string where = section.empty() ? "" : fmt::format("section '{}': ", section);
    return Error{ErrorKind::InvalidDocument,
                 fmt::format("line {}, column {}: {}{}; nothing was changed", at.line, at.column, where, message)};
}

std::string readTokenHash(const YAML::Node &node, const char *what)
{
    const std::string hash = readName(node, "tokenSha256", what);
    const bool hex
        = hash.size() == 64 && std::all_of(hash.begin(), hash.end(), [](unsigned char c) { return std::isxdigit(c) && !std::isupper(c); });
    if (!hex)
        fail(node["tokenSha256"], "'tokenSha256' must be 64 lower-case hex digits; create it with 'roserailctl token'");
    return hash;
}

Pool readPool(const YAML::Node &node)
{
    checkKeys(node, "a pool", {"name", "endpointBytes"});
    return Pool{readName(node, "name", "a pool"), node["endpointBytes"] ? readBytes(node, "endpointBytes") : 0, positionOf(node)};
}

void readReplicas(const YAML::Node &node, Artifact &artifact)
{
    const YAML::Node replicas = node["replicas"];
    if (!replicas)
        return;
    checkKeys(replicas, "replicas", {"min", "max"});
    artifact.minReplicas = readCount(replicas, "min", 0);
    artifact.maxReplicas = readCount(replicas, "max", 1);
    if (artifact.minReplicas > artifact.maxReplicas)
        fail(replicas, "'min' is above 'max'; lower it");
}

Artifact readModel(const YAML::Node &node)
{
    checkKeys(node, "a model", {"name", "version", "pool", "bytes", "replicas", "loadTime"});
    Artifact model;
    model.id = ArtifactId(readName(node, "name", "a model"));
    model.version = readName(node, "version", "a model");
    model.pool = readName(node, "pool", "a model");
    model.bytes = readBytes(node, "bytes");
    model.loadTime = readDuration(node, "loadTime", model.loadTime);
    model.position = positionOf(node);
    readReplicas(node, model);
    return model;
}

Artifact readAdapter(const YAML::Node &node)
{
    checkKeys(node, "an adapter", {"name", "version", "base", "bytes", "replicas"});
    Artifact adapter;
    adapter.id = ArtifactId(readName(node, "name", "an adapter"));
    adapter.version = readName(node, "version", "an adapter");
    adapter.base = ArtifactId(readName(node, "base", "an adapter"));
    adapter.bytes = readBytes(node, "bytes");
    adapter.loadTime = tunables::AdapterLoadTime;
    adapter.position = positionOf(node);
    readReplicas(node, adapter);
    return adapter;
}

Service readService(const YAML::Node &node)
{
    checkKeys(node, "a service", {"name", "pool", "idempotent"});
    return Service{readName(node, "name", "a service"), readName(node, "pool", "a service"),
                   readValue<bool>(node, "idempotent", false, "true or false"), positionOf(node)};
}

Caller readCaller(const YAML::Node &node)
{
    checkKeys(node, "a caller", {"name", "tokenSha256", "class", "use"});
    Caller caller;
    caller.id = CallerId(readName(node, "name", "a caller"));
    caller.tokenSha256 = readTokenHash(node, "a caller");
    const std::string requestClass = readValue<std::string>(node, "class", "interactive", "interactive or overnight");
    if (requestClass != "interactive" && requestClass != "overnight")
        fail(node["class"], "'class' must be interactive or overnight");
    caller.requestClass = requestClass == "overnight" ? RequestClass::Overnight : RequestClass::Interactive;
    caller.uses = readNames(node, "use");
    caller.position = positionOf(node);
    return caller;
}

Operator readOperator(const YAML::Node &node)
{
    checkKeys(node, "an operator", {"name", "tokenSha256", "sections"});
    return Operator{readName(node, "name", "an operator"), readTokenHash(node, "an operator"), readNames(node, "sections"),
                    positionOf(node)};
}

Policy readPolicy(const YAML::Node &node)
{
    checkKeys(node, "policy", {"coldStartWeight", "idleHourWeight", "storeLoadsPerSecond", "idleMax", "idleRule"});
    Policy policy;
    policy.coldStartWeight = readWeight(node, "coldStartWeight", policy.coldStartWeight);
    policy.idleHourWeight = readWeight(node, "idleHourWeight", policy.idleHourWeight);
    policy.storeLoadsPerSecond = readWeight(node, "storeLoadsPerSecond", policy.storeLoadsPerSecond);
    policy.idleMax = readDuration(node, "idleMax", policy.idleMax);
    const std::string rule = readValue<std::string>(node, "idleRule", "adaptive", "adaptive, fixed or lru");
    if (rule != "adaptive" && rule != "fixed" && rule != "lru")
        fail(node["idleRule"], "'idleRule' must be adaptive, fixed or lru");
    policy.idleRule = rule == "fixed" ? IdleRule::Fixed : (rule == "lru" ? IdleRule::LeastRecentlyUsed : IdleRule::Adaptive);
    return policy;
}

template <typename Item>
void readList(const YAML::Node &parent, const char *key, Item (*read)(const YAML::Node &), std::vector<Item> &out)
{
    const YAML::Node node = parent[key];
    if (!node || node.IsNull())
        return;
    if (!node.IsSequence())
        fail(node, fmt::format("'{}' must be a list; begin each item with '- '", key));
    for (const YAML::Node &it : node)
        out.push_back(read(it));
}

SectionContent readSection(const std::string &name, const YAML::Node &node)
{
    checkKeys(node, "a section", {"revision", "remove", "pools", "models", "adapters", "services", "callers", "operators", "policy"});
    SectionContent content;
    content.name = name;
    content.position = positionOf(node);
    readList(node, "pools", readPool, content.pools);
    readList(node, "models", readModel, content.artifacts);
    readList(node, "adapters", readAdapter, content.artifacts);
    readList(node, "services", readService, content.services);
    readList(node, "callers", readCaller, content.callers);
    readList(node, "operators", readOperator, content.operators);
    content.hasPolicy = bool(node["policy"]);
    if (content.hasPolicy)
        content.policy = readPolicy(node["policy"]);
    return content;
}

FileSection readFileSection(const std::string &name, const YAML::Node &node)
{
    FileSection section;
    section.name = name;
    if (!node.IsMap())
        fail(node, fmt::format("section '{}' must be a mapping; write 'key: value' lines", name));
    section.baseRevision = readValue<uint64_t>(node, "revision", 0, "the revision that 'roserailctl get' printed, 0 for a new section");
    section.remove = readValue<bool>(node, "remove", false, "true or false");
    section.content = readSection(name, node);
    YAML::Node body(YAML::NodeType::Map);
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        const std::string key = it->first.as<std::string>();
        if (key != "revision" && key != "remove")
            body[key] = it->second;
    }
    section.text = YAML::Dump(body);
    return section;
}

std::vector<FileSection> readFile(const std::string &text)
{
    const YAML::Node root = YAML::Load(text);
    checkKeys(root, "the document", {"sections"});
    if (!root["sections"] || !root["sections"].IsMap())
        fail(root, "the document needs 'sections:' with a mapping of section names");
    std::vector<FileSection> sections;
    std::set<std::string> seen;
    for (YAML::const_iterator it = root["sections"].begin(); it != root["sections"].end(); ++it) {
        const std::string name = it->first.as<std::string>("");
        if (name.empty() || name.size() > MaxNameLength)
            fail(it->first, "a section needs a name of 1 to 128 characters");
        if (!seen.insert(name).second)
            fail(it->first, fmt::format("section '{}' is defined twice; remove one", name));
        sections.push_back(readFileSection(name, it->second));
    }
    return sections;
}

// Runs a reader and converts its exceptions, and those of the YAML library, to an Error.
template <typename Read>
auto catchReadErrors(const std::string &section, Read read) -> Result<decltype(read())>
{
    try {
        return read();
    } catch (const ReadFailure &failure) {
        return invalid(section, failure.position, failure.message);
    } catch (const YAML::Exception &ex) {
        return invalid(section, Position{ex.mark.line + 1, ex.mark.column + 1},
                       fmt::format("not valid YAML ({}); correct the syntax", ex.msg));
    }
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string &it) { return it == "*" || it == name; });
}

// Adds items to a map; throws at the first name that is already defined.
template <typename Key, typename Item, typename KeyOf>
void addUnique(std::map<Key, Item> &into, const std::vector<Item> &items, KeyOf keyOf, const char *what)
{
    for (const Item &item : items) {
        if (!into.emplace(keyOf(item), item).second)
            throw ReadFailure{fmt::format("{} '{}' is defined twice; rename or remove one", what,
                                          [&] {
                                              if constexpr (std::is_same_v<Key, std::string>)
                                                  return keyOf(item);
                                              else
                                                  return keyOf(item).value();
                                          }()),
                              item.position};
    }
}

void resolveAdapter(Document &document, Artifact &adapter)
{
    const Artifact *base = document.artifact(adapter.base);
    if (base == nullptr || base->isAdapter())
        throw ReadFailure{fmt::format("adapter '{}' refers to base '{}', which is not a model; define the model or correct the name",
                                      adapter.id.value(), adapter.base.value()),
                          adapter.position};
    adapter.pool = base->pool;
}

void resolveModel(const Document &document, const Artifact &model)
{
    const auto pool = document.pools.find(model.pool);
    if (pool == document.pools.end())
        throw ReadFailure{fmt::format("model '{}' refers to pool '{}', which does not exist; add it to 'pools' or correct the name",
                                      model.id.value(), model.pool),
                          model.position};
    if (model.bytes > pool->second.endpointBytes)
        throw ReadFailure{fmt::format("model '{}' needs {} bytes, an endpoint of pool '{}' has {}; choose a larger pool", model.id.value(),
                                      model.bytes, model.pool, pool->second.endpointBytes),
                          model.position};
}

void checkSection(const Document &document, const SectionContent &section)
{
    for (const Artifact &it : section.artifacts) {
        if (!it.isAdapter()) {
            resolveModel(document, it);
            continue;
        }
        const Artifact &base = *document.artifact(it.base);
        if (base.bytes + it.bytes > document.pools.at(base.pool).endpointBytes)
            throw ReadFailure{
                fmt::format("adapter '{}' does not fit beside its base in pool '{}'; choose a larger pool", it.id.value(), base.pool),
                it.position};
    }
    for (const Service &it : section.services) {
        if (document.pools.count(it.pool) == 0)
            throw ReadFailure{fmt::format("service '{}' refers to pool '{}', which does not exist; add it to 'pools'", it.name, it.pool),
                              it.position};
    }
    for (const Caller &caller : section.callers) {
        for (const std::string &name : caller.uses) {
            if (name != "*" && document.artifacts.count(ArtifactId(name)) == 0 && document.services.count(name) == 0)
                throw ReadFailure{
                    fmt::format("caller '{}' may use '{}', which does not exist; define it or correct the name", caller.id.value(), name),
                    caller.position};
        }
    }
}

Document mergeAll(const std::vector<SectionContent> &sections, const SectionContent *&current)
{
    Document document;
    bool policySeen = false;
    for (const SectionContent &section : sections) {
        current = &section;
        addUnique(
            document.pools, section.pools, [](const Pool &it) { return it.name; }, "pool");
        addUnique(
            document.artifacts, section.artifacts, [](const Artifact &it) { return it.id; }, "model or adapter");
        addUnique(
            document.services, section.services, [](const Service &it) { return it.name; }, "service");
        addUnique(
            document.callers, section.callers, [](const Caller &it) { return it.id; }, "caller");
        addUnique(
            document.operators, section.operators, [](const Operator &it) { return it.name; }, "operator");
        if (section.hasPolicy && policySeen)
            throw ReadFailure{"'policy' is defined in two sections; keep it in one", section.position};
        if (section.hasPolicy)
            document.policy = section.policy;
        policySeen |= section.hasPolicy;
    }
    for (const SectionContent &section : sections) {
        current = &section;
        for (const Artifact &it : section.artifacts) {
            if (it.isAdapter())
                resolveAdapter(document, document.artifacts.at(it.id));
        }
    }
    for (const SectionContent &section : sections) {
        current = &section;
        checkSection(document, section);
    }
    return document;
}

} // namespace

bool Caller::mayUse(const std::string &name) const
{
    return contains(uses, name);
}

bool Operator::mayChange(const std::string &section) const
{
    return contains(sections, section);
}

const Artifact *Document::artifact(const ArtifactId &id) const
{
    const auto it = artifacts.find(id);
    return it == artifacts.end() ? nullptr : &it->second;
}

const Caller *Document::callerByToken(const std::string &tokenSha256) const
{
    const auto it = std::find_if(callers.begin(), callers.end(),
                                 [&](const std::pair<const CallerId, Caller> &c) { return c.second.tokenSha256 == tokenSha256; });
    return it == callers.end() ? nullptr : &it->second;
}

const Operator *Document::operatorByToken(const std::string &tokenSha256) const
{
    const auto it = std::find_if(operators.begin(), operators.end(),
                                 [&](const std::pair<const std::string, Operator> &o) { return o.second.tokenSha256 == tokenSha256; });
    return it == operators.end() ? nullptr : &it->second;
}

Result<std::vector<FileSection>> parseDocumentFile(const std::string &text)
{
    return catchReadErrors("", [&] { return readFile(text); });
}

Result<SectionContent> parseSection(const std::string &name, const std::string &text)
{
    return catchReadErrors(name, [&] { return readSection(name, YAML::Load(text)); });
}

Result<Document> mergeSections(const std::vector<SectionContent> &sections)
{
    const SectionContent *current = nullptr;
    try {
        return mergeAll(sections, current);
    } catch (const ReadFailure &failure) {
        return invalid(current == nullptr ? "" : current->name, failure.position, failure.message);
    }
}

Result<void> checkTokens(const std::vector<SectionContent> &sections, const std::set<std::string> &changed)
{
    std::map<std::string, const Caller *> holders; // by token; those of unchanged sections first, which keep theirs
    for (const bool ofChanged : {false, true}) {
        for (const SectionContent &section : sections) {
            if ((changed.count(section.name) != 0) != ofChanged)
                continue;
            for (const Caller &it : section.callers) {
                const Caller *holder = holders.emplace(it.tokenSha256, &it).first->second;
                if (ofChanged && holder != &it)
                    return invalid(section.name, it.position,
                                   fmt::format("callers '{}' and '{}' have the same token; create one for each with 'roserailctl token'",
                                               holder->id.value(), it.id.value()));
            }
        }
    }
    return boost::outcome_v2::success();
}

} // namespace roserail
