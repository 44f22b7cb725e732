#include "coordination/quotaplaces.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

Millis timeFor(double units, double perSecond)
{
    return Millis(int64_t(std::clamp(units / perSecond * 1000, 0.0, double(MaxQuotaRetryTime.count()))) + 1);
}

} // namespace

double QuotaPlaces::reserved(double perSecond, Time now) const
{
    double sum = 0;
    double most = 0;
    for (const Place &it : m_places) {
        sum += it.units;
        const double needed = sum - perSecond * double(std::max<int64_t>(0, (it.at - now).count())) / 1000;
        // Places are handed out more slowly than units are added: later ones need nothing now.
        if (needed < 0)
            break;
        most = std::max(most, needed);
    }
    return most;
}

bool QuotaPlaces::claim(Fingerprint request, Time now)
{
    const auto it
        = std::find_if(m_places.begin(), m_places.end(), [&](const Place &place) { return place.request == request && place.at <= now; });
    if (it == m_places.end())
        return false;
    m_units -= it->units;
    m_places.erase(it);
    return true;
}

Time QuotaPlaces::nextTime(double units, double left, double perSecond, Time now) const
{
    const Time last = m_places.empty() ? now : std::max(now, m_places.back().at);
    return std::max(last + timeFor(units, perSecond * QuotaPlacesShare), now + timeFor(m_units + units - left, perSecond));
}

void QuotaPlaces::add(Fingerprint request, double units, Time at)
{
    m_places.push_back({request, units, at});
    m_units += units;
}

size_t QuotaPlaces::expire(Time now)
{
    size_t n = 0;
    for (; !m_places.empty() && m_places.front().at + QuotaPlaceGrace < now; ++n) {
        m_units -= m_places.front().units;
        m_places.pop_front();
    }
    return n;
}

} // namespace roserail
