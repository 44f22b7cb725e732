// HTTP interface of a control host: configurations from operators, and announcements from endpoints about themselves.
#pragma once

#include "transport/http.h"
#include "transport/livetable.h"
#include "transport/replicanode.h"

#include <set>

namespace roserail
{

class KeeperApi
{
public:
    // `node` is null on a host without a disk.
    KeeperApi(net::io_context &io, const PlatformCodec &codec, LiveTable &table, ReplicaNode *node);
    Task<> handle(CallerConnection &caller);
    // Ends waits for commits at this time at the latest, those in progress included.
    void answerBy(Time deadline);

private:
    Task<> putConfiguration(CallerConnection &caller);
    Task<> getConfiguration(CallerConnection &caller);
    Task<> announce(CallerConnection &caller, const std::string &endpoint);
    Task<> withdraw(CallerConnection &caller, const std::string &endpoint);
    Task<> answerError(CallerConnection &caller, const Error &error);
    // Redirects the caller to the leader, or answers with an error and a Retry-After header if none is known.
    Task<> redirect(CallerConnection &caller);
    Task<Result<pb::CommandResult>> propose(pb::Command command);

    net::io_context &m_io;
    const PlatformCodec &m_codec;
    LiveTable &m_table;
    bool leads() const;
    // Returns the operator address of the leader. A host without a disk returns that of a control host with one, which can
    // redirect again, and prefers the one that announced the highest term. Empty if none is known.
    std::string redirectTarget() const;

    ReplicaNode *m_node;
    Time m_answerBy = Time::max();
    std::set<net::steady_timer *> m_waits; // for commits
};

} // namespace roserail
