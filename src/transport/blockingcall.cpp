#include "transport/blockingcall.h"

#include "state/address.h"

#include <fmt/format.h>

namespace roserail
{

namespace
{

// Returns the addresses of "host:port" as "ip:port"; a host name is resolved.
std::vector<std::string> resolve(net::io_context &io, const std::string &address, ErrorCode &ec)
{
    std::vector<std::string> found;
    const Result<HostPort> target = parseHostPort(address);
    if (target.has_error()) {
        ec = net::error::invalid_argument;
        return found;
    }
    tcp::resolver resolver(io);
    for (const tcp::resolver::results_type::value_type &it :
         resolver.resolve(target.value().host, std::to_string(target.value().port), tcp::resolver::numeric_service, ec))
        found.push_back(fmt::format("{}:{}", it.endpoint().address().to_string(), target.value().port));
    return found;
}

} // namespace

BlockingCall callBlocking(const std::string &address, const std::string &method, const std::string &path,
                          const std::vector<HeaderField> &headers, const std::string &body, Millis connectTimeout, Millis timeout)
{
    net::io_context io(1);
    EndpointPool pool(io);
    BlockingCall result;
    const std::vector<std::string> resolved = resolve(io, address, result.connectError);
    if (result.connectError)
        return result;
    const auto call = [&]() -> Task<> {
        EndpointConnectionPtr connection;
        for (auto it = resolved.begin(); it != resolved.end() && !connection; ++it)
            connection = co_await pool.connect(*it, connectTimeout, &result.connectError);
        if (!connection)
            co_return;
        connection->address = address;
        bool reusable = false;
        result.answer = co_await callOnConnection(*connection, method, path, headers, body, timeout, reusable);
    };
    net::co_spawn(io, call, [](const std::exception_ptr &exception) {
        if (exception)
            std::rethrow_exception(exception);
    });
    io.run();
    return result;
}

} // namespace roserail
