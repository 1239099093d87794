// One play: controllers and proxies as processes, endpoints, clients and two operators around them, and the
// faults that a seed draws.
#pragma once

#include <memory>
#include <string>

#include "mesh/rig/faults.h"
#include "mesh/rig/history.h"

namespace martenford::rig {

struct PlayOptions {
    std::uint64_t seed = 1;
    std::size_t controllers = 3;  // 3 to 5; two of five may be lost at once, else one
    Duration span{4s};            // in which faults come
    bool planned = false;         // SIGTERM alone
    Duration patience{20s};       // until all serves again after them
};

struct Outcome {
    History history;
    std::vector<std::string> violations;
    std::string kinds;   // of the faults, in their order
    std::string course;  // faults and the logs of all processes by time, then the orders
    std::size_t served = 0, acknowledged = 0;
    Duration longest_order{};  // from the first sending to the acknowledgement
    Duration settled{};        // from the last mend until all served again
};
Outcome play(const PlayOptions& options);

}  // namespace martenford::rig
