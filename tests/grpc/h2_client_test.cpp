// The client's side of HTTP/2: every way a call may end, made to happen.
#include "grpc/h2_client.h"

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>

#include <map>
#include <random>

namespace {

using namespace martenford;
using namespace martenford::grpc;
using How = Ending::How;
using decision::Status;

struct Ended : H2Client::Handler {
    std::vector<std::pair<std::int32_t, H2Answer>> all;
    void on_ended(std::int32_t stream, H2Answer&& answer) override {
        all.emplace_back(stream, std::move(answer));
    }
};

std::string frame(std::uint8_t type, std::uint8_t flags, std::int32_t stream, const std::string& payload) {
    const auto size = payload.size();
    const auto id = static_cast<std::uint32_t>(stream);
    std::string out{static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size),
                    static_cast<char>(type),       static_cast<char>(flags),     static_cast<char>(id >> 24),
                    static_cast<char>(id >> 16),   static_cast<char>(id >> 8),   static_cast<char>(id)};
    return out + payload;
}
std::string word(std::uint32_t value) {
    return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
            static_cast<char>(value)};
}
/// Literal fields without indexing (RFC 7541, 6.2.2).
std::string block(const Fields& fields) {
    std::string out;
    for (const auto& [name, value] : fields) {
        out += std::string(1, '\0') + static_cast<char>(name.size()) + name +
               static_cast<char>(value.size()) + value;
    }
    return out;
}

/// A client whose peer says what the test says.
struct Call {
    Ended ended;
    H2Client client;
    std::int32_t id = 0;
    explicit Call(const H2Client::Limits& limits = {}, bool write = true) : client(ended, limits) {
        id = client
                 .send({{":method", "POST"}, {":scheme", "http"}, {":path", "/a.B/C"}, {":authority", "a"}},
                       framed("request"))
                 .value_or(0);
        const std::string out = client.output();
        if (write) client.written(out.size());
        client.feed(frame(NGHTTP2_SETTINGS, 0, 0, ""));
    }
    bool say(const std::string& bytes) { return client.feed(bytes); }
    bool head(const Fields& fields, bool end = false) {
        return say(
            frame(NGHTTP2_HEADERS,
                  static_cast<std::uint8_t>(NGHTTP2_FLAG_END_HEADERS | (end ? NGHTTP2_FLAG_END_STREAM : 0)),
                  id, block(fields)));
    }
    bool data(const std::string& bytes, bool end = false) {
        return say(frame(NGHTTP2_DATA, end ? NGHTTP2_FLAG_END_STREAM : 0, id, bytes));
    }
    bool begin_answer() { return head({{":status", "200"}, {"content-type", "application/grpc"}}); }
    const H2Answer& one() {
        EXPECT_EQ(ended.all.size(), 1u);
        static const H2Answer none;
        return ended.all.empty() ? none : ended.all[0].second;
    }
    void expect(How how, Status outcome, std::uint32_t code = 0) {
        EXPECT_EQ(one().ending.how, how);
        EXPECT_EQ(outcome_of(one().ending), outcome);
        if (code) {
            EXPECT_EQ(one().ending.code, code);
        }
        EXPECT_EQ(client.open(), 0u);
        client.output();
        client.lost();  // says nothing more of it
        EXPECT_EQ(ended.all.size(), 1u);
    }
};

TEST(H2Client, AWholeAnswer) {
    Call call;
    call.begin_answer();
    call.data(framed("an"));
    call.data(framed("swer"));
    call.head({{"grpc-status", "0"}, {"x-more", "1"}}, true);
    call.expect(How::Trailers, Status::Ok);
    EXPECT_EQ(call.one().body, framed("an") + framed("swer"));
    EXPECT_EQ(call.one().trailers, (Fields{{"grpc-status", "0"}, {"x-more", "1"}}));
}

TEST(H2Client, TrailersOnly) {
    Call call;
    call.head({{":status", "200"}, {"grpc-status", "5"}, {"grpc-message", "none"}}, true);
    call.expect(How::Trailers, Status::Ok, 5);
    EXPECT_EQ(call.one().trailers.size(), 2u);
}

TEST(H2Client, AFailureAndATurningAway) {
    Call failed;
    failed.head({{":status", "200"}, {"grpc-status", "14"}}, true);
    failed.expect(How::Trailers, Status::Error, 14);
    Call away;
    away.head({{":status", "200"}, {"grpc-status", "14"}, {"x-not-processed", "1"}}, true);
    away.expect(How::Trailers, Status::Rejected, 14);
    Call proxy;
    proxy.head({{":status", "503"}, {"x-not-processed", "1"}}, true);
    proxy.expect(How::HttpStatus, Status::Rejected, 503);
    Call html;
    html.head({{":status", "502"}, {"content-type", "text/html"}});
    html.data("<html>", true);
    html.expect(How::HttpStatus, Status::Error, 502);
}

