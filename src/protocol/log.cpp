#include "protocol/log.h"

#include "protocol/metrics.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <mutex>
#include <unistd.h>

namespace roserail
{

namespace
{

using namespace tunables;

// A line is dropped if fewer lines than this would remain available for more important ones.
constexpr double EventReserve = 0;
constexpr double OutcomeReserve = LogLinesBurst / 4;
constexpr double DecisionReserve = LogLinesBurst / 2;

std::string processName = "roserail";
int outputFd = STDERR_FILENO;
std::atomic<LogDetail> detail{LogDetail::Decisions};
std::mutex rateLimiterMutex;
LogRateLimiter rateLimiter; // guarded by rateLimiterMutex

// Quotes a value that is not a single word.
std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos)
        return value;
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

// A line that a full pipe can't take is dropped and counted: logging must not block the process.
void writeLine(const std::string &line)
{
    if (outputFd == STDERR_FILENO) {
        std::fwrite(line.data(), 1, line.size(), stderr);
        return;
    }
    if (::write(outputFd, line.data(), line.size()) != ssize_t(line.size()))
        metrics().counter("roserail_log_lines_dropped_total{reason=\"full_pipe\"}").add();
}

// Standard error is not rate-limited: the programs that log to it block on it anyway.
bool withinRateLimit(double reserve)
{
    if (outputFd == STDERR_FILENO)
        return true;
    const Time now = Time(std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
    const std::lock_guard lock(rateLimiterMutex);
    if (rateLimiter.tryAcquire(now, reserve))
        return true;
    metrics().counter("roserail_log_lines_dropped_total{reason=\"rate\"}").add();
    return false;
}

void logLine(std::string_view event, std::initializer_list<LogField> fields, double reserve)
{
    if (!withinRateLimit(reserve))
        return;
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z process={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, processName, event);
    for (const LogField &it : fields)
        line += fmt::format(" {}={}", it.key, quoted(it.value));
    line += '\n';
    writeLine(line);
}

} // namespace

bool LogRateLimiter::tryAcquire(Time now, double reserve)
{
    const double refilled = double((now - m_lastRefill).count()) / 1000 * LogLinesPerSecond;
    m_available = std::min(LogLinesBurst, m_available + refilled);
    m_lastRefill = now;
    if (m_available < reserve + 1)
        return false;
    m_available -= 1;
    return true;
}

void setLogProcess(const std::string &name)
{
    processName = name;
}

void logToStandardOutput()
{
    outputFd = STDOUT_FILENO;
    ::fcntl(outputFd, F_SETFL, ::fcntl(outputFd, F_GETFL) | O_NONBLOCK);
}

void setLogDetail(LogDetail value)
{
    detail = value;
}

LogDetail logDetail()
{
    return detail;
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(event, fields, EventReserve);
}

void logOutcome(std::string_view event, std::initializer_list<LogField> fields)
{
    if (detail != LogDetail::Events)
        logLine(event, fields, OutcomeReserve);
}

void logDecision(std::string_view event, std::initializer_list<LogField> fields)
{
    if (detail == LogDetail::Decisions)
        logLine(event, fields, DecisionReserve);
}

} // namespace roserail
