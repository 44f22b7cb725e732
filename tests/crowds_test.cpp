// Tests of running processes with callers that nobody controls: too large, too many, or never ending requests at every port. They check
// that processes live, that memory and descriptors stay within the settings, and that an ordinary request is answered afterwards.
#define BOOST_TEST_MODULE crowds
#include "crowd.h"
#include "fleet.h"
#include "http2text.h"
#include "messagecrowd.h"
#include "system.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr int FirstPort = 20500; // below the ports that the system assigns to outgoing connections
constexpr size_t HostMemory = 64'000'000; // of each process of general routes, in their settings
constexpr size_t SystemMemory = 128'000'000; // of each process of the other system, whose bodies may be twice as large
constexpr size_t HostDescriptors = 300;
constexpr size_t ManyDescriptors = 1640; // as many for each byte of memory as a host has by default
constexpr size_t Mega = 1u << 20;
constexpr std::chrono::milliseconds CrowdTime{4000};
constexpr std::chrono::milliseconds StepTime{50}; // between two looks at the process

enum class Port { Callers, Relay, Readiness, Directory, EntryMetrics, Operators, Announcements, KeeperMetrics, Internal };

struct PortRow {
    const char *name;
    const char *process;
    const char *head; // of a request, without the fields for its body
    size_t legalBytes; // of the largest body permitted
};

