// How long work takes on the endpoints of a service whose machines say so: at this moment and usually on each, and on average over all.
//
// Load pattern: endpoints of different speeds, whose machines have other work and slow down for some tenths of a second. A figure that is
// older than that no longer holds, but how fast the endpoint usually is can be told from it.
#pragma once

#include "state/types.h"

#include <optional>

namespace roserail
{

// What an endpoint said last about the time that work takes, as a multiple of its usual time.
class Slowdown
{
public:
    // Records what it said at `at`, unless something newer is known.
    void record(double factor, Time at);
    void forget();
    // Returns the factor as expected now: the latest if it is new enough, else the usual one of this endpoint; nothing if it said none.
    std::optional<double> expected(Time now) const;
    double latest() const
    {
        return m_factor;
    }
    Time at() const
    {
        return m_at;
    }

private:
    double m_factor = 1;
    double m_usual = 1; // without other work on its machine
    Time m_at{};
};

// Averages over the endpoints of one service.
class ServiceSpeed
{
public:
    void recordSlowdown(double factor);
    // Records the time from the sending of a request to its answer's end.
    void recordDuration(Millis took);
    // Sets the mean number of requests of other routers on an endpoint.
    void setMeanRequests(double requests)
    {
        m_meanRequests = requests;
    }
    // Returns how long work takes on an endpoint, as a multiple of the average.
    double pace(const Slowdown &slowdown, Time now) const;
    // Returns the time that a request takes on an idle endpoint, as far as it is part of the cost: that of a long stream is not.
    double serviceMs() const;
    // Returns the requests to be expected on an endpoint that had `requests` this long ago: the more of them have ended since, the more
    // the number is the mean.
    double expectedRequests(double requests, Millis age) const;

private:
    double m_slowdown = 1;
    double m_durationMs = 0; // 0: no answer yet
    double m_meanRequests = 0;
};

} // namespace roserail
