#include "transport/callerapi.h"

#include "protocol/callerrequest.h"
#include "protocol/json.h"
#include "protocol/metrics.h"
#include "protocol/orders.h"
#include "transport/clock.h"
#include "transport/streampipe.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace roserail
{

using namespace tunables;
using Json = nlohmann::json;

namespace
{

constexpr Millis DefaultOvernightDeadline = std::chrono::hours(8);
constexpr size_t MaxRequestsPerConnection = 100000;
const char *const SseContentType = "text/event-stream";

void countOutcome(std::string_view outcome)
{
    metrics().counter(fmt::format("roserail_requests_total{{outcome=\"{}\"}}", outcome)).add();
}

void answer(httplib::Response &response, const Error &error)
{
    countOutcome(traits(error.kind).name);
    response.status = traits(error.kind).httpStatus;
    if (error.retryAfterMs > 0)
        response.set_header("Retry-After", std::to_string((error.retryAfterMs + 999) / 1000));
    response.set_header("Roserail-Outcome", std::string(traits(error.kind).name));
    response.set_content(errorBody(error), "application/json");
}

void answer(httplib::Response &response, const Answer &complete)
{
    countOutcome("completed");
    response.status = complete.status;
    response.set_header("Roserail-Outcome", "completed");
    response.set_content(complete.body, complete.contentType.empty() ? "application/octet-stream" : complete.contentType.c_str());
}

// Returns the caller's headers that are forwarded to endpoints.
httplib::Headers forwardedHeaders(const httplib::Request &request)
{
    httplib::Headers headers;
    for (const char *name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        if (request.has_header(name))
            headers.emplace(name, request.get_header_value(name));
    }
    return headers;
}

bool isReadOnly(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

CallerApi::CallerApi(Router &router)
    : m_router(router)
    , m_server(router.settings().limits, RouterHttpThreads)
{
    m_server.set_payload_max_length(MaxBodyBytes);
    m_server.set_read_timeout(HttpIoTimeout);
    m_server.set_write_timeout(HttpIoTimeout);
    m_server.set_keep_alive_max_count(MaxRequestsPerConnection);
    m_server.set_tcp_nodelay(true);
    registerHandlers();
}

bool CallerApi::bind()
{
    const Result<HostPort> address = parseHostPort(m_router.settings().listen);
    return address.has_value() && m_server.bind_to_port(address.value().host.c_str(), address.value().port);
}

void CallerApi::listen()
{
    m_server.listen_after_bind();
}

void CallerApi::stop()
{
    m_server.stop();
}

void CallerApi::registerHandlers()
{
    const auto bind = [this](Handler handler) {
        return [this, handler](const httplib::Request &request, httplib::Response &response) {
            (this->*handler)(request, response);
        };
    };
    m_server.Post("/v1/chat/completions", bind(&CallerApi::postModel));
    m_server.Post("/v1/completions", bind(&CallerApi::postModel));
    m_server.Get("/v1/models", bind(&CallerApi::getModels));
    m_server.Get("/v1/streams", bind(&CallerApi::getStream));
    m_server.Get(R"(/services/([^/]+)(/.*)?)", bind(&CallerApi::handleService));
    m_server.Post(R"(/services/([^/]+)(/.*)?)", bind(&CallerApi::handleService));
    m_server.Put(R"(/services/([^/]+)(/.*)?)", bind(&CallerApi::handleService));
    m_server.Patch(R"(/services/([^/]+)(/.*)?)", bind(&CallerApi::handleService));
    m_server.Delete(R"(/services/([^/]+)(/.*)?)", bind(&CallerApi::handleService));
    m_server.Post("/roserail/v1/announce", bind(&CallerApi::postAnnounce));
    m_server.Get("/roserail/v1/addresses", bind(&CallerApi::getAddresses));
    m_server.Get("/healthz", bind(&CallerApi::getHealth));
    m_server.Get("/metrics", bind(&CallerApi::getMetrics));
    m_server.Get("/dump", bind(&CallerApi::getDump));
    m_server.set_post_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        if (m_router.refusesRequests())
            response.set_header("Connection", "close");
    });
    m_server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty())
            return;
        const bool large = response.status == 413 || response.status == 414 || response.status == 431;
        const Error error{large ? ErrorKind::TooLarge : (response.status == 404 ? ErrorKind::NotFound : ErrorKind::BadRequest),
                          large                        ? "the request is too large; shorten its body, path or headers"
                              : response.status == 404 ? "no such path; see docs/CALLERS.md"
                                                       : "the request is not valid HTTP; see docs/CALLERS.md"};
        response.set_content(errorBody(error), "application/json");
    });
}