const PortRow Ports[] = {
    {"callers", "entry-1", "POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\nX-Deadline-Ms: 8000\r\n", Mega},
    {"relay", "entry-1", "POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\nRoserail-Relayed-From: entry-2\r\n", Mega},
    {"readiness", "entry-1", "POST /api/readyz HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"directory", "entry-1", "POST /api/resolve?name=h.example&region=r&zone=z1 HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"metrics of an entry host", "entry-1", "POST /metrics HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"operators", "keeper-1", "PUT /api/config HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"announcements", "keeper-1", "PUT /api/instances/i-9 HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"metrics of a control host", "keeper-1", "POST /metrics HTTP/1.1\r\nHost: h\r\n", 4 * Mega},
    {"internal protocol", "keeper-1", "", 4 * Mega},
};

// What the callers of a crowd do.
enum class Kind {
    AnnouncedTooLarge,
    SentTooLarge,
    Whole,
    Pieces,
    Short,
    LargeChunks,
    SmallChunks,
    Heads,
    Pipelined,
    Unread,
    UnreadStream,
    Idle,
    TooLargeMessages, // of the internal protocol
    LargeMessages,
    CompressedMessages,
    Pings,
    Settings,
    OpenCalls
};

bool sendsMessages(Kind kind)
{
    return kind == Kind::TooLargeMessages || kind == Kind::LargeMessages || kind == Kind::CompressedMessages;
}

// What happens to the process meanwhile.
enum class Event { None, Stop, Suspension };

struct Case {
    const char *name;
    Port port;
    Kind kind;
    int callers;
    bool manyAddresses = false;
    Event event = Event::None;
    size_t descriptors = HostDescriptors;
};

std::ostream &operator<<(std::ostream &out, const Case &it)
{
    return out << it.name;
}

// Returns what a caller sends to a port. `head`: of a request, without the fields for its body. `legal`: bytes of the largest body.
CrowdText textOf(Kind kind, const std::string &head, size_t legal)
{
    const std::string filler(64u << 10, 'x');
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string length = head + fmt::format("Content-Length: {}\r\n\r\n", legal);
    switch (kind) {
    case Kind::AnnouncedTooLarge:
        return {head + fmt::format("Content-Length: {}\r\n\r\n", 64 * legal), filler, 4 * legal};
    case Kind::SentTooLarge:
        return {chunked, fmt::format("{:x}\r\n{}\r\n", filler.size(), filler), 4 * legal};
    case Kind::Whole:
        return {length, filler, length.size() + legal};
    case Kind::Pieces:
    case Kind::Short:
        return {length, filler, length.size() + legal - 1};
    case Kind::LargeChunks:
        return {chunked, fmt::format("{:x}\r\n{}\r\n", filler.size(), filler), chunked.size() + legal - 1};
    case Kind::SmallChunks:
        return {chunked, "1\r\nx\r\n", chunked.size() + 6 * (legal / 3)};
    case Kind::Heads:
        return {head + "X-A: ", "x", 15000};
    case Kind::Pipelined:
        return {"", head + "Content-Length: 4\r\n\r\nbody", 2 * Mega};
    case Kind::Unread:
    case Kind::UnreadStream:
        return {head + "Content-Length: 0\r\n\r\n", "", head.size() + 21};
    case Kind::Pings:
        return {http2Preface(), http2Frame(Http2Ping, 0, 0, "12345678"), 16 * Mega};
    case Kind::Settings:
        return {http2Preface(), http2Frame(Http2Settings, 0, 0, ""), 16 * Mega};
    case Kind::OpenCalls: {
        const std::string calls = http2Preface() + http2Calls("/roserail.pb.Mesh/Share", 256);
        return {calls, "", calls.size()};
    }
    case Kind::Idle:
    case Kind::TooLargeMessages:
    case Kind::LargeMessages:
    case Kind::CompressedMessages:
        break;
    }
    return {"", "", 0};
}

const Case Cases[] = {
    {"callers announce too large bodies", Port::Callers, Kind::AnnouncedTooLarge, 100},
    {"callers send too large bodies", Port::Callers, Kind::SentTooLarge, 100},
    {"callers send large bodies whole", Port::Callers, Kind::Whole, 150},
    {"callers send large bodies in pieces", Port::Callers, Kind::Pieces, 150},
    {"callers send large bodies and stop short", Port::Callers, Kind::Short, 150},
    {"callers from many addresses stop short", Port::Callers, Kind::Short, 150, true},
    {"callers send large chunks and stop short", Port::Callers, Kind::LargeChunks, 150},
    {"callers send chunks of a byte and stop short", Port::Callers, Kind::SmallChunks, 200},
    {"callers stop short in heads", Port::Callers, Kind::Heads, 1000},
    {"callers send requests without waiting", Port::Callers, Kind::Pipelined, 100},
    {"callers don't read large answers", Port::Callers, Kind::Unread, 150},
    {"callers don't read streams", Port::Callers, Kind::UnreadStream, 100},
    {"callers stay idle", Port::Callers, Kind::Idle, 500},
    {"callers stop short while the host stops", Port::Callers, Kind::Short, 150, false, Event::Stop},
    {"relay: large bodies that stop short", Port::Relay, Kind::Short, 150},
    {"relay: large chunks that stop short", Port::Relay, Kind::LargeChunks, 150},
    {"relay: large answers that nobody reads", Port::Relay, Kind::Unread, 150},
    {"readiness: large bodies that stop short", Port::Readiness, Kind::Short, 60},
    {"directory: large bodies that stop short", Port::Directory, Kind::Short, 60},
    {"metrics of an entry host: large bodies that stop short", Port::EntryMetrics, Kind::Short, 60},
    {"operators announce too large bodies", Port::Operators, Kind::AnnouncedTooLarge, 60},
    {"operators send too large bodies", Port::Operators, Kind::SentTooLarge, 60},
    {"operators send large bodies whole", Port::Operators, Kind::Whole, 60},
    {"operators stop short", Port::Operators, Kind::Short, 60},
    {"operators send chunks of a byte and stop short", Port::Operators, Kind::SmallChunks, 60},
    {"operators stop short in heads", Port::Operators, Kind::Heads, 1000},
    {"operators stay idle", Port::Operators, Kind::Idle, 500},
    {"operators stop short while the host stops", Port::Operators, Kind::Short, 60, false, Event::Stop},
    {"announcements stop short", Port::Announcements, Kind::LargeChunks, 60},
    {"metrics of a control host: large bodies that stop short", Port::KeeperMetrics, Kind::Short, 60},
    {"internal protocol: idle connections", Port::Internal, Kind::Idle, 500},
    {"internal protocol: too large messages", Port::Internal, Kind::TooLargeMessages, 20},
    {"internal protocol: large messages", Port::Internal, Kind::LargeMessages, 20},
    {"many callers send requests without waiting", Port::Callers, Kind::Pipelined, 650, false, Event::None, ManyDescriptors},
    {"many callers send large bodies whole", Port::Callers, Kind::Whole, 650, false, Event::None, ManyDescriptors},
    {"many callers don't read streams", Port::Callers, Kind::UnreadStream, 300, false, Event::None, ManyDescriptors},
    {"many callers send while the host is suspended", Port::Callers, Kind::Whole, 650, false, Event::Suspension, ManyDescriptors},
    {"relay: many requests without waiting", Port::Relay, Kind::Pipelined, 240, false, Event::None, ManyDescriptors},
    {"many operators send requests without waiting", Port::Operators, Kind::Pipelined, 650, false, Event::None, ManyDescriptors},
    {"internal protocol: pings whose answers nobody reads", Port::Internal, Kind::Pings, 100},
    {"internal protocol: settings whose answers nobody reads", Port::Internal, Kind::Settings, 100},
    {"internal protocol: calls that stay open", Port::Internal, Kind::OpenCalls, 250, false, Event::None, ManyDescriptors},
    {"internal protocol: compressed messages", Port::Internal, Kind::CompressedMessages, 8},
};

int portNumber(const Fleet &fleet, Port port)
{
    const int first = fleet.entryPort(0) - 10;
    const int offsets[] = {11, 71, 21, 31, 61, 1, 1, 60, 2};
    return first + offsets[size_t(port)];
}

bool answered(Fleet &fleet, const std::string &id)
{
    const httplib::Result result = fleet.sendRequest(1, "/r/x", id);
    return result && result->status == 200;
}

bool startFleet(Fleet &fleet, size_t descriptors)
{
    fleet.setHostSettings(fmt::format("memory: {}B\ndescriptors: {}\n", HostMemory, descriptors));
    for (const int n : {1, 2, 3})
        fleet.startKeeper(n, true);
    fleet.startEntry(1);
    fleet.startRunner(1, "plain", "");
    Json configuration = Json::parse(Fleet::configurationText(5));
    configuration["limits"] = Json{{"max_body_bytes", Mega}};
    const bool configured = eventually([&] {
        const httplib::Result result = fleet.putText(1, configuration.dump());
        return result && result->status == 200;
    });
    return configured && fleet.waitUntilReady({1}) && eventually([&] { return answered(fleet, "probe"); });
}

// Returns the bytes of a message of a crowd at the internal protocol of a host with this memory.
size_t messageBytes(Kind kind, size_t memory)
{
    return kind == Kind::LargeMessages ? memory / 8 : 2 * memory;
}

CrowdText textOf(const Case &row)
{
    const PortRow &port = Ports[size_t(row.port)];
    std::string head = port.head;
    const size_t at = head.find("/u/x");
    if (row.kind == Kind::Unread)
        head.replace(at, 4, "/r/bytes/900000/");
    if (row.kind == Kind::UnreadStream)
        head.replace(at, 4, "/r/events/10000000/");
    return textOf(row.kind, head, port.legalBytes);
}

CrowdManner mannerOf(const Case &row)
{
    const Kind kinds[] = {Kind::Unread, Kind::UnreadStream, Kind::Pipelined, Kind::Pings, Kind::Settings};
    const bool reads = std::find(std::begin(kinds), std::end(kinds), row.kind) == std::end(kinds);
    return {row.callers, row.kind == Kind::Pieces ? 1024u : 64u << 10, reads, row.manyAddresses};
}

struct ProcessBounds {
    size_t memory = 0; // bytes
    size_t descriptors = 0;
};

// The most that a process has used.
class ProcessUse
{
public:
    void look(int pid)
    {
        const SocketBytes now = socketBytes(pid);
        m_unread = std::max(m_unread, now.unread);
        m_unsent = std::max(m_unsent, now.unsent);
        m_held = std::max(m_held, now.unread + now.unsent + memoryKb(pid, "RssAnon") * 1024);
        m_resident = std::max(m_resident, memoryKb(pid, "VmHWM") * 1024);
        m_descriptors = std::max(m_descriptors, openDescriptors(pid));
    }
    // What waits in the process's sockets counts toward its memory.
    void check(const std::string &name, size_t sentBytes, const ProcessBounds &bounds) const
    {
        std::cout << fmt::format("{}: sent {} MB, peak memory {} MB, unread {} MB, unsent {} MB, together {} MB, descriptors {}\n", name,
                                 sentBytes / 1000000, m_resident / 1000000, m_unread / 1000000, m_unsent / 1000000, m_held / 1000000,
                                 m_descriptors)
                  << std::flush;
        BOOST_TEST(m_resident <= bounds.memory);
        BOOST_TEST(m_held <= bounds.memory);
        BOOST_TEST(m_descriptors <= bounds.descriptors);
    }

private:
    size_t m_unread = 0;
    size_t m_unsent = 0;
    size_t m_held = 0;
    size_t m_resident = 0;
    size_t m_descriptors = 0;
};

// Plays a crowd and checks the process meanwhile.
template <typename Crowd>
void playCrowd(Processes &processes, const std::string &process, Crowd &crowd, const std::string &name, const ProcessBounds &bounds,
               const std::function<bool()> &stop)
{
    ProcessUse use;
    bool running = true;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + CrowdTime;
    while (running && std::chrono::steady_clock::now() < end) {
        crowd.play(StepTime);
        running = !stop() && processes.running(process);
        if (running)
            use.look(processes.pid(process));
    }
    use.check(name, crowd.sentBytes(), bounds);
}

} // namespace

