#include "http1/client_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/empty_body.hpp>
#include <string_view>
#include <variant>

#include "core/release_memory.h"

namespace martenford {

using namespace martenford::decision;

namespace {

// Expected of a body, beyond a first allowance of head_time; the platform's clients send 64,000.
constexpr double kMinBodyBytesPerSecond = 24'000;
constexpr std::uint64_t kAssumedBodyBytes = 64 * 1024 * 1024;  // assumed for a body of unknown length
// Time for a connection made during an evacuation to send its first request.
constexpr Duration kEvacuationFirstRequestTimeout = 600ms;

/// Whether the length of the body is stated in one way that all implementations read alike. Guards against
/// request smuggling: Boost 1.74 rejects Content-Length beside Transfer-Encoding and differing lengths, but
/// accepts the same length twice, and reads no body if a coding other than chunked is named.
bool has_unambiguous_length(const http::request_header<>& message) {
    const auto lengths = message.count(http::field::content_length);
    const auto codings = message.count(http::field::transfer_encoding);
    if (lengths + codings > 1) return false;
    const auto length = message[http::field::content_length];
    if (length.find(',') != length.npos) return false;
    return codings == 0 || boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

/// Converts a target in absolute form, which a client may send, to origin form (RFC 9112, section 3.2).
std::string origin_form(boost::beast::string_view target) {
    constexpr std::string_view kScheme = "http://";
    std::string_view text(target.data(), target.size());
    if (!boost::beast::iequals(target.substr(0, kScheme.size()),
                               boost::beast::string_view(kScheme.data(), kScheme.size()))) {
        return std::string(text);
    }
    const auto path = text.find_first_of("/?", kScheme.size());
    if (path == text.npos) return "/";
    return text[path] == '?' ? "/" + std::string(text.substr(path)) : std::string(text.substr(path));
}

}  // namespace

void ClientConnection::start(HttpListener::Clients::iterator place) {
    position_ = place;
    await_request();
    // During an evacuation no connection is kept idle; a readiness check sends its request at once.
    const Duration most = listener_.evacuated() ? kEvacuationFirstRequestTimeout : limits().head_time;
    timer_.set(EventLoop::monotonic() + most, [self = shared_from_this()] { self->close(); });
    read();
}

bool ClientConnection::has_no_unread_data() const {
    error_code error;
    return socket_.available(error) == 0;
}

std::uint64_t ClientConnection::unsent_bytes() {
    int bytes = 0;
    const bool known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::uint64_t>(bytes) : 0;
}

bool ClientConnection::awaits_answer() const {
    const bool answer_owed = stage_ == Stage::Waiting || (stage_ == Stage::Writing && answer_begun_in_drain_);
    return answer_owed && !upload_ && EventLoop::monotonic() < deadline_;
}

void ClientConnection::give_up() {
    if (stage_ != Stage::Waiting || upload_) return;
    const auto self = shared_from_this();
    held_answer_.reset();
    listener_.request_handler_.client_disconnected(id_);
    write_answer(Answer{});
}

void ClientConnection::close() {
    if (std::exchange(stage_, Stage::Closed) == Stage::Closed) return;
    timer_.cancel();
    linger_read_timer_.cancel();
    drop_arriving_body();
    held_answer_.reset();
    if (upload_) std::exchange(upload_, nullptr)->fail();
    if (reply_) std::exchange(reply_, nullptr)->stop();
    if (answer_rest_) std::exchange(answer_rest_, nullptr)->stop_reading();
    error_code ignored;
    socket_.close(ignored);
    listener_.connection_closed(*list_, position_);
}

void ClientConnection::await_request() {
    stage_ = Stage::Reading;
    move_to(listener_.idle_);
    reset_parser(parser_, limits().max_header_bytes, limits().max_body_bytes);
    continue_sent_ = false;
    deadline_ = {};
    paused_time_ = {};
    paused_since_.reset();
}

void ClientConnection::move_to(HttpListener::Clients& to) {
    to.splice(to.end(), *list_, position_);
    list_ = &to;
    in_list_since_ = EventLoop::monotonic();
}

void ClientConnection::read() {
    if (stage_ == Stage::Closed || reading_) return;
    const bool passing = stage_ == Stage::Waiting && upload_;
    if (passing && !upload_->has_room()) {  // the receiver of the body is slower
        if (!paused_since_) paused_since_ = EventLoop::monotonic();
        return;
    }
    if (!passing && stage_ != Stage::Lingering && buffer_.size() > limits().max_header_bytes) return;
    if (!reserve_kept_bytes()) return handle_no_room();
    if (paused_since_) paused_time_ += EventLoop::monotonic() - *std::exchange(paused_since_, std::nullopt);
    reading_ = true;
    const std::size_t size = read_size(buffer_, passing || stage_ == Stage::Lingering);
    socket_.async_read_some(incoming_.prepare(size),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                                self->reading_ = false;
                                if (self->stage_ == Stage::Closed) return;
                                if (error) return self->handle_disconnect();
                                self->record_early_bytes(size);
                                self->incoming_.commit(size);
                                self->append_incoming();
                                if (self->stage_ == Stage::Lingering) return self->linger_on();
                                self->parse();
                                self->read();
                            });
}

bool ClientConnection::reserve_kept_bytes() {
    return kept_.resize(buffer_.size() + parser_->get().body().size());
}

void ClientConnection::handle_no_room() {
    if (stage_ == Stage::Reading) return send_local_reply(http::status::service_unavailable, false);
    if (stage_ == Stage::Waiting && upload_) return abandon_upload();
    handle_disconnect();
}

void ClientConnection::record_early_bytes(std::size_t size) {
    const bool is_open = stage_ == Stage::Writing || (stage_ == Stage::Waiting && !upload_);
    if (!is_open) return;
    listener_.early_.add();
    record_.add_early_bytes(size);
}

void ClientConnection::append_incoming() {
    if (buffer_.size() == 0) {
        std::swap(buffer_, incoming_);
    } else {
        const auto room = buffer_.prepare(incoming_.size());
        buffer_.commit(asio::buffer_copy(room, incoming_.data()));
    }
    incoming_.clear();
}

void ClientConnection::handle_disconnect() {
    const auto self = shared_from_this();
    const bool open = stage_ == Stage::Waiting;
    const auto upload = std::exchange(upload_, nullptr);
    close();
    // Before the body is broken off, so that the failure is not blamed on the endpoint that was receiving it.
    if (open) listener_.request_handler_.client_disconnected(id_);
    if (upload) upload->fail();
}

void ClientConnection::parse() {
    const bool arriving = stage_ == Stage::Waiting && upload_;
    if ((stage_ != Stage::Reading && !arriving) || buffer_.size() == 0) return;
    if (!parser_->got_some()) {
        // The time for the first request began with the connection.
        const Time from = had_request_ ? EventLoop::monotonic() : connected_;
        timer_.set(from + limits().head_time, [self = shared_from_this()] { self->handle_read_timeout(); });
    }
    if (!arriving) move_to(listener_.partial_);  // a client that keeps sending is evicted last
    const bool had_head = parser_->is_header_done();
    const error_code error = feed(*parser_, buffer_, limits().max_header_bytes);
    if (arriving && error) return abandon_upload();
    if (error == http::error::body_limit) return send_local_reply(http::status::payload_too_large, false);
    if (error == http::error::header_limit) {
        return send_local_reply(http::status::request_header_fields_too_large, false);
    }
    if (error) return send_local_reply(http::status::bad_request, false);
    if (!parser_->is_header_done()) return;
    if (!had_head) {
        header_time_ = EventLoop::monotonic();
        received_ = 0;
    }
    if (arriving) {
        received_ += parser_->get().body().size();
        upload_->put(std::exchange(parser_->get().body(), {}));
        if (stage_ != Stage::Waiting || !upload_) return;  // its attempt ended synchronously
        if (parser_->is_done()) return handle_body_end();
        return set_body_deadline();
    }
    received_ = parser_->get().body().size();
    if (!set_arriving_body(received_)) return send_local_reply(http::status::service_unavailable, false);
    if (parser_->is_done()) return handle_request(false);
    // A body too long to buffer is streamed; the request is submitted with what has arrived.
    if (received_ > limits().max_buffered_body_bytes) return handle_request(true);
    if (!had_head) expect_body();
    set_body_deadline();
}

bool ClientConnection::set_arriving_body(std::size_t bytes) {
    return arriving_body_.resize(bytes);
}

void ClientConnection::drop_arriving_body() {
    release_memory(parser_->get().body());
    arriving_body_.release();
}

void ClientConnection::expect_body() {
    if (!has_unambiguous_length(parser_->get().base())) return;  // handle_request() rejects it
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") ||
        std::exchange(continue_sent_, true) || parser_->get().version() < 11 || buffer_.size() > 0 ||
        received_ > 0) {
        return;
    }
    http::response<http::empty_body> continue_response{http::status::continue_, 11};
    // 25 bytes into the empty send buffer of a socket on which nothing was written since its last answer.
    error_code error;
    socket_.non_blocking(true, error);
    http::write(socket_, continue_response, error);
}

