#include "transport/operatorapi.h"

#include "protocol/json.h"
#include "protocol/log.h"
#include "protocol/metrics.h"
#include "state/tunables.h"
#include "transport/clock.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace roserail
{

using namespace tunables;
using Json = nlohmann::json;

namespace
{

constexpr Millis ChangeTimeout{5000}; // an accepted change is in force on all routers within this time
constexpr Millis InForcePollInterval{10};

void answer(httplib::Response &response, const Error &error)
{
    response.status = traits(error.kind).httpStatus;
    response.set_content(errorBody(error), "application/json");
}

void answer(httplib::Response &response, const Json &json)
{
    response.set_content(json.dump(2) + "\n", "application/json");
}

Json describe(const Replica &replica)
{
    return Json{{"id", replica.id}, {"incarnation", replica.incarnation}};
}

Json describe(const ReplicaStatus &status, Time now)
{
    Json members = Json::array();
    for (const pb::Member &it : status.membership.members()) {
        const Replica replica = fromProto(it.identity());
        Json member = describe(replica);
        member["peerAddress"] = it.peer_address();
        member["operatorAddress"] = it.operator_address();
        member["voter"] = it.voter();
        const auto match = status.matchIndexes.find(replica);
        if (match != status.matchIndexes.end())
            member["matchIndex"] = match->second;
        members.push_back(std::move(member));
    }
    return Json{{"self", describe(status.self)},
                {"clusterId", status.clusterId},
                {"founded", status.clusterId != 0},
                {"role", toString(status.role)},
                {"leads", status.leads(now)},
                {"term", status.term},
                {"commitIndex", status.commitIndex},
                {"lastIndex", status.lastIndex},
                {"appliedIndex", status.appliedIndex},
                {"snapshotIndex", status.snapshotIndex},
                {"members", members},
                {"diskFault", status.diskFault},
                {"syncs", status.syncs},
                {"logBytes", status.logBytes}};
}

Error toError(const pb::CommandResult &result)
{
    const ErrorKind kind = result.verdict() == pb::VERDICT_CONFLICT ? ErrorKind::Conflict
        : result.verdict() == pb::VERDICT_INVALID                   ? ErrorKind::InvalidDocument
                                                                    : ErrorKind::NotFound;
    return Error{kind, result.message()};
}

} // namespace

OperatorApi::OperatorApi(ControlSettings settings, ReplicaNode &node, Coordinator &coordinator)
    : m_settings(std::move(settings))
    , m_node(node)
    , m_coordinator(coordinator)
    , m_server(m_settings.limits, ControlHttpThreads)
{
    m_server.set_payload_max_length(MaxDocumentBytes);
    m_server.set_read_timeout(HttpIoTimeout);
    m_server.set_write_timeout(HttpIoTimeout);
    registerHandlers();
}

bool OperatorApi::bind()
{
    const Result<HostPort> address = parseHostPort(m_settings.operatorAddress);
    return address.has_value() && m_server.bind_to_port(address.value().host.c_str(), address.value().port);
}

void OperatorApi::listen()
{
    m_server.listen_after_bind();
}

void OperatorApi::drain()
{
    m_draining = true;
}

void OperatorApi::stop()
{
    m_server.stop();
}

void OperatorApi::registerHandlers()
{
    const auto bind = [this](Handler handler) {
        return [this, handler](const httplib::Request &request, httplib::Response &response) {
            (this->*handler)(request, response);
        };
    };
    m_server.Get("/status", bind(&OperatorApi::getStatus));
    m_server.Get("/document", bind(&OperatorApi::getDocument));
    m_server.Post("/document", bind(&OperatorApi::postDocument));
    m_server.Post("/check", bind(&OperatorApi::postCheck));
    m_server.Post("/bootstrap", bind(&OperatorApi::postBootstrap));
    m_server.Post("/replicas", bind(&OperatorApi::postReplica));
    m_server.Post("/transfer", bind(&OperatorApi::postTransfer));
    m_server.Post("/forget", bind(&OperatorApi::postForget));
    m_server.Get("/metrics", bind(&OperatorApi::getMetrics));
    m_server.Get("/dump", bind(&OperatorApi::getDump));
    m_server.set_post_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        if (m_draining)
            response.set_header("Connection", "close");
    });
}

Result<Operator> OperatorApi::authenticate(const httplib::Request &request) const
{
    const std::string token = bearerToken(request.get_header_value("Authorization"));
    const std::string hash = sha256Hex(token);
    if (!m_settings.rootTokenSha256.empty() && equalConstantTime(hash, m_settings.rootTokenSha256))
        return Operator{"root", hash, {"*"}, {}};
    const std::optional<Operator> known = m_node.withMachine([&](const StateMachine &machine) {
        const Operator *it = machine.document().operatorByToken(hash);
        return it == nullptr ? std::nullopt : std::optional(*it);
    });
    if (known)
        return *known;
    return Error{ErrorKind::Unauthorized, "no operator has this token; pass it with --token-file, or have it added under 'operators'"};
}

