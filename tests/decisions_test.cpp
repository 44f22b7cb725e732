// Tests of retry decisions, dispatching, keep times, storage and parsers, without processes.
#define BOOST_TEST_MODULE decisions
#include "coordination/dispatcher.h"
#include "coordination/keepwarm.h"
#include "coordination/retry.h"
#include "coordination/stopschedule.h"
#include "protocol/callerrequest.h"
#include "protocol/metrics.h"
#include "protocol/sse.h"
#include "state/tunables.h"
#include "transport/storage.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <rapidcheck.h>
#include <sys/resource.h>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

const Time Now{Millis(1000000)};

pb::DirectoryEntry directoryEntry(const std::string &id, uint32_t capacity)
{
    pb::DirectoryEntry entry;
    entry.set_endpoint(id);
    entry.set_incarnation(1);
    entry.set_pool("pool");
    entry.set_capacity(capacity);
    entry.add_artifacts()->set_artifact("m");
    return entry;
}

QueuedRequest queuedRequest(uint64_t ticket, const std::string &caller, Millis allowed,
                            RequestClass requestClass = RequestClass::Interactive)
{
    QueuedRequest it;
    it.ticket = TicketId(ticket);
    it.caller = CallerId(caller);
    it.target = "m";
    it.requestClass = requestClass;
    it.deadline = Now + allowed;
    return it;
}

std::string temporaryFolder(const std::string &name)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / ("roserail-" + name + "-" + std::to_string(getpid()));
    std::filesystem::remove_all(path);
    return path.string();
}

pb::LogFrame frameWith(uint64_t index)
{
    pb::LogFrame frame;
    frame.add_entries()->set_index(index);
    frame.mutable_entries(0)->set_term(1);
    return frame;
}

struct StepRow {
    const char *name;
    bool idempotent;
    bool streaming;
    bool delivered;
    bool mayHaveRun;
    bool inTime;
    AttemptEnd end;
    ExchangeStep step;
};

std::ostream &operator<<(std::ostream &os, const StepRow &row)
{
    return os << row.name;
}

const std::vector<StepRow> StepRows{
    {"completed", false, false, false, true, true, AttemptEnd::Completed, ExchangeStep::Deliver},
    {"not sent, retried", false, false, false, false, true, AttemptEnd::NotSent, ExchangeStep::RetryElsewhere},
    {"not sent, too late", false, false, false, false, false, AttemptEnd::NotSent, ExchangeStep::RefuseNotRun},
    {"refused after another attempt ran", true, false, false, true, false, AttemptEnd::RefusedNotRun, ExchangeStep::EndIncomplete},
    {"refused after another attempt may have run", false, false, false, true, false, AttemptEnd::RefusedNotRun, ExchangeStep::EndUnknown},
    {"non-idempotent interrupted", false, false, false, true, true, AttemptEnd::Interrupted, ExchangeStep::EndUnknown},
    {"non-idempotent endpoint lost", false, false, false, true, true, AttemptEnd::EndpointLost, ExchangeStep::EndUnknown},
    {"stream interrupted", true, true, true, true, true, AttemptEnd::Interrupted, ExchangeStep::Resume},
    {"stream's endpoint lost after output", true, true, true, true, true, AttemptEnd::EndpointLost, ExchangeStep::EndIncomplete},
    {"stream's endpoint lost before output", true, true, false, true, true, AttemptEnd::EndpointLost, ExchangeStep::RetryElsewhere},
    {"idempotent interrupted", true, false, false, true, true, AttemptEnd::Interrupted, ExchangeStep::RetryElsewhere},
    {"idempotent too late", true, false, false, true, false, AttemptEnd::Interrupted, ExchangeStep::EndDeadlineExceeded},
};

} // namespace

BOOST_DATA_TEST_CASE(nextStepAfterAnAttempt, bdata::make(StepRows), row)
{
    RetryBudget budget;
    budget.requestStarted();
    ExchangeState state;
    state.idempotent = row.idempotent;
    state.streaming = row.streaming;
    state.delivered = row.delivered;
    state.mayHaveRun = row.mayHaveRun;
    state.attempts = 1;
    state.deadline = row.inTime ? Now + Millis(1000) : Now;
    BOOST_TEST((nextExchangeStep(state, row.end, Now, budget) == row.step));
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheirBudget)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.requestStarted();
        retries += budget.tryRetry() ? 1 : 0;
    }
    BOOST_TEST(retries <= int(1000 * tunables::RetryBudgetRatio + tunables::RetryBudgetBurst));
}

