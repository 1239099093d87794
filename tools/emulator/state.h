// martenford-emulator state: what the shared state costs and how soon all have it, in virtual time.
#pragma once

#include <cstddef>
#include <cstdint>

namespace martenford::emulator {

struct StateWords {
    std::size_t members = 30;
    std::size_t entries = 0;  ///< that all have from the start
    double behind = 0.0;      ///< share of them that one member lacks; 0: a write is followed instead
    std::uint64_t seed = 1;
    bool head = true;
};

/// Prints one line, tab-separated, below its head. Gives the exit code.
int measure_state(const StateWords& words);

}  // namespace martenford::emulator
