// Tests of the platform's codec: what is decoded from messages, and what is refused as invalid.
#define BOOST_TEST_MODULE platform
#include "platform/codec.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <sys/resource.h>

using namespace roserail;

namespace bdata = boost::unit_test::data;

namespace
{

using Json = nlohmann::json;

const PlatformCodec &Codec = platform::codec();

Json configuration()
{
    return Json::parse(R"({"version":7,
        "routes":[{"name":"r1","host":"h","path_prefix":"/a/","type":"streaming","timeout_ms":25000,"target_latency_ms":2500,
                   "priority":1,"service":"s1","max_attempts":2,"session_affinity":true,"resumable":true,"gap_target_ms":250},
                  {"name":"r2","host":"h","path_prefix":"/b/","type":"safe","timeout_ms":1000,
                   "weighted_services":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":1}],
        "services":[{"name":"s1","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,
                     "engine":{"slots":64,"kv_capacity":166161,"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":3.3,
                               "models":[{"name":"m1","weights_mb":42700.0,"load_time_s":6.0,"adapters":28,"adapter_size_mb":66.0,
                                          "warm_s":0.44,"disk_load_s":0.57}]}},
                    {"name":"s2","health_path":"/healthz","max_connections":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "a_field_of_later":{}})");
}

Json heartbeat()
{
    return Json::parse(R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,"state":"ready",
        "cold_remaining_ms":0,"stage":"combined","models":[{"name":"m1","version":1,"adapters":["a3"]}],"sequence":4,
        "available":{"in_memory":["m1"],"on_disk":["m1","m2"]},"born":1700000000000})");
}

struct Change {
    const char *pointer; // JSON pointer to the value to replace
    const char *value; // new value as JSON; empty to remove it
};

std::ostream &operator<<(std::ostream &os, const Change &change)
{
    return os << change.pointer << " = " << change.value;
}

std::string changed(Json body, const Change &change)
{
    const Json::json_pointer pointer(change.pointer);
    if (*change.value == '\0')
        body[pointer.parent_pointer()].erase(pointer.back());
    else
        body[pointer] = Json::parse(change.value);
    return body.dump();
}

} // namespace

BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const RouteTable table = Codec.decodeConfiguration(configuration().dump()).value();
    BOOST_TEST(table.version == 7u);
    BOOST_REQUIRE(table.routes.size() == 2u);
    const Route &first = table.routes[0];
    BOOST_TEST((first.retryPolicy == RetryPolicy::Resume));
    BOOST_TEST(first.stream);
    BOOST_TEST((first.latencyTarget == Millis(2500)));
    BOOST_TEST((first.abandonTimeout == Millis(10000)));
    BOOST_TEST(first.attempts == 2u);
    BOOST_TEST((table.routes[1].retryPolicy == RetryPolicy::Always));
    BOOST_TEST(table.routes[1].services.size() == 2u);
    const EngineSpec &engine = table.service(ServiceId("s1"))->engine;
    BOOST_TEST(engine.adapterSlots == 8u);
    BOOST_TEST((engine.models.at("m1").diskLoadTime == Millis(570)));
    BOOST_TEST(!table.service(ServiceId("s2"))->hasEngine);
}

const Change InvalidConfigurations[] = {
    {"/version", ""},
    {"/version", "\"7\""},
    {"/version", "-1"},
    {"/routes", "{}"},
    {"/services", "null"},
    {"/routes/0/service", "\"unknown\""},
    {"/routes/0/service", "5"},
    {"/routes/0/timeout_ms", "0"},
    {"/routes/0/timeout_ms", "\"1s\""},
    {"/routes/0/type", "\"other\""},
    {"/routes/0/type", ""},
    {"/routes/0/resumable", "\"yes\""},
    {"/routes/0/path_prefix", "\"a\""},
    {"/routes/1/path_prefix", "\"/a/\""},
    {"/routes/1/weighted_services", "[]"},
    {"/routes/1/weighted_services", "[{\"service\":\"s1\",\"weight\":0}]"},
    {"/routes/1/weighted_services/0/weight", "1e300"},
    {"/routes/0", "7"},
    {"/services/1/name", "\"s1\""},
    {"/services/0/engine/models/0/weights_mb", "\"much\""},
    {"/tenants", "{}"},
    {"/tenants", R"([{"api_keys":["k1"]}])"},
    {"/tenants", R"([{"name":"","api_keys":["k1"]}])"},
    {"/tenants", R"([{"name":"a\r\nb","api_keys":["k1"]}])"},
    {"/tenants", R"([{"name":"a","api_keys":"k1"}])"},
    {"/tenants", R"([{"name":"a","api_keys":[1]}])"},
    {"/tenants", R"([{"name":"a","unit":"byte"}])"},
    {"/tenants", R"([{"name":"a"},{"name":"a"}])"},
    {"/tenants", R"([{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k2","k1"]}])"},
};
BOOST_DATA_TEST_CASE(invalidConfigurationIsRefused, bdata::make(InvalidConfigurations), change)
{
    const Result<RouteTable> table = Codec.decodeConfiguration(changed(configuration(), change));
    BOOST_REQUIRE(table.has_error());
    BOOST_TEST((table.error().kind == ErrorKind::InvalidDocument));
    BOOST_TEST(!table.error().message.empty());
}

