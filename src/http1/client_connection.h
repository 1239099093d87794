// One client's connection of an HttpListener: reads requests, hands them to the request handler and writes
// their answers. Private to the listener, which owns its life: each is in one of the listener's lists until
// it is closed.
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

#include "core/loop.h"
#include "core/pipe.h"
#include "core/request_counters.h"
#include "http1/connection_record.h"
#include "http1/held_answer.h"
#include "http1/http.h"
#include "http1/listener.h"
#include "http1/protocol.h"

namespace martenford {

/// One client's connection. A read is always pending, also while a request is open, so that a client that
/// leaves is seen.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(HttpListener& listener, asio::ip::tcp::socket socket)
        : listener_(listener),
          socket_(std::move(socket)),
          timer_(listener.loop_),
          record_(++listener.last_connection_),
          buffer_(kMaxBufferBytes),
          incoming_(kMaxBufferBytes) {}
    void start(HttpListener::Clients::iterator place);
    /// Nothing of it is waiting to be read. Guards against closing a connection under a request that has come
    /// whole and counts as taken.
    bool has_no_unread_data() const;
    /// Silent, and no byte of a next request has been read either.
    bool idle() const { return between_requests() && has_no_unread_data(); }
    /// The same, as far as has been read.
    bool between_requests() const {
        return stage_ == Stage::Reading && !parser_->got_some() && buffer_.size() == 0;
    }
    /// Bytes that the kernel holds and the client's kernel has not acknowledged.
    std::uint64_t unsent_bytes();
    /// Its request was read whole, its client still waits, and no answer was begun before the drain: one that
    /// was can't be taken back.
    bool awaits_answer() const;
    /// Answers that the request failed, unless an answer has begun: the process is about to end.
    void give_up();
    /// Since when it has its place among those like it.
    Time in_list_since() const { return in_list_since_; }
    void close();

  private:
    enum class Stage {
        Reading,    // the next request
        Waiting,    // for its answer
        Writing,    // the answer
        Lingering,  // until the client closes
        Closed
    };

    const ListenerLimits& limits() const { return listener_.protocol_.limits(); }
    void await_request();

    /// To the end of one of the listener's lists.
    void move_to(HttpListener::Clients& to);
    void read();
    /// Puts what a read has brought behind what is not parsed yet.
    void append_incoming();
    /// Notes bytes that come while a request is open, other than those of its body.
    void record_early_bytes(std::size_t size);
    void handle_disconnect();
    void parse();

    /// Answers a client that asks whether to send its body (RFC 9110, section 10.1.1), and turns away at
    /// once one whose length is more than may be or can be read in two ways.
    void expect_body();

    /// A body may be slow, but not stand still.
    void set_body_deadline();
    /// It was not read for a while: its time stands still until it is.
    void restart_body_deadline();
    void handle_read_timeout();

    /// The rest of a request that has been taken will not come, or can't be read.
    void abandon_upload();
    /// The request is whole, or (`arriving`) the rest of its body is passed on as it comes.
    void handle_request(bool arriving);
    void answer_readiness(bool keep);
    /// The request as the request handler gets it, without what concerns this connection alone.
    std::shared_ptr<HttpMessage> make_message(bool arriving);

    /// The last byte of a body that went on as it came.
    void handle_body_end();

    /// Guards against an answer that is still owed when SIGKILL comes.
    void limit_deadline(Time& deadline) const;

    /// How long the last byte has been waiting here to be read. Guards against counting the client's time
    /// from when the loop got to its request.
    Duration time_since_last_data();
    /// @param request number of the request on this connection that the answer is to.
    void answer(std::uint64_t request, Answer&& answer);

    /// Guards against an answer that breaks off because this process ends: nothing of it is written before
    /// all of it has come. Where it does not come in time, give_up() says so.
    void hold(Answer&& answer);
    void write_answer(Answer&& answer);
    /// Fails the request whose answer names another one.
    void withhold(Answer&& answer);

    /// Answers without the module.
    void send_local_reply(http::status status, bool keep, Duration retry_after = {},
                          const std::vector<std::pair<std::string, std::string>>& fields = {});
    void write(MessageWriter<false>::Head&& head, bool keep);
    /// A client may be slow, but not stand still.
    void restart_write_timer();
    /// The client must see that what it has got is not whole: a reset does that for every framing.
    void reset();

    /// Waits for the client to close first. Guards against a reset that takes the answer with it, where bytes
    /// of the client's are still unread.
    void linger();
    void restart_linger_timer();

    HttpListener& listener_;
    asio::ip::tcp::socket socket_;
    Timer timer_;
    ConnectionRecord record_;
    boost::beast::flat_buffer buffer_;  // read and not parsed yet
    /// What the pending read writes to. Parsing consumes buffer_, which would move under a read into it: its
    /// bytes would be counted where those of an earlier request lie.
    boost::beast::flat_buffer incoming_;
    HttpListener::Clients::iterator position_;
    HttpListener::Clients* list_ = &listener_.idle_;
    Stage stage_ = Stage::Reading;
    const Time connected_ = EventLoop::monotonic();
    Time in_list_since_ = connected_;
    bool reading_ = false, keep_alive_ = false, had_request_ = false, continue_sent_ = false;
    bool answer_begun_in_drain_ = false;  // the answer
    std::optional<Parser<true>> parser_;
    decision::RequestId id_;
    std::uint64_t request_number_ =
        0;  // number of the present request among those that the request handler was handed
    unsigned http_version_ = 11;  // of HTTP, as its client speaks it
    // A body that goes on as it comes.
    std::shared_ptr<Pipe> upload_;
    std::uint64_t received_ = 0;  // bytes of the body
    Time header_time_{};
    Duration paused_time_{};  // in which it was not read, since nobody took it
    std::optional<Time> paused_since_;
    Duration timeout_{};  // that its client waits, from the last byte on
    Time deadline_{};     // until which it waits; in a drain the request handler may have been told an
                       // earlier one
    // The answer.
    std::unique_ptr<HeldAnswer> held_answer_;
    std::string body_;
    std::shared_ptr<Pipe> answer_rest_;
    RequestCounters::Ticket ticket_;  // where there is a rest
    std::function<void()> on_written_;
    std::shared_ptr<MessageWriter<false>> reply_;
    Time linger_end_{};
};

}  // namespace martenford
