// Retry backoff, and the latest time at which a retry is still useful.
#pragma once

#include <algorithm>

#include "martenford/decision/balancer.h"
#include "policy/mechanics.h"

namespace martenford::decision {

using namespace std::chrono_literals;

constexpr Duration kBackoffBase = 100ms;  // from "Retries Done Right"
constexpr Duration kBackoffCap = 30s;     // from the same source
constexpr Duration kDeadlineBuffer =
    50ms;  // an attempt that starts later than this before the deadline is lost

/// Decorrelated jitter: min(cap, base + random x (prev x 3 - base)).
class Backoff {
  public:
    explicit Backoff(Duration base = kBackoffBase, Duration cap = kBackoffCap)
        : base_(base), cap_(cap), prev_(base) {}
    Duration next(Random& random) {
        prev_ = std::min(cap_, base_ + scaled(prev_ * 3 - base_, random.unit()));
        return prev_;
    }

  private:
    Duration base_, cap_, prev_;
};

/// Time left in which a retry may start; 0 or less: too late for one.
inline Duration retry_time_left(Time deadline, Time now) {
    return deadline - now - kDeadlineBuffer;
}

}  // namespace martenford::decision
