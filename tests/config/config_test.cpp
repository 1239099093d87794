// What the platform tells the program, and what is said where that is wrong.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

TEST(Config, InvalidFieldFailsTheStartWithOneLineThatNamesIt) {
    const std::pair<std::string, std::string> changes[] = {
        {R"("listen":"127.0.0.1:0")", R"("listen":"nowhere")"},
        {R"("seed":"8c1f30d27a5be964")", R"("seed":"xyz")"},
        {R"("try_limit":3)", R"("try_limit":"three")"},
        {R"("discovery":"subscribe")", R"("discovery":"never")"},
        {R"("sockets":128)", R"("sockets":3)"},
    };
    for (const auto& [was, is] : changes) {
        std::string text = config("127.0.0.1:9", target("s-1", "127.0.0.1:9"));
        text.replace(text.find(was), was.size(), is);
        Sidecar sidecar(text);
        const std::string field = was.substr(1, was.find('"', 1) - 1);
        const std::string log = sidecar.rest_of_log();
        EXPECT_TRUE(has(log, field)) << log;
        EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
        EXPECT_EQ(sidecar.exit_code(), 2);
    }
}

TEST(Config, InvalidOwnFileFailsTheStartWithOneLine) {
    Sidecar sidecar(config("127.0.0.1:1", ""), "[subset]\nwidth = none\n");
    EXPECT_EQ(sidecar.exit_code(), 2);
    const std::string log = sidecar.rest_of_log();
    EXPECT_TRUE(has(log, ".toml:2:")) << log;
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
}

}  // namespace
