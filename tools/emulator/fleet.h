// martenford-emulator fleet: members in virtual time under stalls and crashes, and what that costs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace martenford::emulator {

struct FleetWords {
    std::size_t members = 300;
    std::uint64_t seed = 1;
    std::string length = "10m", stall = "2s", bound = "2s", drop = "0%", stalled = "5%";
    std::size_t crashes = 10;
    bool own_health = true, bytes = false, head = true;
};

/// Prints one line of figures under a head. Gives the exit code: 0, or 2 where a word is off.
int measure_fleet(const FleetWords& words);

}  // namespace martenford::emulator
