// Unit tests of the memory of which software version began a stream. Load: streams break while endpoints are replaced by a
// newer version, and their callers come back.
#define BOOST_TEST_MODULE streamversions
#include "coordination/balancer.h"
#include "coordination/softwareseen.h"
#include "coordination/streamversions.h"
#include "livestate.h"
#include "state/recordedstreams.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr Millis Retention{1000};
constexpr size_t MaxStreams = 5;

} // namespace

// Guards against a version that is remembered wrongly: a stream has the version of its first record, or none that is known.
BOOST_AUTO_TEST_CASE(knownVersionIsTheOneThatBeganTheStream)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t>> &steps) {
        StreamVersions streams(Retention, MaxStreams);
        std::map<StreamId, std::pair<SoftwareVersion, Time>> first; // since the last time that the id was not known
        Time now = Now;
        for (const auto &[id, version, pause] : steps) {
            now += Millis(pause);
            const StreamId request = streamId(std::to_string(id % 12));
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
        streams.record(streamId(std::to_string(n)), SoftwareVersion("v1"), Now);
    for (int n = 0; n < 8; ++n)
        BOOST_TEST(streams.find(streamId(std::to_string(n)), Now).has_value() == (n >= 3));
    BOOST_TEST(!streams.find(streamId("7"), Now + Retention).has_value());
}

namespace
{

pb::Announcement endpointOf(const std::string &id, const std::string &software, uint64_t sequence = 1)
{
    pb::Announcement it = announcement(id, 10, sequence, "10.0.0.1:" + id.substr(1));
    it.set_software(software);
    return it;
}

} // namespace

// Guards against a version that is taken for the only one although the endpoints of another one have just left.
BOOST_AUTO_TEST_CASE(versionCountsForAWhileAfterItsLastEndpointHasLeft)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(endpointOf("e1", "v1"), Now);
    SoftwareSeen seen(Retention);
    seen.record(registry, Now);
    BOOST_TEST(!seen.several("s", Now));
    registry.merge(endpointOf("e2", "v2"), Now);
    registry.withdraw("e1", Now);
    seen.record(registry, Now + Millis(10));
    BOOST_TEST(seen.several("s", Now + Millis(10)));
    BOOST_TEST(!seen.several("other", Now + Millis(10)));
    BOOST_TEST(seen.several("s", Now + Retention));
    BOOST_TEST(!seen.several("s", Now + Retention + Millis(1)));
    seen.record(registry, Now + Retention + Millis(1));
    BOOST_TEST(seen.list(Now + Retention + Millis(1)).uses_size() == 1);
}

// Guards against a list that ends with the processes: a leader that takes over counts what an earlier one recorded as seen.
BOOST_AUTO_TEST_CASE(listOfAnEarlierLeaderIsTakenOver)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(endpointOf("e1", "v1"), Now);
    SoftwareSeen before(Retention);
    before.record(registry, Now);
    const pb::RecordSoftware listed = before.list(Now);
    Registry restarted(ExpiryTimes, Now);
    restarted.merge(endpointOf("e2", "v2"), Now);
    SoftwareSeen after(Retention);
    after.record(listed, Now + Millis(500));
    after.record(restarted, Now + Millis(500));
    BOOST_TEST(after.several("s", Now + Millis(500)));
    BOOST_TEST(after.list(Now + Millis(500)).uses_size() == 2);
    BOOST_TEST(softwareChecksum(after.list(Now + Millis(500))) != softwareChecksum(listed));
    BOOST_TEST(softwareChecksum(pb::RecordSoftware()) == 0u);
}

struct ListAge {
    std::string name;
    std::set<SoftwareVersion> versions;
    Millis askedAfter{0}; // the request to continue the stream came
    Millis age{0}; // of the list, when the control host was asked
    bool decided = false;
};

std::ostream &operator<<(std::ostream &out, const ListAge &it)
{
    return out << it.name;
}

const std::set<SoftwareVersion> One{SoftwareVersion("v1")};
const std::set<SoftwareVersion> Two{SoftwareVersion("v1"), SoftwareVersion("v2")};
const std::vector<ListAge> ListAges{
    {"asked long before the request came", One, Millis(-3000), Millis(0), false},
    {"asked just before", One, Millis(-1), Millis(0), false},
    {"asked at the same time", One, Millis(0), Millis(0), false},
    {"asked after", One, Millis(1), Millis(0), true},
    {"asked after, of a host with an older list", One, Millis(50), Millis(50), false},
    {"asked after, of a host with a list since", One, Millis(50), Millis(49), true},
    {"several versions", Two, Millis(50), Millis(0), false},
    {"no version", {}, Millis(50), Millis(0), false},
};

// Guards against a version that is taken for the only one by a list of before its stream was to be continued: others may have joined since.
BOOST_DATA_TEST_CASE(onlyVersionNeedsAListOfAfterTheRequest, bdata::make(ListAges), list)
{
    Confirmation listed;
    BOOST_TEST(!onlyVersion(list.versions, listed, Now).has_value());
    listed.record(Now + list.askedAfter, list.age);
    BOOST_TEST(onlyVersion(list.versions, listed, Now).has_value() == list.decided);
    // A reply to an earlier question changes nothing.
    listed.record(Now - Millis(5000), Millis(0));
    BOOST_TEST(onlyVersion(list.versions, listed, Now).has_value() == list.decided);
}