Result<Operator> OperatorApi::requireRoot(const httplib::Request &request) const
{
    BOOST_OUTCOME_TRY(requester, authenticate(request));
    if (!requester.mayChange("*"))
        return Error{ErrorKind::Forbidden, fmt::format("operator '{}' is not permitted to do this; use the root token", requester.name)};
    return requester;
}

Result<void> OperatorApi::requireLeader() const
{
    if (m_node.status().leads(monotonicNow()))
        return boost::outcome_v2::success();
    const std::string leader = leaderOperatorAddress();
    return Error{ErrorKind::NotLeader,
                 leader.empty() ? "no leader is known; retry in a second"
                                : fmt::format("this replica is not the leader; send the request to {}", leader)};
}

std::string OperatorApi::leaderOperatorAddress() const
{
    const ReplicaStatus status = m_node.status();
    for (const pb::Member &it : status.membership.members()) {
        if (status.leader && fromProto(it.identity()) == *status.leader && fromProto(it.identity()) != status.self)
            return it.operator_address();
    }
    return "";
}

void OperatorApi::getStatus(const httplib::Request &, httplib::Response &response)
{
    const ReplicaStatus status = m_node.status();
    Json json = describe(status, monotonicNow());
    json["leaderOperatorAddress"] = leaderOperatorAddress();
    m_node.withMachine([&](const StateMachine &machine) {
        json["revision"] = machine.revision().value();
        json["claims"] = machine.claims().size();
        json["slots"] = machine.ledger().slots().size();
        json["endpoints"] = machine.ledger().endpoints().size();
    });
    answer(response, json);
}

void OperatorApi::getDocument(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = authenticate(request);
    if (requester.has_error())
        return answer(response, requester.error());
    const Result<void> leader = requireLeader();
    if (leader.has_error())
        return answer(response, leader.error());
    YAML::Node sections(YAML::NodeType::Map);
    m_node.withMachine([&](const StateMachine &machine) {
        for (const std::pair<const std::string, pb::Section> &it : machine.sections()) {
            YAML::Node section(YAML::NodeType::Map);
            section["revision"] = it.second.revision();
            const YAML::Node body = YAML::Load(it.second.text());
            for (YAML::const_iterator entry = body.begin(); entry != body.end(); ++entry)
                section[entry->first.Scalar()] = entry->second;
            sections[it.first] = section;
        }
    });
    YAML::Node root(YAML::NodeType::Map);
    root["sections"] = sections;
    response.set_content(YAML::Dump(root) + "\n", "application/yaml");
}

// Checks the text and the operator's permissions, and returns the command that makes the change. Changes nothing.
Result<pb::Command> OperatorApi::buildChange(const std::string &text, const Operator &requester, const std::string &changeId) const
{
    BOOST_OUTCOME_TRY(sections, parseDocumentFile(text));
    for (const FileSection &it : sections) {
        if (!requester.mayChange(it.name))
            return Error{
                ErrorKind::Forbidden,
                fmt::format("operator '{}' may not change section '{}'; ask its owner; nothing was changed", requester.name, it.name)};
    }
    const Result<Document> document
        = m_node.withMachine([&](const StateMachine &machine) { return checkChange(machine.contents(), sections); });
    if (document.has_error())
        return document.error();
    pb::Command command;
    pb::ChangeDocument &change = *command.mutable_change_document();
    change.set_change_id(changeId);
    change.set_operator_name(requester.name);
    for (const FileSection &it : sections) {
        pb::SectionChange &section = *change.add_sections();
        section.set_name(it.name);
        section.set_base_revision(it.baseRevision);
        section.set_text(it.remove ? "" : it.text);
        section.set_remove(it.remove);
    }
    return command;
}

Result<void> OperatorApi::waitUntilInForce(Revision revision)
{
    const Time deadline = monotonicNow() + ChangeTimeout;
    while (monotonicNow() < deadline) {
        if (m_coordinator.inForce(revision))
            return boost::outcome_v2::success();
        std::this_thread::sleep_for(InForcePollInterval);
    }
    return Error{ErrorKind::Unavailable,
                 "the change is committed, but this replica could not confirm that it is in force; apply it again with the same change id"};
}

void OperatorApi::postDocument(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = authenticate(request);
    if (requester.has_error())
        return answer(response, requester.error());
    const Result<void> leader = requireLeader();
    if (leader.has_error())
        return answer(response, leader.error());
    const std::string changeId = request.get_param_value("change_id");
    if (changeId.empty() || changeId.size() > 128)
        return answer(response,
                      Error{ErrorKind::BadRequest,
                            "pass change_id, 1 to 128 characters; use the same one to repeat a request that was not answered"});
    Result<pb::Command> command = buildChange(request.body, requester.value(), changeId);
    if (command.has_error())
        return answer(response, command.error());
    const Result<pb::CommandResult> result = m_node.execute(std::move(command.value()), ChangeTimeout);
    if (result.has_error())
        return answer(response, result.error());
    logEvent("document_change",
             {{"operator", requester.value().name},
              {"change_id", changeId},
              {"verdict", pb::Verdict_Name(result.value().verdict())},
              {"revision", result.value().revision()}});
    if (result.value().verdict() != pb::VERDICT_OK)
        return answer(response, toError(result.value()));
    const Result<void> inForce = waitUntilInForce(Revision(result.value().revision()));
    if (inForce.has_error())
        return answer(response, inForce.error());
    answer(response, Json{{"accepted", true}, {"revision", result.value().revision()}, {"changeId", changeId}});
}

