// Entry hosts of which some can be cut from all endpoints, while callers, the control host and the other entry hosts reach them. The
// control host is part of the test and lists other addresses of the endpoints to the hosts that are to be cut.
#pragma once

#include "cutproxy.h"
#include "fleet.h"
#include "livestate.h"
#include "mesh.grpc.pb.h"
#include "transport/clock.h"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <grpcpp/server_builder.h>
#include <list>
#include <map>
#include <mutex>

namespace roserail::test
{

constexpr uint64_t ConfigurationVersion = 5;
constexpr uint64_t Epoch = 1;
inline const std::vector<int> Entries{1, 2, 3};
inline const std::vector<int> CutEntries{1, 2};
constexpr int Runners = 4; // two model engines, two plain services

// Serves the polls of routers. Lists the address of a proxy to each router that is to be cut from an endpoint.
class FakeControl final : public pb::Mesh::Service
{
public:
    FakeControl(const std::string &address, std::string configuration)
        : m_address(address)
        , m_configuration(std::move(configuration))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }
    ~FakeControl() override
    {
        m_server->Shutdown(std::chrono::system_clock::now());
    }
    FakeControl(const FakeControl &) = delete;
    FakeControl &operator=(const FakeControl &) = delete;

    void announce(const std::string &endpoint, const std::string &service, const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        pb::Announcement it = announcement(endpoint, 1, 1, address);
        it.set_service(service);
        it.set_zone("z1");
        if (service == "engines")
            it.add_models()->set_model("m1");
        m_registry.merge(it, monotonicNow());
    }
    void replaceAddress(const std::string &router, const std::string &endpoint, const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        m_addresses[{router, endpoint}] = address;
    }
    // Returns the latest poll of each router.
    std::string polls()
    {
        const std::lock_guard lock(m_mutex);
        std::string all;
        for (const std::pair<const std::string, std::string> &it : m_polls)
            all += it.second + "\n";
        return all;
    }
    grpc::Status Sync(grpc::ServerContext *, const pb::SyncRequest *request, pb::SyncReply *reply) override
    {
        const std::lock_guard lock(m_mutex);
        const std::string &router = request->router().router();
        m_polls[router] = request->ShortDebugString();
        m_registry.merge(request->router(), monotonicNow());
        m_registry.routerChangesSince(request->epoch() == Epoch ? request->version() : 0, monotonicNow(), *reply);
        for (pb::Announcement &it : *reply->mutable_endpoints()) {
            const auto address = m_addresses.find({router, it.endpoint()});
            if (address != m_addresses.end())
                it.set_address(address->second);
        }
        reply->set_full(false);
        reply->set_epoch(Epoch);
        reply->add_control(m_address);
        if (request->configuration() < ConfigurationVersion) {
            reply->mutable_configuration()->set_version(ConfigurationVersion);
            reply->mutable_configuration()->set_content(m_configuration);
        }
        return grpc::Status::OK;
    }

private:
    std::string m_address;
    std::string m_configuration;
    std::mutex m_mutex;
    Registry m_registry{ExpiryTimes, monotonicNow()};
    std::map<std::pair<std::string, std::string>, std::string> m_addresses; // by router and endpoint
    std::map<std::string, std::string> m_polls; // by router
    std::unique_ptr<grpc::Server> m_server;
};

// Three entry hosts, four runners, and proxies through which the hosts that are to be cut reach these.
struct CutSystem {
    Fleet fleet;
    FakeControl control;
    std::list<CutProxy> proxies;

    explicit CutSystem(int firstPort, const std::string &configuration = Fleet::configurationText(ConfigurationVersion))
        : fleet("cut", firstPort)
        , control(fmt::format("127.0.0.1:{}", fleet.internalPort()), configuration)
    {
        for (int n = 1; n <= Runners; ++n) {
            const std::string service = n <= 2 ? "engines" : "plain";
            fleet.startRunner(n, service, n <= 2 ? "m1" : "");
            control.announce(fmt::format("i-{}", n), service, fmt::format("127.0.0.1:{}", fleet.runnerPort(n)));
            for (const int entry : CutEntries) {
                proxies.emplace_back(fleet.runnerPort(n));
                control.replaceAddress(fmt::format("entry-{}", entry), fmt::format("i-{}", n), proxies.back().address());
            }
        }
        for (const int n : Entries)
            fleet.startEntry(n);
        BOOST_REQUIRE(fleet.waitUntilReady(Entries));
        BOOST_REQUIRE(fleet.waitForEndpoints(Entries, Runners));
        // A host that has just become ready may not know yet that others take the requests which it can't send.
        BOOST_REQUIRE(eventually([this] {
            return std::all_of(Entries.begin(), Entries.end(),
                               [this](int it) { return fleet.resolve(it)["addresses"].size() == Entries.size(); });
        }));
    }
    void cut(CutKind kind)
    {
        for (CutProxy &it : proxies)
            it.cut(kind);
    }
    void heal()
    {
        for (CutProxy &it : proxies)
            it.heal();
    }
};

} // namespace roserail::test
