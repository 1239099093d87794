#include "mesh_config/explain.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace martenford::mesh_config {

namespace {

std::string goes_to(const Action& action) {
    if (action.service) return *action.service;
    std::int64_t sum = 0;
    for (const Split& split : *action.weighted_split) sum += split.weight;
    std::ostringstream out;
    for (const Split& split : *action.weighted_split) {
        out << (out.tellp() > 0 ? ", " : "") << split.service << " " << split.weight << " of " << sum;
    }
    return out.str();
}

struct Placed {
    std::string host;
    Rule rule;
};
std::map<std::string, Placed> routes_of(const Config& config) {
    std::map<std::string, Placed> all;
    for (const Listener& listener : config.listeners) {
        for (const Rule& rule : listener.rule_set) all[rule.name] = {listener.host, rule};
    }
    return all;
}

bool repeats(const Rule& rule) {
    return rule.route_kind != "non_idempotent";
}

/// Lines with their gravity: 0 is the gravest.
using Lines = std::multimap<int, std::string>;

void compare(const std::string& name, const Placed& before, const Placed& after, Lines& to) {
    const std::string route = "route " + name + ": ";
    if (repeats(before.rule) && !repeats(after.rule))
        to.emplace(0, route +
                          "must not run twice from now on; proxies that still have the older version may "
                          "repeat it until they "
                          "have this one");
    if (!repeats(before.rule) && repeats(after.rule))
        to.emplace(0, route + "may run more than once from now on; before, it must not");
    if (goes_to(before.rule.route_action) != goes_to(after.rule.route_action))
        to.emplace(1, route + "goes to " + goes_to(after.rule.route_action) + ", before to " +
                          goes_to(before.rule.route_action));
    if (before.host != after.host || before.rule.matcher.path_prefix != after.rule.matcher.path_prefix)
        to.emplace(1, route + "is at " + after.host + after.rule.matcher.path_prefix + ", before at " +
                          before.host + before.rule.matcher.path_prefix);
    if (before.rule.keyless != after.rule.keyless)
        to.emplace(1, route + (after.rule.keyless ? "wants no key any more" : "wants a key from now on"));
    const auto figure = [&](const char* what, std::int64_t was, std::int64_t is) {
        if (was != is) to.emplace(3, route + what + " " + std::to_string(was) + " -> " + std::to_string(is));
    };
    figure("max_attempts", before.rule.route_action.max_attempts, after.rule.route_action.max_attempts);
    figure("timeout_ms", before.rule.route_action.timeout_ms, after.rule.route_action.timeout_ms);
    figure("target_latency_ms", before.rule.target_latency_ms, after.rule.target_latency_ms);
    figure("priority", before.rule.priority, after.rule.priority);
}

void compare(const Tenant& before, const Tenant& after, Lines& to) {
    const std::string tenant = "tenant " + after.name + ": ";
    const std::set<std::string> was(before.api_keys.begin(), before.api_keys.end()),
        is(after.api_keys.begin(), after.api_keys.end());
    const auto ended =
        std::count_if(was.begin(), was.end(), [&](const auto& key) { return !is.contains(key); });
    const auto added =
        std::count_if(is.begin(), is.end(), [&](const auto& key) { return !was.contains(key); });
    if (ended > 0)
        to.emplace(1, tenant + std::to_string(ended) + " of its keys end: 401 for who still uses them");
    if (added > 0) to.emplace(3, tenant + std::to_string(added) + " keys more");
    // 0 is no limit.
    const auto limit = [](double rate) { return rate > 0 ? rate : 1e300; };
    const auto text = [](double rate) {
        std::ostringstream out;
        out << rate;
        return rate > 0 ? out.str() + " a second" : std::string("no limit");
    };
    if (before.rate_per_s != after.rate_per_s || before.burst != after.burst)
        to.emplace(limit(after.rate_per_s) < limit(before.rate_per_s) ? 2 : 3,
                   tenant + "quota " + text(before.rate_per_s) + " -> " + text(after.rate_per_s));
    if (before.priority != after.priority)
        to.emplace(3, tenant + "priority " + std::to_string(before.priority) + " -> " +
                          std::to_string(after.priority));
}

}  // namespace

