// Tests of coroutines that throw: nothing else waits for their end, and no process replaces one that goes on without them.
#define BOOST_TEST_MODULE tasks
#include "platform/codec.h"
#include "protocol/metrics.h"
#include "transport/clock.h"
#include "transport/ordersender.h"
#include "transport/tasks.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <thread>
#include <unistd.h>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

struct NotStandard {
};

// How a task fails.
struct Failure {
    const char *name;
    bool suspends; // before it throws
    bool standard; // the exception is a std::exception
    const char *logged;
};

std::ostream &operator<<(std::ostream &out, const Failure &it)
{
    return out << it.name;
}

const std::vector<Failure> Failures{
    {"at once", false, true, "error=\"no good\""},
    {"after a pause", true, true, "error=\"no good\""},
    {"with another type", false, false, "error=\"an exception without a description\""},
};

Task<> fail(net::io_context &io, Failure failure)
{
    if (failure.suspends) {
        net::steady_timer timer(io, Millis(5));
        co_await timer.async_wait(net::use_awaitable);
    }
    if (failure.standard)
        throw std::runtime_error("no good");
    throw NotStandard();
}

Task<> failWithin(net::io_context &io, Failure failure, std::string)
{
    co_await fail(io, failure);
}

// Standard error, to which events are logged, until it is read.
class CapturedLog
{
public:
    CapturedLog()
    {
        std::fflush(stderr);
        ::dup2(::fileno(m_file), STDERR_FILENO);
    }
    ~CapturedLog()
    {
        restore();
        std::fclose(m_file);
        ::close(m_before);
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;
    std::string read()
    {
        restore();
        std::string text(size_t(std::ftell(m_file)), ' ');
        std::rewind(m_file);
        text.resize(std::fread(text.data(), 1, text.size(), m_file));
        return text;
    }

private:
    void restore()
    {
        std::fflush(stderr);
        ::dup2(m_before, STDERR_FILENO);
        std::fseek(m_file, 0, SEEK_END);
    }

    std::FILE *m_file = std::tmpfile();
    int m_before = ::dup(STDERR_FILENO);
};

size_t countOf(const std::string &text, const std::string &part)
{
    size_t n = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

// Decodes configurations like the platform's codec, but throws the first time.
class ThrowingCodec : public PlatformCodec
{
public:
    Call classify(std::string_view method, std::string_view target) const override
    {
        return m_codec.classify(method, target);
    }
    Result<RouteTable> decodeConfiguration(const std::string &body) const override
    {
        if (decoded++ == 0)
            throw std::runtime_error("no good");
        return m_codec.decodeConfiguration(body);
    }
    Result<pb::Announcement> decodeAnnouncement(const std::string &endpoint, const std::string &body) const override
    {
        return m_codec.decodeAnnouncement(endpoint, body);
    }
    std::string encodeAddresses(const std::vector<std::string> &addresses, Millis ttl) const override
    {
        return m_codec.encodeAddresses(addresses, ttl);
    }
    std::string encodeError(const Error &error) const override
    {
        return m_codec.encodeError(error);
    }
    RequestMetadata requestMetadata(const Lookup &header) const override
    {
        return m_codec.requestMetadata(header);
    }
    ResponseMetadata responseMetadata(int status, const Lookup &header) const override
    {
        return m_codec.responseMetadata(status, header);
    }
    bool isReserved(std::string_view name) const override
    {
        return m_codec.isReserved(name);
    }
    HeaderField admissionRankHeader(uint32_t rank) const override
    {
        return m_codec.admissionRankHeader(rank);
    }
    std::string_view apiKeyHeader() const override
    {
        return m_codec.apiKeyHeader();
    }
    bool isAccountHeader(std::string_view name) const override
    {
        return m_codec.isAccountHeader(name);
    }
    std::vector<HeaderField> forwardHeaders(const std::string &endpoint, Millis timeLeft, const AccountId &account) const override
    {
        return m_codec.forwardHeaders(endpoint, timeLeft, account);
    }
    std::string orderPath() const override
    {
        return m_codec.orderPath();
    }
    std::string encodeOrder(const ArtifactOrder &order) const override
    {
        return m_codec.encodeOrder(order);
    }
    std::vector<HeaderField> orderHeaders(const ArtifactOrder &order) const override
    {
        return m_codec.orderHeaders(order);
    }
    OrderAnswer decodeOrderAnswer(int status) const override
    {
        return m_codec.decodeOrderAnswer(status);
    }
    std::string reportPath() const override
    {
        return m_codec.reportPath();
    }
    Result<EngineReport> decodeReport(const std::string &body) const override
    {
        return m_codec.decodeReport(body);
    }
    mutable std::atomic<int> decoded{0};

private:
    const PlatformCodec &m_codec = platform::codec();
};

// A folder that is removed with its contents.
struct Folder {
    std::filesystem::path path = std::filesystem::temp_directory_path() / fmt::format("roserail-tasks-{}", ::getpid());
    ~Folder()
    {
        std::filesystem::remove_all(path);
    }
};

// Opens the only replica of a cluster, and waits until it leads and has a configuration.
std::unique_ptr<ReplicaNode> openLeader(const Folder &folder)
{
    Result<std::unique_ptr<Storage>> storage = Storage::open(folder.path, 1, 1);
    BOOST_REQUIRE(storage.has_value());
    pb::Member self;
    self.set_peer_address("127.0.0.1:1");
    std::unique_ptr<ReplicaNode> node = std::make_unique<ReplicaNode>(std::move(storage.value()), self, std::map<uint64_t, std::string>(),
                                                                      tunables::SnapshotEveryEntries, 1);
    pb::Membership membership;
    pb::Member &member = *membership.add_members();
    member.set_peer_address("127.0.0.1:1");
    member.set_voter(true);
    *member.mutable_identity() = toProto(Replica{1, 1});
    BOOST_REQUIRE(node->bootstrap(7, membership).has_value());
    const Time end = monotonicNow() + Millis(5000);
    while (!node->status().leads(monotonicNow()) && monotonicNow() < end)
        std::this_thread::sleep_for(Millis(10));
    pb::Command command;
    command.mutable_put_configuration()->mutable_configuration()->set_version(1);
    command.mutable_put_configuration()->mutable_configuration()->set_content(R"({"version": 1, "services": [], "routes": []})");
    const bool stored = node->execute(std::move(command), Millis(5000)).has_value();
    BOOST_REQUIRE(stored);
    return node;
}

} // namespace

// Guards against a coroutine that ends by an exception without a log line, and leaves behind what it would have removed.
BOOST_DATA_TEST_CASE(failedTaskIsLogged, bdata::make(Failures), failure)
{
    net::io_context io(1);
    CapturedLog log;
    bool cleaned = false;
    spawn(io, "probe", failWithin(io, failure, "a longer text than fits into a string"), [&cleaned] { cleaned = true; });
    BOOST_CHECK_NO_THROW(io.run());
    const std::string text = log.read();
    BOOST_TEST(cleaned);
    BOOST_TEST(text.find(fmt::format("event=task_failed task=probe {}", failure.logged)) != std::string::npos);
}

// Guards against a loop that stops its work for good when one iteration throws.
BOOST_DATA_TEST_CASE(loopGoesOnAfterAFailure, bdata::make(Failures), failure)
{
    net::io_context io(1);
    CapturedLog log;
    int iterations = 0;
    int cleanups = 0;
    const auto iteration = [&]() -> Task<bool> {
        if (++iterations == 2)
            co_await fail(io, failure);
        co_return iterations < 4;
    };
    spawn(io, "loop", repeat(io, "loop", iteration, [&cleanups] { ++cleanups; }));
    BOOST_CHECK_NO_THROW(io.run());
    const std::string text = log.read();
    BOOST_TEST(iterations == 4);
    BOOST_TEST(cleanups == 1);
    BOOST_TEST(countOf(text, fmt::format("event=task_failed task=loop {}", failure.logged)) == 1u);
}

// Guards against a loop that occupies the processor, and fills the log, because each iteration throws.
BOOST_AUTO_TEST_CASE(loopPausesAfterEachFailure)
{
    net::io_context io(1);
    CapturedLog log;
    int iterations = 0;
    const Counter &failures = metrics().counter("roserail_tasks_failed_total{task=\"bad_loop\"}");
    const auto iteration = [&]() -> Task<bool> {
        ++iterations;
        co_await fail(io, Failures.front());
        co_return true;
    };
    spawn(io, "bad_loop", repeat(io, "bad_loop", iteration));
    io.run_for(5 * tunables::LoopRetryDelay);
    BOOST_TEST(iterations >= 2);
    BOOST_TEST(iterations <= 6);
    BOOST_TEST(failures.value() == uint64_t(iterations));
    BOOST_TEST(countOf(log.read(), "event=task_failed") == size_t(iterations));
}

// Guards against a leader that sends no orders any longer after one exception, and leads on.
BOOST_AUTO_TEST_CASE(leaderPlansOnAfterAnException)
{
    const Folder folder;
    const std::unique_ptr<ReplicaNode> node = openLeader(folder);
    LiveTable table(HeartbeatTimeouts{tunables::EndpointLivenessTimeout, tunables::RouterLivenessTimeout}, monotonicNow());
    const ThrowingCodec codec;
    net::io_context io(1);
    OrderSender sender(io, codec, table, *node, "host", Millis(1000));
    CapturedLog log;
    net::co_spawn(io, sender.run(), net::detached);
    const Time end = monotonicNow() + Millis(2000);
    while (codec.decoded < 2 && monotonicNow() < end)
        io.run_for(Millis(50));
    const std::string text = log.read();
    BOOST_TEST(codec.decoded == 2);
    BOOST_TEST(countOf(text, "event=task_failed task=send_orders error=\"no good\"") == 1u);
}
