// One version of the configuration, indexed for the request path. Pure; immutable once built.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh_config/config.h"

namespace martenford::mesh_config {

struct Route {
    std::string name;
    Kind kind = Kind::NonIdempotent;
    bool keyless = false;                ///< served without a tenant's API key
    std::int64_t latency_target_ms = 0;  ///< ms; 0: the timeout
    std::int64_t priority = 0;
    std::int64_t timeout_ms = 0;    ///< ms
    std::int64_t max_attempts = 1;  ///< endpoints that one request may be sent to
    /// Each service of the split with the cumulative weight up to and including it; the sum is over 0.
    std::vector<std::pair<std::string, std::uint64_t>> services;

    /// The service for the request with this id, by the split's weights. The same in every process and at
    /// every attempt, because it depends on the id and the weights alone.
    [[nodiscard]] const std::string& service_for(std::string_view id) const;
    [[nodiscard]] bool idempotent() const { return kind != Kind::NonIdempotent; }
};

class RouteTable {
  public:
    /// `config` has passed validate().
    RouteTable(Version version, const Config& config);

    [[nodiscard]] Version version() const { return version_; }
    [[nodiscard]] const Limits& limits() const { return limits_; }
    /// The route with the longest prefix of `path` on this host, or null. `host` may have a port, `path` a
    /// query.
    [[nodiscard]] const Route* route(std::string_view host, std::string_view path) const;
    /// Whether a request on this route needs a tenant's API key: the configuration has a list of tenants,
    /// also one that is empty by now, and the route is not keyless.
    [[nodiscard]] bool needs_key(const Route& route) const { return has_tenants_ && !route.keyless; }
    /// The tenant that has this API key, or null.
    [[nodiscard]] const Tenant* tenant_by_key(std::string_view key) const;
    /// The tenant of this name, or null. Linear in the number of tenants.
    [[nodiscard]] const Tenant* tenant(std::string_view name) const;
    [[nodiscard]] const std::vector<Tenant>& tenants() const { return tenants_; }
    /// The service of this name, or null.
    [[nodiscard]] const Cluster* cluster(std::string_view name) const;

  private:
    /// Prefixes end with a slash, so one look-up for each slash of a path finds the longest.
    struct HostRoutes {
        std::unordered_map<std::string, Route> by_prefix;
        std::size_t max_prefix_length = 0;
    };

    void add_listener(const Listener& listener);

    Version version_;
    Limits limits_;
    bool has_tenants_;  // the configuration has such a list
    std::vector<Tenant> tenants_;
    std::unordered_map<std::string, std::size_t> tenant_index_by_key_;
    std::unordered_map<std::string, Cluster> clusters_;
    std::unordered_map<std::string, HostRoutes> routes_by_host_;
};

}  // namespace martenford::mesh_config
