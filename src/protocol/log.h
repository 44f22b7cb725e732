// Logs: one line of key=value pairs on standard error for each event.
#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace roserail
{

// One key and its value, already formatted.
struct LogField {
    template <typename Value>
    LogField(std::string_view name, const Value &v)
        : key(name)
        , value(fmt::format("{}", v))
    {
    }
    std::string_view key;
    std::string value;
};

// Names the process in every line.
void setLogProcess(const std::string &name);

void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace roserail