BOOST_AUTO_TEST_CASE(accountsAreDecoded)
{
    BOOST_TEST(!Codec.decodeConfiguration(configuration().dump()).value().accounts);
    const Change change{"/tenants", R"([{"name":"a","api_keys":["k1","k1"],"priority":2,"unit":"token","rate_per_s":5.5,"burst":7,
        "plain_tokens":3},{"name":"b"}])"};
    Json body = Json::parse(changed(configuration(), change));
    body["routes"][1]["anonymous"] = true;
    const RouteTable table = Codec.decodeConfiguration(body.dump()).value();
    BOOST_TEST(!table.routes[0].anonymous);
    BOOST_TEST(table.routes[1].anonymous);
    const Account &a = *table.accounts->findByKey(digestOf("k1"));
    BOOST_TEST(a.id.value() == "a");
    BOOST_TEST(a.priority.value() == 2u);
    BOOST_TEST((a.quota.unit == QuotaUnit::Token && a.quota.perSecond == 5.5 && a.quota.burst == 7 && a.quota.plainTokens == 3));
    const Account &b = *table.accounts->find(AccountId("b"));
    BOOST_TEST((!b.priority && !b.quota.limited() && b.keys.empty()));
}

BOOST_AUTO_TEST_CASE(heartbeatIsDecoded)
{
    const pb::Announcement announcement = Codec.decodeAnnouncement("i-1", heartbeat().dump()).value();
    BOOST_TEST(announcement.endpoint() == "i-1");
    BOOST_TEST(announcement.sequence() == 4u);
    BOOST_TEST(announcement.born_ms() == 1700000000000u);
    BOOST_TEST(!announcement.leaving());
    BOOST_TEST(announcement.models(0).adapters(0) == "a3");
    BOOST_TEST(announcement.on_disk_size() == 2);
    BOOST_TEST(announcement.software() == "v1");
    Json unversioned = heartbeat();
    unversioned.erase("version");
    BOOST_TEST(Codec.decodeAnnouncement("i-1", unversioned.dump()).value().software().empty());
    Json leaving = heartbeat();
    leaving["state"] = "draining";
    BOOST_TEST(Codec.decodeAnnouncement("i-1", leaving.dump()).value().leaving());
}

