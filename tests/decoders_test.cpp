// Random damage to every message that another program or an operator writes: decoders refuse it or take it, but never end the process,
// and what they take can be sent on. To be run with the sanitizers as well (cmake -DROSERAIL_SANITIZERS=ON).
#define BOOST_TEST_MODULE decoders
#include "coordination/crashingparts.h"
#include "coordination/registry.h"
#include "livestate.h"
#include "platform/codec.h"
#include "protocol/hostsettings.h"
#include "state/configurationtransfer.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

using namespace roserail;
using namespace roserail::test;

namespace bdata = boost::unit_test::data;

namespace
{

const PlatformCodec &Codec = platform::codec();

const std::string Heartbeat = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,"state":"ready",
    "stage":"combined","models":[{"name":"m1","version":1,"adapters":["a3"]}],"sequence":4,
    "available":{"in_memory":["m1"],"on_disk":["m1","m2"]},"born":1700000000000})";

const std::string Report = R"({"state":"ready","models":[{"name":"m1","adapters":["a1"]}],"pending":["a2"],"busy":true,"sequence":3,
    "available":{"in_memory":["m1"],"on_disk":["m2"]},"born":1700000000000})";

const std::string Configuration = R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","type":"streaming",
    "timeout_ms":25000,"target_latency_ms":2500,"priority":1,"service":"s1","max_attempts":2,"resumable":true,"gap_target_ms":250}],
    "services":[{"name":"s1","health_path":"/healthz","max_connections":370,"engine":{"slots":64,"kv_capacity":166161,
    "weights_mb":200000.0,"adapter_slots":8,"loads_per_s":3.3,"models":[{"name":"m1","weights_mb":42700.0,"load_time_s":6.0,
    "adapters":28,"adapter_size_mb":66.0,"warm_s":0.44,"disk_load_s":0.57}]}}],"limits":{"max_header_bytes":16384,
    "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string Settings = "id: entry-1\nzone: z1\naddress: 127.0.0.1\nseeds: [\"127.0.0.1:29501\", \"127.0.0.2:29501\"]\n"
                             "internalPort: 29502\ngrace: 4s\nmetrics: \"127.0.0.1:29561\"\nfirstStart: true\n"
                             "listen: \"127.0.0.1:29511\"\nready: \"127.0.0.1:29521\"\ndirectory: \"127.0.0.1:29531\"\n";

const std::string Headers = "4 0 -1 1e400 99999999999999999999 v1 m1/a1 3:12,7:90 \xff\xfe 10.0.0.1:70000";

// What is inserted into a message.
const std::vector<std::string> Fragments{"1e400",
                                         "-1",
                                         "99999999999999999999",
                                         "9e15",
                                         "4294967296",
                                         "null",
                                         "true",
                                         "{}",
                                         "[]",
                                         "[[[[",
                                         "\"",
                                         "\\ud800",
                                         "\xff\xfe",
                                         std::string(1, '\0'),
                                         ":70000",
                                         "1.5",
                                         "{\"a\":",
                                         "- ",
                                         "&a *a",
                                         "!!int",
                                         std::string(20000, '['),
                                         std::string(20000, '{')};

std::string damaged(std::string text, std::mt19937_64 &random)
{
    for (uint64_t changes = 1 + random() % 4; changes > 0 && !text.empty(); --changes) {
        const size_t at = random() % text.size();
        const size_t length = std::min<size_t>(text.size() - at, random() % 24);
        switch (random() % 5) {
        case 0:
            text[at] = char(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, Fragments[random() % Fragments.size()]);
            break;
        case 3:
            text.replace(at, length, Fragments[random() % Fragments.size()]);
            break;
        default:
            text.insert(random() % text.size(), text.substr(at, length));
        }
    }
    return text;
}

// Returns whether a message can be sent to another process, and read there.
template <typename Message>
bool canBeSent(const Message &message)
{
    Message received;
    return received.ParseFromString(message.SerializeAsString());
}

void announce(const std::string &text)
{
    const Result<pb::Announcement> announcement = Codec.decodeAnnouncement("i-1", text);
    if (announcement.has_error())
        return;
    BOOST_TEST(canBeSent(announcement.value()));
    Registry registry(ExpiryTimes, Now);
    registry.merge(announcement.value(), Now);
    pb::SyncReply reply;
    registry.routerChangesSince(0, Now, reply);
    BOOST_TEST(canBeSent(reply));
}

void announceUnderId(const std::string &id)
{
    const Result<pb::Announcement> announcement = Codec.decodeAnnouncement(id, Heartbeat);
    BOOST_TEST((announcement.has_error() || canBeSent(announcement.value())));
}

void report(const std::string &text)
{
    const Result<EngineReport> decoded = Codec.decodeReport(text);
    if (decoded.has_error())
        return;
    pb::Holdings holdings;
    for (const pb::HeldModel &it : decoded.value().models)
        *holdings.add_models() = it;
    BOOST_TEST(canBeSent(holdings));
}

void configure(const std::string &text)
{
    const Result<RouteTable> table = Codec.decodeConfiguration(text);
    BOOST_TEST((table.has_error() || !table.value().routes.empty() || table.value().version > 0));
}

void readSettings(const std::string &text)
{
    const Result<EntrySettings> entry = parseEntrySettings(text, "entry.yaml");
    BOOST_TEST((entry.has_value() || !entry.error().message.empty()));
    const Result<KeeperSettings> keeper = parseKeeperSettings(text, "keeper.yaml");
    BOOST_TEST((keeper.has_value() || !keeper.error().message.empty()));
}

// Every header has the same value.
void readHeaders(const std::string &text)
{
    const PlatformCodec::Lookup lookup = [&](std::string_view) {
        return std::string_view(text);
    };
    const RequestMetadata request = Codec.requestMetadata(lookup);
    pb::ArtifactDemand demand;
    demand.set_model(request.model);
    demand.set_adapter(request.adapter);
    BOOST_TEST(canBeSent(demand));
    for (const int status : {200, 421, 503})
        Codec.responseMetadata(status, lookup);
}

// A state of a router as another build, or a damaged message, might send it.
std::string routerState()
{
    pb::SyncReply reply;
    reply.set_version(4);
    *reply.add_endpoints() = announcement("e1", 10, 1);
    pb::RouterState &state = *reply.add_routers();
    state.set_router("r1");
    state.set_accepting(true);
    pb::PartCrash &crash = *state.add_part_crashes();
    crash.set_endpoint("e1");
    crash.add_parts(7);
    state.add_sound_parts(8);
    pb::EndpointAdvice &advice = *state.add_advice();
    advice.set_endpoint("e1");
    advice.set_born_ms(10);
    advice.mutable_capacity()->set_requests_per_second(2);
    pb::ConfigurationPiece &piece = *reply.mutable_configuration_piece();
    piece.set_version(2);
    piece.set_size(4);
    piece.set_content("abcd");
    return reply.SerializeAsString();
}

void applyReply(const std::string &bytes)
{
    pb::SyncReply reply;
    if (!reply.ParseFromString(bytes))
        return;
    Registry registry(ExpiryTimes, Now);
    for (const pb::Announcement &it : reply.endpoints())
        registry.merge(it, Now - Millis(it.age_ms()));
    for (const pb::Holdings &it : reply.holdings())
        registry.merge(it, Now);
    for (const pb::RouterState &it : reply.routers())
        registry.merge(it, Now - Millis(it.age_ms()));
    CrashingParts parts;
    parts.update(registry, "self", Now);
    ConfigurationReceiver receiver;
    receiver.add(reply.configuration_piece());
    pb::SyncReply next;
    registry.routerChangesSince(0, Now, next);
    BOOST_TEST(canBeSent(next));
}

struct Decoder {
    std::string name;
    std::string message;
    void (*decode)(const std::string &text);
};

std::ostream &operator<<(std::ostream &out, const Decoder &it)
{
    return out << it.name;
}

const std::vector<Decoder> Decoders{
    {"heartbeat", Heartbeat, announce},
    {"id of an endpoint", "i-1843", announceUnderId},
    {"report", Report, report},
    {"configuration", Configuration, configure},
    {"settings", Settings, readSettings},
    {"headers", Headers, readHeaders},
    {"reply of a control host", routerState(), applyReply},
};

} // namespace

// Guards against a message of another writer that ends the process which reads it, or that no process can read once it is sent on.
// ROSERAIL_FUZZ_SEED and ROSERAIL_FUZZ_ROUNDS select other runs.
BOOST_DATA_TEST_CASE(damagedMessagesEndNothing, bdata::make(Decoders), decoder)
{
    const char *seed = std::getenv("ROSERAIL_FUZZ_SEED");
    const char *rounds = std::getenv("ROSERAIL_FUZZ_ROUNDS");
    std::mt19937_64 random(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10));
    const uint64_t n = rounds == nullptr ? 3000 : std::strtoull(rounds, nullptr, 10);
    decoder.decode(decoder.message);
    for (uint64_t round = 0; round < n; ++round)
        decoder.decode(damaged(decoder.message, random));
}

