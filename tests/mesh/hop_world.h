// The complete path of a request in one process and one loop: clients, the caller's proxy, relays that inject
// faults, gates (inbound proxies, each beside its endpoint), endpoints that misbehave; and a history of what
// was requested, executed and answered.
#pragma once

#include <doctest/doctest.h>

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

#include "bootstrap/settings.h"
#include "core/engine.h"
#include "core/loop.h"
#include "core/tally.h"
#include "http1/back.h"
#include "http1/front.h"
#include "policy/mechanics.h"
#include "proxy/inbound_protocol.h"
#include "proxy/outbound_protocol.h"

namespace martenford::hop_world {

using asio::ip::tcp;
using Random = decision::Random;

struct Heard {
    unsigned status = 0;
    std::string id, body;
    bool marked = false;  // has a field that came as a trailer
};
struct Asked {
    bool repeatable = false;
    std::optional<Heard> answer;  // a complete one
};
struct History {
    std::map<std::string, Asked> asked;
    std::map<std::string, int> ran;
    std::set<std::string> served;
};

/// One in four is longer than what a proxy buffers completely.
inline std::string body_of(const std::string& id) {
    return id + std::string(std::hash<std::string>{}(id) % 4 == 0 ? 90'000 : 300, 'x');
}
inline std::string answer_text(const std::string& status, const std::string& id, const std::string& more,
                               const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string served_text(const std::string& id) {
    return answer_text("200 OK", id, "Server-Seal: s\r\n", body_of(id));
}
inline void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Listens, and hands over what connects.
class Listener {
  public:
    Listener(Loop& loop, std::function<void(tcp::socket)> taken)
        : acceptor_(loop.io(), *parse_address("127.0.0.1:0")), taken_(std::move(taken)) {
        accept();
    }
    Address at() const { return acceptor_.local_endpoint(); }

  private:
    void accept() {
        acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
            if (error) return;
            taken_(std::move(socket));
            accept();
        });
    }
    tcp::acceptor acceptor_;
    std::function<void(tcp::socket)> taken_;
};

class Endpoint {
  public:
    enum class Act {
        Serve,
        Late,
        Untied,
        Anonymous,
        Other,
        Half,
        Reset,
        Silent,
        Full,
        Unproven,
        TooMany,
        Surplus,
        Error,
        Slow,
        Trailers,
        Count
    };
    Endpoint(Loop& loop, Random& random, History& history, const bool& trouble)
        : loop_(loop),
          random_(random),
          history_(history),
          trouble_(trouble),
          listener_(loop, [this](tcp::socket socket) { read(std::make_shared<Line>(std::move(socket))); }) {}
    Address at() const { return listener_.at(); }
    std::optional<Act> always;
    http::request<http::string_body> last;

  private:
    struct Line {
        explicit Line(tcp::socket from) : socket(std::move(from)) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        bool writing = false;
    };
    using Held = std::shared_ptr<Line>;

