// HTTP interface of a router for callers and endpoints: chat and completion requests, plain services, resumption of
// streams, the list of router addresses, and announcements of endpoints.
#pragma once

#include "transport/boundedserver.h"
#include "transport/exchange.h"

namespace roserail
{

class CallerApi
{
public:
    explicit CallerApi(Router &router);
    // Returns false if the address cannot be bound.
    bool bind();
    // Serves requests until `stop` is called.
    void listen();
    void stop();

private:
    using Handler = void (CallerApi::*)(const httplib::Request &, httplib::Response &);
    void registerHandlers();
    void postModel(const httplib::Request &request, httplib::Response &response);
    void getModels(const httplib::Request &request, httplib::Response &response);
    void getStream(const httplib::Request &request, httplib::Response &response);
    void handleService(const httplib::Request &request, httplib::Response &response);
    void postAnnounce(const httplib::Request &request, httplib::Response &response);
    void getAddresses(const httplib::Request &request, httplib::Response &response);
    void getHealth(const httplib::Request &request, httplib::Response &response);
    void getMetrics(const httplib::Request &request, httplib::Response &response);
    void getDump(const httplib::Request &request, httplib::Response &response);

    Result<Caller> authenticate(const httplib::Request &request, const Document &document) const;
    Result<ExchangeRequest> buildModelRequest(const httplib::Request &request) const;
    Result<ExchangeRequest> buildServiceRequest(const httplib::Request &request) const;
    Result<void> fillCommonFields(const httplib::Request &request, const Caller &caller, ExchangeRequest &out) const;
    void answerComplete(ExchangeRequest exchange, httplib::Response &response);
    void answerStream(std::function<Result<Answer>(StreamSink &)> produce, httplib::Response &response);

    Router &m_router;
    BoundedServer m_server;
};

} // namespace roserail
