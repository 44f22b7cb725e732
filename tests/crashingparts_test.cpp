// Tests of how routers find the part of prompts that crashes endpoints: it is refused after few crashes, and parts of sound
// requests are not, although these are interrupted by the same crashes. The tests use no network and no clock.
#define BOOST_TEST_MODULE crashingparts
#include "coordination/crashingparts.h"
#include "state/tunables.h"

#include <boost/test/included/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::tunables;

namespace
{

const Time Start(Millis(1000000));
const PromptPartId Common(1); // first part of all prompts
const PromptPartId Crashing(2);
const PromptPartId Rare(3); // of sound requests that no router has answered yet

using Parts = std::vector<PromptPartId>;

// Routers that exchange their states.
struct Routers {
    explicit Routers(size_t n)
        : watches(n)
        , registries(n, Registry(HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start))
    {
    }
    void exchange(Time now)
    {
        for (size_t from = 0; from < watches.size(); ++from) {
            pb::RouterState state;
            state.set_router(std::to_string(from));
            state.set_incarnation(1);
            state.set_sequence(++sequence);
            watches[from].addReports(state, now);
            for (Registry &it : registries)
                it.merge(state, now);
        }
        for (size_t n = 0; n < watches.size(); ++n)
            watches[n].update(registries[n], std::to_string(n), now);
    }
    size_t refusing(const Parts &parts) const
    {
        return size_t(std::count_if(watches.begin(), watches.end(), [&](const CrashingParts &it) { return it.shouldRefuse(parts); }));
    }
    void restart(size_t n)
    {
        watches[n] = CrashingParts();
    }
    std::vector<CrashingParts> watches;
    std::vector<Registry> registries;
    uint64_t sequence = 0;
};

} // namespace

// Guards against the incident BUDGET.
BOOST_AUTO_TEST_CASE(partThatCrashesThreeEndpointsIsRefusedByAllRouters)
{
    Routers routers(3);
    for (CrashingParts &it : routers.watches)
        it.recordAnswer({Common}, Start);
    for (size_t n = 0; n < 3; ++n) {
        BOOST_TEST(routers.refusing({Crashing}) == 0u);
        routers.watches[n].recordCrash({Common, Crashing}, 0, "e" + std::to_string(n), 1, Start);
        routers.exchange(Start);
    }
    BOOST_TEST(routers.refusing({Common, Crashing}) == 3u);
    BOOST_TEST(routers.refusing({Common, Rare}) == 0u);
}

BOOST_AUTO_TEST_CASE(sameEndpointProcessCountsOnce)
{
    Routers routers(2);
    for (int n = 0; n < 4; ++n)
        routers.watches[size_t(n) % 2].recordCrash({Crashing}, 0, "e", 1, Start);
    routers.watches[0].recordCrash({Crashing}, 0, "e", 2, Start); // restarted
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Crashing}) == 0u);
    routers.watches[1].recordCrash({Crashing}, 0, "e", 3, Start);
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Crashing}) == 2u);
}

// All routers but one have restarted and know of no sound part: the first part is in every crash.
BOOST_AUTO_TEST_CASE(partThatOneRouterHasAnsweredIsNotRefused)
{
    Routers routers(3);
    routers.watches[2].recordAnswer({Common}, Start);
    for (size_t n = 0; n < 4; ++n)
        routers.watches[n % 2].recordCrash({Common, Crashing}, 0, "e" + std::to_string(n), 1, Start);
    routers.exchange(Start);
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Crashing}) == 3u);
    BOOST_TEST(routers.refusing({Common}) == 0u);
    // A router that restarts learns it again.
    routers.restart(0);
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Common}) == 0u);
}

