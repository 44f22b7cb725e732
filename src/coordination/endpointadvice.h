// What endpoints say about themselves in answers to requests: that they are leaving, that this host shall send them nothing
// for a while, or how many requests they take from all hosts together.
//
// Load pattern: an endpoint is shut down or overloaded while heartbeats that arrive later still list it as ready. Its own
// answers are the newest word on it, and they bind this host, whatever the registry lists. An answer reaches one host only,
// so the hosts report them to each other, except pauses, which an endpoint asks of one host.
#pragma once

#include "mesh.pb.h"
#include "state/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace roserail
{

// How much an endpoint takes.
struct EndpointCapacity {
    std::optional<double> requestsPerSecond{}; // from all routers together
    std::optional<uint32_t> maxRefusals{}; // in a second, above which it ends; set: it is brittle
    Time refusedAt{}; // when it refused a request for lack of room while it was brittle
    bool restricts() const
    {
        return requestsPerSecond.has_value() || maxRefusals.has_value();
    }
    // Takes over what a newer answer says, except that it leaves the latest refusal. Returns whether routers must know.
    bool update(const EndpointCapacity &newer);
};

// `now` is the time at which the message was or will be sent, `toldAt` that of the answer.
EndpointCapacity fromProto(const pb::EndpointCapacity &message, Time now);
pb::EndpointCapacity toProto(const EndpointCapacity &capacity, Time toldAt, Time now);

class EndpointAdvice
{
public:
    // Records that the incarnation of an endpoint is leaving, which is final. Returns false if it was known.
    bool recordLeaving(const std::string &endpoint, uint64_t startedAtMs, Time now);
    // Records that the endpoint wants no request for `pause`, at most MaxEndpointPause. A shorter pause doesn't end a
    // longer one. Returns the end of the pause.
    Time recordPause(const std::string &endpoint, uint64_t startedAtMs, Millis pause, Time now);
    // Records what the answer to a request that was sent at `sentAt` says about the endpoint's capacity. An answer without a
    // restriction ends an earlier one only if its request was sent after that was known. Returns whether the capacity has
    // changed.
    bool recordCapacity(const std::string &endpoint, uint64_t startedAtMs, const EndpointCapacity &capacity, Time sentAt, Time now);
    // Records that a brittle endpoint refused a request for lack of room. Returns false if it is not known to be brittle.
    bool recordRefusal(const std::string &endpoint, uint64_t startedAtMs, Time now);
    // Records what another router was told at `at`, if it is newer.
    void recordShared(const std::string &endpoint, uint64_t startedAtMs, const EndpointCapacity &capacity, Time at);

    bool leaving(const std::string &endpoint, uint64_t startedAtMs) const;
    // Returns the end of the pause; a time in the past if there is none.
    Time pausedUntil(const std::string &endpoint, uint64_t startedAtMs) const;
    struct KnownCapacity {
        EndpointCapacity capacity;
        Time toldAt{}; // when an answer said so last, here or at another router
    };
    // Returns the capacity that the endpoint named last.
    KnownCapacity capacity(const std::string &endpoint, uint64_t startedAtMs) const;

    // Adds what other routers need to know to the state that is reported to the control hosts, and forgets what was recorded long ago.
    void addReports(pb::RouterState &state, Time now);

private:
    struct Entry {
        uint64_t startedAtMs = 0;
        bool leaving = false;
        Time recordedAt{}; // when `leaving` was set
        Time pausedUntil{};
        EndpointCapacity capacity;
        Time capacityAt{};
        bool capacityOwn = false; // this router was told, not another one
    };
    // Returns the entry of the incarnation, which replaces that of an earlier one; nullptr if a later one is recorded.
    Entry *entryFor(const std::string &endpoint, uint64_t startedAtMs);
    const Entry *find(const std::string &endpoint, uint64_t startedAtMs) const;

    std::map<std::string, Entry> m_entries;
};

} // namespace roserail
