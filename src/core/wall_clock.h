// Wall-clock time, for output to people and for data that outlives the process. It may jump, so that it is
// never used for timeouts.
#pragma once

#include <chrono>
#include <cstdint>

namespace martenford {

/// Unix time in milliseconds.
inline std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace martenford
