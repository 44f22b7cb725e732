#include "protocol/json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace roserail
{

std::string errorBody(const Error &error)
{
    nlohmann::json body{{"type", std::string(traits(error.kind).name)}, {"message", error.message}};
    if (error.retryAfterMs > 0)
        body["retry_after_ms"] = error.retryAfterMs;
    return nlohmann::json{{"error", body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string sha256Hex(const std::string &text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest, &n, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < n; ++i)
        hex += fmt::format("{:02x}", digest[i]);
    return hex;
}

bool equalConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string bearerToken(const std::string &header)
{
    const std::string prefix = "Bearer ";
    return header.rfind(prefix, 0) == 0 ? header.substr(prefix.size()) : "";
}

} // namespace roserail