struct QuotaSettingsRow {
    const char *lines;
    const char *remedy; // in the error; empty: the settings are valid
    QuotaBounds bounds;
};
std::ostream &operator<<(std::ostream &os, const QuotaSettingsRow &row)
{
    return os << row.lines;
}
const QuotaSettingsRow QuotaSettingsRows[] = {
    {"", "", {Millis(8000), 0.1, 0}},
    {"quotaWindow: 4s\nquotaOvershoot: 0.2\nquotaSlack: 17000.0\n", "", {Millis(4000), 0.2, 17000}},
    {"quotaWindow: 8\n", "such as 250ms, 4s or 30m", {}},
    {"quotaWindow: 0s\n", "write a time such as 8s", {}},
    {"quotaOvershoot: 0\n", "write 0.1 for a tenth", {}},
    {"quotaOvershoot: 10\n", "write 0.1 for a tenth", {}},
    {"quotaOvershoot: .nan\n", "write 0.1 for a tenth", {}},
    {"quotaSlack: -1\n", "must be from 0", {}},
    {"quotaSlack: much\n", "a number of units", {}},
    {"quotaSlak: 1\n", "quotaSlak", {}},
};
BOOST_DATA_TEST_CASE(boundsOfQuotasAreReadStrictly, bdata::make(QuotaSettingsRows), row)
{
    const Result<EntrySettings> settings = parseEntrySettings(Settings + row.lines, "entry.yaml");
    BOOST_REQUIRE(settings.has_value() == (std::string(row.remedy).empty()));
    if (settings.has_error()) {
        BOOST_TEST(settings.error().message.find(row.remedy) != std::string::npos, settings.error().message);
        return;
    }
    BOOST_TEST((settings.value().host.quota == row.bounds));
    BOOST_TEST((parseEntrySettings(toYaml(settings.value()), "entry.yaml").value().host.quota == row.bounds));
}