void OperatorApi::postCheck(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = authenticate(request);
    if (requester.has_error())
        return answer(response, requester.error());
    const Result<pb::Command> command = buildChange(request.body, requester.value(), "check");
    if (command.has_error())
        return answer(response, command.error());
    answer(response, Json{{"valid", true}});
}

void OperatorApi::postBootstrap(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = requireRoot(request);
    if (requester.has_error())
        return answer(response, requester.error());
    const Json json = Json::parse(request.body, nullptr, false);
    const bool valid = json.is_object() && json.contains("clusterId") && json["clusterId"].is_number_unsigned() && json.contains("members")
        && json["members"].is_array() && !json["members"].empty();
    if (!valid)
        return answer(response, Error{ErrorKind::BadRequest, "expected clusterId and members; use 'roserailctl bootstrap'"});
    pb::Membership membership;
    for (const Json &it : json["members"]) {
        pb::Member &member = *membership.add_members();
        member.mutable_identity()->set_id(it.value("id", uint64_t(0)));
        member.mutable_identity()->set_incarnation(it.value("incarnation", uint64_t(0)));
        member.set_peer_address(it.value("peerAddress", ""));
        member.set_operator_address(it.value("operatorAddress", ""));
        member.set_voter(true);
    }
    const Result<void> bootstrapped = m_node.bootstrap(json["clusterId"].get<uint64_t>(), membership);
    if (bootstrapped.has_error())
        return answer(response, bootstrapped.error());
    answer(response, Json{{"founded", true}});
}

void OperatorApi::postReplica(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = requireRoot(request);
    if (requester.has_error())
        return answer(response, requester.error());
    const Result<void> leader = requireLeader();
    if (leader.has_error())
        return answer(response, leader.error());
    const uint64_t id = std::strtoull(request.get_param_value("id").c_str(), nullptr, 10);
    const std::string action = request.get_param_value("action");
    if (id == 0 || (action != "add" && action != "remove"))
        return answer(response, Error{ErrorKind::BadRequest, "pass an id above 0 and the action add or remove"});
    if (action == "add")
        m_node.approveReplica(id);
    else
        m_node.removeReplica(id);
    answer(response, Json{{"accepted", true}, {"next", "watch 'roserailctl status' until the replica is a voter or is no longer listed"}});
}

void OperatorApi::postTransfer(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = requireRoot(request);
    if (requester.has_error())
        return answer(response, requester.error());
    m_node.transferLeadership();
    answer(response, Json{{"accepted", true}});
}

void OperatorApi::postForget(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = requireRoot(request);
    if (requester.has_error())
        return answer(response, requester.error());
    pb::Command command;
    command.mutable_forget_endpoint()->set_endpoint(request.get_param_value("endpoint"));
    const Result<pb::CommandResult> result = m_node.execute(std::move(command), ChangeTimeout);
    if (result.has_error())
        return answer(response, result.error());
    if (result.value().verdict() != pb::VERDICT_OK)
        return answer(response, toError(result.value()));
    answer(response, Json{{"forgotten", true}});
}

void OperatorApi::getMetrics(const httplib::Request &, httplib::Response &response)
{
    const ReplicaStatus status = m_node.status();
    metrics().counter("roserail_term").set(status.term);
    metrics().counter("roserail_commit_index").set(status.commitIndex);
    metrics().counter("roserail_leads").set(status.leads(monotonicNow()) ? 1 : 0);
    metrics().counter("roserail_log_syncs_total").set(status.syncs);
    metrics().counter("roserail_log_bytes").set(status.logBytes);
    response.set_content(metrics().text(), "text/plain; version=0.0.4");
}

void OperatorApi::getDump(const httplib::Request &request, httplib::Response &response)
{
    const Result<Operator> requester = authenticate(request);
    if (requester.has_error())
        return answer(response, requester.error());
    std::string out = m_coordinator.dump() + "slots:\n";
    m_node.withMachine([&](const StateMachine &machine) {
        for (const std::pair<const SlotId, Slot> &it : machine.ledger().slots()) {
            const Slot &slot = it.second;
            out += fmt::format("  - {{id: {}, endpoint: {}, incarnation: {}, host: {}, artifact: \"{}\", version: {}, bytes: {}, "
                               "lastOrder: {}, lastFence: {}, "
                               "unanswered: {}}}\n",
                               slot.id.value(), slot.endpoint.value(), slot.incarnation, slot.host.value(), slot.artifact.value(),
                               slot.version, slot.bytes, slot.lastOrder == OrderKind::Load ? "load" : "unload", slot.lastFence.value(),
                               slot.unanswered.size());
        }
    });
    response.set_content(out, "application/yaml");
}

} // namespace roserail
