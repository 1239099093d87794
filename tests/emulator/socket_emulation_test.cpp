// The same scripts on real sockets: where a script is proof against timing the counts are those of virtual
// time, and elsewhere within a stated bound of it.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "emulator/socket_transport.h"
#include "emulator/virtual_transport.h"

namespace martenford::emulator {
namespace {

Scenario scenario(const std::string& name) {
    return load_scenario(std::string(MARTENFORD_SCENARIOS) + "/" + name + ".toml");
}

Report on_sockets(const Scenario& scenario) {
    SocketPlayOptions options;
    options.program = MARTENFORD;
    return play_sockets(scenario, scenario.seed, options);
}

using Counts = std::vector<std::vector<std::uint64_t>>;
Counts counts(const Report& report) {
    Counts result;
    for (const ClassFigures& c : report.classes) {
        result.push_back({c.offered, c.served, c.late, c.refused, c.failed, c.unanswered, c.tries});
    }
    return result;
}

class TimingProof : public testing::TestWithParam<const char*> {};

TEST_P(TimingProof, HasTheSameCountsTwiceOnSocketsAndInVirtualTime) {
    const Scenario script = scenario(GetParam());
    ASSERT_TRUE(script.timing_proof);
    const Report simulated = play_virtual(script, script.seed).report;
    for (int play = 0; play < 2; ++play) {
        const Report real = on_sockets(script);
        EXPECT_TRUE(real.rules_kept()) << to_text(real);
        EXPECT_TRUE(real.expectations_met()) << to_text(real);
        EXPECT_EQ(counts(real), counts(simulated)) << to_text(real);
        EXPECT_EQ(real.drained, simulated.drained);
    }
}

INSTANTIATE_TEST_SUITE_P(Scripts, TimingProof,
                         testing::Values("proof-all-served", "proof-chain-served", "proof-turned-away",
                                         "proof-failing", "proof-tier-killed", "proof-drained",
                                         "proof-pushed"),
                         [](const auto& info) {
                             std::string name = info.param;
                             for (char& c : name) c = c == '-' ? '_' : c;
                             return name;
                         });

TEST(SocketEmulation, DemoKeepsTheRulesAndComesNearVirtualTime) {
    const Scenario script = scenario("demo");
    const Report simulated = play_virtual(script, script.seed).report;
    const Report real = on_sockets(script);
    EXPECT_TRUE(real.rules_kept()) << to_text(real);
    EXPECT_EQ(real.total().offered, simulated.total().offered);
    EXPECT_NEAR(real.service, simulated.service, script.sockets_within) << to_text(real);
    EXPECT_EQ(real.drained, simulated.drained);
}

TEST(SocketEmulation, FaultsAmongTheMembersOfAFleetLoseNoRequest) {
    const Report real = on_sockets(scenario("fleet-links"));
    EXPECT_TRUE(real.rules_kept()) << to_text(real);
    EXPECT_TRUE(real.expectations_met()) << to_text(real);
}

TEST(SocketEmulation, SidecarsThatDiscoveryIsSilentToLearnOfDrainsFromTheOthers) {
    const Scenario script = scenario("fleet-drains");
    const Report told = on_sockets(script);
    EXPECT_TRUE(told.rules_kept()) << to_text(told);
    EXPECT_TRUE(told.expectations_met()) << to_text(told);
    Scenario alone = script;
    alone.sidecars.fleet_fields.clear();
    const Report untold = on_sockets(alone);
    EXPECT_TRUE(untold.rules_kept()) << to_text(untold);
    EXPECT_GT(untold.to_drained, 10u) << to_text(untold);
}

TEST(SocketEmulation, ProgramThatIsNotThereIsSaidPlainly) {
    SocketPlayOptions options;
    options.program = "/nowhere/martenford";
    const Scenario script = scenario("proof-all-served");
    EXPECT_THROW(play_sockets(script, 1, options), std::runtime_error);
}

TEST(SocketEmulation, SidecarThatEndsByItselfStopsThePlay) {
    SocketPlayOptions options;
    options.program = "/bin/true";
    const Scenario script = scenario("proof-all-served");
    try {
        play_sockets(script, 1, options);
        FAIL();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("has ended by itself"), std::string::npos) << error.what();
    }
}

}  // namespace
}  // namespace martenford::emulator
