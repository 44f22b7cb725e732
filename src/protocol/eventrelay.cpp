#include "protocol/eventrelay.h"

#include <charconv>
#include <optional>

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

std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        const size_t end = event.find_first_of("\r\n");
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.substr(0, IdField.size()) != IdField)
            continue;
        line.remove_prefix(IdField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        return line;
    }
    return {};
}

} // namespace

void EventRelay::processEvent(std::string_view event)
{
    ++m_events;
    m_runHasEvent = true;
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
    const size_t scannedBytes = m_unfinished.size();
    m_unfinished.append(bytes);
    size_t completeBytes = 0;
    for (size_t i = scannedBytes; i < m_unfinished.size(); ++i) {
        const char c = m_unfinished[i];
        const bool sameLineEnd = c == '\n' && m_afterReturn;
        m_afterReturn = c == '\r';
        if (c != '\n' && c != '\r') {
            m_lineEmpty = false;
            m_insideEvent = true;
            continue;
        }
        if (m_lineEmpty && m_insideEvent && !sameLineEnd) {
            processEvent(std::string_view(m_unfinished).substr(completeBytes, i + 1 - completeBytes));
            m_insideEvent = false;
        }
        m_lineEmpty = true;
        if (!m_insideEvent)
            completeBytes = i + 1;
    }
    std::string result = m_unfinished.substr(0, completeBytes);
    m_unfinished.erase(0, completeBytes);
    return result;
}

bool EventRelay::brokenOff(bool framed) const
{
    return m_insideEvent || (!framed && !m_runHasEvent);
}

void EventRelay::beginRun()
{
    m_unfinished.clear();
    m_insideEvent = false;
    m_lineEmpty = true;
    m_afterReturn = false;
    m_runHasEvent = false;
    m_resumed = !m_lastId.empty();
}

} // namespace roserail
