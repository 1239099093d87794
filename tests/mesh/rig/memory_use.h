// What a real process takes of its machine, as a platform counts it: its own memory, what has arrived on its
// connections and is not read, and processor time.
#pragma once

#include <sys/types.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>

namespace martenford::rig {

/// Programs that are started from now on give freed memory back under the address sanitizer too, which would
/// keep up to 256 MB of it.
void limit_sanitizer_memory();

/// Its resident memory, in bytes; 0 if there is no such process.
[[nodiscard]] std::size_t resident_bytes(pid_t process);
/// Bytes in the kernel's receive queues of its TCP connections.
[[nodiscard]] std::size_t unread_bytes(pid_t process);
/// Processor time since its start.
[[nodiscard]] std::chrono::milliseconds processor_time(pid_t process);

/// Peaks over the samples that were taken, in bytes.
class MemoryPeaks {
  public:
    void sample(pid_t process) {
        std::size_t& peak = peaks_[process];
        peak = std::max(peak, resident_bytes(process) + unread_bytes(process));
    }
    [[nodiscard]] std::size_t highest() const {
        std::size_t highest = 0;
        for (const auto& [process, peak] : peaks_) highest = std::max(highest, peak);
        return highest;
    }

  private:
    std::map<pid_t, std::size_t> peaks_;
};

}  // namespace martenford::rig
