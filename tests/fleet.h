// A whole system that is found by seeds, as real processes on loopback, with stand-ins that speak the users' protocol.
#pragma once

#include "processes.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace roserail::test
{

using Json = nlohmann::json;

class Fleet : public Processes
{
public:
    // Ports from `base` on belong to this system. Control host N has the address 127.0.0.N.
    Fleet(const std::string &name, int base);

    void startKeeper(int n, bool mayFound, int orderLeaseMs = 300);
    void startEntry(int n);
    // `copies`: models that it doesn't hold, but has a copy of.
    void startRunner(int n, const std::string &service, const std::string &models, bool refuseOrders = false,
                     const std::string &copies = "");
    void wipe(int keeper);

    // Puts a configuration with one engine service and one plain service; follows redirects.
    httplib::Result putConfiguration(int keeper, uint64_t version, int streamTimeoutMs = 8000);
    httplib::Result putText(int keeper, const std::string &body);
    httplib::Result getConfiguration(int keeper);
    // Waits until every entry host given is ready.
    bool waitUntilReady(const std::vector<int> &entries);
    Json resolve(int entry);
    // Sends a request to an entry host; without a model to the plain service.
    httplib::Result sendRequest(int entry, const std::string &path, const std::string &id, const std::string &model = "",
                                httplib::Headers extraHeaders = {});
    // What a runner has seen of a request.
    Json requestRecord(int runner, const std::string &id);
    // What a process believes, from its dump.
    Json entryDump(int entry);
    Json keeperDump(int keeper);
    // The control host that ordered last, by the logs; 0: none has.
    int leader();
    // Waits until engines may be given orders: the wait for an earlier holder's lease is over.
    bool waitForOrders(int orderLeaseMs = 300);
    // All orders that a runner got: holder, fence, ms.
    Json orders(int runner);
    int entryPort(int n) const
    {
        return m_base + 10 + n;
    }

private:
    std::string settings(const std::string &id, const std::string &address) const;
    int m_base;
};

} // namespace roserail::test
