#include "mesh_config/validation.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace martenford::mesh_config {

namespace {

using Result = std::optional<ConfigError>;

/// Milliseconds: ten minutes.
constexpr std::int64_t kMaxTimeoutMs = 10LL * 60 * 1000;
constexpr std::int64_t kMaxAttempts = 1000;
/// Keeps the sum of a split's weights far below 2^63.
constexpr std::int64_t kMaxWeight = 1'000'000;

/// One pass over a document; keeps the names that were seen so far.
class Validator {
  public:
    Result check(const Config& config);

  private:
    static Result check_limits(const Limits& limits);
    Result check_cluster(const Cluster& cluster);
    Result check_listener(const Listener& listener, const std::string& path);
    Result check_rule(const Rule& rule, const std::string& path) const;
    static Result check_matcher(const Matcher& matcher, const std::string& path);
    static Result check_attempts(const Action& action, const std::string& path);
    Result check_destination(const Action& action, const std::string& path) const;
    Result check_split(const std::vector<Split>& splits, const std::string& path) const;
    Result check_tenant(const Tenant& tenant);

    std::set<std::string> services_;
    std::set<std::string> route_names_;
    std::set<std::string> hosts_and_prefixes_;
    std::set<std::string> tenant_names_;
    std::set<std::string> api_keys_;
};

std::string indexed(const std::string& list, std::size_t index) {
    return list + "[" + std::to_string(index) + "]";
}

Result Validator::check(const Config& config) {
    if (auto error = check_limits(config.limits)) return error;
    for (const Cluster& cluster : config.clusters) {
        if (auto error = check_cluster(cluster)) return error;
    }
    for (std::size_t i = 0; i < config.listeners.size(); ++i) {
        if (auto error = check_listener(config.listeners[i], indexed("listeners", i))) return error;
    }
    for (const Tenant& tenant : tenants_of(config)) {
        if (auto error = check_tenant(tenant)) return error;
    }
    return std::nullopt;
}

Result Validator::check_limits(const Limits& limits) {
    const bool in_range = limits.max_header_bytes >= 1 && limits.max_body_bytes >= 0 &&
                          limits.header_timeout_ms >= 1 && limits.idle_timeout_ms >= 1;
    if (!in_range) return ConfigError{"limits", "a limit is out of range"};
    return std::nullopt;
}

Result Validator::check_cluster(const Cluster& cluster) {
    if (cluster.name.empty()) return ConfigError{"clusters", "a service needs a name"};
    if (!services_.insert(cluster.name).second)
        return ConfigError{"clusters", "'" + cluster.name + "' stands twice"};
    if (cluster.max_connections < 0) return ConfigError{"clusters", "max_connections must not be under 0"};
    return std::nullopt;
}

Result Validator::check_listener(const Listener& listener, const std::string& path) {
    if (listener.host.empty()) return ConfigError{path + ".host", "a host is wanted"};
    for (std::size_t i = 0; i < listener.rule_set.size(); ++i) {
        const Rule& rule = listener.rule_set[i];
        const std::string rule_path = indexed(path + ".rule_set", i);
        if (auto error = check_rule(rule, rule_path)) return error;
        if (!route_names_.insert(rule.name).second)
            return ConfigError{rule_path + ".name", "'" + rule.name + "' stands twice"};
        if (!hosts_and_prefixes_.insert(normalized_host(listener.host) + " " + rule.matcher.path_prefix)
                 .second)
            return ConfigError{rule_path + ".matcher.path_prefix", "another route has this host and prefix"};
    }
    return std::nullopt;
}

Result Validator::check_rule(const Rule& rule, const std::string& path) const {
    if (rule.name.empty()) return ConfigError{path + ".name", "a route needs a name"};
    if (!parse_route_kind(rule.route_kind))
        return ConfigError{path + ".route_kind", "unknown: '" + rule.route_kind + "'"};
    if (auto error = check_matcher(rule.matcher, path + ".matcher")) return error;
    if (auto error = check_attempts(rule.route_action, path + ".route_action")) return error;
    if (rule.target_latency_ms < 0) return ConfigError{path + ".target_latency_ms", "it must not be under 0"};
    return check_destination(rule.route_action, path + ".route_action");
}

Result Validator::check_matcher(const Matcher& matcher, const std::string& path) {
    const std::string& prefix = matcher.path_prefix;
    if (prefix.empty() || prefix.front() != '/')
        return ConfigError{path + ".path_prefix", "it does not begin with a slash"};
    if (prefix.back() != '/') return ConfigError{path + ".path_prefix", "it does not end with a slash"};
    return std::nullopt;
}

Result Validator::check_attempts(const Action& action, const std::string& path) {
    if (action.timeout_ms <= 0) return ConfigError{path + ".timeout_ms", "it must be over 0"};
    if (action.timeout_ms > kMaxTimeoutMs) return ConfigError{path + ".timeout_ms", "it is over ten minutes"};
    if (action.max_attempts < 1 || action.max_attempts > kMaxAttempts)
        return ConfigError{path + ".max_attempts", "it must be from 1 to 1000"};
    return std::nullopt;
}

Result Validator::check_destination(const Action& action, const std::string& path) const {
    if (action.service.has_value() == action.weighted_split.has_value())
        return ConfigError{path, "one of service and weighted_split is wanted"};
    if (action.weighted_split) return check_split(*action.weighted_split, path + ".weighted_split");
    if (!services_.contains(*action.service))
        return ConfigError{path + ".service", "unknown service '" + *action.service + "'"};
    return std::nullopt;
}

Result Validator::check_split(const std::vector<Split>& splits, const std::string& path) const {
    std::int64_t sum = 0;
    for (const Split& split : splits) {
        if (!services_.contains(split.service))
            return ConfigError{path, "unknown service '" + split.service + "'"};
        if (split.weight < 0 || split.weight > kMaxWeight)
            return ConfigError{path, "a weight must be from 0 to 1000000"};
        sum += split.weight;
    }
    if (sum == 0) return ConfigError{path, "the weights are 0 in sum"};
    return std::nullopt;
}

Result Validator::check_tenant(const Tenant& tenant) {
    if (tenant.name.empty()) return ConfigError{"tenants", "a tenant needs a name"};
    if (!tenant_names_.insert(tenant.name).second)
        return ConfigError{"tenants", "'" + tenant.name + "' stands twice"};
    if (tenant.rate_per_s < 0 || tenant.burst < 0)
        return ConfigError{"tenants", "a rate must not be under 0"};
    for (const std::string& key : tenant.api_keys) {
        if (key.empty()) return ConfigError{"tenants", "a key is empty"};
        if (!api_keys_.insert(key).second)
            return ConfigError{"tenants", "a key of '" + tenant.name + "' stands twice"};
    }
    return std::nullopt;
}

}  // namespace

std::optional<ConfigError> validate(const Config& config) {
    return Validator().check(config);
}

}  // namespace martenford::mesh_config
