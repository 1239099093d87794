#include "proxy/traffic.h"

#include <algorithm>
#include <utility>

#include "bootstrap/program.h"

namespace martenford::proxy {
namespace {

/// A handshake takes milliseconds. A lost SYN would be sent again after 1 s (RFC 6298): the attempt fails and
/// the policy goes elsewhere sooner.
constexpr Duration kConnectTimeout = 300ms;
/// The accepting proxy closes after 30 s (inbound_protocol.cpp): the side that sends closes first.
constexpr Duration kHopIdleTimeout = 12s;
/// Shorter than for hops: when endpoints close idle connections is not known here.
constexpr Duration kEndpointIdleTimeout = 6s;
/// To the endpoint. Further attempts end as never sent.
constexpr std::size_t kMaxEndpointConnections = 256;
/// The policies count attempts by themselves; the engine's bound is only a last resort.
constexpr int kMaxAttempts = 1000;

/// Set aside within what is left for traffic, so that a short overlap of old and new sockets fits.
constexpr std::size_t kReservedDescriptors = 96;
/// Descriptors for all else: connections to the endpoint (256), control and readiness calls (64 each),
/// controllers (32), listeners, log and files, with room to spare.
constexpr std::size_t kOtherConnections = 700;
/// From so many on a process can set aside kOtherConnections; below, it sets aside half of them.
constexpr std::size_t kAmpleDescriptors = 1200;
/// Clients' connections, other proxies' connections, and those to other proxies.
constexpr std::size_t kSharesOfDescriptors = 3;

/// The policy that an engine owns, where others refer to it as well.
class PolicyReference : public Policy {
  public:
    explicit PolicyReference(Policy& policy) : policy_(policy) {}
    void start(Time now, std::vector<decision::Action>& out) override { policy_.start(now, out); }
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override {
        policy_.handle(now, event, out);
    }

  private:
    Policy& policy_;
};

decision::Limits connection_limits(Duration idle_timeout) {
    decision::Limits limits;
    limits.may_cancel = true;
    limits.max_attempts = kMaxAttempts;
    limits.connect_timeout = kConnectTimeout;
    limits.connection_idle = idle_timeout;
    return limits;
}

bool always() {
    return true;
}

}  // namespace

std::size_t max_connections(const bootstrap::Settings& settings) {
    const std::size_t descriptors = settings.descriptors;
    const std::size_t available =
        descriptors > kAmpleDescriptors ? descriptors - kOtherConnections : descriptors / 2;
    const std::size_t reserved = std::min(kReservedDescriptors, available * 3 / 4);
    return (available - reserved) / kSharesOfDescriptors;
}

OutboundTraffic::OutboundTraffic(EventLoop& loop, const bootstrap::Settings& settings,
                                 std::function<std::size_t()> proxy_count)
    : quota_limiter_({}),
      policy_({settings.zone}, bootstrap::random_nonzero_id()),
      server_protocol_(settings, policy_, quota_limiter_, totals_, std::move(proxy_count)),
      client_protocol_(policy_, server_protocol_, loop),
      tally_(counters_, {}),
      connections_(loop, client_protocol_, connection_limits(kHopIdleTimeout), max_connections(settings), 0,
                   counters_),
      engine_(loop, connections_, connection_limits(kHopIdleTimeout),
              std::make_unique<PolicyReference>(policy_), tally_),
      listener_(loop, engine_, server_protocol_, max_connections(settings), always, counters_),
      upstream_updates_(connections_, client_protocol_, policy_) {
    engine_.start();
    server_protocol_.on_replanned([this] { engine_.handle_discovery({}); });
}

void OutboundTraffic::drain(std::function<void()> done) {
    policy_.drain();
    listener_.drain(std::move(done), false);
}

void OutboundTraffic::set_routes(std::shared_ptr<const mesh_config::RouteTable> routes) {
    server_protocol_.set_routes(std::move(routes));
}

void OutboundTraffic::update_upstreams(const registry::RegistryView& view,
                                       const std::vector<std::string>& nodes) {
    const auto effect = upstream_updates_.apply(view, nodes);
    if (effect == UpstreamUpdates::Effect::RequestsWithdrawn) engine_.handle_discovery({});
}

bool OutboundTraffic::can_serve() const {
    return routes() != nullptr && policy_.any_ready();
}

InboundTraffic::InboundTraffic(EventLoop& loop, const bootstrap::Settings& settings,
                               std::uint64_t incarnation, HopServerProtocol::RoutesInForce routes)
    : admission_({settings.bounds.drain}),
      server_protocol_(settings, admission_, incarnation, std::move(routes)),
      client_protocol_(admission_),
      tally_(counters_, {}),
      connections_(loop, client_protocol_, connection_limits(kEndpointIdleTimeout), kMaxEndpointConnections,
                   0, counters_),
      engine_(loop, connections_, connection_limits(kEndpointIdleTimeout),
              std::make_unique<PolicyReference>(admission_), tally_),
      listener_(loop, engine_, server_protocol_, max_connections(settings), always, counters_) {
    engine_.start();
}

void InboundTraffic::on_attempt_end(std::function<void(decision::Status)> callback) {
    engine_.on_attempt_ended(
        [callback = std::move(callback)](EndpointId, decision::Status status) { callback(status); });
}

}  // namespace martenford::proxy
