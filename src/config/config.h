// What the platform tells a sidecar: the file at PROXY_CONFIG and the variables beside it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "config/targets.h"

namespace martenford {

/// The text names the field or variable.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> console;  ///< where operators call
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    Names names;
    std::optional<TargetList> known;
    decision::Settings settings;
};

/// Reads the environment and the file that it names. Throws ConfigError.
Config read_config();
/// Reads the file again and gives its `discovery`, whatever the variable beside it said at the start. Throws
/// ConfigError, also where another field of the new file is wrong.
Address reload_discovery_address();

}  // namespace martenford
