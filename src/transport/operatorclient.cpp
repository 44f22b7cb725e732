#include "transport/operatorclient.h"

#include "protocol/settings.h"
#include "state/tunables.h"
#include "transport/blockingconnection.h"
#include "transport/clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr Millis RequestTimeout{8000};
constexpr size_t MaxAnswerBytes = 16 * MaxDocumentBytes; // a document is applied section by section, and returned whole
constexpr Millis RetryDelay{200};

Error parseError(unsigned status, const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    Error error{ErrorKind::Unavailable, fmt::format("the replica answered with status {}", status)};
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
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nAccept-Encoding: identity\r\n"
                                    "Content-Type: application/octet-stream\r\nContent-Length: {}\r\n",
                                    method, encodePath(path), address, body.size());
    if (!m_token.empty())
        bytes += fmt::format("Authorization: Bearer {}\r\n", m_token);
    bytes += "\r\n" + body;
    BlockingConnection connection(Time::max(), RequestTimeout);
    std::string answer;
    ErrorCode ec = connection.connect(target.host, target.port);
    if (!ec)
        ec = connection.send(bytes);
    if (!ec)
        ec = connection.readHead(method == "HEAD");
    if (!ec)
        ec = connection.readWholeBody(answer, MaxAnswerBytes);
    if (ec)
        return Error{ErrorKind::Unavailable,
                     fmt::format("{} did not answer ({}); check that the replica is running", address, ec.message())};
    const unsigned status = connection.head().result_int();
    if (status >= 300)
        return parseError(status, answer);
    return answer;
}

Result<std::string> OperatorClient::sendUntilAnswered(const std::string &address, const std::string &method, const std::string &path,
                                                      const std::string &body, Time deadline) const
{
    while (true) {
        Result<std::string> answer = sendRequest(address, method, path, body);
        if (answer.has_value() || answer.error().kind != ErrorKind::Unavailable || monotonicNow() >= deadline)
            return answer;
        std::this_thread::sleep_for(RetryDelay);
    }
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
