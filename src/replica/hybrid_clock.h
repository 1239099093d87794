// Stamps that order what different machines write. After Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical
// Physical Clocks" (2014): the wall clock where it runs ahead, a count where it does not. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace martenford::replica {

/// Milliseconds since 1970 in the upper 48 bits, a count in the lower 16.
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
    /// Ahead of the own wall clock by more, a stamp is refused: one clock that is an hour ahead would win
    /// each question of which copy is the later, and pull all other clocks along.
    static constexpr std::chrono::milliseconds kMaxAhead{10'000};

    /// A stamp greater than all that it gave or saw. 0: the own wall clock went back by more than
    /// kMostAhead, and what is stamped now would be refused by others.
    Timestamp next(WallTime wall_time) {
        if (!is_acceptable(last_, wall_time)) return 0;
        return last_ = std::max(last_ + 1, timestamp_of(wall_time));
    }
    static bool is_acceptable(Timestamp timestamp, WallTime wall_time) {
        return wall_time_of(timestamp) <= wall_time + static_cast<WallTime>(kMaxAhead.count());
    }
    /// False: it is refused, and nothing has changed.
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
