// Draining of HttpListener: it calls back once, and not before all accepted requests are answered. With a
// bound for held answers it begins none that could break off at the process's end.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "http1/held_answer.h"
#include "http1/listener.h"
#include "http1/protocol.h"

using namespace martenford;

namespace {

struct Fixture : ServerProtocol, RequestHandler {
    const ListenerLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override { return times; }
    std::variant<decision::Request, LocalReply> read(Fields&, Time arrived) override {
        decision::Request request;
        request.id = "1";
        request.deadline = arrived + time_left;
        return request;
    }
    void write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) override {
        if (answer.kind == Answer::Kind::Served) head.result(200);
    }
    bool submit(decision::Request, std::shared_ptr<const Message>, Reply reply) override {
        pending_reply = std::move(reply);
        return true;
    }
    void body_received(const decision::RequestId&, Time) override {}
    void client_disconnected(const decision::RequestId&) override { ++left; }

    template <class Condition>
    void wait_for(Condition condition) {
        for (int i = 0; i < 4000 && !condition(); ++i) run_turns(1);
        REQUIRE(condition());
    }
    /// Runs the loop for 1 ms, so many times.
    void run_turns(int count) {
        for (int i = 0; i < count; ++i) {
            loop.add(loop.now() + 1ms, [this] { loop.stop(); });
            loop.resume();
            loop.run();
        }
    }

    EventLoop loop;
    Counters counters;
    ListenerLimits limits_;
    Reply pending_reply;
    DrainTimes times{1ms, 1ms, 2ms, 1ms};
    Duration time_left{10s};
    int left = 0;
};

/// A front in a drain, with one request whose answer is still to come.
struct HoldFixture : Fixture {
    HoldFixture(Duration answers_end, std::size_t max_held_bytes) {
        times = {1ms, 1ms, answers_end, 1ms, max_held_bytes};
    }
    /// A request is taken, and the drain begins.
    void begin() {
        front.listen(*parse_address("127.0.0.1:0"));
        client.connect(front.local_address());
        asio::write(client,
                    asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
        wait_for([this] { return static_cast<bool>(pending_reply); });
        front.drain([] {}, false);
        read();
    }
    /// The answer's first bytes come, and those of `rest` later.
    void answer(const std::string& first, std::optional<std::uint64_t> length = {}) {
        Answer answer{Answer::Kind::Served, first, "", {}};
        answer.rest = rest;
        answer.length = length;
        pending_reply(std::move(answer));
    }
    void read() {
        client.async_read_some(asio::buffer(chunk), [this](const error_code& error, std::size_t size) {
            received.append(chunk.data(), size);
            if (error) {
                ended = true;
            } else {
                read();
            }
        });
    }
    void wait_for_end() {
        wait_for([this] { return ended; });
        error_code ignored;
        client.close(ignored);
    }

    HttpListener front{loop, *this, *this, 16, [] { return true; }, counters};
    asio::ip::tcp::socket client{loop.io()};
    std::shared_ptr<Pipe> rest = std::make_shared<Pipe>(1000);
    std::array<char, 512> chunk{};
    std::string received;
    bool ended = false;
};

}  // namespace