struct RecordedVersion {
    std::string name;
    std::vector<std::string> listed; // versions of the service, in the replicated log
    bool kept = true; // the leader's build keeps the list
    Millis announcedFor{0};
    bool chosen = false;
};

std::ostream &operator<<(std::ostream &out, const RecordedVersion &it)
{
    return out << it.name;
}

const std::vector<RecordedVersion> RecordedVersions{
    {"not listed", {}, true, Millis(500), false},
    {"another one is listed", {"v2"}, true, Millis(500), false},
    {"listed", {"v1", "v2"}, true, Millis(0), true},
    {"not listed for long, as without a majority of the control hosts", {}, true, Millis(2000), true},
    {"the leader keeps no list", {}, false, Millis(0), true},
};

// Guards against a stream that begins at a software version of which only processes know that may all be killed at once: with no
// trace of it, the stream is then continued by another version.
BOOST_DATA_TEST_CASE(streamBeginsAtAVersionThatTheLogLists, boost::unit_test::data::make(RecordedVersions), version)
{
    Registry registry(ExpiryTimes, Now);
    registry.merge(endpointOf("e", "v1"), Now);
    Balancer balancer("z");
    balancer.update(registry);
    pb::RecordSoftware list;
    for (const std::string &it : version.listed) {
        pb::SoftwareUse &use = *list.add_uses();
        use.set_service("s");
        use.set_version(it);
    }
    balancer.setRecordedSoftware(list, version.kept);
    EndpointRequirements requirements;
    requirements.service = ServiceId("s");
    // What no other endpoint may continue goes anywhere.
    BOOST_TEST(balancer.choose(requirements, Now + version.announcedFor).has_value());
    requirements.recordedSoftware = true;
    BOOST_TEST(balancer.choose(requirements, Now + version.announcedFor).has_value() == version.chosen);
}

namespace
{

pb::RecordStreams streamsOf(const std::string &version, uint64_t from, uint64_t to, bool forgetEarlier = false)
{
    pb::RecordStreams command;
    command.set_forget_earlier(forgetEarlier);
    for (uint64_t n = from; n < to; ++n)
        addStream(*command.mutable_begun(), SoftwareVersion(version), StreamId(n));
    return command;
}

} // namespace

// Guards against a version that is recorded twice and differs, and against one that a snapshot loses.
BOOST_AUTO_TEST_CASE(recordedStreamsSurviveSnapshots)
{
    RecordedStreams streams;
    streams.apply(streamsOf("v1", 0, 10));
    streams.apply(streamsOf("v2", 5, 15));
    streams.apply(streamsOf("v1", 15, 20));
    pb::MachineState state;
    streams.save(state);
    BOOST_TEST(state.streams_size() == 3);
    RecordedStreams restored;
    restored.restore(state);
    for (uint64_t n = 0; n < 20; ++n)
        BOOST_TEST((restored.find(StreamId(n)) == SoftwareVersion(n < 10 || n >= 15 ? "v1" : "v2")));
    BOOST_TEST(!restored.find(StreamId(20)).has_value());
    restored.apply(streamsOf("v2", 30, 31, true));
    BOOST_TEST(!restored.find(StreamId(1)).has_value());
    BOOST_TEST(restored.find(StreamId(30)).has_value());
}

// Guards against a log state that grows with the streams of a long release.
BOOST_AUTO_TEST_CASE(oldestRecordedStreamsAreForgottenFirst)
{
    RecordedStreams streams;
    const uint64_t all = tunables::MaxRecordedStreams + 100;
    streams.apply(streamsOf("v1", 0, all));
    BOOST_TEST(!streams.find(StreamId(99)).has_value());
    BOOST_TEST(streams.find(StreamId(100)).has_value());
    BOOST_TEST(streams.find(StreamId(all - 1)).has_value());
}

// Load pattern: a router reports its streams of the last seconds with each poll, and no others.
BOOST_AUTO_TEST_CASE(recentStreamsAreReported)
{
    constexpr Millis window{300};
    StreamVersions streams(Retention, MaxStreams);
    for (int n = 0; n < 5; ++n)
        streams.record(StreamId(uint64_t(n)), SoftwareVersion(n % 2 == 0 ? "v1" : "v2"), Now + n * Millis(100));
    pb::RouterState state;
    streams.addReports(state, window, 10, Now + Millis(400));
    BOOST_REQUIRE(state.begun_streams_size() == 3);
    BOOST_TEST(state.begun_streams(0).streams(0) == 4u);
    BOOST_TEST(state.begun_streams(0).version() == "v1");
    BOOST_TEST(state.begun_streams(2).streams(0) == 2u);
    state.Clear();
    streams.addReports(state, window, 1, Now + Millis(400));
    BOOST_TEST(state.begun_streams_size() == 1);
}
