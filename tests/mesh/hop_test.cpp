// The three connections of a request, with the programs' own fronts, backs, engines and policies on loopback
// sockets: client - caller's stall - gate - endpoint. Endpoints misbehave and the hop breaks by seed; a
// checker reads the history.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "hop_world.h"

using namespace martenford;
using namespace martenford::hop_world;

namespace {

/// What no schedule may bring about, one line each.
std::vector<std::string> broken_rules(const History& history) {
    std::vector<std::string> broken;
    for (const auto& [id, asked] : history.asked) {
        const auto ran = history.ran.find(id);
        const int runs = ran == history.ran.end() ? 0 : ran->second;
        if (!asked.repeatable && runs > 1) broken.push_back("TWICE " + id);
        if (!asked.answer) continue;
        const Heard& heard = *asked.answer;
        const bool promise =
            heard.status == 429 || heard.status == 503 || heard.status == 408 || heard.status == 421;
        if (promise && !asked.repeatable && runs > 0) broken.push_back("REFUSED, but it ran: " + id);
        if (!heard.id.empty() && heard.id != id)
            broken.push_back("MIXED " + id + " got the answer to " + heard.id);
        if (heard.status / 100 == 2 && heard.body != body_of(id))
            broken.push_back("MIXED " + id + " got another body");
        if (heard.status / 100 == 2 && !history.served.contains(id))
            broken.push_back("MIXED " + id + ": its endpoint never served it");
    }
    for (const auto& [id, runs] : history.ran)
        if (!history.asked.contains(id)) broken.push_back("UNASKED " + id);
    return broken;
}

}  // namespace

TEST_CASE("each answer goes to its question and what must not run twice runs once at most, by seed") {
    std::map<int, int> statuses;
    int asked = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        World world(seed);
        world.trouble = true;
        REQUIRE(world.clients(16, 3));
        for (const auto& line : broken_rules(world.history)) FAIL_CHECK(line);
        for (const auto& [id, one] : world.history.asked) {
            ++asked;
            if (one.answer) ++statuses[one.answer->status];
        }
    }
    // It must have been more than a row of failures.
    CHECK(asked == 480);
    CHECK(statuses[200] > asked / 4);
    CHECK(statuses[502] > 0);
    CHECK(statuses[503] > 0);
}

TEST_CASE("after a broken hop a gate that never got the request frees it, one that handed it on does not") {
    constexpr int kHalf = 0, kWhole = 2;  // of the request reaches the gate, then the hop is reset
    World world(1, 2);
    const auto ask = [&](const std::string& id, std::optional<int> first, std::optional<int> second) {
        world.gates[0]->relay->once = first;
        world.gates[1]->relay->once = second;
        const auto heard = world.ask_once(World::request_text(id, false));
        return heard ? heard->status : 0;
    };
    for (int i = 0; i < 6; ++i) CHECK(ask("half" + std::to_string(i), kHalf, std::nullopt) == 200);
    CHECK(ask("both", kHalf, kHalf) == 503);
    CHECK(world.history.ran["both"] == 0);
    // Both gates have a connection to their endpoint: none waits for one and is withdrawn.
    for (int i = 0; i < 8; ++i) CHECK(ask("warm" + std::to_string(i), std::nullopt, std::nullopt) == 200);
    CHECK(ask("whole", kWhole, kWhole) == 502);
    CHECK(world.until([&] { return world.history.ran["whole"] == 1; }, 5s));
}
