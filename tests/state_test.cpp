// Tests of the replicated state: ledger, claims, document changes and quarantine.
#define BOOST_TEST_MODULE state
#include "state/invariant.h"
#include "state/machine.h"
#include "state/tunables.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

constexpr Bytes GiB = 1u << 30;

Artifact model(const std::string &name, Bytes bytes, uint32_t max)
{
    Artifact artifact;
    artifact.id = ArtifactId(name);
    artifact.version = "v1";
    artifact.bytes = bytes;
    artifact.maxReplicas = max;
    return artifact;
}

EndpointRecord endpoint(const std::string &id, uint64_t incarnation, bool fenced)
{
    return EndpointRecord{EndpointId(id), incarnation, HostId("host"), 30 * GiB, 24 * GiB, fenced};
}

pb::StartClaim start(const std::string &key, const std::string &attempt, uint64_t hash = 1, uint64_t timeMs = 1000)
{
    pb::StartClaim command;
    command.set_caller("caller");
    command.set_key(key);
    command.set_attempt(attempt);
    command.set_payload_hash(hash);
    command.set_key_time_ms(timeMs);
    return command;
}

pb::FinishClaim finish(const std::string &key, const std::string &attempt, pb::ClaimOutcome outcome)
{
    pb::FinishClaim command;
    command.set_caller("caller");
    command.set_key(key);
    command.set_attempt(attempt);
    command.set_outcome(outcome);
    command.mutable_answer()->set_body("answer");
    return command;
}

pb::Command change(const std::string &id, uint64_t base, const std::string &text)
{
    pb::Command command;
    command.mutable_change_document()->set_change_id(id);
    command.mutable_change_document()->set_operator_name("op-" + id);
    pb::SectionChange &section = *command.mutable_change_document()->add_sections();
    section.set_name("s");
    section.set_base_revision(base);
    section.set_text(text);
    return command;
}

} // namespace

// A model of an engine: the artifacts it holds, and the orders in flight to it.
struct FakeEngine {
    uint64_t incarnation = 1;
    Fence fence;
    std::set<std::string> held;
    struct InFlight {
        SlotId slot;
        Fence fence;
        OrderKind kind;
        std::string artifact;
    };
    std::vector<InFlight> orders;
    uint64_t sequence = 1;
};

