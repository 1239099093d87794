// The seam between the engine and whatever carries attempts to endpoints. A back makes no decision and never
// sends anything again by itself.
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

/// What a front has read and a back will write. The engine hands it on and looks at nothing in it.
class Message {
  public:
    Message() = default;
    Message(const Message&) = delete;
    Message& operator=(const Message&) = delete;
    virtual ~Message() = default;
    // What any front tells of a request, whatever its protocol.
    std::uint32_t class_index = 0;
    virtual std::string_view id() const { return {}; }
    /// By which endpoints know a repeat; empty: it has none.
    virtual std::string_view key() const { return {}; }
    /// The bytes of the body that are held now; all of it unless it goes on as it comes.
    virtual std::string_view buffered_body() const { return {}; }
    /// Whether a part of it comes while it is sent: two attempts at once would each take pieces of it.
    virtual bool is_streamed() const { return false; }
    /// Whether a further attempt could carry it: not once a part of it was handed on and let go.
    virtual bool resendable() const { return true; }
};

/// The head of an endpoint's answer, where the caller is to get it as it came. The engine looks at nothing in
/// it.
class AnswerHead {
  public:
    AnswerHead() = default;
    AnswerHead(const AnswerHead&) = delete;
    AnswerHead& operator=(const AnswerHead&) = delete;
    virtual ~AnswerHead() = default;
};

/// How an attempt or a probe ended. Full, ConnectFailed and NotSent prove that it never ran.
struct Result {
    decision::Status status = decision::Status::Error;
    std::string body{};                     ///< of an answer that served, or what has come of it
    std::string content_type{};             ///< and its type, where it gives one
    std::shared_ptr<Pipe> rest{};           ///< what follows the body; empty: it is whole
    std::optional<std::uint64_t> length{};  ///< of the whole, where the answer says so
    bool connection_reusable = false;       ///< the connection can carry another
    /// Of an answer that is passed on as it came, one that did not serve among them; else empty.
    std::shared_ptr<const AnswerHead> head{};
};

class EndpointClient {
  public:
    using Done = std::function<void(Result&&)>;
    /// One attempt on its way.
    class Attempt {
      public:
        virtual ~Attempt() = default;
        /// Stops waiting: the outcome is Cancelled.
        virtual void cancel() = 0;
        /// Ends an attempt that can't have run as never sent: nothing of it has been written, or not the last
        /// byte of a body that is still arriving. Leaves any other alone.
        virtual void withdraw_if_unsent() = 0;
        /// Gives up at `end` and no sooner.
        virtual void set_deadline(Time end) = 0;
    };
    /// Empty once the attempt has ended.
    using Handle = std::weak_ptr<Attempt>;

    virtual ~EndpointClient() = default;
    /// Sends a request once and calls `done` once with how it ended, also before this returns. Gives up at
    /// `end`. The message is held until the attempt is over.
    virtual Handle send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) = 0;
    virtual void probe(EndpointId id, Done done) = 0;
    /// Called whenever the last byte of an attempt has been written.
    void on_written(std::function<void(const Message&, EndpointId)> callback) {
        on_written_ = std::move(callback);
    }
    /// Closes the connections to an endpoint that carry nothing now.
    virtual void close_idle_connections(EndpointId id) = 0;

  protected:
    std::function<void(const Message&, EndpointId)> on_written_;
};

}  // namespace martenford
