// What readers keep of their peers' bytes is bounded: by one budget for all connections, and for each of them
// whatever its peer sends.
#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "core/byte_budget.h"
#include "framing/frame.h"
#include "http1/http.h"
#include "rpc/channel.h"

using namespace martenford;

namespace {

/// The two ends of a connection on loopback.
struct ConnectedSockets {
    explicit ConnectedSockets(EventLoop& loop) : ours(loop.io()), peers(loop.io()) {
        asio::ip::tcp::acceptor acceptor(loop.io(), *parse_address("127.0.0.1:0"));
        peers.connect(acceptor.local_endpoint());
        acceptor.accept(ours);
    }
    asio::ip::tcp::socket ours, peers;
};

void run_until(EventLoop& loop, const std::function<bool()>& condition) {
    const Time give_up_at = loop.now() + 5s;
    while (!condition() && loop.now() < give_up_at) {
        loop.add(loop.now() + 1ms, [&loop] { loop.stop(); });
        loop.resume();
        loop.run();
    }
    REQUIRE(condition());
}

/// The beginning of an answer, and what a peer may then repeat without end.
struct Grammar {
    std::vector<std::string> beginnings, pieces;
};

Grammar answer_grammar() {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    return {{"", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nName: ", sized, chunked,
             chunked + "0", chunked + "1;", chunked + "1\r\nx\r\n0\r\n", chunked + "1\r\nx\r\n0\r\nName: ",
             "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"},
            {"0",
             "1",
             "f",
             " ",
             "\t",
             "\r\n",
             "\n",
             "\r",
             ";e",
             "=",
             "x",
             std::string(1, '\0'),
             "\xff",
             "Name: v\r\n",
             " folded\r\n",
             "1\r\nx\r\n",
             "1;e\r\nx\r\n",
             "0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"}};
}

}  // namespace

TEST_CASE("received bytes: a reservation that does not fit changes nothing, and an ended one makes room") {
    const auto budget = std::make_shared<ByteBudget>(100);
    ByteReservation first(budget);
    CHECK(first.resize(60));
    {
        ByteReservation second(budget);
        CHECK(second.resize(40));
        CHECK_FALSE(second.resize(41));
        CHECK(second.bytes() == 40);
        CHECK(budget->held_bytes() == 100);
    }
    CHECK(first.resize(100));
    budget->set_max_bytes(10);
    CHECK_FALSE(first.resize(101));
    CHECK(first.resize(5));
    CHECK(budget->held_bytes() == 5);
}

// Guards against controllers whose connections each keep the beginning of a frame of 16 MiB: 4,096 may be
// open.
TEST_CASE("received bytes: incomplete frames on many channels are bounded together") {
    constexpr std::size_t kMaxBytes = 1'000'000;
    EventLoop loop;
    loop.received_bytes()->set_max_bytes(kMaxBytes);
    rpc::RegisterRequest request;
    request.registration.node = std::string(600'000, 'n');
    const std::string frame = *rpc::Channel::frame(rpc::Message(request));
    ConnectedSockets first(loop), second(loop);
    std::size_t first_received = 0, second_closed = 0;
    const auto first_channel = std::make_shared<rpc::Channel>(loop, std::move(first.ours));
    const auto second_channel = std::make_shared<rpc::Channel>(loop, std::move(second.ours));
    first_channel->start([&](rpc::Message&&) { ++first_received; }, [] { FAIL("the first one was closed"); });
    second_channel->start([](rpc::Message&&) { FAIL("a message came"); }, [&] { ++second_closed; });
    const auto send = [&](asio::ip::tcp::socket& socket, std::string_view bytes) {
        asio::async_write(socket, asio::buffer(bytes), [](const error_code&, std::size_t) {});
    };
    const std::string_view all(frame);
    send(first.peers, all.substr(0, frame.size() - 1));
    run_until(loop, [&] { return loop.received_bytes()->held_bytes() == frame.size() - 1; });
    send(second.peers, all.substr(0, frame.size() - 1));
    run_until(loop, [&] { return second_closed == 1; });
    send(first.peers, all.substr(frame.size() - 1));
    run_until(loop, [&] { return first_received == 1; });
    CHECK(loop.received_bytes()->held_bytes() == 0);
    first_channel->close();
}

// A fuzz target: whatever a peer repeats without end, a reader keeps a bounded part of it.
TEST_CASE("received bytes: pieces without end are parsed, passed on or refused") {
    constexpr int kPlays = 3000;
    constexpr std::size_t kBytesPerPlay = 300'000;
    const Grammar grammar = answer_grammar();
    std::mt19937_64 random(102);
    const auto draw = [&random](const std::vector<std::string>& from) {
        return from[random() % from.size()];
    };
    for (int play = 0; play < kPlays; ++play) {
        std::string text = draw(grammar.beginnings);
        const std::string piece =
            random() % 2 == 0 ? draw(grammar.pieces) : draw(grammar.pieces) + draw(grammar.pieces);
        CAPTURE(text);
        CAPTURE(piece);
        boost::beast::flat_buffer buffer(kMaxBufferBytes);
        std::optional<Parser<false>> parser;
        reset_parser(parser, kMaxHeaderBytes, std::numeric_limits<std::uint64_t>::max());
        const bool passing = random() % 2 == 0;
        std::size_t sent = 0;
        error_code error;
        while (!error && !parser->is_done() && sent < kBytesPerPlay) {
            const std::size_t size = 1 + random() % read_size(buffer, passing);
            while (text.size() < size) text += piece;
            buffer.commit(asio::buffer_copy(buffer.prepare(size), asio::buffer(text, size)));
            text.erase(0, size);
            sent += size;
            error = feed(*parser, buffer);
            parser->get().body().clear();  // passed on
            REQUIRE((error || parser->is_done() || buffer.size() <= kMaxHeaderBytes));
            REQUIRE(buffer.size() <= kMaxBufferBytes);
        }
    }
}

TEST_CASE("received bytes: a frame reader keeps no more than a frame, and nothing of one that is over") {
    constexpr std::size_t kLongest = 1'000'000;
    framing::FrameReader reader(kLongest);
    const std::string frame = framing::encode_frame(std::string(kLongest, 'x'), kLongest);
    for (int i = 0; i < 3; ++i) {
        reader.feed(std::string_view(frame).substr(0, 10));
        CHECK_FALSE(reader.next());
        CHECK(reader.held_bytes() == 10);
        reader.feed(std::string_view(frame).substr(10));
        CHECK(reader.next());
        CHECK(reader.held_bytes() == 0);
    }
    reader.feed(std::string(4, '\xff'));
    reader.feed("1234");
    CHECK_THROWS_AS(reader.next(), framing::FrameError);
}
