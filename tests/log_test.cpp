// Tests of logging: the rate limit, which lines are dropped first, and the setting of the level of detail.
#define BOOST_TEST_MODULE log
#include "protocol/hostsettings.h"
#include "protocol/log.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

BOOST_AUTO_TEST_CASE(linesAreRateLimited)
{
    BOOST_TEST(rc::check("lines are rate-limited", [] {
        LogRateLimiter limiter;
        const Time start(Millis(1000));
        Time now = start;
        double taken = 0;
        for (int n = 0; n < 4000; ++n) {
            now += Millis(*rc::gen::inRange(0, 4));
            taken += limiter.tryAcquire(now, 0) ? 1 : 0;
            const double seconds = double((now - start).count()) / 1000;
            RC_ASSERT(taken <= LogLinesBurst + seconds * LogLinesPerSecond + 1);
        }
    }));
}

BOOST_AUTO_TEST_CASE(decisionsAreDroppedBeforeOutcomesAndEvents)
{
    LogRateLimiter limiter;
    const Time now(Millis(1000));
    while (limiter.tryAcquire(now, LogLinesBurst / 2)) { }
    BOOST_TEST(!limiter.tryAcquire(now, LogLinesBurst / 2));
    int acquired = 0;
    while (limiter.tryAcquire(now, 0))
        ++acquired;
    BOOST_TEST(acquired >= LogLinesBurst / 2 - 1);
    BOOST_TEST(limiter.tryAcquire(now + Millis(1000), 0));
}

namespace
{

std::string settingsWith(const std::string &log)
{
    return "id: e1\nzone: a\naddress: 127.0.0.1\nseeds: [\"127.0.0.1:9000\"]\ninternalPort: 9100\nmetrics: \"127.0.0.1:9004\"\nlisten: "
           "\"127.0.0.1:9001\"\n"
           "ready: \"127.0.0.1:9002\"\ndirectory: \"127.0.0.1:9003\"\n"
        + log;
}

struct DetailRow {
    const char *text;
    LogDetail detail;
};

std::ostream &operator<<(std::ostream &out, const DetailRow &row)
{
    return out << row.text;
}

const DetailRow DetailRows[] = {
    {"", LogDetail::Decisions},
    {"log: decisions\n", LogDetail::Decisions},
    {"log: outcomes\n", LogDetail::Outcomes},
    {"log: events\n", LogDetail::Events},
};

} // namespace

BOOST_DATA_TEST_CASE(detailIsReadFromSettings, bdata::make(DetailRows), row)
{
    const Result<EntrySettings> settings = parseEntrySettings(settingsWith(row.text), "f");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST((settings.value().host.log == row.detail));
    // The output of --check can be parsed again.
    const Result<EntrySettings> again = parseEntrySettings(toYaml(settings.value()), "f");
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again.value().host.log == row.detail));
}

// An absent time means that keys are accepted without an end, as at sites that set none.
BOOST_AUTO_TEST_CASE(timeForWhichKeysAreAcceptedIsReadFromSettings)
{
    BOOST_TEST(!parseEntrySettings(settingsWith(""), "f").value().keysValidFor);
    const EntrySettings settings = parseEntrySettings(settingsWith("keysValidFor: 5000ms\n"), "f").value();
    BOOST_TEST(settings.keysValidFor->count() == 5000);
    BOOST_TEST(parseEntrySettings(toYaml(settings), "f").value().keysValidFor->count() == 5000);
    for (const char *it : {"keysValidFor: true\n", "keysValidFor: -1s\n", "keyValidFor: 5s\n"})
        BOOST_TEST(parseEntrySettings(settingsWith(it), "f").has_error(), it);
}

BOOST_AUTO_TEST_CASE(errorForUnknownDetailListsValidValues)
{
    const Result<EntrySettings> settings = parseEntrySettings(settingsWith("log: loud\n"), "f");
    BOOST_REQUIRE(settings.has_error());
    BOOST_TEST(settings.error().message.find("events, outcomes or decisions") != std::string::npos);
}
