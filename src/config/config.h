// The platform's configuration of a sidecar: the file named by PROXY_CONFIG and environment variables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "config/targets.h"

namespace martenford {

/// The message names the field or variable.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> console;  ///< address of the operators' console
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    Names names;
    std::optional<TargetList> known;
    decision::Settings settings;
};

/// Reads the environment and the configuration file. Throws ConfigError.
Config read_config();
/// Reads the file again and returns its `discovery` address, ignoring the environment variable. Throws
/// ConfigError, also if another field of the new file is invalid.
Address reload_discovery_address();

}  // namespace martenford
