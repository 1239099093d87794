// The scenario reader: what it understands, and one clear line with its place for whatever it does not.
#include "emulator/scenario.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "emulator/draws.h"

namespace martenford::emulator {
namespace {

const std::string kHead = R"(name = "t"
length = "10s"
)";
const std::string kBody = R"(
[[class]]
name = "look"
work = "10ms"
aim = "1s"
deadline = "2s"
effect = "safe"

[[tier]]
name = "store"
endpoints = 4
)";

std::string error_of(const std::string& text) {
    try {
        read_scenario(text, "f.toml");
    } catch (const ScenarioError& error) {
        return error.what();
    }
    return {};
}

std::string event(const std::string& lines) {
    return kHead + kBody + "[[event]]\n" + lines;
}

Scenario with_event(const std::string& lines) {
    return read_scenario(event(lines), "f.toml");
}

TEST(Scenario, ReadsAFleetWithItsDefaults) {
    const Scenario s = read_scenario(kHead + kBody, "f.toml");
    EXPECT_EQ(s.name, "t");
    EXPECT_EQ(s.length, 10s);
    ASSERT_EQ(s.tiers.size(), 1u);
    EXPECT_EQ(s.tiers[0].endpoints, 4u);
    ASSERT_EQ(s.classes.size(), 1u);
    EXPECT_DOUBLE_EQ(s.classes[0].share, 1.0);
    EXPECT_EQ(s.classes[0].effect, decision::Idempotency::Idempotent);
    EXPECT_EQ(s.sidecars_of(0), 1u);
}

TEST(Scenario, ReadsEachKindOfEvent) {
    const auto slow = with_event("at = \"2s\"\non = \"store/1-2\"\ndo = \"slow x4 for 20s\"\n").events.at(0);
    EXPECT_EQ(slow.verb, Verb::Slow);
    EXPECT_DOUBLE_EQ(slow.amount, 4.0);
    EXPECT_EQ(slow.length, 20s);
    EXPECT_EQ(slow.on.first, 1u);
    EXPECT_EQ(slow.on.last, 2u);
    const auto reject = with_event("at = \"2s\"\non = \"store 25%\"\ndo = \"reject 50%\"\n").events.at(0);
    EXPECT_EQ(reject.verb, Verb::Reject);
    EXPECT_DOUBLE_EQ(reject.amount, 0.5);
    EXPECT_DOUBLE_EQ(reject.on.share, 0.25);
    EXPECT_EQ(reject.length, Duration{});
    const auto pauses =
        with_event("at = \"0s\"\non = \"store\"\ndo = \"pauses 300ms every 2s for 9s\"\n").events.at(0);
    EXPECT_EQ(pauses.span, 300ms);
    EXPECT_EQ(pauses.every, 2s);
    const auto join = with_event("at = \"1s\"\non = \"store\"\ndo = \"join cold 3\"\n").events.at(0);
    EXPECT_EQ(join.verb, Verb::Join);
    EXPECT_DOUBLE_EQ(join.amount, 3.0);
    EXPECT_EQ(with_event("at = \"1s\"\ndo = \"burst x2.4 for 5s\"\n").events.at(0).verb, Verb::Burst);
    EXPECT_EQ(with_event("at = \"1s\"\ndo = \"discovery silent for 5s\"\n").events.at(0).verb,
              Verb::DiscoverySilent);
    EXPECT_EQ(with_event("at = \"1s\"\ndo = \"discovery stale 3s\"\n").events.at(0).span, 3s);
    EXPECT_EQ(
        with_event("at = \"1s\"\non = \"sidecars/0\"\ndo = \"hot caller 25% for 5s\"\n").events.at(0).verb,
        Verb::HotCaller);
    EXPECT_EQ(with_event("at = \"1s\"\non = \"sidecars\"\ndo = \"kill\"\n").events.at(0).verb,
              Verb::SidecarKill);
    EXPECT_EQ(with_event("at = \"1s\"\non = \"store/0\"\ndo = \"kill\"\n").events.at(0).verb, Verb::Kill);
    EXPECT_EQ(with_event("at = \"1s\"\non = \"store/0\"\ndo = \"replace after 50ms\"\n").events.at(0).span,
              50ms);
}

TEST(Scenario, EventsAtOneInstantKeepTheOrderOfTheFile) {
    const Scenario s = read_scenario(kHead + kBody +
                                         "[[event]]\nat = \"5s\"\non = \"store/0\"\ndo = \"drain\"\n"
                                         "[[event]]\nat = \"2s\"\non = \"store/1\"\ndo = \"kill\"\n"
                                         "[[event]]\nat = \"5s\"\non = \"store/0\"\ndo = \"freeze for 1s\"\n"
                                         "[[event]]\nat = \"5s\"\non = \"store/0\"\ndo = \"thrash\"\n",
                                     "f.toml");
    std::vector<std::string> order;
    for (const auto& e : s.events) order.push_back(e.text);
    EXPECT_EQ(order, (std::vector<std::string>{"kill", "drain", "freeze for 1s", "thrash"}));
}