TEST(H2Client, TrailersThatNeverCome) {
    Call call;
    call.begin_answer();
    call.data(framed("answer"), true);
    call.expect(How::NoTrailers, Status::Error);
    EXPECT_TRUE(call.one().body.empty());
}

TEST(H2Client, AnEndWithinAMessage) {
    Call call;
    call.begin_answer();
    call.data(framed("answer").substr(0, 7));
    call.head({{"grpc-status", "0"}}, true);
    call.expect(How::HalfMessage, Status::Error);
}

TEST(H2Client, AnswersThatAreTooLargeOrNoMessages) {
    Call flag;
    flag.begin_answer();
    flag.data("<html><body>");
    flag.client.output();
    flag.expect(How::BadFraming, Status::Error);
    H2Client::Limits limits;
    limits.message = 10;
    Call message(limits);
    message.begin_answer();
    message.data(framed(std::string(11, 'x')));
    message.client.output();
    message.expect(How::TooLarge, Status::Error);
    Call head;
    Fields fields{{":status", "200"}};
    for (int i = 0; i < 100; ++i) fields.emplace_back("x-" + std::to_string(i), std::string(100, 'v'));
    head.head(fields);
    head.client.output();
    head.expect(How::TooLarge, Status::Error);
}

TEST(H2Client, ResetsByTheirCodes) {
    Call refused;
    refused.say(frame(NGHTTP2_RST_STREAM, 0, refused.id, word(NGHTTP2_REFUSED_STREAM)));
    refused.expect(How::StreamRefused, Status::Rejected);
    for (const std::uint32_t code : {0u, 1u, 2u, 8u, 11u, 13u, 77u}) {
        Call reset;
        reset.say(frame(NGHTTP2_RST_STREAM, 0, reset.id, word(code)));
        reset.expect(How::StreamReset, Status::Reset);
    }
    // Halfway through its answer, with whatever code.
    Call half;
    half.begin_answer();
    half.data(framed("answer"));
    half.say(frame(NGHTTP2_RST_STREAM, 0, half.id, word(NGHTTP2_CANCEL)));
    half.expect(How::StreamReset, Status::Reset);
}

TEST(H2Client, GoAwayAboveProvesAndBelowDoesNot) {
    Call above;
    above.say(frame(NGHTTP2_GOAWAY, 0, 0, word(0) + word(0)));
    above.expect(How::GoAwayAbove, Status::ConnectFailed);
    EXPECT_FALSE(above.client.takes());
    Call below;
    below.say(frame(NGHTTP2_GOAWAY, 0, 0, word(static_cast<std::uint32_t>(below.id)) + word(0)));
    EXPECT_TRUE(below.ended.all.empty());  // it may still be answered
    EXPECT_FALSE(below.client.takes());
    EXPECT_FALSE(below.client.send({{":method", "POST"}}, ""));
    below.client.lost();
    below.expect(How::GoAwayAtOrBelow, Status::Reset);
    Call answered;
    answered.say(frame(NGHTTP2_GOAWAY, 0, 0, word(static_cast<std::uint32_t>(answered.id)) + word(0)));
    answered.begin_answer();
    answered.head({{"grpc-status", "0"}}, true);
    answered.expect(How::Trailers, Status::Ok);
}

TEST(H2Client, ALostConnectionGoesByWhatWasWritten) {
    Call whole;
    whole.client.lost();
    whole.expect(How::ConnectionLost, Status::Reset);
    Call not_whole({}, false);
    not_whole.client.lost();
    not_whole.expect(How::NotWhole, Status::ConnectFailed);
    // All but the last byte is not whole.
    Ended ended;
    H2Client client(ended, {});
    const Fields head = {{":method", "POST"}, {":scheme", "http"}, {":path", "/a.B/C"}, {":authority", "a"}};
    client.send(head, framed("request"));
    const auto size = client.output().size();
    client.written(size - 1);
    client.lost();
    ASSERT_EQ(ended.all.size(), 1u);
    EXPECT_EQ(ended.all[0].second.ending.how, How::NotWhole);
    // And with the last byte it is, also where other frames were given out after it.
    Ended again;
    H2Client second(again, {});
    second.send(head, framed("one"));
    const auto first_size = second.output().size();
    second.send(head, framed("two"));
    second.output();
    second.written(first_size);
    second.lost();
    ASSERT_EQ(again.all.size(), 2u);
    EXPECT_EQ(again.all[0].second.ending.how, How::ConnectionLost);
    EXPECT_EQ(again.all[1].second.ending.how, How::NotWhole);
}

