// A system of control hosts, entry hosts and simulated runners as processes on loopback. The processes discover each other
// through seeds; the runners implement the platform's HTTP API.
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
    // The system uses ports from `firstPort` on. Control host N has the address 127.0.0.N.
    Fleet(const std::string &name, int firstPort);

    // Sets the folder of the programs of the hosts that are started from now on; empty: those of this build.
    void setBuild(const std::string &programs);
    // Sets the grace period of the hosts that are started from now on.
    void setGrace(int ms)
    {
        m_graceMs = ms;
    }
    // Sets more lines for the settings of the entry hosts that are started from now on.
    void setEntrySettings(std::string lines)
    {
        m_entrySettings = std::move(lines);
    }
    // Sets lines that are added to the settings of the control and entry hosts that are started from now on.
    void setHostSettings(const std::string &lines)
    {
        m_hostSettings = lines;
    }
    // Sets how long runners that are started from now on take to answer an order once they have executed it.
    void setOrderAnswerTime(int ms)
    {
        m_orderAnswerMs = ms;
    }
    void startKeeper(int n, bool mayFound, int orderLeaseMs = 300);
    // `seed`: address of the only control host that it is told, instead of all of them.
    void startEntry(int n, const std::string &seed = "");
    // `copies`: models that are not loaded, but of which the runner has a copy in host memory and on disk.
    void startRunner(int n, const std::string &service, const std::string &models, bool refuseOrders = false,
                     const std::string &copies = "", const std::string &software = "v1");
    // Deletes the data folder of a control host that is not running.
    void wipe(int keeper);

    // Puts a configuration with one engine service and one plain service. Follows redirects to the leader.
    httplib::Result putConfiguration(int keeper, uint64_t version, int streamTimeoutMs = 8000);
    httplib::Result putText(int keeper, const std::string &body);
    static std::string configurationText(uint64_t version, int streamTimeoutMs = 8000);
    httplib::Result getConfiguration(int keeper);
    // Waits until each of the given entry hosts reports that it is ready.
    bool waitUntilReady(const std::vector<int> &entries);
    // Waits until each of the given entry hosts lists this number of runners.
    bool waitForEndpoints(const std::vector<int> &entries, size_t count);
    Json resolve(int entry);
    // Sends a request to an entry host, with the header X-Model unless `model` is empty, as for the plain service.
    httplib::Result sendRequest(int entry, const std::string &path, const std::string &id, const std::string &model = "",
                                httplib::Headers extraHeaders = {});
    // Sends a request to a runner itself, as another system's router might.
    httplib::Result sendToRunner(int runner, const std::string &path);
    // Returns what a runner recorded about a request: headers, path, body, number of runs, events sent, cancellation.
    Json requestRecord(int runner, const std::string &id);
    // Returns the records of all requests, by id.
    Json requestRecords(int runner);
    // Return the state dump of a process.
    Json entryDump(int entry);
    Json keeperDump(int keeper);
    // Returns the metrics of an entry host as text.
    std::string entryMetrics(int entry);
    // Returns the control host that began to send orders in the highest term, according to the logs; 0 if none has.
    int leader();
    // Waits until a leader may send orders to engines: the order lease of an earlier leader must have expired.
    bool waitForOrders(int orderLeaseMs = 300);
    // Returns all orders that a runner received: holder, fencing token, time in ms, operation, model, whether it executed the order.
    Json orders(int runner);
    // Returns when requests of callers arrived at a runner, in ms of a steady clock.
    std::vector<int64_t> arrivals(int runner);
    int entryPort(int n) const
    {
        return m_firstPort + 10 + n;
    }
    int runnerPort(int n) const
    {
        return m_firstPort + 40 + n;
    }
    // Returns the port of the internal protocol of control hosts.
    int internalPort() const
    {
        return m_firstPort + 2;
    }

private:
    std::string settings(const std::string &id, const std::string &address, const std::string &seed = "") const;
    int m_firstPort;
    int m_graceMs = 4000;
    std::string m_hostSettings;
    std::string m_entrySettings;
    int m_orderAnswerMs = 0;
    std::string m_programs;
};

} // namespace roserail::test
