// Tests of what calls of the internal protocol hold, without a network: frames of HTTP/2, in pieces of any size.
#define BOOST_TEST_MODULE peercalls
#include "http2text.h"
#include "protocol/peercalls.h"

#include "state/tunables.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <ostream>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr Bytes Memory = 64'000'000;
constexpr size_t MaxMessage = Memory / 4;
constexpr const char *Method = "/p.S/M";

// What a connection holds after a text of its peer.
struct Outcome {
    bool goesOn = false;
    CallRefusal refusal = CallRefusal::None;
    size_t heldBytes = 0;
    bool incomplete = false;

    bool operator==(const Outcome &) const = default;
};

std::ostream &operator<<(std::ostream &out, const Outcome &it)
{
    return out << it.goesOn << " " << toString(it.refusal) << " " << it.heldBytes << " " << it.incomplete;
}

// Reads a text in pieces; the last length repeats.
Outcome outcomeOf(const std::string &text, const std::vector<size_t> &pieces)
{
    IngressBudget budget(Memory, 1000);
    PeerCalls calls(budget, [&budget](BufferShare &share, size_t bytes) { return share.resize(bytes, budget.messages.totalBytes()); });
    calls.setNow(Time(std::chrono::seconds(10)));
    Http2Reader reader(true);
    bool goesOn = true;
    size_t at = 0;
    for (size_t i = 0; goesOn && at < text.size(); ++i) {
        const size_t n = std::min(pieces[std::min(i, pieces.size() - 1)], text.size() - at);
        goesOn = reader.read(std::string_view(text).substr(at, n), calls);
        at += n;
    }
    return {goesOn, calls.refusal(), calls.heldBytes(), calls.transfer().has_value()};
}

std::string repeated(const std::string &text, size_t n)
{
    std::string out;
    for (size_t i = 0; i < n; ++i)
        out += text;
    return out;
}

struct Row {
    const char *name;
    std::string text; // after the preface
    Outcome expected;
};

std::ostream &operator<<(std::ostream &out, const Row &it)
{
    return out << it.name;
}

const std::string Call = http2Call(Method, 1);
const std::string Ping = http2Frame(Http2Ping, 0, 0, "12345678");
constexpr size_t Held = tunables::CallBytes;

const Row Rows[] = {
    {"nothing", "", {true, CallRefusal::None, 0, false}},
    {"an open call", Call, {true, CallRefusal::None, Held, true}},
    {"a message that stops short",
     Call + http2Frame(Http2Data, 0, 1, grpcMessage(1000, "x")),
     {true, CallRefusal::None, Held + 2000, true}},
    {"a whole request", Call + http2Frame(Http2Data, Http2EndStream, 1, grpcMessage(3, "abc")), {true, CallRefusal::None, Held + 6, false}},
    {"a padded message",
     Call + http2Frame(Http2Data, Http2Padded | Http2EndStream, 1, std::string(1, '\4') + grpcMessage(3, "abc") + "pppp"),
     {true, CallRefusal::None, Held + 6, false}},
    {"a message in two frames",
     Call + http2Frame(Http2Data, 0, 1, grpcMessage(7, "ab").substr(0, 3)) + http2Frame(Http2Data, 0, 1, grpcMessage(7, "ab").substr(3)),
     {true, CallRefusal::None, Held + 14, true}},
    {"two messages of one call",
     Call + http2Frame(Http2Data, 0, 1, grpcMessage(1, "a") + grpcMessage(2, "b")),
     {true, CallRefusal::None, Held + 6, true}},
    {"two calls", http2Calls(Method, 2), {true, CallRefusal::None, 2 * Held, true}},
    {"a call that is reset keeps its memory for its handler",
     Call + http2Frame(Http2Reset, 0, 1, "1234"),
     {true, CallRefusal::None, Held, false}},
    {"data of an unknown call", http2Frame(Http2Data, 0, 9, grpcMessage(1000, "x")), {true, CallRefusal::None, 0, false}},
    {"the largest message",
     Call + http2Frame(Http2Data, 0, 1, grpcMessage(MaxMessage, "x")),
     {true, CallRefusal::None, Held + 2 * MaxMessage, true}},
    {"a too large message",
     Call + http2Frame(Http2Data, 0, 1, grpcMessage(MaxMessage + 1, "x")),
     {false, CallRefusal::TooLarge, Held, true}},
    {"large messages without room",
     http2Calls(Method, 3) + http2Frame(Http2Data, 0, 1, grpcMessage(MaxMessage, "x"))
         + http2Frame(Http2Data, 0, 3, grpcMessage(MaxMessage, "x")),
     {false, CallRefusal::NoRoom, 3 * Held + 2 * MaxMessage, true}},
    {"a compressed message", Call + http2Frame(Http2Data, 0, 1, grpcMessage(3, "abc", true)), {false, CallRefusal::Compressed, Held, true}},
    {"pings within the limit", repeated(Ping, 15), {true, CallRefusal::None, 0, false}},
    {"pings without end", repeated(Ping, 40), {false, CallRefusal::TooManyFrames, 0, false}},
    {"settings without end", repeated(http2Frame(Http2Settings, 0, 0, ""), 40), {false, CallRefusal::TooManyFrames, 0, false}},
    {"acknowledgements", repeated(http2Frame(Http2Ping, 1, 0, "12345678"), 40), {true, CallRefusal::None, 0, false}},
    {"padding longer than its frame",
     Call
         + http2Frame(Http2Data, Http2Padded, 1,
                      "\x09"
                      "abc"),
     {false, CallRefusal::None, Held, true}},
};

} // namespace

