// Whole scenarios in virtual time: repeatable to the byte, honest in their counts, and each of the four rules
// seen to be broken where it is.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emulator/report.h"
#include "emulator/virtual_transport.h"

namespace martenford::emulator {
namespace {

using namespace martenford::decision;

std::vector<std::string> shipped() {
    std::set<std::string> files;
    for (const auto& file : std::filesystem::directory_iterator(MARTENFORD_SCENARIOS))
        if (file.path().extension() == ".toml") files.insert(file.path().string());
    return {files.begin(), files.end()};
}

class Shipped : public testing::TestWithParam<std::string> {};

TEST_P(Shipped, KeepsItsExpectationsAndPlaysAlikeTwice) {
    const Scenario scenario = load_scenario(GetParam());
    std::string first_trace, second_trace;
    const auto into = [](std::string& text) {
        return [&text](const std::string& line) { text += line + '\n'; };
    };
    const Report first = play_virtual(scenario, scenario.seed, into(first_trace)).report;
    EXPECT_TRUE(first.rules_kept()) << to_text(first);
    EXPECT_TRUE(first.expectations_met()) << to_text(first);
    const Report second = play_virtual(scenario, scenario.seed, into(second_trace)).report;
    EXPECT_EQ(to_json(first), to_json(second));
    EXPECT_TRUE(first_trace == second_trace);
    const Report other = play_virtual(scenario, scenario.seed + 1).report;
    EXPECT_NE(to_json(first), to_json(other));

    // Nothing is counted twice or not at all.
    const ClassFigures all = first.total();
    EXPECT_EQ(all.offered, all.served + all.late + all.refused + all.failed + all.unanswered);
    EXPECT_GE(all.tries, all.offered);
    for (const TierFigures& tier : first.tiers) {
        EXPECT_LE(tier.served + tier.turned_away + tier.errors + tier.spoilt, tier.attempts) << tier.name;
    }
    EXPECT_EQ(first.tiers[0].calls, all.tries);
    EXPECT_EQ(first.unknown_ids, 0u);
}

std::string stem(const testing::TestParamInfo<std::string>& info) {
    std::string name = std::filesystem::path(info.param).stem().string();
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}
INSTANTIATE_TEST_SUITE_P(All, Shipped, testing::ValuesIn(shipped()), stem);

// ---- four broken policies, one a rule -------------------------------------------------------------

/// Wraps the real module and spoils what it does.
class Mutant : public Policy {
  public:
    Mutant(const Settings& settings, std::uint64_t seed) : settings(settings), real(settings, seed) {}
    void start(Time now, std::vector<Action>& out) override { real.start(now, out); }
    void handle(Time now, const Event& event, std::vector<Action>& out) override {
        real.handle(now, event, out);
    }

  protected:
    Settings settings;
    BalancerPolicy real;
};

/// Sends an unsafe request again as though its reset had proved that it never ran.
class RepeatsEffects : public Mutant {
  public:
    using Mutant::Mutant;
    void handle(Time now, const Event& event, std::vector<Action>& out) override {
        if (const auto* outcome = std::get_if<Outcome>(&event);
            outcome && (outcome->status == Status::Reset || outcome->status == Status::Error)) {
            Outcome changed = *outcome;
            changed.status = Status::ConnectFailed;
            return real.handle(now, changed, out);
        }
        real.handle(now, event, out);
    }
};

/// Takes draining endpoints for ready ones.
class IgnoresDrains : public Mutant {
  public:
    using Mutant::Mutant;
    void handle(Time now, const Event& event, std::vector<Action>& out) override {
        const auto* news = std::get_if<DiscoveryUpdate>(&event);
        if (!news || !news->endpoints) return real.handle(now, event, out);
        auto changed = std::make_shared<EndpointList>(*news->endpoints);
        for (Endpoint& e : *changed) {
            if (e.availability == Availability::Draining) e.availability = Availability::Ready;
        }
        real.handle(now, DiscoveryUpdate{news->kind, changed}, out);
    }
};

/// Takes cold endpoints for warm ones, sends everything to the newest and sheds nothing.
class PushesTheCold : public Mutant {
  public:
    using Mutant::Mutant;
    void handle(Time now, const Event& event, std::vector<Action>& out) override {
        if (const auto* news = std::get_if<DiscoveryUpdate>(&event); news && news->endpoints) {
            for (const Endpoint& e : *news->endpoints) {
                if (e.started && e.availability == Availability::Ready) newest = e.id;
                if (e.id == newest && e.availability != Availability::Ready) newest.reset();
            }
        }
        const std::size_t from = out.size();
        real.handle(now, event, out);
        for (std::size_t i = from; i < out.size(); ++i) {
            if (!newest) break;
            if (auto* send = std::get_if<Send>(&out[i])) send->endpoint = *newest;
            if (const auto* refuse = std::get_if<Refuse>(&out[i])) out[i] = Send{refuse->id, *newest, {}};
        }
    }

