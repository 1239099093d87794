// The full path of a request in one process and one loop: clients, the caller's proxy, relays, inbound
// proxies and endpoints.
#pragma once

#include <doctest/doctest.h>

#include "bootstrap/settings.h"
#include "core/engine.h"
#include "core/request_counters.h"
#include "hop_doubles.h"
#include "http1/endpoint_client.h"
#include "http1/listener.h"
#include "proxy/inbound_protocol.h"
#include "proxy/outbound_protocol.h"

namespace martenford::hop_world {

/// A policy that is owned elsewhere.
template <class P>
class PolicyReference : public Policy {
  public:
    explicit PolicyReference(P& policy) : policy_(policy) {}
    void start(Time now, std::vector<decision::Action>& out) override { policy_.start(now, out); }
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override {
        policy_.handle(now, event, out);
    }

  private:
    P& policy_;
};

/// The limits of the outgoing connections of both proxies.
inline decision::Limits client_limits() {
    decision::Limits limits;
    limits.may_cancel = true;
    limits.max_attempts = 1000;
    limits.connect_timeout = 300ms;
    limits.connection_idle = 6s;
    return limits;
}

/// An inbound proxy with its endpoint, and the relay in front of it.
struct InboundProxy {
    InboundProxy(EventLoop& loop, Random& random, History& history, const bool& faults_enabled,
                 const std::string& service, const std::string& instance)
        : endpoint(loop, random, history, faults_enabled),
          admission(admission::AdmissionController::Options{}),
          back(admission),
          inbound(own, admission, 7, [this] { return routes.get(); }),
          tally(counters, {}),
          to_endpoint(loop, back, client_limits(), 64, 0, counters),
          engine(loop, to_endpoint, client_limits(),
                 std::make_unique<PolicyReference<admission::AdmissionController>>(admission), tally),
          front(
              loop, engine, inbound, 64, [] { return true; }, counters) {
        own.service = service;
        engine.start();
        front.listen(*parse_address("127.0.0.1:0"));
        to_endpoint.set_endpoint(decision::EndpointId{1}, endpoint.address(), true);
        admission.set_endpoint(decision::EndpointId{1}, instance, 1);
        relay = std::make_unique<FaultyRelay>(loop, random, faults_enabled, front.local_address());
    }
    Endpoint endpoint;
    bootstrap::Settings own;
    std::shared_ptr<const mesh_config::RouteTable> routes;
    Counters counters;
    admission::AdmissionController admission;
    proxy::EndpointClientProtocol back;
    proxy::HopServerProtocol inbound;
    RequestCounters tally;
    Http1EndpointClient to_endpoint;
    Engine engine;
    HttpListener front;
    std::unique_ptr<FaultyRelay> relay;
};

/// Clients, the caller's proxy, and inbound proxies behind relays, in one loop.
class World {
  public:
    /// The last inbound proxy's endpoint is of service `last_service`.
    explicit World(std::uint64_t seed, int inbound_proxy_count = 3, const std::string& last_service = "s")
        : random_(seed),
          outbound_policy_({.zone = "z", .initial_retry_tokens = 30}, seed),
          hop_protocol_(outbound_policy_, outbound_, loop_),
          outbound_(settings_, outbound_policy_, quota_limiter_, request_totals_,
                    [] { return std::size_t{3}; }),
          tally_(counters_, {}),
          hops_(loop_, hop_protocol_, client_limits(), 64, 0, counters_),
          engine_(loop_, hops_, client_limits(),
                  std::make_unique<PolicyReference<outbound::OutboundPolicy>>(outbound_policy_), tally_),
          front(
              loop_, engine_, outbound_, 64, [] { return true; }, counters_) {
        settings_.service = "caller";
        engine_.start();
        front.listen(*parse_address("127.0.0.1:0"));
        outbound_.on_replanned([this] { engine_.handle_discovery({}); });
        set_routes(version(1));
        for (int i = 1; i <= inbound_proxy_count; ++i) {
            const std::string instance = "i-" + std::to_string(i),
                              service = i == inbound_proxy_count ? last_service : "s";
            inbound_proxies.push_back(
                std::make_unique<InboundProxy>(loop_, random_, history, faults_enabled, service, instance));
            const auto id = static_cast<decision::EndpointId>(i);
            hop_protocol_.set_upstream(id, instance, 7);
            hops_.set_endpoint(id, inbound_proxies.back()->relay->address(), true);
            outbound_policy_.set_upstream(id, {service, "z", true, false});
        }
    }
    /// Returns a configuration that routes non-idempotent requests to this service.
    static std::shared_ptr<const mesh_config::RouteTable> version(
        mesh_config::Version number, const std::string& non_idempotent_service = "s",
        std::int64_t timeout_ms = 400) {
        mesh_config::Config config;
        config.clusters = {{"s", "/health", 100}, {"t", "/health", 100}};
        mesh_config::Rule idempotent, non_idempotent;
        idempotent.name = "r";
        idempotent.route_kind = "idempotent";
        idempotent.matcher.path_prefix = "/r/";
        non_idempotent.name = "o";
        non_idempotent.route_kind = "non_idempotent";
        non_idempotent.matcher.path_prefix = "/o/";
        idempotent.route_action = {"s", std::nullopt, timeout_ms, 3};
        non_idempotent.route_action = {non_idempotent_service, std::nullopt, timeout_ms, 3};
        idempotent.target_latency_ms = non_idempotent.target_latency_ms = 300;
        config.listeners = {{"h", {idempotent, non_idempotent}}};
        return std::make_shared<const mesh_config::RouteTable>(number, config);
    }
    void set_routes(std::shared_ptr<const mesh_config::RouteTable> routes) {
        outbound_.set_routes(std::move(routes));
    }
    static std::string request_text(const std::string& id, bool idempotent,
                                    const std::string& fields_and_body = "", int time_remaining_ms = 350) {
        return "POST " + std::string(idempotent ? "/r/" : "/o/") +
               "x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
               "\r\nTime-Remaining: " + std::to_string(time_remaining_ms) + "\r\n" +
               (fields_and_body.empty() ? "Content-Length: 2\r\n\r\nhi" : fields_and_body);
    }
    /// Runs the loop until `condition` holds. Returns false on a time-out.
    template <class Condition>
    bool wait_for(Condition condition, Duration timeout = 20s) {
        const Time end = loop_.now() + timeout;
        while (!condition() && loop_.now() < end) {
            loop_.add(loop_.now() + 2ms, [this] { loop_.stop(); });
            loop_.resume();
            loop_.run();
        }
        return condition();
    }
    /// Each client sends this many requests, one after another; then waits for delayed bytes to pass. Returns
    /// false on a time-out.
    bool run_clients(int count, int requests_each) {
        active_clients_ = count;
        for (int i = 0; i < count; ++i) send_next(std::make_shared<Client>(loop_, i, requests_each));
        const bool done = wait_for([this] { return active_clients_ == 0; });
        const Time settled = loop_.now() + 250ms;
        wait_for([&] { return loop_.now() >= settled; });
        return done;
    }
    /// Sends one request: `text`, and 20 ms later, after a call of `then`, `rest`. Returns the response;
    /// empty if none arrived completely.
    std::optional<ClientResponse> send_once(
        const std::string& text, const std::string& rest = "", std::function<void()> then = [] {}) {
        const auto client = std::make_shared<Client>(loop_, 0, 1);
        client->socket.connect(front.local_address());
        asio::write(client->socket, asio::buffer(text));
        loop_.add(loop_.now() + 20ms, [client, rest = std::make_shared<std::string>(rest), then] {
            then();
            asio::async_write(client->socket, asio::buffer(*rest),
                              [client, rest](const error_code&, std::size_t) {});
        });
        bool ended = false;
        std::optional<ClientResponse> received;
        client->answer.emplace().body_limit(1 << 20);
        http::async_read(client->socket, client->buffer, *client->answer,
                         [&, client](const error_code& error, std::size_t) {
                             ended = true;
                             if (!error) received = response_of(client->answer->get());
                         });
        REQUIRE(wait_for([&] { return ended; }, 5s));
        return received;
    }

