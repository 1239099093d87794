// One connection of an Http1EndpointClient to an endpoint: writes a request, reads its answer and reports how
// the attempt ended. Internal to the pool.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>

#include "core/byte_budget.h"
#include "core/endpoint_client.h"
#include "core/loop.h"
#include "core/pipe.h"
#include "http1/connection_record.h"
#include "http1/endpoint_client.h"
#include "http1/exchange_record.h"
#include "http1/http.h"

namespace martenford {

/// A connection to an endpoint. It carries one request at a time. A read is always pending, so that a close
/// is noticed while it is idle.
class EndpointConnection : public EndpointClient::Attempt,
                           public std::enable_shared_from_this<EndpointConnection> {
  public:
    /// @param number its number among the connections that the pool opened
    EndpointConnection(Http1EndpointClient& pool, EndpointId id, const Address& address,
                       std::uint64_t number);

    const EndpointId id;
    const Address address;
    std::optional<Http1EndpointClient::ByIdleTime::iterator> idle_position;  // set while it is idle

    /// Sends a request, or a probe if the message is null. `done` is called once with the result.
    void start(std::shared_ptr<const HttpMessage> message,
               std::shared_ptr<Http1EndpointClient::RequestWriter> outgoing, Time end,
               EndpointClient::Done done);
    /// Whether it has carried no earlier attempt of this request. Guards against a late answer to that
    /// attempt, which names this request too.
    bool may_send(const HttpMessage& message) const;
    /// Whether it can carry another request: the endpoint has neither closed it nor sent unexpected bytes.
    /// Guards against taking the rest of an earlier answer for the answer to the next request.
    bool is_reusable();
    /// Cancels an attempt that is no longer wanted.
    void cancel() override;
    void withdraw_if_unsent() override;
    void set_deadline(Time end) override;
    /// Only for a connection that carries no attempt.
    void close();

  private:
    /// Streaming: the attempt has ended successfully, and the rest of its answer is passed on through a pipe.
    enum class Stage { Connecting, Writing, Waiting, Streaming, Idle, Closed };

    /// Whether a part of the request's body has yet to arrive from the caller.
    bool request_arriving() const;
    /// Whether the endpoint may have begun to run the request, by what has been sent of it.
    bool may_have_run() const;

    void connect();
    void write();
    void read();
    /// Reads on, unless a read is pending or the receiver of the answer is slower.
    void continue_reading();
    /// Accounts for what is kept until the next read. Returns false if it is more than an answer may take.
    [[nodiscard]] bool reserve_kept_bytes();
    /// What the endpoint sends is no answer: ends the attempt, or shows the caller that its answer is
    /// truncated.
    void reject_answer();

    /// The endpoint sent bytes before the request was written.
    void handle_early_bytes();
    /// Reads them as the answer to the request, or as an earlier one's.
    void parse_early_answer();
    /// The endpoint closed before the request was written, or the connection failed.
    void handle_early_close(const error_code& error);
    /// The request was not written completely.
    void handle_write_error(const error_code& error);

    /// The endpoint closed the connection, or it failed.
    void handle_read_end(const error_code& error);

    /// Parses what has been read as the expected answer.
    void parse();
    void handle_complete_answer();
    /// The head of an answer and a part of its body have been read.
    void handle_partial_answer();
    /// Whether the connection may carry another request: the answer ended where its framing says, and nothing
    /// arrived before the request was written.
    bool ends_cleanly();

    /// How the attempt ended according to this answer; empty if it answers another request.
    std::optional<decision::Status> classify();
    /// The head for the caller; null if the protocol does not forward heads.
    std::shared_ptr<const AnswerHead> head_of(const http::response<IncrementalBody>& answer) const;

    /// Ends the attempt as a success, with an answer whose body is streamed.
    void begin_streaming();
    void forward_piece();
    /// @param keep whether the connection may carry another request
    void finish_streaming(bool keep);
    /// Returns it to its pool for the next attempt.
    void return_to_pool();

    /// Ends the attempt with the complete answer.
    void complete_attempt(decision::Status status, bool keep);

    /// Ends the attempt and closes the connection.
    void end_attempt(decision::Status status);

    /// Closes an idle connection and removes it from its pool.
    void close_idle();
    /// Frees the request.
    void release();

    Http1EndpointClient& pool_;
    asio::ip::tcp::socket socket_;
    Timer stage_timer_, deadline_timer_;
    Time deadline_{};  // of the request that was sent last
    boost::beast::flat_buffer buffer_;
    ByteReservation kept_;  // bytes that were read and not passed on
    // Read since the request began to be written, until its answer is streamed.
    std::size_t unstreamed_bytes_ = 0;
    Stage stage_ = Stage::Connecting;
    // Error of a read while the request was being written, or unexpected_body if bytes came that are kept
    // until it is written. There is no further read until then.
    error_code read_error_;
    bool early_answer_ = false;  // the answer to the request began before its last byte was written
    bool write_failed_ = false;
    bool reading_ = false;
    int interim_count_ = 0;
    std::optional<Parser<false>> parser_;
    std::shared_ptr<const HttpMessage> message_;
    std::shared_ptr<Http1EndpointClient::RequestWriter> outgoing_;
    std::shared_ptr<Pipe> answer_rest_;  // of a streamed answer
    EndpointClient::Done done_;
    ExchangeRecord exchanges_;
    AnswerOrigin origin_;  // of the expected answer
};

}  // namespace martenford
