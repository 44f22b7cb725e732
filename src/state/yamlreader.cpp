#include "state/yamlreader.h"

#include <algorithm>
#include <cstring>
#include <fmt/format.h>

namespace roserail::yaml
{

namespace
{

// Reads a number with a unit such as "8GiB" or "4s".
double readQuantity(const YAML::Node &parent, const char *key, const std::vector<std::pair<std::string, double>> &units, const char *what)
{
    const YAML::Node node = parent[key];
    if (!node || !node.IsScalar())
        fail(node ? node : parent, fmt::format("'{}' is missing; add {}", key, what));
    const std::string &text = node.Scalar();
    char *end = nullptr;
    const double n = std::strtod(text.c_str(), &end);
    const std::string unit(end);
    const auto it = std::find_if(units.begin(), units.end(), [&](const std::pair<std::string, double> &u) { return u.first == unit; });
    if (end == text.c_str() || it == units.end() || !(n >= 0) || n * it->second > 1e15)
        fail(node, fmt::format("'{}: {}' is not valid; use {}", key, text, what));
    return n * it->second;
}

} // namespace

Position positionOf(const YAML::Node &node)
{
    return Position{node.Mark().line + 1, node.Mark().column + 1};
}

void fail(const YAML::Node &node, std::string message)
{
    throw ReadFailure{std::move(message), positionOf(node)};
}

void checkKeys(const YAML::Node &node, const char *what, const std::set<std::string> &known)
{
    if (!node.IsMap())
        fail(node, fmt::format("{} must be a mapping; write 'key: value' lines", what));
    std::set<std::string> seen;
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        const std::string key = it->first.as<std::string>("");
        if (known.count(key) == 0)
            fail(it->first, fmt::format("unknown key '{}' in {}; use one of: {}", key, what, fmt::join(known, ", ")));
        if (!seen.insert(key).second)
            fail(it->first, fmt::format("key '{}' is defined twice in {}; remove one", key, what));
    }
}

std::string readName(const YAML::Node &parent, const char *key, const char *what)
{
    const YAML::Node node = parent[key];
    if (!node || !node.IsScalar() || node.Scalar().empty())
        fail(parent, fmt::format("{} needs '{}'; add it", what, key));
    const std::string &name = node.Scalar();
    const bool legal
        = std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) || strchr("-_./:", c) != nullptr; });
    if (!legal || name.size() > MaxNameLength)
        fail(node, fmt::format("'{}' is not a valid name; use up to {} letters, digits and -_./:", name.substr(0, 40), MaxNameLength));
    return name;
}

uint32_t readCount(const YAML::Node &parent, const char *key, uint32_t fallback)
{
    const int64_t n = readValue<int64_t>(parent, key, fallback, "a whole number from 0 to 10000");
    if (n < 0 || n > 10000)
        fail(parent[key], fmt::format("'{}' must be a whole number from 0 to 10000", key));
    return uint32_t(n);
}

double readWeight(const YAML::Node &parent, const char *key, double fallback)
{
    const double n = readValue<double>(parent, key, fallback, "a number above 0");
    if (!(n > 0) || n > 1e6)
        fail(parent[key], fmt::format("'{}' must be a number above 0 and at most 1000000", key));
    return n;
}

Bytes readBytes(const YAML::Node &parent, const char *key)
{
    return Bytes(readQuantity(parent, key, {{"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}, {"MB", 1e6}, {"B", 1.0}},
                              "a size such as 512MiB or 8GiB"));
}

Millis readDuration(const YAML::Node &parent, const char *key, Millis fallback)
{
    if (!parent[key])
        return fallback;
    return Millis(
        int64_t(readQuantity(parent, key, {{"ms", 1.0}, {"s", 1e3}, {"m", 6e4}, {"h", 3.6e6}}, "a time such as 250ms, 4s or 30m")));
}

std::vector<std::string> readNames(const YAML::Node &parent, const char *key)
{
    std::vector<std::string> names;
    const YAML::Node node = parent[key];
    if (!node)
        return names;
    if (!node.IsSequence())
        fail(node, fmt::format("'{}' must be a list; write [a, b]", key));
    for (const YAML::Node &it : node)
        names.push_back(it.as<std::string>(""));
    return names;
}

} // namespace roserail::yaml
