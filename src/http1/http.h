// Shared by client and endpoint connections: message size limits, incremental reading and writing.
#pragma once

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/endpoint_client.h"
#include "core/pipe.h"

namespace martenford {

namespace http = boost::beast::http;
using boost::system::error_code;

// A body up to this size is buffered whole, so that it can be sent again.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
// An answer stated to be longer than that is streamed once this much has arrived.
constexpr std::size_t kStreamThresholdBytes = 16 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 40 * 1024 * 1024;  // the longest bodies of the platform have 32 MB
constexpr std::size_t kMaxPipeBytes = 32 * 1024;           // buffered of a streamed body
constexpr std::size_t kMaxHeaderBytes = 8 * 1024;
constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::size_t kStreamReadBytes = 32 * 1024;  // per read of a streamed body
// The longest head that a listener may be set to take, or what is left of a streamed body's last read, and
// another read.
constexpr std::size_t kMaxBufferBytes = kStreamReadBytes + kReadBytes;
// Read for one answer before it is streamed: the answer, 1xx answers and answers to other requests before it,
// and the framing of all of them.
constexpr std::size_t kMaxUnstreamedBytes = 1024 * 1024;

/// A Beast body that holds the pieces that have arrived and were not taken yet. Unlike string_body it
/// reserves at most kMaxBufferedBodyBytes for a stated length.
struct IncrementalBody {
    using value_type = std::string;
    class reader {
      public:
        template <bool isRequest, class Fields>
        reader(http::header<isRequest, Fields>& head, value_type& held) : held_(held) {
            // Beast adds the trailers of a chunked body to the header fields, which RFC 9110, section 6.5.1,
            // forbids except for fields known to allow it. Guards against a trailer being taken for a header
            // of the message: which request it answers, that it never ran, whose tenant it is.
            keep_head_ = [this, &head] {
                if (head.count(http::field::transfer_encoding) > 0)
                    drop_trailers_ = [&head, fields = Fields(head)] { static_cast<Fields&>(head) = fields; };
            };
        }
        void init(const boost::optional<std::uint64_t>& length, error_code& error) {
            keep_head_();
            held_.reserve(
                static_cast<std::size_t>(std::min<std::uint64_t>(length.value_or(0), kMaxBufferedBodyBytes)));
            error = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, error_code& error) {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                held_.append(static_cast<const char*>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            error = {};
            return size;
        }
        void finish(error_code& error) {
            if (drop_trailers_) drop_trailers_();
            error = {};
        }

      private:
        value_type& held_;
        std::function<void()> keep_head_, drop_trailers_;
    };
};

/// A client's request without the fields that concern its connection alone. Its body is complete, or its rest
/// comes through a pipe.
struct HttpMessage : Message {
    explicit HttpMessage(http::request<IncrementalBody>&& from)
        : head(std::move(from.base())), body(std::move(from.body())) {}
    std::string_view id() const override { return field("X-Request-ID"); }
    std::string_view key() const override { return field("Idempotency-Key"); }
    std::string_view buffered_body() const override { return body; }
    std::string_view field(std::string_view name) const {
        const auto value = head[boost::beast::string_view(name.data(), name.size())];
        return {value.data(), value.size()};
    }
    bool is_streamed() const override { return rest != nullptr; }
    bool resendable() const override { return !rest || !rest_begun; }

    http::request_header<> head;
    mutable std::string body;  // the first part of a streamed body is sent from here and then freed
    std::shared_ptr<Pipe> rest;
    std::optional<std::uint64_t>
        length;                       // of the whole body, if it is streamed and the client stated its length
    mutable bool rest_begun = false;  // an attempt has read from `rest`
};

template <bool isRequest>
using Parser = http::parser<isRequest, IncrementalBody>;

template <bool isRequest>
void reset_parser(std::optional<Parser<isRequest>>& parser, std::size_t max_header_bytes = kMaxHeaderBytes,
                  std::uint64_t max_body_bytes = kMaxBodyBytes) {
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(max_header_bytes));
    parser->body_limit(max_body_bytes);
}

/// Moves the contents of the buffer into the parser, up to the end of the message. Needing more input is not
/// an error, unless the parser could make nothing of more than `max_unparsed_bytes`: it limits a head, but
/// neither the size and the extensions of a chunk nor trailer fields.
template <bool isRequest>
error_code feed(Parser<isRequest>& parser, boost::beast::flat_buffer& buffer,
                std::size_t max_unparsed_bytes = kMaxHeaderBytes) {
    while (buffer.size() > 0 && !parser.is_done()) {
        // Guards against a body over the limit. If a body starts in the same read in which the header ends,
        // an eager parser of Boost 1.74 ignores that the stated length is over the limit.
        parser.eager(parser.is_header_done());
        error_code error;
        buffer.consume(parser.put(buffer.data(), error));
        if (error == http::error::need_more) {
            if (buffer.size() > max_unparsed_bytes) return http::error::buffer_overflow;
            break;
        }
        if (error) return error;
    }
    return {};
}

/// Formats a time for Retry-After: seconds, with a fraction.
inline std::string seconds_text(Duration time) {
    return std::to_string(std::chrono::duration<double>(time).count());
}

/// Size of the next read. It bounds the unparsed bytes of a connection: few, except for a streamed body. 0 if
/// the buffer is full.
inline std::size_t read_size(const boost::beast::flat_buffer& buffer, bool passing) {
    return std::min(passing ? kStreamReadBytes : kReadBytes, buffer.max_size() - buffer.size());
}

/// Writes a message whose body is complete or comes through a pipe.
template <bool isRequest>
class MessageWriter : public std::enable_shared_from_this<MessageWriter<isRequest>> {
  public:
    using Head = http::message<isRequest, http::buffer_body>;