const Change InvalidHeartbeats[] = {
    {"/service", ""},
    {"/service", "[]"},
    {"/address", "7"},
    {"/state", "\"other\""},
    {"/state", ""},
    {"/sequence", "\"4\""},
    {"/sequence", "-4"},
    {"/models", "{}"},
    {"/models/0", "null"},
    {"/models/0/name", "1"},
    {"/models/0/adapters", "3"},
    {"/models/0/adapters", "[3]"},
    {"/slots", "\"many\""},
    {"/born", "1e400"},
    {"/version", "7"},
    {"/version", "null"},
    {"/slots", "4294967296"},
    {"/slots", "9e15"},
    {"/slots", "-1"},
    {"/sequence", "9e15"},
    {"/sequence", "1e19"},
    {"/born", "9e15"},
    {"/born", "-1"},
    {"/born", "18446744073709551616"},
    {"/address", "\"10.0.0.9:70000\""},
    {"/address", "\"10.0.0.9:-1\""},
    {"/address", "\"10.0.0.9:0\""},
    {"/address", "\"10.0.0.9:80x\""},
    {"/address", "\"10.0.0.9: 80\""},
    {"/address", "\"10.0.0.9:4294967376\""},
    {"/address", "\"10.0.0.9\""},
    {"/address", "\"h.example:80\""},
    {"/address", "\"\""},
    {"/address", "\":80\""},
};
BOOST_DATA_TEST_CASE(invalidHeartbeatIsRefused, bdata::make(InvalidHeartbeats), change)
{
    const Json body = heartbeat();
    std::string text = std::string(change.value) == "1e400" ? body.dump() : changed(body, change);
    if (std::string(change.value) == "1e400")
        text.replace(text.find("1700000000000"), 13, "1e400");
    BOOST_TEST(Codec.decodeAnnouncement("i-1", text).has_error());
}

// Guards against an entry of another writer whose id is no text: the messages that carry it could not be read by any host.
BOOST_DATA_TEST_CASE(entryWithAnIdThatIsNoNameIsRefused,
                     bdata::make({std::string("i-\xff"), std::string("i-\xc3\x28"), std::string(), std::string("i 1"), std::string("i\n1"),
                                  std::string(2000, 'i')}),
                     id)
{
    BOOST_TEST(Codec.decodeAnnouncement(id, heartbeat().dump()).has_error());
}

// Guards against bytes of a caller that are no text in the messages to the control hosts, which then could not be read.
BOOST_AUTO_TEST_CASE(namesOfACallerAreText)
{
    const RequestMetadata metadata
        = Codec.requestMetadata([](std::string_view name) -> std::string_view { return name == "X-Model" ? "m\xff/a\xc3\x28" : ""; });
    BOOST_TEST(metadata.model == "m\uFFFD");
    BOOST_TEST(metadata.adapter == "a\uFFFD(");
    const RequestMetadata named
        = Codec.requestMetadata([](std::string_view name) -> std::string_view { return name == "X-Model" ? "mod\u00E8le/\u00E4" : ""; });
    BOOST_TEST(named.model == "mod\u00E8le");
    BOOST_TEST(named.adapter == "\u00E4");
}

struct NestedBody {
    std::string name;
    std::string open;
    std::string close;
};
std::ostream &operator<<(std::ostream &os, const NestedBody &body)
{
    return os << body.name;
}
const std::vector<NestedBody> NestedBodies{{"lists", "[", "]"}, {"objects", "{\"a\":", "}"}, {"lists without end", "[", ""}};

// Guards against a deeply nested body, which took a hundred times its size in memory while it was decoded: 8 MB ended a process.
BOOST_DATA_TEST_CASE(deeplyNestedBodyIsRefusedWithLittleMemory, bdata::make(NestedBodies), nested)
{
    constexpr size_t bodyBytes = 8u << 20; // the limit of a body
    constexpr long maxGrowthKilobytes = 64 << 10; // less than half of the memory of the smallest hosts
    std::string value;
    for (size_t n = 0; n < bodyBytes / (nested.open.size() + 1); ++n)
        value += nested.open;
    value += nested.open == "[" ? "" : "0";
    for (size_t n = 0; n < bodyBytes / (nested.open.size() + 1) && !nested.close.empty(); ++n)
        value += nested.close;
    std::string body = heartbeat().dump();
    body.insert(1, "\"unread\":" + value + ",");
    rusage before{};
    rusage after{};
    ::getrusage(RUSAGE_SELF, &before);
    BOOST_TEST(Codec.decodeAnnouncement("i-1", body).has_error());
    BOOST_TEST(Codec.decodeConfiguration(body).has_error());
    BOOST_TEST(Codec.decodeReport(body).has_error());
    ::getrusage(RUSAGE_SELF, &after);
    BOOST_TEST(after.ru_maxrss - before.ru_maxrss < maxGrowthKilobytes);
}

