// Blocking calls at the control ports of single programs, and the controllers of a first start.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "mesh/rig/processes.h"

namespace martenford::rig {

/// Sends a request on a connection of its own; returns the status of its answer, or 0 after 1 s.
[[nodiscard]] int status_of(const std::string& address, const std::string& request);

/// Whether an HTTP request is answered within 1 s, whatever the answer is.
[[nodiscard]] bool answers(const std::string& address);

/// Sends a first configuration to one controller after the other until it is acknowledged.
[[nodiscard]] bool accepts_first_configuration(const std::vector<Machine>& controllers,
                                               std::chrono::milliseconds limit);

/// Three controllers that are each other's seeds, at their first boot.
/// @param top further lines of their settings
[[nodiscard]] std::vector<Machine> three_controllers(const std::string& top);

}  // namespace martenford::rig
