// martenford fleet: asks the console of a running sidecar about the other members of its fleet.
#pragma once

#include <string>

namespace martenford {

struct FleetOptions {
    std::string what;     ///< members, links or watch
    std::string console;  ///< console address; default: PROXY_CONSOLE
    bool json = false;
};

/// Prints the reply. Returns the exit code: 0; 1 if the sidecar refused or did not reply; 2 for invalid
/// arguments.
int run_fleet(const FleetOptions& options);

}  // namespace martenford
