// Logs: one line of key=value pairs for each event, on standard error or, without ever blocking, on standard output.
//
// Lines on standard output are bounded: those over LogLinesPerSecond are dropped and counted, steps of requests first.
#pragma once

#include "state/tunables.h"
#include "state/types.h"

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

// How much is told of requests.
enum class LogDetail {
    Events, // nothing
    Outcomes, // one line at the end
    Decisions, // a line for each decision too, with its inputs
};

// From now on lines go to standard output, and those that a full pipe can't take are dropped and counted.
void logToStandardOutput();
void setLogDetail(LogDetail detail);
LogDetail logDetail();

// What happened to the process or to what it knows.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
// How a request ended.
void logOutcome(std::string_view event, std::initializer_list<LogField> fields);
// A step of a request. Ask logDetail() first where the fields are costly to gather.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);

// Decides which lines are written, by the number of those written lately.
class LogRateLimiter
{
public:
    // `reserve`: lines that must be left for more important ones.
    bool tryAcquire(Time now, double reserve);

private:
    double m_available = tunables::LogLinesBurst;
    Time m_lastRefill{};
};

} // namespace roserail
