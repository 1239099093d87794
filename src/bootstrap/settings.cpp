#include "bootstrap/settings.h"

#include <toml++/toml.h>

#include <charconv>
#include <cstdlib>
#include <limits>

#include "mesh_config/json_reader.h"

namespace martenford::bootstrap {

namespace {

using mesh_config::ConfigError;
using mesh_config::Json;

// ---- the file, field by field

struct ListenAddrs {
    std::optional<std::string> inbound, outbound, readiness, control;
};
BOOST_DESCRIBE_STRUCT(ListenAddrs, (), (inbound, outbound, readiness, control))
struct FileLimits {
    std::int64_t memory_mb = 256, file_descriptors = 4096;
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

constexpr std::int64_t kMostLost = 5;  // at once: 11 machines would have to agree

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

std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc{} || end != text.data() + text.size() || value < 0) return std::nullopt;
    return value;
}

/// One text "name=value" of `bounds`.
std::optional<ConfigError> read_bound(const std::string& text, Bounds& to, const std::string& path) {
    const auto equals = text.find('=');
    if (equals == text.npos) return ConfigError{path, "name=value is wanted, not '" + text + "'"};
    const std::string name = text.substr(0, equals), value = text.substr(equals + 1);
    if (name == "revocation_closed") {
        if (value != "true" && value != "false")
            return ConfigError{path, "true or false is wanted for " + name};
        to.revocation_closed = value == "true";
        return std::nullopt;
    }
    struct Time {
        const char* name;
        Duration Bounds::*to;
        double unit;  // in ms
    };
    struct Figure {
        const char* name;
        double Bounds::*to;
    };
    static constexpr Time kTimes[] = {{"drain_ms", &Bounds::drain, 1},
                                      {"grace_s", &Bounds::grace, 1000},
                                      {"config_apply_ms", &Bounds::config_apply, 1},
                                      {"revoke_ms", &Bounds::revoke, 1},
                                      {"contact_ms", &Bounds::contact, 1},
                                      {"ack_ms", &Bounds::ack, 1},
                                      {"catch_up_s", &Bounds::catch_up, 1000},
                                      {"budget_window_s", &Bounds::budget_window, 1000},
                                      {"quota_window_s", &Bounds::quota_window, 1000}};
    static constexpr Figure kFigures[] = {{"retry_budget_ratio", &Bounds::retry_budget_ratio},
                                          {"retry_budget_slack", &Bounds::retry_budget_slack},
                                          {"quota_overshoot", &Bounds::quota_overshoot},
                                          {"quota_slack", &Bounds::quota_slack}};
    for (const Time& time : kTimes) {
        if (name != time.name) continue;
        const auto read = number(value);
        if (!read || *read > 1e9) return ConfigError{path, "a number is wanted for " + name};
        to.*time.to = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(*read * time.unit));
    }
    for (const Figure& figure : kFigures) {
        if (name != figure.name) continue;
        const auto read = number(value);
        if (!read) return ConfigError{path, "a number is wanted for " + name};
        to.*figure.to = *read;
    }
    return std::nullopt;
}

std::optional<ConfigError> read_address(const std::string& text, std::optional<Address>& to,
                                        const std::string& path) {
    to = parse_address(text);
    if (!to) return ConfigError{path, "ip:port is wanted, not '" + text + "'"};
    return std::nullopt;
}

std::optional<ConfigError> settle(const File& file, Settings& to) {
    if (file.node_name.empty()) return ConfigError{"node_name", "it is missing"};
    if (file.ip_address.empty()) return ConfigError{"ip_address", "it is missing"};
    if (file.internal_ports.size() != 2 || file.internal_ports[0] < 1 || file.internal_ports[1] > 65535 ||
        file.internal_ports[0] > file.internal_ports[1])
        return ConfigError{"internal_ports", "a first and a last port are wanted"};
    if (file.limits.file_descriptors < 256 || file.limits.memory_mb < 8)
        return ConfigError{"limits", "too small to run in"};
    if (file.beat_interval_ms < 1 || file.beat_interval_ms > 3'600'000)
        return ConfigError{"beat_interval_ms", "it must be from 1 to 3600000"};
    to.node_name = file.node_name;
    to.ip_address = file.ip_address;
    to.zone = file.zone;
    to.region = file.region;
    to.loss_counted = file.loss_counted;
    const struct {
        const char* name;
        std::int64_t from;
        std::size_t FaultTolerance::*to;
    } losses[] = {{"machines", file.fault_tolerance.machines, &FaultTolerance::machines},
                  {"zones", file.fault_tolerance.zones, &FaultTolerance::zones},
                  {"regions", file.fault_tolerance.regions, &FaultTolerance::regions}};
    for (const auto& loss : losses) {
        if (loss.from < 0 || loss.from > kMostLost)
            return ConfigError{std::string("fault_tolerance.") + loss.name,
                               "it must be from 0 to " + std::to_string(kMostLost)};
        to.fault_tolerance.*loss.to = static_cast<std::size_t>(loss.from);
    }
    to.data_directory = file.data_directory;
    to.service = file.service;
    to.serves = file.serves;
    to.first_port = static_cast<std::uint16_t>(file.internal_ports[0]);
    to.first_boot = file.first_boot;
    to.beat_interval = std::chrono::milliseconds(file.beat_interval_ms);
    to.memory_mb = static_cast<std::size_t>(file.limits.memory_mb);
    to.descriptors = static_cast<std::size_t>(file.limits.file_descriptors);
    for (const std::string& contract : file.active_contracts) to.tenants |= contract == "tenants";
    for (std::size_t i = 0; i < file.seed_nodes.size(); ++i) {
        std::optional<Address> seed;
        if (auto problem = read_address(file.seed_nodes[i], seed, "seed_nodes[" + std::to_string(i) + "]"))
            return problem;
        to.seeds.push_back(*seed);
    }
    for (std::size_t i = 0; i < file.bounds.size(); ++i) {
        if (auto problem = read_bound(file.bounds[i], to.bounds, "bounds[" + std::to_string(i) + "]"))
            return problem;
    }
    const std::pair<const std::optional<std::string>*, std::optional<Address>*> all[] = {
        {&file.app_address, &to.app},
        {&file.listen_addrs.inbound, &to.inbound},
        {&file.listen_addrs.outbound, &to.outbound},
        {&file.listen_addrs.readiness, &to.readiness},
        {&file.listen_addrs.control, &to.control}};
    const char* names[] = {"app_address", "listen_addrs.inbound", "listen_addrs.outbound",
                           "listen_addrs.readiness", "listen_addrs.control"};
    for (std::size_t i = 0; i < std::size(all); ++i) {
        if (!*all[i].first) continue;
        if (auto problem = read_address(**all[i].first, *all[i].second, names[i])) return problem;
    }
    return std::nullopt;
}

}  // namespace

std::variant<Settings, SettingsError> load(const std::string& path) {
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        return SettingsError{path + ":" + std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description())};
    }
    File file;
    auto problem = mesh_config::read(json_of(table), file, "");
    Settings settings;
    if (!problem) problem = settle(file, settings);
    if (!problem) return settings;
    const auto node = table.at_path(problem->path);
    const auto line = node ? node.node()->source().begin.line : 0;
    return SettingsError{path + ":" + std::to_string(line) + ": " + problem->text()};
}

std::variant<Settings, SettingsError> load() {
    const char* named = std::getenv("MARTENFORD_CONFIG");
    return load(named ? named : "/etc/martenford/boot.toml");
}

}  // namespace martenford::bootstrap
