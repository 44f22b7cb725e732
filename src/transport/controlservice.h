// gRPC services of a control replica: consensus messages from its peers, heartbeats and commands from routers.
#pragma once

#include "transport/channel.h"
#include "transport/coordinator.h"

#include "control.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace roserail
{

class PeerService final : public pb::Peer::Service
{
public:
    explicit PeerService(ReplicaNode &node);
    grpc::Status Step(grpc::ServerContext *context, const pb::RaftBatch *request, pb::Ack *reply) override;

private:
    ReplicaNode &m_node;
};

class ControlService final : public pb::Control::Service
{
public:
    ControlService(ReplicaNode &node, Coordinator &coordinator);
    grpc::Status Heartbeat(grpc::ServerContext *context, const pb::HeartbeatRequest *request, pb::HeartbeatReply *reply) override;
    grpc::Status Execute(grpc::ServerContext *context, const pb::Command *request, pb::CommandReply *reply) override;

private:
    ReplicaNode &m_node;
    Coordinator &m_coordinator;
};

} // namespace roserail
