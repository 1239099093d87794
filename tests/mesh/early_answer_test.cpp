// Long requests whose endpoint answers, closes or falls silent while their bodies are still arriving.
// Endpoints work on a request from its head on: only `Not-Executed` proves that one did not run.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "hop_world.h"

using namespace martenford;
using namespace martenford::hop_world;

namespace {

constexpr std::size_t kBodyBytes = 300'000;
/// More than is buffered whole, so that the body is passed on while it arrives.
constexpr std::size_t kSentAtOnce = 100'000;
/// Leaves the time for another attempt.
constexpr int kTimeoutMs = 3000;

/// Of an early response that comes in pieces: its head, and a part of its body before the request's rest.
constexpr std::size_t kResponsePieceBytes = 60;
constexpr Duration kResponsePieceInterval = 6ms;

/// What an endpoint does once it has the first bytes of a body.
enum class EarlyStep {
    Serve,
    Continue,
    Respond,
    RespondInPieces,
    RespondAndClose,
    RespondAndReset,
    Reset,
    ReadOn,
    RespondAfterBody
};

/// An endpoint that begins to run a request with its head.
class UploadEndpoint {
  public:
    UploadEndpoint(EventLoop& loop, History& history)
        : loop_(loop), history_(history), listener_(loop, [this](tcp::socket socket) {
              read_head(std::make_shared<Stream>(std::move(socket)));
          }) {}
    [[nodiscard]] Address address() const { return listener_.address(); }

    EarlyStep step = EarlyStep::Serve;  ///< of the next request
    std::string status = "500 Failed", fields, body = "failed";
    std::string last_body;  ///< as far as it came, of the last request that was read to its end
    int arrivals = 0;

  private:
    struct Stream {
        explicit Stream(tcp::socket accepted) : socket(std::move(accepted)) {
            parser.body_limit(1 << 20);
            parser.eager(true);
        }
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        std::string response;
    };
    using StreamPtr = std::shared_ptr<Stream>;

