// What a control host answers over HTTP: operators' configurations and endpoints' announcements about themselves.
#pragma once

#include "transport/http.h"
#include "transport/livetable.h"
#include "transport/replicanode.h"

namespace roserail
{

class KeeperApi
{
public:
    // `node` is null on a host without a disk.
    KeeperApi(net::io_context &io, const PlatformCodec &codec, LiveTable &table, ReplicaNode *node);
    Task<> handle(CallerConnection &caller);

private:
    Task<> putConfiguration(CallerConnection &caller);
    Task<> getConfiguration(CallerConnection &caller);
    Task<> announce(CallerConnection &caller, const std::string &endpoint);
    Task<> withdraw(CallerConnection &caller, const std::string &endpoint);
    Task<> answerError(CallerConnection &caller, const Error &error);
    // Sends the caller to the leader, or tells it to come back.
    Task<> redirect(CallerConnection &caller);
    Task<Result<pb::CommandResult>> propose(pb::Command command);

    net::io_context &m_io;
    const PlatformCodec &m_codec;
    LiveTable &m_table;
    bool leads() const;
    // Operator address of the control host that leads, or else of one that may know who does; empty: none is known.
    std::string redirectTarget() const;

    ReplicaNode *m_node;
};

} // namespace roserail