// Guards against clients outside the limits that end a process, exceed its memory or descriptors, or keep ordinary callers out.
BOOST_DATA_TEST_CASE(crowdLeavesRoomForOthers, bdata::make(Cases), row)
{
    Fleet fleet("crowd", FirstPort);
    BOOST_REQUIRE(startFleet(fleet, row.descriptors));
    const ProcessBounds bounds{HostMemory, row.descriptors};
    const PortRow &port = Ports[size_t(row.port)];
    bool happened = false;
    if (sendsMessages(row.kind)) {
        MessageCrowd crowd(fmt::format("127.0.0.1:{}", portNumber(fleet, row.port)), "/roserail.pb.Mesh/Share", row.callers,
                           messageBytes(row.kind, HostMemory), row.kind == Kind::CompressedMessages);
        playCrowd(fleet, port.process, crowd, row.name, bounds, [] { return false; });
        BOOST_TEST(eventually([&] { return answered(fleet, "beside"); }));
    } else {
        Crowd crowd("127.0.0.1", portNumber(fleet, row.port), textOf(row), mannerOf(row));
        const std::chrono::steady_clock::time_point eventAt = std::chrono::steady_clock::now() + CrowdTime / 4;
        if (row.event == Event::Suspension)
            fleet.signal(port.process, SIGSTOP);
        playCrowd(fleet, port.process, crowd, row.name, bounds, [&] {
            if (row.event != Event::None && !happened && std::chrono::steady_clock::now() > eventAt) {
                happened = true;
                fleet.signal(port.process, row.event == Event::Stop ? SIGTERM : SIGCONT);
            }
            return false;
        });
        if (row.event != Event::Stop)
            BOOST_TEST(eventually([&] { return answered(fleet, "beside"); }));
    }
    if (row.event == Event::Stop) {
        BOOST_TEST(fleet.wait(port.process) == 0);
        return;
    }
    BOOST_TEST(fleet.running(port.process));
    BOOST_TEST(eventually([&] { return answered(fleet, "after"); }));
    BOOST_TEST(eventually([&] {
        const httplib::Result result = fleet.getConfiguration(1);
        return result && result->status == 200;
    }));
}