TEST_CASE("a drained front calls back once, after its last response was sent") {
    Fixture fixture;
    HttpListener front(
        fixture.loop, fixture, fixture, 16, [] { return true; }, fixture.counters);
    front.listen(*parse_address("127.0.0.1:0"));
    asio::ip::tcp::socket idle(fixture.loop.io()), busy(fixture.loop.io());
    idle.connect(front.local_address());
    busy.connect(front.local_address());
    asio::write(busy, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    fixture.wait_for([&] { return static_cast<bool>(fixture.pending_reply); });
    int ended = 0;
    front.drain([&] { ++ended; }, false);
    fixture.wait_for([&] { return !front.listening(); });
    CHECK(ended == 0);
    fixture.pending_reply(Answer{Answer::Kind::Served, "x", "", {}});
    // Both clients close; the busy one after its last response.
    error_code error;
    idle.close(error);
    busy.close(error);
    fixture.wait_for([&] { return ended > 0; });
    fixture.run_turns(20);
    CHECK(ended == 1);
}

TEST_CASE("a drained front with only idle connections calls back once") {
    Fixture fixture;
    HttpListener front(
        fixture.loop, fixture, fixture, 16, [] { return true; }, fixture.counters);
    front.listen(*parse_address("127.0.0.1:0"));
    asio::ip::tcp::socket idle(fixture.loop.io());
    idle.connect(front.local_address());
    int ended = 0;
    front.drain([&] { ++ended; }, false);
    fixture.wait_for([&] { return ended > 0; });
    fixture.run_turns(20);
    CHECK(ended == 1);
}

TEST_CASE("held answer: nothing is written before the last byte has come, then all of it with its length") {
    HoldFixture fixture(5s, 1000);
    fixture.begin();
    fixture.answer("first ", 10);
    fixture.rest->put("la");
    fixture.run_turns(20);
    CHECK(fixture.received.empty());
    CHECK(fixture.front.backlog().awaited_answers == 1);
    fixture.rest->put("st");
    fixture.rest->finish();
    fixture.wait_for_end();
    CHECK(fixture.received.starts_with("HTTP/1.1 200"));
    CHECK(fixture.received.find("Content-Length: 10\r\n") != std::string::npos);
    CHECK(fixture.received.ends_with("\r\n\r\nfirst last"));
    CHECK(fixture.front.backlog().awaited_answers == 0);
}

TEST_CASE("held answer: one whose rest breaks off is answered 502, never a part of it") {
    HoldFixture fixture(5s, 1000);
    fixture.begin();
    fixture.answer("first");
    fixture.rest->fail();
    fixture.wait_for_end();
    CHECK(fixture.received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.received.find("first") == std::string::npos);
}

TEST_CASE("held answer: one that is not whole at the end of the drain is given up with 502") {
    HoldFixture fixture(30ms, 1000);
    fixture.begin();
    fixture.answer("first");
    fixture.wait_for_end();
    CHECK(fixture.received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.rest->reader_closed());
}

TEST_CASE(
    "end of the drain: a request that has no answer at all is given up with 502, and its request handler is "
    "told") {
    HoldFixture fixture(30ms, 1000);
    fixture.begin();
    fixture.wait_for_end();
    CHECK(fixture.received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.left == 1);
    fixture.answer("late");  // nobody is there any more
    CHECK(fixture.rest->reader_closed());
}

TEST_CASE("held answer: what exceeds the bound is passed on as it comes, with all its bytes") {
    for (const std::optional<std::uint64_t> length : {std::optional<std::uint64_t>{}, {12}}) {
        HoldFixture fixture(5s, 8);
        fixture.begin();
        fixture.answer("abc", length);
        fixture.rest->put("defghijkl");
        fixture.wait_for([&] { return !fixture.received.empty(); });
        fixture.rest->finish();
        fixture.wait_for_end();
        CHECK(fixture.received.starts_with("HTTP/1.1 200"));
        // In chunks where the length is not known.
        const std::string body = fixture.received.substr(fixture.received.find("\r\n\r\n") + 4);
        CHECK(body == (length ? "abcdefghijkl" : "c\r\nabcdefghijkl\r\n0\r\n\r\n"));
    }
}

TEST_CASE("held answer: none is held where its deadline is over before the drain is") {
    HoldFixture fixture(5s, 1000);
    fixture.time_left = 2s;
    fixture.begin();
    fixture.answer("first ");
    fixture.wait_for([&] { return !fixture.received.empty(); });
    CHECK(fixture.received.starts_with("HTTP/1.1 200"));
    fixture.rest->finish();
    fixture.wait_for_end();
}

TEST_CASE("held answer: a writer that goes on while it is read loses nothing") {
    const auto limit = std::make_shared<ByteBudget>(1000);
    Answer answer{Answer::Kind::Served, "a", "", {}};
    const auto rest = answer.rest = std::make_shared<Pipe>(1);
    std::string still_to_come = "cde";
    rest->on_writable([&] {
        if (still_to_come.empty()) return rest->finish();
        rest->put(still_to_come.substr(0, 1));
        still_to_come.erase(0, 1);
    });
    auto held = std::make_unique<HeldAnswer>(std::move(answer), limit);
    std::string body;
    held->start([&](HeldAnswer::End end) {
        CHECK(end == HeldAnswer::End::Complete);
        const auto ended = std::exchange(held, nullptr);
        body = ended->take().body;
    });
    rest->put("b");
    CHECK(body == "abcde");
    CHECK(held == nullptr);
    CHECK(limit->held_bytes() == 0);
}

// Guards against a controller over its memory limit: 100 calls of 8 MB that do not end took 790 MB.
TEST_CASE("bodies that arrive on many connections are bounded together, and room is made by those that end") {
    constexpr std::size_t kLimit = 100'000;
    constexpr std::size_t kStated = 70'000;
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kStated) + "\r\n\r\n";
    Fixture fixture;
    fixture.limits_.max_buffered_body_bytes = kStated;
    fixture.limits_.max_arriving_body_bytes = kLimit;
    HttpListener front(
        fixture.loop, fixture, fixture, 16, [] { return true; }, fixture.counters);
    front.listen(*parse_address("127.0.0.1:0"));
    const auto begin = [&](asio::ip::tcp::socket& client) {
        client.connect(front.local_address());
        asio::write(client, asio::buffer(head + std::string(kStated - 1, 'x')));
    };
    const auto status = [&](asio::ip::tcp::socket& client) {
        fixture.wait_for([&] { return client.available() >= 12; });
        std::string line(12, ' ');
        asio::read(client, asio::buffer(line));
        return line.substr(9);
    };
    asio::ip::tcp::socket first(fixture.loop.io());
    asio::ip::tcp::socket second(fixture.loop.io());
    asio::ip::tcp::socket third(fixture.loop.io());
    begin(first);
    fixture.run_turns(50);  // a turn reads 4 kB of each connection
    begin(second);
    CHECK(status(second) == "503");

    // The first one completes, and its request is passed on: its body counts no longer.
    asio::write(first, asio::buffer(std::string("x")));
    fixture.wait_for([&] { return static_cast<bool>(fixture.pending_reply); });
    begin(third);
    fixture.run_turns(50);
    error_code ignored;
    third.close(ignored);
    fixture.run_turns(50);

    // So does that of a connection that was closed.
    asio::ip::tcp::socket fourth(fixture.loop.io());
    fixture.pending_reply = nullptr;
    begin(fourth);
    asio::write(fourth, asio::buffer(std::string("x")));
    fixture.wait_for([&] { return static_cast<bool>(fixture.pending_reply); });
}
