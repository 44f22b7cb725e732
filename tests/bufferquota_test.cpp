// Unit tests of the limit on memory for incomplete answers. Load: many answers at once that never end, and a few that do.
#define BOOST_TEST_MODULE bufferquota
#include "coordination/bufferquota.h"

#include <boost/test/included/unit_test.hpp>
#include <map>
#include <memory>
#include <rapidcheck.h>

using namespace roserail;

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
