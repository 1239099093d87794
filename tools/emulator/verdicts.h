// martenford-emulator verdicts: an endpoint that fails some of its calls, asked by many sidecars that each
// see little of it: bad calls with verdicts shared and alone.
#pragma once

#include <cstddef>
#include <cstdint>

namespace martenford::emulator {

struct VerdictWords {
    std::size_t sidecars = 100, endpoints = 20, seeds = 10;
    double rate = 3.0;         ///< calls a second of each sidecar
    double fails = 1.0 / 3.0;  ///< of the bad endpoint's
    std::size_t liars = 0;     ///< sidecars that call a sound endpoint failing from the start
    std::size_t seconds = 180;
};

/// Prints a table, tab-separated. Gives the exit code.
int measure_verdicts(const VerdictWords& words);

}  // namespace martenford::emulator