    /// `rest` follows `body`. The head states the length of both together, or chunked encoding.
    MessageWriter(Head head, std::string_view body, std::shared_ptr<Pipe> rest)
        : message_(std::move(head)), serializer_(message_), rest_(std::move(rest)) {
        set_piece(body.data(), body.size(), rest_ != nullptr);
    }

    const Head& head() const { return message_; }
    /// Called after each piece that has been written.
    std::function<void()> on_progress;
    /// Called when the first piece of the rest is taken; from then on the writer has the only copy.
    std::function<void()> on_rest;

    /// Writes the message and calls `done` once with the result: partial_message if the rest was broken off.
    /// `owner` keeps the socket and the body alive while a write is pending.
    template <class Socket>
    void run(Socket& socket, const std::shared_ptr<void>& owner,
             std::function<void(const error_code&)> done) {
        owner_ = owner;
        done_ = std::move(done);
        if (rest_) {
            rest_->on_readable([weak = this->weak_from_this(), &socket] {
                if (const auto self = weak.lock(); self && std::exchange(self->waiting_, false))
                    self->next(socket);
            });
        }
        write(socket);
    }
    /// Whether any byte was written. Known once a piece has been written or has failed.
    bool wrote_any() const { return wrote_any_; }
    /// Whether the writer waits for more of the rest.
    bool waiting() const { return waiting_; }
    /// No callback is called after this.
    void stop() {
        done_ = nullptr;
        on_progress = nullptr;
        if (rest_) rest_->on_readable(nullptr);
    }

  private:
    void set_piece(const void* data, std::size_t size, bool more) {
        message_.body().data = size > 0 ? const_cast<void*>(data) : nullptr;
        message_.body().size = size;
        message_.body().more = more;
    }
    template <class Socket>
    void write(Socket& socket) {
        http::async_write(socket, serializer_,
                          [self = this->shared_from_this(), owner = owner_.lock(), &socket](
                              const error_code& error, std::size_t size) {
                              self->wrote_any_ |= size > 0;
                              if (!self->done_) return;
                              if (error && error != http::error::need_buffer) return self->end(error);
                              if (!error) return self->end({});
                              if (self->on_progress) self->on_progress();
                              if (self->done_) self->next(socket);
                          });
    }
    template <class Socket>
    void next(Socket& socket) {
        if (!done_) return;
        if (rest_->empty() && rest_->state() == Pipe::State::Open) {
            waiting_ = true;
            return;
        }
        if (on_rest) std::exchange(on_rest, nullptr)();
        piece_ = rest_->take();
        // Taking may have let the pipe's writer add more, synchronously.
        if (piece_.empty() && rest_->state() == Pipe::State::Failed) return end(http::error::partial_message);
        const bool more = rest_->state() != Pipe::State::Complete || !rest_->empty();
        set_piece(piece_.data(), piece_.size(), more);
        write(socket);
    }
    void end(const error_code& error) {
        if (const auto done = std::exchange(done_, nullptr)) done(error);
    }

    Head message_;
    http::serializer<isRequest, http::buffer_body> serializer_;
    std::shared_ptr<Pipe> rest_;
    std::string piece_;
    std::weak_ptr<void> owner_;
    bool waiting_ = false;
    bool wrote_any_ = false;
    std::function<void(const error_code&)> done_;
};

}  // namespace martenford
