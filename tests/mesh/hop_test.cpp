// The three connections of a request, with the programs' own fronts, backs, engines and policies on loopback
// sockets: client - caller's proxy - gate (the inbound proxy) - endpoint. Endpoints misbehave and the hop
// breaks by seed; a checker reads the history.
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

TEST_CASE("a gate with a newer version in which the answer differs refuses; its caller decides anew by it") {
    World world(1, 2, "t");
    for (const auto& gate : world.gates) gate->in_force = World::version(2, "t");
    const auto status = [&](const std::string& id) {
        const auto heard = world.ask_once(World::request_text(id, false));
        return heard ? heard->status : 0;
    };
    // The newer version doesn't come: refused with proof.
    CHECK(status("waits") == 503);
    CHECK(world.history.ran["waits"] == 0);
    // It comes while the request waits, which then goes to its new service.
    world.loop().add(world.loop().now() + 30ms, [&] { world.serve(World::version(2, "t")); });
    CHECK(status("moves") == 200);
    CHECK(world.history.ran["moves"] == 1);
    // A gate that is behind has no say.
    world.gates[1]->in_force = World::version(1);
    CHECK(status("later") == 200);
}

TEST_CASE(
    "what doesn't say which request it answers, or promises without proof, is no answer and no promise") {
    using Act = Endpoint::Act;
    for (const Act act : {Act::Untied, Act::Anonymous, Act::Unproven, Act::TooMany}) {
        CAPTURE(static_cast<int>(act));
        World world(1, 2);
        for (const auto& gate : world.gates) gate->endpoint.always = act;
        const auto heard = world.ask_once(World::request_text("a", false));
        REQUIRE(heard);
        CHECK(heard->status == 502);
        CHECK(world.history.ran["a"] == 1);
    }
}

TEST_CASE("trailers of a chunked body are no fields of its message, in neither direction") {
    World world(1, 1);
    world.gates[0]->endpoint.always = Endpoint::Act::Trailers;
    for (int i = 0; i < 8; ++i) {  // bodies of both sizes
        const std::string id = "t" + std::to_string(i);
        const auto heard = world.ask_once(World::request_text(
            id, false,
            "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Trailer: 1\r\nAttempt-Id: other\r\n"
            "Mesh-Hop: x\r\n\r\n"));
        REQUIRE(heard);
        CHECK(heard->status == 200);
        CHECK(heard->id == id);
        CHECK(heard->body == body_of(id));
        CHECK_FALSE(heard->marked);
        const auto& seen = world.gates[0]->endpoint.last;
        CHECK(seen.body() == "hi");
        CHECK(seen.count("X-Trailer") == 0);
        CHECK(seen.count("Attempt-Id") == 1);
    }
}

TEST_CASE(
    "SIGTERM while bodies stream, up and down, at the caller's proxy and at the gate: all of them come "
    "whole") {
    for (const bool at_gate : {false, true}) {
        CAPTURE(at_gate);
        World world(1, 1);
        world.gates[0]->endpoint.always = Endpoint::Act::Slow;
        int ended = 0;
        const std::string up(100'000, 'u');
        const auto drain = [&] {
            (at_gate ? world.gates[0]->front : world.front).drain([&] { ++ended; }, false);
        };
        std::string id = "a";  // one whose answer is long
        while (body_of(id).size() < 1000) id += "a";
        const auto heard = world.ask_once(
            World::request_text(id, false, "Content-Length: 100000\r\n\r\n" + up.substr(0, 70'000)),
            up.substr(70'000), drain);
        REQUIRE(heard);
        CHECK(heard->status == 200);
        CHECK(heard->body == body_of(id));
        CHECK(world.gates[0]->endpoint.last.body() == up);
        CHECK(ended == 0);
    }
}

TEST_CASE("a gate's refusal without the request's id is no proof for it") {
    World world(1, 1);
    http::request<PieceBody> asked{http::verb::post, "/o/x", 11};
    asked.set("Attempt-Id", "a");
    const HttpMessage message(std::move(asked));
    http::response_header<> word;
    word.result(http::status::service_unavailable);
    word.set("Mesh-Refused", "5");
    const auto classify = [&] { return world.hop_back().classify(word, &message, decision::EndpointId{1}); };
    CHECK_FALSE(classify());
    word.set("Attempt-Id", "b");
    CHECK_FALSE(classify());
    word.set("Attempt-Id", "a");
    CHECK(classify() == decision::Status::Full);
}
