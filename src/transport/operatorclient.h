// An operator's side of the control replicas' HTTP interface: follows the leader and repeats what may be repeated.
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
    // Asks one replica. Errors of the replica keep their kind and message.
    Result<std::string> sendRequest(const std::string &address, const std::string &method, const std::string &path,
                                    const std::string &body) const;
    // Asks the leader, wherever it is, until the deadline. Repeats after a lost answer: only for calls that allow it.
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
