#include "transport/keeperapi.h"

#include "protocol/log.h"
#include "state/tunables.h"
#include "transport/clock.h"

namespace roserail
{

using namespace tunables;

namespace
{

// Of an endpoint's host to this one. An incarnation that started later replaces earlier ones for good.
constexpr Millis MaxClockSkew = std::chrono::hours(24);

const std::vector<HeaderField> JsonHeaders{{"Content-Type", "application/json"}};

} // namespace

KeeperApi::KeeperApi(net::io_context &io, const PlatformCodec &codec, LiveTable &table, ReplicaNode *node)
    : m_io(io)
    , m_codec(codec)
    , m_table(table)
    , m_node(node)
{
}

Task<> KeeperApi::handle(CallerConnection &caller)
{
    const Call call = caller.call(m_codec);
    switch (call.kind) {
    case CallKind::PutConfiguration:
        co_return co_await putConfiguration(caller);
    case CallKind::GetConfiguration:
        co_return co_await getConfiguration(caller);
    case CallKind::Announce:
        co_return co_await announce(caller, call.endpoint);
    case CallKind::Withdraw:
        co_return co_await withdraw(caller, call.endpoint);
    default:
        break;
    }
    const Error error{ErrorKind::NotFound, "control hosts do not serve this request; correct the path", 0};
    co_await answerError(caller, error);
}

Task<> KeeperApi::answerError(CallerConnection &caller, const Error &error)
{
    std::vector<HeaderField> headers = JsonHeaders;
    if (error.retryAfterMs > 0)
        headers.push_back({"Retry-After", fmt::format("{:.3f}", double(error.retryAfterMs) / 1000)});
    co_await caller.answer(unsigned(traits(error.kind).httpStatus), headers, m_codec.encodeError(error));
}

bool KeeperApi::leads() const
{
    return m_node != nullptr && m_node->status().leads(monotonicNow());
}

std::string KeeperApi::redirectTarget() const
{
    if (m_node != nullptr) {
        const ReplicaStatus status = m_node->status();
        for (const pb::Member &it : status.membership.members()) {
            if (status.leader && fromProto(it.identity()) == *status.leader && *status.leader != status.self)
                return it.operator_address();
        }
        return "";
    }
    const Time now = monotonicNow();
    return m_table.read([&](const Registry &registry) {
        const pb::KeeperState *best = nullptr;
        for (const std::pair<const std::string, LiveKeeper> &it : registry.keepers()) {
            const pb::KeeperState &state = it.second.state;
            if (state.disk() && now < it.second.lastSeenAt + KeeperStateMaxAge && (best == nullptr || state.term() > best->term()))
                best = &state;
        }
        return best == nullptr ? std::string() : best->operator_address();
    });
}

Task<> KeeperApi::redirect(CallerConnection &caller)
{
    const std::string address = redirectTarget();
    if (address.empty()) {
        const Error error{ErrorKind::Unavailable, "no control host is the leader at present; send the request again",
                          MinRetryAfter.count()};
        co_return co_await answerError(caller, error);
    }
    const boost::beast::string_view target = caller.request().target();
    std::vector<HeaderField> headers{{"Location", fmt::format("http://{}{}", address, std::string_view(target.data(), target.size()))}};
    co_await caller.answer(307, std::move(headers), "");
}

void KeeperApi::answerBy(Time deadline)
{
    m_answerBy = deadline;
    for (net::steady_timer *it : m_waits)
        it->cancel();
}

// Proposes a command and waits for its result without blocking the thread.
Task<Result<pb::CommandResult>> KeeperApi::propose(pb::Command command)
{
    struct Outcome {
        explicit Outcome(net::io_context &io)
            : done(io)
        {
        }
        net::steady_timer done;
        std::optional<Result<pb::CommandResult>> result;
    };
    const std::shared_ptr<Outcome> outcome = std::make_shared<Outcome>(m_io);
    m_node->propose(std::move(command), [&io = m_io, outcome](const Result<pb::CommandResult> &result) {
        net::post(io, [outcome, result] {
            outcome->result = result;
            outcome->done.cancel();
        });
    });
    const Time limit = monotonicNow() + ConfigurationCommitTimeout;
    m_waits.insert(&outcome->done);
    while (!outcome->result && monotonicNow() < std::min(limit, m_answerBy)) {
        ErrorCode ec;
        outcome->done.expires_after(std::min(limit, m_answerBy) - monotonicNow());
        co_await outcome->done.async_wait(net::redirect_error(net::use_awaitable, ec));
    }
    m_waits.erase(&outcome->done);
    if (!outcome->result)
        co_return Error{ErrorKind::Unavailable, "no majority of control hosts answered in time; send the same configuration again", 0};
    if (outcome->result->has_error() && outcome->result->error().kind == ErrorKind::NotLeader)
        co_return Error{ErrorKind::Unavailable, "another control host becomes the leader; send the same configuration again", 0};
    co_return *outcome->result;
}

Task<> KeeperApi::putConfiguration(CallerConnection &caller)
{
    const std::string &body = caller.request().body();
    const Result<RouteTable> table = m_codec.decodeConfiguration(body);
    if (table.has_error()) {
        logEvent("configuration_refused", {{"error", table.error().message}});
        const Error error{ErrorKind::BadRequest, table.error().message, 0};
        co_return co_await answerError(caller, error);
    }
    if (!leads())
        co_return co_await redirect(caller);
    pb::Command command;
    command.mutable_put_configuration()->mutable_configuration()->set_version(table.value().version);
    command.mutable_put_configuration()->mutable_configuration()->set_content(body);
    const Result<pb::CommandResult> result = co_await propose(std::move(command));
    logEvent("configuration_put",
             {{"version", table.value().version},
              {"outcome", result.has_value() ? "acknowledged" : "unknown"},
              {"in_force", result.has_value() ? result.value().revision() : 0},
              {"error", result.has_value() ? "" : result.error().message}});
    if (result.has_error()) {
        const Error error{ErrorKind::Unavailable, result.error().message, MinRetryAfter.count()};
        co_return co_await answerError(caller, error);
    }
    co_await caller.answer(200, JsonHeaders, "{}");
}

Task<> KeeperApi::getConfiguration(CallerConnection &caller)
{
    if (!leads())
        co_return co_await redirect(caller);
    const pb::WholeConfiguration configuration = m_node->withMachine([](const StateMachine &machine) { return machine.configuration(); });
    // The configuration is current only if the lease still holds after the read.
    if (!leads())
        co_return co_await redirect(caller);
    if (configuration.version() == 0) {
        const Error error{ErrorKind::Unavailable, "no configuration has been stored yet; send one", MinRetryAfter.count()};
        co_return co_await answerError(caller, error);
    }
    co_await caller.answer(200, JsonHeaders, configuration.content());
}

Task<> KeeperApi::announce(CallerConnection &caller, const std::string &endpoint)
{
    const std::string &body = caller.request().body();
    Result<pb::Announcement> announcement = body.size() > MaxReportBytes
        ? Error{ErrorKind::InvalidDocument, fmt::format("the heartbeat has {} bytes; send at most {}", body.size(), MaxReportBytes), 0}
        : m_codec.decodeAnnouncement(endpoint, body);
    if (announcement.has_value() && announcement.value().born_ms() > wallMillis() + uint64_t(MaxClockSkew.count()))
        announcement = Error{ErrorKind::InvalidDocument, "the endpoint's start lies in the future; correct it or its host's clock", 0};
    if (announcement.has_error()) {
        logEvent("announcement_refused", {{"endpoint", endpoint}, {"error", announcement.error().message}});
        const Error error{ErrorKind::BadRequest, announcement.error().message, 0};
        co_return co_await answerError(caller, error);
    }
    const Time now = monotonicNow();
    bool known = false;
    bool leaving = false;
    const bool merged = m_table.change([&](Registry &registry) {
        const auto it = registry.endpoints().find(endpoint);
        known = it != registry.endpoints().end() && it->second.announcement.born_ms() == announcement.value().born_ms();
        leaving = known && !it->second.usable();
        return registry.merge(announcement.value(), now);
    });
    if (merged && (!known || leaving != announcement.value().leaving()))
        logEvent("endpoint",
                 {{"endpoint", endpoint},
                  {"service", announcement.value().service()},
                  {"address", announcement.value().address()},
                  {"born_ms", announcement.value().born_ms()},
                  {"sequence", announcement.value().sequence()},
                  {"state", stateName(announcement.value())},
                  {"models", announcement.value().models_size()}});
    co_await caller.answer(200, JsonHeaders, "{}");
}

Task<> KeeperApi::withdraw(CallerConnection &caller, const std::string &endpoint)
{
    m_table.change([&](Registry &registry) { registry.withdraw(endpoint, monotonicNow()); });
    logEvent("endpoint", {{"endpoint", endpoint}, {"state", "gone"}});
    co_await caller.answer(200, JsonHeaders, "{}");
}

} // namespace roserail