// With orders and answers that are lost, delayed, reordered or repeated, and engines that restart, an engine never holds an
// artifact without a slot in the ledger.
BOOST_DATA_TEST_CASE(ledgerHasASlotForEveryArtifactThatEnginesHold, bdata::make({true, false}), fenced)
{
    const bool passed = rc::check("slots cover what engines hold", [fenced] {
        Ledger ledger;
        const std::vector<Artifact> artifacts{model("a", 10 * GiB, 1), model("b", 12 * GiB, 2), model("c", 20 * GiB, 1)};
        std::map<std::string, FakeEngine> engines{{"e1", {}}, {"e2", {}}};
        for (const std::pair<const std::string, FakeEngine> &it : engines)
            ledger.registerEndpoint(endpoint(it.first, 1, fenced));
        const auto deliver = [&](FakeEngine &engine, size_t i, bool keep) {
            const FakeEngine::InFlight order = engine.orders[i];
            if (!keep)
                engine.orders.erase(engine.orders.begin() + long(i));
            if (fenced && order.fence < engine.fence)
                return order;
            engine.fence = std::max(engine.fence, order.fence);
            if (order.kind == OrderKind::Load)
                engine.held.insert(order.artifact);
            else
                engine.held.erase(order.artifact);
            ++engine.sequence;
            return order;
        };
        const auto checkAll = [&] {
            for (const Artifact &artifact : artifacts) {
                size_t n = 0;
                for (const std::pair<const std::string, FakeEngine> &it : engines) {
                    const bool holds = it.second.held.count(artifact.id.value()) != 0;
                    n += holds ? 1 : 0;
                    RC_ASSERT(!holds || ledger.slotOf(EndpointId(it.first), artifact.id) != nullptr);
                }
                RC_ASSERT(n <= artifact.maxReplicas);
            }
        };
        const size_t steps = *rc::gen::inRange<size_t>(1, 80);
        for (size_t i = 0; i < steps; ++i) {
            const std::string name = *rc::gen::element<std::string>("e1", "e2");
            FakeEngine &engine = engines[name];
            const Artifact &artifact = artifacts[*rc::gen::inRange<size_t>(0, 3)];
            const Slot *slot = ledger.slotOf(EndpointId(name), artifact.id);
            switch (*rc::gen::inRange(0, 7)) {
            case 0: {
                const LedgerResult result = ledger.reserve(EndpointId(name), engine.incarnation, artifact);
                if (result.verdict == pb::VERDICT_OK)
                    engine.orders.push_back({result.slot, result.fence, OrderKind::Load, artifact.id.value()});
                break;
            }
            case 1:
            case 2: {
                // A new leader sends an order again without knowing the outcome of the last one.
                if (slot == nullptr)
                    break;
                const OrderKind kind = *rc::gen::element(OrderKind::Load, OrderKind::Unload);
                const LedgerResult result = ledger.sendOrder(slot->id, kind);
                engine.orders.push_back({slot->id, result.fence, kind, artifact.id.value()});
                break;
            }
            case 3:
            case 4: {
                // Delivers any of the orders in flight; its answer may be lost.
                if (engine.orders.empty())
                    break;
                const size_t at = *rc::gen::inRange<size_t>(0, engine.orders.size());
                const FakeEngine::InFlight order = deliver(engine, at, false);
                if (*rc::gen::arbitrary<bool>())
                    ledger.answerOrder(order.slot, order.fence, engine.sequence);
                break;
            }
            case 5: {
                ++engine.sequence;
                if (slot != nullptr && engine.held.count(artifact.id.value()) == 0)
                    ledger.release(slot->id, fenced ? engine.fence : Fence(), engine.sequence);
                break;
            }
            default:
                // The engine restarts. Orders in flight reach its new process.
                ++engine.incarnation;
                engine.held.clear();
                engine.fence = Fence();
                engine.sequence = 1;
                ledger.registerEndpoint(endpoint(name, engine.incarnation, fenced));
                break;
            }
            checkAll();
            RC_ASSERT(ledger.reservedOnHost(HostId("host")) <= 30 * GiB);
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(memoryIsReservedPerHostOverAllItsEndpoints)
{
    Ledger ledger;
    ledger.registerEndpoint(endpoint("e1", 1, true));
    ledger.registerEndpoint(endpoint("e2", 1, true));
    BOOST_TEST(ledger.reserve(EndpointId("e1"), 1, model("a", 20 * GiB, 1)).verdict == pb::VERDICT_OK);
    // e2 has 24 GiB of its own, but the host has only 10 GiB left.
    BOOST_TEST(ledger.reserve(EndpointId("e2"), 1, model("b", 12 * GiB, 1)).verdict == pb::VERDICT_NO_CAPACITY);
    BOOST_TEST(ledger.reserve(EndpointId("e2"), 1, model("b", 10 * GiB, 1)).verdict == pb::VERDICT_OK);
    BOOST_TEST(ledger.reserve(EndpointId("e1"), 2, model("c", GiB, 1)).verdict == pb::VERDICT_STALE);
}

// A replica restored from a snapshot registers the next incarnation of a known endpoint, also on another host.
BOOST_DATA_TEST_CASE(restoredLedgerRegistersANewIncarnation, bdata::make({"host", "other"}), host)
{
    Ledger ledger;
    ledger.registerEndpoint(endpoint("e1", 1, true));
    ledger.registerEndpoint(endpoint("e2", 1, true));
    pb::MachineState saved;
    ledger.save(saved);
    Ledger restored;
    restored.restore(saved);
    EndpointRecord next = endpoint("e1", 2, true);
    next.host = HostId(host);
    BOOST_TEST(restored.registerEndpoint(next).verdict == pb::VERDICT_OK);
    BOOST_TEST(restored.endpoint(EndpointId("e1"))->incarnation == 2u);
    // The memory of the host is still limited by both of its endpoints' records.
    BOOST_TEST(restored.reserve(EndpointId("e2"), 1, model("a", 20 * GiB, 1)).verdict == pb::VERDICT_OK);
    const bool sameHost = std::string(host) == "host";
    const LedgerResult second = restored.reserve(EndpointId("e1"), 2, model("b", 12 * GiB, 1));
    BOOST_TEST(second.verdict == (sameHost ? pb::VERDICT_NO_CAPACITY : pb::VERDICT_OK));
}

BOOST_AUTO_TEST_CASE(staleReportDoesNotReleaseASlot)
{
    Ledger ledger;
    ledger.registerEndpoint(endpoint("e1", 1, true));
    const LedgerResult load = ledger.reserve(EndpointId("e1"), 1, model("a", GiB, 1));
    ledger.answerOrder(load.slot, load.fence, 7);
    BOOST_TEST(ledger.release(load.slot, Fence(0), 7).verdict == pb::VERDICT_STALE);
    BOOST_TEST(ledger.release(load.slot, Fence(0), 8).verdict == pb::VERDICT_OK);
}

namespace
{

struct ClaimRow {
    const char *name;
    pb::ClaimOutcome first; // outcome of the first attempt
    pb::Verdict resend;
    pb::ClaimOutcome outcome;
};

std::ostream &operator<<(std::ostream &os, const ClaimRow &row)
{
    return os << row.name;
}

const std::vector<ClaimRow> ClaimRows{
    {"running", pb::CLAIM_RUNNING, pb::VERDICT_RUNNING, pb::CLAIM_RUNNING},
    {"completed", pb::CLAIM_COMPLETED, pb::VERDICT_STORED, pb::CLAIM_COMPLETED},
    {"unknown", pb::CLAIM_UNKNOWN, pb::VERDICT_STORED, pb::CLAIM_UNKNOWN},
    {"not run", pb::CLAIM_NOT_RUN, pb::VERDICT_OK, pb::CLAIM_RUNNING},
};

} // namespace

BOOST_DATA_TEST_CASE(resendOfAClaim, bdata::make(ClaimRows), row)
{
    Claims claims;
    const WallTime now(Millis(2000));
    BOOST_TEST(claims.start(start("k", "first"), now).verdict() == pb::VERDICT_OK);
    claims.finish(finish("k", "first", row.first));
    pb::MachineState saved;
    claims.save(saved);
    Claims restored;
    restored.restore(saved);
    const pb::CommandResult result = restored.start(start("k", "second"), now);
    BOOST_TEST(result.verdict() == row.resend);
    BOOST_TEST(result.outcome() == row.outcome);
    BOOST_TEST(restored.start(start("k", "third", 2), now).verdict() == pb::VERDICT_KEY_MISMATCH);
}

BOOST_AUTO_TEST_CASE(expiredKeyIsRefused)
{
    const bool passed = rc::check("a key runs at most once, whenever it is sent again", [] {
        Claims claims;
        WallTime now(Millis(1000000));
        int runs = 0;
        for (int i = 0; i < 20; ++i) {
            now += Millis(*rc::gen::inRange<int64_t>(0, tunables::IdempotencyKeyMaxAge.count() / 4));
            claims.expire(now);
            runs += claims.start(start("k", std::to_string(i), 1, 1000000), now).verdict() == pb::VERDICT_OK ? 1 : 0;
        }
        RC_ASSERT(runs == 1);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(unknownOutcomeNeverBecomesNotRun)
{
    Claims claims;
    claims.start(start("k", "a"), WallTime(Millis(2000)));
    claims.finish(finish("k", "a", pb::CLAIM_UNKNOWN));
    claims.finish(finish("k", "a", pb::CLAIM_NOT_RUN));
    BOOST_TEST(claims.start(start("k", "b"), WallTime(Millis(2000))).outcome() == pb::CLAIM_UNKNOWN);
    claims.finish(finish("k", "a", pb::CLAIM_COMPLETED));
    BOOST_TEST(claims.start(start("k", "c"), WallTime(Millis(2000))).answer().body() == "answer");
}

BOOST_AUTO_TEST_CASE(documentChangesAreComparedAndDeduplicated)
{
    StateMachine machine;
    const std::string text = "pools: [{name: p, endpointBytes: 8GiB}]";
    BOOST_TEST(machine.apply(change("one", 0, text)).revision() == 1u);
    const pb::CommandResult conflict = machine.apply(change("two", 0, text));
    BOOST_TEST(conflict.verdict() == pb::VERDICT_CONFLICT);
    BOOST_TEST(conflict.message().find("op-one") != std::string::npos);
    for (int i = 0; i < 300; ++i)
        BOOST_TEST(machine.apply(change("c" + std::to_string(i), uint64_t(i) + 1, text)).revision() == uint64_t(i) + 2);
    StateMachine restored;
    restored.restore(machine.save());
    BOOST_TEST(restored.apply(change("one", 0, text)).revision() == 1u);
    BOOST_TEST(restored.revision().value() == 301u);
    BOOST_TEST(restored.apply(change("one", 301, text)).verdict() == pb::VERDICT_CONFLICT);
    BOOST_TEST(restored.save().SerializeAsString() == machine.save().SerializeAsString());
}

BOOST_AUTO_TEST_CASE(crashesAreCountedOncePerLostEndpoint)
{
    Quarantine quarantine;
    pb::ReportCrash report;
    report.set_fingerprint(5);
    report.set_endpoint("e1");
    report.set_incarnation(1);
    BOOST_TEST(quarantine.report(report, WallTime()).count() == 1u);
    BOOST_TEST(quarantine.report(report, WallTime()).count() == 1u);
    BOOST_TEST(quarantine.quarantined().empty());
    report.set_incarnation(2);
    BOOST_TEST(quarantine.report(report, WallTime()).count() == 2u);
    BOOST_TEST(quarantine.quarantined().size() == 1u);
    quarantine.expire(WallTime(tunables::QuarantineDuration));
    BOOST_TEST(quarantine.quarantined().empty());
}

struct TokenRow {
    const char *name;
    std::vector<const char *> changed; // sections
    const char *error; // part of it; empty: none
};

std::ostream &operator<<(std::ostream &os, const TokenRow &row)
{
    return os << row.name;
}

const std::vector<TokenRow> TokenRows{
    {"the section with the older caller", {"one"}, "line 1, column 11: section 'one': callers 'b' and 'a' have the same token"},
    {"both sections", {"one", "two"}, "callers 'a' and 'b' have the same token; create one for each with 'roserailctl token'"},
    {"another section, beside callers that share a token already", {"three"}, ""},
    {"a section with two callers of one token", {"four"}, "callers 'd' and 'e' have the same token"},
};

// A caller can't be given the token of another one. Sections that are not changed don't prevent a change.
BOOST_DATA_TEST_CASE(tokensOfChangedSectionsAreUnique, bdata::make(TokenRows), row)
{
    const auto section = [](const std::string &name, const std::string &callers) {
        return parseSection(name, "callers: [" + callers + "]").value();
    };
    const auto caller = [](char name, char digit) {
        return fmt::format("{{name: {}, tokenSha256: \"{}\"}}", name, std::string(64, digit));
    };
    std::vector<SectionContent> sections{section("one", caller('a', '1')), section("two", caller('b', '1')),
                                         section("three", caller('c', '3'))};
    if (std::string(row.changed.front()) == "four")
        sections.push_back(section("four", caller('d', '4') + ", " + caller('e', '4')));
    const Result<void> checked = checkTokens(sections, {row.changed.begin(), row.changed.end()});
    BOOST_REQUIRE(checked.has_error() == (*row.error != '\0'));
    if (checked.has_error())
        BOOST_TEST(checked.error().message.find(row.error) != std::string::npos, checked.error().message);
}