// Brackets inside of texts are no nesting.
BOOST_AUTO_TEST_CASE(bracketsInTextAreAccepted)
{
    Json body = heartbeat();
    body["zone"] = std::string(1000, '[') + "\\\"{{{";
    BOOST_TEST(Codec.decodeAnnouncement("i-1", body.dump()).value().zone().size() == 1005u);
}

struct DeadlineRow {
    const char *header;
    int64_t ms; // -1: none
};
std::ostream &operator<<(std::ostream &os, const DeadlineRow &row)
{
    return os << row.header;
}
const DeadlineRow DeadlineRows[] = {{"1500", 1500}, {"0", 0}, {"-5", 0}, {"9223372036854775807", 43200000}, {"soon", -1}, {"1e9", -1}};
// Guards against a time limit that overflows when it is added to the time of the request.
BOOST_DATA_TEST_CASE(timeLimitOfACallerIsBounded, bdata::make(DeadlineRows), row)
{
    const RequestMetadata metadata = Codec.requestMetadata(
        [&](std::string_view name) -> std::string_view { return name == "X-Deadline-Ms" ? row.header : std::string_view(); });
    BOOST_TEST((metadata.timeout ? metadata.timeout->count() : -1) == row.ms);
}

BOOST_AUTO_TEST_CASE(arbitraryBytesAreDecodedOrRefused)
{
    BOOST_TEST(rc::check([](const std::string &bytes, size_t cut) {
        (void)Codec.decodeConfiguration(bytes).has_error();
        (void)Codec.decodeAnnouncement("i", bytes).has_error();
        (void)Codec.decodeReport(bytes).has_error();
        const std::string whole = configuration().dump();
        if (cut % whole.size() != 0)
            RC_ASSERT(Codec.decodeConfiguration(whole.substr(0, cut % whole.size())).has_error());
        const PlatformCodec::Lookup lookup = [&bytes](std::string_view) {
            return std::string_view(bytes);
        };
        (void)Codec.requestMetadata(lookup);
        (void)Codec.responseMetadata(200, lookup);
    }));
}

struct AdviceRow {
    int status;
    const char *retryAfter;
    const char *leaving;
    int pauseMs; // -1: none
    bool isLeaving;
};
std::ostream &operator<<(std::ostream &os, const AdviceRow &row)
{
    return os << row.status << " '" << row.retryAfter << "' '" << row.leaving << "'";
}
const AdviceRow AdviceRows[] = {
    {503, "2", "", 2000, false},
    {503, "0.25", "1", 250, true},
    {200, "2", "1", -1, true}, // only a refusal asks for a pause
    {429, "2", "0", -1, false},
    {503, "", "yes", -1, false},
    {503, "0", "", -1, false},
    {503, "-3", "", -1, false},
    {503, "soon", "", -1, false},
    {503, "Fri, 04 Dec 2026 08:00:00 GMT", "", -1, false},
    {503, "nan", "", -1, false},
    {503, "inf", "", -1, false},
    {503, "31536000", "", 1000000000, false}, // a year; the decision what to make of it is not the adapter's
    {503, "1e300", "", 1000000000, false},
};
BOOST_DATA_TEST_CASE(adviceOfEndpointsIsDecoded, bdata::make(AdviceRows), row)
{
    const ResponseMetadata metadata = Codec.responseMetadata(row.status, [&](std::string_view name) -> std::string_view {
        return name == "Retry-After" ? row.retryAfter : name == "Server-Leaving" ? row.leaving : "";
    });
    BOOST_TEST(metadata.leaving == row.isLeaving);
    BOOST_TEST(metadata.pause.has_value() == (row.pauseMs >= 0));
    if (metadata.pause)
        BOOST_TEST(std::min<int64_t>(metadata.pause->count(), 1000000000) == row.pauseMs);
}

