#include "mesh/rig/standins.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <optional>
#include <sstream>

namespace martenford::rig {

std::string Response::field(const std::string& name) const {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == head.npos) return {};
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

// ---- callers

struct Connection::Stream {
    Stream(EventLoop& loop, Connection& connection) : owner(&connection), socket(loop.io()) {}
    Connection* owner;  // nullptr once the connection was closed: pending handlers
                        // then do nothing
    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string request;
    std::optional<http::response_parser<http::string_body>> response;
    bool connected = false;
};

Connection::Connection(EventLoop& loop, const std::string& to) : loop_(loop), to_(to), timeout_(loop) {}
Connection::~Connection() {
    close();
}

void Connection::close() {
    if (!stream_) return;
    error_code ignored;
    stream_->socket.close(ignored);
    stream_->owner = nullptr;
    stream_.reset();
}

void Connection::finish(Response&& response) {
    timeout_.cancel();
    // The callback may destroy this object.
    if (const auto done = std::exchange(done_, nullptr)) done(std::move(response));
}

void Connection::fail(Response::Failure failure) {
    close();
    Response response;
    response.failure = failure;
    finish(std::move(response));
}

void Connection::send(const std::string& request, Duration timeout, Done done) {
    done_ = std::move(done);
    timeout_.set(loop_.now() + timeout, [this] { fail(Response::Failure::TimedOut); });
    if (!stream_) stream_ = std::make_shared<Stream>(loop_, *this);
    const auto stream = stream_;
    stream->request = request;
    stream->response.emplace();
    stream->response->body_limit(boost::none);  // answers of any length are read
    if (stream->connected) return exchange(stream);
    stream->socket.async_connect(*parse_address(to_), [stream](const error_code& error) {
        if (!stream->owner) return;
        if (error) return stream->owner->fail(Response::Failure::NotConnected);
        stream->connected = true;
        exchange(stream);
    });
}

void Connection::exchange(const std::shared_ptr<Stream>& stream) {
    // A write error is ignored: a response sent before the whole request was read
    // is still read.
    asio::async_write(stream->socket, asio::buffer(stream->request),
                      [stream](const error_code&, std::size_t) {});
    http::async_read(stream->socket, stream->buffer, *stream->response,
                     [stream](const error_code& error, std::size_t) {
                         if (!stream->owner) return;
                         const bool reset = error == asio::error::connection_reset;
                         if (reset) return stream->owner->fail(Response::Failure::ConnectionReset);
                         if (error) return stream->owner->fail(Response::Failure::ConnectionEnded);
                         stream->owner->complete();
                     });
}

void Connection::complete() {
    auto& received = stream_->response->get();
    std::ostringstream head;
    head << received.base();
    Response response;
    response.status = static_cast<int>(received.result_int());
    response.head = head.str();
    response.body = std::move(received.body());
    if (!received.keep_alive()) close();
    finish(std::move(response));
}

std::string request_text(const std::string& method, const std::string& path, const std::string& host,
                         const std::string& fields, const std::string& body, bool keep_alive) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!keep_alive) text += "Connection: close\r\n";
    text += fields;
    if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// ---- endpoints

Endpoint::Endpoint(EventLoop& loop, const std::string& id, const std::string& address, Handler handler,
                   Counters& counters)
    : loop_(loop),
      id_(id),
      address_(address),
      handler_(std::move(handler)),
      front_(
          loop, *this, *this, 64, [] { return true; }, counters) {
    front_.listen(*parse_address(address));
}

Endpoint::~Endpoint() {
    // A connection that waits for the rest of a body holds itself until it is told that none will come.
    for (const Stream& stream : streams_) stream.pipe->fail();
}

std::string heartbeat_text(const std::string& address, const std::string& service, const std::string& state,
                           int call_seq) {
    return R"({"address":")" + address + R"(","node_info":{"service":")" + service +
           R"(","version":"v1","zone":"z","slots":4},"status":{"state":")" + state + R"(","call_seq":)" +
           std::to_string(call_seq) + R"(,"cold_left_ms":0}})";
}

std::string Endpoint::heartbeat_body(const std::string& service, const std::string& state) {
    return heartbeat_text(address_, service, state, ++call_seq_);
}

std::variant<decision::Request, LocalReply> Endpoint::read(Fields& head, Time arrived) {
    if (head["Expected-Instance"] != id_) return LocalReply{http::status::misdirected_request};
    decision::Request request;
    request.id = std::to_string(++last_request_);  // not the Attempt-Id, which may come more than once
    request.deadline = arrived + 5s;
    ReceivedRequest& received = received_[request.id];
    received.id = std::string(head["Attempt-Id"]);
    received.path = std::string(head.target());
    received.caller_service = std::string(head["Caller-Service"]);
    received.tenant = std::string(head["Tenant-Name"]);
    received.api_key = std::string(head["Api-Key"]);
    return request;
}

bool Endpoint::submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) {
    ReceivedRequest received = std::move(received_.extract(request.id).mapped());
    received.body = std::string(message->buffered_body());
    Handling handling = handler_(received);
    if (handling.lost) return true;
    PendingResponse& pending = pending_[request.id];
    pending.reply = std::move(reply);
    if (handling.delay == Duration{}) {
        respond(request.id, received.id, std::move(handling));
        return true;
    }
    pending.timer = std::make_unique<Timer>(loop_);
    pending.timer->set(loop_.now() + handling.delay,
                       [this, id = request.id, attempt_id = received.id, handling] {
                           respond(id, attempt_id, Handling(handling));
                       });
    return true;
}

void Endpoint::respond(const decision::RequestId& id, const std::string& attempt_id, Handling&& handling) {
    const auto pending = pending_.extract(id);
    if (pending.empty()) return;
    Answer answer;
    if (!handling.fails) {
        answer.kind = Answer::Kind::Served;
        auto head = std::make_shared<HttpAnswerHead>();
        head->status = 200;
        head->fields.set("Attempt-Id", attempt_id);
        head->fields.set("Server-Seal", id_);
        answer.head = std::move(head);
        answer.body = std::move(handling.body);
    }
    if (handling.piece > 0 && answer.body.size() > handling.piece) {
        answer.length = answer.body.size();
        const auto stream =
            streams_.emplace(streams_.end(), loop_, answer.body.substr(handling.piece), handling.piece);
        answer.body.resize(handling.piece);
        answer.rest = stream->pipe;
        send_pieces(stream);
    }
    pending.mapped().reply(std::move(answer));
}

void Endpoint::send_pieces(std::list<Stream>::iterator stream) {
    stream->timer.set(loop_.now() + kPieceInterval, [this, stream] {
        const auto pipe = stream->pipe;
        pipe->put(stream->rest.substr(0, stream->piece));
        stream->rest.erase(0, stream->piece);
        if (!stream->rest.empty() && !pipe->reader_closed()) return send_pieces(stream);
        const bool whole = stream->rest.empty();
        streams_.erase(stream);
        if (whole) pipe->finish();
    });
}

void Endpoint::write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) {
    const auto* own = static_cast<const HttpAnswerHead*>(answer.head.get());
    if (!own) return;
    head.result(own->status);
    for (const auto& field : own->fields) head.insert(field.name_string(), field.value());
}

}  // namespace martenford::rig
