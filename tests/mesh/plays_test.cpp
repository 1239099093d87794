// Real controllers and proxies under random faults, with two operators and a checker of what these, the
// clients and the endpoints observed. A disk that is lost comes back empty or damaged, and some first starts
// are disturbed. Three short plays; tests/long/mesh_schedules.sh runs more and longer
// ones. MARTENFORD_SEED selects a single play, MARTENFORD_COURSE=1 prints its transcript.
#include <doctest/doctest.h>

#include <iostream>

#include "mesh/rig/play.h"
#include "mesh/rig/soak.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}

/// Runs a play and prints its figures; every violation of a rule fails the test.
void check_play(const PlayOptions& options) {
    const PlayResult result = play(options);
    std::cout << "seed " << options.seed << ", " << options.controllers << " controllers: " << result.served
              << " of " << result.history.requests.size() << " requests served, " << result.acknowledged
              << " of " << result.history.changes.size() << " orders acknowledged, the longest after "
              << seconds(result.slowest_change) << " s; all served " << seconds(result.recovery_time)
              << " s after the last fault (" << result.fault_names << ")\n";
    if (from_environment("MARTENFORD_COURSE", 0) != 0) std::cout << result.transcript;
    std::string violated;
    for (const auto& each : result.violations) violated += each + "\n";
    CHECK_MESSAGE(result.violations.empty(), "seed " << options.seed << ", " << options.controllers
                                                     << " controllers\n"
                                                     << violated << result.transcript);
}

}  // namespace

TEST_CASE("random faults: no rule is violated") {
    PlayOptions options;
    options.seed = from_environment("MARTENFORD_SEED", 0);
    if (options.seed != 0) {
        options.controllers = from_environment("MARTENFORD_CONTROLLERS", 3 + options.seed % 3);
        options.fault_window = 1s * from_environment("MARTENFORD_SPAN", 25);
        options.planned_only = from_environment("MARTENFORD_PLANNED", 0) != 0;
        options.disturb_first_start = from_environment("MARTENFORD_DISTURB_START", options.seed / 3 % 2) != 0;
        return check_play(options);
    }
    options.fault_window = 2500ms;
    // Disks wiped while the other controllers are killed; planned maintenance; with two tolerated failures, a
    // partition and a replacement at once.
    const std::pair<std::size_t, std::uint64_t> plays[] = {{3, 42}, {4, 13}, {5, 15}};
    for (const auto& [controllers, seed] : plays) {
        options.controllers = controllers;
        options.seed = seed;
        options.planned_only = controllers == 4;
        options.disturb_first_start = controllers == 3;
        check_play(options);
    }
}
