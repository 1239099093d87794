// Names of the invariants, the shapes of the clusters, and one random schedule.
#include "mesh/register_explorer.h"

#include <iterator>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

namespace {

constexpr Shape kShapes[] = {
    {"3 machines, f=1", 3, 1, 1},
    {"4 machines, f=1", 4, 1, 1},
    {"5 machines, f=2", 5, 2, 1},
    {"5 machines, f=1", 5, 1, 1},
    {"5 machines in 3 zones, f=1 or a zone", 5, 1, 3, 1},
    {"6 machines in 3 zones, f=2 or a zone", 6, 2, 3, 1},
    {"5 machines of which 1 doesn't count, f=1", 5, 1, 1, 0, 1},
    {"2 machines, f=0", 2, 0, 1},
};

}  // namespace

const char* name_of(Invariant invariant) {
    static const char* const kNames[kInvariantCount] = {
        "one leader a term",
        "elected by a majority",
        "one vote a term",
        "persisted before sent",
        "no vote without membership",
        "committed is on a majority of disks",
        "committed is never lost",
        "a 200 has enough copies",
        "the acknowledged is readable",
        "the loser of a race is never in force",
        "a resent order is never refused",
        "no stale lease",
        "no stale touch",
        "no stale confirmation",
        "a change of members only on a committed entry",
        "old and new majorities meet",
        "a leaver gives its copy first",
        "progress in calm",
    };
    return kNames[static_cast<std::size_t>(invariant)];
}

std::string Counts::text() const {
    std::string text = "schedules " + std::to_string(schedules) + ", events " + std::to_string(events) +
                       ", messages " + std::to_string(messages) + ", terms led " + std::to_string(elections) +
                       ", changes of members " + std::to_string(configuration_changes) +
                       ", orders acknowledged " + std::to_string(acknowledged) + ", refused " +
                       std::to_string(refused) + ", unclear " + std::to_string(outcome_unknown) + ", reads " +
                       std::to_string(reads) + ", states " + std::to_string(states) + ", states met again " +
                       std::to_string(revisited) + "; faults:";
    for (const auto& [name, times] : faults) text += " " + name + " " + std::to_string(times) + ",";
    if (!faults.empty()) text.pop_back();
    return text;
}

std::optional<Violation> random_schedule(std::uint64_t seed, Counts& counts, const Options& options) {
    return World(seed, kShapes[seed % std::size(kShapes)], counts, options).run();
}

}  // namespace martenford::explorer
