// Client of the control replicas' HTTP interface for operators: finds the leader and repeats requests that failed.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <string>
#include <vector>

namespace roserail
{

class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> addresses, std::string token);
    // Sends a request to one replica. An error that the replica returns keeps its kind and message.
    Result<std::string> sendRequest(const std::string &address, const std::string &method, const std::string &path,
                                    const std::string &body) const;
    // Sends a request to one replica until it answers or the deadline passes. The request must be safe to repeat.
    Result<std::string> sendUntilAnswered(const std::string &address, const std::string &method, const std::string &path,
                                          const std::string &body, Time deadline) const;
    // Sends a request to the replicas in turn until the leader answers or the deadline passes. A request whose answer
    // was lost is sent again, so it must be safe to repeat.
    Result<std::string> sendToLeader(const std::string &method, const std::string &path, const std::string &body, Time deadline) const;
    const std::vector<std::string> &addresses() const
    {
        return m_addresses;
    }

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
};

} // namespace roserail