Result<Caller> CallerApi::authenticate(const httplib::Request &request, const Document &document) const
{
    const std::string token = bearerToken(request.get_header_value("Authorization"));
    const Caller *caller = token.empty() ? nullptr : document.callerByToken(sha256Hex(token));
    if (caller == nullptr)
        return Error{ErrorKind::Unauthorized,
                     "no caller has this token; send 'Authorization: Bearer TOKEN', or have it added under 'callers'"};
    return *caller;
}

Result<void> CallerApi::fillCommonFields(const httplib::Request &request, const Caller &caller, ExchangeRequest &out) const
{
    const bool overnight = caller.requestClass == RequestClass::Overnight;
    BOOST_OUTCOME_TRY(
        allowed, parseDeadline(request.get_header_value("Roserail-Deadline-Ms"), overnight ? DefaultOvernightDeadline : DefaultDeadline));
    out.queued.caller = caller.id;
    out.queued.requestClass = caller.requestClass;
    out.queued.deadline = monotonicNow() + allowed;
    BOOST_OUTCOME_TRYV(m_router.admits(out.queued.deadline));
    out.method = request.method;
    out.headers = forwardedHeaders(request);
    out.headers.emplace("X-Priority", overnight ? "overnight" : "interactive");
    out.body = request.body;
    out.fingerprint = Fingerprint(hashOf(caller.id.value() + '\n' + out.method + '\n' + request.path + '\n' + request.body));
    if (m_router.quarantined(out.fingerprint))
        return Error{ErrorKind::Quarantined, "endpoints crashed while they ran this request; not run, change it or retry later",
                     QuarantineDuration.count()};
    return boost::outcome_v2::success();
}

Result<ExchangeRequest> CallerApi::buildModelRequest(const httplib::Request &request) const
{
    const std::shared_ptr<const Configuration> configuration = m_router.configuration();
    BOOST_OUTCOME_TRY(caller, authenticate(request, configuration->document));
    BOOST_OUTCOME_TRY(parsed, parseModelRequest(request.body));
    const Artifact *artifact = configuration->document.artifact(ArtifactId(parsed.model));
    if (artifact == nullptr)
        return Error{ErrorKind::NotFound,
                     fmt::format("no model or adapter is named '{}'; see GET /v1/models", parsed.model.substr(0, 128))};
    if (!caller.mayUse(parsed.model))
        return Error{ErrorKind::Forbidden,
                     fmt::format("caller '{}' may not use '{}'; have it added under 'use'", caller.id.value(), parsed.model)};
    ExchangeRequest exchange;
    BOOST_OUTCOME_TRY(fillCommonFields(request, caller, exchange));
    exchange.pool = artifact->pool;
    exchange.path = request.path;
    exchange.streaming = parsed.stream;
    exchange.queued.target = parsed.model;
    exchange.queued.prefixHash = parsed.prefixHash;
    exchange.queued.loadTime = artifact->loadTime;
    exchange.queued.replicaAllowed = artifact->maxReplicas > 0;
    return exchange;
}

