// Logging: one line of key=value pairs per event, on standard error or, without ever blocking, on standard output.
//
// Standard output is rate-limited: lines over LogLinesPerSecond are dropped and counted, decisions about requests first.
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

// Sets the process name that is written in every line.
void setLogProcess(const std::string &name);

// How much is logged about requests.
enum class LogDetail {
    Events, // no lines about requests
    Outcomes, // one line at the end of a request
    Decisions, // also a line for each decision, with its inputs
};

// Switches logging to standard output, which is made non-blocking: lines that a full pipe can't take are dropped and
// counted.
void logToStandardOutput();
void setLogDetail(LogDetail detail);
LogDetail logDetail();

// Logs an event of the process or a change of its view of the cluster.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
// Logs the outcome of a request.
void logOutcome(std::string_view event, std::initializer_list<LogField> fields);
// Logs a decision about a request. Callers check logDetail() first where the fields are expensive to compute.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);

// Token bucket that limits the rate of log lines.
class LogRateLimiter
{
public:
    // Returns whether a line may be written. `reserve`: lines that must remain available for more important ones.
    bool tryAcquire(Time now, double reserve);

private:
    double m_available = tunables::LogLinesBurst;
    Time m_lastRefill{};
};

} // namespace roserail