struct CapacityRow {
    const char *limit;
    const char *brittle;
    std::optional<double> requestsPerSecond;
    std::optional<uint32_t> maxRefusals;
};
std::ostream &operator<<(std::ostream &os, const CapacityRow &row)
{
    return os << "'" << row.limit << "' '" << row.brittle << "'";
}
const CapacityRow CapacityRows[] = {
    {"", "", std::nullopt, std::nullopt},
    {"1.8", "", 1.8, std::nullopt},
    {"2", "3", 2.0, 3},
    {"0", "0", 0.0, 0},
    {"-1", "-1", std::nullopt, std::nullopt},
    {"few", "very", std::nullopt, std::nullopt},
    {"nan", "2.5", std::nullopt, std::nullopt},
    {"inf", "", std::nullopt, std::nullopt},
};
BOOST_DATA_TEST_CASE(capacityOfEndpointsIsDecoded, bdata::make(CapacityRows), row)
{
    const ResponseMetadata metadata = Codec.responseMetadata(200, [&](std::string_view name) -> std::string_view {
        return name == "Server-Limit" ? row.limit : name == "Server-Brittle" ? row.brittle : "";
    });
    BOOST_TEST((metadata.requestsPerSecond == row.requestsPerSecond));
    BOOST_TEST((metadata.maxRefusals == row.maxRefusals));
}

struct LoadRow {
    const char *header;
    bool valid;
    std::optional<uint32_t> slots;
    std::optional<double> slowdown;
};
std::ostream &operator<<(std::ostream &os, const LoadRow &row)
{
    return os << "'" << row.header << "'";
}
const LoadRow LoadRows[] = {
    {"", false, std::nullopt, std::nullopt},
    {"3", false, std::nullopt, std::nullopt},
    {"3,x,8", false, std::nullopt, std::nullopt},
    {"3,1", true, std::nullopt, std::nullopt},
    {"3,1,8", true, 8, std::nullopt},
    {"3,1,8,100", true, 8, 1.0},
    {"3,1,8,250", true, 8, 2.5},
    {"3,1,8,62.5", true, 8, 0.625},
    {"3,1,0,250", true, std::nullopt, 2.5},
    {"3,1,4000000000,250", true, std::nullopt, 2.5},
    {"3,1,many,250", true, std::nullopt, 2.5},
    {"3,1,8,0", true, 8, std::nullopt},
    {"3,1,8,-250", true, 8, std::nullopt},
    {"3,1,8,nan", true, 8, std::nullopt},
    {"3,1,8,inf", true, 8, std::nullopt},
    {"3,1,8,1e9", true, 8, std::nullopt},
    {"3,1,8,250%", true, 8, std::nullopt},
};
BOOST_DATA_TEST_CASE(loadOfEndpointsIsDecoded, bdata::make(LoadRows), row)
{
    const ResponseMetadata metadata
        = Codec.responseMetadata(200, [&](std::string_view name) -> std::string_view { return name == "X-Server-Load" ? row.header : ""; });
    BOOST_REQUIRE(metadata.load.has_value() == row.valid);
    if (!row.valid)
        return;
    BOOST_TEST(metadata.load->running == 3);
    BOOST_TEST((metadata.load->slots == row.slots));
    BOOST_TEST((metadata.load->slowdown == row.slowdown));
}

