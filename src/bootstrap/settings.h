// The settings file (TOML) of the mesh's programs: typed, checked, and an error that fits one line. The names
// of its fields and of its bounds are the platform's; each member below names the field it is read from. Read
// once, at start.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/address.h"
#include "core/scheduler.h"
#include "raft/voter_selection.h"

namespace martenford::bootstrap {

/// The file that is read unless the environment variable kSettingsPathVariable names another.
constexpr const char* kDefaultSettingsPath = "/etc/martenford/boot.toml";
constexpr const char* kSettingsPathVariable = "MARTENFORD_CONFIG";

/// `bounds`, a list of texts "name=value": the platform's limits that the programs obey. An absent one keeps
/// its default; an unknown one is ignored. Durations are numbers with the unit that the name ends in,
/// fractions allowed. Those marked "not used" are read and checked only.
struct Bounds {
    /// `drain_ms`: from an endpoint's draining heartbeat, the time after which nothing reaches it any more.
    /// Default: 2500 ms.
    Duration drain{2500ms};

    /// `grace_s`: from SIGTERM to SIGKILL; a graceful shutdown ends within it. Default: 6 s.
    Duration grace{6s};

    /// `config_apply_ms`: not used. Default: 2500 ms.
    Duration config_apply{2500ms};

    /// `revoke_ms`: not used. Default: 5 s.
    Duration revoke{5s};

    /// `contact_ms`: not used. Default: 3 s.
    Duration contact{3s};

    /// `ack_ms`: not used. Default: 5 s.
    Duration ack{5s};

    /// `catch_up_s`: the time a returned or replaced machine has to be a full member again. An unresponsive
    /// voter is replaced after 3/8 of it, but between 1 s and 2.5 s. Default: 4 s.
    Duration catch_up{4s};

    /// `revocation_closed`, "true" or "false": not used. Default: false.
    bool revocation_closed = false;

    /// `retry_budget_ratio`: not used. Default: 0.2.
    double retry_budget_ratio = 0.2;

    /// `retry_budget_slack`, in requests: not used. Default: 60.
    double retry_budget_slack = 60;

    /// `budget_window_s`: not used. Default: 10 s.
    Duration budget_window{10s};

    /// `quota_window_s`: the window in which a tenant's rate is counted. Default: 5 s.
    Duration quota_window{5s};

    /// `quota_overshoot`: the part of a tenant's rate that may be admitted beyond it. Default: 0.1.
    double quota_overshoot = 0.1;

    /// `quota_slack`, in requests: what may be admitted in a window beyond rate and overshoot. Default: 20.
    double quota_slack = 20;
};

struct Settings {
    /// `node_name`: this machine's name, the key of its proxy's registration. Required.
    std::string node_name;

    /// `zone`, `region`: the machine's failure domains. Default: empty.
    std::string zone;
    std::string region;

    /// `data_directory`: the controller's durable state. Default: empty.
    std::string data_directory;

    /// `service`: the service of the endpoint beside this proxy. Default: empty.
    std::string service;

    /// `fault_tolerance`, `.machines` (those with `loss_counted`), `.zones`, `.regions`, each 0 to 5: what
    /// may fail at the same time with every guarantee kept. Default: one machine.
    raft::FaultTolerance fault_tolerance;

    /// `loss_counted`: whether the loss of this machine counts for `fault_tolerance.machines`. Default: true.
    bool loss_counted = true;

    /// `serves`: not used. Default: none.
    std::vector<std::string> serves;

    /// `ip_address`: where other processes of the mesh reach this machine. Required.
    std::string ip_address;

    /// `internal_ports`, a list of the first and the last: ports that the mesh's own processes may use among
    /// themselves; the first is the controllers'. Required.
    std::uint16_t first_port = 0;

    /// `seed_nodes`: `control` addresses (ip:port) of the first controllers. Default: none.
    std::vector<Address> seeds;

    /// `first_boot`: true only at the very first start of the mesh as a system; a controller with an empty
    /// data directory is then a voter from the start. Default: false.
    bool first_boot = false;

    /// `beat_interval_ms`, 1 to 3,600,000: the interval of the endpoint's heartbeats. Default: 1500 ms.
    Duration beat_interval{1500ms};

    /// True if `active_contracts` has "tenants": a key that no tenant has is refused on every route that is
    /// not keyless, also where the configuration has no list of tenants. Default: false.
    bool tenants = false;

    Bounds bounds;

    /// `app_address`: the endpoint beside this proxy (ip:port). Default: none.
    std::optional<Address> app;

    /// `listen_addrs.inbound`, `.outbound`, `.readiness`, `.control`: where this process listens (ip:port).
    /// Default: none.
    std::optional<Address> inbound;
    std::optional<Address> outbound;
    std::optional<Address> readiness;
    std::optional<Address> control;

    /// `limits.memory_mb`, MiB, 8 to 1,048,576; a fraction is cut off: memory of this process.
    /// Default: 256.
    std::size_t memory_mb = 256;

    /// What connections may keep of their peers' bytes (EventLoop::received_bytes()): a quarter of it.
    [[nodiscard]] std::size_t max_received_bytes() const { return memory_mb * 1024 * 1024 / 4; }

    /// `limits.file_descriptors`, at least 64: open files and sockets of this process. Default: 4096.
    std::size_t descriptors = 4096;
};

/// What is wrong with the file.
struct SettingsError {
    std::string message;     ///< one line: "file:line: field: what is wrong"
    bool is_absent = false;  ///< there is no such file
};

/// Reads the file that kSettingsPathVariable names, else kDefaultSettingsPath. Unknown fields are ignored.
[[nodiscard]] std::variant<Settings, SettingsError> load();

/// Reads the file at `path`.
[[nodiscard]] std::variant<Settings, SettingsError> load(const std::string& path);

}  // namespace martenford::bootstrap
