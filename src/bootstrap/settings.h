// The settings file of a process of the mesh: typed, checked, and what is wrong with it in one line.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/address.h"
#include "core/scheduler.h"

namespace martenford::bootstrap {

/// The rules' figures that this program goes by. Absent ones keep the defaults that stand here.
struct Bounds {
    Duration drain{2500ms}, grace{6s}, config_apply{2500ms}, revoke{5s}, contact{3s}, ack{5s}, catch_up{4s};
    bool revocation_closed = false;
    double retry_budget_ratio = 0.2, retry_budget_slack = 60;
    Duration budget_window{10s};
    Duration quota_window{5s};
    double quota_overshoot = 0.1, quota_slack = 20;
};

/// What may be lost at once with all rules kept: machines whose loss is counted, or zones, or regions.
struct FaultTolerance {
    std::size_t machines = 1, zones = 0, regions = 0;
};

struct Settings {
    std::string node_name, zone, region, data_directory, service;
    FaultTolerance fault_tolerance;
    bool loss_counted = true;  ///< this machine's
    std::vector<std::string> serves;
    std::string ip_address;
    std::uint16_t first_port = 0;  ///< of those kept free for the mesh's own talk
    std::vector<Address> seeds;    ///< `control` addresses
    bool first_boot = false;
    Duration beat_interval{1500ms};
    bool tenants = false;  ///< the contract is in force
    Bounds bounds;
    std::optional<Address> app, inbound, outbound, readiness, control;
    std::size_t memory_mb = 256, descriptors = 4096;
};

/// One line: file, line and field.
struct SettingsError {
    std::string message;
};

/// Reads the file that MARTENFORD_CONFIG names, else /etc/martenford/boot.toml. Unknown fields are passed
/// over.
std::variant<Settings, SettingsError> load();
std::variant<Settings, SettingsError> load(const std::string& path);

}  // namespace martenford::bootstrap
