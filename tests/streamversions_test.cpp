// Unit tests of the memory of which software version began a stream. Load: streams break while endpoints are replaced by a
// newer version, and their callers come back.
#define BOOST_TEST_MODULE streamversions
#include "coordination/streamversions.h"

#include <boost/test/included/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace roserail;

namespace
{

const Time Now{Millis(1000000)};
constexpr Millis Retention{1000};
constexpr size_t MaxStreams = 5;

} // namespace

// Guards against a version that is remembered wrongly: a stream has the version of its first record, or none that is known.
BOOST_AUTO_TEST_CASE(knownVersionIsTheOneThatBeganTheStream)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t>> &steps) {
        StreamVersions streams(Retention, MaxStreams);
        std::map<std::string, std::pair<SoftwareVersion, Time>> first; // since the last time that the id was not known
        Time now = Now;
        for (const auto &[id, version, pause] : steps) {
            now += Millis(pause);
            const std::string request = std::to_string(id % 12);
            const std::optional<SoftwareVersion> known = streams.find(request, now);
            RC_ASSERT(!known || (*known == first[request].first && now < first[request].second + Retention));
            const SoftwareVersion software("v" + std::to_string(version % 3));
            streams.record(request, software, now);
            if (!known)
                first[request] = {software, now};
            RC_ASSERT(streams.find(request, now) == first[request].first);
        }
    }));
}

// Guards against memory that grows with the streams of a burst, and against forgetting the latest ones first.
BOOST_AUTO_TEST_CASE(oldestStreamsAreForgottenFirst)
{
    StreamVersions streams(Retention, MaxStreams);
    for (int n = 0; n < 8; ++n)
        streams.record(std::to_string(n), SoftwareVersion("v1"), Now);
    for (int n = 0; n < 8; ++n)
        BOOST_TEST(streams.find(std::to_string(n), Now).has_value() == (n >= 3));
    BOOST_TEST(!streams.find("7", Now + Retention).has_value());
}
