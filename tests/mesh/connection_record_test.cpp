// What a listener records of its connections, and that it writes one answer to one request: a listener with a
// protocol of the test's own, and a request handler that the test answers for.
#include "http1/connection_record.h"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/loop.h"
#include "http1/listener.h"
#include "http1/protocol.h"

using namespace martenford;

namespace {

constexpr std::size_t kLongBody = 200'000;  // it goes on as it comes

/// Requests are named by Attempt-Id, and so are answers.
class NamingProtocol : public ServerProtocol {
  public:
    [[nodiscard]] const ListenerLimits& limits() const override { return limits_; }
    [[nodiscard]] DrainTimes drain_times() const override { return {100ms, 100ms, 400ms, 100ms, 1'000'000}; }
    std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) override {
        decision::Request request;
        request.id = std::string(head["Attempt-Id"]);
        request.deadline = arrived + 5s;
        return request;
    }
    void write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) override {
        if (answer.head) head.result(http::status::ok);
    }
    [[nodiscard]] bool is_answer_to(const Answer& answer, const decision::RequestId& id) const override {
        const auto* endpoint_head = static_cast<const HttpAnswerHead*>(answer.head.get());
        return !endpoint_head || endpoint_head->fields["Attempt-Id"] == id;
    }
    void on_withheld(const Answer&, const decision::RequestId&, const ConnectionRecord& record) override {
        records.push_back(record.text());
    }
    std::vector<std::string> records;  // of the connections whose answer was withheld

  private:
    ListenerLimits limits_;
};

struct Listener : RequestHandler {
    Listener() {
        front.listen(*parse_address("127.0.0.1:0"));
        client.connect(front.local_address());
    }
    bool submit(decision::Request, std::shared_ptr<const Message> message, Reply reply) override {
        replies.push_back(std::move(reply));
        // A body that goes on as it comes is read to its end.
        if (const auto body = std::static_pointer_cast<const HttpMessage>(message)->rest)
            body->on_readable([body = body.get()] { body->take(); });
        return true;
    }
    void body_received(const decision::RequestId&, Time) override {}
    void client_disconnected(const decision::RequestId&) override {
        if (on_leave) on_leave();
    }

    void run_for(Duration duration) {
        loop.add(loop.now() + duration, [this] { loop.stop(); });
        loop.resume();
        loop.run();
    }
    void write(const std::string& text) {
        asio::write(client, asio::buffer(text));
        run_for(20ms);
    }
    void reply(std::size_t request, const std::string& id, std::shared_ptr<Pipe> rest = nullptr) {
        auto head = std::make_shared<HttpAnswerHead>();
        head->fields.set("Attempt-Id", id);
        head->origin = {decision::EndpointId{3}, 12, 4, 1};
        Answer answer{Answer::Kind::Served, "body of " + id, "", {}};
        answer.head = std::move(head);
        answer.rest = std::move(rest);
        replies.at(request)(std::move(answer));
        run_for(20ms);
    }
    /// What the client received so far.
    std::string received_text() {
        std::string text(client.available(), '\0');
        asio::read(client, asio::buffer(text));
        return text;
    }

    EventLoop loop;
    Counters counters;
    NamingProtocol protocol;
    std::vector<Reply> replies;
    std::function<void()> on_leave;
    HttpListener front{loop, *this, protocol, 16, [] { return true; }, counters};
    asio::ip::tcp::socket client{loop.io()};
};

std::string request_text(const std::string& id) {
    return "GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\n\r\n";
}

}  // namespace

TEST_CASE("a withheld answer's record tells what its connection carried, and where the answer came from") {
    Listener listener;
    listener.write(request_text("a"));
    const std::string next = request_text("b");
    listener.write(next);  // early
    listener.reply(0, "a");
    listener.reply(1, "a");
    REQUIRE(listener.protocol.records.size() == 1);
    CHECK(listener.protocol.records[0] ==
          "connection=1; #1 a unparsed=0 early=" + std::to_string(next.size()) +
              " 200 3/12/4 skipped=1; #2 b unparsed=0 early=0");
    CHECK(listener.front.early_reads() == 1);
    CHECK(listener.received_text().find("502 Bad Gateway") != std::string::npos);
}

TEST_CASE("a record keeps a connection's last requests, and bounds their names") {
    ConnectionRecord record(7);
    for (int i = 1; i <= 6; ++i) {
        record.add_request(static_cast<std::size_t>(i));
        record.set_name(std::string(100, 'x'));
        record.set_answer(503, {});
    }
    const std::string name(ConnectionRecord::kMaxNameBytes, 'x');
    std::string expected = "connection=7";
    for (const std::string number : {"3", "4", "5", "6"})
        expected += "; #" + number + " " + name + " unparsed=" + number + " early=0 503 own";
    CHECK(record.text() == expected);
}

TEST_CASE("a request whose body breaks off while its answer is held gets one answer") {
    for (const bool ends_at_once : {true, false}) {
        CAPTURE(ends_at_once);
        Listener listener;
        listener.write(
            "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" +
            std::string(kLongBody / 2, 'x'));
        REQUIRE(listener.replies.size() == 1);
        listener.front.drain([] {}, false);
        const auto rest = std::make_shared<Pipe>(kLongBody);
        listener.reply(0, "a", rest);  // held until it is whole
        CHECK(listener.received_text().empty());
        // Whoever sends the answer ends it when the request is given up, or later.
        if (ends_at_once) listener.on_leave = [rest] { rest->fail(); };
        listener.write(std::string(kLongBody / 2, 'x') + "\r\nno chunk\r\n");
        rest->finish();
        listener.run_for(50ms);
        const std::string text = listener.received_text();
        CHECK(text.starts_with("HTTP/1.1 400 Bad Request"));
        CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
    }
}
