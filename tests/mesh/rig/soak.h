// What the soaks and plays on real processes share: options from the environment, and the report of a seed.
#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace martenford::rig {

/// Returns a number from the environment.
inline std::uint64_t from_environment(const char* name, std::uint64_t default_value) {
    const char* value = std::getenv(name);
    return value ? std::strtoull(value, nullptr, 10) : default_value;
}

/// Prints what a world saw; every violation of a rule fails the test, with the logs of all processes.
template <class World>
void check_soak(std::uint64_t seed, World& world) {
    const auto violations = world.violations();
    std::cout << "seed " << seed << ": " << world.summary() << "\n";
    std::string text;
    for (const std::string& violation : violations) text += violation + "\n";
    CHECK_MESSAGE(violations.empty(), "seed " << seed << "\n" << text << world.fleet().logs());
}

}  // namespace martenford::rig
