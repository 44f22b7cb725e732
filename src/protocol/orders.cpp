#include "protocol/orders.h"

#include "protocol/settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace roserail
{

namespace
{

using Json = nlohmann::json;

constexpr size_t MaxArtifactsPerReport = 8192;

// Thrown and caught inside this file only.
struct Malformed {
    std::string message;
};

template <typename Value>
Value field(const Json &json, const char *name, Value fallback, bool required = false)
{
    const auto it = json.find(name);
    if (it == json.end()) {
        if (required)
            throw Malformed{fmt::format("'{}' is missing; see docs/ENGINES.md", name)};
        return fallback;
    }
    bool valid = false;
    if constexpr (std::is_same_v<Value, std::string>)
        valid = it->is_string();
    else if constexpr (std::is_same_v<Value, bool>)
        valid = it->is_boolean();
    else
        valid = it->is_number_unsigned() && it->template get<uint64_t>() <= std::numeric_limits<Value>::max();
    if (!valid)
        throw Malformed{fmt::format("'{}' has the wrong type or is out of range; see docs/ENGINES.md", name)};
    return it->template get<Value>();
}

pb::ArtifactState parseState(const std::string &text)
{
    if (text == "loaded")
        return pb::ARTIFACT_LOADED;
    if (text == "loading")
        return pb::ARTIFACT_LOADING;
    if (text == "absent")
        return pb::ARTIFACT_ABSENT;
    throw Malformed{"'state' must be loaded, loading or absent"};
}

pb::CacheTier parseTier(const std::string &text)
{
    if (text == "memory")
        return pb::TIER_MEMORY;
    if (text == "disk")
        return pb::TIER_DISK;
    if (text == "remote")
        return pb::TIER_REMOTE;
    throw Malformed{"'tier' must be memory, disk or remote"};
}

pb::EndpointReport readAnnouncement(const Json &json)
{
    pb::EndpointReport report;
    report.set_endpoint(field<std::string>(json, "endpoint", "", true));
    report.set_incarnation(field<uint64_t>(json, "incarnation", 0, true));
    report.set_sequence(field<uint64_t>(json, "sequence", 0, true));
    report.set_address(field<std::string>(json, "address", "", true));
    report.set_host(field<std::string>(json, "host", "", true));
    report.set_zone(field<std::string>(json, "zone", "", true));
    report.set_pool(field<std::string>(json, "pool", "", true));
    report.set_host_bytes(field<uint64_t>(json, "host_bytes", 0));
    report.set_endpoint_bytes(field<uint64_t>(json, "endpoint_bytes", 0));
    report.set_checks_fencing(field<bool>(json, "checks_fencing", false));
    report.set_leaving(field<bool>(json, "leaving", false));
    report.set_fence(field<uint64_t>(json, "fence", 0));
    report.set_running(field<uint32_t>(json, "running", 0));
    report.set_capacity(field<uint32_t>(json, "capacity", 1));
    report.set_service(field<bool>(json, "service", false));
    const auto artifacts = json.find("artifacts");
    if (artifacts == json.end())
        return report;
    if (!artifacts->is_array() || artifacts->size() > MaxArtifactsPerReport)
        throw Malformed{"'artifacts' must be a list of at most 8192 items"};
    for (const Json &it : *artifacts) {
        if (!it.is_object())
            throw Malformed{"an item of 'artifacts' must be an object"};
        pb::ArtifactReport &artifact = *report.add_artifacts();
        artifact.set_artifact(field<std::string>(it, "artifact", "", true));
        artifact.set_version(field<std::string>(it, "version", "", true));
        artifact.set_state(parseState(field<std::string>(it, "state", "absent")));
        artifact.set_tier(parseTier(field<std::string>(it, "tier", "remote")));
    }
    return report;
}

} // namespace

std::string encodeOrder(const Order &order)
{
    const Json json{{"kind", order.kind == OrderKind::Load ? "load" : "unload"},
                    {"fence", order.fence.value()},
                    {"incarnation", order.incarnation},
                    {"artifact", order.artifact.value()},
                    {"base", order.base.value()},
                    {"version", order.version},
                    {"bytes", order.bytes}};
    return json.dump();
}

Result<pb::EndpointReport> parseAnnouncement(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return Error{ErrorKind::BadRequest, "the announcement is not a JSON object; see docs/ENGINES.md"};
    try {
        pb::EndpointReport report = readAnnouncement(json);
        const bool identified = !report.endpoint().empty() && report.endpoint().size() <= 128 && report.incarnation() > 0;
        if (!identified || parseHostPort(report.address()).has_error())
            return Error{ErrorKind::BadRequest,
                         "'endpoint' (1 to 128 characters), 'incarnation' (above 0) and 'address' (host:port) are required"};
        return report;
    } catch (const Malformed &malformed) {
        return Error{ErrorKind::BadRequest, malformed.message};
    }
}

uint64_t parseOrderAnswer(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool present = json.is_object() && json.contains("sequence") && json["sequence"].is_number_unsigned();
    return present ? json["sequence"].get<uint64_t>() : 0;
}

} // namespace roserail
