// The answers of a ClientConnection: written as they come, held until they are whole, or withheld; and its
// end, which its client must see.
#include <boost/asio/socket_base.hpp>
#include <utility>

#include "core/release_memory.h"
#include "http1/client_connection.h"

namespace martenford {

using namespace martenford::decision;
using Reply = MessageWriter<false>;

namespace {

constexpr Duration kAnswerStallTimeout = 10s;  // without progress, for the client to read an answer
/// Time for the client to read the last answer and close, counted anew from the last bytes of an unwanted
/// body.
constexpr Duration kLingerTimeout = 1s;
constexpr Duration kMaxLinger = 2500ms;  // in total
/// Between two reads of an unwanted body: 16 MB a second, so that a client without end takes little processor
/// time.
constexpr Duration kLingerReadInterval = 2ms;

}  // namespace

void ClientConnection::answer(std::uint64_t request, Answer&& answer) {
    // Guards against the answer to an earlier request of a client that has gone on to its next one.
    if (stage_ != Stage::Waiting || request != request_number_) {
        if (answer.rest) answer.rest->stop_reading();
        return;
    }
    if (answer.rest && listener_.holds_answers() && deadline_ > listener_.answer_deadline_) {
        return hold(std::move(answer));
    }
    write_answer(std::move(answer));
}

void ClientConnection::hold(Answer&& answer) {
    held_answer_ = std::make_unique<HeldAnswer>(std::move(answer), listener_.held_answers_);
    held_answer_->start([this](HeldAnswer::End end) {
        const auto self = shared_from_this();
        const auto held = std::exchange(held_answer_, nullptr);
        write_answer(end == HeldAnswer::End::Failed ? Answer{} : held->take());
    });
}

void ClientConnection::withhold(Answer&& answer) {
    listener_.withheld_.add();
    listener_.protocol_.on_withheld(answer, id_, record_);
    if (answer.rest) answer.rest->stop_reading();
    Answer failure;
    failure.ticket = std::move(answer.ticket);
    failure.on_written = std::move(answer.on_written);
    write_answer(std::move(failure));
}

void ClientConnection::write_answer(Answer&& answer) {
    if (!listener_.protocol_.is_answer_to(answer, id_)) return withhold(std::move(answer));
    Reply::Head head{http::status::bad_gateway, 11};
    listener_.protocol_.write(answer, id_, head);
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    record_.set_answer(head.result_int(), endpoint_head ? endpoint_head->origin : AnswerOrigin{});
    answer_rest_ = std::move(answer.rest);
    ticket_ = std::move(answer.ticket);
    on_written_ = std::move(answer.on_written);
    body_ = std::move(answer.body);
    // An HTTP/1.0 client cannot read chunks: a body of unknown length ends with the connection.
    const bool chunked = answer_rest_ && !answer.length && http_version_ >= 11;
    if (!answer_rest_) {
        head.content_length(body_.size());
    } else if (answer.length) {
        head.content_length(*answer.length);
    } else {
        head.chunked(chunked);
    }
    const bool delimited = !answer_rest_ || answer.length || chunked;
    // A request body that is still arriving when the answer is written is not read any further.
    write(std::move(head), keep_alive_ && delimited && !upload_);
}

void ClientConnection::send_local_reply(http::status status, bool keep, Duration retry_after,
                                        const std::vector<std::pair<std::string, std::string>>& fields) {
    body_.clear();
    drop_arriving_body();
    record_.set_answer(static_cast<unsigned>(status), {});
    Reply::Head head{status, 11};
    for (const auto& [name, value] : fields) head.set(name, value);
    if (retry_after > Duration{}) head.set(http::field::retry_after, seconds_text(retry_after));
    head.content_length(0);
    write(std::move(head), keep);
}

void ClientConnection::write(Reply::Head&& head, bool keep) {
    stage_ = Stage::Writing;
    answer_begun_in_drain_ = listener_.draining();
    if (upload_) std::exchange(upload_, nullptr)->fail();
    restart_write_timer();
    const bool keeps_open = keep && !listener_.closes_after_answer();
    head.keep_alive(keeps_open);
    reply_ = std::make_shared<Reply>(std::move(head), body_, answer_rest_);
    reply_->on_progress = [this] { restart_write_timer(); };
    reply_->run(
        socket_, shared_from_this(), [self = shared_from_this(), keeps_open](const error_code& error) {
            if (self->stage_ == Stage::Closed) return;
            self->ticket_.end(error ? RequestCounters::Outcome::Failed : RequestCounters::Outcome::Served);
            if (error) return self->reset();
            if (const auto tell = std::exchange(self->on_written_, nullptr)) tell();
            self->answer_rest_.reset();
            self->reply_.reset();
            if (!keeps_open) return self->linger();
            release_memory(self->body_);
            self->await_request();
            self->timer_.set(EventLoop::monotonic() + self->limits().idle_time, [self] { self->close(); });
            self->parse();
            // Guards against a listener at its limit where no connection closes: one waiting to be accepted
            // may need this one's place.
            self->listener_.accept();
            self->read();
        });
}

void ClientConnection::restart_write_timer() {
    timer_.set(EventLoop::monotonic() + kAnswerStallTimeout, [self = shared_from_this()] {
        // While nothing is there to be written, the time is the endpoint's: its connection limits it.
        if (self->reply_ && self->reply_->waiting()) return self->restart_write_timer();
        self->close();
    });
}

void ClientConnection::reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void ClientConnection::linger() {
    stage_ = Stage::Lingering;
    move_to(listener_.idle_);
    error_code error;
    socket_.shutdown(asio::socket_base::shutdown_send, error);
    buffer_.clear();
    linger_end_ = EventLoop::monotonic() + kMaxLinger;
    restart_linger_timer();
    read();
}

void ClientConnection::linger_on() {
    buffer_.clear();
    restart_linger_timer();
    linger_read_timer_.set(EventLoop::monotonic() + kLingerReadInterval,
                           [self = shared_from_this()] { self->read(); });
}

void ClientConnection::restart_linger_timer() {
    timer_.set(std::min(EventLoop::monotonic() + kLingerTimeout, linger_end_),
               [self = shared_from_this()] { self->close(); });
}

}  // namespace martenford
