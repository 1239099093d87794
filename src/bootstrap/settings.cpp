#include "bootstrap/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <system_error>

#include "mesh_config/json_reader.h"

namespace martenford::bootstrap {

namespace {

using mesh_config::ConfigError;
using mesh_config::Json;
using raft::FaultTolerance;

// The file as it is: members have the names of its fields and their defaults.

struct ListenAddrs {
    std::optional<std::string> inbound, outbound, readiness, control;
};
BOOST_DESCRIBE_STRUCT(ListenAddrs, (), (inbound, outbound, readiness, control))

struct FileLimits {
    double memory_mb = 256;
    std::int64_t file_descriptors = 4096;
};
BOOST_DESCRIBE_STRUCT(FileLimits, (), (memory_mb, file_descriptors))

struct FileTolerance {
    std::int64_t machines = 1, zones = 0, regions = 0;
};
BOOST_DESCRIBE_STRUCT(FileTolerance, (), (machines, zones, regions))

struct File {
    std::string node_name, ip_address, zone, region, data_directory, service;
    std::vector<std::string> serves, seed_nodes, active_contracts, bounds;
    std::vector<std::int64_t> internal_ports;
    bool first_boot = false, loss_counted = true;
    FileTolerance fault_tolerance;
    std::int64_t beat_interval_ms = 1500;
    std::optional<std::string> app_address;
    ListenAddrs listen_addrs;
    FileLimits limits;
};
BOOST_DESCRIBE_STRUCT(File, (),
                      (node_name, ip_address, zone, region, data_directory, service, loss_counted,
                       fault_tolerance, serves, seed_nodes, active_contracts, bounds, internal_ports,
                       first_boot, beat_interval_ms, app_address, listen_addrs, limits))

/// Failures that may be asked to be tolerated at the same time: 5 machines already need 11 voters.
constexpr std::int64_t kMaxTolerated = 5;

/// Smallest limits of a process to run in.
constexpr std::int64_t kMinFileDescriptors = 64;
constexpr double kMinMemoryMb = 8;
/// A terabyte.
constexpr double kMaxMemoryMb = 1 << 20;

/// Milliseconds: an hour.
constexpr std::int64_t kMaxBeatIntervalMs = 3'600'000;

/// Largest number of a bound that is a time, in the bound's unit; keeps the conversion to Duration in range.
constexpr double kMaxBoundTime = 1e9;

Json json_of(const toml::node& node) {
    if (const auto* table = node.as_table()) {
        Json out = Json::object();
        for (const auto& [key, value] : *table) out[std::string(key.str())] = json_of(value);
        return out;
    }
    if (const auto* list = node.as_array()) {
        Json out = Json::array();
        for (const auto& value : *list) out.push_back(json_of(value));
        return out;
    }
    if (const auto* value = node.as_string()) return value->get();
    if (const auto* value = node.as_integer()) return value->get();
    if (const auto* value = node.as_floating_point()) return value->get();
    if (const auto* value = node.as_boolean()) return value->get();
    return nullptr;
}

/// A number of 0 or more; nothing for any other text.
std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0) return std::nullopt;
    return value;
}

struct TimeBound {
    const char* name;
    Duration Bounds::*member;
    double ms_per_unit;
};
constexpr TimeBound kTimeBounds[] = {{"drain_ms", &Bounds::drain, 1},
                                     {"grace_s", &Bounds::grace, 1000},
                                     {"config_apply_ms", &Bounds::config_apply, 1},
                                     {"revoke_ms", &Bounds::revoke, 1},
                                     {"contact_ms", &Bounds::contact, 1},
                                     {"ack_ms", &Bounds::ack, 1},
                                     {"catch_up_s", &Bounds::catch_up, 1000},
                                     {"budget_window_s", &Bounds::budget_window, 1000},
                                     {"quota_window_s", &Bounds::quota_window, 1000}};