namespace
{

constexpr int SoakCrowds = 4; // at once
constexpr std::chrono::milliseconds SoakStep{20}; // of one crowd, before the next one has its turn

// Crowds of several kinds at once.
class MixedCrowd
{
public:
    MixedCrowd(const Fleet &fleet, std::mt19937 &random)
    {
        std::vector<Case> rows(std::begin(Cases), std::end(Cases));
        std::shuffle(rows.begin(), rows.end(), random);
        rows.resize(SoakCrowds);
        for (const Case &it : rows) {
            m_name += std::string(m_name.empty() ? "" : " + ") + it.name;
            const int port = portNumber(fleet, it.port);
            if (sendsMessages(it.kind))
                m_messages.push_back(std::make_unique<MessageCrowd>(fmt::format("127.0.0.1:{}", port), "/roserail.pb.Mesh/Share",
                                                                    it.callers, messageBytes(it.kind, HostMemory),
                                                                    it.kind == Kind::CompressedMessages));
            else
                m_crowds.push_back(std::make_unique<Crowd>("127.0.0.1", port, textOf(it), mannerOf(it)));
        }
    }
    void play()
    {
        for (const std::unique_ptr<Crowd> &it : m_crowds)
            it->play(SoakStep);
        for (const std::unique_ptr<MessageCrowd> &it : m_messages)
            it->play(SoakStep);
    }
    size_t sentBytes() const
    {
        size_t bytes = 0;
        for (const std::unique_ptr<Crowd> &it : m_crowds)
            bytes += it->sentBytes();
        for (const std::unique_ptr<MessageCrowd> &it : m_messages)
            bytes += it->sentBytes();
        return bytes;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
    std::vector<std::unique_ptr<Crowd>> m_crowds;
    std::vector<std::unique_ptr<MessageCrowd>> m_messages;
};

// Suspends the processes under test and restarts another one, in turns that overlap.
class Disturbance
{
public:
    Disturbance(Fleet &fleet, std::mt19937 &random)
        : m_fleet(fleet)
        , m_random(random)
    {
    }
    ~Disturbance()
    {
        end();
    }
    Disturbance(const Disturbance &) = delete;
    Disturbance &operator=(const Disturbance &) = delete;

