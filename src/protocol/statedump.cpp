#include "protocol/statedump.h"

#include "protocol/log.h"

#include <google/protobuf/util/json_util.h>

namespace roserail
{

namespace
{

nlohmann::json toJson(const google::protobuf::Message &message)
{
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    const google::protobuf::util::Status status = google::protobuf::util::MessageToJsonString(message, &text, options);
    if (status.ok())
        return nlohmann::json::parse(text);
    logEvent("dump_error", {{"error", status.ToString()}});
    return nlohmann::json{{"error", "this part could not be converted to JSON; see the log"}};
}

} // namespace

std::string stateDump(nlohmann::json process, const Registry &registry, Time now)
{
    pb::ShareRequest live;
    registry.changesSince(ChangeFilter{0, true, {}}, now, live);
    for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
        pb::KeeperState &state = *live.add_keepers();
        state = it.second.state;
        state.set_age_ms(uint64_t((now - it.second.lastSeenAt).count()));
    }
    const nlohmann::json dump{{"process", std::move(process)}, {"live", toJson(live)}};
    return dump.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace roserail
