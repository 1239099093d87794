// Random numbers that depend on what they are for and not on the order in which they are asked: two ways to
// play one script then draw alike.
#pragma once

#include <cmath>
#include <cstdint>
#include <numbers>
#include <string_view>

#include "policy/mechanics.h"

namespace martenford::emulator {

/// FNV-1a over a text, mixed with a seed.
inline std::uint64_t mix(std::uint64_t seed, std::string_view text) {
    std::uint64_t value = 14695981039346656037u ^ seed;
    for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211u;
    return value;
}

/// A stream of numbers for one purpose.
class Draws {
  public:
    Draws(std::uint64_t seed, std::string_view purpose) : random_(mix(seed, purpose)) { random_.next(); }
    double unit() { return random_.unit(); }
    std::size_t below(std::size_t n) { return random_.below(n); }
    bool chance(double share) { return share > 0.0 && unit() < share; }
    double between(double least, double most) { return least + (most - least) * unit(); }
    double exponential(double mean) { return -mean * std::log(1.0 - unit()); }
    /// Of this mean, with a standard deviation of mean x spread.
    double lognormal(double mean, double spread) {
        if (spread <= 0.0) return mean;
        const double variance = std::log(1.0 + spread * spread);
        const double normal =
            std::sqrt(-2.0 * std::log(1.0 - unit())) * std::cos(2.0 * std::numbers::pi * unit());
        return mean * std::exp(std::sqrt(variance) * normal - variance / 2.0);
    }

  private:
    decision::Random random_;
};

}  // namespace martenford::emulator
