// What came of a played scenario: figures, verdicts, and their texts. Holds nothing that differs between two
// plays of the same thing, such as wall-clock times.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/model/rule_checker.h"
#include "emulator/scenario.h"

namespace martenford::emulator {

struct ClassFigures {
    std::string name;
    std::uint64_t offered = 0, served = 0, late = 0, refused = 0, failed = 0, unanswered = 0;
    std::uint64_t tries = 0;
    double worth_offered = 0.0, worth_earned = 0.0;
    double p50_ms = 0.0, p99_ms = 0.0;  ///< of what was served, late or not
};

struct TierFigures {
    std::string name;
    std::uint64_t calls = 0;     ///< requests that its sidecars took
    std::uint64_t attempts = 0;  ///< that reached its endpoints
    std::uint64_t served = 0, turned_away = 0, errors = 0, spoilt = 0, broken = 0, abandoned = 0;
    double work_done_s = 0.0;
    std::uint64_t peak_connections = 0;  ///< open at one endpoint, the most
    double evenness =
        0.0;  ///< attempts at the busiest endpoint over the mean, of those there from first to last
};

struct Report {
    struct RuleFigures {
        std::uint64_t breaches = 0;
        std::vector<std::string> examples;
    };
    struct ExpectFigures {
        std::string text, found;
        bool met = false;
    };
    /// State of an endpoint from a time on.
    struct StateChange {
        double at_s = 0.0;
        std::uint32_t node = 0;
        std::string state;
    };
    struct Bucket {
        double worth_offered = 0.0, worth_earned = 0.0;
        std::uint64_t offered = 0, served = 0;
        std::vector<double> latencies_ms;
    };

    std::string scenario, mode;
    std::uint64_t seed = 0;
    double length_s = 0.0;
    std::vector<ClassFigures> classes;
    std::vector<TierFigures> tiers;
    double service = 0.0;    ///< share of the worth asked for that was earned
    double worst_10s = 0.0;  ///< the same in the worst 10 s
    double worst_from_s = 0.0;
    /// `to_drained`: tries that began over a second after their endpoint was listed as draining or gone.
    std::uint64_t to_drained = 0, double_effects = 0, repeats_dropped = 0, fallen = 0, drained = 0,
                  thrashed = 0, unknown_ids = 0;
    std::array<RuleFigures, 4> rules;
    std::vector<ExpectFigures> expectations;

    // For the plot only.
    std::vector<Bucket> buckets;  ///< a second each, by when requests were first sent
    std::vector<StateChange> states;
    std::vector<std::string> node_names;

    bool rules_kept() const;
    bool expectations_met() const;
    ClassFigures total() const;
    double attempts_per_request() const;
};

/// Fills in the worst 10 s and the verdicts on what was expected.
void judge(Report& report, const Scenario& scenario);
/// The same bytes for the same report.
std::string to_json(const Report& report);
std::string to_text(const Report& report);
/// Served share and latency over time, and the states of the endpoints, as a picture.
std::string to_svg(const Report& report);

}  // namespace martenford::emulator