// All hosts are stopped and started in turn: each router that has reported a crash, or answered a request, ends.
BOOST_AUTO_TEST_CASE(refusalSurvivesRestartsOfAllRoutersInTurn)
{
    Routers routers(4);
    routers.watches[3].recordAnswer({Common}, Start);
    for (size_t n = 0; n < 3; ++n)
        routers.watches[n].recordCrash({Common, Crashing}, 0, "e" + std::to_string(n), 1, Start);
    routers.exchange(Start);
    routers.exchange(Start);
    for (int round = 0; round < 2; ++round) {
        for (size_t n = 0; n < routers.watches.size(); ++n) {
            routers.restart(n);
            routers.exchange(Start);
            routers.exchange(Start);
            BOOST_TEST(routers.refusing({Crashing}) == 4u);
            BOOST_TEST(routers.refusing({Common}) == 0u);
        }
    }
}

// No router knows the first part. A sound request that was running is answered: the part is accepted from then on.
BOOST_AUTO_TEST_CASE(answerEndsTheRefusalOfASoundPart)
{
    Routers routers(2);
    for (size_t n = 0; n < 3; ++n)
        routers.watches[n % 2].recordCrash({Common, Crashing}, 0, "e" + std::to_string(n), 1, Start);
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Common}) == 2u);
    routers.watches[1].recordAnswer({Common, Rare}, Start);
    BOOST_TEST(!routers.watches[1].shouldRefuse({Common}));
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Common}) == 0u);
    BOOST_TEST(routers.refusing({Crashing}) == 2u);
}

// A part of sound requests is interrupted in three crashes, which another part explains: five crashes have that in common.
BOOST_AUTO_TEST_CASE(partInFewerCrashesThanTheCauseIsNotRefused)
{
    Routers routers(2);
    for (size_t n = 0; n < 5; ++n) {
        const std::string endpoint = "e" + std::to_string(n);
        routers.watches[0].recordCrash({Crashing}, 0, endpoint, 1, Start);
        if (n < 3)
            routers.watches[1].recordCrash({Rare}, 0, endpoint, 1, Start);
    }
    routers.exchange(Start);
    BOOST_TEST(routers.refusing({Crashing}) == 2u);
    BOOST_TEST(routers.refusing({Rare}) == 0u);
}

// An endpoint that crashes does so when it begins to answer the request.
BOOST_AUTO_TEST_CASE(requestThatHasBroughtManyEventsIsNoSuspect)
{
    CrashingParts watch;
    for (int n = 0; n < 5; ++n)
        watch.recordCrash({Rare}, 20, "e" + std::to_string(n), 1, Start);
    BOOST_TEST(!watch.shouldRefuse({Rare}));
}

BOOST_AUTO_TEST_CASE(refusalEndsWithTheReports)
{
    Routers routers(2);
    for (int n = 0; n < 3; ++n)
        routers.watches[0].recordCrash({Crashing}, 0, "e" + std::to_string(n), 1, Start);
    for (Time now = Start; now < Start + QuarantineDuration; now += Millis(10000)) {
        routers.exchange(now);
        BOOST_TEST(routers.refusing({Crashing}) == 2u);
    }
    // What a router has heard from another one does not prolong it.
    for (Time now = Start + QuarantineDuration; now < Start + 3 * QuarantineDuration; now += Millis(10000)) {
        routers.exchange(now);
        BOOST_TEST(routers.refusing({Crashing}) == 0u);
    }
}

// Guards against messages that grow without bound when many endpoints crash with many requests.
BOOST_AUTO_TEST_CASE(reportsAreBounded)
{
    BOOST_TEST(rc::check([](const std::vector<uint16_t> &parts, uint8_t endpoints) {
        CrashingParts watch;
        for (const uint16_t it : parts) {
            for (int n = 0; n < endpoints; ++n)
                watch.recordCrash({PromptPartId(it)}, 0, "e" + std::to_string(n), 1, Start);
        }
        pb::RouterState state;
        watch.addReports(state, Start);
        RC_ASSERT(state.ByteSizeLong() < 8000u);
    }));
}

