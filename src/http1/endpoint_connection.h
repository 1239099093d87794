// One connection of an Http1EndpointClient to an endpoint: writes a request, reads its answer, and tells how
// the attempt ended. Private to the pool.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>

#include "core/endpoint_client.h"
#include "core/loop.h"
#include "core/pipe.h"
#include "http1/connection_record.h"
#include "http1/endpoint_client.h"
#include "http1/exchange_record.h"
#include "http1/http.h"

namespace martenford {

/// One connection to an endpoint. It carries one request at a time; a read is always pending, so that a close
/// is seen while it carries none.
class EndpointConnection : public EndpointClient::Attempt,
                           public std::enable_shared_from_this<EndpointConnection> {
  public:
    /// @param number among those that its pool opened
    EndpointConnection(Http1EndpointClient& pool, EndpointId id, const Address& address,
                       std::uint64_t number);

    const EndpointId id;
    const Address address;
    std::optional<Http1EndpointClient::ByIdleTime::iterator> idle_position;  // while it is idle

    /// Sends a request, or with a null message a probe; `done` is called once with how that ended.
    void start(std::shared_ptr<const HttpMessage> message,
               std::shared_ptr<Http1EndpointClient::RequestWriter> outgoing, Time end,
               EndpointClient::Done done);
    /// Whether it has carried no attempt of this request. Guards against a late answer to that attempt, which
    /// names this request too.
    bool may_send(const HttpMessage& message) const;
    /// Whether it can carry a request: the endpoint has neither closed it nor said anything unasked. Guards
    /// against taking what is left of an earlier answer for the answer to the next request.
    bool is_reusable();
    /// For an attempt that is no longer wanted.
    void cancel() override;
    void withdraw_if_unsent() override;
    void set_deadline(Time end) override;
    /// For one that carries nothing.
    void close();

  private:
    /// Streaming: the attempt has ended as served, and the rest of its answer goes on through a pipe.
    enum class Stage { Connecting, Writing, Waiting, Streaming, Idle, Closed };

    /// Whether a part of the request's body has yet to come from its caller.
    bool request_arriving() const;
    /// Before that an attempt has not run. Where bytes are held here alone the endpoint can't have the last
    /// one.
    bool request_written() const;

    void connect();
    void write();
    void read();
    /// Reads on, unless a read is pending or whoever the answer goes to is slower.
    void continue_reading();

    /// Whether the request was written whole is known once its write has ended, which takes as long as its
    /// caller takes to send it: one that is still arriving is over at once, and never ran.
    void handle_early_bytes(const error_code& error);

    /// The endpoint closed the connection, or it broke.
    void handle_read_end(const error_code& error);

    /// Takes what has been read into the answer that is expected.
    void parse();
    void handle_complete_answer();
    /// The head of an answer has come, and a part of its body.
    void handle_partial_answer();
    /// Whether the connection may carry another request: the answer ended where it should, and nothing came
    /// before its request was written.
    bool ends_cleanly();

    /// How the attempt ended by the answer that has come; empty: it answers another request.
    std::optional<decision::Status> classify();
    /// The head as the caller is to get it; null where answers are not passed on with theirs.
    std::shared_ptr<const AnswerHead> head_of(const http::response<IncrementalBody>& answer) const;

    /// Ends the attempt as served, with an answer of which more is to come.
    void begin_streaming();
    void forward_piece();
    /// @param keep whether the connection may carry another request.
    void finish_streaming(bool keep);
    /// Goes back to its pool, for the next attempt.
    void return_to_pool();

    /// Ends the attempt with the whole answer that has come.
    void complete_attempt(decision::Status status, bool keep);

    /// Ends the attempt that this connection carries, and the connection with it.
    void end_attempt(decision::Status status);

    /// Closes an idle connection, and takes it from its pool.
    void close_idle();
    /// Lets the request go.
    void release();

    Http1EndpointClient& pool_;
    asio::ip::tcp::socket socket_;
    Timer stage_timer_, deadline_timer_;
    boost::beast::flat_buffer buffer_;
    Stage stage_ = Stage::Connecting;
    error_code read_error_;  // of a read while the request was being written
    bool reading_ = false;
    int interim_count_ = 0;
    std::optional<Parser<false>> parser_;
    std::shared_ptr<const HttpMessage> message_;
    std::shared_ptr<Http1EndpointClient::RequestWriter> outgoing_;
    std::shared_ptr<Pipe> answer_rest_;  // of the answer that passes through
    EndpointClient::Done done_;
    ExchangeRecord exchanges_;
    AnswerOrigin origin_;  // of the answer that is expected
};

}  // namespace martenford