Result<ExchangeRequest> CallerApi::buildServiceRequest(const httplib::Request &request) const
{
    const std::shared_ptr<const Configuration> configuration = m_router.configuration();
    BOOST_OUTCOME_TRY(caller, authenticate(request, configuration->document));
    const std::string name = request.matches[1].str();
    const auto service = configuration->document.services.find(name);
    if (service == configuration->document.services.end())
        return Error{ErrorKind::NotFound, fmt::format("no service is named '{}'; have it added under 'services'", name.substr(0, 128))};
    if (!caller.mayUse(name))
        return Error{ErrorKind::Forbidden, fmt::format("caller '{}' may not use '{}'; have it added under 'use'", caller.id.value(), name)};
    ExchangeRequest exchange;
    BOOST_OUTCOME_TRY(fillCommonFields(request, caller, exchange));
    exchange.pool = service->second.pool;
    const std::string rest = request.matches[2].str();
    const size_t query = request.target.find('?');
    exchange.path = (rest.empty() ? "/" : rest) + (query == std::string::npos ? "" : request.target.substr(query));
    exchange.queued.target = name;
    exchange.queued.service = true;
    exchange.idempotent = service->second.idempotent || isReadOnly(request.method);
    if (exchange.idempotent)
        return exchange;
    exchange.key = request.get_header_value("Idempotency-Key");
    BOOST_OUTCOME_TRY(keyTime, parseKeyTime(exchange.key));
    exchange.keyTimeMs = keyTime;
    exchange.payloadHash = exchange.fingerprint.value();
    return exchange;
}

void CallerApi::answerComplete(ExchangeRequest exchange, httplib::Response &response)
{
    m_router.requestStarted();
    const Result<Answer> result = Exchange(m_router, std::move(exchange)).run();
    m_router.requestEnded();
    if (result.has_error())
        answer(response, result.error());
    else
        answer(response, result.value());
}

// Errors before the first event are sent as HTTP errors, later ones as an event of the stream.
void CallerApi::answerStream(std::function<Result<Answer>(StreamSink &)> produce, httplib::Response &response)
{
    m_router.requestStarted();
    const std::shared_ptr<StreamPipe> pipe = std::make_shared<StreamPipe>(std::move(produce));
    pipe->waitForStart();
    if (pipe->endedBeforeFirstEvent()) {
        m_router.requestEnded();
        const Result<Answer> &result = pipe->result();
        if (result.has_error())
            answer(response, result.error());
        else if (result.value().status != 0)
            answer(response, result.value());
        else
            response.set_content("data: [DONE]\n\n", SseContentType);
        return;
    }
    response.set_header("Cache-Control", "no-cache");
    const auto write = [pipe](size_t, httplib::DataSink &sink) {
        const StreamPipe::Item item = pipe->next();
        std::string text;
        if (item.kind == StreamPipe::Item::Event)
            text = encodeSse(item.event);
        else if (item.kind == StreamPipe::Item::Idle)
            text = encodeSse(SseEvent());
        else if (pipe->result().has_error())
            text = encodeSse(SseEvent{"", errorBody(pipe->result().error())});
        else
            text = encodeSse(SseEvent{"", "[DONE]"});
        const bool written = sink.is_writable() && sink.write(text.data(), text.size());
        if (written && item.kind == StreamPipe::Item::End) {
            countOutcome(pipe->result().has_error() ? traits(pipe->result().error().kind).name : "completed");
            sink.done();
        }
        if (!written)
            countOutcome("caller_gone");
        return written;
    };
    const auto release = [this, pipe](bool) {
        pipe->close();
        m_router.requestEnded();
    };
    response.set_chunked_content_provider(SseContentType, write, release);
}

void CallerApi::postModel(const httplib::Request &request, httplib::Response &response)
{
    Result<ExchangeRequest> exchange = buildModelRequest(request);
    if (exchange.has_error())
        return answer(response, exchange.error());
    if (!exchange.value().streaming)
        return answerComplete(std::move(exchange.value()), response);
    answerStream(
        [this, exchange = std::move(exchange.value())](StreamSink &sink) { return Exchange(m_router, exchange).runStreaming(sink); },
        response);
}

void CallerApi::handleService(const httplib::Request &request, httplib::Response &response)
{
    Result<ExchangeRequest> exchange = buildServiceRequest(request);
    if (exchange.has_error())
        return answer(response, exchange.error());
    answerComplete(std::move(exchange.value()), response);
}