// Every admitted request is granted or refused exactly once, capacity is not exceeded, and no request is granted after its
// deadline.
BOOST_AUTO_TEST_CASE(everyAdmittedRequestGetsExactlyOneDecision)
{
    const bool passed = rc::check("one decision for each request", [] {
        Dispatcher dispatcher("pool");
        Time now = Now;
        dispatcher.setLease(now + Millis(5000));
        std::map<TicketId, int> answers;
        std::map<TicketId, QueuedRequest> admitted;
        std::vector<Grant> running;
        uint64_t next = 1;
        const auto take = [&](const Decisions &decisions) {
            for (const Grant &it : decisions.grants) {
                ++answers[it.ticket];
                RC_ASSERT(now < admitted[it.ticket].deadline);
                running.push_back(it);
            }
            for (const Refusal &it : decisions.refusals) {
                ++answers[it.ticket];
                RC_ASSERT(it.error.retryAfterMs > 0);
            }
            RC_ASSERT(running.size() <= 6u);
        };
        for (int i = 0; i < 60; ++i) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                dispatcher.setEndpoint(directoryEntry(*rc::gen::element<std::string>("e1", "e2"), 3));
                break;
            case 1:
            case 2: {
                const QueuedRequest it = queuedRequest(next++, *rc::gen::element<std::string>("a", "b"), Millis(*rc::gen::inRange(1, 800)),
                                                       *rc::gen::element(RequestClass::Interactive, RequestClass::Overnight));
                QueuedRequest copy = it;
                copy.deadline = now + Millis(*rc::gen::inRange(1, 800));
                if (dispatcher.admit(copy, now).has_value())
                    admitted[it.ticket] = copy;
                break;
            }
            case 3:
                if (!running.empty()) {
                    dispatcher.finish(running.back(), admitted[running.back().ticket], AttemptEnd::Completed, Millis(100), now);
                    running.pop_back();
                }
                break;
            default:
                now += Millis(*rc::gen::inRange(1, 300));
                break;
            }
            take(dispatcher.decide(now));
        }
        now += Millis(10000);
        take(dispatcher.decide(now));
        RC_ASSERT(dispatcher.queueLength() == 0u);
        for (const std::pair<const TicketId, QueuedRequest> &it : admitted)
            RC_ASSERT(answers[it.first] == 1);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(interactiveRequestsAreGrantedBeforeOvernightOnes)
{
    Dispatcher dispatcher("pool");
    dispatcher.setLease(Now + Millis(5000));
    for (uint64_t i = 1; i <= 20; ++i)
        BOOST_REQUIRE(dispatcher.admit(queuedRequest(i, "night", Millis(100), RequestClass::Overnight), Now).has_value());
    BOOST_REQUIRE(dispatcher.admit(queuedRequest(21, "day", Millis(900)), Now).has_value());
    dispatcher.setEndpoint(directoryEntry("e1", 4));
    const Decisions decisions = dispatcher.decide(Now);
    BOOST_REQUIRE(decisions.grants.size() == 4u);
    BOOST_TEST(decisions.grants[0].ticket.value() == 21u);
}

BOOST_AUTO_TEST_CASE(runningRequestsAreSharedFairlyAmongCallers)
{
    Dispatcher dispatcher("pool");
    dispatcher.setLease(Now + Millis(5000));
    for (uint64_t i = 1; i <= 20; ++i)
        BOOST_REQUIRE(dispatcher.admit(queuedRequest(i, "greedy", Millis(100)), Now).has_value());
    for (uint64_t i = 21; i <= 22; ++i)
        BOOST_REQUIRE(dispatcher.admit(queuedRequest(i, "modest", Millis(900)), Now).has_value());
    dispatcher.setEndpoint(directoryEntry("e1", 4));
    size_t modest = 0;
    for (const Grant &it : dispatcher.decide(Now).grants)
        modest += it.ticket.value() > 20 ? 1 : 0;
    BOOST_TEST(modest == 2u);
}

BOOST_AUTO_TEST_CASE(withoutALeaseRequestsAreRefusedNotRun)
{
    Dispatcher dispatcher("pool");
    dispatcher.setEndpoint(directoryEntry("e1", 4));
    dispatcher.setLease(Now);
    const Result<void> admitted = dispatcher.admit(queuedRequest(1, "a", Millis(900)), Now);
    BOOST_REQUIRE(admitted.has_error());
    BOOST_TEST((admitted.error().kind == ErrorKind::NotRun));
}

BOOST_AUTO_TEST_CASE(keepTimeFollowsIdlePauses)
{
    std::deque<Millis> regular(10, Millis(20000));
    // For a pause of 20 s, keeping the artifact loaded costs 20 and loading it again costs 50: the keep time is slightly longer
    // than the pause.
    BOOST_TEST((bestKeepTime(regular, 1, 50, Millis(3600000)) == Millis(25000)));
    std::deque<Millis> rare(10, Millis(3000000));
    BOOST_TEST((bestKeepTime(rare, 1, 50, Millis(3600000)) == Millis(0)));
    BOOST_TEST((bestKeepTime({}, 1, 50, Millis(3600000)) == Millis(50000)));
}

BOOST_AUTO_TEST_CASE(tornTailIsTruncatedAndADamagedFrameIsAnError)
{
    const bool passed = rc::check("torn and damaged frames", [] {
        std::string bytes = encodeFrame("one") + encodeFrame("two");
        const size_t whole = bytes.size();
        const std::string last = encodeFrame(std::string(*rc::gen::inRange(1, 200), 'x'));
        bytes += last.substr(0, *rc::gen::inRange<size_t>(0, last.size()));
        const Result<DecodedFrames> frames = decodeFrames(bytes, "log");
        RC_ASSERT(frames.has_value());
        RC_ASSERT(frames.value().payloads.size() == 2u);
        RC_ASSERT(frames.value().validBytes == whole);
        std::string damaged = encodeFrame("one") + encodeFrame("two") + encodeFrame("three");
        damaged[*rc::gen::inRange<size_t>(0, encodeFrame("one").size())] ^= char(*rc::gen::inRange(1, 255));
        const Result<DecodedFrames> stopped = decodeFrames(damaged, "log");
        RC_ASSERT(stopped.has_error());
        RC_ASSERT(stopped.error().kind == ErrorKind::DiskDamaged);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(storageKeepsSyncedEntriesAndRefusesForeignFolders)
{
    const std::string folder = temporaryFolder("storage");
    {
        std::unique_ptr<Storage> storage = std::move(Storage::open(folder, 1, 77).value());
        BOOST_TEST(storage->setClusterId(5).has_value());
        for (uint64_t i = 1; i <= 3; ++i)
            BOOST_TEST(storage->append(frameWith(i)).has_value());
        const Result<std::unique_ptr<Storage>> second = Storage::open(folder, 1, 78);
        BOOST_REQUIRE(second.has_error());
        BOOST_TEST((second.error().kind == ErrorKind::WrongDataFolder));
    }
    {
        std::unique_ptr<Storage> storage = std::move(Storage::open(folder, 1, 78).value());
        BOOST_TEST(storage->state().identity.identity().incarnation() == 77u);
        BOOST_TEST(storage->state().identity.cluster_id() == 5u);
        BOOST_TEST(storage->state().entries.size() == 3u);
        pb::Snapshot snapshot;
        snapshot.set_index(3);
        snapshot.set_term(1);
        pb::LogFrame rest;
        rest.mutable_hard_state()->set_term(1);
        BOOST_TEST(storage->saveSnapshot(snapshot, rest).has_value());
        BOOST_TEST(storage->append(frameWith(4)).has_value());
    }
    {
        std::unique_ptr<Storage> storage = std::move(Storage::open(folder, 1, 78).value());
        BOOST_TEST(storage->state().snapshot.index() == 3u);
        BOOST_TEST(storage->state().entries.size() == 1u);
    }
    const Result<std::unique_ptr<Storage>> foreign = Storage::open(folder, 2, 78);
    BOOST_REQUIRE(foreign.has_error());
    BOOST_TEST((foreign.error().kind == ErrorKind::WrongDataFolder));
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(writeFailureOnAFullDiskLosesNoEntries)
{
    const std::string folder = temporaryFolder("full");
    std::signal(SIGXFSZ, SIG_IGN);
    std::unique_ptr<Storage> storage = std::move(Storage::open(folder, 1, 77).value());
    BOOST_TEST(storage->append(frameWith(1)).has_value());
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit full{storage->logBytes() + 5, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &full);
    const Result<void> failed = storage->append(frameWith(2));
    setrlimit(RLIMIT_FSIZE, &before);
    BOOST_REQUIRE(failed.has_error());
    BOOST_TEST((failed.error().kind == ErrorKind::DiskFailure));
    BOOST_TEST(storage->append(frameWith(2)).has_value());
    storage.reset();
    storage = std::move(Storage::open(folder, 1, 77).value());
    BOOST_TEST(storage->state().entries.size() == 2u);
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(eventsAreParsedAlikeForAllChunkSizes)
{
    const bool passed = rc::check("chunks of any size", [] {
        const std::string text = ": hello\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\ndata: [DONE]\n\n";
        SseParser parser;
        std::vector<SseEvent> events;
        for (size_t at = 0; at < text.size();) {
            const size_t n = std::min(text.size() - at, *rc::gen::inRange<size_t>(1, 9));
            for (SseEvent &it : parser.feed(text.data() + at, n))
                events.push_back(std::move(it));
            at += n;
        }
        RC_ASSERT(events.size() == 4u);
        RC_ASSERT(events[1].id == "1" && events[1].data == "a");
        RC_ASSERT(events[2].id == "2" && events[2].data == "b\nc");
        RC_ASSERT(events[3].data == "[DONE]");
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(parsersHandleArbitraryText)
{
    const bool passed = rc::check("arbitrary text", [] {
        const std::string text = *rc::gen::arbitrary<std::string>();
        (void)parseResumeToken(text);
        (void)parseKeyTime(text);
        (void)parseModelRequest(text);
        (void)parseDeadline(text, Millis(5));
    });
    BOOST_TEST(passed);
    const ResumeToken token{EndpointId("e1"), 7, AttemptId("0af3"), 9, 11};
    BOOST_TEST(parseResumeToken(encodeResumeToken(token)).value().next == 11u);
    BOOST_TEST(parseKeyTime("018f0000-0000-7000-8000-000000000000").value() == 0x018f00000000u);
    BOOST_TEST(parseKeyTime("1700000000-x").value() == 1700000000000u);
    BOOST_TEST(parseKeyTime("018f0000-0000-4000-8000-000000000000").has_error());
}

BOOST_AUTO_TEST_CASE(histogramQuantileErrorIsAtMostAnEighth)
{
    Histogram histogram;
    for (uint64_t i = 1; i <= 10000; ++i)
        histogram.record(i);
    for (const double q : {0.5, 0.95, 0.99}) {
        const double estimate = double(histogram.quantile(q));
        BOOST_TEST(estimate >= q * 10000);
        BOOST_TEST(estimate <= q * 10000 * 1.125 + 1);
    }
}

// Guards against a host that takes requests which outlast its process, or stops listening while callers still have its address.
BOOST_AUTO_TEST_CASE(stopScheduleLeavesTimeForAnswers)
{
    for (const Millis grace : {Millis(3000), Millis(4000), Millis(8000), Millis(30000)}) {
        const StopSchedule schedule = stopSchedule(Now, grace);
        BOOST_TEST((schedule.exitAt < Now + grace));
        BOOST_TEST((schedule.answersBy < schedule.exitAt));
        BOOST_TEST((schedule.finishAt < schedule.answersBy));
        BOOST_TEST(schedule.mayBegin(schedule.answersBy));
        BOOST_TEST(!schedule.mayBegin(schedule.exitAt));
        const bool listsExpire = schedule.finishAt >= Now + tunables::ResolveTtl * 3;
        BOOST_TEST((listsExpire || grace < tunables::ResolveTtl * 3 + Millis(1500)));
    }
}