std::string summary(const Config& config) {
    std::ostringstream out;
    std::size_t routes = 0, orders = 0;
    std::set<std::string> used;
    std::vector<std::string> doubts;
    for (const Listener& listener : config.listeners) {
        for (const Rule& rule : listener.rule_set) {
            ++routes;
            orders += !repeats(rule);
            if (rule.route_action.service) used.insert(*rule.route_action.service);
            if (rule.route_action.weighted_split) {
                for (const Split& split : *rule.route_action.weighted_split) {
                    if (split.weight > 0) used.insert(split.service);
                }
            }
            if (rule.target_latency_ms > rule.route_action.timeout_ms)
                doubts.push_back("route " + rule.name + ": its aim is longer than its timeout");
        }
    }
    for (const Cluster& cluster : config.clusters) {
        if (!used.contains(cluster.name))
            doubts.push_back("service " + cluster.name + ": no route goes there");
    }
    for (const Tenant& tenant : config.tenants) {
        if (tenant.api_keys.empty())
            doubts.push_back("tenant " + tenant.name + ": it has no key, so that nobody is it");
        if (tenant.rate_per_s > 0 && tenant.burst > 10 * tenant.rate_per_s)
            doubts.push_back("tenant " + tenant.name + ": its burst is over ten seconds of its rate");
    }
    out << "valid: version " << config.version << ", " << routes << " routes (" << orders
        << " must not run twice), " << config.clusters.size() << " services, " << config.tenants.size()
        << " tenants\n";
    for (const std::string& doubt : doubts) out << "look at: " << doubt << "\n";
    return out.str();
}

RouteExplanation explain_route(const Config& config, std::string_view host, std::string_view path) {
    const RouteTable routes(0, config);
    std::ostringstream out;
    const Route* taken = routes.route(host, path);
    if (!taken) {
        const bool known = std::any_of(config.listeners.begin(), config.listeners.end(),
                                       [&](const Listener& l) { return l.host == host; });
        out << "404: " << (known ? "no prefix of this host begins the path" : "no listener has this host")
            << "\n";
        return {false, out.str()};
    }
    const auto placed = routes_of(config).at(taken->name);
    const Action& action = placed.rule.route_action;
    out << "route " << taken->name << " (" << placed.rule.route_kind
        << "), the longest prefix: " << placed.rule.matcher.path_prefix << "\n"
        << "  to " << goes_to(action) << ", " << action.timeout_ms << " ms at most, "
        << (repeats(placed.rule) ? std::to_string(action.max_attempts) + " endpoints at most"
                                 : "one endpoint, once")
        << ", " << (placed.rule.keyless || config.tenants.empty() ? "without a key" : "with a tenant's key")
        << "\n";
    for (const Listener& listener : config.listeners) {
        if (listener.host != placed.host) continue;
        for (const Rule& rule : listener.rule_set) {
            if (rule.name != taken->name && path.starts_with(rule.matcher.path_prefix))
                out << "  not " << rule.name << ": its prefix " << rule.matcher.path_prefix
                    << " is shorter\n";
        }
    }
    return {true, out.str()};
}

std::vector<std::string> explain_change(const Config& before, const Config& after) {
    Lines lines;
    const auto was = routes_of(before), is = routes_of(after);
    for (const auto& [name, placed] : was) {
        const auto now = is.find(name);
        if (now == is.end()) {
            lines.emplace(1, "route " + name + ": gone; 404 at " + placed.host +
                                 placed.rule.matcher.path_prefix + " unless a shorter prefix takes it");
        } else {
            compare(name, placed, now->second, lines);
        }
    }
    for (const auto& [name, placed] : is) {
        if (!was.contains(name))
            lines.emplace(2, "route " + name + ": new, " + placed.host + placed.rule.matcher.path_prefix +
                                 " to " + goes_to(placed.rule.route_action));
    }
    const auto by_name = [](const std::vector<Tenant>& tenants) {
        std::map<std::string, Tenant> all;
        for (const Tenant& tenant : tenants) all[tenant.name] = tenant;
        return all;
    };
    const auto held = by_name(before.tenants), holds = by_name(after.tenants);
    for (const auto& [name, tenant] : held) {
        if (const auto now = holds.find(name); now != holds.end()) {
            compare(tenant, now->second, lines);
        } else {
            lines.emplace(1, "tenant " + name + ": gone with its keys");
        }
    }
    for (const auto& [name, tenant] : holds) {
        if (!held.contains(name)) lines.emplace(3, "tenant " + name + ": new");
    }
    std::set<std::string> services_were, services_are;
    for (const Cluster& cluster : before.clusters) services_were.insert(cluster.name);
    for (const Cluster& cluster : after.clusters) services_are.insert(cluster.name);
    for (const std::string& name : services_were) {
        if (!services_are.contains(name)) lines.emplace(2, "service " + name + ": gone");
    }
    for (const std::string& name : services_are) {
        if (!services_were.contains(name)) lines.emplace(3, "service " + name + ": new");
    }
    std::vector<std::string> out;
    for (auto& [gravity, line] : lines) out.push_back(std::move(line));
    if (out.empty()) out.push_back("nothing changed but the version");
    return out;
}

}  // namespace martenford::mesh_config