    void read(const Held& line) {
        line->request = {};
        http::async_read(line->socket, line->buffer, line->request,
                         [this, line](const error_code& error, std::size_t) {
                             if (!error)
                                 loop_.add(loop_.now() + std::chrono::milliseconds(random_.below(20)),
                                           [this, line] { act(line); });
                         });
    }
    void act(const Held& line) {
        const std::string id(line->request["Attempt-Id"]);
        last = line->request;
        Act act = always.value_or(Act::Serve);
        if (!always && trouble_ && random_.below(3) == 0)
            act = static_cast<Act>(random_.below(static_cast<std::size_t>(Act::Count)));
        if (act == Act::Full) return say(line, answer_text("503 Full", id, "Not-Executed: 1\r\n", ""));
        ++history_.ran[id];
        if (act == Act::Silent) return;
        if (act == Act::Reset) return reset(line->socket);
        if (act == Act::Untied) return say(line, answer_text("503 Full", "", "Not-Executed: 1\r\n", ""));
        if (act == Act::Unproven) return say(line, answer_text("503 No", id, "", ""));
        if (act == Act::TooMany) return say(line, answer_text("429 No", id, "", ""));
        if (act == Act::Error) return say(line, answer_text("500 No", id, "", "no"));
        if (act == Act::Anonymous) return say(line, served_text(""));
        history_.served.insert(id);
        if (act == Act::Trailers) {
            char size[20];
            std::snprintf(size, sizeof size, "%zx", body_of(id).size());
            return say(line, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                 "\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" +
                                 body_of(id) +
                                 "\r\n0\r\nNot-Executed: 1\r\nAttempt-Id: another\r\nX-Trailer: 1\r\n\r\n");
        }
        const std::string whole = served_text(id);
        if (act == Act::Half) {
            return write(line, whole.substr(0, whole.size() / 2), [line] { reset(line->socket); });
        }
        if (act == Act::Slow) {
            return write(line, whole.substr(0, whole.size() / 2), [this, line, whole] {
                line->writing = true;  // nothing else comes between its halves
                loop_.add(loop_.now() + 60ms, [this, line, whole] {
                    line->writing = false;
                    say(line, whole.substr(whole.size() / 2));
                });
            });
        }
        if (act == Act::Other) return say(line, served_text("another") + whole);
        say(line, whole);
        // What nobody asked for comes while the connection is idle or carries the next request.
        const std::string surplus =
            act == Act::Late ? whole : answer_text("503 Full", "", "Not-Executed: 1\r\n", "");
        if (act == Act::Late || act == Act::Surplus)
            loop_.add(loop_.now() + std::chrono::milliseconds(random_.below(30)),
                      [this, line, surplus] { write(line, surplus, [] {}); });
    }
    void say(const Held& line, const std::string& text) {
        write(line, text, [this, line] { read(line); });
    }
    /// One after another: bytes of two answers in each other are impossible for any reader to separate.
    void write(const Held& line, const std::string& text, std::function<void()> then) {
        if (std::exchange(line->writing, true))
            return loop_.add(loop_.now() + 1ms, [=, this] { write(line, text, then); }), void();
        const auto held = std::make_shared<std::string>(text);
        asio::async_write(line->socket, asio::buffer(*held),
                          [held, line, then](const error_code& error, std::size_t) {
                              line->writing = false;
                              if (!error) then();
                          });
    }

    Loop& loop_;
    Random& random_;
    History& history_;
    const bool& trouble_;
    Listener listener_;
};

/// Between the caller's proxy and a gate: resets, holds back and swallows what passes.
class Relay {
  public:
    Relay(Loop& loop, Random& random, const bool& trouble, Address to)
        : loop_(loop),
          random_(random),
          trouble_(trouble),
          to_(to),
          listener_(loop, [this](tcp::socket socket) {
              const auto pair = std::make_shared<Pair>(std::move(socket), tcp::socket(loop_.io()));
              pair->far.async_connect(to_, [this, pair](const error_code& error) {
                  if (error) return reset(pair->near);
                  pump(pair, true);
                  pump(pair, false);
              });
          }) {}
    Address at() const { return listener_.at(); }
    std::optional<int> once;  // done to what goes up next

  private:
    struct Pair {
        Pair(tcp::socket a, tcp::socket b) : near(std::move(a)), far(std::move(b)) {}
        tcp::socket near, far;
        std::array<char, 16384> up{}, down{};
    };
    void pump(const std::shared_ptr<Pair>& pair, bool up) {
        auto& from = up ? pair->near : pair->far;
        from.async_read_some(
            asio::buffer(up ? pair->up : pair->down),
            [this, pair, up](const error_code& error, std::size_t size) {
                auto& to = up ? pair->far : pair->near;
                if (error) return reset(to);
                const int harm = up && once                           ? *std::exchange(once, std::nullopt)
                                 : trouble_ && random_.below(16) == 0 ? static_cast<int>(random_.below(5))
                                                                      : -1;
                const auto held = std::make_shared<std::string>((up ? pair->up : pair->down).data(),
                                                                harm == 0 ? size / 2 : size);
                if (harm == 1 && (up || size < 1000))
                    return;  // silence; in a long body it lasts until the back gives it up
                const bool breaks = harm == 0 || harm == 2 || harm == 3;
                if (breaks) reset(pair->near);
                // A gate that was stopped reads what its caller sent before it gave up.
                const Duration wait =
                    harm >= 3 ? std::chrono::milliseconds(20 + random_.below(150)) : Duration{};
                loop_.add(loop_.now() + wait, [this, pair, up, held, breaks, &to] {
                    if (breaks && !up) return reset(pair->far);
                    asio::async_write(to, asio::buffer(*held),
                                      [this, pair, up, held, breaks](const error_code& failed, std::size_t) {
                                          error_code ignored;
                                          if (breaks) return pair->far.close(ignored), void();
                                          if (!failed) pump(pair, up);
                                      });
                });
            });
    }

