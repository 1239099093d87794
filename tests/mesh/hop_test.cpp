// The three connections of a request on loopback sockets, with the proxies' own HTTP servers, clients,
// engines and policies: client - caller's proxy - inbound proxy - endpoint. Endpoints misbehave and
// connections break at random, by seed; a checker reads the history.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "hop_world.h"

using namespace martenford;
using namespace martenford::hop_world;

namespace {

/// Returns one line for each violation of a rule that holds under all faults.
std::vector<std::string> violations(const History& history) {
    std::vector<std::string> violated;
    for (const auto& [id, request] : history.requests) {
        const auto found = history.executions.find(id);
        const int runs = found == history.executions.end() ? 0 : found->second;
        if (!request.idempotent && runs > 1) violated.push_back("TWICE " + id);
        if (!request.response) continue;
        const ClientResponse& response = *request.response;
        const bool promise = response.status == 429 || response.status == 503 || response.status == 408 ||
                             response.status == 421;
        if (promise && !request.idempotent && runs > 0) violated.push_back("REFUSED, but it ran: " + id);
        if (!response.id.empty() && response.id != id)
            violated.push_back("MIXED " + id + " got the answer to " + response.id);
        if (response.status / 100 == 2 && response.body != body_of(id))
            violated.push_back("MIXED " + id + " got another body");
        if (response.status / 100 == 2 && !history.served.contains(id))
            violated.push_back("MIXED " + id + ": its endpoint never served it");
    }
    for (const auto& [id, runs] : history.executions)
        if (!history.requests.contains(id)) violated.push_back("UNASKED " + id);
    return violated;
}

}  // namespace

TEST_CASE(
    "random faults: each response reaches its request, and a non-idempotent request is executed at most "
    "once") {
    std::map<int, int> statuses;
    int requests = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        World world(seed);
        world.faults_enabled = true;
        REQUIRE(world.run_clients(16, 3));
        for (const auto& line : violations(world.history)) FAIL_CHECK(line);
        for (const auto& [id, request] : world.history.requests) {
            ++requests;
            if (request.response) ++statuses[request.response->status];
        }
    }
    // Not all requests may have failed.
    CHECK(requests == 480);
    CHECK(statuses[200] > requests / 4);
    CHECK(statuses[502] > 0);
    CHECK(statuses[503] > 0);
}

TEST_CASE(
    "after a broken hop a request is retried if the inbound proxy never received it, not if it delivered "
    "it") {
    using Fault = FaultyRelay::Fault;
    World world(1, 2);
    const auto send = [&](const std::string& id, std::optional<Fault> first, std::optional<Fault> second) {
        world.inbound_proxies[0]->relay->next_request_fault = first;
        world.inbound_proxies[1]->relay->next_request_fault = second;
        const auto response = world.send_once(World::request_text(id, false));
        return response ? response->status : 0;
    };
    for (int i = 0; i < 6; ++i) CHECK(send("half" + std::to_string(i), Fault::Truncate, std::nullopt) == 200);
    CHECK(send("both", Fault::Truncate, Fault::Truncate) == 503);
    CHECK(world.history.executions["both"] == 0);
    // Both inbound proxies have a connection to their endpoint: no request waits for one and is withdrawn.
    for (int i = 0; i < 8; ++i) CHECK(send("warm" + std::to_string(i), std::nullopt, std::nullopt) == 200);
    CHECK(send("whole", Fault::Reset, Fault::Reset) == 502);
    CHECK(world.wait_for([&] { return world.history.executions["whole"] == 1; }, 5s));
}

TEST_CASE(
    "an inbound proxy whose newer configuration routes otherwise rejects; the caller routes again once it "
    "has it") {
    World world(1, 2, "t");
    for (const auto& proxy : world.inbound_proxies) proxy->routes = World::version(2, "t");
    const auto status = [&](const std::string& id) {
        const auto response = world.send_once(World::request_text(id, false));
        return response ? response->status : 0;
    };
    // The caller does not receive the newer version: rejected with proof of non-execution.
    CHECK(status("waits") == 503);
    CHECK(world.history.executions["waits"] == 0);
    // It receives it while the request waits, which then goes to its new service.
    world.loop().add(world.loop().now() + 30ms, [&] { world.set_routes(World::version(2, "t")); });
    CHECK(status("moves") == 200);
    CHECK(world.history.executions["moves"] == 1);
    // An inbound proxy with an older version does not reject.
    world.inbound_proxies[1]->routes = World::version(1);
    CHECK(status("later") == 200);
}

TEST_CASE("a response without the request's id, or a rejection without proof of non-execution, gives 502") {
    using Behavior = Endpoint::Behavior;
    for (const Behavior behavior : {Behavior::AnonymousReject, Behavior::NoAttemptId, Behavior::RejectNoProof,
                                    Behavior::TooManyRequests}) {
        CAPTURE(static_cast<int>(behavior));
        World world(1, 2);
        for (const auto& proxy : world.inbound_proxies) proxy->endpoint.fixed_behavior = behavior;
        const auto response = world.send_once(World::request_text("a", false));
        REQUIRE(response);
        CHECK(response->status == 502);
        CHECK(world.history.executions["a"] == 1);
    }
}

