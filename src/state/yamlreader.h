// Reads typed values from YAML. An error states the position of the wrong value and what is expected there.
#pragma once

#include "state/document.h"

#include <fmt/format.h>

#include <set>
#include <yaml-cpp/yaml.h>

namespace roserail::yaml
{

constexpr size_t MaxNameLength = 128;

// Thrown while YAML is read; converted to an Error before it reaches callers.
struct ReadFailure {
    std::string message;
    Position position;
};

Position positionOf(const YAML::Node &node);

[[noreturn]] void fail(const YAML::Node &node, std::string message);

// Rejects unknown and repeated keys, so that a misspelt one is not ignored.
void checkKeys(const YAML::Node &node, const char *what, const std::set<std::string> &known);

// Reads a required name of letters, digits and -_./:
std::string readName(const YAML::Node &parent, const char *key, const char *what);

template <typename Value>
Value readValue(const YAML::Node &parent, const char *key, Value fallback, const char *expected)
{
    const YAML::Node node = parent[key];
    if (!node)
        return fallback;
    Value value{};
    if (!node.IsScalar() || !YAML::convert<Value>::decode(node, value))
        fail(node, std::string("'") + key + "' must be " + expected);
    return value;
}

uint32_t readCount(const YAML::Node &parent, const char *key, uint32_t fallback);
double readWeight(const YAML::Node &parent, const char *key, double fallback);

// Reads a required size with its unit, such as 512MiB.
Bytes readBytes(const YAML::Node &parent, const char *key);

// Reads a duration with its unit, such as 250ms, 4s or 30m.
Millis readDuration(const YAML::Node &parent, const char *key, Millis fallback);

std::vector<std::string> readNames(const YAML::Node &parent, const char *key);

// Parses the text of a file and passes it to `read`. Errors are of `kind`, with file, line and column.
template <typename Read>
auto readFile(const std::string &text, const std::string &file, ErrorKind kind, Read read) -> Result<decltype(read(YAML::Node()))>
{
    try {
        return read(YAML::Load(text));
    } catch (const ReadFailure &failure) {
        return Error{kind, fmt::format("{}:{}:{}: {}", file, failure.position.line, failure.position.column, failure.message), 0};
    } catch (const YAML::Exception &ex) {
        return Error{
            kind, fmt::format("{}:{}:{}: not valid YAML ({}); correct the syntax", file, ex.mark.line + 1, ex.mark.column + 1, ex.msg), 0};
    }
}

} // namespace roserail::yaml
