#include "assembly/features.h"

#include <gtest/gtest.h>

namespace {

using namespace martenford;

TEST(Features, EverythingIsOffWithoutItsSection) {
    const Features none = read_features("", "martenford.toml");
    EXPECT_FALSE(none.subset || none.outliers || none.caution_share || none.ledger);
    EXPECT_EQ(none.connections.max_total, 0u);
    EXPECT_EQ(none.connections.per_endpoint, 0u);
    EXPECT_EQ(membership_options(none, {}).removal_delay, Duration{});
}

TEST(Features, ReadsSectionsAndFillsInDefaults) {
    const Features all = read_features(R"(
[subset]
width = 30
[outliers]
eject_for = "30s"
most_share = 0.2
[membership]
doubt_above = 0.4
[connections]
most = 500
per_endpoint = 4
)",
                                       "martenford.toml");
    ASSERT_TRUE(all.subset && all.outliers);
    EXPECT_EQ(all.subset->width, 30u);
    EXPECT_EQ(all.subset->max_width, 240u);
    EXPECT_EQ(all.outliers->base_ejection_time, 30s);
    EXPECT_EQ(all.outliers->max_ejected_share, 0.2);
    EXPECT_EQ(all.connections.max_total, 500u);
    EXPECT_EQ(all.connections.per_endpoint, 4u);
    decision::Settings settings;
    settings.rules.drain_grace = 1s;
    const auto membership = membership_options(all, settings);
    EXPECT_EQ(membership.removal_delay, 400ms);
    EXPECT_EQ(membership.max_removal_share, 0.4);
}

TEST(Features, LedgerLevelsDefaultToGroupAndCanBeSetPerClass) {
    const Features read = read_features(R"(
[ledger]
directory = "/var/lib/martenford"
keep_days = 7
[[ledger.class]]
name = "usage-post"
level = "async"
outage = "go-on"
)",
                                        "martenford.toml");
    ASSERT_TRUE(read.ledger);
    EXPECT_EQ(read.ledger->non_idempotent.level, ledger::Durability::Group);
    EXPECT_EQ(read.ledger->non_idempotent.outage, ledger::OutagePolicy::Refuse);
    EXPECT_EQ(read.ledger->classes.at("usage-post").level, ledger::Durability::Async);
    EXPECT_EQ(read.ledger->classes.at("usage-post").outage, ledger::OutagePolicy::SendUnjournaled);
    EXPECT_EQ(read.ledger->journal_retention, 168h);
    EXPECT_EQ(read.ledger->hold_timeout, 250ms);
}

struct InvalidFeatures {
    const char* text;
    const char* line;
};
class InvalidFeaturesTest : public ::testing::TestWithParam<InvalidFeatures> {};

TEST_P(InvalidFeaturesTest, GiveOneLineWithFilePositionAndField) {
    try {
        read_features(GetParam().text, "own.toml");
        FAIL() << "accepted invalid text";
    } catch (const TomlError& error) {
        EXPECT_EQ(std::string(error.what()), GetParam().line);
    }
}
INSTANTIATE_TEST_SUITE_P(
    Cases, InvalidFeaturesTest,
    ::testing::Values(
        InvalidFeatures{"[subset]\nwidth = 0\n",
                        "own.toml:2:9: 'width' must be a whole number from 1 to 100000"},
        InvalidFeatures{"[subset]\nwidth = 9\nmost_width = 3\n",
                        "own.toml:1:1: 'most_width' is less than 'width'"},
        InvalidFeatures{"[subset]\nwide = 9\n", "own.toml:2:1: unknown field 'wide' in [subset]"},
        InvalidFeatures{"[subsets]\n", "own.toml:1:2: unknown field 'subsets' in the configuration"},
        InvalidFeatures{"[outliers]\neject_for = 30\n",
                        "own.toml:2:13: 'eject_for' must be a time with its unit, such as \"300ms\""},
        InvalidFeatures{"[fleet]\nname = \"a b\"\nlisten = \"127.0.0.1:1\"\n",
                        "own.toml:2:8: 'name' must have 1 to 64 bytes and no whitespace"},
        InvalidFeatures{"[fleet]\nname = \"a\"\nlisten = \"here\"\n",
                        "own.toml:3:10: 'listen' must be an address such as \"10.0.0.4:7400\""},
        InvalidFeatures{"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = [\"x\"]\n",
                        "own.toml:4:10: each of 'seeds' must be an address such as \"10.0.0.4:7400\""},
        InvalidFeatures{"[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nstall = \"2m\"\n",
                        "own.toml:1:1: 'stall' must be at most 60s: no failed member would be noticed"},
        InvalidFeatures{"[ledger]\n", "own.toml:1:1: 'directory' is missing in [ledger]"},
        InvalidFeatures{"[ledger]\ndirectory = \"/d\"\nlevel = \"safe\"\n",
                        "own.toml:3:9: 'level' must be one of \"off\", \"async\", \"group\", \"sync\""},
        InvalidFeatures{"[ledger]\ndirectory = \"/d\"\nhold = \"11s\"\n",
                        "own.toml:1:1: 'hold' must be at most 10s: no request waits longer"},
        InvalidFeatures{
            "[ledger]\ndirectory = \"/d\"\n[[ledger.class]]\nname = \"a\"\n[[ledger.class]]\nname = \"a\"\n",
            "own.toml:5:1: duplicate class 'a'"},
        InvalidFeatures{"subset = 3\n", "own.toml:1:10: 'subset' must be a table"},
        InvalidFeatures{"[membership]\ndoubt_above = 2\n",
                        "own.toml:2:15: 'doubt_above' must be a number from 0.1 to 1"}));

}  // namespace