void CallerApi::getStream(const httplib::Request &request, httplib::Response &response)
{
    const std::shared_ptr<const Configuration> configuration = m_router.configuration();
    const Result<Caller> caller = authenticate(request, configuration->document);
    if (caller.has_error())
        return answer(response, caller.error());
    const Result<ResumeToken> token = parseResumeToken(request.get_header_value("Last-Event-ID"));
    if (token.has_error())
        return answer(response, token.error());
    if (token.value().callerHash != hashOf(caller.value().id.value()))
        return answer(response, Error{ErrorKind::Forbidden, "the stream belongs to another caller; resume it with that caller's token"});
    const Result<Millis> allowed = parseDeadline(request.get_header_value("Roserail-Deadline-Ms"), DefaultDeadline);
    if (allowed.has_error())
        return answer(response, allowed.error());
    const Time deadline = monotonicNow() + allowed.value();
    const Result<void> admitted = m_router.admits(deadline);
    if (admitted.has_error())
        return answer(response, admitted.error());
    answerStream([this, token = token.value(), deadline](StreamSink &sink) { return resumeStream(m_router, token, deadline, sink); },
                 response);
}

void CallerApi::getModels(const httplib::Request &request, httplib::Response &response)
{
    const std::shared_ptr<const Configuration> configuration = m_router.configuration();
    const Result<Caller> caller = authenticate(request, configuration->document);
    if (caller.has_error())
        return answer(response, caller.error());
    Json data = Json::array();
    for (const std::pair<const ArtifactId, Artifact> &it : configuration->document.artifacts) {
        if (caller.value().mayUse(it.first.value()))
            data.push_back(Json{{"id", it.first.value()}, {"object", "model"}, {"owned_by", "roserail"}, {"version", it.second.version}});
    }
    response.set_content(Json{{"object", "list"}, {"data", data}}.dump(), "application/json");
}

void CallerApi::postAnnounce(const httplib::Request &request, httplib::Response &response)
{
    const std::string &expected = m_router.settings().announceTokenSha256;
    const std::string token = bearerToken(request.get_header_value("Authorization"));
    if (!expected.empty() && !equalConstantTime(sha256Hex(token), expected))
        return answer(
            response,
            Error{ErrorKind::Unauthorized,
                  "the announcement's token does not match 'announceTokenSha256'; configure the endpoint with the matching token"});
    Result<pb::EndpointReport> report = parseAnnouncement(request.body);
    if (report.has_error())
        return answer(response, report.error());
    m_router.queueReport(std::move(report.value()));
    getAddresses(request, response);
}

void CallerApi::getAddresses(const httplib::Request &, httplib::Response &response)
{
    if (!m_router.hasLease(monotonicNow()))
        return answer(response,
                      Error{ErrorKind::Unavailable, "this router has lost contact with the control replicas; use another address",
                            MinRetryAfter.count()});
    Json addresses = Json::array();
    for (const pb::RouterAddress &it : m_router.addresses())
        addresses.push_back(Json{{"address", it.address()}, {"zone", it.zone()}});
    response.set_content(Json{{"addresses", addresses}, {"keep_for_ms", AddressListTtl.count()}}.dump(), "application/json");
}

void CallerApi::getHealth(const httplib::Request &, httplib::Response &response)
{
    const bool hasLease = m_router.hasLease(monotonicNow());
    response.status = hasLease ? 200 : 503;
    response.set_content(hasLease ? "ok\n" : "no lease from the control replicas\n", "text/plain");
}

void CallerApi::getMetrics(const httplib::Request &, httplib::Response &response)
{
    metrics().counter("roserail_active_requests").set(m_router.activeRequests());
    metrics().counter("roserail_leased").set(m_router.hasLease(monotonicNow()) ? 1 : 0);
    response.set_content(metrics().text(), "text/plain; version=0.0.4");
}

void CallerApi::getDump(const httplib::Request &, httplib::Response &response)
{
    response.set_content(m_router.dump(), "application/yaml");
}

} // namespace roserail
