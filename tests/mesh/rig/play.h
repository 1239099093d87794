// A play: one randomized run of real controllers and proxies, with endpoints, clients and two operators
// around them, under the faults that a seed gives.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mesh/rig/history.h"

namespace martenford::rig {

struct PlayOptions {
    std::uint64_t seed = 1;
    std::size_t controllers = 3;  // 3 to 5; of five, two failures at once are tolerated, else one
    Duration fault_window{4s};    // in which faults start
    bool planned_only = false;    // SIGTERM only
    /// Of the first three controllers all but one are killed in their first milliseconds, and return as after
    /// the first boot.
    bool disturb_first_start = false;
    Duration recovery_timeout{20s};  // until everything is served again after the last repair
};

struct PlayResult {
    History history;
    std::vector<std::string> violations;  // of the rules, and waits that timed out
    std::string fault_names;              // by start time
    std::string transcript;  // faults and the logs of all processes by time, then the configuration changes
    std::size_t served = 0;  // requests with status 200
    std::size_t acknowledged = 0;  // configuration changes
    Duration slowest_change{};     // from its first attempt to its acknowledgement
    Duration recovery_time{};      // from the last repair until everything was served again
};
/// Runs a play to its end, on the calling thread.
PlayResult play(const PlayOptions& options);

}  // namespace martenford::rig
