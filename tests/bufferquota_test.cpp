// Unit tests of the limits on memory for requests and answers, and of whose connection is broken off when it runs short. Load: many
// answers at once that never end, and a few that do; many bodies that stop short of their end beside ordinary ones.
#define BOOST_TEST_MODULE bufferquota
#include "coordination/peerconnections.h"
#include "state/routes.h"
#include "state/tunables.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <list>
#include <map>
#include <memory>
#include <rapidcheck.h>

using namespace roserail;
using namespace roserail::tunables;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr size_t Total = 1000;
constexpr size_t MaxOne = 300;

} // namespace

// Guards against many answers without end that fill the memory of a router together, each within its own limit.
BOOST_AUTO_TEST_CASE(answersWithoutEndStayWithinTheQuotaTogether)
{
    BOOST_TEST(rc::check([](const std::vector<std::tuple<uint8_t, uint16_t>> &steps) {
        BufferQuota quota(Total);
        std::map<uint8_t, std::pair<std::unique_ptr<BufferShare>, size_t>> shares;
        for (const std::tuple<uint8_t, uint16_t> &it : steps) {
            const uint8_t id = std::get<0>(it) % 8;
            const size_t bytes = std::get<1>(it) % 400;
            if (shares.count(id) == 0)
                shares[id] = {std::make_unique<BufferShare>(quota), 0};
            size_t others = 0;
            for (const auto &share : shares)
                others += share.first == id ? 0 : share.second.second;
            size_t &held = shares[id].second;
            const bool expected = bytes <= MaxOne && (bytes <= held || others + bytes <= Total);
            RC_ASSERT(shares[id].first->resize(bytes, MaxOne) == expected);
            if (expected)
                held = bytes;
            RC_ASSERT(quota.usedBytes() == others + held);
            RC_ASSERT(quota.usedBytes() <= Total);
            if (std::get<1>(it) % 3 == 0)
                shares.erase(id);
        }
        shares.clear();
        RC_ASSERT(quota.usedBytes() == 0u);
    }));
}

BOOST_AUTO_TEST_CASE(answersThatEndMakeRoomForOthers)
{
    BufferQuota quota(Total);
    {
        BufferShare first(quota);
        BufferShare second(quota);
        BOOST_TEST(first.resize(600, Total));
        BOOST_TEST(!second.resize(500, Total));
        BOOST_TEST(first.resize(100, Total));
        BOOST_TEST(second.resize(500, Total));
    }
    BufferShare third(quota);
    BOOST_TEST(third.resize(Total, Total));
}

// Guards against large buffers that leave no room for the small ones of ordinary requests.
BOOST_AUTO_TEST_CASE(largeBuffersLeaveAReserveForSmallOnes)
{
    BufferQuota quota(Total, 200, 50);
    BufferShare large(quota);
    BOOST_TEST(!large.resize(801, Total));
    BOOST_TEST(large.resize(800, Total));
    BufferShare other(quota);
    BOOST_TEST(!other.resize(51, Total));
    std::list<BufferShare> small;
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(small.emplace_back(quota).resize(50, Total));
    BOOST_TEST(!small.emplace_back(quota).resize(1, Total));
    BOOST_TEST(quota.peakBytes() == Total);
}

namespace
{

const Time Now{Millis(1000000)};

struct SlowestRow {
    const char *name;
    std::vector<Transfer> transfers;
    std::optional<size_t> slowest;
};

std::ostream &operator<<(std::ostream &out, const SlowestRow &it)
{
    return out << it.name;
}

Transfer transfer(Millis age, uint64_t bytes)
{
    return Transfer{Now - age, bytes};
}

const SlowestRow SlowestRows[] = {
    {"nobody", {}, std::nullopt},
    {"all have just begun", {transfer(Millis(100), 0), transfer(TransferGrace - Millis(1), 0)}, std::nullopt},
    {"a slow but ordinary rate", {transfer(Millis(10000), 80000)}, std::nullopt},
    {"one has stopped short", {transfer(Millis(9000), 4000000), transfer(Millis(9000), 100)}, 1},
    {"a byte a second", {transfer(Millis(5000), 5), transfer(Millis(8000), 8)}, 1},
    {"the one that has moved least", {transfer(Millis(4000), 9000), transfer(Millis(4000), 8000), transfer(Millis(4000), 10000)}, 1},
    {"of several that sent nothing, the oldest", {transfer(Millis(3000), 0), transfer(Millis(9000), 0)}, 1},
};

} // namespace

// Guards against a caller at an ordinary rate that is broken off, and one that has stopped that keeps its memory.
BOOST_DATA_TEST_CASE(onlyStalledTransfersAreBrokenOff, bdata::make(SlowestRows), row)
{
    BOOST_TEST((slowestTransfer(row.transfers, Now) == row.slowest));
    for (const Transfer &it : row.transfers)
        BOOST_TEST((!isStalled(it, Now) || row.slowest.has_value()));
    BOOST_TEST((roomExpectedIn(row.transfers, Now) >= MinRetryAfter));
}

