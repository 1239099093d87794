// Test doubles of the hop tests: endpoints that misbehave and relays that disturb connections; and the
// history of requests, executions and responses.
#pragma once

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/loop.h"
#include "http1/http.h"
#include "policy/mechanics.h"

namespace martenford::hop_world {

using asio::ip::tcp;
using Random = decision::Random;

struct ClientResponse {
    unsigned status = 0;
    std::string id, body;
    bool has_trailer_field = false;  // a trailer field became a header field
    std::string seal;
};
struct ClientRequest {
    bool idempotent = false;
    std::optional<ClientResponse> response;  // complete; empty: none
};
/// What clients and endpoints observed, by Attempt-Id.
struct History {
    std::map<std::string, ClientRequest> requests;
    std::map<std::string, int> executions;
    std::set<std::string> served;
};

/// Returns the body of the response to a request. One in four is longer than what proxies buffer.
inline std::string body_of(const std::string& id) {
    return id + std::string(std::hash<std::string>{}(id) % 4 == 0 ? 90'000 : 300, 'x');
}
inline std::string response_text(const std::string& status, const std::string& id, const std::string& fields,
                                 const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string served_text(const std::string& id) {
    return response_text("200 OK", id, "Server-Seal: s\r\n", body_of(id));
}
/// Closes a connection with a TCP reset.
inline void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

inline constexpr char kAnyAddress[] = "127.0.0.1:0";

/// Accepts connections and passes them on.
class Listener {
  public:
    /// Listens at `address`, "ip:port".
    Listener(EventLoop& loop, std::function<void(tcp::socket)> accepted,
             const std::string& address = kAnyAddress)
        : acceptor_(loop.io(), *parse_address(address)), accepted_(std::move(accepted)) {
        accept();
    }
    [[nodiscard]] Address address() const { return acceptor_.local_endpoint(); }

  private:
    void accept() {
        acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
            if (error) return;
            accepted_(std::move(socket));
            accept();
        });
    }
    tcp::acceptor acceptor_;
    std::function<void(tcp::socket)> accepted_;
};

/// An application endpoint that can misbehave.
class Endpoint {
  public:
    enum class Behavior {
        Serve,
        SecondResponse,   // the response again, while the connection is idle or carries the next request
        AnonymousReject,  // 503 with proof of non-execution, but without the request's id
        NoAttemptId,      // a response without the request's id
        OtherIdFirst,     // a response to another id, then the right one
        HalfResponse,     // then a reset
        Reset,
        Silent,
        Reject,           // 503 with proof of non-execution; the only one that does not execute
        RejectNoProof,    // 503 without proof of non-execution
        TooManyRequests,  // 429 after the execution
        SurplusReject,    // the response, later a 503 without an id
        ServerError,
        SlowResponse,  // in two halves
        Trailers,      // a chunked response with trailer fields
        Count
    };
    /// Listens at `address`, "ip:port".
    Endpoint(EventLoop& loop, Random& random, History& history, const bool& faults_enabled,
             const std::string& address = kAnyAddress)
        : loop_(loop),
          random_(random),
          history_(history),
          faults_enabled_(faults_enabled),
          listener_(
              loop,
              [this](tcp::socket socket) {
                  ++connections;
                  read(std::make_shared<Stream>(std::move(socket)));
              },
              address) {}
    /// How one arrival of a request is answered.
    struct Script {
        std::string response;  ///< sent after `delay`; empty: none
        bool executes = true;  ///< the arrival counts as an execution
        Duration delay{};      ///< from the arrival
        /// Sent on the same connection, `late_after` after the response; empty: none.
        std::string late_response{};
        Duration late_after{};
        bool closes = false;  ///< the connection, after the last of these
        /// Sent again and again after the response, until the peer closes; empty: not.
        std::string endless_piece{};
    };
    /// @param arrival of this id at this endpoint, counted from 1
    using ScriptFunction = std::function<Script(const std::string& id, int arrival)>;

    [[nodiscard]] Address address() const { return listener_.address(); }
    std::optional<Behavior> fixed_behavior;  // empty: Serve, or a random one if faults are enabled
    ScriptFunction script;                   // where it is set, no behavior applies
    http::request<http::string_body> last_request;
    int connections = 0;  // accepted so far

  private:
    struct Stream {
        explicit Stream(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        bool writing = false;
    };
    using StreamPtr = std::shared_ptr<Stream>;

