#include "mesh_config/route_table.h"

#include <algorithm>

#include "mesh_config/digest.h"

namespace martenford::mesh_config {

namespace {

/// Seed of the digest that places a request in a split. Proxies of two releases must place it alike: never
/// change it.
constexpr std::uint64_t kSplitSeed = 7;

std::vector<std::pair<std::string, std::uint64_t>> cumulative_weights(const Action& action) {
    if (action.service) return {{*action.service, 1}};
    std::vector<std::pair<std::string, std::uint64_t>> services;
    std::uint64_t sum = 0;
    for (const Split& split : *action.weighted_split) {
        if (split.weight == 0) continue;
        sum += static_cast<std::uint64_t>(split.weight);
        services.emplace_back(split.service, sum);
    }
    return services;
}

Route make_route(const Rule& rule) {
    Route route;
    route.name = rule.name;
    route.kind = parse_route_kind(rule.route_kind).value();
    route.keyless = rule.keyless;
    route.latency_target_ms = rule.target_latency_ms;
    route.priority = rule.priority;
    route.timeout_ms = rule.route_action.timeout_ms;
    route.max_attempts = rule.route_action.max_attempts;
    route.services = cumulative_weights(rule.route_action);
    return route;
}

}  // namespace

const std::string& Route::service_for(std::string_view id) const {
    if (services.size() == 1) return services.front().first;
    const std::uint64_t point = digest(id, kSplitSeed) % services.back().second;
    for (const auto& [service, cumulative_weight] : services) {
        if (point < cumulative_weight) return service;
    }
    return services.back().first;
}

RouteTable::RouteTable(Version version, const Config& config)
    : version_(version),
      limits_(config.limits),
      has_tenants_(config.tenants.has_value()),
      tenants_(tenants_of(config)) {
    for (const Cluster& cluster : config.clusters) clusters_.emplace(cluster.name, cluster);
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        for (const std::string& key : tenants_[i].api_keys) tenant_index_by_key_.emplace(key, i);
    }
    for (const Listener& listener : config.listeners) add_listener(listener);
}

void RouteTable::add_listener(const Listener& listener) {
    HostRoutes& routes = routes_by_host_[normalized_host(listener.host)];
    for (const Rule& rule : listener.rule_set) {
        const std::string& prefix = rule.matcher.path_prefix;
        routes.max_prefix_length = std::max(routes.max_prefix_length, prefix.size());
        routes.by_prefix.emplace(prefix, make_route(rule));
    }
}

const Route* RouteTable::route(std::string_view host, std::string_view path) const {
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    const auto found_host = routes_by_host_.find(normalized_host(host));
    if (found_host == routes_by_host_.end()) return nullptr;
    const HostRoutes& routes = found_host->second;
    // Bounds the number of look-ups for a path of thousands of slashes.
    path = path.substr(0, routes.max_prefix_length);
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = routes.by_prefix.find(std::string(path.substr(0, slash + 1)));
        if (found != routes.by_prefix.end()) return &found->second;
        if (slash == 0) break;
    }
    return nullptr;
}

const Tenant* RouteTable::tenant_by_key(std::string_view key) const {
    const auto found = tenant_index_by_key_.find(std::string(key));
    return found == tenant_index_by_key_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* RouteTable::tenant(std::string_view name) const {
    const auto found = std::find_if(tenants_.begin(), tenants_.end(),
                                    [&](const Tenant& tenant) { return tenant.name == name; });
    return found == tenants_.end() ? nullptr : &*found;
}

const Cluster* RouteTable::cluster(std::string_view name) const {
    const auto found = clusters_.find(std::string(name));
    return found == clusters_.end() ? nullptr : &found->second;
}

}  // namespace martenford::mesh_config
