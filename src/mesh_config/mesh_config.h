// The operator's configuration: as structs, checked, changed item by item, and as the table that a request is
// looked up in. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mesh_config/described.h"

namespace martenford::mesh_config {

using Version = std::uint32_t;
/// "0000000c", as versions are written.
std::string text_of(Version version);
/// One to eight hexadecimal digits.
std::optional<Version> parse_version(std::string_view text);

// ---- as it is put (the platform's page, "The operator") --------------------------------------------

struct Limits {
    std::int64_t max_header_bytes = 16384;
    std::int64_t max_body_bytes = 64 * 1024 * 1024;
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15000;
};
BOOST_DESCRIBE_STRUCT(Limits, (), (max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms))

struct Split {
    std::string service;
    std::int64_t weight = 0;
};
BOOST_DESCRIBE_STRUCT(Split, (), (service, weight))

struct Action {
    std::optional<std::string> service;
    std::optional<std::vector<Split>> weighted_split;
    std::int64_t timeout_ms = 0;
    std::int64_t max_attempts = 1;
};
BOOST_DESCRIBE_STRUCT(Action, (), (service, weighted_split, timeout_ms, max_attempts))

struct Matcher {
    std::string path_prefix;
};
BOOST_DESCRIBE_STRUCT(Matcher, (), (path_prefix))

struct Rule {
    std::string name;
    std::string route_kind;
    std::int64_t target_latency_ms = 0;
    std::int64_t priority = 0;
    bool keyless = false;
    Matcher matcher;
    Action route_action;
};
BOOST_DESCRIBE_STRUCT(Rule, (),
                      (name, route_kind, target_latency_ms, priority, keyless, matcher, route_action))

struct Listener {
    std::string host;
    std::vector<Rule> rule_set;
};
BOOST_DESCRIBE_STRUCT(Listener, (), (host, rule_set))

struct Cluster {
    std::string name;
    std::string health_path;
    std::int64_t max_connections = 0;
};
BOOST_DESCRIBE_STRUCT(Cluster, (), (name, health_path, max_connections))

struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;
    std::int64_t priority = 0;
    double rate_per_s = 0;  ///< 0: no limit
    double burst = 0;
};
BOOST_DESCRIBE_STRUCT(Tenant, (), (name, api_keys, priority, rate_per_s, burst))

struct Config {
    std::string version;
    std::string base_version;
    Limits limits;
    std::vector<Tenant> tenants;
    std::vector<Listener> listeners;
    std::vector<Cluster> clusters;
};
BOOST_DESCRIBE_STRUCT(Config, (), (version, base_version, limits, tenants, listeners, clusters))

/// The JSON object that a text is; nothing where it is none, or is nested deeper than any configuration: what
/// copies and writes JSON calls itself for each level.
std::optional<Json> parse_object(std::string_view text);

/// Reads a whole configuration and checks all that can be said without knowing the one in place: names,
/// bounds, that routes go to services there are. A configuration of any size is read once; work grows with it
/// linearly.
std::variant<Config, ConfigError> read_config(const Json& document);

/// The document with a change by names done to it: `upserts` are added or replace what has their name,
/// `removals` go. Routes are named whatever their host. The version is the change's.
std::variant<Json, ConfigError> modified(const Json& document, const Json& change);

// ---- as a request meets it -------------------------------------------------------------------------

enum class Kind { Idempotent, NonIdempotent, Download };

struct Route {
    std::string name;
    Kind kind = Kind::NonIdempotent;
    bool keyless = false;
    std::int64_t latency_target_ms = 0, priority = 0, timeout_ms = 0, max_attempts = 1;
    std::vector<std::pair<std::string, std::uint64_t>> services;  ///< with the sum of weights up to each
    /// The service for a request with this id: the same wherever and whenever it is asked.
    const std::string& service_for(std::string_view id) const;
    bool idempotent() const { return kind != Kind::NonIdempotent; }
};

/// One version, ready for look-ups.
class RouteTable {
  public:
    /// The document has passed read_config().
    RouteTable(Version version, const Config& config);

    Version version() const { return version_; }
    const Limits& limits() const { return limits_; }
    /// The route of this host with the longest prefix that begins the path; nothing: there is none. The host
    /// may carry a port, the path a query.
    const Route* route(std::string_view host, std::string_view path) const;
    bool has_tenants() const { return !tenants_.empty(); }
    const Tenant* tenant_by_key(std::string_view key) const;
    const Tenant* tenant(std::string_view name) const;
    const std::vector<Tenant>& tenants() const { return tenants_; }
    const Cluster* cluster(std::string_view name) const;

  private:
    Version version_;
    Limits limits_;
    std::vector<Tenant> tenants_;
    std::unordered_map<std::string, std::size_t> keys_;
    std::unordered_map<std::string, Cluster> clusters_;
    // By host; within it by prefix. Prefixes end with a slash, so that one look for each slash of a path
    // finds the longest.
    struct Host {
        std::unordered_map<std::string, Route> by_prefix;
        std::size_t longest = 0;  // prefix: a path is looked at no further
    };
    std::unordered_map<std::string, Host> routes_;
};

/// 64 bits that are the same everywhere: for splits and placement.
std::uint64_t digest(std::string_view text, std::uint64_t seed = 0);

}  // namespace martenford::mesh_config
