// Tests of routers and control replicas that are stopped while callers and operators go on sending requests to them.
#define BOOST_TEST_MODULE stop
#include "rawcaller.h"
#include "system.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <mutex>

using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 27600;
constexpr Millis RouterGrace{14000}; // the lists of router addresses expire after 8 s
constexpr int StreamEvents = 1200; // 24 s: the stream ends after the grace period
constexpr Millis ControlStopTime{12000}; // 1.5 s for the hand-over, 5 s for a change, 5 s until it is in force, 0.5 s for gRPC

// A system of three control replicas, two routers and a service, which has answered its first request.
struct RunningSystem : System {
    explicit RunningSystem(const std::string &name)
        : System(name, FirstPort)
    {
        for (const int id : {1, 2, 3})
            startControl(id);
        for (const int id : {1, 2})
            startRouter(id, int(RouterGrace.count()));
        startService(1);
        startEngine(1, {"--token-ms", "20"});
        bootstrap();
        BOOST_REQUIRE(eventually([&] { return callService(1, newIdempotencyKey("warm-up"), "x").status == 200; }));
    }
    // Sends SIGTERM and returns how long the process went on; kills it after `limit`.
    Millis stop(const std::string &process, Millis limit)
    {
        const Clock::time_point signalledAt = Clock::now();
        signal(process, SIGTERM);
        std::atomic<bool> ended = false;
        std::thread killer([&] {
            if (!eventually([&] { return ended.load(); }, limit))
                signal(process, SIGKILL);
        });
        const siginfo_t info = waitWithoutReaping(process);
        ended = true;
        killer.join();
        BOOST_TEST((info.si_code == CLD_EXITED && info.si_status == 0), process << " was killed");
        wait(process);
        return std::chrono::duration_cast<Millis>(Clock::now() - signalledAt);
    }
};

// Callers that send the same request until the server refuses connections, half of them on connections that they keep.
class Callers
{
public:
    Callers(int port, int threads, std::function<std::string()> request)
        : m_port(port)
        , m_request(std::move(request))
    {
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i] { run(i % 2 == 0); });
    }
    void join()
    {
        for (std::thread &it : m_threads)
            it.join();
    }
    std::atomic<int> answered{0};
    std::atomic<int> refused{0}; // with 503
    std::atomic<int> refusedWithoutAdvice{0}; // without "not_run" and Retry-After
    std::atomic<int> unread{0};
    std::atomic<int> cut{0};
    std::atomic<int> closedAfterAnswer{0}; // connections that the last answer had told their callers to keep
    std::string cuts; // after join()

private:
    void run(bool keep)
    {
        Connection connection("127.0.0.1", m_port);
        while (true) {
            const CallResult result = connection.call(m_request(), false);
            if (result.ending == Ending::NotSent && !connection.open()) {
                closedAfterAnswer += connection.closedAfterAnswer();
                return;
            }
            answered += result.ending == Ending::Answered ? 1 : 0;
            unread += result.ending == Ending::Unread ? 1 : 0;
            if (result.ending == Ending::Answered && result.status == 503) {
                ++refused;
                const bool advice
                    = result.body.find("not_run") != std::string::npos && result.head.find("Retry-After: ") != std::string::npos;
                refusedWithoutAdvice += advice ? 0 : 1;
                std::this_thread::sleep_for(Millis(20));
            }
            if (result.ending == Ending::Cut) {
                ++cut;
                const std::lock_guard lock(m_mutex);
                cuts += result.detail + "\n";
            }
            if (!keep)
                connection.close();
        }
    }

    int m_port;
    std::function<std::string()> m_request;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against a router that callers keep from ending: it is then killed, which cuts all its requests.
