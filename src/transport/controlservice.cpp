#include "transport/controlservice.h"

#include "state/tunables.h"
#include "transport/clock.h"

namespace roserail
{

using namespace tunables;

namespace
{

// Returns whether a router may send the command. Commands of the placement are proposed by the leader itself, and changes
// of the document come from operators over HTTP.
bool routerMayExecute(const pb::Command &command)
{
    return command.has_start_claim() || command.has_finish_claim() || command.has_report_crash();
}

} // namespace

PeerService::PeerService(ReplicaNode &node)
    : m_node(node)
{
}

grpc::Status PeerService::Step(grpc::ServerContext *, const pb::RaftBatch *request, pb::Ack *)
{
    m_node.receive(*request);
    return grpc::Status::OK;
}

ControlService::ControlService(ReplicaNode &node, Coordinator &coordinator)
    : m_node(node)
    , m_coordinator(coordinator)
{
}

grpc::Status ControlService::Heartbeat(grpc::ServerContext *, const pb::HeartbeatRequest *request, pb::HeartbeatReply *reply)
{
    if (request->router().empty())
        return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "'router' is empty; set 'id' in the router's settings");
    *reply = m_coordinator.heartbeat(*request);
    return grpc::Status::OK;
}

grpc::Status ControlService::Execute(grpc::ServerContext *, const pb::Command *request, pb::CommandReply *reply)
{
    if (!routerMayExecute(*request))
        return grpc::Status(grpc::StatusCode::PERMISSION_DENIED, "routers may only start and finish claims and report crashes");
    if (!m_node.status().leads(monotonicNow())) {
        reply->set_leader_peer_address(m_coordinator.leaderAddress());
        return grpc::Status::OK;
    }
    const Result<pb::CommandResult> result = m_node.execute(*request, RouterCommandTimeout);
    if (result.has_error())
        return grpc::Status(grpc::StatusCode::UNAVAILABLE, result.error().message);
    reply->set_leader(true);
    *reply->mutable_result() = result.value();
    return grpc::Status::OK;
}

} // namespace roserail