    /// The lease of this inbound proxy has expired.
    void withdraw(decision::EndpointId id) {
        outbound_policy_.withdraw(id);
        engine_.handle_discovery({});
    }
    EventLoop& loop() { return loop_; }
    /// Of the caller's proxy.
    bootstrap::Settings& settings() { return settings_; }
    proxy::HopClientProtocol& hop_protocol() { return hop_protocol_; }
    ServerProtocol& server_protocol() { return outbound_; }
    History history;
    bool faults_enabled = false;

  private:
    struct Client {
        Client(EventLoop& loop, int number, int request_count)
            : socket(loop.io()), number(number), remaining(request_count) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        std::optional<http::response_parser<http::string_body>> answer;
        int number, remaining;
        std::string id, text;
    };
    static ClientResponse response_of(const http::response<http::string_body>& answer) {
        return {answer.result_int(), std::string(answer["Attempt-Id"]), answer.body(),
                answer.count("X-Trailer") > 0, std::string(answer["Server-Seal"])};
    }
    void send_next(const std::shared_ptr<Client>& client) {
        if (client->remaining-- == 0) {
            --active_clients_;
            return;
        }
        if (!client->socket.is_open()) {
            client->buffer.clear();
            client->socket.connect(front.local_address());
        }
        const bool idempotent = random_.below(2) == 0;
        client->id = std::to_string(client->number) + "-" + std::to_string(client->remaining);
        client->text = request_text(client->id, idempotent);
        history.requests[client->id].idempotent = idempotent;
        client->answer.emplace().body_limit(1 << 20);
        asio::async_write(client->socket, asio::buffer(client->text), [](const error_code&, std::size_t) {});
        http::async_read(client->socket, client->buffer, *client->answer,
                         [this, client](const error_code& error, std::size_t) {
                             if (!error)
                                 history.requests[client->id].response = response_of(client->answer->get());
                             if (error || !client->answer->keep_alive()) {
                                 error_code ignored;
                                 client->socket.close(ignored);
                             }
                             send_next(client);
                         });
    }

    EventLoop loop_;
    bootstrap::Settings settings_;
    Random random_;
    Counters counters_;
    proxy::RequestTotals request_totals_;
    outbound::OutboundPolicy outbound_policy_;
    quota::QuotaLimiter quota_limiter_{{}};
    proxy::HopClientProtocol hop_protocol_;
    proxy::OutboundServerProtocol outbound_;
    RequestCounters tally_;
    Http1EndpointClient hops_;
    Engine engine_;
    int active_clients_ = 0;

  public:
    HttpListener front;
    std::vector<std::unique_ptr<InboundProxy>> inbound_proxies;
};

}  // namespace martenford::hop_world