    void read_head(const StreamPtr& stream) {
        http::async_read_header(stream->socket, stream->buffer, stream->parser,
                                [this, stream](const error_code& error, std::size_t) {
                                    if (!error) begin(stream);
                                });
    }
    void begin(const StreamPtr& stream) {
        const std::string id(stream->parser.get()["Attempt-Id"]);
        ++arrivals;
        const EarlyStep now = std::exchange(step, EarlyStep::Serve);
        const bool rejects = fields.find("Not-Executed") != std::string::npos && now != EarlyStep::Serve;
        if (!rejects) ++history_.executions[id];
        if (now == EarlyStep::Reset) return reset(stream->socket);
        if (now == EarlyStep::Serve || now == EarlyStep::ReadOn || now == EarlyStep::RespondAfterBody)
            return read_rest(stream, now);
        if (now == EarlyStep::Continue) {
            asio::write(stream->socket, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")));
            return read_rest(stream, EarlyStep::Serve);
        }
        stream->response = response_text(status, id, fields + "Server-Seal: s\r\n", body);
        if (now == EarlyStep::RespondInPieces) {
            respond_in_pieces(stream, 0, stream->response.size() - body.size());
            return read_rest(stream, EarlyStep::ReadOn);
        }
        asio::async_write(stream->socket, asio::buffer(stream->response),
                          [this, stream, now](const error_code&, std::size_t) {
                              if (now == EarlyStep::RespondAndReset) return reset(stream->socket);
                              error_code ignored;
                              if (now == EarlyStep::RespondAndClose)
                                  stream->socket.shutdown(tcp::socket::shutdown_send, ignored);
                              read_rest(stream, now);
                          });
    }
    /// Sends the response up to `end`, then a few bytes of its body at a time.
    void respond_in_pieces(const StreamPtr& stream, std::size_t begin, std::size_t end) {
        asio::write(stream->socket, asio::buffer(stream->response.data() + begin, end - begin));
        if (end == stream->response.size()) return;
        loop_.add(loop_.now() + kResponsePieceInterval, [this, stream, end] {
            const std::size_t next = std::min(end + kResponsePieceBytes, stream->response.size());
            respond_in_pieces(stream, end, next);
        });
    }
    void read_rest(const StreamPtr& stream, EarlyStep done) {
        http::async_read(stream->socket, stream->buffer, stream->parser,
                         [this, stream, done](const error_code& error, std::size_t) {
                             last_body = stream->parser.get().body();
                             if (error || done == EarlyStep::ReadOn) return;
                             if (done == EarlyStep::Serve) return serve(stream);
                             stream->response = response_text(
                                 status, std::string(stream->parser.get()["Attempt-Id"]), fields, body);
                             asio::async_write(stream->socket, asio::buffer(stream->response),
                                               [stream](const error_code&, std::size_t) {});
                         });
    }
    void serve(const StreamPtr& stream) {
        stream->response = served_text(std::string(stream->parser.get()["Attempt-Id"]));
        asio::async_write(stream->socket, asio::buffer(stream->response),
                          [stream](const error_code&, std::size_t) {});
    }

    EventLoop& loop_;
    History& history_;
    Listener listener_;
};

std::string chunk_of(std::size_t size) {
    char stated[20];
    std::snprintf(stated, sizeof stated, "%zx", size);
    return std::string(stated) + "\r\n" + std::string(size, 'u') + "\r\n";
}

/// Two inbound proxies whose endpoints begin early.
struct UploadWorld {
    UploadWorld() : world(1, 2) {
        world.set_routes(World::version(2, "s", kTimeoutMs));
        for (const auto& proxy : world.inbound_proxies) {
            endpoints.push_back(std::make_unique<UploadEndpoint>(world.loop(), world.history));
            proxy->to_endpoint.set_endpoint(decision::EndpointId{1}, endpoints.back()->address(), true);
        }
    }
    void set_all(EarlyStep step) {
        for (const auto& endpoint : endpoints) endpoint->step = step;
    }
    /// The first endpoint that gets a request answers it, all others serve.
    void set_first(EarlyStep step, const std::string& status, const std::string& fields) {
        set_all(step);
        for (const auto& endpoint : endpoints) {
            endpoint->status = status;
            endpoint->fields = fields;
        }
    }
    [[nodiscard]] int arrivals() const { return endpoints[0]->arrivals + endpoints[1]->arrivals; }
    /// Sends a part of the body at once and the rest 20 ms later.
    std::optional<ClientResponse> upload_for_response(const std::string& id, bool idempotent) {
        const std::string body(kBodyBytes, 'u');
        const std::string head = World::request_text(
            id, idempotent, "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n", kTimeoutMs);
        return world.send_once(head + body.substr(0, kSentAtOnce), body.substr(kSentAtOnce));
    }
    /// Returns the response's status; 0: none.
    unsigned upload(const std::string& id, bool idempotent) {
        const auto response = upload_for_response(id, idempotent);
        return response ? response->status : 0;
    }
    /// The same with a body of unknown length, of a request that may be repeated.
    unsigned upload_in_chunks(const std::string& id) {
        const std::string chunk = chunk_of(kSentAtOnce);
        const std::string head =
            World::request_text(id, true, "Transfer-Encoding: chunked\r\n\r\n", kTimeoutMs);
        const auto response = world.send_once(head + chunk, chunk + "0\r\n\r\n");
        return response ? response->status : 0;
    }
    /// Sends the first part of a body to an endpoint, and calls `then` once that has arrived.
    decision::Status outcome_of_unfinished_upload(
        const std::function<void(EndpointClient::Attempt&, Pipe&)>& then) {
        http::request<IncrementalBody> request{http::verb::post, "/o/x", 11};
        request.set("Attempt-Id", "a");
        request.body() = std::string(kSentAtOnce, 'u');
        const auto message = std::make_shared<HttpMessage>(std::move(request));
        message->rest = std::make_shared<Pipe>(kMaxPipeBytes);
        message->length = kBodyBytes;
        std::optional<decision::Status> ended;
        const int arrivals_before = arrivals();
        const auto handle = world.inbound_proxies[0]->to_endpoint.send(
            decision::EndpointId{1}, message, world.loop().now() + 300ms,
            [&](Result&& result) { ended = result.status; });
        REQUIRE(world.wait_for([&] { return arrivals() > arrivals_before; }, 5s));
        if (const auto attempt = handle.lock()) then(*attempt, *message->rest);
        REQUIRE(world.wait_for([&] { return ended.has_value(); }, 5s));
        return *ended;
    }
    World world;
    std::vector<std::unique_ptr<UploadEndpoint>> endpoints;
};

bool is_promise(unsigned status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

// Guards against a request that ran while its body was arriving and runs again elsewhere, or is told not to
// have run.
TEST_CASE("a failure of an endpoint in the middle of an upload is no proof that the request did not run") {
    for (const EarlyStep step :
         {EarlyStep::Respond, EarlyStep::RespondAndClose, EarlyStep::RespondAndReset, EarlyStep::Reset}) {
        for (const std::string status : {"500 Failed", "503 No", "504 Late"}) {
            CAPTURE(static_cast<int>(step));
            CAPTURE(status);
            UploadWorld uploads;
            uploads.set_first(step, status, "");
            const unsigned answer = uploads.upload("a", false);
            CHECK(uploads.world.history.executions["a"] == 1);
            CHECK(answer >= 500);
            CHECK_FALSE(is_promise(answer));
            if (step == EarlyStep::Respond && status == "500 Failed") CHECK(answer == 500);
        }
    }
}

// Guards against the same where the body does not come to its end.
TEST_CASE("an upload that is still arriving at its deadline, or when its client goes, may have run") {
    UploadWorld uploads;
    uploads.set_all(EarlyStep::ReadOn);
    CHECK(uploads.outcome_of_unfinished_upload([](EndpointClient::Attempt&, Pipe&) {}) ==
          decision::Status::Timeout);
    CHECK(uploads.outcome_of_unfinished_upload([](EndpointClient::Attempt& attempt, Pipe&) {
        attempt.withdraw_if_unsent();
    }) == decision::Status::Cancelled);
    CHECK(uploads.outcome_of_unfinished_upload([](EndpointClient::Attempt&, Pipe& rest) { rest.fail(); }) ==
          decision::Status::Reset);
    CHECK(uploads.world.history.executions["a"] >= 1);
}

TEST_CASE("an endpoint that turns an upload away while it arrives has not run it, and says so") {
    UploadWorld uploads;
    uploads.set_first(EarlyStep::Respond, "503 Full", "Not-Executed: 1\r\n");
    const unsigned answer = uploads.upload("a", false);
    CHECK(uploads.world.history.executions["a"] <= 1);
    CHECK(is_promise(answer) == (uploads.world.history.executions["a"] == 0));
}

TEST_CASE(
    "a success that comes before the request's last byte is passed on once the endpoint has all of it") {
    UploadWorld uploads;
    uploads.set_first(EarlyStep::Respond, "200 OK", "");
    CHECK(uploads.upload("a", false) == 200);
    CHECK(uploads.arrivals() == 1);
    for (const auto& endpoint : uploads.endpoints) {
        if (endpoint->arrivals > 0) CHECK(endpoint->last_body.size() == kBodyBytes);
    }
}

// Guards against an answer of which a part alone is read before the request's last byte, so that its client
// gets 502.
TEST_CASE("an early answer that comes in pieces is put together") {
    for (const std::string status : {"200 OK", "500 Failed"}) {
        for (const std::size_t body_bytes : {100, 3'000}) {
            CAPTURE(status);
            CAPTURE(body_bytes);
            UploadWorld uploads;
            uploads.set_first(EarlyStep::RespondInPieces, status, "");
            for (const auto& endpoint : uploads.endpoints) endpoint->body = std::string(body_bytes, 'b');
            const auto response = uploads.upload_for_response("a", false);
            REQUIRE(response);
            CHECK(std::to_string(response->status) == status.substr(0, 3));
            CHECK(response->body.size() == body_bytes);
            CHECK(uploads.world.history.executions["a"] == 1);
        }
    }
}

TEST_CASE("an interim answer in the middle of an upload is not taken for the answer") {
    UploadWorld uploads;
    uploads.set_first(EarlyStep::Continue, "", "");
    CHECK(uploads.upload("a", false) == 200);
    CHECK(uploads.arrivals() == 1);
}

// Guards against a second attempt that sends what is left of a body which the first has consumed.
TEST_CASE("a repeatable upload whose endpoint fails is not sent again without its body") {
    for (const EarlyStep step : {EarlyStep::Respond, EarlyStep::RespondAfterBody}) {
        CAPTURE(static_cast<int>(step));
        for (const bool states_length : {true, false}) {
            CAPTURE(states_length);
            UploadWorld uploads;
            uploads.set_first(step, "500 Failed", "");
            const Time sent_at = uploads.world.loop().now();
            CHECK((states_length ? uploads.upload("a", true) : uploads.upload_in_chunks("a")) == 500);
            CHECK(uploads.arrivals() == 1);
            CHECK(uploads.world.loop().now() - sent_at < std::chrono::milliseconds(kTimeoutMs));
        }
    }
}
