// Arithmetic, random numbers and counters for the decision module.
#pragma once

#include <algorithm>
#include <deque>

#include "martenford/decision/balancer.h"

namespace martenford::decision {

/// splitmix64: small, fast, and portable, so that a seed gives the same numbers on every machine.
class Random {
  public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
        return z ^ (z >> 31);
    }
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

  private:
    std::uint64_t state_;
};

inline Duration scaled(Duration d, double by) {
    return Duration{static_cast<Duration::rep>(static_cast<double>(d.count()) * by)};
}

inline double ratio(Duration a, Duration b) {
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

/// Counts timestamps within a sliding window. Times passed to add() and count() must not decrease.
class SlidingWindow {
  public:
    explicit SlidingWindow(Duration length) : length_(length) {}
    void add(Time at) {
        times_.push_back(at);
        drop_before(at - length_);
    }
    void remove(Time at) {
        const auto it = std::find(times_.begin(), times_.end(), at);
        if (it != times_.end()) times_.erase(it);
    }
    /// Number of timestamps in the window that ends now. `include_start`: also those at its very start.
    double count(Time now, bool include_start) {
        drop_before(now - length_);
        const auto at_start = include_start ? 0 : std::count(times_.begin(), times_.end(), now - length_);
        return static_cast<double>(static_cast<std::ptrdiff_t>(times_.size()) - at_start);
    }

  private:
    void drop_before(Time start) {
        while (!times_.empty() && times_.front() < start) times_.pop_front();
    }
    Duration length_;
    std::deque<Time> times_;
};

}  // namespace martenford::decision