TEST_CASE("trailer fields of a chunked body do not become header fields, in either direction") {
    World world(1, 1);
    world.inbound_proxies[0]->endpoint.fixed_behavior = Endpoint::Behavior::Trailers;
    for (int i = 0; i < 8; ++i) {  // bodies of both sizes
        const std::string id = "t" + std::to_string(i);
        const auto response = world.send_once(World::request_text(
            id, false,
            "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Trailer: 1\r\nAttempt-Id: other\r\n"
            "Mesh-Hop: x\r\n\r\n"));
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->id == id);
        CHECK(response->body == body_of(id));
        CHECK_FALSE(response->has_trailer_field);
        const auto& seen = world.inbound_proxies[0]->endpoint.last_request;
        CHECK(seen.body() == "hi");
        CHECK(seen.count("X-Trailer") == 0);
        CHECK(seen.count("Attempt-Id") == 1);
    }
}

TEST_CASE(
    "graceful shutdown while bodies stream in both directions, at the caller's proxy and at the inbound "
    "proxy: "
    "both arrive complete") {
    for (const bool at_inbound_proxy : {false, true}) {
        CAPTURE(at_inbound_proxy);
        World world(1, 1);
        world.inbound_proxies[0]->endpoint.fixed_behavior = Endpoint::Behavior::SlowResponse;
        int ended = 0;
        const std::string up(100'000, 'u');
        const auto drain = [&] {
            (at_inbound_proxy ? world.inbound_proxies[0]->front : world.front).drain([&] { ++ended; }, false);
        };
        std::string id = "a";  // one with a long response
        while (body_of(id).size() < 1000) id += "a";
        const auto response = world.send_once(
            World::request_text(id, false, "Content-Length: 100000\r\n\r\n" + up.substr(0, 70'000)),
            up.substr(70'000), drain);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == body_of(id));
        CHECK(world.inbound_proxies[0]->endpoint.last_request.body() == up);
        CHECK(ended == 0);
    }
}

TEST_CASE("a rejection by an inbound proxy without the request's id is no proof of non-execution") {
    World world(1, 1);
    http::request<IncrementalBody> request{http::verb::post, "/o/x", 11};
    request.set("Attempt-Id", "a");
    const HttpMessage message(std::move(request));
    http::response_header<> refusal;
    refusal.result(http::status::service_unavailable);
    refusal.set("Mesh-Refused", "5");
    const auto classify = [&] {
        return world.hop_protocol().classify(refusal, &message, decision::EndpointId{1});
    };
    CHECK_FALSE(classify());
    refusal.set("Attempt-Id", "b");
    CHECK_FALSE(classify());
    refusal.set("Attempt-Id", "a");
    CHECK(classify() == decision::Status::Rejected);
}

TEST_CASE("endpoints that turn requests away: further arrivals stay within the retry budget") {
    World world(1, 4);
    std::map<std::string, int> arrivals;
    int count = 0;
    for (const auto& proxy : world.inbound_proxies) {
        proxy->endpoint.script = [&](const std::string& id, int) {
            ++arrivals[id];
            Endpoint::Script script;
            script.executes = ++count % 10 >= 3;  // the others are turned away
            script.response = script.executes ? response_text("200 OK", id, "Server-Seal: s\r\n", "")
                                              : response_text("503 Full", id, "Not-Executed: 1\r\n", "");
            return script;
        };
    }
    constexpr int kClients = 4, kRequestsEach = 50;
    REQUIRE(world.run_clients(kClients, kRequestsEach));
    int further_arrivals = 0;
    for (const auto& [id, arrived] : arrivals) further_arrivals += arrived - 1;
    // A tenth of the requests, and the three retries that a full budget holds.
    CHECK(further_arrivals <= kClients * kRequestsEach / 10 + 3);
    for (const auto& [id, request] : world.history.requests) {
        REQUIRE(request.response);
        const unsigned status = request.response->status;
        CHECK((status == 200 || status == 503));
    }
}

TEST_CASE("a body that is still arriving goes to one endpoint alone") {
    World world(1, 2);
    std::vector<std::string> bodies;
    for (const auto& proxy : world.inbound_proxies) {
        proxy->endpoint.script = [&, endpoint = &proxy->endpoint](const std::string& id, int) {
            bodies.push_back(endpoint->last_request.body());
            return Endpoint::Script{response_text("200 OK", id, "Server-Seal: s\r\n", "")};
        };
    }
    const std::string half(100'000, 'x');
    tcp::socket client(world.loop().io());
    client.connect(world.front.local_address());
    asio::write(client,
                asio::buffer(World::request_text("a", true, "Content-Length: 200000\r\n\r\n" + half)));
    const auto pause = [&](Duration duration) {
        const Time end = world.loop().now() + duration;
        world.wait_for([&] { return world.loop().now() >= end; });
    };
    pause(30ms);
    for (const std::uint32_t id : {1U, 2U}) world.withdraw(static_cast<decision::EndpointId>(id));
    pause(500ms);  // longer than a retry waits
    asio::write(client, asio::buffer(half));
    REQUIRE(world.wait_for([&] { return client.available() > 0; }, 5s));
    std::string text(client.available(), '\0');
    asio::read(client, asio::buffer(text));
    CHECK(text.starts_with("HTTP/1.1 200"));
    REQUIRE(bodies.size() == 1);
    CHECK(bodies[0].size() == 2 * half.size());
}
