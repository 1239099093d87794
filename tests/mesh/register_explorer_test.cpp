// The explorer on the register as it is; what it would find is shown by the seeded defects.
#include "mesh/register_explorer.h"

#include <doctest/doctest.h>

using namespace martenford::explorer;

namespace {
void check_none(const std::optional<Violation>& violation) {
    if (!violation) return;
    std::string steps;
    for (const std::string& step : violation->steps) steps += step + "\n";
    FAIL_CHECK(name_of(violation->invariant), ", seed ", violation->seed, ": ", violation->what, "\n", steps);
}
}  // namespace

TEST_CASE("random schedules break no invariant, and all kinds of faults and outcomes were among them") {
    Counts counts;
    for (std::uint64_t seed = 1; seed <= 160; ++seed) check_none(random_schedule(seed, counts));
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
                              "old disk returns"})
        CHECK_MESSAGE(counts.faults[fault] > 0, fault);
    CHECK(counts.acknowledged > 5000);
    CHECK(counts.refused > 1000);
    CHECK(counts.reads > 5000);
    CHECK(counts.elections > 300);
    CHECK(counts.changes_of_members > 300);
}

TEST_CASE("a seed gives the same schedule again") {
    Counts one, other;
    random_schedule(11, one);
    random_schedule(11, other);
    CHECK(one.text() == other.text());
}

TEST_CASE("every order of delivery around an election and around a change of members") {
    for (const Start start : {Start::Election, Start::Rivals, Start::ChangeOfMembers}) {
        Counts counts;
        const std::uint64_t most = 60'000;
        check_none(exhaustive_search(start, most, counts));
        MESSAGE(counts.states, " states, met again ", counts.repeated);
        CHECK(counts.states < most);  // all of them
        CHECK(counts.states > 100);
    }
}