struct CallRow {
    const char *method;
    const char *target;
    CallKind kind;
    const char *endpoint;
};
std::ostream &operator<<(std::ostream &os, const CallRow &row)
{
    return os << row.method << " " << row.target;
}
const CallRow CallRows[] = {
    {"GET", "/api/readyz", CallKind::Ready, ""},
    {"GET", "/api/resolve?name=h&region=r&zone=z", CallKind::Resolve, ""},
    {"PUT", "/api/config", CallKind::PutConfiguration, ""},
    {"GET", "/api/config", CallKind::GetConfiguration, ""},
    {"POST", "/api/config", CallKind::Forward, ""},
    {"PUT", "/api/instances/i-1", CallKind::Announce, "i-1"},
    {"DELETE", "/api/instances/i-1", CallKind::Withdraw, "i-1"},
    {"GET", "/api/instances/i-1", CallKind::Forward, ""},
    {"GET", "/other", CallKind::Forward, ""},
};
BOOST_DATA_TEST_CASE(callsAreClassified, bdata::make(CallRows), row)
{
    const Call call = Codec.classify(row.method, row.target);
    BOOST_TEST((call.kind == row.kind));
    BOOST_TEST(call.endpoint == row.endpoint);
}

BOOST_AUTO_TEST_CASE(requestIsDecoded)
{
    const std::map<std::string, std::string> headers{{"X-Request-Id", "id"},
                                                     {"X-Deadline-Ms", "1200"},
                                                     {"X-Model", "m1/a3"},
                                                     {"X-Token-Count", "1460,80"},
                                                     {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,broken"}};
    const RequestMetadata metadata = Codec.requestMetadata([&](std::string_view name) {
        const auto it = headers.find(std::string(name));
        return it == headers.end() ? std::string_view() : std::string_view(it->second);
    });
    BOOST_TEST(metadata.id == "id");
    BOOST_TEST((metadata.timeout == Millis(1200)));
    BOOST_TEST(metadata.model == "m1");
    BOOST_TEST(metadata.adapter == "a3");
    BOOST_TEST(metadata.promptTokens == 1460u);
    BOOST_TEST(metadata.outputTokens == 80u);
    BOOST_REQUIRE(metadata.prompt.size() == 2u);
    BOOST_TEST(metadata.prompt[0].id == 0x5c1e07a2u);
    BOOST_TEST(metadata.prompt[1].tokens == 410u);
}

BOOST_AUTO_TEST_CASE(orderIsEncoded)
{
    ArtifactOrder order;
    order.model = "m1";
    order.holder = "node-7";
    order.fence = 41;
    order.expectedSequence = 2;
    Json body = Json::parse(Codec.encodeOrder(order));
    BOOST_TEST(body == Json::parse(R"({"operation":"load","model":"m1","expect":2,"holder":"node-7","fencing_token":41})"));
    order.action = OrderAction::Unload;
    order.adapter = "a3";
    body = Json::parse(Codec.encodeOrder(order));
    BOOST_TEST(body["operation"] == "unload");
    BOOST_TEST(body["adapter"] == "a3");
}

struct AnswerRow {
    int status;
    OrderAnswer answer;
};
std::ostream &operator<<(std::ostream &os, const AnswerRow &row)
{
    return os << row.status;
}
const AnswerRow AnswerRows[] = {{202, OrderAnswer::Accepted}, {200, OrderAnswer::AlreadyHolds}, {409, OrderAnswer::Busy},
                                {412, OrderAnswer::Refused},  {421, OrderAnswer::Refused},      {400, OrderAnswer::Refused}};
BOOST_DATA_TEST_CASE(orderAnswerIsDecoded, bdata::make(AnswerRows), row)
{
    BOOST_TEST((Codec.decodeOrderAnswer(row.status) == row.answer));
}

BOOST_AUTO_TEST_CASE(headersOfTheSystemAreReserved)
{
    for (const char *it : {"X-Hold", "x-pin-ms", "X-KV-BACKUP", "Kv-From", "X-Deadline-Ms", "x-expect-instance"})
        BOOST_TEST(Codec.isReserved(it));
    for (const char *it : {"X-Request-Id", "X-Model", "X-Token-Count", "X-Prefix-Hash", "Last-Event-Id", "X-Length-Hint"})
        BOOST_TEST(!Codec.isReserved(it));
}
