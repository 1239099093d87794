// The explorer on src/raft as it is. That it finds faults is shown by the seeded defects
// (defects/defects.cmake).
#include "mesh/register_explorer.h"

#include <doctest/doctest.h>

using namespace martenford::explorer;

namespace {
void check_no_violation(const std::optional<Violation>& violation) {
    if (!violation) return;
    std::string steps;
    for (const std::string& step : violation->steps) steps += step + "\n";
    FAIL_CHECK(name_of(violation->invariant), ", seed ", violation->seed, ": ", violation->what, "\n", steps);
}
}  // namespace

TEST_CASE("random schedules violate no invariant, and cover every kind of fault and outcome") {
    Counts counts;
    for (std::uint64_t seed = 1; seed <= 160; ++seed) check_no_violation(random_schedule(seed, counts));
    MESSAGE(counts.text());
    for (const char* fault : {"kill",
                              "power",
                              "strike",
                              "wipe",
                              "replace",
                              "leave",
                              "leave for good",
                              "cut",
                              "cut of what it says",
                              "cut of what it hears",
                              "cut in turn",
                              "freeze",
                              "freeze in an election",
                              "slow disk",
                              "failing disk",
                              "lossy links",
                              "kill of all",
                              "power of all",
                              "wipe with power of all",
                              "old disk returns",
                              "torn first start",
                              "cut off from the first start"})
        CHECK_MESSAGE(counts.faults[fault] > 0, fault);
    CHECK(counts.acknowledged > 5000);
    CHECK(counts.refused > 1000);
    CHECK(counts.reads > 5000);
    CHECK(counts.elections > 300);
    CHECK(counts.configuration_changes > 300);
}

TEST_CASE("a seed repeats its schedule") {
    Counts one, other;
    random_schedule(11, one);
    random_schedule(11, other);
    CHECK(one.text() == other.text());
}

TEST_CASE("every order of delivery around an election and around a change of members") {
    for (const Start start : {Start::Election, Start::SplitVote, Start::MembershipChange}) {
        Counts counts;
        const std::uint64_t max_states = 60'000;
        check_no_violation(exhaustive_search(start, max_states, counts));
        MESSAGE(counts.states, " states, met again ", counts.revisited);
        CHECK(counts.states < max_states);  // the search was complete
        CHECK(counts.states > 100);
    }
}