TEST(Scenario, LoadCurveIsStraightBetweenItsPoints) {
    const Scenario s = read_scenario(kHead + kBody +
                                         "[[load]]\nat = \"2s\"\nx = 1\n[[load]]\nat = \"4s\"\nx = 3\n"
                                         "[[load]]\nat = \"4s\"\nx = 0\n",
                                     "f.toml");
    EXPECT_DOUBLE_EQ(s.load_at(0s), 1.0);
    EXPECT_DOUBLE_EQ(s.load_at(3s), 2.0);
    EXPECT_DOUBLE_EQ(s.load_at(5s), 0.0);
}

struct Broken {
    const char* what;
    std::string text;
    const char* place;    ///< LINE:COLUMN
    const char* message;  ///< a part of it
};

class BrokenScenario : public testing::TestWithParam<Broken> {};

TEST_P(BrokenScenario, IsOneLineWithItsPlaceAndWhatIsWrong) {
    const std::string error = error_of(GetParam().text);
    EXPECT_TRUE(error.starts_with(std::string("f.toml:") + GetParam().place + ": ")) << error;
    EXPECT_NE(error.find(GetParam().message), std::string::npos) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    Corpus, BrokenScenario,
    testing::Values(
        Broken{"no unit", "name = \"t\"\nlength = \"10\"\n" + kBody, "2:10", "a time with its unit"},
        Broken{"a bare number", "name = \"t\"\nlength = 10\n" + kBody, "2:10", "a time with its unit"},
        Broken{"no length", "name = \"t\"\n" + kBody, "1:1", "'length' is missing"},
        Broken{"unknown field", kHead + "speed = 3\n" + kBody, "3:1", "unknown field 'speed'"},
        Broken{"unknown field of a tier", kHead + kBody + "slot = 3\n", "14:1", "unknown field 'slot'"},
        Broken{"not TOML", kHead + "x = = 3\n" + kBody, "3:5", ""},
        Broken{"no class", kHead + "[[tier]]\nname = \"a\"\n", "1:1", "no [[class]]"},
        Broken{"unknown effect",
               kHead + "[[class]]\nname = \"a\"\nwork = \"1s\"\naim = \"1s\"\ndeadline = \"2s\"\neffect = "
                       "\"twice\"\n",
               "8:10", "must be one of \"safe\", \"keyed\", \"unsafe\""},
        Broken{"keyed without window",
               kHead + "[[class]]\nname = \"a\"\nwork = \"1s\"\naim = \"1s\"\ndeadline = \"2s\"\neffect = "
                       "\"keyed\"\n",
               "3:1", "needs 'window'"},
        Broken{"deadline before aim",
               kHead + "[[class]]\nname = \"a\"\nwork = \"1s\"\naim = \"3s\"\ndeadline = \"2s\"\neffect = "
                       "\"safe\"\n",
               "3:1", "before 'aim'"},
        Broken{"two tiers of one name", kHead + kBody + "[[tier]]\nname = \"store\"\n", "1:1",
               "two tiers are called 'store'"},
        Broken{"too many endpoints", kHead + kBody + "[[tier]]\nname = \"b\"\nendpoints = 2000000\n", "16:13",
               "from 1 to 20000"},
        Broken{"unknown verb", event("at = \"1s\"\non = \"store\"\ndo = \"explode\"\n"), "17:7",
               "'explode' is nothing that can happen"},
        Broken{"share over 100%", event("at = \"1s\"\non = \"store\"\ndo = \"reject 150%\"\n"), "17:14",
               "'150%' is not a share"},
        Broken{"factor without x", event("at = \"1s\"\non = \"store\"\ndo = \"slow 4\"\n"), "17:12",
               "'4' is not a factor"},
        Broken{"length without unit", event("at = \"1s\"\non = \"store\"\ndo = \"slow x4 for 20\"\n"),
               "17:19", "'20' is not a time"},
        Broken{"a word too many", event("at = \"1s\"\non = \"store\"\ndo = \"drain now\"\n"), "17:13",
               "one word too many"},
        Broken{"something missing", event("at = \"1s\"\non = \"store\"\ndo = \"slow\"\n"), "17:7",
               "is missing at the end of 'slow'"},
        Broken{"unknown tier", event("at = \"1s\"\non = \"shop/1\"\ndo = \"kill\"\n"), "16:7",
               "no tier is called 'shop'"},
        Broken{"backwards range", event("at = \"1s\"\non = \"store/3-1\"\ndo = \"kill\"\n"), "16:7",
               "runs backwards"},
        Broken{"no such sidecar", event("at = \"1s\"\non = \"sidecars/9\"\ndo = \"kill\"\n"), "16:7",
               "names no number"},
        Broken{"needs a target", event("at = \"1s\"\ndo = \"drain\"\n"), "16:7", "needs 'on' with endpoints"},
        Broken{"takes no target", event("at = \"1s\"\non = \"store\"\ndo = \"burst x2\"\n"), "17:7",
               "takes no 'on'"},
        Broken{"after the end", event("at = \"11s\"\non = \"store\"\ndo = \"drain\"\n"), "14:1",
               "after the end"},
        Broken{"endless freeze", event("at = \"1s\"\non = \"store\"\ndo = \"freeze\"\n"), "17:7",
               "needs 'for'"},
        Broken{"unknown measure", kHead + "expect = [\"speed >= 3\"]\n" + kBody, "3:12",
               "nothing that is measured"},
        Broken{"unknown class", kHead + "expect = [\"served buy >= 3\"]\n" + kBody, "3:19",
               "no class is called 'buy'"},
        Broken{"no comparison", kHead + "expect = [\"served 90%\"]\n" + kBody, "3:19", "no class is called"},
        Broken{"share of a number", kHead + "expect = [\"fallen <= 3%\"]\n" + kBody, "3:22",
               "this is no share"},
        Broken{"load out of order",
               kHead + kBody + "[[load]]\nat = \"4s\"\nx = 1\n[[load]]\nat = \"3s\"\nx = 1\n", "17:1",
               "in order"}),
    [](const auto& info) {
        std::string name = info.param.what;
        for (char& c : name) c = std::isalnum(static_cast<unsigned char>(c)) ? c : '_';
        return name;
    });

