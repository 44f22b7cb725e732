// A system of control replicas, routers and simulated endpoints as processes on loopback, which tests can kill, freeze and
// query.
#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "processes.h"

namespace roserail::test
{

using Json = nlohmann::json;

// A response as a caller received it, streamed or not.
struct CallerResponse {
    int status = 0;
    std::vector<std::string> contents; // of the chunks; the whole body if the response is not a stream
    std::string lastId;
    bool done = false; // whether the end marker was received
    std::string error; // type of the error in an event or in the body
    std::string outcome;
    std::string retryAfter;
};

class System : public Processes
{
public:
    // The system uses ports from `firstPort` on.
    System(const std::string &name, int firstPort, int snapshotEvery = 20000);

    // Sets more lines of the settings of the processes that are started from now on.
    void setMoreSettings(std::string text)
    {
        m_moreSettings = std::move(text);
    }
    void startControl(int id);
    // `graceMs`: setting `grace`; 0: its default.
    void startRouter(int id, int graceMs = 0);
    void startEngine(int id, std::vector<std::string> options = {});
    void startService(int id);
    // Bootstraps the cluster and applies the document.
    void bootstrap();

    // Deletes the data folder of a control replica that is not running.
    void wipe(int control);

    // Runs roserailctl with `text` as its standard input.
    struct Output {
        int code = 0;
        std::string out;
        std::string err;
    };
    Output ctl(const std::vector<std::string> &arguments, const std::string &text = "");

    int controlPort(int id) const
    {
        return m_firstPort + 10 + id;
    }
    int routerPort(int id) const
    {
        return m_firstPort + 20 + id;
    }
    int enginePort(int id) const
    {
        return m_firstPort + 30 + id;
    }
    int servicePort(int id) const
    {
        return m_firstPort + 40 + id;
    }
    Json status(int control);
    // Returns the id of the leader; 0 if there is none.
    int leader();
    int waitForLeader(int except = 0);
    Json engineStats(int id);
    std::map<std::string, int> serviceExecutions(int id);
    void scriptEngine(int id, const Json &script);
    void scriptService(int id, const Json &script);

    CallerResponse stream(int router, const std::string &model, const std::string &prompt, int tokens = 8, int deadlineMs = 15000,
                          const std::function<bool(const CallerResponse &)> &keepReading = nullptr);
    CallerResponse resume(int router, const std::string &lastId, const std::string &token = "caller-token");
    CallerResponse completion(int router, const std::string &model, const std::string &prompt, int deadlineMs = 15000);
    CallerResponse callService(int router, const std::string &key, const std::string &payload, int deadlineMs = 8000);

    // Returns the document that `bootstrap` applies, with the given text in its section `models`.
    static std::string document(const std::string &models);

private:
    CallerResponse sendAndRead(int port, httplib::Request request, const std::function<bool(const CallerResponse &)> &keepReading);
    std::string routerAddresses() const;

    int m_firstPort;
    int m_snapshotEvery;
    std::string m_moreSettings;
};

// Returns an idempotency key with the current time.
std::string newIdempotencyKey(const std::string &name);

} // namespace roserail::test