void ClientConnection::set_body_deadline() {
    const auto allowed =
        std::chrono::duration<double>(static_cast<double>(received_) / kMinBodyBytesPerSecond);
    const Time due =
        header_time_ + limits().head_time + paused_time_ + std::chrono::duration_cast<Duration>(allowed);
    timer_.set(due, [self = shared_from_this()] {
        if (self->paused_since_) return self->restart_body_deadline();
        self->handle_read_timeout();
    });
}

void ClientConnection::restart_body_deadline() {
    timer_.set(EventLoop::monotonic() + limits().head_time, [self = shared_from_this()] {
        if (self->stage_ == Stage::Waiting && self->upload_) self->set_body_deadline();
    });
}

void ClientConnection::handle_read_timeout() {
    if (stage_ == Stage::Waiting) return abandon_upload();
    send_local_reply(http::status::request_timeout, false);
}

void ClientConnection::abandon_upload() {
    const auto self = shared_from_this();
    const auto upload = std::exchange(upload_, nullptr);
    held_answer_.reset();  // before it can end, so that the rejection is the only answer
    // Before the body is broken off, as in handle_disconnect().
    listener_.request_handler_.client_disconnected(id_);
    upload->fail();
    send_local_reply(http::status::bad_request, false);
}

void ClientConnection::handle_request(bool arriving) {
    timer_.cancel();
    // From here on the body is the request's: it is answered, or given up, in the time of a request.
    arriving_body_.release();
    had_request_ = true;
    record_.add_request(buffer_.size());
    move_to(listener_.active_);
    const bool keep = parser_->keep_alive();
    http_version_ = parser_->get().version();
    const auto length = parser_->content_length();
    auto& head = parser_->get().base();
    if (!has_unambiguous_length(head)) return send_local_reply(http::status::bad_request, false);
    head.target(origin_form(head.target()));
    const auto ready_path = listener_.protocol_.ready_path();
    if (!ready_path.empty() && head.target() == ready_path) return answer_readiness(keep && !arriving);
    const Time now = EventLoop::monotonic();
    strip_connection_fields(head, listener_.protocol_.end_to_end_fields());
    auto request = listener_.protocol_.read(head, now - time_since_last_data());
    if (const auto* rejection = std::get_if<LocalReply>(&request))
        return send_local_reply(rejection->status, keep && rejection->keep && !arriving,
                                rejection->retry_after, rejection->fields);
    if (listener_.refuses_requests()) return send_local_reply(http::status::service_unavailable, false);
    auto& event = std::get<Request>(request);
    timeout_ = event.deadline - (now - time_since_last_data());
    if (arriving) {
        // The client's timeout starts with the last byte, which may come as late as the slowest allowed body.
        const std::uint64_t whole = length ? *length : kAssumedBodyBytes;
        const std::chrono::duration<double> at_most{static_cast<double>(whole) / kMinBodyBytesPerSecond};
        event.deadline += limits().head_time + std::chrono::duration_cast<Duration>(at_most);
        event.body_pending = true;
    }
    deadline_ = event.deadline;
    limit_deadline(event.deadline);
    keep_alive_ = keep;
    stage_ = Stage::Waiting;
    id_ = event.id;
    record_.set_name(id_);
    const auto message = make_message(arriving);
    message->class_index = event.class_index;
    auto reply = [self = shared_from_this(), request = ++request_number_](Answer&& answer) {
        self->answer(request, std::move(answer));
    };
    const bool accepted = listener_.request_handler_.submit(std::move(event), message, std::move(reply));
    if (!accepted) return send_local_reply(http::status::conflict, keep && !arriving);
    if (stage_ == Stage::Waiting && arriving) set_body_deadline();
}

