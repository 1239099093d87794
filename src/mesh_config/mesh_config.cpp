#include "mesh_config/mesh_config.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace martenford::mesh_config {

namespace {

constexpr std::int64_t kLongestTimeoutMs = 10 * 60 * 1000;
constexpr std::int64_t kMostAttempts = 1000;
constexpr int kDeepest = 64;  // a route's split lies seven deep

std::string lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::optional<Kind> kind_of(std::string_view text) {
    if (text == "idempotent") return Kind::Idempotent;
    if (text == "non_idempotent") return Kind::NonIdempotent;
    if (text == "download") return Kind::Download;
    return std::nullopt;
}

std::optional<ConfigError> check_rule(const Rule& rule, const std::string& path,
                                      const std::set<std::string>& services) {
    if (rule.name.empty()) return ConfigError{path + ".name", "a route needs a name"};
    if (!kind_of(rule.route_kind))
        return ConfigError{path + ".route_kind", "unknown: '" + rule.route_kind + "'"};
    const std::string& prefix = rule.matcher.path_prefix;
    if (prefix.empty() || prefix.front() != '/')
        return ConfigError{path + ".matcher.path_prefix", "it does not begin with a slash"};
    if (prefix.back() != '/')
        return ConfigError{path + ".matcher.path_prefix", "it does not end with a slash"};
    const Action& action = rule.route_action;
    const std::string at = path + ".route_action";
    if (action.timeout_ms <= 0) return ConfigError{at + ".timeout_ms", "it must be over 0"};
    if (action.timeout_ms > kLongestTimeoutMs)
        return ConfigError{at + ".timeout_ms", "it is over ten minutes"};
    if (action.max_attempts < 1 || action.max_attempts > kMostAttempts)
        return ConfigError{at + ".max_attempts", "it must be from 1 to 1000"};
    if (rule.target_latency_ms < 0) return ConfigError{path + ".target_latency_ms", "it must not be under 0"};
    if (action.service.has_value() == action.weighted_split.has_value())
        return ConfigError{at, "one of service and weighted_split is wanted"};
    if (action.service) {
        if (!services.contains(*action.service))
            return ConfigError{at + ".service", "unknown service '" + *action.service + "'"};
        return std::nullopt;
    }
    std::int64_t sum = 0;
    for (const Split& split : *action.weighted_split) {
        if (!services.contains(split.service))
            return ConfigError{at + ".weighted_split", "unknown service '" + split.service + "'"};
        if (split.weight < 0 || split.weight > 1'000'000)
            return ConfigError{at + ".weighted_split", "a weight must be from 0 to 1000000"};
        sum += split.weight;
    }
    if (sum == 0) return ConfigError{at + ".weighted_split", "the weights are 0 in sum"};
    return std::nullopt;
}

}  // namespace

std::uint64_t digest(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string text_of(Version version) {
    char text[9];
    std::snprintf(text, sizeof text, "%08x", version);
    return text;
}

std::optional<Version> parse_version(std::string_view text) {
    Version version = 0;
    if (text.empty() || text.size() > 8) return std::nullopt;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), version, 16);
    if (fault != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return version;
}

std::optional<Json> parse_object(std::string_view text) {
    int depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"') {
            for (++at; at < text.size() && text[at] != '"'; ++at) at += text[at] == '\\';
        } else if (c == '{' || c == '[') {
            if (++depth > kDeepest) return std::nullopt;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    Json read = Json::parse(text, nullptr, false);
    if (!read.is_object()) return std::nullopt;
    return read;
}

