#include "protocol/log.h"

#include "protocol/metrics.h"

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <unistd.h>

namespace roserail
{

namespace
{

std::string processName = "roserail";
int target = STDERR_FILENO;

// Quotes a value that would not be one word.
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

// A line that a full pipe can't take is dropped and counted: logging must not hold up work.
void writeLine(const std::string &line)
{
    if (target == STDERR_FILENO) {
        std::fwrite(line.data(), 1, line.size(), stderr);
        return;
    }
    if (::write(target, line.data(), line.size()) != ssize_t(line.size()))
        metrics().counter("roserail_log_lines_dropped_total").add();
}

} // namespace

void setLogProcess(const std::string &name)
{
    processName = name;
}

void logToStandardOutput()
{
    target = STDOUT_FILENO;
    ::fcntl(target, F_SETFL, ::fcntl(target, F_GETFL) | O_NONBLOCK);
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z process={} event={}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, processName, event);
    for (const LogField &it : fields)
        line += fmt::format(" {}={}", it.key, quoted(it.value));
    line += '\n';
    writeLine(line);
}

} // namespace roserail
