#include "protocol/eventrelay.h"

#include <charconv>
#include <optional>
#include <utility>

namespace roserail
{

namespace
{

constexpr std::string_view IdField = "id:";

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Returns the end of the first event in `bytes`, including its empty line; npos if the event is incomplete.
size_t eventEnd(std::string_view bytes)
{
    const size_t plain = bytes.find("\n\n");
    const size_t withReturn = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && withReturn == std::string_view::npos)
        return std::string_view::npos;
    return plain < withReturn ? plain + 2 : withReturn + 4;
}

std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        const size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, IdField.size()) != IdField)
            continue;
        line.remove_prefix(IdField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        return line;
    }
    return {};
}

} // namespace

void EventRelay::trackEventId(std::string_view event)
{
    const std::string_view id = eventId(event);
    if (id.empty())
        return;
    const std::optional<uint64_t> last = parseNumber(m_lastId);
    const std::optional<uint64_t> next = parseNumber(id);
    if (m_resumed && last && next && *next != *last + 1)
        m_continuous = false;
    m_resumed = false;
    m_lastId = std::string(id);
}

std::string EventRelay::feed(std::string_view bytes)
{
    m_unfinished.append(bytes);
    size_t completeBytes = 0;
    while (true) {
        const std::string_view rest = std::string_view(m_unfinished).substr(completeBytes);
        const size_t end = eventEnd(rest);
        if (end == std::string_view::npos)
            break;
        trackEventId(rest.substr(0, end));
        completeBytes += end;
        ++m_events;
    }
    std::string result = m_unfinished.substr(0, completeBytes);
    m_unfinished.erase(0, completeBytes);
    return result;
}

std::string EventRelay::takeRemainder()
{
    return std::exchange(m_unfinished, std::string());
}

void EventRelay::beginRun()
{
    m_unfinished.clear();
    m_resumed = !m_lastId.empty();
}

} // namespace roserail
