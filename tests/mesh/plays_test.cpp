// Real controllers and proxies under faults that a seed draws, with two operators and a checker of what they,
// the clients and the endpoints saw. Three short plays; tests/long/mesh_schedules.sh asks for more and longer
// ones.
#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

#include "mesh/rig/play.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* value = std::getenv(name);
    return value ? std::strtoull(value, nullptr, 10) : otherwise;
}

double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}

void keeps_all_rules(const PlayOptions& options) {
    const Outcome outcome = play(options);
    std::cout << "seed " << options.seed << ", " << options.controllers << " controllers: " << outcome.served
              << " of " << outcome.history.requests.size() << " requests served, " << outcome.acknowledged
              << " of " << outcome.history.orders.size() << " orders acknowledged, the longest after "
              << seconds(outcome.longest_order) << " s; all served " << seconds(outcome.settled)
              << " s after the last fault (" << outcome.kinds << ")\n";
    if (from_environment("MARTENFORD_COURSE", 0) != 0) std::cout << outcome.course;
    std::string broken;
    for (const auto& each : outcome.violations) broken += each + "\n";
    CHECK_MESSAGE(outcome.violations.empty(), "seed " << options.seed << ", " << options.controllers
                                                      << " controllers\n"
                                                      << broken << outcome.course);
}

}  // namespace

TEST_CASE("plays under faults keep the rules") {
    PlayOptions options;
    options.seed = from_environment("MARTENFORD_SEED", 0);
    if (options.seed != 0) {
        options.controllers = from_environment("MARTENFORD_CONTROLLERS", 3 + options.seed % 3);
        options.span = 1s * from_environment("MARTENFORD_SPAN", 25);
        options.planned = from_environment("MARTENFORD_PLANNED", 0) != 0;
        return keeps_all_rules(options);
    }
    options.span = 2500ms;
    // Disks lost while the others are killed; planned work; a cut and a replacement at once, two being borne.
    const std::pair<std::size_t, std::uint64_t> plays[] = {{3, 42}, {4, 13}, {5, 15}};
    for (const auto& [controllers, seed] : plays) {
        options.controllers = controllers;
        options.seed = seed;
        options.planned = controllers == 4;
        keeps_all_rules(options);
    }
}
