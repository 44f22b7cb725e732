#include "transport/operatorclient.h"

#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis RequestTimeout{8000};
constexpr Millis RetryDelay{200};

Error parseError(const httplib::Response &response)
{
    const nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    Error error{ErrorKind::Unavailable, fmt::format("the replica answered with status {}", response.status)};
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return error;
    const std::string type = json["error"].value("type", "");
    error.message = json["error"].value("message", error.message);
    for (const ErrorKind kind :
         {ErrorKind::BadRequest, ErrorKind::Unauthorized, ErrorKind::Forbidden, ErrorKind::NotFound, ErrorKind::Conflict,
          ErrorKind::InvalidDocument, ErrorKind::TooLarge, ErrorKind::NotLeader, ErrorKind::Overloaded}) {
        if (type == traits(kind).name)
            error.kind = kind;
    }
    return error;
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> addresses, std::string token)
    : m_addresses(std::move(addresses))
    , m_token(std::move(token))
{
}

Result<std::string> OperatorClient::sendRequest(const std::string &address, const std::string &method, const std::string &path,
                                                const std::string &body) const
{
    BOOST_OUTCOME_TRY(target, parseHostPort(address));
    httplib::Client client(target.host, target.port);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(RequestTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers.emplace("Content-Type", "application/octet-stream");
    if (!m_token.empty())
        request.headers.emplace("Authorization", "Bearer " + m_token);
    const httplib::Result result = client.send(request);
    if (!result)
        return Error{ErrorKind::Unavailable,
                     fmt::format("{} did not answer ({}); check that the replica is running", address, httplib::to_string(result.error()))};
    if (result->status >= 300)
        return parseError(*result);
    return result->body;
}

Result<std::string> OperatorClient::sendToLeader(const std::string &method, const std::string &path, const std::string &body,
                                                 Time deadline) const
{
    Error last{ErrorKind::Unavailable, "no control replica answered"};
    do {
        for (const std::string &address : m_addresses) {
            const Result<std::string> answer = sendRequest(address, method, path, body);
            if (answer.has_value())
                return answer.value();
            last = answer.error();
            if (last.kind != ErrorKind::Unavailable && last.kind != ErrorKind::NotLeader)
                return last;
        }
        std::this_thread::sleep_for(RetryDelay);
    } while (monotonicNow() < deadline);
    return last;
}

} // namespace roserail