std::variant<Config, ConfigError> read_config(const Json& document) {
    Config config;
    if (auto problem = read(document, config, "")) return *problem;
    if (!parse_version(config.version)) return ConfigError{"version", "eight hexadecimal digits are wanted"};
    if (!document.contains("listeners") || !document.contains("clusters"))
        return ConfigError{"", "listeners and clusters are wanted"};
    const Limits& limits = config.limits;
    if (limits.max_header_bytes < 1 || limits.max_body_bytes < 0 || limits.header_timeout_ms < 1 ||
        limits.idle_timeout_ms < 1)
        return ConfigError{"limits", "a limit is out of range"};
    std::set<std::string> services, names, places, tenants, keys;
    for (const Cluster& cluster : config.clusters) {
        if (cluster.name.empty()) return ConfigError{"clusters", "a service needs a name"};
        if (!services.insert(cluster.name).second)
            return ConfigError{"clusters", "'" + cluster.name + "' stands twice"};
        if (cluster.max_connections < 0)
            return ConfigError{"clusters", "max_connections must not be under 0"};
    }
    for (std::size_t i = 0; i < config.listeners.size(); ++i) {
        const Listener& listener = config.listeners[i];
        const std::string at = "listeners[" + std::to_string(i) + "]";
        if (listener.host.empty()) return ConfigError{at + ".host", "a host is wanted"};
        for (std::size_t k = 0; k < listener.rule_set.size(); ++k) {
            const Rule& rule = listener.rule_set[k];
            const std::string path = at + ".rule_set[" + std::to_string(k) + "]";
            if (auto problem = check_rule(rule, path, services)) return *problem;
            if (!names.insert(rule.name).second)
                return ConfigError{path + ".name", "'" + rule.name + "' stands twice"};
            if (!places.insert(lower(listener.host) + " " + rule.matcher.path_prefix).second)
                return ConfigError{path + ".matcher.path_prefix", "another route has this host and prefix"};
        }
    }
    for (const Tenant& tenant : config.tenants) {
        if (tenant.name.empty()) return ConfigError{"tenants", "a tenant needs a name"};
        if (!tenants.insert(tenant.name).second)
            return ConfigError{"tenants", "'" + tenant.name + "' stands twice"};
        if (tenant.rate_per_s < 0 || tenant.burst < 0)
            return ConfigError{"tenants", "a rate must not be under 0"};
        for (const std::string& key : tenant.api_keys) {
            if (key.empty()) return ConfigError{"tenants", "a key is empty"};
            if (!keys.insert(key).second)
                return ConfigError{"tenants", "a key of '" + tenant.name + "' stands twice"};
        }
    }
    return config;
}

namespace {

/// Replaces the item of this name, or adds it.
void upsert(Json& items, const Json& item) {
    for (Json& held : items) {
        if (held.value("name", "") == item.value("name", "")) {
            held = item;
            return;
        }
    }
    items.push_back(item);
}
void remove_named(Json& items, const std::string& name) {
    for (auto it = items.begin(); it != items.end(); ++it) {
        if (it->value("name", "") == name) {
            items.erase(it);
            return;
        }
    }
}
void remove_route(Json& listeners, const std::string& name) {
    for (Json& listener : listeners) {
        if (listener.contains("rule_set")) remove_named(listener["rule_set"], name);
    }
}
void upsert_route(Json& listeners, const std::string& host, const Json& rule) {
    const std::string name = rule.value("name", "");
    Json* place = nullptr;
    for (Json& listener : listeners) {
        if (listener.value("host", "") != host) continue;
        place = &listener;
        for (Json& held : listener["rule_set"]) {
            if (held.value("name", "") != name) continue;
            held = rule;
            return;
        }
    }
    remove_route(listeners, name);  // it moves here from another host
    if (!place) {
        listeners.push_back(Json{{"host", host}, {"rule_set", Json::array()}});
        place = &listeners.back();
    }
    (*place)["rule_set"].push_back(rule);
}

}  // namespace

