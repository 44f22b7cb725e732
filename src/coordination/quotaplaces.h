// Requests of an account that were denied, and when they were told to come back.
//
// Load pattern: callers of an account that stays over its limit come back when told, on new connections, at any router and with new
// request ids, while new requests take whatever the account is granted. They are known by the parts that stay the same, and a share of
// what the account gets is kept for those whose time has come.
#pragma once

#include "state/types.h"

#include <deque>
#include <optional>

namespace roserail
{

class QuotaPlaces
{
public:
    // Returns the units that must stay for those that come back, if `perSecond` units are added from `now` on.
    double reserved(double perSecond, Time now) const;
    // Returns whether a request was told to come back by now, and removes its place.
    bool claim(Fingerprint request, Time now);
    // Returns the earliest time for another request, if so many units are left now.
    Time nextTime(double units, double left, double perSecond, Time now) const;
    void add(Fingerprint request, double units, Time at);
    // Removes the places of those that have not come back in time. Returns their number.
    size_t expire(Time now);
    size_t size() const
    {
        return m_places.size();
    }

private:
    struct Place {
        Fingerprint request;
        double units = 0;
        Time at{};
    };
    std::deque<Place> m_places; // in the order of their times
    double m_units = 0; // of all
};

} // namespace roserail