    void step()
    {
        const unsigned choice = m_random() % 24;
        if (choice < 2)
            suspend(choice == 0 ? "entry-1" : "keeper-1");
        else if (choice < 6)
            resume();
        else if (choice == 6 && m_fleet.started("keeper-2"))
            m_fleet.kill("keeper-2");
        else if (choice < 9 && !m_fleet.started("keeper-2"))
            m_fleet.startKeeper(2, true);
    }
    void end()
    {
        resume();
        if (!m_fleet.started("keeper-2"))
            m_fleet.startKeeper(2, true);
    }

private:
    void suspend(const std::string &process)
    {
        m_fleet.signal(process, SIGSTOP);
        m_suspended.insert(process);
    }
    void resume()
    {
        for (const std::string &it : m_suspended)
            m_fleet.signal(it, SIGCONT);
        m_suspended.clear();
    }

    Fleet &m_fleet;
    std::mt19937 &m_random;
    std::set<std::string> m_suspended;
};

// Returns the seeds of this run: CROWD_SEEDS of them by hand.
int soakSeeds()
{
    const char *text = std::getenv("CROWD_SEEDS");
    return text == nullptr ? 3 : std::stoi(text);
}

} // namespace

// Guards against crowds that exceed the memory of a host only together, or while processes are suspended and restarted.
BOOST_DATA_TEST_CASE(mixedCrowdsLeaveRoomForOthers, bdata::xrange(1, soakSeeds() + 1), seed)
{
    std::mt19937 random{unsigned(seed)};
    Fleet fleet("crowd-soak", FirstPort);
    BOOST_REQUIRE(startFleet(fleet, ManyDescriptors));
    std::map<std::string, ProcessUse> uses;
    {
        MixedCrowd crowd(fleet, random);
        Disturbance disturbance(fleet, random);
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 2 * CrowdTime;
        while (std::chrono::steady_clock::now() < end) {
            crowd.play();
            disturbance.step();
            for (const char *it : {"entry-1", "keeper-1"}) {
                BOOST_REQUIRE(fleet.running(it));
                uses[it].look(fleet.pid(it));
            }
        }
        for (const std::pair<const std::string, ProcessUse> &it : uses)
            it.second.check(fmt::format("seed {}, {}: {}", seed, it.first, crowd.name()), crowd.sentBytes(), {HostMemory, ManyDescriptors});
        disturbance.end();
        BOOST_TEST(eventually([&] { return answered(fleet, "beside"); }, std::chrono::seconds(30)));
    }
    BOOST_TEST(eventually([&] { return answered(fleet, "after"); }));
    BOOST_TEST(eventually([&] {
        const httplib::Result result = fleet.getConfiguration(1);
        return result && result->status == 200;
    }));
}

namespace
{

enum class SystemPort { Router, Operators, Peers };

struct SystemCase {
    const char *name;
    SystemPort port;
    Kind kind;
    int callers;
    size_t descriptors = HostDescriptors;
};

std::ostream &operator<<(std::ostream &out, const SystemCase &it)
{
    return out << it.name;
}

constexpr const char *ModelHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller-token\r\n";
constexpr const char *ControlHead = "POST /document?change_id=x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer root-token\r\n";

const SystemCase SystemCases[] = {
    {"router: too large bodies, announced", SystemPort::Router, Kind::AnnouncedTooLarge, 20},
    {"router: too large bodies, sent", SystemPort::Router, Kind::SentTooLarge, 20},
    {"router: large bodies that stop short", SystemPort::Router, Kind::Short, 20},
    {"router: large chunks that stop short", SystemPort::Router, Kind::LargeChunks, 20},
    {"control: too large bodies, sent", SystemPort::Operators, Kind::SentTooLarge, 20},
    {"control: large bodies that stop short", SystemPort::Operators, Kind::Short, 20},
    {"router: heads that stop short", SystemPort::Router, Kind::Heads, 1000},
    {"router: idle connections", SystemPort::Router, Kind::Idle, 500},
    {"control: heads that stop short", SystemPort::Operators, Kind::Heads, 1000},
    {"control: idle connections", SystemPort::Operators, Kind::Idle, 500},
    {"control, internal protocol: idle connections", SystemPort::Peers, Kind::Idle, 500},
    {"control, internal protocol: too large messages", SystemPort::Peers, Kind::TooLargeMessages, 20},
    {"control, internal protocol: large messages", SystemPort::Peers, Kind::LargeMessages, 20},
    {"router: many requests without waiting", SystemPort::Router, Kind::Pipelined, 1300, 2 * ManyDescriptors},
    {"control: many requests without waiting", SystemPort::Operators, Kind::Pipelined, 1300, 2 * ManyDescriptors},
    {"control, internal protocol: pings whose answers nobody reads", SystemPort::Peers, Kind::Pings, 100},
};

} // namespace

// The same for roserail-router and roserail-control.
BOOST_DATA_TEST_CASE(crowdAtASystemLeavesRoomForOthers, bdata::make(SystemCases), row)
{
    System system("crowd-system", FirstPort + 100);
    const ProcessBounds bounds{SystemMemory, row.descriptors};
    system.setMoreSettings(fmt::format("memory: {}B\ndescriptors: {}\n", bounds.memory, bounds.descriptors));
    for (const int id : {1, 2, 3})
        system.startControl(id);
    for (const int id : {1, 2})
        system.startRouter(id);
    system.startService(1);
    system.bootstrap();
    const auto served = [&] {
        return system.callService(1, newIdempotencyKey("ordinary"), "x").status == 200;
    };
    BOOST_REQUIRE(eventually(served));
    const auto operatorsServed = [&] {
        return system.leader() != 0;
    };
    const std::string process = row.port == SystemPort::Router ? "router-1" : "control-1";
    const std::string head = row.port == SystemPort::Router ? ModelHead : ControlHead;
    const int ports[] = {system.routerPort(1), system.controlPort(1), FirstPort + 101};
    const int port = ports[size_t(row.port)];
    if (sendsMessages(row.kind)) {
        MessageCrowd crowd(fmt::format("127.0.0.1:{}", port), "/roserail.pb.Control/Heartbeat", row.callers,
                           messageBytes(row.kind, SystemMemory));
        playCrowd(system, process, crowd, row.name, bounds, [] { return false; });
        BOOST_TEST(eventually(served));
    } else {
        const bool reads = row.kind != Kind::Pipelined && row.kind != Kind::Pings;
        Crowd crowd("127.0.0.1", port, textOf(row.kind, head, 8 * Mega), CrowdManner{row.callers, 64u << 10, reads});
        playCrowd(system, process, crowd, row.name, bounds, [] { return false; });
        BOOST_TEST(eventually(served));
        BOOST_TEST(eventually([&] { return !system.status(1).empty(); }));
    }
    BOOST_TEST(system.running(process));
    BOOST_TEST(eventually(served));
    BOOST_TEST(eventually(operatorsServed));
}