std::variant<Json, ConfigError> modified(const Json& document, const Json& change) {
    if (!change.is_object()) return ConfigError{"", "an object is wanted"};
    Json out = document;
    // What is named wrongly shows as a type error of the library: turned into a problem at this edge.
    try {
        const Json upserts = change.value("upserts", Json::object());
        const Json removals = change.value("removals", Json::object());
        if (!upserts.is_object()) return ConfigError{"upserts", "an object is wanted"};
        if (!removals.is_object()) return ConfigError{"removals", "an object is wanted"};
        for (const auto& [what, names] : removals.items()) {
            const bool routes = what == "routes" || what == "rules";
            const std::string list = what == "services" ? "clusters" : what;
            if (!routes && list != "clusters" && list != "tenants" && list != "listeners")
                return ConfigError{"removals." + what, "unknown"};
            for (const Json& name : names) {
                if (routes) {
                    remove_route(out["listeners"], name.get<std::string>());
                } else if (list == "listeners") {
                    auto& held = out["listeners"];
                    for (auto it = held.begin(); it != held.end(); ++it) {
                        if (it->value("host", "") == name.get<std::string>()) {
                            held.erase(it);
                            break;
                        }
                    }
                } else if (out.contains(list)) {
                    remove_named(out[list], name.get<std::string>());
                }
            }
        }
        for (const auto& [what, items] : upserts.items()) {
            if (what == "listeners") {
                for (const Json& listener : items) {
                    for (const Json& rule : listener.at("rule_set"))
                        upsert_route(out["listeners"], listener.at("host").get<std::string>(), rule);
                }
            } else if (what == "clusters" || what == "services" || what == "tenants") {
                const std::string list = what == "services" ? "clusters" : what;
                if (!out.contains(list)) out[list] = Json::array();
                for (const Json& item : items) upsert(out[list], item);
            } else if (what == "limits") {
                out["limits"].update(items);
            } else {
                return ConfigError{"upserts." + what, "unknown"};
            }
        }
    } catch (const nlohmann::json::exception& error) {
        return ConfigError{"", std::string("the change can't be read: ") + error.what()};
    }
    out["version"] = change.value("version", Json());
    if (change.contains("base_version")) out["base_version"] = change["base_version"];
    return out;
}

const std::string& Route::service_for(std::string_view id) const {
    if (services.size() == 1) return services.front().first;
    const std::uint64_t at = digest(id, 7) % services.back().second;
    for (const auto& [service, up_to] : services) {
        if (at < up_to) return service;
    }
    return services.back().first;
}

RouteTable::RouteTable(Version version, const Config& config)
    : version_(version), limits_(config.limits), tenants_(config.tenants) {
    for (const Cluster& cluster : config.clusters) clusters_.emplace(cluster.name, cluster);
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        for (const std::string& key : tenants_[i].api_keys) keys_.emplace(key, i);
    }
    for (const Listener& listener : config.listeners) {
        Host& host = routes_[lower(listener.host)];
        for (const Rule& rule : listener.rule_set) {
            Route route{rule.name,
                        *kind_of(rule.route_kind),
                        rule.keyless,
                        rule.target_latency_ms,
                        rule.priority,
                        rule.route_action.timeout_ms,
                        rule.route_action.max_attempts,
                        {}};
            if (rule.route_action.service) {
                route.services = {{*rule.route_action.service, 1}};
            } else {
                std::uint64_t sum = 0;
                for (const Split& split : *rule.route_action.weighted_split) {
                    if (split.weight == 0) continue;
                    sum += static_cast<std::uint64_t>(split.weight);
                    route.services.emplace_back(split.service, sum);
                }
            }
            host.longest = std::max(host.longest, rule.matcher.path_prefix.size());
            host.by_prefix.emplace(rule.matcher.path_prefix, std::move(route));
        }
    }
}

const Route* RouteTable::route(std::string_view host, std::string_view path) const {
    if (const auto colon = host.find(':'); colon != host.npos) host = host.substr(0, colon);
    path = path.substr(0, path.find('?'));
    const auto found_host = routes_.find(lower(host));
    if (found_host == routes_.end()) return nullptr;
    const Host& known = found_host->second;
    // Guards against a path of thousands of slashes, each of which would be a look-up.
    path = path.substr(0, known.longest);
    for (auto slash = path.rfind('/'); slash != path.npos; slash = path.rfind('/', slash - 1)) {
        const auto found = known.by_prefix.find(std::string(path.substr(0, slash + 1)));
        if (found != known.by_prefix.end()) return &found->second;
        if (slash == 0) break;
    }
    return nullptr;
}

const Tenant* RouteTable::tenant_by_key(std::string_view key) const {
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* RouteTable::tenant(std::string_view name) const {
    const auto found =
        std::find_if(tenants_.begin(), tenants_.end(), [&](const Tenant& t) { return t.name == name; });
    return found == tenants_.end() ? nullptr : &*found;
}

const Cluster* RouteTable::cluster(std::string_view name) const {
    const auto found = clusters_.find(std::string(name));
    return found == clusters_.end() ? nullptr : &found->second;
}

}  // namespace martenford::mesh_config
