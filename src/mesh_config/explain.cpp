#include "mesh_config/explain.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace martenford::mesh_config {

namespace {

/// "x", or "x 9 of 10, y 1 of 10".
std::string destination(const Action& action) {
    if (action.service) return *action.service;
    std::int64_t sum = 0;
    for (const Split& split : *action.weighted_split) sum += split.weight;
    std::ostringstream out;
    for (const Split& split : *action.weighted_split) {
        out << (out.tellp() > 0 ? ", " : "") << split.service << " " << split.weight << " of " << sum;
    }
    return out.str();
}

struct HostRule {
    std::string host;
    Rule rule;
};

/// All routes by name.
std::map<std::string, HostRule> routes_of(const Config& config) {
    std::map<std::string, HostRule> all;
    for (const Listener& listener : config.listeners) {
        for (const Rule& rule : listener.rule_set) all[rule.name] = {listener.host, rule};
    }
    return all;
}

std::map<std::string, Tenant> tenants_by_name(const Config& config) {
    std::map<std::string, Tenant> all;
    for (const Tenant& tenant : tenants_of(config)) all[tenant.name] = tenant;
    return all;
}

std::set<std::string> services_of(const Config& config) {
    std::set<std::string> all;
    for (const Cluster& cluster : config.clusters) all.insert(cluster.name);
    return all;
}

/// Services that some route sends requests to.
std::set<std::string> services_in_use(const Config& config) {
    std::set<std::string> used;
    for (const auto& [name, route] : routes_of(config)) {
        const Action& action = route.rule.route_action;
        if (action.service) used.insert(*action.service);
        for (const Split& split : action.weighted_split.value_or(std::vector<Split>{})) {
            if (split.weight > 0) used.insert(split.service);
        }
    }
    return used;
}

bool is_idempotent(const Rule& rule) {
    return rule.route_kind != "non_idempotent";
}

/// Order of the lines of an explanation.
enum class Severity {
    Repetition,  ///< whether requests may run more than once
    Behaviour,   ///< requests go elsewhere or fail
    Reduction,   ///< less is admitted, or something was added that takes requests
    Minor,
};
using Lines = std::multimap<Severity, std::string>;

void compare(const std::string& name, const HostRule& before, const HostRule& after, Lines& to) {
    const std::string route = "route " + name + ": ";
    if (is_idempotent(before.rule) && !is_idempotent(after.rule))
        to.emplace(Severity::Repetition,
                   route +
                       "must not run twice from now on; proxies that still have the older version may "
                       "repeat it until they "
                       "have this one");
    if (!is_idempotent(before.rule) && is_idempotent(after.rule))
        to.emplace(Severity::Repetition, route + "may run more than once from now on; before, it must not");
    if (destination(before.rule.route_action) != destination(after.rule.route_action))
        to.emplace(Severity::Behaviour, route + "goes to " + destination(after.rule.route_action) +
                                            ", before to " + destination(before.rule.route_action));
    if (before.host != after.host || before.rule.matcher.path_prefix != after.rule.matcher.path_prefix)
        to.emplace(Severity::Behaviour, route + "is at " + after.host + after.rule.matcher.path_prefix +
                                            ", before at " + before.host + before.rule.matcher.path_prefix);
    if (before.rule.keyless != after.rule.keyless)
        to.emplace(Severity::Behaviour,
                   route + (after.rule.keyless ? "wants no key any more" : "wants a key from now on"));
    const auto figure = [&](const char* field, std::int64_t old_value, std::int64_t new_value) {
        if (old_value == new_value) return;
        to.emplace(Severity::Minor,
                   route + field + " " + std::to_string(old_value) + " -> " + std::to_string(new_value));
    };
    figure("max_attempts", before.rule.route_action.max_attempts, after.rule.route_action.max_attempts);
    figure("timeout_ms", before.rule.route_action.timeout_ms, after.rule.route_action.timeout_ms);
    figure("target_latency_ms", before.rule.target_latency_ms, after.rule.target_latency_ms);
    figure("priority", before.rule.priority, after.rule.priority);
}

void compare(const Tenant& before, const Tenant& after, Lines& to) {
    const std::string tenant = "tenant " + after.name + ": ";
    const std::set<std::string> old_keys(before.api_keys.begin(), before.api_keys.end());
    const std::set<std::string> new_keys(after.api_keys.begin(), after.api_keys.end());
    const auto removed = std::count_if(old_keys.begin(), old_keys.end(),
                                       [&](const auto& key) { return !new_keys.contains(key); });
    const auto added = std::count_if(new_keys.begin(), new_keys.end(),
                                     [&](const auto& key) { return !old_keys.contains(key); });
    if (removed > 0)
        to.emplace(Severity::Behaviour,
                   tenant + std::to_string(removed) + " of its keys end: 401 for who still uses them");
    if (added > 0) to.emplace(Severity::Minor, tenant + std::to_string(added) + " keys more");
    // A rate of 0 means no limit.
    const auto limit = [](double rate) { return rate > 0 ? rate : 1e300; };
    const auto text = [](double rate) {
        std::ostringstream out;
        out << rate;
        return rate > 0 ? out.str() + " a second" : std::string("no limit");
    };
    if (before.rate_per_s != after.rate_per_s || before.burst != after.burst)
        to.emplace(limit(after.rate_per_s) < limit(before.rate_per_s) ? Severity::Reduction : Severity::Minor,
                   tenant + "quota " + text(before.rate_per_s) + " -> " + text(after.rate_per_s));
    if (before.priority != after.priority)
        to.emplace(Severity::Minor, tenant + "priority " + std::to_string(before.priority) + " -> " +
                                        std::to_string(after.priority));
}

void compare_routes(const Config& before, const Config& after, Lines& to) {
    const auto old_routes = routes_of(before);
    const auto new_routes = routes_of(after);
    for (const auto& [name, old_route] : old_routes) {
        if (const auto found = new_routes.find(name); found != new_routes.end()) {
            compare(name, old_route, found->second, to);
            continue;
        }
        to.emplace(Severity::Behaviour, "route " + name + ": gone; 404 at " + old_route.host +
                                            old_route.rule.matcher.path_prefix +
                                            " unless a shorter prefix takes it");
    }
    for (const auto& [name, route] : new_routes) {
        if (old_routes.contains(name)) continue;
        to.emplace(Severity::Reduction, "route " + name + ": new, " + route.host +
                                            route.rule.matcher.path_prefix + " to " +
                                            destination(route.rule.route_action));
    }
}

void compare_tenants(const Config& before, const Config& after, Lines& to) {
    if (before.tenants.has_value() != after.tenants.has_value()) {
        to.emplace(Severity::Behaviour, after.tenants
                                            ? "requests need a tenant's key, unless their route is keyless"
                                            : "requests need no key any more");
    }
    const auto old_tenants = tenants_by_name(before);
    const auto new_tenants = tenants_by_name(after);
    for (const auto& [name, tenant] : old_tenants) {
        if (const auto found = new_tenants.find(name); found != new_tenants.end()) {
            compare(tenant, found->second, to);
        } else {
            to.emplace(Severity::Behaviour, "tenant " + name + ": gone with its keys");
        }
    }
    for (const auto& [name, tenant] : new_tenants) {
        if (!old_tenants.contains(name)) to.emplace(Severity::Minor, "tenant " + name + ": new");
    }
}

void compare_services(const Config& before, const Config& after, Lines& to) {
    const auto old_services = services_of(before);
    const auto new_services = services_of(after);
    for (const std::string& name : old_services) {
        if (!new_services.contains(name)) to.emplace(Severity::Reduction, "service " + name + ": gone");
    }
    for (const std::string& name : new_services) {
        if (!old_services.contains(name)) to.emplace(Severity::Minor, "service " + name + ": new");
    }
}

/// What is valid and yet likely a mistake, a line each.
std::vector<std::string> warnings(const Config& config) {
    std::vector<std::string> lines;
    for (const Listener& listener : config.listeners) {
        for (const Rule& rule : listener.rule_set) {
            if (rule.target_latency_ms > rule.route_action.timeout_ms)
                lines.push_back("route " + rule.name + ": its aim is longer than its timeout");
        }
    }
    const std::set<std::string> used = services_in_use(config);
    for (const Cluster& cluster : config.clusters) {
        if (!used.contains(cluster.name))
            lines.push_back("service " + cluster.name + ": no route goes there");
    }
    if (config.tenants && config.tenants->empty()) {
        lines.emplace_back("tenants: the list is empty, so that only keyless routes are served");
    }
    for (const Tenant& tenant : tenants_of(config)) {
        if (tenant.api_keys.empty())
            lines.push_back("tenant " + tenant.name + ": it has no key, so that nobody is it");
        if (tenant.rate_per_s > 0 && tenant.burst > 10 * tenant.rate_per_s)
            lines.push_back("tenant " + tenant.name + ": its burst is over ten seconds of its rate");
    }
    return lines;
}

}  // namespace