TEST(H2Client, KeepsToThePeersStreams) {
    Ended ended;
    H2Client client(ended, {});
    client.output();
    client.feed(frame(NGHTTP2_SETTINGS, 0, 0, std::string("\0\x03", 2) + word(2)));
    const Fields head = {{":method", "POST"}, {":scheme", "http"}, {":path", "/a.B/C"}, {":authority", "a"}};
    EXPECT_TRUE(client.send(head, ""));
    const auto second = client.send(head, "");
    ASSERT_TRUE(second);
    EXPECT_FALSE(client.takes());
    EXPECT_FALSE(client.send(head, ""));
    EXPECT_FALSE(client.begun(*second));
    client.output();
    EXPECT_TRUE(client.begun(*second));
    client.cancel(*second);
    EXPECT_TRUE(client.takes());
    EXPECT_TRUE(ended.all.empty());  // a cancelled one says nothing
}

/// Both sides of this package against one another: each call is answered once, with its own answer.
TEST(H2Client, AgainstItsOwnServerUnderRandomOrder) {
    struct Server : H2Server::Handler {
        H2Server* side = nullptr;
        std::vector<H2Request> waiting;
        std::size_t left = 0;
        void on_request(H2Request&& request) override { waiting.push_back(std::move(request)); }
        void on_left(std::int32_t stream) override {
            ++left;
            std::erase_if(waiting, [&](const H2Request& r) { return r.stream == stream; });
        }
    };
    std::mt19937 random(12);
    Ended ended;
    H2Client client(ended, {});
    Server handler;
    H2Server server(handler, {});
    handler.side = &server;
    std::map<std::int32_t, std::string> sent;
    std::size_t cancelled = 0;
    Time now{1h};
    for (int step = 0; step < 20'000 || client.open() > 0; ++step) {
        now += 1ms;
        const auto what = random() % 10;
        if (what < 4 && step < 20'000 && client.takes()) {
            const std::string body =
                framed(std::string(random() % 3'000, static_cast<char>('a' + random() % 26)));
            const auto id = client.send(
                {{":method", "POST"}, {":scheme", "http"}, {":path", "/a.B/C"}, {":authority", "a"}}, body);
            ASSERT_TRUE(id);
            sent[*id] = body;
        } else if (what < 8 && !handler.waiting.empty()) {
            const auto i = random() % handler.waiting.size();
            const H2Request request = std::move(handler.waiting[i]);
            handler.waiting.erase(handler.waiting.begin() + static_cast<std::ptrdiff_t>(i));
            server.respond(request.stream, {{":status", "200"}}, request.body, {{"grpc-status", "0"}});
        } else if (what == 8 && random() % 30 == 0 && !sent.empty()) {
            const auto id =
                std::next(sent.begin(), static_cast<std::ptrdiff_t>(random() % sent.size()))->first;
            client.cancel(id);
            sent.erase(id);
            ++cancelled;
        }
        const std::string out = client.output(1 + random() % 5'000);
        client.written(out.size());
        ASSERT_TRUE(server.feed(out, now));
        ASSERT_TRUE(client.feed(server.output(1 + random() % 5'000)));
        for (const auto& [id, answer] : ended.all) {
            ASSERT_EQ(answer.ending.how, How::Trailers);
            ASSERT_EQ(answer.body, sent.at(id));
            sent.erase(id);
        }
        ended.all.clear();
    }
    EXPECT_TRUE(sent.empty());
    EXPECT_GT(cancelled, 20u);
    EXPECT_GT(server.figures().requests, 3'000u);
}

// Guards against a peer that takes memory or time without end: none of these frames is counted by nghttp2
// alone.
TEST(H2Client, FramesWithoutEndEndTheConnectionOrTheStream) {
    const auto ping = frame(NGHTTP2_PING, 0, 0, std::string(8, 'p'));
    const auto settings = frame(NGHTTP2_SETTINGS, 0, 0, "");
    const auto continuation = frame(NGHTTP2_CONTINUATION, 0, 1, block({{"a", std::string(100, 'v')}}));
    const auto empty_data = frame(NGHTTP2_DATA, 0, 1, "");
    const auto interim = frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_END_HEADERS, 1, block({{":status", "100"}}));
    const std::vector<std::pair<const char*, std::string>> pieces = {{"ping", ping},
                                                                     {"settings", settings},
                                                                     {"continuation", continuation},
                                                                     {"empty data", empty_data},
                                                                     {"interim", interim}};
    for (const auto& [name, piece] : pieces) {
        Call call;
        if (piece == continuation) call.say(frame(NGHTTP2_HEADERS, 0, 1, block({{":status", "200"}})));
        if (piece == empty_data) call.begin_answer();
        bool open = true;
        int said = 0;
        for (; said < 5000 && open && call.ended.all.empty(); ++said) {
            open = call.say(piece);
            call.client.output();
        }
        EXPECT_TRUE(!open || !call.ended.all.empty()) << name;
    }
}

}  // namespace
