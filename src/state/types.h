// Strong types for identifiers, units and points in time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace roserail
{

// An identifier of one kind; the tag makes identifiers of different kinds distinct types.
template <typename Tag, typename Value = std::string>
class Id
{
public:
    Id() = default;
    explicit Id(Value value)
        : m_value(std::move(value))
    {
    }
    const Value &value() const
    {
        return m_value;
    }
    auto operator<=>(const Id &) const = default;

private:
    Value m_value{};
};

using CallerId = Id<struct CallerTag>;
using EndpointId = Id<struct EndpointTag>;
using HostId = Id<struct HostTag>;
using RouterId = Id<struct RouterTag>;
using ArtifactId = Id<struct ArtifactTag>; // a model or an adapter
using AttemptId = Id<struct AttemptTag>;
using SlotId = Id<struct SlotTag, uint64_t>;
using Fence = Id<struct FenceTag, uint64_t>;
using Fingerprint = Id<struct FingerprintTag, uint64_t>;
using PromptPartId = Id<struct PromptPartTag, uint64_t>;
using StreamId = Id<struct StreamTag, uint64_t>; // hash of the id of the request that began it
using SoftwareVersion = Id<struct SoftwareVersionTag>; // of an endpoint's software, not of model weights; empty: not stated
using Revision = Id<struct RevisionTag, uint64_t>;

// Memory, in bytes.
using Bytes = uint64_t;

using Millis = std::chrono::milliseconds;

// Points in time of a clock that never goes back. The logic of state and coordination doesn't read it: `now` is passed in.
struct MonotonicClock {
    using rep = Millis::rep;
    using period = Millis::period;
    using duration = Millis;
    using time_point = std::chrono::time_point<MonotonicClock, Millis>;
    static constexpr bool is_steady = true;
};
using Time = MonotonicClock::time_point;

// Calendar time, for records that are kept across restarts of a process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

inline int64_t toMillis(Time t)
{
    return t.time_since_epoch().count();
}
inline Time timeFromMillis(int64_t n)
{
    return Time(Millis(n));
}

} // namespace roserail

template <typename Tag, typename Value>
struct std::hash<roserail::Id<Tag, Value>> {
    size_t operator()(const roserail::Id<Tag, Value> &id) const
    {
        return std::hash<Value>()(id.value());
    }
};
