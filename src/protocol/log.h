// Logs: one line of key=value pairs for each event, on standard error or, without ever blocking, on standard output.
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

// From now on lines go to standard output, and those that a full pipe can't take are dropped and counted.
void logToStandardOutput();

void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace roserail
