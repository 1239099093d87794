// What differs between deployments that speak HTTP/1.1: which fields a request must have, what proves that a
// request never ran, what an answer carries besides its body. Listeners and endpoint clients do the reading
// and writing.
#pragma once

#include <algorithm>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/engine.h"
#include "http1/connection_record.h"
#include "http1/http.h"

namespace martenford {

/// Names of header fields; they are compared without regard to case.
using FieldNames = std::span<const std::string_view>;

/// The head of an endpoint's answer, without the fields that concern its connection alone.
class HttpAnswerHead : public AnswerHead {
  public:
    unsigned status = 0;
    http::fields fields;
    AnswerOrigin origin;
};

/// Limits on requests and client connections. Sizes are in bytes, times by the monotonic clock.
struct ListenerLimits {
    Duration head_time = 2600ms;  ///< time in which a head must be complete: from its first byte, or from the
                                  ///< connect for the first request on a connection
    Duration idle_time = 15s;     ///< time for which a connection without a request is kept open
    std::size_t max_header_bytes = kMaxHeaderBytes;
    std::uint64_t max_body_bytes = kMaxBodyBytes;
    /// A body up to this size is buffered whole; longer ones are streamed.
    std::size_t max_buffered_body_bytes = kMaxBufferedBodyBytes;
    /// What bodies that are being buffered may take on all connections together; a request whose body goes
    /// beyond it is answered with 503. Default: no limit of its own.
    std::size_t max_arriving_body_bytes = std::numeric_limits<std::size_t>::max();
};

/// The phases of a shutdown, counted from SIGTERM.
struct DrainTimes {
    Duration accept_period{};       ///< connections are accepted for so long
    Duration request_grace{};       ///< requests on them are accepted for at least this much longer
    Duration answer_deadline{};     ///< all accepted requests are answered by then
    Duration answer_only_period{};  ///< no new requests are accepted for so long before that
    /// The process ends soon after `answer_deadline`, whatever is in flight. Answers to requests with a later
    /// deadline are held until they are complete, up to this many bytes in all; those that are incomplete at
    /// `answer_deadline` are given up. 0: answers are passed on as they arrive.
    std::size_t max_held_bytes = 0;
};

/// An answer made without the request handler.
struct LocalReply {
    http::status status = http::status::bad_request;
    bool keep = true;  ///< keep the connection open, if its client wants that
    Duration retry_after{};
    std::vector<std::pair<std::string, std::string>> fields{};
};

class ServerProtocol {
  public:
    using Fields = http::request_header<>;
    virtual ~ServerProtocol() = default;
    virtual const ListenerLimits& limits() const = 0;
    virtual DrainTimes drain_times() const = 0;
    /// The path of the readiness check; empty: none on this port.
    virtual std::string_view ready_path() const { return {}; }
    /// Returns the event for a request, or the reply that rejects it. `arrived` is when its last byte was
    /// received. May add and remove fields; those that concern the connection alone are gone already.
    virtual std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) = 0;
    /// Fields that are meant for all recipients of a request, also where its Connection field names them.
    virtual FieldNames end_to_end_fields() const { return {}; }
    /// Sets the status and the fields of the answer to request `id`. The listener sets its length and
    /// connection fields.
    virtual void write(const Answer& answer, const decision::RequestId& id,
                       http::response_header<>& head) = 0;
    /// Returns false if the answer is an endpoint's and names another request than `id`. Such an answer is
    /// withheld, and the client is told that its request failed.
    [[nodiscard]] virtual bool is_answer_to(const Answer&, const decision::RequestId&) const { return true; }
    /// Called when an answer was withheld. `record` tells what the client's connection carried last.
    virtual void on_withheld(const Answer&, const decision::RequestId&, const ConnectionRecord& record) {
        (void)record;
    }
};

class ClientProtocol {
  public:
    virtual ~ClientProtocol() = default;
    /// Adds and removes fields of a request before it is sent to `to`; the attempt times out at `end`.
    virtual void prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to,
                         Time end) = 0;
    /// Whether this attempt carries the body of the message.
    virtual bool carries_body(const HttpMessage&) const { return true; }
    /// Whether an endpoint may begin to run a request before the last byte of it has arrived. If so, an
    /// attempt that ends before that byte was written may have run, unless the endpoint says that it did not;
    /// and an answer that comes before may be the answer to it.
    virtual bool may_run_incomplete_requests() const { return false; }
    /// The name by which answers identify their request, for endpoints that may answer late or twice. A
    /// connection carries each name at most once: a late answer to an earlier attempt of a request would look
    /// like the answer to this one. Empty: answers do not name their request.
    virtual std::string_view exchange_name(const HttpMessage&) const { return {}; }
    /// Builds the health check request.
    virtual void prepare_probe(http::request_header<>& head) = 0;
    /// How the attempt ended. Empty: this answers another request, and is skipped.
    virtual std::optional<decision::Status> classify(const http::response_header<>& head,
                                                     const HttpMessage* message, EndpointId from) = 0;
    /// Fields that are meant for all recipients of an answer, also where its Connection field names them.
    virtual FieldNames end_to_end_fields() const { return {}; }
    /// Fields that decide how an attempt ended. An answer that has one of them twice proves nothing.
    virtual FieldNames fields_that_stand_once() const { return {}; }
    /// Whether the heads of answers are forwarded.
    virtual bool forwards_heads() const { return false; }
    /// Whether an answer without a stated length may end with the connection.
    virtual bool allows_close_delimited() const { return true; }
    /// An answer whose body is longer fails.
    virtual std::uint64_t max_answer_bytes() const { return kMaxBodyBytes; }
};

/// Removes the fields that concern one connection alone (RFC 9110, section 7.6.1): those that HTTP defines as
/// such, and those that a Connection field names. Of the latter `end_to_end` stay, which are meant for all
/// recipients: the RFC forbids a sender to name such a field. Call it before fields of our own are set, so
/// that the sender cannot remove those.
template <class Fields>
void strip_connection_fields(Fields& fields, FieldNames end_to_end) {
    std::string named;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        named.append(field->value().data(), field->value().size()).append(",");
    }
    for (const auto& token : http::token_list(named)) {
        const auto is_token = [&token](std::string_view name) {
            return boost::beast::iequals(token, boost::beast::string_view(name.data(), name.size()));
        };
        if (std::none_of(end_to_end.begin(), end_to_end.end(), is_token)) fields.erase(token);
    }
    for (const auto field : {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                             http::field::te, http::field::trailer, http::field::upgrade, http::field::expect,
                             http::field::content_length, http::field::transfer_encoding}) {
        fields.erase(field);
    }
}

/// Parses text that consists of an integer and nothing else.
std::optional<std::int64_t> parse_integer(boost::beast::string_view text);

/// The protocol of the platform's sidecars, with X-Request-ID, X-Timeout-Ms and so on.
class SidecarServerProtocol : public ServerProtocol {
  public:
    explicit SidecarServerProtocol(const decision::Settings& settings) : settings_(settings) {}
    const ListenerLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override;
    FieldNames end_to_end_fields() const override;
    std::string_view ready_path() const override { return "/-/ready"; }
    std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) override;
    void write(const Answer& answer, const decision::RequestId& id, http::response_header<>& head) override;

  private:
    const decision::Settings& settings_;
    ListenerLimits limits_;
};

class SidecarClientProtocol : public ClientProtocol {
  public:
    void prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to, Time end) override;
    void prepare_probe(http::request_header<>& head) override;
    std::optional<decision::Status> classify(const http::response_header<>& head, const HttpMessage* message,
                                             EndpointId from) override;
};

}  // namespace martenford
