// What differs between the deployments that speak HTTP/1.1: which fields a request must have, what proves
// that one never ran, what an answer says beside its body. Fronts and backs read and write; a protocol says
// what it means.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/engine.h"
#include "http1/connection_record.h"
#include "http1/http.h"

namespace martenford {

/// The head of an endpoint's answer as it came, less what concerns its connection alone.
class HttpAnswerHead : public AnswerHead {
  public:
    unsigned status = 0;
    http::fields fields;
    AnswerOrigin origin;
};

/// What callers may send and how long they may take. Bytes, and times by the steady clock.
struct ListenerLimits {
    Duration head_time = 2600ms;  ///< a head must be whole in this time from its first byte, the first on a
                                  ///< connection from the connect
    Duration idle_time = 15s;     ///< a connection between requests is kept for this long
    std::size_t max_header_bytes = kMaxHeaderBytes;
    std::uint64_t max_body_bytes = kMaxBodyBytes;
    std::size_t max_buffered_body_bytes =
        kMaxBufferedBodyBytes;  ///< up to here a body is held whole; longer ones go on as they come
};

/// What is done after SIGTERM, counted from it.
struct DrainTimes {
    Duration accept_period{};       ///< connections are accepted for so long
    Duration request_grace{};       ///< and the requests on them are taken for this much longer, at least
    Duration answer_deadline{};     ///< all that was taken is answered by then
    Duration answer_only_period{};  ///< and no more requests are taken for so long before that
    /// The process ends soon after `answer_deadline`, whatever is under way. Answers to requests whose
    /// deadline is later are held until they are whole, up to so many bytes in all; those that are not whole
    /// at `answer_deadline` are given up. 0: answers are passed on as they come.
    std::size_t max_held_bytes = 0;
};

/// An answer without the request handler.
struct LocalReply {
    http::status status = http::status::bad_request;
    bool keep = true;  ///< the connection, where its client wants that
    Duration retry_after{};
    std::vector<std::pair<std::string, std::string>> fields{};
};

class ServerProtocol {
  public:
    using Fields = http::request_header<>;
    virtual ~ServerProtocol() = default;
    virtual const ListenerLimits& limits() const = 0;
    virtual DrainTimes drain_times() const = 0;
    /// Where callers ask whether the process is ready; empty: not on this port.
    virtual std::string_view ready_path() const { return {}; }
    /// The event that a request stands for, or what turns it away. `arrived` is when its last byte came.
    /// Fields may be added and taken off.
    virtual std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) = 0;
    /// The status and the fields of the answer to request `id`; its length and its connection are the
    /// front's.
    virtual void write(const Answer& answer, const decision::RequestId& id,
                       http::response_header<>& head) = 0;
    /// Returns false if the answer is an endpoint's and names another request than `id`. Such an answer is
    /// withheld, and the client told that its request failed.
    [[nodiscard]] virtual bool is_answer_to(const Answer&, const decision::RequestId&) const { return true; }
    /// An answer was withheld. `record` tells what its client's connection carried last.
    virtual void on_withheld(const Answer&, const decision::RequestId&, const ConnectionRecord& record) {
        (void)record;
    }
};

class ClientProtocol {
  public:
    virtual ~ClientProtocol() = default;
    /// Adds and takes off fields of a request before it goes to `to`; the attempt ends at `end`.
    virtual void prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to,
                         Time end) = 0;
    /// Whether the message's body goes out with it now.
    virtual bool carries_body(const HttpMessage&) const { return true; }
    /// The name by which answers tell which request they answer, where endpoints may answer late or twice.
    /// A connection carries each name once at most: a late answer to a request's earlier attempt would look
    /// like the answer to this one. Empty: answers name no request.
    virtual std::string_view exchange_name(const HttpMessage&) const { return {}; }
    /// The request that asks an endpoint for its health.
    virtual void prepare_probe(http::request_header<>& head) = 0;
    /// How the attempt ended. Nothing: the answer is not to this request, and is passed over.
    virtual std::optional<decision::Status> classify(const http::response_header<>& head,
                                                     const HttpMessage* message, EndpointId from) = 0;
    /// Whether answers are passed on with their heads.
    virtual bool forwards_heads() const { return false; }
    /// Whether the end of a connection may end an answer of untold length.
    virtual bool allows_close_delimited() const { return true; }
};

/// Takes off what concerns one connection alone (RFC 9110, section 7.6.1).
template <class Fields>
void strip_connection_fields(Fields& fields) {
    const auto listed = std::string(fields[http::field::connection]);
    for (const auto& name : http::token_list(listed)) {
        if (!boost::beast::iequals(name, "close") && !boost::beast::iequals(name, "keep-alive")) {
            fields.erase(name);
        }
    }
    for (const auto field : {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                             http::field::te, http::field::trailer, http::field::upgrade, http::field::expect,
                             http::field::content_length, http::field::transfer_encoding}) {
        fields.erase(field);
    }
}

/// A whole number and nothing else; nothing where the text is none.
std::optional<std::int64_t> parse_integer(boost::beast::string_view text);

/// The protocol of the platform in service: X-Request-ID, X-Timeout-Ms and the rest of it.
class SidecarServerProtocol : public ServerProtocol {
  public:
    explicit SidecarServerProtocol(const decision::Settings& settings) : settings_(settings) {}
    const ListenerLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override;
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
