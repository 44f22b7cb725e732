#include "protocol/callerrequest.h"

#include "state/tunables.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t PrefixBytes = 512; // of the prompt, hashed for prefix affinity
constexpr size_t MaxKeyLength = 128;
constexpr size_t UuidLength = 36;
constexpr size_t UnixSecondsDigits = 10; // from 2001 to 2286

bool isUuid7(const std::string &key)
{
    if (key.size() != UuidLength || key[14] != '7')
        return false;
    for (size_t i = 0; i < key.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? key[i] != '-' : !std::isxdigit(static_cast<unsigned char>(key[i])))
            return false;
    }
    return true;
}

std::string promptText(const nlohmann::json &json)
{
    if (json.contains("messages"))
        return json["messages"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const auto prompt = json.find("prompt");
    return prompt != json.end() && prompt->is_string() ? prompt->get<std::string>() : "";
}

} // namespace

Result<ModelRequest> parseModelRequest(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return Error{ErrorKind::BadRequest, "the body is not a JSON object; send {\"model\": ..., \"messages\": [...]}"};
    ModelRequest request;
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string() || model->get_ref<const std::string &>().empty())
        return Error{ErrorKind::BadRequest, "'model' is missing; name a model or an adapter"};
    request.model = model->get<std::string>();
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean())
        return Error{ErrorKind::BadRequest, "'stream' must be true or false"};
    request.stream = stream != json.end() && stream->get<bool>();
    const std::string prefix = promptText(json).substr(0, PrefixBytes);
    request.prefixHash = prefix.empty() ? 0 : XXH64(prefix.data(), prefix.size(), 1);
    return request;
}

Result<Millis> parseDeadline(const std::string &value, Millis fallback)
{
    if (value.empty())
        return fallback;
    const bool digits = value.size() <= 9 && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c); });
    const Millis allowed(digits ? std::atol(value.c_str()) : 0);
    if (allowed.count() == 0 || allowed > MaxDeadline)
        return Error{ErrorKind::BadRequest,
                     fmt::format("Roserail-Deadline-Ms must be a number of milliseconds from 1 to {}", MaxDeadline.count())};
    return allowed;
}

Result<uint64_t> parseKeyTime(const std::string &key)
{
    const Error malformed{
        ErrorKind::BadRequest,
        "a request that may not be repeated needs an Idempotency-Key with its creation time: a UUIDv7, or <unix seconds>-<anything>, up to "
        "128 characters"};
    if (key.empty() || key.size() > MaxKeyLength)
        return malformed;
    if (isUuid7(key))
        return uint64_t(std::strtoull((key.substr(0, 8) + key.substr(9, 4)).c_str(), nullptr, 16));
    const size_t dash = key.find('-');
    if (dash != UnixSecondsDigits || !std::all_of(key.begin(), key.begin() + long(dash), [](unsigned char c) { return std::isdigit(c); }))
        return malformed;
    return uint64_t(std::strtoull(key.c_str(), nullptr, 10)) * 1000;
}

} // namespace roserail