struct NumberBound {
    const char* name;
    double Bounds::*member;
};
constexpr NumberBound kNumberBounds[] = {{"retry_budget_ratio", &Bounds::retry_budget_ratio},
                                         {"retry_budget_slack", &Bounds::retry_budget_slack},
                                         {"quota_overshoot", &Bounds::quota_overshoot},
                                         {"quota_slack", &Bounds::quota_slack}};

/// Reads one text "name=value" of `bounds`.
std::optional<ConfigError> read_bound(const std::string& text, Bounds& to, const std::string& path) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) return ConfigError{path, "name=value is wanted, not '" + text + "'"};
    const std::string name = text.substr(0, equals);
    const std::string value = text.substr(equals + 1);
    if (name == "revocation_closed") {
        if (value != "true" && value != "false")
            return ConfigError{path, "true or false is wanted for " + name};
        to.revocation_closed = value == "true";
        return std::nullopt;
    }
    for (const TimeBound& bound : kTimeBounds) {
        if (name != bound.name) continue;
        const auto time = number(value);
        if (!time || *time > kMaxBoundTime) return ConfigError{path, "a number is wanted for " + name};
        to.*bound.member = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(*time * bound.ms_per_unit));
    }
    for (const NumberBound& bound : kNumberBounds) {
        if (name != bound.name) continue;
        const auto figure = number(value);
        if (!figure) return ConfigError{path, "a number is wanted for " + name};
        to.*bound.member = *figure;
    }
    return std::nullopt;
}

std::optional<ConfigError> read_address(const std::string& text, std::optional<Address>& to,
                                        const std::string& path) {
    to = parse_address(text);
    if (!to) return ConfigError{path, "ip:port is wanted, not '" + text + "'"};
    return std::nullopt;
}

std::optional<ConfigError> check_fields(const File& file) {
    if (file.node_name.empty()) return ConfigError{"node_name", "it is missing"};
    if (file.ip_address.empty()) return ConfigError{"ip_address", "it is missing"};
    const auto& ports = file.internal_ports;
    if (ports.size() != 2 || ports[0] < 1 || ports[1] > 65535 || ports[0] > ports[1])
        return ConfigError{"internal_ports", "a first and a last port are wanted"};
    if (!parse_address(file.ip_address + ":" + std::to_string(ports[0])))
        return ConfigError{"ip_address", "an IP address is wanted, not '" + file.ip_address + "'"};
    if (file.limits.file_descriptors < kMinFileDescriptors)
        return ConfigError{"limits.file_descriptors", "too few to run with"};
    if (!(file.limits.memory_mb >= kMinMemoryMb && file.limits.memory_mb <= kMaxMemoryMb))
        return ConfigError{"limits.memory_mb", "it must be from 8 to 1048576"};
    if (file.beat_interval_ms < 1 || file.beat_interval_ms > kMaxBeatIntervalMs)
        return ConfigError{"beat_interval_ms", "it must be from 1 to 3600000"};
    return std::nullopt;
}

std::optional<ConfigError> read_fault_tolerance(const FileTolerance& file, FaultTolerance& to) {
    const struct {
        const char* name;
        std::int64_t value;
        std::size_t FaultTolerance::*member;
    } domains[] = {{"machines", file.machines, &FaultTolerance::machines},
                   {"zones", file.zones, &FaultTolerance::zones},
                   {"regions", file.regions, &FaultTolerance::regions}};
    for (const auto& domain : domains) {
        if (domain.value < 0 || domain.value > kMaxTolerated)
            return ConfigError{std::string("fault_tolerance.") + domain.name,
                               "it must be from 0 to " + std::to_string(kMaxTolerated)};
        to.*domain.member = static_cast<std::size_t>(domain.value);
    }
    return std::nullopt;
}

std::optional<ConfigError> read_seeds(const std::vector<std::string>& texts, std::vector<Address>& to) {
    for (std::size_t i = 0; i < texts.size(); ++i) {
        std::optional<Address> seed;
        if (auto error = read_address(texts[i], seed, "seed_nodes[" + std::to_string(i) + "]")) return error;
        to.push_back(*seed);
    }
    return std::nullopt;
}