    void read(const StreamPtr& stream) {
        stream->request = {};
        http::async_read(stream->socket, stream->buffer, stream->request,
                         [this, stream](const error_code& error, std::size_t) {
                             if (error) return;
                             const auto delay = std::chrono::milliseconds(random_.below(20));
                             loop_.add(loop_.now() + delay, [this, stream] { handle(stream); });
                         });
    }
    Behavior choose_behavior() {
        if (fixed_behavior) return *fixed_behavior;
        if (!faults_enabled_ || random_.below(3) != 0) return Behavior::Serve;
        return static_cast<Behavior>(random_.below(static_cast<std::size_t>(Behavior::Count)));
    }
    void handle(const StreamPtr& stream) {
        const std::string id(stream->request["Attempt-Id"]);
        last_request = stream->request;
        if (script) return follow_script(stream, id);
        const Behavior behavior = choose_behavior();
        if (behavior == Behavior::Reject) return respond(stream, reject_text(id));
        ++history_.executions[id];
        switch (behavior) {
            case Behavior::Silent:
                return;
            case Behavior::Reset:
                return reset(stream->socket);
            case Behavior::AnonymousReject:
                return respond(stream, reject_text(""));
            case Behavior::RejectNoProof:
                return respond(stream, response_text("503 No", id, "", ""));
            case Behavior::TooManyRequests:
                return respond(stream, response_text("429 No", id, "", ""));
            case Behavior::ServerError:
                return respond(stream, response_text("500 No", id, "", "no"));
            case Behavior::NoAttemptId:
                return respond(stream, served_text(""));
            default:
                history_.served.insert(id);
                return serve(stream, id, behavior);
        }
    }
    void follow_script(const StreamPtr& stream, const std::string& id) {
        const Script step = script(id, ++arrivals_[id]);
        if (step.executes) ++history_.executions[id];
        loop_.add(loop_.now() + step.delay, [this, stream, step] {
            const auto close = [stream, step] {
                if (step.closes) reset(stream->socket);
            };
            if (step.late_response.empty() && step.closes) return write(stream, step.response, close);
            if (!step.endless_piece.empty()) {
                const auto piece = std::make_shared<const std::string>(step.endless_piece);
                return write(stream, step.response,
                             [this, stream, piece] { write_endlessly(stream, piece); });
            }
            respond(stream, step.response);
            if (step.late_response.empty()) return;
            loop_.add(loop_.now() + step.late_after,
                      [this, stream, step, close] { write(stream, step.late_response, close); });
        });
    }
    void write_endlessly(const StreamPtr& stream, const std::shared_ptr<const std::string>& piece) {
        asio::async_write(stream->socket, asio::buffer(*piece),
                          [this, stream, piece](const error_code& error, std::size_t) {
                              if (!error) write_endlessly(stream, piece);
                          });
    }
    void serve(const StreamPtr& stream, const std::string& id, Behavior behavior) {
        const std::string response = served_text(id);
        switch (behavior) {
            case Behavior::Trailers:
                return respond(stream, response_with_trailers(id));
            case Behavior::HalfResponse:
                return write(stream, response.substr(0, response.size() / 2),
                             [stream] { reset(stream->socket); });
            case Behavior::SlowResponse:
                return respond_slowly(stream, response);
            case Behavior::OtherIdFirst:
                return respond(stream, served_text("another") + response);
            case Behavior::SecondResponse:
                respond(stream, response);
                return write_later(stream, response);
            case Behavior::SurplusReject:
                respond(stream, response);
                return write_later(stream, reject_text(""));
            default:
                return respond(stream, response);
        }
    }
    static std::string reject_text(const std::string& id) {
        return response_text("503 Full", id, "Not-Executed: 1\r\n", "");
    }
    static std::string response_with_trailers(const std::string& id) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx", body_of(id).size());
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
               "\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body_of(id) +
               "\r\n0\r\nNot-Executed: 1\r\nAttempt-Id: another\r\nX-Trailer: 1\r\n\r\n";
    }
    void respond(const StreamPtr& stream, const std::string& text) {
        write(stream, text, [this, stream] { read(stream); });
    }
    void respond_slowly(const StreamPtr& stream, const std::string& response) {
        const std::size_t half = response.size() / 2;
        write(stream, response.substr(0, half), [this, stream, rest = response.substr(half)] {
            stream->writing = true;  // nothing else is written between the halves
            loop_.add(loop_.now() + 60ms, [this, stream, rest] {
                stream->writing = false;
                respond(stream, rest);
            });
        });
    }
    void write_later(const StreamPtr& stream, const std::string& text) {
        const auto delay = std::chrono::milliseconds(random_.below(30));
        loop_.add(loop_.now() + delay, [this, stream, text] { write(stream, text, [] {}); });
    }
    /// Writes one text after another: no receiver could tell two interleaved responses apart.
    void write(const StreamPtr& stream, const std::string& text, std::function<void()> then) {
        if (std::exchange(stream->writing, true)) {
            loop_.add(loop_.now() + 1ms, [=, this] { write(stream, text, then); });
            return;
        }
        const auto buffer = std::make_shared<std::string>(text);
        asio::async_write(stream->socket, asio::buffer(*buffer),
                          [buffer, stream, then](const error_code& error, std::size_t) {
                              stream->writing = false;
                              if (!error) then();
                          });
    }