namespace
{

const SlowestRow PeerRows[] = {
    {"none", {}, std::nullopt},
    {"all have just begun and sent something", {transfer(Millis(100), 90), transfer(TransferGrace - Millis(1), 1)}, std::nullopt},
    {"of several that sent nothing, the oldest", {transfer(Millis(10), 0), transfer(Millis(20), 0), transfer(Millis(9000), 5000)}, 1},
    {"a crowd that has only introduced itself", {transfer(Millis(60000), 24000), transfer(Millis(3000), 90), transfer(Millis(10), 90)}, 1},
    {"a host that has just connected, beside silent ones", {transfer(Millis(1), 90), transfer(Millis(5), 0)}, 1},
};

} // namespace

// Guards against a crowd of connections that send nothing, or next to nothing, and keep out control hosts and routers.
BOOST_DATA_TEST_CASE(idleConnectionsGiveWayToPeers, bdata::make(PeerRows), row)
{
    BOOST_TEST((leastUsedConnection(row.transfers, Now) == row.slowest));
}

// Guards against a host of the smallest size that can't take a single body of the default limit, in chunks that make it grow.
BOOST_AUTO_TEST_CASE(smallestHostTakesALargeBodyAndOrdinaryOnes)
{
    const size_t largest = IngressLimits().maxBodyBytes;
    IngressBudget budget(MinMemory, MinDescriptors);
    BufferShare large(budget.bodies);
    for (size_t capacity = SmallBufferBytes; capacity < largest; capacity *= 2)
        BOOST_TEST(large.resize(capacity + 2 * capacity, budget.bodies.totalBytes()));
    BufferShare small(budget.bodies);
    BOOST_TEST(small.resize(SmallBufferBytes, SmallBufferBytes));
    BOOST_TEST(budget.heads.totalBytes() + budget.bodies.totalBytes() + budget.answers.totalBytes() < MinMemory / 2);
    BOOST_TEST(budget.maxConnections(CallersDescriptorShare) > 0u);
}

// Guards against a crowd whose connections leave later ones no room for what arrives.
BOOST_AUTO_TEST_CASE(unreadBytesOfAllConnectionsHaveRoom)
{
    struct Host {
        Bytes memory;
        uint32_t descriptors;
    };
    for (const Host &host : {Host{64'000'000, 300}, Host{64'000'000, 1640}, Host{120'000'000, 3075}, Host{160'000'000, 1u << 20}}) {
        IngressBudget budget(host.memory, host.descriptors);
        std::list<BufferShare> shares;
        size_t bytes = 0;
        for (uint32_t i = 0; i < budget.descriptors; ++i) {
            BufferShare &share = shares.emplace_back(budget.sockets);
            const size_t more = unreadBytesForConnection(budget.sockets);
            BOOST_TEST(share.resize(more, more));
            bytes += tunables::MinUnreadBytes + more;
        }
        BOOST_TEST(double(bytes) <= double(host.memory) * tunables::SocketsMemoryShare);
    }
}

// Guards against crowds at several ports of a control host that exceed its memory only together.
BOOST_AUTO_TEST_CASE(buffersOfAllPurposesHaveOneLimit)
{
    constexpr size_t piece = 2 * SmallBufferBytes;
    IngressBudget budget(MinMemory, DefaultDescriptors);
    std::list<BufferShare> shares;
    BufferQuota *const purposes[] = {&budget.heads, &budget.bodies, &budget.answers, &budget.messages};
    for (BufferQuota *it : purposes) {
        while (shares.emplace_back(*it).resize(piece, piece)) { }
    }
    const size_t total = size_t(double(MinMemory) * BuffersMemoryShare);
    BOOST_TEST(budget.buffers.totalBytes() == total);
    BOOST_TEST(budget.buffers.usedBytes() <= total);
    BOOST_TEST(budget.buffers.usedBytes()
               == budget.heads.usedBytes() + budget.bodies.usedBytes() + budget.answers.usedBytes() + budget.messages.usedBytes());
    for (BufferQuota *it : {&budget.bodies, &budget.messages}) // ordinary ones still have room
        BOOST_TEST(shares.emplace_back(*it).resize(SmallBufferBytes, SmallBufferBytes));
    shares.clear();
    BOOST_TEST(budget.buffers.usedBytes() == 0u);
    BufferShare largest(budget.messages);
    const size_t bytes = CopiesOfMessage * budget.maxMessageBytes + 4 * CallBytes;
    BOOST_TEST(largest.resize(bytes, bytes));
}
