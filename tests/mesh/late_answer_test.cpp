// Second answers that come late, on a connection where another answer is expected by then: each must be
// recognized for what it is, wherever the Attempt-Id alone does not tell (docs/incidents/mixed.md).
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "hop_world.h"
#include "http1/answer_head.h"
#include "http1/exchange_record.h"

using namespace martenford;
using namespace martenford::hop_world;

namespace {

/// The late answer comes while the second arrival of its request is at work.
constexpr Duration kLateAfter = 40ms;
constexpr Duration kServiceTime = 120ms;

std::string success(const std::string& id, const std::string& seal, const std::string& body = "body") {
    return response_text("200 OK", id, "Server-Seal: " + seal + "\r\n", body);
}
std::string rejection(const std::string& id) {
    return response_text("503 Full", id, "Not-Executed: 1\r\n", "");
}

/// Rejects the first arrival of each request and sends `late_response` to it; serves all further ones.
Endpoint::ScriptFunction reject_first_then(std::function<std::string(const std::string& id)> late_response) {
    return [late_response = std::move(late_response)](const std::string& id, int arrival) {
        Endpoint::Script script;
        script.executes = arrival > 1;
        if (arrival > 1) {
            script.response = success(id, "own");
            script.delay = kServiceTime;
        } else {
            script.response = rejection(id);
            script.late_response = late_response(id);
            script.late_after = kLateAfter;
        }
        return script;
    };
}

/// Passes requests on to nobody; the test answers them.
struct ListenerFixture : RequestHandler {
    ListenerFixture() { front.listen(*parse_address("127.0.0.1:0")); }
    bool submit(decision::Request request, std::shared_ptr<const Message>, Reply reply) override {
        taken.push_back(request.id);
        replies.push_back(std::move(reply));
        return true;
    }
    void body_received(const decision::RequestId&, Time) override {}
    void client_disconnected(const decision::RequestId&) override {}

    /// Sends one more request on the client's connection.
    void write(const std::string& id) {
        if (!client.is_open()) client.connect(front.local_address());
        asio::write(client, asio::buffer(World::request_text(id, true)));
    }
    /// Sends one more request on the client's connection, and waits until it was taken.
    void send(const std::string& id) {
        const std::size_t expected = replies.size() + 1;
        write(id);
        run_until([&] { return replies.size() == expected; });
    }
    void run_for(Duration duration) {
        const Time end = world.loop().now() + duration;
        run_until([&] { return world.loop().now() >= end; });
    }
    /// Returns what the client received by 60 ms from now.
    std::string receive() {
        run_for(60ms);
        std::string text(client.available(), '\0');
        asio::read(client, asio::buffer(text));
        return text;
    }
    template <class Condition>
    void run_until(Condition condition) {
        REQUIRE(world.wait_for(condition, 5s));
    }
    static Answer answer_to(const std::string& id, const std::string& seal) {
        auto head = std::make_shared<HttpAnswerHead>();
        head->status = 200;
        head->fields.set("Attempt-Id", id);
        head->fields.set("Server-Seal", seal);
        Answer answer{Answer::Kind::Served, "body of " + id, "", {}};
        answer.head = std::move(head);
        return answer;
    }

    World world{1, 0};  // its loop, and its protocol for clients
    Counters counters;
    std::vector<std::string> taken;  // ids of the requests, in order
    std::vector<Reply> replies;      // of the same
    HttpListener front{world.loop(), *this, world.server_protocol(), 16, [] { return true; }, counters};
    tcp::socket client{world.loop().io()};
};

}  // namespace

TEST_CASE("a request that is offered again does not get a late success to its rejected first arrival") {
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        World world(1, 1);
        Endpoint& endpoint = world.inbound_proxies[0]->endpoint;
        endpoint.script = reject_first_then([](const std::string& id) { return success(id, "foreign"); });
        const auto response = world.send_once(World::request_text("a", idempotent));
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->seal == "own");
        CHECK(world.history.executions["a"] == 1);
    }
}

TEST_CASE("a late rejection of a request's first arrival is no proof that its second one did not run") {
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        World world(1, 1);
        Endpoint& endpoint = world.inbound_proxies[0]->endpoint;
        endpoint.script = reject_first_then(rejection);
        const auto response = world.send_once(World::request_text("a", idempotent));
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(world.history.executions["a"] == 1);
    }
}

// Guards against a request that runs twice, or an answer with another's status: the beginning of a surplus
// answer, cut at any byte, joins with the head of the next answer on the connection.
TEST_CASE("the beginning of a surplus answer, cut at any byte, decides nothing of the next request") {
    const std::string date = "Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n";
    const std::string end = "Attempt-Id: a\r\nContent-Length: 0\r\n\r\n";
    const std::string rejected = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + date + end;
    const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n" + date + end;
    const std::string served = "HTTP/1.1 200 OK\r\nServer-Seal: a\r\n" + date + end;
    const std::string failure = response_text("500 Failed", "b", "Server-Seal: b\r\n", "");
    for (const std::string& surplus : {rejected, misdirected, served}) {
        const bool next_fails = surplus == served;
        for (std::size_t cut = 1; cut < surplus.size(); ++cut) {
            CAPTURE(surplus.substr(0, cut));
            World world(1, 1);
            Endpoint& endpoint = world.inbound_proxies[0]->endpoint;
            endpoint.script = [&](const std::string& id, int) {
                Endpoint::Script script;
                script.response = id == "a" ? success(id, id) : next_fails ? failure : success(id, id);
                if (id == "b") script.response.insert(0, surplus, 0, cut);
                return script;
            };
            REQUIRE(world.send_once(World::request_text("a", true)));
            const auto response = world.send_once(World::request_text("b", false));
            REQUIRE(response);
            CHECK(world.history.executions["b"] == 1);
            if (response->status == 200) CHECK((!next_fails && response->seal == "b"));
        }
    }
}

