// The two directions of requests through a proxy, each from its listener to its connections: OutboundTraffic
// from clients to the proxies of other endpoints, InboundTraffic from other proxies to the endpoint beside
// this one. Both run on the proxy's loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admission/admission_controller.h"
#include "bootstrap/settings.h"
#include "core/counters.h"
#include "core/engine.h"
#include "core/loop.h"
#include "core/request_counters.h"
#include "http1/endpoint_client.h"
#include "http1/listener.h"
#include "mesh_config/mesh_config.h"
#include "outbound/outbound_policy.h"
#include "proxy/inbound_protocol.h"
#include "proxy/outbound_protocol.h"
#include "proxy/upstream_updates.h"
#include "quota/quota.h"
#include "registry/registry.h"

namespace martenford::proxy {

/// Returns how many connections each listener, and the pool to other proxies, may have: together they stay
/// within the settings' file descriptors.
[[nodiscard]] std::size_t max_connections(const bootstrap::Settings& settings);

/// What did not come in its turn on the connections of one direction, since the start of the process.
struct OutOfTurn {
    std::uint64_t skipped = 0;   ///< answers to another request than the one that waited, read and dropped
    std::uint64_t withheld = 0;  ///< the same, about to be given to a client or another proxy
    std::uint64_t early = 0;     ///< reads that brought bytes while their connection's request was open
};

class OutboundTraffic {
  public:
    /// @param proxy_count returns the number of proxies known, for quotas without a lease.
    /// @param settings outlive it.
    OutboundTraffic(EventLoop& loop, const bootstrap::Settings& settings,
                    std::function<std::size_t()> proxy_count);

    /// Takes over a listening socket.
    void listen(ListeningSocket socket) { listener_.listen(std::move(socket)); }
    /// Finishes what was accepted, then calls `done` once. No request is given up while an endpoint may be
    /// working on it.
    void drain(std::function<void()> done);

    void set_routes(std::shared_ptr<const mesh_config::RouteTable> routes);
    /// The routes in force; null until the first configuration has come.
    [[nodiscard]] const mesh_config::RouteTable* routes() const { return server_protocol_.routes(); }
    /// Applies the entries of `nodes`, which have changed in `view`.
    void update_upstreams(const registry::RegistryView& view, const std::vector<std::string>& nodes);
    /// Returns true if there are routes and at least one upstream is ready.
    [[nodiscard]] bool can_serve() const;

    /// What clients are still owed.
    [[nodiscard]] ClientBacklog backlog() const { return listener_.backlog(); }
    [[nodiscard]] quota::QuotaLimiter& quota_limiter() { return quota_limiter_; }
    [[nodiscard]] const RequestTotals& totals() const { return totals_; }
    [[nodiscard]] OutOfTurn out_of_turn() const {
        return {connections_.skipped_answers(), listener_.withheld_answers(), listener_.early_reads()};
    }

  private:
    Counters counters_;
    RequestTotals totals_;
    quota::QuotaLimiter quota_limiter_;
    outbound::OutboundPolicy policy_;
    OutboundServerProtocol server_protocol_;
    HopClientProtocol client_protocol_;
    RequestCounters tally_;
    Http1EndpointClient connections_;
    Engine engine_;
    HttpListener listener_;
    UpstreamUpdates upstream_updates_;
};

class InboundTraffic {
  public:
    /// @param incarnation of this process.
    /// @param routes returns the routes in force; null until there are some.
    /// @param settings outlive it.
    InboundTraffic(EventLoop& loop, const bootstrap::Settings& settings, std::uint64_t incarnation,
                   HopServerProtocol::RoutesInForce routes);

    /// Takes over a listening socket.
    void listen(ListeningSocket socket) { listener_.listen(std::move(socket)); }
    /// Finishes what was accepted, then calls `done` once.
    void drain(std::function<void()> done) { listener_.drain(std::move(done), false); }
    /// What other proxies are still owed.
    [[nodiscard]] ClientBacklog backlog() const { return listener_.backlog(); }
    [[nodiscard]] OutOfTurn out_of_turn() const {
        return {connections_.skipped_answers(), listener_.withheld_answers(), listener_.early_reads()};
    }
    /// @param callback is called at the end of each attempt at the endpoint.
    void on_attempt_end(std::function<void(decision::Status)> callback);
    /// @param path of the endpoint's health check.
    void set_health_path(const std::string& path) { client_protocol_.set_health_path(path); }

    [[nodiscard]] admission::AdmissionController& admission() { return admission_; }
    /// The connections to the endpoint.
    [[nodiscard]] Http1EndpointClient& connections() { return connections_; }

  private:
    Counters counters_;
    admission::AdmissionController admission_;
    HopServerProtocol server_protocol_;
    EndpointClientProtocol client_protocol_;
    RequestCounters tally_;
    Http1EndpointClient connections_;
    Engine engine_;
    HttpListener listener_;
};

}  // namespace martenford::proxy