  private:
    std::optional<EndpointId> newest;
};

Scenario scenario(const char* name) {
    return load_scenario(std::string(MARTENFORD_SCENARIOS) + "/" + name + ".toml");
}

template <typename M>
VirtualTransport::Options mutant() {
    VirtualTransport::Options options;
    options.policy = [](const Settings& s, std::uint64_t seed) { return std::make_unique<M>(s, seed); };
    return options;
}

std::uint64_t breaches(const Report& report, Rule rule) {
    return report.rules[static_cast<std::size_t>(rule)].breaches;
}

TEST(RuleMutants, RequestsThatAFrontForgetsAreLost) {
    VirtualTransport::Options options;
    options.lose_every = 50;
    const Report report = play_virtual(scenario("calm"), 7, {}, options).report;
    EXPECT_GT(breaches(report, Rule::NoneLost), 10u) << to_text(report);
}

TEST(RuleMutants, EffectsThatAreRepeatedAreSeen) {
    const Report report = play_virtual(scenario("fast-errors"), 7, {}, mutant<RepeatsEffects>()).report;
    EXPECT_GT(breaches(report, Rule::NoDoubleEffect), 0u) << to_text(report);
    EXPECT_EQ(breaches(report, Rule::DrainsKept), 0u);
    EXPECT_EQ(breaches(report, Rule::ColdSpared), 0u);
}

TEST(RuleMutants, DrainsThatAreIgnoredAreSeen) {
    const Report report = play_virtual(scenario("freeze-meets-drain"), 7, {}, mutant<IgnoresDrains>()).report;
    EXPECT_GT(breaches(report, Rule::DrainsKept), 0u) << to_text(report);
    EXPECT_EQ(breaches(report, Rule::NoDoubleEffect), 0u);
    EXPECT_EQ(breaches(report, Rule::ColdSpared), 0u);
}

TEST(RuleMutants, ColdEndpointsThatArePushedOverAreSeen) {
    const Scenario one_tier = read_scenario(R"(
name = "cold"
length = "15s"
[[class]]
name = "look"
work = "50ms"
shape = "fixed"
aim = "1s"
deadline = "3s"
effect = "safe"
[[tier]]
name = "store"
endpoints = 6
cold_from = 0.4
warm_up = "6s"
slots = 100
[clients]
rate = 70
[sidecars]
count = 3
[[event]]
at = "4s"
on = "store/0"
do = "restart after 1s"
)",
                                            "cold");
    EXPECT_TRUE(play_virtual(one_tier, 7).report.rules_kept());
    const Report report = play_virtual(one_tier, 7, {}, mutant<PushesTheCold>()).report;
    EXPECT_GT(breaches(report, Rule::ColdSpared), 0u) << to_text(report);
    EXPECT_GT(report.fallen, 0u);
    EXPECT_EQ(breaches(report, Rule::DrainsKept), 0u);
}

// ---- what the scripts say is what happens ---------------------------------------------------------

TEST(Emulation, TimingProofScriptsGiveTheCountsThatFollowFromThem) {
    const Report killed = play_virtual(scenario("proof-tier-killed"), 7).report;
    const ClassFigures all = killed.total();
    EXPECT_EQ(all.served, 40u);
    EXPECT_EQ(all.refused, all.offered - 40u);
    const Report failing = play_virtual(scenario("proof-failing"), 7).report;
    EXPECT_EQ(failing.total().served, 0u);
    EXPECT_EQ(failing.classes[2].failed, failing.classes[2].offered);
}

TEST(Emulation, AskingForAnotherSeedKeepsTheRules) {
    for (std::uint64_t seed = 100; seed < 104; ++seed) {
        for (const char* name : {"demo", "freeze-meets-drain", "cold-join-beside-rejection"}) {
            const Report report = play_virtual(scenario(name), seed).report;
            EXPECT_TRUE(report.rules_kept()) << name << " " << seed << "\n" << to_text(report);
        }
    }
}

TEST(Emulation, PictureShowsEveryEndpointAndIsWholeXml) {
    const Report report = play_virtual(scenario("demo"), 7).report;
    const std::string svg = to_svg(report);
    EXPECT_TRUE(svg.starts_with("<svg "));
    EXPECT_TRUE(svg.ends_with("</svg>\n"));
    for (const std::string& name : report.node_names)
        EXPECT_NE(svg.find(">" + name + "<"), std::string::npos) << name;
    EXPECT_EQ(std::count(svg.begin(), svg.end(), '<'), std::count(svg.begin(), svg.end(), '>'));
}

}  // namespace
}  // namespace martenford::emulator