std::string summary(const Config& config) {
    const auto routes = routes_of(config);
    const auto non_idempotent = std::count_if(
        routes.begin(), routes.end(), [](const auto& route) { return !is_idempotent(route.second.rule); });
    std::ostringstream out;
    out << "valid: version " << config.version << ", " << routes.size() << " routes (" << non_idempotent
        << " must not run twice), " << config.clusters.size() << " services, " << tenants_of(config).size()
        << " tenants\n";
    for (const std::string& warning : warnings(config)) out << "look at: " << warning << "\n";
    return out.str();
}

RouteExplanation explain_route(const Config& config, std::string_view host, std::string_view path) {
    const RouteTable table(0, config);
    std::ostringstream out;
    const Route* route = table.route(host, path);
    if (!route) {
        const bool known = std::any_of(config.listeners.begin(), config.listeners.end(),
                                       [&](const Listener& l) { return l.host == host; });
        out << "404: " << (known ? "no prefix of this host begins the path" : "no listener has this host")
            << "\n";
        return {false, out.str()};
    }
    const HostRule chosen = routes_of(config).at(route->name);
    const Action& action = chosen.rule.route_action;
    out << "route " << route->name << " (" << chosen.rule.route_kind
        << "), the longest prefix: " << chosen.rule.matcher.path_prefix << "\n"
        << "  to " << destination(action) << ", " << action.timeout_ms << " ms at most, "
        << (is_idempotent(chosen.rule) ? std::to_string(action.max_attempts) + " endpoints at most"
                                       : "one endpoint, once")
        << ", " << (table.needs_key(*route) ? "with a tenant's key" : "without a key") << "\n";
    for (const Listener& listener : config.listeners) {
        if (listener.host != chosen.host) continue;
        for (const Rule& rule : listener.rule_set) {
            if (rule.name != route->name && path.starts_with(rule.matcher.path_prefix))
                out << "  not " << rule.name << ": its prefix " << rule.matcher.path_prefix
                    << " is shorter\n";
        }
    }
    return {true, out.str()};
}

std::vector<std::string> explain_change(const Config& before, const Config& after) {
    Lines lines;
    compare_routes(before, after, lines);
    compare_tenants(before, after, lines);
    compare_services(before, after, lines);
    std::vector<std::string> out;
    for (auto& [severity, line] : lines) out.push_back(std::move(line));
    if (out.empty()) out.emplace_back("nothing changed but the version");
    return out;
}

}  // namespace martenford::mesh_config