void ClientConnection::answer_readiness(bool keep) {
    if (parser_->get().method() != http::verb::get)
        return send_local_reply(http::status::method_not_allowed, keep);
    const auto status = listener_.is_ready() ? http::status::ok : http::status::service_unavailable;
    send_local_reply(status, keep && !listener_.rejects_new_clients());
}

std::shared_ptr<HttpMessage> ClientConnection::make_message(bool arriving) {
    std::shared_ptr<HttpMessage> message;
    if (arriving) {
        http::request<IncrementalBody> begun{parser_->get().base()};
        begun.body() = std::exchange(parser_->get().body(), {});
        message = std::make_shared<HttpMessage>(std::move(begun));
        message->rest = upload_ = std::make_shared<Pipe>(kMaxPipeBytes);
        if (const auto length = parser_->content_length()) message->length = *length;
        upload_->on_writable([weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->read();
        });
    } else {
        message = std::make_shared<HttpMessage>(parser_->release());
    }
    message->head.version(11);
    return message;
}

void ClientConnection::handle_body_end() {
    timer_.cancel();
    std::exchange(upload_, nullptr)->finish();
    if (stage_ != Stage::Waiting) return;
    Time deadline = EventLoop::monotonic() - time_since_last_data() + timeout_;
    deadline_ = deadline;
    limit_deadline(deadline);
    listener_.request_handler_.body_received(id_, deadline);
}

void ClientConnection::limit_deadline(Time& deadline) const {
    if (listener_.draining()) deadline = std::min(deadline, listener_.answer_deadline_);
}

Duration ClientConnection::time_since_last_data() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace martenford
