// Tests of the operators' client against control hosts whose answers are given byte by byte.
#define BOOST_TEST_MODULE operatorclient
#include "rawendpoint.h"
#include "state/tunables.h"
#include "transport/clock.h"
#include "transport/operatorclient.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Filler(4096, 'x');
constexpr std::chrono::milliseconds EndlessTime{3000}; // then the other side ends them, so that a client without limits ends
constexpr size_t MaxAcceptedBytes = 80u << 20; // the largest answer, and what the sockets of both sides hold

const std::vector<RawAnswer> EndlessAnswers{
    {Head + "\r\n", AnswerEnd::Endless, Filler, EndlessTime},
    {Head + "Transfer-Encoding: chunked\r\n\r\n", AnswerEnd::Endless, "1000\r\n" + Filler + "\r\n", EndlessTime},
    {Head + "X-A: ", AnswerEnd::Endless, Filler, EndlessTime},
    {Head, AnswerEnd::Endless, "X-A: a\r\n", EndlessTime},
    {"", AnswerEnd::Endless, "HTTP/1.1 100 Continue\r\n\r\n", EndlessTime},
};

} // namespace

namespace roserail::test
{

std::ostream &operator<<(std::ostream &out, const RawAnswer &it)
{
    return out << it.bytes;
}

} // namespace roserail::test

// Guards against an answer without end that fills the memory of the operator's machine.
BOOST_DATA_TEST_CASE(answerWithoutEndIsNoAnswer, bdata::make(EndlessAnswers), endless)
{
    const RawEndpoint endpoint([&](const std::string &) { return endless; });
    const OperatorClient client({endpoint.address()}, "token");
    BOOST_TEST(client.sendRequest(endpoint.address(), "GET", "/document", "").has_error());
    BOOST_TEST(endpoint.bytesSent() < MaxAcceptedBytes);
}

// Guards against a limit that refuses documents of several sections, each of the largest size.
BOOST_AUTO_TEST_CASE(largeDocumentIsRead)
{
    const std::string document(3 * tunables::MaxDocumentBytes, 'x');
    const RawEndpoint endpoint([&](const std::string &) {
        return RawAnswer{Head + "Content-Length: " + std::to_string(document.size()) + "\r\n\r\n" + document};
    });
    const OperatorClient client({endpoint.address()}, "token");
    const Result<std::string> answer = client.sendRequest(endpoint.address(), "GET", "/document", "");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer.value() == document));
}

// Guards against a system of which some replicas are bootstrapped and the others can't be: one lost answer ended the command.
BOOST_AUTO_TEST_CASE(requestIsSentAgainUntilTheReplicaAnswers)
{
    std::atomic<int> requests = 0;
    const RawEndpoint endpoint([&](const std::string &) {
        const std::string body = R"({"founded":true})";
        return ++requests < 3 ? RawAnswer{"", AnswerEnd::Reset}
                              : RawAnswer{Head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    const OperatorClient client({endpoint.address()}, "token");
    BOOST_TEST(client.sendUntilAnswered(endpoint.address(), "POST", "/bootstrap", "{}", monotonicNow() + Millis(10000)).has_value());
    BOOST_TEST(requests == 3);
}

// Guards against an error of the replica that is repeated until the deadline instead of being shown.
BOOST_AUTO_TEST_CASE(refusedRequestIsNotSentAgain)
{
    const std::string body = R"({"error":{"type":"conflict","message":"belongs to a cluster"}})";
    std::atomic<int> requests = 0;
    const RawEndpoint endpoint([&](const std::string &) {
        ++requests;
        return RawAnswer{"HTTP/1.1 409 Conflict\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    const OperatorClient client({endpoint.address()}, "token");
    const Result<std::string> answer
        = client.sendUntilAnswered(endpoint.address(), "POST", "/bootstrap", "{}", monotonicNow() + Millis(10000));
    BOOST_REQUIRE(answer.has_error());
    BOOST_TEST((answer.error().kind == ErrorKind::Conflict));
    BOOST_TEST(requests == 1);
}
