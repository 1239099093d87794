// The program register_explorer: schedules and searches by hand, and with --defect the test of a seeded
// defect.
#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <variant>

#include "mesh/register_explorer.h"

using namespace martenford::explorer;

namespace {

struct Arguments {
    std::uint64_t first_seed = 1, schedules = 200;
    std::uint64_t max_states = 0;  // of each exhaustive search; 0: none
    bool expects_defect = false, keeps_going = false;
    Options options;
};

/// Prints the usage and returns the exit status.
int print_usage(bool requested) {
    std::cout << "register_explorer: random schedules and exhaustive searches of the replicated register\n"
                 "  --first SEED --schedules N   N random schedules, with the seeds from SEED on\n"
                 "  --states N                   at most N states of each exhaustive search, before the "
                 "schedules\n"
                 "  --trace                      prints each step\n"
                 "  --keep-going                 runs all seeds, also after a violation\n"
                 "  --ignore N                   does not report the Nth invariant, to find what follows\n"
                 "  --defect                     succeeds only if a violation is found\n";
    return requested ? 0 : 2;
}

/// Returns the arguments, or the exit status where there is nothing to run.
std::variant<Arguments, int> parse_arguments(int argc, char** argv) {
    static const option kOptions[] = {{"first", required_argument, nullptr, 'f'},
                                      {"schedules", required_argument, nullptr, 'n'},
                                      {"trace", no_argument, nullptr, 't'},
                                      {"defect", no_argument, nullptr, 'd'},
                                      {"keep-going", no_argument, nullptr, 'k'},
                                      {"states", required_argument, nullptr, 's'},
                                      {"ignore", required_argument, nullptr, 'i'},
                                      {"help", no_argument, nullptr, 'h'},
                                      {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    for (int given = 0; (given = getopt_long(argc, argv, "f:n:s:tdki:h", kOptions, nullptr)) != -1;) {
        if (given == 'f') {
            arguments.first_seed = std::strtoull(optarg, nullptr, 10);
        } else if (given == 'n') {
            arguments.schedules = std::strtoull(optarg, nullptr, 10);
        } else if (given == 's') {
            arguments.max_states = std::strtoull(optarg, nullptr, 10);
        } else if (given == 't') {
            arguments.options.trace = true;
        } else if (given == 'd') {
            arguments.expects_defect = true;
        } else if (given == 'i') {
            arguments.options.ignored.insert(static_cast<Invariant>(std::strtoul(optarg, nullptr, 10)));
        } else if (given == 'k') {
            arguments.keeps_going = true;
        } else {
            return print_usage(given == 'h');
        }
    }
    return arguments;
}

void print_violation(const Violation& violation, const Counts& counts) {
    std::cout << "found: " << name_of(violation.invariant) << ", "
              << (violation.seed ? "seed " + std::to_string(violation.seed)
                                 : std::string("exhaustive search"))
              << ", after " << counts.schedules << " schedules and " << counts.states << " states\n"
              << violation.what << "\n";
}

void print_steps(const Violation& violation) {
    for (const std::string& step : violation.steps) std::cout << step << "\n";
}

/// Runs one exhaustive search. Returns whether it found a violation.
bool search(Start start, const char* name, const Arguments& arguments, Counts& counts) {
    if (arguments.max_states == 0) return false;
    Counts own;
    const auto violation = exhaustive_search(start, arguments.max_states, own);
    std::cout << name << ": " << own.text() << (own.states >= arguments.max_states ? " (not all)" : " (all)")
              << "\n";
    counts.states += own.states;
    if (!violation) return false;
    print_violation(*violation, counts);
    print_steps(*violation);
    return true;
}

/// Runs the searches and the schedules. Returns whether a violation was found.
bool explore(const Arguments& arguments, Counts& counts) {
    bool found = false;
    for (const auto& [start, name] :
         {std::pair{Start::Election, "election"}, std::pair{Start::SplitVote, "rivals"},
          std::pair{Start::MembershipChange, "change of members"}}) {
        found |= search(start, name, arguments, counts);
        if (found && !arguments.keeps_going) return true;
    }
    for (std::uint64_t i = 0; i < arguments.schedules; ++i) {
        const auto violation = random_schedule(arguments.first_seed + i, counts, arguments.options);
        if (!violation) continue;
        found = true;
        print_violation(*violation, counts);
        if (arguments.expects_defect) return true;
        if (arguments.keeps_going) continue;
        print_steps(*violation);
        return true;
    }
    std::cout << counts.text() << "\n";
    return found;
}

}  // namespace

int main(int argc, char** argv) {
    const auto parsed = parse_arguments(argc, argv);
    if (const int* status = std::get_if<int>(&parsed)) return *status;
    const auto* arguments = std::get_if<Arguments>(&parsed);
    Counts counts;
    const bool found = explore(*arguments, counts);
    if (arguments->expects_defect && !found) std::cout << "the defect was not found\n";
    return found == arguments->expects_defect ? 0 : 1;
}