    Loop& loop_;
    Random& random_;
    const bool& trouble_;
    Address to_;
    Listener listener_;
};

template <class P>
class Lent : public Policy {
  public:
    explicit Lent(P& policy) : policy_(policy) {}
    void start(Time now, std::vector<decision::Action>& out) override { policy_.start(now, out); }
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override {
        policy_.handle(now, event, out);
    }

  private:
    P& policy_;
};

inline decision::Limits back_limits() {
    decision::Limits limits;
    limits.may_cancel = true;
    limits.max_attempts = 1000;
    limits.connect_timeout = 300ms;
    limits.connection_idle = 6s;
    return limits;
}

/// A gate with its endpoint, and the relay before it.
struct Gate {
    Gate(Loop& loop, Random& random, History& history, const bool& trouble, const std::string& service,
         const std::string& instance)
        : endpoint(loop, random, history, trouble),
          admission(admission::AdmissionController::Options{}),
          back(admission),
          inbound(own, admission, 7, [this] { return in_force.get(); }),
          tally(counters, {}),
          to_endpoint(loop, back, back_limits(), 64, 0, counters),
          engine(loop, to_endpoint, back_limits(),
                 std::make_unique<Lent<admission::AdmissionController>>(admission), tally),
          front(
              loop, engine, inbound, 64, [] { return true; }, counters) {
        own.service = service;
        engine.start();
        front.listen(*parse_address("127.0.0.1:0"));
        to_endpoint.place(decision::EndpointId{1}, endpoint.at(), true);
        admission.set_endpoint(decision::EndpointId{1}, instance, 1);
        relay = std::make_unique<Relay>(loop, random, trouble, front.listens_at());
    }
    Endpoint endpoint;
    bootstrap::Settings own;
    std::shared_ptr<const mesh_config::RouteTable> in_force;
    Counters counters;
    admission::AdmissionController admission;
    proxy::EndpointClientProtocol back;
    proxy::HopServerProtocol inbound;
    Tally tally;
    Http1Back to_endpoint;
    Engine engine;
    Http1Front front;
    std::unique_ptr<Relay> relay;
};

class World {
  public:
    /// The last gate's endpoint is of service `last`.
    explicit World(std::uint64_t seed, int gates_wanted = 3, const std::string& last = "s")
        : random_(seed),
          outbound_policy_({"z"}, seed),
          hop_back_(outbound_policy_, outbound_, loop_),
          outbound_(settings_, outbound_policy_, quota_limiter_, figures_, [] { return std::size_t{3}; }),
          tally_(counters_, {}),
          hops_(loop_, hop_back_, back_limits(), 64, 0, counters_),
          engine_(loop_, hops_, back_limits(),
                  std::make_unique<Lent<outbound::OutboundPolicy>>(outbound_policy_), tally_),
          front(
              loop_, engine_, outbound_, 64, [] { return true; }, counters_) {
        settings_.service = "caller";
        engine_.start();
        front.listen(*parse_address("127.0.0.1:0"));
        outbound_.on_replanned([this] { engine_.tell({}); });
        serve(version(1));
        for (int i = 1; i <= gates_wanted; ++i) {
            const std::string instance = "i-" + std::to_string(i), service = i == gates_wanted ? last : "s";
            gates.push_back(std::make_unique<Gate>(loop_, random_, history, trouble, service, instance));
            const auto id = static_cast<decision::EndpointId>(i);
            hop_back_.set_upstream(id, instance, 7);
            hops_.place(id, gates.back()->relay->at(), true);
            outbound_policy_.set_upstream(id, {service, "z", true, false});
        }
    }
    /// A configuration in which what must not run twice goes to service `once_to`.
    static std::shared_ptr<const mesh_config::RouteTable> version(mesh_config::Version number,
                                                                  const std::string& once_to = "s") {
        mesh_config::Config config;
        config.clusters = {{"s", "/health", 100}, {"t", "/health", 100}};
        mesh_config::Rule repeats, once;
        repeats.name = "r";
        repeats.route_kind = "idempotent";
        repeats.matcher.path_prefix = "/r/";
        once.name = "o";
        once.route_kind = "non_idempotent";
        once.matcher.path_prefix = "/o/";
        repeats.route_action = {"s", std::nullopt, 400, 3};
        once.route_action = {once_to, std::nullopt, 400, 3};
        repeats.target_latency_ms = once.target_latency_ms = 300;
        config.listeners = {{"h", {repeats, once}}};
        return std::make_shared<const mesh_config::RouteTable>(number, config);
    }
    void serve(std::shared_ptr<const mesh_config::RouteTable> routes) {
        outbound_.set_routes(std::move(routes));
    }
    static std::string request_text(const std::string& id, bool repeatable, const std::string& more = "") {
        return "POST " + std::string(repeatable ? "/r/" : "/o/") +
               "x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nTime-Remaining: 350\r\n" +
               (more.empty() ? "Content-Length: 2\r\n\r\nhi" : more);
    }
    template <class Is>
    bool until(Is is, Duration most = 20s) {
        const Time end = loop_.now() + most;
        while (!is() && loop_.now() < end) {
            loop_.add(loop_.now() + 2ms, [this] { loop_.stop(); });
            loop_.resume();
            loop_.run();
        }
        return is();
    }
    /// Each asks so often, one after another; then all messages that relays still delay are delivered.
    bool clients(int count, int times) {
        open_ = count;
        for (int i = 0; i < count; ++i) ask(std::make_shared<Client>(loop_, i, times));
        const bool done = until([this] { return open_ == 0; });
        const Time settled = loop_.now() + 250ms;
        until([&] { return loop_.now() >= settled; });
        return done;
    }
    /// Asks once; 20 ms later `then` is done and the rest is sent. Nothing: no complete answer came.
    std::optional<Heard> ask_once(
        const std::string& text, const std::string& rest = "", std::function<void()> then = [] {}) {
        const auto client = std::make_shared<Client>(loop_, 0, 1);
        client->socket.connect(front.listens_at());
        asio::write(client->socket, asio::buffer(text));
        loop_.add(loop_.now() + 20ms, [client, rest = std::make_shared<std::string>(rest), then] {
            then();
            asio::async_write(client->socket, asio::buffer(*rest),
                              [client, rest](const error_code&, std::size_t) {});
        });
        bool over = false;
        std::optional<Heard> got;
        client->answer.emplace().body_limit(1 << 20);
        http::async_read(client->socket, client->buffer, *client->answer,
                         [&, client](const error_code& error, std::size_t) {
                             over = true;
                             if (!error) got = heard(client->answer->get());
                         });
        REQUIRE(until([&] { return over; }, 5s));
        return got;
    }

