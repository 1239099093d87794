#include "proxy/proxy.h"

#include <utility>

#include "event_log/event_log.h"
#include "proxy/config_document.h"

namespace martenford::proxy {
namespace {

using event_log::Event;
using event_log::log_event;

constexpr Duration kRequestTotalsInterval = 10s;  // of the log event
/// Endpoint, platform and operators make few calls at a time.
constexpr std::size_t kMaxControlConnections = 64;

registry::ProxyRegistration identity_of(const bootstrap::Settings& settings, std::uint64_t incarnation) {
    registry::ProxyRegistration identity;
    identity.node = settings.node_name;
    identity.incarnation = incarnation;
    identity.inbound_address = text_of(*settings.inbound);
    identity.service = settings.service;
    identity.zone = settings.zone;
    return identity;
}

void log_totals(const RequestTotals& totals, const OutOfTurn& outbound, const OutOfTurn& inbound) {
    log_event(Event::RequestTotals, "answers",
              {{"taken", std::to_string(totals.taken)},
               {"served", std::to_string(totals.served)},
               {"refused", std::to_string(totals.refused)},
               {"failed", std::to_string(totals.failed)},
               {"no_route", std::to_string(totals.no_route)},
               {"no_key", std::to_string(totals.no_key)},
               {"over_quota", std::to_string(totals.over_quota)},
               {"skipped", std::to_string(inbound.skipped)},
               {"hop_skipped", std::to_string(outbound.skipped)},
               {"withheld", std::to_string(outbound.withheld + inbound.withheld)},
               {"early", std::to_string(outbound.early + inbound.early)}});
}

}  // namespace

Proxy::Proxy(const bootstrap::Settings& settings, ProxySockets sockets)
    : settings_(settings),
      incarnation_(bootstrap::random_nonzero_id()),
      outbound_(loop_, settings, [this] { return controllers_.view().entries().size(); }),
      inbound_(loop_, settings, incarnation_, [this] { return outbound_.routes(); }),
      control_server_(loop_, endpoint_calls(), kMaxControlConnections, control_counters_),
      readiness_server_(loop_, readiness_calls(), kMaxControlConnections, readiness_counters_),
      signals_(loop_, {[this] { shutdown_.begin(); },
                       [this](const bootstrap::Settings& reloaded) { connect_seeds(reloaded); }}),
      ticker_(loop_),
      local_endpoint_({settings.beat_interval, settings.app, identity_of(settings, incarnation_)},
                      {loop_, inbound_.connections(), inbound_.connections(), inbound_.admission(),
                       [this] { controllers_.register_now(); }}),
      controllers_(
          loop_,
          [&settings](const std::string& address) { return bootstrap::is_seed_address(settings, address); },
          *this),
      shutdown_({loop_, outbound_, inbound_, local_endpoint_}, settings.bounds.grace) {
    loop_.received_bytes()->set_max_bytes(settings.max_received_bytes());
    outbound_.listen(std::move(sockets.outbound));
    inbound_.listen(std::move(sockets.inbound));
    control_server_.listen(std::move(sockets.control));
    readiness_server_.listen(std::move(sockets.readiness));
    inbound_.on_attempt_end([this](decision::Status status) { local_endpoint_.handle_attempt_end(status); });
    connect_seeds(settings);
    tick();
    log_event(Event::Started, "listening",
              {{"outbound", text_of(*settings.outbound)},
               {"inbound", text_of(*settings.inbound)},
               {"service", settings.service}});
}

std::map<control_api::CallName, control_api::Handler> Proxy::endpoint_calls() {
    using control_api::Call;
    using control_api::Respond;
    return {
        {control_api::CallName::Heartbeat,
         [this](Call&& call, const Respond& respond) { respond(local_endpoint_.handle_heartbeat(call)); }},
        {control_api::CallName::Deregister,
         [this](Call&& call, const Respond& respond) { respond(local_endpoint_.handle_deregister(call)); }}};
}

std::map<control_api::CallName, control_api::Handler> Proxy::readiness_calls() {
    return {
        {control_api::CallName::Readiness, [this](control_api::Call&&, const control_api::Respond& respond) {
             const bool is_ready = !shutdown_.in_progress() && outbound_.can_serve();
             respond({is_ready ? 200U : 503U, ""});
         }}};
}

void Proxy::connect_seeds(const bootstrap::Settings& settings) {
    for (const std::string& address : bootstrap::seed_addresses(settings)) controllers_.connect(address);
}

const registry::ProxyRegistration& Proxy::registration() const {
    return local_endpoint_.registration();
}

std::vector<quota::QuotaDemand> Proxy::measure_quota_demands(Time now) {
    return outbound_.quota_limiter().demands(now, rate_limited_tenants(outbound_.routes()));
}

void Proxy::on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) {
    outbound_.quota_limiter().apply_leases(now, leases, requested_at);
}

void Proxy::on_registry_changed(const std::vector<std::string>& nodes) {
    outbound_.update_upstreams(controllers_.view(), nodes);
}

void Proxy::on_config(std::uint32_t version, const std::string& document) {
    auto routes = parse_routes(version, document);
    if (!routes) return;
    controllers_.set_config_version(version);
    outbound_.set_routes(std::move(routes));
    const auto* cluster = outbound_.routes()->cluster(settings_.service);
    if (cluster != nullptr && !cluster->health_path.empty()) inbound_.set_health_path(cluster->health_path);
    // Not before: the path of the health check is known only now.
    local_endpoint_.probe_if_unknown();
    controllers_.register_with_new_demands();
    log_event(Event::ConfigApplied, "configuration in force", {{"version", mesh_config::text_of(version)}});
}

void Proxy::on_quorum_contact_changed(bool has_contact) {
    log_event(has_contact ? Event::QuorumContactRestored : Event::QuorumContactLost,
              has_contact ? "quorum contact restored" : "quorum contact lost",
              {{"version", mesh_config::text_of(controllers_.config_version())}});
}

void Proxy::tick() {
    const Time now = loop_.now();
    ticker_.set(now + kTickInterval, [this] { tick(); });
    controllers_.tick();
    local_endpoint_.check_heartbeats();
    if (now - totals_logged_at_ >= kRequestTotalsInterval) {
        totals_logged_at_ = now;
        log_totals(outbound_.totals(), outbound_.out_of_turn(), inbound_.out_of_turn());
    }
}

}  // namespace martenford::proxy
