// Tests of the quotas of client accounts with the programs themselves, under failures: the limit holds over all entry hosts, and what is
// within it is served again.
#define BOOST_TEST_MODULE fleet_quotas
#include "fleet.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr int FirstPort = 27000;
constexpr Ms Window{2000};
constexpr double Overshoot = 0.1;
constexpr double Slack = 5; // requests
constexpr int CallersPerEntry = 4;
const std::string Key = "account-key";
const std::vector<int> Entries{1, 2};

struct Limit {
    double perSecond = 0;
    double burst = 0;
    double most() const
    {
        return (perSecond * double(Window.count()) / 1000 + burst) * (1 + Overshoot) + Slack;
    }
};
constexpr Limit Usual{8, 4};
constexpr Limit Lowered{2, 1};

std::string configuration(uint64_t version, const Limit &limit)
{
    Json content = Json::parse(Fleet::configurationText(version));
    content["tenants"] = Json::array(
        {Json{{"name", "alpha"}, {"api_keys", {Key}}, {"unit", "request"}, {"rate_per_s", limit.perSecond}, {"burst", limit.burst}}});
    return content.dump();
}

struct Answer {
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    int status = 0; // 0: none
    std::string retryAfter;
};

// Callers of one account that send as fast as they are answered, until they are destroyed.
class Callers
{
public:
    explicit Callers(Fleet &fleet)
    {
        for (const int entry : Entries) {
            for (int n = 0; n < CallersPerEntry; ++n)
                m_threads.emplace_back([this, &fleet, entry, n] { run(fleet, entry, n); });
        }
    }
    ~Callers()
    {
        m_stop = true;
        for (std::thread &it : m_threads)
            it.join();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;
    std::vector<Answer> answers() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answers;
    }

private:
    void run(Fleet &fleet, int entry, int n)
    {
        for (int i = 0; !m_stop; ++i) {
            Answer answer;
            answer.sentAt = Clock::now();
            const httplib::Result result = fleet.sendRequest(entry, "/u/x", fmt::format("q-{}-{}-{}", entry, n, i), "", {{"X-Key", Key}});
            answer.endedAt = Clock::now();
            answer.status = result ? result->status : 0;
            answer.retryAfter = result ? result->get_header_value("Retry-After") : "";
            {
                const std::lock_guard lock(m_mutex);
                m_answers.push_back(answer);
            }
            std::this_thread::sleep_for(Ms(2));
        }
    }
    mutable std::mutex m_mutex;
    std::vector<Answer> m_answers;
    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
};

// Returns the highest number of served requests that were sent and answered within one window, as from `from`.
size_t mostInAWindow(std::vector<Answer> answers, Clock::time_point from)
{
    std::erase_if(answers, [from](const Answer &it) { return it.status != 200 || it.sentAt < from; });
    size_t most = 0;
    for (const Answer &first : answers) {
        const auto inside = [&](const Answer &it) {
            return it.sentAt >= first.sentAt && it.endedAt <= first.sentAt + Window;
        };
        most = std::max(most, size_t(std::count_if(answers.begin(), answers.end(), inside)));
    }
    return most;
}

size_t count(const std::vector<Answer> &answers, int status, Clock::time_point from)
{
    return size_t(
        std::count_if(answers.begin(), answers.end(), [&](const Answer &it) { return it.status == status && it.sentAt >= from; }));
}

struct Failure {
    const char *name;
    void (*cause)(Fleet &fleet);
    Limit after; // in force at the end
};
std::ostream &operator<<(std::ostream &os, const Failure &failure)
{
    return os << failure.name;
}

void put(Fleet &fleet, uint64_t version, const Limit &limit)
{
    BOOST_REQUIRE(eventually([&] {
        const httplib::Result result = fleet.putText(1, configuration(version, limit));
        BOOST_TEST_MESSAGE((result ? fmt::format("{} {}", result->status, result->body) : "no answer"));
        return result && result->status == 200;
    }));
}

const Failure Failures[] = {
    {"leader killed",
     [](Fleet &fleet) {
         const int leader = fleet.leader();
         fleet.kill(fmt::format("keeper-{}", leader));
         std::this_thread::sleep_for(Ms(2000));
         fleet.startKeeper(leader, false);
     },
     Usual},
    {"leader frozen",
     [](Fleet &fleet) {
         const std::string leader = fmt::format("keeper-{}", fleet.leader());
         fleet.signal(leader, SIGSTOP);
         std::this_thread::sleep_for(Ms(2500));
         fleet.signal(leader, SIGCONT);
     },
     Usual},
    {"router frozen",
     [](Fleet &fleet) {
         fleet.signal("entry-1", SIGSTOP);
         std::this_thread::sleep_for(Window * 2);
         fleet.signal("entry-1", SIGCONT);
     },
     Usual},
    {"router killed",
     [](Fleet &fleet) {
         fleet.kill("entry-1");
         fleet.startEntry(1);
     },
     Usual},
    {"limit lowered", [](Fleet &fleet) { put(fleet, 12, Lowered); }, Lowered},
};

} // namespace

// Callers send far more than the limit before, during and after the failure. At no time do more run than the bound; afterwards the limit
// is used at both hosts, and what is refused is told when to come back.
BOOST_DATA_TEST_CASE(limitHoldsOverAllHosts, bdata::make(Failures) ^ bdata::xrange(int(std::size(Failures))), failure, index)
{
    Fleet fleet(fmt::format("quotas-{}", index), FirstPort + 100 * index);
    fleet.setHostSettings(fmt::format("quotaWindow: {}ms\nquotaOvershoot: {}\nquotaSlack: {}\n", Window.count(), Overshoot, Slack));
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    for (const int n : Entries)
        fleet.startEntry(n);
    fleet.startRunner(1, "plain", "");
    put(fleet, 10, Usual);
    BOOST_REQUIRE(fleet.waitUntilReady(Entries));
    BOOST_REQUIRE(fleet.waitForEndpoints(Entries, 1));
    Callers callers(fleet);
    const auto sinceThen = [&](int status, Clock::time_point from) {
        return count(callers.answers(), status, from);
    };
    const Clock::time_point begin = Clock::now();
    BOOST_TEST(eventually([&] { return sinceThen(200, begin) > 10 && sinceThen(429, begin) > 10; }));
    std::this_thread::sleep_for(Window);
    failure.cause(fleet);
    // By then the version is in force everywhere, and one window has passed.
    std::this_thread::sleep_for(Window + Ms(2500));
    const Clock::time_point after = Clock::now();
    BOOST_TEST(eventually([&] { return sinceThen(200, after) > 5 && sinceThen(429, after) > 10; }));
    std::this_thread::sleep_for(Window);
    const std::vector<Answer> answers = callers.answers();
    BOOST_TEST(mostInAWindow(answers, begin) <= Usual.most());
    BOOST_TEST(mostInAWindow(answers, after) <= failure.after.most());
    BOOST_TEST(std::all_of(answers.begin(), answers.end(),
                           [](const Answer &it) { return it.status != 429 || std::atof(it.retryAfter.c_str()) > 0; }));
    size_t known = 0;
    for (const int n : {1, 2, 3})
        known += fleet.started(fmt::format("keeper-{}", n)) && fleet.keeperDump(n)["process"]["quotas"]["accounts"].count("alpha");
    BOOST_TEST(known > 0u);
    BOOST_TEST(fleet.entryDump(2)["process"]["quotas"]["accounts"].count("alpha") == 1u);
}