    EventLoop& loop_;
    Random& random_;
    History& history_;
    const bool& faults_enabled_;
    std::map<std::string, int> arrivals_;
    Listener listener_;
};

/// Between the caller's proxy and an inbound proxy: resets, delays and swallows what passes.
class FaultyRelay {
  public:
    enum class Fault { None = -1, Truncate, Swallow, Reset, DelayAndReset, Delay };

    FaultyRelay(EventLoop& loop, Random& random, const bool& faults_enabled, Address to)
        : loop_(loop),
          random_(random),
          faults_enabled_(faults_enabled),
          to_(to),
          listener_(loop, [this](tcp::socket socket) { connect(std::move(socket)); }) {}
    [[nodiscard]] Address address() const { return listener_.address(); }
    std::optional<Fault> next_request_fault;  // applied once, to the next bytes towards the inbound proxy

  private:
    static constexpr std::size_t kMaxFaults = 5;  // without None
    struct Link {
        Link(tcp::socket accepted, tcp::socket connecting)
            : near(std::move(accepted)), far(std::move(connecting)) {}
        tcp::socket near, far;  // on the caller's side, on the inbound proxy's side
        std::array<char, 16384> up{}, down{};
    };
    using LinkPtr = std::shared_ptr<Link>;

    void connect(tcp::socket accepted) {
        const auto link = std::make_shared<Link>(std::move(accepted), tcp::socket(loop_.io()));
        link->far.async_connect(to_, [this, link](const error_code& error) {
            if (error) return reset(link->near);
            pump(link, true);
            pump(link, false);
        });
    }
    Fault choose_fault(bool up) {
        if (up && next_request_fault) return *std::exchange(next_request_fault, std::nullopt);
        if (!faults_enabled_ || random_.below(16) != 0) return Fault::None;
        return static_cast<Fault>(random_.below(kMaxFaults));
    }
    /// Forwards what comes from one side to the other; `up` is towards the inbound proxy.
    void pump(const LinkPtr& link, bool up) {
        auto& from = up ? link->near : link->far;
        from.async_read_some(asio::buffer(up ? link->up : link->down),
                             [this, link, up](const error_code& error, std::size_t size) {
                                 if (error) return reset(up ? link->far : link->near);
                                 forward(link, up, size, choose_fault(up));
                             });
    }
    void forward(const LinkPtr& link, bool up, std::size_t size, Fault fault) {
        const auto bytes = std::make_shared<std::string>((up ? link->up : link->down).data(),
                                                         fault == Fault::Truncate ? size / 2 : size);
        // In a long body the silence would last until the proxy's time-out.
        if (fault == Fault::Swallow && (up || size < 1000)) return;
        const bool resets =
            fault == Fault::Truncate || fault == Fault::Reset || fault == Fault::DelayAndReset;
        if (resets) reset(link->near);
        // As an inbound proxy that was suspended: it reads what its caller sent before it gave up.
        const bool delays = fault == Fault::DelayAndReset || fault == Fault::Delay;
        const Duration delay = delays ? std::chrono::milliseconds(20 + random_.below(150)) : Duration{};
        loop_.add(loop_.now() + delay, [this, link, up, bytes, resets] {
            if (resets && !up) return reset(link->far);
            asio::async_write(up ? link->far : link->near, asio::buffer(*bytes),
                              [this, link, up, bytes, resets](const error_code& failed, std::size_t) {
                                  if (resets) {
                                      error_code ignored;
                                      link->far.close(ignored);
                                  } else if (!failed) {
                                      pump(link, up);
                                  }
                              });
        });
    }

    EventLoop& loop_;
    Random& random_;
    const bool& faults_enabled_;
    Address to_;
    Listener listener_;
};

}  // namespace martenford::hop_world