/// A text may hold several bounds, with commas between them.
std::optional<ConfigError> read_bounds(const std::vector<std::string>& texts, Bounds& to) {
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const std::string path = "bounds[" + std::to_string(i) + "]";
        std::istringstream parts(texts[i]);
        for (std::string part; std::getline(parts, part, ',');) {
            if (auto error = read_bound(part, to, path)) return error;
        }
    }
    return std::nullopt;
}

/// `bounds` as one text is a list of one.
Json with_bounds_as_list(Json file) {
    const auto bounds = file.find("bounds");
    if (bounds != file.end() && bounds->is_string()) *bounds = Json::array({*bounds});
    return file;
}

std::optional<ConfigError> read_addresses(const File& file, Settings& to) {
    const struct {
        const char* name;
        const std::optional<std::string>& text;
        std::optional<Address>& to;
    } addresses[] = {{"app_address", file.app_address, to.app},
                     {"listen_addrs.inbound", file.listen_addrs.inbound, to.inbound},
                     {"listen_addrs.outbound", file.listen_addrs.outbound, to.outbound},
                     {"listen_addrs.readiness", file.listen_addrs.readiness, to.readiness},
                     {"listen_addrs.control", file.listen_addrs.control, to.control}};
    for (const auto& address : addresses) {
        if (!address.text) continue;
        if (auto error = read_address(*address.text, address.to, address.name)) return error;
    }
    return std::nullopt;
}

/// Checks the file and turns it into settings; returns the first error.
std::optional<ConfigError> convert(const File& file, Settings& to) {
    if (auto error = check_fields(file)) return error;
    if (auto error = read_fault_tolerance(file.fault_tolerance, to.fault_tolerance)) return error;
    if (auto error = read_seeds(file.seed_nodes, to.seeds)) return error;
    if (auto error = read_bounds(file.bounds, to.bounds)) return error;
    if (auto error = read_addresses(file, to)) return error;
    to.node_name = file.node_name;
    to.ip_address = file.ip_address;
    to.zone = file.zone;
    to.region = file.region;
    to.loss_counted = file.loss_counted;
    to.data_directory = file.data_directory;
    to.service = file.service;
    to.serves = file.serves;
    to.first_port = static_cast<std::uint16_t>(file.internal_ports[0]);
    to.first_boot = file.first_boot;
    to.beat_interval = std::chrono::milliseconds(file.beat_interval_ms);
    to.memory_mb = static_cast<std::size_t>(file.limits.memory_mb);
    to.descriptors = static_cast<std::size_t>(file.limits.file_descriptors);
    to.tenants = std::find(file.active_contracts.begin(), file.active_contracts.end(), "tenants") !=
                 file.active_contracts.end();
    return std::nullopt;
}

std::variant<Settings, SettingsError> load_file(const std::string& path) {
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        return SettingsError{path + ":" + std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description())};
    }
    File file;
    auto error = mesh_config::read(with_bounds_as_list(json_of(table)), file, "");
    Settings settings;
    if (!error) error = convert(file, settings);
    if (!error) return settings;
    // A missing field has no line of its own: 0.
    auto node = table.at_path(error->path);
    if (!node && error->path.starts_with("bounds")) node = table.at_path("bounds");
    const auto line = node ? node.node()->source().begin.line : 0;
    return SettingsError{path + ":" + std::to_string(line) + ": " + error->text()};
}

}  // namespace

std::variant<Settings, SettingsError> load(const std::string& path) {
    auto loaded = load_file(path);
    std::error_code ignored;
    // Only then: the file's kind does not matter as long as it can be read.
    if (std::holds_alternative<SettingsError>(loaded) && !std::filesystem::is_regular_file(path, ignored))
        return SettingsError{path + ":0: it is not there, or not a file", true};
    return loaded;
}

std::variant<Settings, SettingsError> load() {
    const char* path = std::getenv(kSettingsPathVariable);
    return load(path ? path : kDefaultSettingsPath);
}

}  // namespace martenford::bootstrap
