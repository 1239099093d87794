#include "http1/endpoint_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <utility>

#include "core/release_memory.h"
#include "core/socket_buffers.h"
#include "core/transport.h"
#include "http1/answer_head.h"
#include "http1/protocol.h"

namespace martenford {

using decision::Status;

namespace {

constexpr int kMaxInterimAnswers = 16;  // 1xx answers and answers to other requests, before the expected one
/// An endpoint that sends nothing of a begun answer for this long, and until the request's deadline, has
/// abandoned it.
constexpr Duration kStallTimeout = 10s;

/// Whether a connect failed for lack of a local resource.
bool is_local_resource_error(const error_code& error) {
    return error == asio::error::no_descriptors || error == asio::error::no_memory ||
           error == asio::error::no_buffer_space || error == boost::system::errc::address_not_available ||
           error == boost::system::errc::too_many_files_open_in_system;
}

}  // namespace

EndpointConnection::EndpointConnection(Http1EndpointClient& pool, EndpointId id, const Address& address,
                                       std::uint64_t number)
    : id(id),
      address(address),
      pool_(pool),
      socket_(pool.loop_.io()),
      stage_timer_(pool.loop_),
      deadline_timer_(pool.loop_),
      buffer_(kMaxBufferBytes),
      kept_(pool.loop_.received_bytes()),
      origin_{id, number} {}

void EndpointConnection::start(std::shared_ptr<const HttpMessage> message,
                               std::shared_ptr<Http1EndpointClient::RequestWriter> outgoing, Time end,
                               EndpointClient::Done done) {
    message_ = std::move(message);
    outgoing_ = std::move(outgoing);
    if (message_ && message_->rest) {
        outgoing_->on_rest = [message = message_] {
            message->rest_begun = true;
            release_memory(message->body);
        };
    }
    done_ = std::move(done);
    ++origin_.exchange;
    stage_timer_.cancel();
    set_deadline(end);
    if (message_) exchanges_.add(pool_.protocol_.exchange_name(*message_));
    if (stage_ == Stage::Connecting) {
        connect();
    } else {
        write();
    }
}

bool EndpointConnection::may_send(const HttpMessage& message) const {
    return !exchanges_.contains(pool_.protocol_.exchange_name(message));
}

bool EndpointConnection::is_reusable() {
    char byte = 0;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EndpointConnection::cancel() {
    end_attempt(Status::Cancelled);
}

void EndpointConnection::withdraw_if_unsent() {
    if (stage_ == Stage::Connecting || (stage_ == Stage::Writing && request_arriving()))
        end_attempt(may_have_run() ? Status::Cancelled : Status::NotSent);
}

void EndpointConnection::set_deadline(Time end) {
    if (!done_) return;  // its outcome is known already
    deadline_ = end;
    deadline_timer_.set(end, [self = shared_from_this()] {
        self->end_attempt(self->may_have_run() ? Status::Timeout : Status::ConnectFailed);
    });
}

void EndpointConnection::close() {
    if (std::exchange(stage_, Stage::Closed) == Stage::Closed) return;
    if (outgoing_) outgoing_->stop();
    if (answer_rest_) std::exchange(answer_rest_, nullptr)->fail();
    if (message_ && message_->rest_begun) message_->rest->stop_reading();
    pool_.connection_closed(*this);
    stage_timer_.cancel();
    deadline_timer_.cancel();
    kept_.release();
    error_code ignored;
    socket_.close(ignored);
}

bool EndpointConnection::request_arriving() const {
    return message_ && message_->rest && message_->rest->state() == Pipe::State::Open;
}

bool EndpointConnection::may_have_run() const {
    if (stage_ != Stage::Writing) return stage_ == Stage::Waiting;
    return !request_arriving() || pool_.protocol_.may_run_incomplete_requests();
}

void EndpointConnection::connect() {
    const Duration most = pool_.limits_.connect_timeout;
    if (most > Duration{})
        stage_timer_.set(EventLoop::monotonic() + most,
                         [self = shared_from_this()] { self->end_attempt(Status::ConnectFailed); });
    open_with_limited_buffers(socket_, address);
    socket_.async_connect(address, [self = shared_from_this()](const error_code& error) {
        if (self->stage_ != Stage::Connecting) return;
        self->stage_timer_.cancel();
        if (error)
            return self->end_attempt(is_local_resource_error(error) ? Status::NotSent
                                                                    : Status::ConnectFailed);
        error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read();
        self->write();
    });
}

void EndpointConnection::write() {
    stage_ = Stage::Writing;
    interim_count_ = 0;
    unstreamed_bytes_ = 0;
    reset_parser(parser_, kMaxHeaderBytes, pool_.protocol_.max_answer_bytes());
    outgoing_->run(socket_, shared_from_this(), [self = shared_from_this()](const error_code& error) {
        if (self->stage_ != Stage::Writing) return;
        if (error) return self->handle_write_error(error);
        self->stage_ = Stage::Waiting;
        if (self->message_)
            self->pool_.written(*self->message_, self->id);  // probes do not count as attempts
        self->parse();
        if (self->stage_ == Stage::Waiting && self->read_error_) self->handle_read_end(self->read_error_);
        self->continue_reading();
    });
}

void EndpointConnection::read() {
    reading_ = true;
    if (stage_ == Stage::Streaming) {
        stage_timer_.set(std::max(EventLoop::monotonic() + kStallTimeout, deadline_),
                         [self = shared_from_this()] { self->close(); });
    }
    socket_.async_read_some(buffer_.prepare(read_size(buffer_, stage_ == Stage::Streaming)),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                                self->reading_ = false;
                                if (self->stage_ == Stage::Closed) return;
                                self->buffer_.commit(size);
                                if (self->stage_ != Stage::Streaming) self->unstreamed_bytes_ += size;
                                if (error) return self->handle_read_end(error);
                                if (self->stage_ == Stage::Idle)
                                    return self->close_idle();  // unrequested bytes
                                if (self->stage_ == Stage::Writing) return self->handle_early_bytes();
                                if (self->stage_ == Stage::Waiting || self->stage_ == Stage::Streaming) {
                                    self->parse();
                                }
                                self->continue_reading();
                            });
}

void EndpointConnection::continue_reading() {
    if (stage_ == Stage::Closed || reading_ || read_error_) return;
    if (!reserve_kept_bytes()) return reject_answer();
    if (stage_ == Stage::Streaming && !answer_rest_->has_room())
        return stage_timer_.cancel();  // the caller is slower
    read();
}

bool EndpointConnection::reserve_kept_bytes() {
    const std::size_t body_bytes = parser_ ? parser_->get().body().size() : 0;
    return unstreamed_bytes_ <= kMaxUnstreamedBytes && kept_.resize(buffer_.size() + body_bytes);
}

void EndpointConnection::reject_answer() {
    stage_ == Stage::Streaming ? close() : end_attempt(Status::Error);
}

void EndpointConnection::handle_early_bytes() {
    const bool may_be_answer = pool_.protocol_.may_run_incomplete_requests();
    // The answer cannot be to a request that has not begun: the bytes belong to an earlier one.
    if (!may_be_answer && request_arriving()) return end_attempt(Status::ConnectFailed);
    if (early_answer_ || (may_be_answer && request_arriving())) return parse_early_answer();
    // Whether the request is written completely, and so how the attempt ends, is known soon.
    read_error_ = http::error::unexpected_body;
}

void EndpointConnection::parse_early_answer() {
    parse();
    if (stage_ != Stage::Writing) return;
    const bool nothing_kept = !parser_->got_some() && buffer_.size() == 0;  // an interim answer, for instance
    if (nothing_kept) return continue_reading();
    // Guards against joining the beginning of a surplus answer with the head of the expected one: only an
    // answer that names this request is read on.
    early_answer_ = parser_->is_header_done() && classify().has_value();
    if (!early_answer_) {
        read_error_ = http::error::unexpected_body;
        return;
    }
    // What is kept until the request is written is bounded: a whole answer, or the beginning of a long one.
    const bool keeps_enough = parser_->is_done() || parser_->get().body().size() > kMaxBufferedBodyBytes;
    if (!keeps_enough) continue_reading();
}

void EndpointConnection::handle_early_close(const error_code& error) {
    if (request_arriving()) return end_attempt(may_have_run() ? Status::Reset : Status::ConnectFailed);
    read_error_ = error;
}

void EndpointConnection::handle_write_error(const error_code& error) {
    const bool may_run = pool_.protocol_.may_run_incomplete_requests() && outgoing_->wrote_any();
    if (!may_run) return end_attempt(Status::ConnectFailed);
    write_failed_ = true;
    stage_ = Stage::Waiting;
    // An endpoint may answer and close without reading the rest. What it sent comes with the pending read,
    // unless the body was broken off on this side.
    parse();
    const bool may_be_answered = reading_ && error != http::error::partial_message;
    if (stage_ == Stage::Waiting && !may_be_answered) end_attempt(Status::Reset);
}

void EndpointConnection::handle_read_end(const error_code& error) {
    if (stage_ == Stage::Idle) return close_idle();
    if (stage_ == Stage::Writing) return handle_early_close(error);
    if (error == asio::error::eof && parser_->got_some()) {
        error_code fault;
        parser_->put_eof(fault);
        if (!fault && parser_->is_done() && pool_.protocol_.allows_close_delimited()) {
            if (stage_ == Stage::Streaming) return finish_streaming(false);
            if (const auto status = classify()) return complete_attempt(*status, false);
        }
    }
    if (stage_ == Stage::Streaming) return close();  // its caller sees the truncation
    end_attempt(Status::Reset);
}

void EndpointConnection::parse() {
    for (;;) {
        if (feed(*parser_, buffer_)) return reject_answer();  // it is unknown which request this answers
        if (stage_ == Stage::Streaming) return forward_piece();
        if (parser_->is_header_done() &&
            !is_one_answer(parser_->get(), pool_.protocol_.fields_that_stand_once()))
            return end_attempt(Status::Reset);
        if (!parser_->is_done()) break;
        // Guards against taking an interim answer for the final one.
        if (parser_->get().result_int() / 100 != 1) break;
        if (++interim_count_ > kMaxInterimAnswers) return end_attempt(Status::Error);
        reset_parser(parser_, kMaxHeaderBytes, pool_.protocol_.max_answer_bytes());
    }
    if (parser_->is_done()) return handle_complete_answer();
    if (parser_->is_header_done()) handle_partial_answer();
}

void EndpointConnection::handle_complete_answer() {
    const auto status = classify();
    // A success waits until the endpoint has the whole request.
    if (status == Status::Ok && stage_ == Stage::Writing) return;
    if (status) return complete_attempt(*status, ends_cleanly());
    // Guards against taking a late or surplus answer to an earlier request for the answer to this one.
    pool_.skipped_.add();
    ++origin_.skipped;
    if (++interim_count_ > kMaxInterimAnswers || !parser_->keep_alive()) return end_attempt(Status::Reset);
    reset_parser(parser_, kMaxHeaderBytes, pool_.protocol_.max_answer_bytes());
    if (buffer_.size() > 0) parse();
}

void EndpointConnection::handle_partial_answer() {
    if (stage_ == Stage::Writing) return;
    const auto& held = parser_->get().body();
    const auto length = parser_->content_length();
    // A long answer is streamed before it is complete: it may exceed what can be buffered, and its caller
    // waits for its first bytes. The threshold guards against a stated length that no body follows: until it
    // is reached the request can still be retried.
    if (held.size() <=
        (length && *length > kMaxBufferedBodyBytes ? kStreamThresholdBytes : kMaxBufferedBodyBytes))
        return;
    const auto status = classify();
    // The answer to another request is read to its end and skipped.
    if (!status) return parser_->get().body().clear();
    if (*status != Status::Ok) return end_attempt(*status);  // the body of a failure is not used
    if (!message_) return reject_answer();                   // nobody would read the rest of a health check's
    begin_streaming();
}

bool EndpointConnection::ends_cleanly() {
    const bool is_written = stage_ != Stage::Writing && !write_failed_ && !early_answer_;
    return is_written && parser_->keep_alive() && buffer_.size() == 0 && !read_error_ && !exchanges_.full() &&
           is_reusable();
}

std::optional<Status> EndpointConnection::classify() {
    return pool_.protocol_.classify(parser_->get(), message_.get(), id);
}

std::shared_ptr<const AnswerHead> EndpointConnection::head_of(
    const http::response<IncrementalBody>& answer) const {
    if (!pool_.protocol_.forwards_heads()) return nullptr;
    auto head = std::make_shared<HttpAnswerHead>();
    head->status = answer.result_int();
    head->fields = answer;
    head->origin = origin_;
    strip_connection_fields(head->fields, pool_.protocol_.end_to_end_fields());
    return head;
}

void EndpointConnection::begin_streaming() {
    const auto& answer = parser_->get();
    Result result{Status::Ok,
                  std::exchange(parser_->get().body(), {}),
                  std::string(answer[http::field::content_type]),
                  {},
                  {},
                  false,
                  head_of(answer)};
    if (const auto length = parser_->content_length()) result.length = *length;
    result.rest = answer_rest_ = std::make_shared<Pipe>(kMaxPipeBytes);
    // The pipe holds a reference to this until the answer ends: while the caller is slow no read is pending
    // that would hold one.
    answer_rest_->on_writable([self = shared_from_this()] {
        if (self->stage_ != Stage::Streaming) return;
        if (self->answer_rest_->reader_closed()) return self->close();  // its caller disconnected
        self->continue_reading();
    });
    stage_ = Stage::Streaming;
    unstreamed_bytes_ = 0;
    deadline_timer_.cancel();
    stage_timer_.cancel();
    const auto done = std::exchange(done_, nullptr);
    release();
    done(std::move(result));
}

void EndpointConnection::forward_piece() {
    const auto self = shared_from_this();
    answer_rest_->put(std::exchange(parser_->get().body(), {}));
    if (stage_ == Stage::Streaming && parser_->is_done()) finish_streaming(ends_cleanly());
}

void EndpointConnection::finish_streaming(bool keep) {
    const auto self = shared_from_this();
    answer_rest_->put(std::exchange(parser_->get().body(), {}));
    if (!answer_rest_) return;  // its caller disconnected meanwhile
    stage_timer_.cancel();
    std::exchange(answer_rest_, nullptr)->finish();
    if (stage_ == Stage::Closed) return;
    if (keep && pool_.may_keep(*this)) {
        return_to_pool();
    } else {
        close();
    }
}

void EndpointConnection::return_to_pool() {
    stage_ = Stage::Idle;
    unstreamed_bytes_ = 0;
    kept_.release();
    if (const Duration most = pool_.limits_.connection_idle; most > Duration{}) {
        const Duration keep_for{
            static_cast<Duration::rep>(static_cast<double>(most.count()) * kIdleTimeoutShare)};
        stage_timer_.set(EventLoop::monotonic() + keep_for,
                         [self = shared_from_this()] { self->close_idle(); });
    }
    pool_.add_idle(shared_from_this());
}

void EndpointConnection::complete_attempt(Status status, bool keep) {
    auto answer = parser_->release();
    Result result;
    result.status = status;
    result.head = head_of(answer);
    if (result.status == Status::Ok || result.head) {
        result.body = std::move(answer.body());
        result.content_type = std::string(answer[http::field::content_type]);
    }
    deadline_timer_.cancel();
    auto done = std::exchange(done_, nullptr);
    result.connection_reusable = keep && pool_.may_keep(*this);
    if (result.connection_reusable) {
        release();
        return_to_pool();
    } else {
        close();
    }
    done(std::move(result));
}

void EndpointConnection::end_attempt(Status status) {
    auto done = std::exchange(done_, nullptr);
    const auto self = shared_from_this();
    close();
    release();
    Result result;
    result.status = status;
    if (done) done(std::move(result));
}

void EndpointConnection::close_idle() {
    const auto self = shared_from_this();
    pool_.remove_idle(*this);
    close();
}

void EndpointConnection::release() {
    // A pending write may still refer to the message of an attempt that was given up; its handler frees it.
    if (stage_ == Stage::Closed) return;
    outgoing_.reset();
    message_.reset();
}

}  // namespace martenford
