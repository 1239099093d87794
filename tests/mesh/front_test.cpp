// Draining of Http1Front: it calls back once, and not before all accepted requests are answered.
#include "http1/front.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include "http1/protocol.h"

using namespace martenford;

namespace {

struct Fixture : ServerProtocol, Desk {
    const FrontLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override { return {1ms, 1ms, 2ms, 1ms}; }
    std::variant<decision::Request, TurnAway> read(Fields&, Time arrived) override {
        decision::Request request;
        request.id = "1";
        request.deadline = arrived + 10s;
        return request;
    }
    void write(const Answer&, const decision::RequestId&, http::response_header<>& head) override {
        head.result(200);
    }
    bool take(decision::Request, std::shared_ptr<const Message>, Reply reply) override {
        pending_reply = std::move(reply);
        return true;
    }
    void received(const decision::RequestId&, Time) override {}
    void leave(const decision::RequestId&) override {}

    template <class Condition>
    void wait_for(Condition condition) {
        for (int i = 0; i < 4000 && !condition(); ++i) {
            loop.add(loop.now() + 1ms, [this] { loop.stop(); });
            loop.resume();
            loop.run();
        }
        REQUIRE(condition());
    }

    Loop loop;
    Counters counters;
    FrontLimits limits_;
    Reply pending_reply;
};

}  // namespace

TEST_CASE("a drained front calls back once, after its last response was sent") {
    Fixture fixture;
    Http1Front front(
        fixture.loop, fixture, fixture, 16, [] { return true; }, fixture.counters);
    front.listen(*parse_address("127.0.0.1:0"));
    asio::ip::tcp::socket idle(fixture.loop.io()), busy(fixture.loop.io());
    idle.connect(front.listens_at());
    busy.connect(front.listens_at());
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
    for (int i = 0; i < 20; ++i) fixture.wait_for([] { return true; });
    CHECK(ended == 1);
}

TEST_CASE("a drained front with only idle connections calls back once") {
    Fixture fixture;
    Http1Front front(
        fixture.loop, fixture, fixture, 16, [] { return true; }, fixture.counters);
    front.listen(*parse_address("127.0.0.1:0"));
    asio::ip::tcp::socket idle(fixture.loop.io());
    idle.connect(front.listens_at());
    int ended = 0;
    front.drain([&] { ++ended; }, false);
    fixture.wait_for([&] { return ended > 0; });
    for (int i = 0; i < 20; ++i) fixture.wait_for([] { return true; });
    CHECK(ended == 1);
}
