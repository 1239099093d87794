// The schema of the operator's configuration, as it is on the wire (the platform's page, "The operator").
// Member names are the JSON field names: they are the platform's and never renamed. A default applies to an
// absent field.
#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martenford::mesh_config {

/// Version of a configuration; rises with every change. 0: no configuration yet.
using Version = std::uint32_t;

/// Eight hexadecimal digits: "0000000c".
[[nodiscard]] std::string text_of(Version version);

/// Parses one to eight hexadecimal digits; nothing for any other text.
[[nodiscard]] std::optional<Version> parse_version(std::string_view text);

/// What a route promises about repetition, from its `route_kind`.
enum class Kind {
    Idempotent,     ///< may run more than once: retried and hedged
    NonIdempotent,  ///< runs at most once
    Download,       ///< idempotent, with a long response body
};

/// The kind of the field `route_kind`: "idempotent", "non_idempotent" or "download"; nothing for any other
/// text.
[[nodiscard]] std::optional<Kind> parse_route_kind(std::string_view text);

/// A host name in lower case, as hosts are compared (RFC 9110, section 4.2.3).
[[nodiscard]] std::string normalized_host(std::string_view host);

/// Limits on every request to a listener.
struct Limits {
    std::int64_t max_header_bytes = 16384;           ///< bytes, at least 1
    std::int64_t max_body_bytes = 64 * 1024 * 1024;  ///< bytes
    std::int64_t header_timeout_ms = 3000;           ///< ms, at least 1
    std::int64_t idle_timeout_ms = 15000;            ///< ms, at least 1
};
BOOST_DESCRIBE_STRUCT(Limits, (), (max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms))

/// One entry of a weighted split.
struct Split {
    std::string service;
    std::int64_t weight = 0;  ///< 0 to 1,000,000; relative to the sum of the split
};
BOOST_DESCRIBE_STRUCT(Split, (), (service, weight))

/// Where a route sends its requests: exactly one of `service` and `weighted_split` is there.
struct Action {
    std::optional<std::string> service;
    std::optional<std::vector<Split>> weighted_split;
    std::int64_t timeout_ms = 0;    ///< ms, over 0: the whole request, all attempts included
    std::int64_t max_attempts = 1;  ///< endpoints that one request may be sent to
};
BOOST_DESCRIBE_STRUCT(Action, (), (service, weighted_split, timeout_ms, max_attempts))

struct Matcher {
    std::string path_prefix;  ///< begins and ends with a slash
};
BOOST_DESCRIBE_STRUCT(Matcher, (), (path_prefix))

/// A route.
struct Rule {
    std::string name;                    ///< unique in the document
    std::string route_kind;              ///< see parse_route_kind()
    std::int64_t target_latency_ms = 0;  ///< latency target in ms; 0: the timeout
    std::int64_t priority = 0;           ///< 0 to 999, higher is admitted first; the tenant's goes before it
    bool keyless = false;                ///< served without a tenant's API key
    Matcher matcher;
    Action route_action;
};
BOOST_DESCRIBE_STRUCT(Rule, (),
                      (name, route_kind, target_latency_ms, priority, keyless, matcher, route_action))

/// The routes of one host.
struct Listener {
    std::string host;
    std::vector<Rule> rule_set;
};
BOOST_DESCRIBE_STRUCT(Listener, (), (host, rule_set))

/// A service.
struct Cluster {
    std::string name;
    std::string health_path;           ///< of the health checks of its endpoints; empty: the default path
    std::int64_t max_connections = 0;  ///< validated, not used
};
BOOST_DESCRIBE_STRUCT(Cluster, (), (name, health_path, max_connections))

struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;  ///< each belongs to one tenant only
    std::int64_t priority = 0;          ///< higher is admitted first
    double rate_per_s = 0;              ///< requests a second; 0: no limit
    double burst = 0;                   ///< requests
};
BOOST_DESCRIBE_STRUCT(Tenant, (), (name, api_keys, priority, rate_per_s, burst))

/// One document.
struct Config {
    std::string version;
    std::string base_version;
    Limits limits;
    /// Absent: no request needs a key. Present and empty: nobody has one.
    std::optional<std::vector<Tenant>> tenants;
    std::vector<Listener> listeners;
    std::vector<Cluster> clusters;
};
BOOST_DESCRIBE_STRUCT(Config, (), (version, base_version, limits, tenants, listeners, clusters))

/// The tenants of a configuration; none where it has no such list.
[[nodiscard]] const std::vector<Tenant>& tenants_of(const Config& config);

}  // namespace martenford::mesh_config