TEST(Scenario, FileThatIsNotThereOrTooLargeIsNamed) {
    try {
        load_scenario("/nowhere/at/all.toml");
        FAIL();
    } catch (const ScenarioError& error) {
        EXPECT_EQ(std::string(error.what()), "/nowhere/at/all.toml:1:1: the file can't be read");
    }
}

/// Every scenario that comes with the program, as text.
std::vector<std::pair<std::string, std::string>> shipped() {
    std::vector<std::pair<std::string, std::string>> result;
    std::set<std::filesystem::path> files;
    for (const auto& file : std::filesystem::recursive_directory_iterator(MARTENFORD_SCENARIOS))
        if (file.is_regular_file()) files.insert(file.path());
    for (const auto& file : files) {
        std::ifstream in(file);
        std::ostringstream text;
        text << in.rdbuf();
        result.emplace_back(file.stem().string(), text.str());
    }
    return result;
}

TEST(Scenario, AllThatAreShippedReadAndAreNamedAsTheirFiles) {
    const auto all = shipped();
    EXPECT_GE(all.size(), 14u);
    for (const auto& [name, text] : all) {
        const Scenario s = read_scenario(text, name);
        EXPECT_EQ(s.name, name);
        EXPECT_FALSE(s.about.empty()) << name;
        EXPECT_FALSE(s.expect.empty()) << name;
    }
}

/// "fuzz:LINE:COLUMN: something", and nothing after it.
bool is_one_placed_line(const std::string& text) {
    int line = 0, column = 0, end = 0;
    return std::sscanf(text.c_str(), "fuzz:%d:%d: %n", &line, &column, &end) == 2 && line > 0 && column > 0 &&
           end > 0 && static_cast<std::size_t>(end) < text.size() && text.find('\n') == std::string::npos;
}

/// Broken in thousands of ways, a text either reads or gives one line with a place in it.
TEST(Scenario, FuzzedTextsReadOrGiveOneLineWithAPlace) {
    const auto all = shipped();
    ASSERT_FALSE(all.empty());
    Draws draws(3, "fuzz");
    const std::string pieces[] = {"\"",
                                  "[[",
                                  "]]",
                                  "\n",
                                  "=",
                                  "x4",
                                  "%",
                                  "for",
                                  "-1",
                                  "1e999",
                                  "\"\"",
                                  "[",
                                  "{",
                                  "\\",
                                  "\xff",
                                  "0s",
                                  "99999999999999999999",
                                  "store",
                                  "# ",
                                  "true",
                                  "\"9m\"",
                                  "nan"};
    std::size_t read = 0, refused = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string text = all[draws.below(all.size())].second;
        const std::size_t changes = 1 + draws.below(4);
        for (std::size_t c = 0; c < changes && !text.empty(); ++c) {
            const std::size_t where = draws.below(text.size());
            switch (draws.below(5)) {
                case 0:
                    text.erase(where, 1 + draws.below(20));
                    break;
                case 1:
                    text.insert(where, pieces[draws.below(std::size(pieces))]);
                    break;
                case 2:
                    text[where] = static_cast<char>(draws.below(256));
                    break;
                case 3:
                    text.insert(where, text.substr(draws.below(text.size()), draws.below(60)));
                    break;
                default:
                    text.resize(where);
                    break;
            }
        }
        try {
            read_scenario(text, "fuzz");
            ++read;
        } catch (const ScenarioError& error) {
            ++refused;
            ASSERT_TRUE(is_one_placed_line(error.what())) << error.what() << "\nof\n" << text;
        }
    }
    EXPECT_GT(read, 30u);
    EXPECT_GT(refused, 1000u);
}

}  // namespace
}  // namespace martenford::emulator
