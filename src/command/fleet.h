// martenford fleet: asks a running sidecar, where operators call, about the others.
#pragma once

#include <string>

namespace martenford {

struct FleetOptions {
    std::string what;     ///< members, links or watch
    std::string console;  ///< its address; otherwise PROXY_CONSOLE
    bool json = false;
};

/// Prints what the sidecar says. Gives the exit code: 0, 1 where it said no or nothing, 2 where the words are
/// off.
int run_fleet(const FleetOptions& options);

}  // namespace martenford