    Loop& loop() { return loop_; }
    proxy::HopClientProtocol& hop_back() { return hop_back_; }
    History history;
    bool trouble = false;

  private:
    struct Client {
        Client(Loop& loop, int which, int times) : socket(loop.io()), which(which), left(times) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<http::response_parser<http::string_body>> answer;
        int which, left;
        std::string id, text;
    };
    static Heard heard(const http::response<http::string_body>& answer) {
        return {answer.result_int(), std::string(answer["Attempt-Id"]), answer.body(),
                answer.count("X-Trailer") > 0};
    }
    void ask(const std::shared_ptr<Client>& client) {
        if (client->left-- == 0) {
            --open_;
            return;
        }
        if (!client->socket.is_open()) {
            client->buffer.clear();
            client->socket.connect(front.listens_at());
        }
        const bool repeatable = random_.below(2) == 0;
        client->id = std::to_string(client->which) + "-" + std::to_string(client->left);
        client->text = request_text(client->id, repeatable);
        history.asked[client->id].repeatable = repeatable;
        client->answer.emplace().body_limit(1 << 20);
        asio::async_write(client->socket, asio::buffer(client->text), [](const error_code&, std::size_t) {});
        http::async_read(client->socket, client->buffer, *client->answer,
                         [this, client](const error_code& error, std::size_t) {
                             if (!error) history.asked[client->id].answer = heard(client->answer->get());
                             if (error || !client->answer->keep_alive()) {
                                 error_code ignored;
                                 client->socket.close(ignored);
                             }
                             ask(client);
                         });
    }

    Loop loop_;
    bootstrap::Settings settings_;
    Random random_;
    Counters counters_;
    proxy::RequestTotals figures_;
    outbound::OutboundPolicy outbound_policy_;
    quota::QuotaLimiter quota_limiter_{{}};
    proxy::HopClientProtocol hop_back_;
    proxy::OutboundServerProtocol outbound_;
    Tally tally_;
    Http1Back hops_;
    Engine engine_;
    int open_ = 0;

  public:
    Http1Front front;
    std::vector<std::unique_ptr<Gate>> gates;
};

}  // namespace martenford::hop_world
