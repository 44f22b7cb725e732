// HTTP interface of a control replica for operators: document, status, membership, metrics and dump.
#pragma once

#include "protocol/settings.h"
#include "transport/boundedserver.h"
#include "transport/coordinator.h"

#include <atomic>

namespace roserail
{

class OperatorApi
{
public:
    OperatorApi(ControlSettings settings, ReplicaNode &node, Coordinator &coordinator);
    // Returns false if the address cannot be bound.
    bool bind();
    // Serves requests until `stop` is called.
    void listen();
    // Ends connections after their next answer from now on.
    void drain();
    void stop();

private:
    using Handler = void (OperatorApi::*)(const httplib::Request &, httplib::Response &);
    void registerHandlers();
    void getStatus(const httplib::Request &request, httplib::Response &response);
    void getDocument(const httplib::Request &request, httplib::Response &response);
    void postDocument(const httplib::Request &request, httplib::Response &response);
    void postCheck(const httplib::Request &request, httplib::Response &response);
    void postBootstrap(const httplib::Request &request, httplib::Response &response);
    void postReplica(const httplib::Request &request, httplib::Response &response);
    void postTransfer(const httplib::Request &request, httplib::Response &response);
    void postForget(const httplib::Request &request, httplib::Response &response);
    void getMetrics(const httplib::Request &request, httplib::Response &response);
    void getDump(const httplib::Request &request, httplib::Response &response);

    // Returns the operator whose token the request carries.
    Result<Operator> authenticate(const httplib::Request &request) const;
    // Returns the operator, or an error if it is not permitted to change every section.
    Result<Operator> requireRoot(const httplib::Request &request) const;
    Result<void> requireLeader() const;
    Result<pb::Command> buildChange(const std::string &text, const Operator &requester, const std::string &changeId) const;
    // Waits until every router with a lease has applied the revision.
    Result<void> waitUntilInForce(Revision revision);
    std::string leaderOperatorAddress() const;

    ControlSettings m_settings;
    ReplicaNode &m_node;
    Coordinator &m_coordinator;
    std::atomic<bool> m_draining = false;
    BoundedServer m_server;
};

} // namespace roserail
