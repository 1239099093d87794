// One client connection of an HttpListener: reads requests, passes them to the request handler and writes the
// answers. Internal to the listener, which owns it: it is in one of the listener's lists until it is closed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/byte_budget.h"
#include "core/loop.h"
#include "core/pipe.h"
#include "core/request_counters.h"
#include "http1/connection_record.h"
#include "http1/held_answer.h"
#include "http1/http.h"
#include "http1/listener.h"
#include "http1/protocol.h"

namespace martenford {

/// A client connection. A read is always pending, also while a request is open, so that a client's disconnect
/// is noticed.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(HttpListener& listener, asio::ip::tcp::socket socket)
        : listener_(listener),
          socket_(std::move(socket)),
          timer_(listener.loop_),
          linger_read_timer_(listener.loop_),
          record_(++listener.last_connection_),
          kept_(listener.loop_.received_bytes()),
          arriving_body_(listener.arriving_bodies_),
          buffer_(kMaxBufferBytes),
          incoming_(kMaxBufferBytes) {}
    void start(HttpListener::Clients::iterator place);
    /// Whether no received bytes wait to be read. Guards against closing a connection whose next request has
    /// arrived completely and therefore counts as accepted.
    bool has_no_unread_data() const;
    /// Whether it is between requests, also by what has not been read yet.
    bool idle() const { return between_requests() && has_no_unread_data(); }
    /// Whether no byte of a next request has been read.
    bool between_requests() const {
        return stage_ == Stage::Reading && !parser_->got_some() && buffer_.size() == 0;
    }
    /// Bytes in the kernel's send queue that the client has not acknowledged.
    std::uint64_t unsent_bytes();
    /// Whether its request was read completely, its client still waits, and no answer was begun before the
    /// drain. An answer that has begun cannot be replaced by a failure.
    bool awaits_answer() const;
    /// Fails the request unless an answer to it has begun, because the process is about to end.
    void give_up();
    /// Since when it has been in its present list.
    Time in_list_since() const { return in_list_since_; }
    void close();

  private:
    enum class Stage {
        Reading,    // the next request
        Waiting,    // for the answer
        Writing,    // the answer
        Lingering,  // until the client closes
        Closed
    };

    const ListenerLimits& limits() const { return listener_.protocol_.limits(); }
    void await_request();

    /// Moves it to the end of one of the listener's lists.
    void move_to(HttpListener::Clients& to);
    void read();
    /// Accounts for what is kept until the next read. Returns false if there is no room for it.
    [[nodiscard]] bool reserve_kept_bytes();
    /// Ends the exchange for which there is no room.
    void handle_no_room();
    /// Appends what the last read brought to the bytes that are not parsed yet.
    void append_incoming();
    /// Counts bytes that arrive while a request is open and are not part of its body.
    void record_early_bytes(std::size_t size);
    void handle_disconnect();
    void parse();

    /// Notes how much of a body is buffered before its request is passed on. Returns false if it is too much.
    [[nodiscard]] bool set_arriving_body(std::size_t bytes);
    /// Frees what has arrived of a body whose request will not be passed on.
    void drop_arriving_body();

    /// Answers "Expect: 100-continue" (RFC 9110, section 10.1.1). A body that is too long or whose length is
    /// ambiguous is rejected instead.
    void expect_body();

    /// Sets the time by which more of the body must have arrived: a body may be slow, but must not stall.
    void set_body_deadline();
    /// Extends that time after reading was paused, when the pause was not the client's doing.
    void restart_body_deadline();
    void handle_read_timeout();

    /// The rest of a submitted request will not arrive or cannot be parsed.
    void abandon_upload();
    /// The request is complete or, with `arriving`, the rest of its body is streamed.
    void handle_request(bool arriving);
    void answer_readiness(bool keep);
    /// Builds the message for the request handler, without the fields that concern this connection alone.
    std::shared_ptr<HttpMessage> make_message(bool arriving);

    /// The last byte of a streamed body has been read.
    void handle_body_end();

    /// While draining, guards against an answer that is still due when SIGKILL comes.
    void limit_deadline(Time& deadline) const;

    /// How long the last bytes have waited in the kernel. The client's timeout counts from their arrival, not
    /// from when the event loop got to them.
    Duration time_since_last_data();
    /// @param request number of the request, on this connection, that this answers
    void answer(std::uint64_t request, Answer&& answer);

    /// Buffers an answer until it is complete before any of it is written, so that the end of this process
    /// cannot truncate it. If it is not complete in time, give_up() fails the request.
    void hold(Answer&& answer);
    void write_answer(Answer&& answer);
    /// Fails the request because its answer names another request.
    void withhold(Answer&& answer);

    /// Sends an answer without a body that this proxy makes itself.
    void send_local_reply(http::status status, bool keep, Duration retry_after = {},
                          const std::vector<std::pair<std::string, std::string>>& fields = {});
    void write(MessageWriter<false>::Head&& head, bool keep);
    /// A client may read slowly, but must not stall.
    void restart_write_timer();
    /// Resets the connection: whatever the framing, this shows the client that its answer is truncated.
    void reset();

    /// Half-closes the connection and waits for the client to close it. Closing at once with unread bytes
    /// would send a reset, on which the client may lose the answer.
    void linger();
    void restart_linger_timer();
    /// Drops what was read, and reads on after a pause.
    void linger_on();

    HttpListener& listener_;
    asio::ip::tcp::socket socket_;
    Timer timer_;
    Timer linger_read_timer_;
    ConnectionRecord record_;
    ByteReservation kept_;              // bytes that were read and are neither parsed nor passed on
    ByteReservation arriving_body_;     // of the parser's body, while it is being buffered
    boost::beast::flat_buffer buffer_;  // read, but not parsed yet
    /// The target of the pending read. A read into buffer_ itself would go wrong: parsing moves its contents,
    /// and the bytes read would be taken from where earlier ones lie.
    boost::beast::flat_buffer incoming_;
    HttpListener::Clients::iterator position_;
    HttpListener::Clients* list_ = &listener_.idle_;
    Stage stage_ = Stage::Reading;
    const Time connected_ = EventLoop::monotonic();
    Time in_list_since_ = connected_;
    bool reading_ = false, keep_alive_ = false, had_request_ = false, continue_sent_ = false;
    bool answer_begun_in_drain_ = false;  // of the present answer
    std::optional<Parser<true>> parser_;
    decision::RequestId id_;
    // Number of the present request among those passed to the request handler.
    std::uint64_t request_number_ = 0;
    unsigned http_version_ = 11;  // HTTP version of the client's request
    // A streamed body of a request.
    std::shared_ptr<Pipe> upload_;
    std::uint64_t received_ = 0;  // bytes of the body
    Time header_time_{};
    Duration paused_time_{};  // time in which the body was not read, because the endpoint took none of it
    std::optional<Time> paused_since_;
    Duration timeout_{};  // the client's timeout, from the last byte of its request
    Time deadline_{};     // end of that timeout; while draining, the request handler may have been given an
                          // earlier one
    // The answer.
    std::unique_ptr<HeldAnswer> held_answer_;
    std::string body_;
    std::shared_ptr<Pipe> answer_rest_;
    RequestCounters::Ticket ticket_;  // set with a streamed answer
    std::function<void()> on_written_;
    std::shared_ptr<MessageWriter<false>> reply_;
    Time linger_end_{};
};

}  // namespace martenford
