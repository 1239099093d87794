// The interface between the engine and the client that sends attempts to endpoints. An EndpointClient makes
// no routing decision and never retries on its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/pipe.h"
#include "core/scheduler.h"

namespace martenford {

/// A request as a listener has read it and an EndpointClient will write it. The engine passes it on and does
/// not look into it.
class Message {
  public:
    Message() = default;
    Message(const Message&) = delete;
    Message& operator=(const Message&) = delete;
    virtual ~Message() = default;
    // What every listener provides about a request, whatever its protocol.
    std::uint32_t class_index = 0;
    virtual std::string_view id() const { return {}; }
    /// The idempotency key, by which endpoints recognize a repeated request; empty if it has none.
    virtual std::string_view key() const { return {}; }
    /// The bytes of the body that are buffered now: all of it, unless the body is streamed.
    virtual std::string_view buffered_body() const { return {}; }
    /// Whether a part of the body arrives while it is sent. Two concurrent attempts would each consume pieces
    /// of it.
    virtual bool is_streamed() const { return false; }
    /// Whether another attempt could send it. False once a part of its body has been forwarded and freed.
    virtual bool resendable() const { return true; }
};

/// The head of an endpoint's answer, for deployments that forward it to the caller as it came. The engine
/// does not look into it.
class AnswerHead {
  public:
    AnswerHead() = default;
    AnswerHead(const AnswerHead&) = delete;
    AnswerHead& operator=(const AnswerHead&) = delete;
    virtual ~AnswerHead() = default;
};

/// How an attempt or a probe ended. Full, ConnectFailed and NotSent prove that the request never ran.
struct Result {
    decision::Status status = decision::Status::Error;
    std::string body{};            ///< of a successful answer: the whole body, or the part that has arrived
    std::string content_type{};    ///< its Content-Type, if the answer has one
    std::shared_ptr<Pipe> rest{};  ///< the rest of a streamed body; null if `body` is complete
    std::optional<std::uint64_t> length{};  ///< of the whole body, if the answer states it
    bool connection_reusable = false;       ///< the connection can carry another request
    /// The head of an answer that is forwarded, also of one that was not a success; else null.
    std::shared_ptr<const AnswerHead> head{};
};

class EndpointClient {
  public:
    using Done = std::function<void(Result&&)>;
    /// An attempt in flight.
    class Attempt {
      public:
        virtual ~Attempt() = default;
        /// Stops waiting; the attempt ends as Cancelled.
        virtual void cancel() = 0;
        /// Ends the attempt if the endpoint does not have the whole request yet: nothing of it has been
        /// written, or the last byte of its body has not arrived. It ends as NotSent if it cannot have run,
        /// else as Cancelled. Otherwise does nothing.
        virtual void withdraw_if_unsent() = 0;
        /// Ends the attempt at `end`, and not before.
        virtual void set_deadline(Time end) = 0;
    };
    /// Expired once the attempt has ended.
    using Handle = std::weak_ptr<Attempt>;

    virtual ~EndpointClient() = default;
    /// Sends a request once and calls `done` once with the result, possibly before this returns. Times out at
    /// `end`. The message is kept alive until the attempt is over.
    virtual Handle send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) = 0;
    virtual void probe(EndpointId id, Done done) = 0;
    /// Sets a callback for every attempt whose last byte has been written.
    void on_written(std::function<void(const Message&, EndpointId)> callback) {
        on_written_ = std::move(callback);
    }
    /// Closes the connections to an endpoint that carry no request.
    virtual void close_idle_connections(EndpointId id) = 0;

  protected:
    std::function<void(const Message&, EndpointId)> on_written_;
};

}  // namespace martenford
