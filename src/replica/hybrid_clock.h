// Hybrid logical clock: timestamps that order writes of different machines. After Kulkarni, Demirbas,
// Madappa, Avva, Leone, "Logical Physical Clocks" (2014). The physical part follows the wall clock, and a
// counter orders events while the wall clock stands still or is behind. Does no I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace martenford::replica {

/// Milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
using Timestamp = std::uint64_t;
/// Wall clock, in milliseconds since 1970.
using WallTime = std::uint64_t;
constexpr int kCounterBits = 16;

constexpr Timestamp timestamp_of(WallTime wall_time) {
    return wall_time << kCounterBits;
}
constexpr WallTime wall_time_of(Timestamp timestamp) {
    return timestamp >> kCounterBits;
}

class HybridClock {
  public:
    /// Timestamps further ahead of the local wall clock are rejected. Otherwise one clock that is an hour
    /// ahead would win every conflict that the later write decides, and would pull all other clocks along.
    static constexpr std::chrono::milliseconds kMaxAhead{10'000};

    /// Returns a timestamp greater than all that this clock issued or observed. Returns 0 when the local wall
    /// clock went back by more than kMaxAhead: other members would reject what is written now.
    Timestamp next(WallTime wall_time) {
        if (!is_acceptable(last_, wall_time)) return 0;
        return last_ = std::max(last_ + 1, timestamp_of(wall_time));
    }
    static bool is_acceptable(Timestamp timestamp, WallTime wall_time) {
        return wall_time_of(timestamp) <= wall_time + static_cast<WallTime>(kMaxAhead.count());
    }
    /// Advances the clock to a received timestamp. Returns false, and changes nothing, if it is rejected.
    bool observe(Timestamp timestamp, WallTime wall_time) {
        if (!is_acceptable(timestamp, wall_time)) return false;
        last_ = std::max(last_, timestamp);
        return true;
    }
    Timestamp last() const { return last_; }

  private:
    Timestamp last_ = 0;
};

}  // namespace martenford::replica
