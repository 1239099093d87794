// The program register_explorer: schedules and searches by hand, and with --defect the test of a seeded
// defect.
#include <getopt.h>

#include <cstdlib>
#include <iostream>

#include "mesh/register_explorer.h"

using namespace martenford::explorer;

namespace {
void show(const Violation& violation, const Counts& counts) {
    std::cout << "found: " << name_of(violation.invariant) << ", "
              << (violation.seed ? "seed " + std::to_string(violation.seed)
                                 : std::string("exhaustive search"))
              << ", after " << counts.schedules << " schedules and " << counts.states << " states\n"
              << violation.what << "\n";
}
}  // namespace

int main(int argc, char** argv) {
    static const option options[] = {{"first", required_argument, nullptr, 'f'},
                                     {"schedules", required_argument, nullptr, 'n'},
                                     {"trace", no_argument, nullptr, 't'},
                                     {"defect", no_argument, nullptr, 'd'},
                                     {"keep-going", no_argument, nullptr, 'k'},
                                     {"states", required_argument, nullptr, 's'},
                                     {"ignore", required_argument, nullptr, 'i'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    std::uint64_t first = 1, schedules = 200, states = 0;
    bool defect = false, keep_going = false;
    Options how;
    for (int given = 0; (given = getopt_long(argc, argv, "f:n:s:tdki:h", options, nullptr)) != -1;) {
        if (given == 'f') {
            first = std::strtoull(optarg, nullptr, 10);
        } else if (given == 'n') {
            schedules = std::strtoull(optarg, nullptr, 10);
        } else if (given == 's') {
            states = std::strtoull(optarg, nullptr, 10);
        } else if (given == 't') {
            how.trace = true;
        } else if (given == 'd') {
            defect = true;
        } else if (given == 'i') {
            how.ignored.insert(static_cast<Invariant>(std::strtoul(optarg, nullptr, 10)));
        } else if (given == 'k') {
            keep_going = true;
        } else {
            std::cout
                << "register_explorer: random schedules and exhaustive searches of the replicated register\n"
                   "  --first SEED --schedules N   N random schedules, with the seeds from SEED on\n"
                   "  --states N                   at most N states of each exhaustive search, before the "
                   "schedules\n"
                   "  --trace                      prints each step\n"
                   "  --keep-going                 runs all seeds, also after a violation\n"
                   "  --ignore N                   does not report the Nth invariant, to find what follows\n"
                   "  --defect                     succeeds only if a violation is found\n";
            return given == 'h' ? 0 : 2;
        }
    }
    Counts counts;
    std::uint64_t found = 0;
    const auto search = [&](Start start, const char* name) {
        if (states == 0) return false;
        Counts own;
        const auto violation = exhaustive_search(start, states, own);
        std::cout << name << ": " << own.text() << (own.states >= states ? " (not all)" : " (all)") << "\n";
        counts.states += own.states;
        if (!violation) return false;
        ++found;
        show(*violation, counts);
        for (const std::string& step : violation->steps) std::cout << step << "\n";
        return !keep_going;
    };
    if (search(Start::Election, "election") || search(Start::SplitVote, "rivals") ||
        search(Start::MembershipChange, "change of members"))
        return defect ? 0 : 1;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        const auto violation = random_schedule(seed, counts, how);
        if (!violation) continue;
        ++found;
        show(*violation, counts);
        if (defect) return 0;
        if (keep_going) continue;
        for (const std::string& step : violation->steps) std::cout << step << "\n";
        return 1;
    }
    std::cout << counts.text() << "\n";
    if (defect) std::cout << "the defect was not found\n";
    return defect || found ? 1 : 0;
}