// Guards against a crowd that makes gRPC keep more than the process has, and against ordinary calls that are refused.
BOOST_DATA_TEST_CASE(callsHoldWhatTheirPeerAnnounces, bdata::make(Rows), row)
{
    const std::string text = http2Preface() + row.text;
    BOOST_TEST(outcomeOf(text, {text.size()}) == row.expected);
    BOOST_TEST(outcomeOf(text, {1}) == row.expected);
    BOOST_TEST(rc::check("in pieces of any size", [&] {
        const std::vector<size_t> pieces = *rc::gen::nonEmpty(rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 40)));
        RC_ASSERT(outcomeOf(text, pieces) == row.expected);
    }));
}

// Guards against a connection that is no HTTP/2 and is kept.
BOOST_AUTO_TEST_CASE(otherProtocolsAreRefused)
{
    BOOST_TEST(!outcomeOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n", {100}).goesOn);
}

// Guards against memory that calls keep after their answer, or after the time that a handler has.
BOOST_AUTO_TEST_CASE(endedCallsHoldNothing)
{
    IngressBudget budget(Memory, 1000);
    PeerCalls calls(budget, [&budget](BufferShare &share, size_t bytes) { return share.resize(bytes, budget.messages.totalBytes()); });
    const Time start(std::chrono::seconds(10));
    calls.setNow(start);
    Http2Reader reader(true);
    const std::string message = http2Frame(Http2Data, Http2EndStream, 3, grpcMessage(50, std::string(50, 'x')));
    BOOST_REQUIRE(reader.read(http2Preface() + http2Calls(Method, 3) + message, calls));
    BOOST_TEST(budget.messages.usedBytes() == 3 * Held + 100);
    calls.end(CallId(3));
    BOOST_TEST(budget.messages.usedBytes() == 2 * Held);
    BOOST_REQUIRE(reader.read(http2Frame(Http2Reset, 0, 1, "1234"), calls));
    calls.releaseReset(start + tunables::ResetCallTime - Millis(1));
    BOOST_TEST(budget.messages.usedBytes() == 2 * Held);
    calls.releaseReset(start + tunables::ResetCallTime);
    BOOST_TEST(budget.messages.usedBytes() == Held);
    for (int i = 0; i < 100; ++i) { // acknowledged one by one
        BOOST_REQUIRE(reader.read(Ping, calls));
        calls.acknowledge();
    }
    calls.release();
    BOOST_TEST(budget.messages.usedBytes() == 0);
}