BOOST_AUTO_TEST_CASE(stoppedRouterEndsWhileCallersGoOnSending)
{
    RunningSystem system("routerstop");
    system.scriptService(1, Json{{"delay_ms", 200}});
    Callers callers(system.routerPort(1), 12, [] {
        return requestText("GET", "/services/catalogue/x", "", "Authorization: Bearer caller-token\r\nRoserail-Deadline-Ms: 3000\r\n");
    });
    std::this_thread::sleep_for(Millis(500));
    const Millis stopTime = system.stop("router-1", RouterGrace);
    callers.join();
    BOOST_TEST_MESSAGE(fmt::format("stopped after {} ms, answered {}, refused {}, unread {}, cut {}, closed after an answer {}",
                                   stopTime.count(), callers.answered.load(), callers.refused.load(), callers.unread.load(),
                                   callers.cut.load(), callers.closedAfterAnswer.load()));
    BOOST_TEST(callers.cut == 0, callers.cuts);
    BOOST_TEST(callers.closedAfterAnswer == 0);
    BOOST_TEST(callers.refusedWithoutAdvice == 0);
    BOOST_TEST(callers.answered - callers.refused > 100);
}

// Guards against a router that waits for a silent endpoint until it is killed: the caller of a sale, which may not be repeated, must
// learn that its outcome is unknown.
BOOST_AUTO_TEST_CASE(stoppedRouterAnswersTheCallersOfASilentEndpoint)
{
    RunningSystem system("routersilent");
    system.scriptService(1, Json{{"delay_ms", 60000}});
    CallerResponse sale;
    std::thread caller([&] { sale = system.callService(1, newIdempotencyKey("sale"), "x", 60000); });
    CallerResponse stream;
    std::thread reader([&] { stream = system.stream(1, "small", "hello", StreamEvents, 60000); });
    std::this_thread::sleep_for(Millis(1000));
    const Millis stopTime = system.stop("router-1", RouterGrace);
    caller.join();
    reader.join();
    BOOST_TEST_MESSAGE(fmt::format("stopped after {} ms, sale: {} {}, stream: {} {} events", stopTime.count(), sale.status, sale.error,
                                   stream.error, stream.contents.size()));
    BOOST_TEST(sale.error == "outcome_unknown");
    // The caller may resume the stream at another router.
    BOOST_TEST(stream.error == "incomplete");
    BOOST_TEST(system.resume(2, stream.lastId).contents.size() > 0u);
}

struct StopCase {
    const char *name;
    bool leader;
};
std::ostream &operator<<(std::ostream &out, const StopCase &it)
{
    return out << it.name;
}
const std::vector<StopCase> StopCases{{"leader", true}, {"follower", false}};

// Guards against a stopped control replica that cuts its operators, that operators keep from ending, or that closes a connection after an
// answer which told its caller to keep it: a change that is sent then is not read.
BOOST_DATA_TEST_CASE(stoppedControlReplicaAnswersItsOperators, bdata::make(StopCases), stopCase)
{
    RunningSystem system("controlstop");
    const int leader = system.waitForLeader();
    const int stopped = stopCase.leader ? leader : leader % 3 + 1;
    Callers readers(system.controlPort(stopped), 4, [] { return requestText("GET", "/status", "", ""); });
    std::atomic<int> changes{0};
    Callers writers(system.controlPort(stopped), 4, [&] {
        return requestText("POST", fmt::format("/document?change_id=c{}", ++changes), "sections: {}\n",
                           "Authorization: Bearer root-token\r\n");
    });
    std::this_thread::sleep_for(Millis(1000));
    const Millis stopTime = system.stop(fmt::format("control-{}", stopped), ControlStopTime);
    readers.join();
    writers.join();
    const int closedAfterAnswer = readers.closedAfterAnswer + writers.closedAfterAnswer;
    BOOST_TEST_MESSAGE(fmt::format("{}: stopped after {} ms, reads answered {}, unread {}, cut {}, writes answered {}, unread {}, cut {}, "
                                   "closed after an answer {}",
                                   stopCase.name, stopTime.count(), readers.answered.load(), readers.unread.load(), readers.cut.load(),
                                   writers.answered.load(), writers.unread.load(), writers.cut.load(), closedAfterAnswer));
    BOOST_TEST(readers.cut + writers.cut == 0, readers.cuts + writers.cuts);
    BOOST_TEST(closedAfterAnswer == 0);
    BOOST_TEST(readers.answered > 100);
}
