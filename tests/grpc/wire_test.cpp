// Timeouts, messages and routes.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "grpc/messages.h"
#include "grpc/routes.h"
#include "grpc/timeout.h"

namespace {

using namespace martenford;
using namespace martenford::grpc;

TEST(GrpcTimeout, IsReadInEveryUnit) {
    EXPECT_EQ(parse_timeout("1H"), 1h);
    EXPECT_EQ(parse_timeout("2M"), 2min);
    EXPECT_EQ(parse_timeout("3S"), 3s);
    EXPECT_EQ(parse_timeout("250m"), 250ms);
    EXPECT_EQ(parse_timeout("7u"), 7us);
    EXPECT_EQ(parse_timeout("00000009n"), 9ns);
    EXPECT_EQ(parse_timeout("0S"), 0s);
    EXPECT_EQ(parse_timeout("99999999H"), 24h);  // would not fit into nanoseconds
    for (const char* odd :
         {"", "S", "1", "1s", "123456789S", "-1S", "+1S", "1.5S", "1 S", " 1S", "1SS", "0x1S"}) {
        EXPECT_FALSE(parse_timeout(odd)) << odd;
    }
}

TEST(GrpcTimeout, WhatIsToldOnIsNeverMoreThanThereIsAndNeverNothing) {
    EXPECT_EQ(show_timeout(250ms), "250000u");
    EXPECT_EQ(show_timeout(-5s), "1n");
    EXPECT_EQ(show_timeout(Duration{}), "1n");
    std::mt19937_64 random(8);
    for (int i = 0; i < 20'000; ++i) {
        const Duration left{static_cast<Duration::rep>(random() >> (18 + random() % 40))};
        const std::string text = show_timeout(left);
        ASSERT_LE(text.size(), 9u);
        const auto read = parse_timeout(text);
        ASSERT_TRUE(read) << text;
        ASSERT_GT(*read, Duration{});
        ASSERT_LE(*read, std::max(left, Duration{1}));
        ASSERT_GE(*read, std::min<Duration>(left, 24h) - left / 90'000 - 1ns) << text;
    }
}

TEST(GrpcTimeout, TheShorterCounts) {
    EXPECT_EQ(allowed(std::nullopt, 3s), 3s);
    EXPECT_EQ(allowed(1s, 3s), 1s);
    EXPECT_EQ(allowed(9s, 3s), 3s);
}

TEST(GrpcMessages, AreFollowedWhateverThePieces) {
    std::mt19937 random(6);
    for (int round = 0; round < 300; ++round) {
        std::string stream;
        const auto count = random() % 6;
        bool compressed = false;
        for (std::size_t i = 0; i < count; ++i) {
            const bool flag = random() % 4 == 0;
            compressed = compressed || flag;
            stream += framed(std::string(random() % 40, 'x'), flag);
        }
        MessageCounter counter(64);
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t step = 1 + random() % 9;
            ASSERT_EQ(counter.feed(std::string_view(stream).substr(at, step)), MessageCounter::Fault::None);
            at += step;
        }
        ASSERT_EQ(counter.whole(), count);
        ASSERT_TRUE(counter.between());
        ASSERT_EQ(counter.any_compressed(), compressed);
    }
}

TEST(GrpcMessages, AHalfOneShowsAtTheEnd) {
    const std::string whole = framed("hello");
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        MessageCounter counter(64);
        counter.feed(whole.substr(0, cut));
        EXPECT_FALSE(counter.between()) << cut;
        EXPECT_EQ(counter.whole(), 0u);
    }
    MessageCounter empty(64);
    empty.feed(framed(""));
    EXPECT_TRUE(empty.between());
    EXPECT_EQ(empty.whole(), 1u);
}

TEST(GrpcMessages, OddFlagsAndLengthsAreFaultsThatStay) {
    MessageCounter flag(64);
    EXPECT_EQ(flag.feed(std::string("\x02\0\0\0\0", 5)), MessageCounter::Fault::BadFlag);
    EXPECT_EQ(flag.feed(framed("x")), MessageCounter::Fault::BadFlag);
    MessageCounter large(64);
    EXPECT_EQ(large.feed(framed(std::string(64, 'x'))), MessageCounter::Fault::None);
    EXPECT_EQ(large.feed(std::string("\0\0\0\0\x41", 5)), MessageCounter::Fault::TooLarge);
    MessageCounter most(64);
    EXPECT_EQ(most.feed(std::string("\0\xff\xff\xff\xff", 5)), MessageCounter::Fault::TooLarge);
}

Routes read(const std::string& text) {
    std::vector<decision::RequestClass> classes(2);
    classes[0].name = "rate-lookup";
    classes[1].name = "balance-debit";
    return parse_toml(text, "own.toml", [&](const TomlReader& reader, const toml::table& root) {
        TomlReader::Table top(reader, root, "the configuration");
        auto table = top.table("grpc");
        return Routes::read(*table, classes);
    });
}

TEST(GrpcRoutes, AMethodsOwnEntryComesBeforeItsServices) {
    const Routes routes = read(R"(
[[grpc.route]]
path = "/rating.v1.Rates/*"
class = "rate-lookup"
[[grpc.route]]
path = "/rating.v1.Rates/Debit"
class = "balance-debit"
[[grpc.route]]
path = "/rating.v1.Feed/Watch"
class = "rate-lookup"
streaming = true
)");
    EXPECT_EQ(routes.size(), 3u);
    EXPECT_EQ(routes.find("/rating.v1.Rates/Look")->class_index, 0u);
    EXPECT_EQ(routes.find("/rating.v1.Rates/Debit")->class_index, 1u);
    EXPECT_TRUE(routes.find("/rating.v1.Feed/Watch")->streaming);
    for (const char* none :
         {"", "/", "x", "/rating.v1.Feed/Other", "/rating.v1.Rates", "/rating.v1.Rates2/Look"}) {
        EXPECT_FALSE(routes.find(none)) << none;
    }
}

struct Wrong {
    const char* text;
    const char* line;
};
class WrongRoutes : public ::testing::TestWithParam<Wrong> {};
TEST_P(WrongRoutes, GiveOneLine) {
    try {
        read(std::string("[[grpc.route]]\n") + GetParam().text);
        FAIL() << "was read";
    } catch (const TomlError& error) {
        EXPECT_EQ(std::string(error.what()), GetParam().line);
    }
}
INSTANTIATE_TEST_SUITE_P(
    Cases, WrongRoutes,
    ::testing::Values(
        Wrong{"path = \"Rates/Look\"\nclass = \"rate-lookup\"\n",
              "own.toml:2:8: 'path' must be \"/package.Service/Method\" or \"/package.Service/*\""},
        Wrong{"path = \"/a.B/C\"\nclass = \"debit\"\n",
              "own.toml:3:9: 'class' is none of the platform's: 'debit'"},
        Wrong{"path = \"/a.B/C\"\nclass = \"rate-lookup\"\n[[grpc.route]]\npath = \"/a.B/C\"\nclass = "
              "\"rate-lookup\"\n",
              "own.toml:5:8: '/a.B/C' is there twice"},
        Wrong{"class = \"rate-lookup\"\n", "own.toml:1:1: 'path' is missing in [[route]]"}));

}  // namespace