// Load pattern: ten routers, twelve engines with a batch of requests each. One request in ten has the part that crashes, and is
// sent to any router; the others share the first part, and some have a part of their own that later requests repeat.
BOOST_AUTO_TEST_CASE(causeIsFoundAmongTheRequestsOfWholeBatches)
{
    BOOST_TEST(rc::check([](uint64_t seed) {
        std::mt19937_64 random(seed);
        Routers routers(10);
        routers.watches[random() % 10].recordAnswer({Common}, Start);
        size_t crashesOfTheCause = 0;
        uint64_t nextSession = 100;
        for (uint64_t crash = 0; crash < 12; ++crash) {
            const Time now = Start + Millis(int64_t(crash) * 700);
            if (routers.refusing({Crashing}) == routers.watches.size())
                break;
            ++crashesOfTheCause;
            // Sound requests that end between the crashes.
            for (int n = 0; n < 10; ++n)
                routers.watches[random() % 10].recordAnswer({Common, PromptPartId(100 + random() % 60)}, now);
            const std::string endpoint = "e" + std::to_string(crash % 12);
            routers.watches[random() % 10].recordCrash({Common, Crashing}, 0, endpoint, 1 + crash / 12, now);
            for (int n = 0; n < 30; ++n) {
                nextSession += random() % 4 == 0 ? 1 : 0;
                const PromptPartId session(100 + (nextSession + random() % 60) % 160);
                routers.watches[random() % 10].recordCrash({Common, session}, random() % 12, endpoint, 1 + crash / 12, now);
            }
            routers.exchange(now);
        }
        RC_ASSERT(crashesOfTheCause <= 4u);
        RC_ASSERT(routers.refusing({Common}) == 0u);
    }));
}

// Guards against reports that fill the links of a large system: 60 endpoints crash with 20 sound requests each, whose parts most of 300
// routers have answered. Each change of a router's state is sent to all routers.
BOOST_AUTO_TEST_CASE(reportsOfManyRoutersSettle)
{
    constexpr size_t routers = 300;
    constexpr size_t restarted = 60; // shortly before: they know of no sound part yet
    constexpr uint64_t parts = 1000;
    constexpr Millis interval{250};
    constexpr int rounds = 40;
    constexpr double maxBytesPerSecond = 29000; // the traffic of a host for control
    std::mt19937_64 random(1);
    std::vector<CrashingParts> watches(routers);
    for (size_t n = restarted; n < routers; ++n) {
        for (uint64_t part = 1; part <= parts; ++part)
            watches[n].recordAnswer({PromptPartId(part)}, Start);
    }
    for (size_t endpoint = 0; endpoint < 60; ++endpoint) {
        for (int n = 0; n < 20; ++n) {
            const Parts prompt{PromptPartId(1 + random() % parts), PromptPartId(1 + random() % parts)};
            watches[random() % routers].recordCrash(prompt, 0, "e" + std::to_string(endpoint), 1, Start);
        }
    }
    Registry registry(HeartbeatTimeouts{EndpointLivenessTimeout, RouterLivenessTimeout}, Start);
    std::vector<std::string> sent(routers);
    size_t bytes = 0;
    size_t changesAtTheEnd = 0;
    for (int round = 0; round < rounds; ++round) {
        const Time now = Start + round * interval;
        for (size_t n = 0; n < routers; ++n) {
            watches[n].recordAnswer({PromptPartId(1 + random() % parts)}, now);
            pb::RouterState state;
            watches[n].addReports(state, now);
            for (pb::PartCrash &it : *state.mutable_part_crashes())
                it.clear_age_ms();
            const std::string reports = state.SerializeAsString();
            if (reports != sent[n]) {
                bytes += reports.size();
                changesAtTheEnd += round >= rounds - 8 ? 1 : 0;
                sent[n] = reports;
            }
            state.set_router(std::to_string(n));
            state.set_incarnation(1);
            state.set_sequence(uint64_t(round) + 1);
            registry.merge(state, now);
        }
        for (size_t n = 0; n < routers; ++n)
            watches[n].update(registry, std::to_string(n), now);
    }
    BOOST_TEST(double(bytes) < maxBytesPerSecond * rounds * double(interval.count()) / 1000);
    BOOST_TEST(changesAtTheEnd < routers / 10);
}
