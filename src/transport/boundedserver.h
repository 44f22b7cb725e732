// Server of cpp-httplib that limits the bytes and the time of each request, and the memory of all requests together.
#pragma once

#include "coordination/ingressbudget.h"
#include "protocol/settings.h"

#include <httplib.h>

namespace roserail
{

class BoundedServer : public httplib::Server
{
public:
    explicit BoundedServer(const ProcessLimits &limits);

private:
    bool process_and_close_socket(socket_t socket) override;

    IngressBudget m_budget;
};

} // namespace roserail
