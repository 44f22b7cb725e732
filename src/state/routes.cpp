#include "state/routes.h"

#include <fmt/format.h>
#include <set>

namespace roserail
{

namespace
{

Error invalid(const Route &route, const std::string &what)
{
    return Error{ErrorKind::InvalidDocument, fmt::format("route '{}': {}", route.name, what), 0};
}

Result<void> checkRoute(const RouteTable &table, const Route &route)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        return invalid(route, fmt::format("prefix '{}' must begin and end with a slash", route.prefix));
    if (route.timeout <= Millis(0))
        return invalid(route, "the timeout must be above 0 ms");
    uint64_t weight = 0;
    for (const WeightedService &it : route.services) {
        if (table.service(it.service) == nullptr)
            return invalid(route, fmt::format("service '{}' is not defined; add it or correct the name", it.service.value()));
        weight += it.weight;
    }
    if (weight == 0)
        return invalid(route, "the weights of its services add up to 0; set the weight of at least one above 0");
    return boost::outcome_v2::success();
}

} // namespace

const Route *RouteTable::match(const std::string &host, const std::string &path) const
{
    const Route *best = nullptr;
    for (const Route &it : routes) {
        if (it.host == host && path.rfind(it.prefix, 0) == 0 && (best == nullptr || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

const ServiceSpec *RouteTable::service(const ServiceId &id) const
{
    const auto it = services.find(id);
    return it == services.end() ? nullptr : &it->second;
}

Result<void> checkRoutes(const RouteTable &table)
{
    std::set<std::pair<std::string, std::string>> hostPrefixes;
    for (const Route &it : table.routes) {
        const Result<void> checked = checkRoute(table, it);
        if (checked.has_error())
            return checked;
        if (!hostPrefixes.insert({it.host, it.prefix}).second)
            return invalid(it, fmt::format("another route also has host '{}' and prefix '{}'; merge the two", it.host, it.prefix));
    }
    return boost::outcome_v2::success();
}

} // namespace roserail
