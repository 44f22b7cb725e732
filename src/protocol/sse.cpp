#include "protocol/sse.h"

#include "state/tunables.h"

#include <algorithm>
#include <fmt/format.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr char Separator = '~';
constexpr size_t TokenFields = 5;

bool parseNumber(const std::string &text, uint64_t &out)
{
    const bool digits
        = !text.empty() && text.size() <= 20 && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); });
    if (digits)
        out = std::strtoull(text.c_str(), nullptr, 10);
    return digits;
}

} // namespace

void SseParser::processLine(const std::string &line, std::vector<SseEvent> &out)
{
    if (line.empty()) {
        if (m_hasField)
            out.push_back(std::move(m_event));
        m_event = SseEvent();
        m_hasField = false;
        return;
    }
    const size_t colon = line.find(':');
    const std::string name = line.substr(0, colon);
    size_t from = colon == std::string::npos ? line.size() : colon + 1;
    if (from < line.size() && line[from] == ' ')
        ++from;
    m_hasField = true;
    if (name == "id")
        m_event.id = line.substr(from);
    else if (name == "data")
        m_event.data += (m_event.data.empty() ? "" : "\n") + line.substr(from);
}

std::vector<SseEvent> SseParser::feed(const char *data, size_t n)
{
    std::vector<SseEvent> events;
    for (size_t i = 0; i < n && !m_overflow; ++i) {
        if (data[i] == '\r')
            continue;
        if (data[i] != '\n') {
            m_line += data[i];
            m_overflow = m_line.size() + m_event.data.size() > MaxEventBytes;
            continue;
        }
        processLine(m_line, events);
        m_line.clear();
    }
    return events;
}

std::string encodeSse(const SseEvent &event)
{
    if (event.data.empty())
        return ": keep-alive\n\n";
    std::string out = event.id.empty() ? "" : fmt::format("id: {}\n", event.id);
    size_t from = 0;
    while (from <= event.data.size()) {
        const size_t end = std::min(event.data.find('\n', from), event.data.size());
        out += fmt::format("data: {}\n", event.data.substr(from, end - from));
        from = end + 1;
    }
    return out + "\n";
}

std::string encodeResumeToken(const ResumeToken &token)
{
    return fmt::format("{}~{}~{}~{}~{}", token.endpoint.value(), token.incarnation, token.attempt.value(), token.callerHash, token.next);
}

Result<ResumeToken> parseResumeToken(const std::string &text)
{
    const Error malformed{ErrorKind::BadRequest, "the Last-Event-ID was not issued by roserail; send the id of the last event received"};
    std::vector<std::string> fields(1);
    for (const char c : text) {
        if (c == Separator)
            fields.emplace_back();
        else
            fields.back() += c;
    }
    ResumeToken token;
    const bool parsed = text.size() <= 512 && fields.size() == TokenFields && parseNumber(fields[1], token.incarnation)
        && parseNumber(fields[3], token.callerHash) && parseNumber(fields[4], token.next);
    if (!parsed)
        return malformed;
    token.endpoint = EndpointId(fields[0]);
    token.attempt = AttemptId(fields[2]);
    const bool safe = std::all_of(fields[2].begin(), fields[2].end(), [](unsigned char c) { return std::isalnum(c) || c == '-'; });
    if (!safe)
        return malformed;
    return token;
}

} // namespace roserail