TEST_CASE("a head that has a deciding field, or its length, twice is not that of one answer") {
    constexpr std::array<std::string_view, 2> kOnce{"Attempt-Id", "Not-Executed"};
    for (const std::string name : {"Attempt-Id", "Not-Executed", "Content-Length", "Server"}) {
        CAPTURE(name);
        http::response_header<> head;
        head.insert(name, "1");
        CHECK(is_one_answer(head, kOnce));
        head.insert(name, "1");
        CHECK(is_one_answer(head, kOnce) == (name == "Server"));
    }
    http::response_header<> head;
    head.insert("Via", "HTTP/1.1 proxy, 1.1 HTTP/1.10 200");
    CHECK(is_one_answer(head, kOnce));
    head.insert("Date", "FriHTTP/1.1 200 OK");
    CHECK_FALSE(is_one_answer(head, kOnce));
}

TEST_CASE("late answers to earlier requests leave a connection usable for others") {
    World world(1, 1);
    Endpoint& endpoint = world.inbound_proxies[0]->endpoint;
    endpoint.script = [](const std::string& id, int) {
        Endpoint::Script script;
        script.response = success(id, id);
        script.delay = id == "a" ? Duration{} : kServiceTime;
        script.late_response = id == "a" ? success(id, id, std::string(90'000, 'x')) : "";
        script.late_after = kLateAfter;
        return script;
    };
    REQUIRE(world.send_once(World::request_text("a", true)));
    const auto response = world.send_once(World::request_text("b", false));
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->seal == "b");
    CHECK(endpoint.connections == 1);
}

TEST_CASE("a health probe is not decided by a late answer to an earlier request") {
    World world(1, 1);
    Endpoint& endpoint = world.inbound_proxies[0]->endpoint;
    endpoint.script = [](const std::string& id, int) {
        Endpoint::Script script;
        const bool is_probe = id.empty();
        script.response =
            is_probe ? response_text("200 OK", "", "Instance-Id: i-1\r\n", "") : success(id, id);
        script.delay = is_probe ? kServiceTime : Duration{};
        script.late_response = is_probe ? "" : success(id, id);
        script.late_after = kLateAfter;
        return script;
    };
    REQUIRE(world.send_once(World::request_text("a", true)));
    std::optional<decision::Status> health;
    world.inbound_proxies[0]->to_endpoint.probe(decision::EndpointId{1},
                                                [&](Result&& result) { health = result.status; });
    REQUIRE(world.wait_for([&] { return health.has_value(); }, 5s));
    CHECK(*health == decision::Status::Ok);
}

TEST_CASE("a second answer behind one without a length does not become the end of a whole body") {
    World world(1, 1);
    world.inbound_proxies[0]->endpoint.script = [](const std::string& id, int) {
        Endpoint::Script script;
        script.response = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: own\r\n\r\n" +
                          std::string(90'000, 'x');
        script.late_response = success(id, "foreign");
        script.late_after = kLateAfter;
        script.closes = true;
        return script;
    };
    const auto response = world.send_once(World::request_text("a", true));
    CHECK_FALSE((response && response->status == 200));
}

TEST_CASE(
    "a request that comes before its predecessor's answer has gone out is taken once, and the next one too") {
    for (const bool longer : {true, false}) {
        CAPTURE(longer);
        ListenerFixture listener;
        listener.send("first");
        listener.write("second");
        listener.run_for(20ms);  // read while the first one waits
        listener.replies[0](ListenerFixture::answer_to("first", "1"));
        listener.run_until([&] { return listener.replies.size() == 2; });
        listener.replies[1](ListenerFixture::answer_to("second", "2"));
        listener.run_for(20ms);
        listener.write(longer ? "a third request" : "third");
        listener.run_for(60ms);
        REQUIRE(listener.taken.size() == 3);
        CHECK(listener.taken[2] == (longer ? "a third request" : "third"));
    }
}

TEST_CASE("a listener gives an earlier request's answer to no later request on its connection") {
    ListenerFixture listener;
    listener.send("a");
    listener.replies[0](ListenerFixture::answer_to("a", "1"));
    CHECK(listener.receive().find("body of a") != std::string::npos);
    listener.send("b");
    listener.replies[0](ListenerFixture::answer_to("a", "1"));
    CHECK(listener.receive().empty());
    listener.replies[1](ListenerFixture::answer_to("b", "2"));
    const std::string received = listener.receive();
    CHECK(received.find("body of a") == std::string::npos);
    CHECK(received.find("body of b") != std::string::npos);
}

TEST_CASE("a listener withholds an endpoint's answer that bears another request's Attempt-Id") {
    ListenerFixture listener;
    listener.send("b");
    listener.replies[0](ListenerFixture::answer_to("a", "1"));
    const std::string received = listener.receive();
    CHECK(received.find("Server-Seal") == std::string::npos);
    CHECK(received.find("body of a") == std::string::npos);
    CHECK(received.starts_with("HTTP/1.1 502 "));
}

TEST_CASE("an exchange record knows the names it was given, and is full at its bound") {
    ExchangeRecord record;
    record.add("");
    CHECK_FALSE(record.contains(""));
    for (std::size_t i = 0; i < ExchangeRecord::kMaxExchanges; ++i) {
        CHECK_FALSE(record.full());
        CHECK_FALSE(record.contains(std::to_string(i)));
        record.add(std::to_string(i));
    }
    CHECK(record.full());
    CHECK(record.contains("0"));
    CHECK(record.contains("1023"));
}
