// How long a retry waits, and until when it is worth beginning.
#pragma once

#include <algorithm>

#include "martenford/decision/balancer.h"
#include "policy/mechanics.h"

namespace martenford::decision {

using namespace std::chrono_literals;

constexpr Duration kBackoffBase = 100ms;    // the source's base wait
constexpr Duration kBackoffCap = 30s;       // the source's longest wait
constexpr Duration kDeadlineBuffer = 50ms;  // an attempt started later than this before the end is lost

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

/// What is left of a request's time for a retry: none where it is 0 or less.
inline Duration retry_time_left(Time deadline, Time now) {
    return deadline - now - kDeadlineBuffer;
}

}  // namespace martenford::decision
