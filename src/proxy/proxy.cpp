#include "proxy/proxy.h"

#include <algorithm>
#include <memory>

#include "bootstrap/program.h"
#include "bootstrap/settings.h"
#include "control_api/control_api.h"
#include "core/engine.h"
#include "core/tally.h"
#include "event_log/event_log.h"
#include "http1/back.h"
#include "http1/front.h"
#include "mesh_config/mesh_config.h"
#include "outbound/upstream_table.h"
#include "proxy/config_document.h"
#include "proxy/controller_client.h"
#include "proxy/inbound_protocol.h"
#include "proxy/local_endpoint.h"
#include "proxy/outbound_protocol.h"

namespace martenford::proxy {
namespace {

using event_log::Event;
using event_log::log_event;

constexpr Duration kHopConnect = 300ms;
constexpr Duration kHopIdle = 12s, kEndpointIdle = 6s;
constexpr std::size_t kSpareSockets = 96;
constexpr Duration kFiguresEvery = 10s;

/// The policy that an engine owns and others here speak to as well.
template <class P>
class Shared : public Policy {
  public:
    explicit Shared(P& policy) : policy_(policy) {}
    void start(Time now, std::vector<decision::Action>& out) override { policy_.start(now, out); }
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override {
        policy_.handle(now, event, out);
    }

  private:
    P& policy_;
};

decision::Limits limits_of(Duration connect, Duration idle) {
    decision::Limits limits;
    limits.may_cancel = true;
    limits.max_attempts = 1000;  // the policies count by themselves
    limits.connect_timeout = connect;
    limits.connection_idle = idle;
    return limits;
}

registry::ProxyRegistration identity_of(const bootstrap::Settings& settings, std::uint64_t incarnation) {
    registry::ProxyRegistration identity;
    identity.node = settings.node_name;
    identity.incarnation = incarnation;
    identity.inbound_address = text_of(*settings.inbound);
    identity.service = settings.service;
    identity.zone = settings.zone;
    return identity;
}

class Proxy : private ControllerObserver {
  public:
    explicit Proxy(const bootstrap::Settings& settings)
        : settings_(settings),
          life_(bootstrap::random_nonzero_id()),
          outbound_policy_({settings.zone}, bootstrap::random_nonzero_id()),
          gate_({settings.bounds.drain}),
          quota_limiter_({}),
          hop_back_(outbound_policy_, outbound_, loop_),
          endpoint_back_(gate_),
          outbound_(settings, outbound_policy_, quota_limiter_, figures_,
                    [this] { return controllers_.view().entries().size(); }),
          inbound_(settings, gate_, life_, [this] { return outbound_.routes(); }),
          tally_(counters_, {}),
          gate_tally_(gate_counters_, {}),
          places_((settings.descriptors > 1200 ? settings.descriptors - 700 : settings.descriptors / 2) -
                  kSpareSockets),
          hops_(loop_, hop_back_, limits_of(kHopConnect, kHopIdle), places_ / 3, 0, counters_),
          to_endpoint_(loop_, endpoint_back_, limits_of(kHopConnect, kEndpointIdle), 256, 0, gate_counters_),
          engine_(loop_, hops_, limits_of(kHopConnect, kHopIdle),
                  std::make_unique<Shared<outbound::OutboundPolicy>>(outbound_policy_), tally_),
          gate_engine_(loop_, to_endpoint_, limits_of(kHopConnect, kEndpointIdle),
                       std::make_unique<Shared<admission::AdmissionController>>(gate_), gate_tally_),
          front_(
              loop_, engine_, outbound_, places_ / 3, [] { return true; }, counters_),
          gate_front_(
              loop_, gate_engine_, inbound_, places_ / 3, [] { return true; }, gate_counters_),
          control_(
              loop_,
              {{control_api::CallName::Heartbeat,
                [this](auto&& call, auto respond) { respond(local_endpoint_.handle_heartbeat(call)); }},
               {control_api::CallName::Deregister,
                [this](auto&& call, auto respond) { respond(local_endpoint_.handle_deregister(call)); }}},
              64, control_counters_),
          readiness_(loop_,
                     {{control_api::CallName::Readiness,
                       [this](auto&&, auto respond) {
                           respond({ready() ? 200u : 503u, ""});
                       }}},
                     64, readiness_counters_),
          signals_(loop_, {[this] { drain(); },
                           [this](const bootstrap::Settings& reloaded) { dial_seeds(reloaded); }}),
          ticker_(loop_),
          local_endpoint_(
              {settings.beat_interval, settings.app, identity_of(settings, life_)},
              {loop_, to_endpoint_, to_endpoint_, gate_, [this] { controllers_.register_now(); }}),
          controllers_(
              loop_,
              [&settings](const std::string& address) {
                  return bootstrap::is_seed_address(settings, address);
              },
              *this) {
        engine_.start();
        gate_engine_.start();
        outbound_.on_replanned([this] { engine_.tell({}); });
        front_.listen(*settings.outbound);
        gate_front_.listen(*settings.inbound);
        control_.listen(*settings.control);
        readiness_.listen(*settings.readiness);
        gate_engine_.on_ended(
            [this](EndpointId, decision::Status status) { local_endpoint_.handle_attempt_end(status); });
        dial_seeds(settings);
        tick();
        log_event(Event::Started, "listening",
                  {{"outbound", text_of(*settings.outbound)},
                   {"inbound", text_of(*settings.inbound)},
                   {"service", settings.service}});
    }
    void run() { loop_.run(); }

  private:
    void dial_seeds(const bootstrap::Settings& settings) {
        for (const std::string& address : bootstrap::seed_addresses(settings)) controllers_.connect(address);
    }

    // ---- ControllerObserver

    [[nodiscard]] const registry::ProxyRegistration& registration() const override {
        return local_endpoint_.registration();
    }
    [[nodiscard]] std::vector<quota::QuotaDemand> measure_quota_demands(Time now) override {
        return quota_limiter_.demands(now, rate_limited_tenants(outbound_.routes()));
    }
    void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) override {
        quota_limiter_.apply_leases(now, leases, requested_at);
    }
    void on_registry_changed(const std::vector<std::string>& nodes) override { apply(nodes); }
    void on_config(std::uint32_t version, const std::string& document) override {
        auto routes = parse_routes(version, document);
        if (!routes) return;
        controllers_.set_config_version(version);
        outbound_.set_routes(std::move(routes));
        const auto* cluster = outbound_.routes()->cluster(settings_.service);
        if (cluster && !cluster->health_path.empty()) endpoint_back_.set_health_path(cluster->health_path);
        local_endpoint_.probe_if_unknown();
        controllers_.register_with_new_demands();
        log_event(Event::ConfigApplied, "serves by", {{"version", mesh_config::text_of(version)}});
    }
    void on_quorum_contact_changed(bool has_contact) override {
        log_event(has_contact ? Event::QuorumContactRestored : Event::QuorumContactLost,
                  has_contact ? "quorum contact restored" : "quorum contact lost",
                  {{"version", mesh_config::text_of(controllers_.config_version())}});
    }

    // ---- what is known of others

    void apply(const std::vector<std::string>& nodes) {
        using Kind = outbound::UpstreamTable::Change::Kind;
        bool withdrawn = false;
        for (const auto& step : upstream_table_.apply(controllers_.view(), nodes)) {
            if (step.kind == Kind::Withdraw) {
                outbound_policy_.withdraw(step.id);
                withdrawn = true;
            } else if (step.kind == Kind::Remove) {
                hops_.remove(step.id);
                hop_back_.remove_upstream(step.id);
                outbound_policy_.remove_upstream(step.id);
            } else if (const auto at = parse_address(step.inbound_address)) {
                hop_back_.set_upstream(step.id, step.instance_id, step.incarnation);
                hops_.place(step.id, *at, true);
                outbound_policy_.set_upstream(step.id, step.upstream);
            }
        }
        if (withdrawn) engine_.tell({});
    }

    // ---- the process

    bool ready() const { return !stopping_ && outbound_.routes() && outbound_policy_.any_ready(); }

    void tick() {
        const Time now = loop_.now();
        ticker_.set(now + kTickInterval, [this] { tick(); });
        controllers_.tick();
        local_endpoint_.check_heartbeats();
        if (now - figured_ >= kFiguresEvery) {
            figured_ = now;
            log_event(Event::RequestTotals, "answers",
                      {{"taken", std::to_string(figures_.taken)},
                       {"served", std::to_string(figures_.served)},
                       {"refused", std::to_string(figures_.refused)},
                       {"failed", std::to_string(figures_.failed)},
                       {"no_route", std::to_string(figures_.no_route)},
                       {"no_key", std::to_string(figures_.no_key)},
                       {"over_quota", std::to_string(figures_.over_quota)}});
        }
    }
    /// Readiness says no, clients leave, what was taken is answered.
    void drain() {
        if (std::exchange(stopping_, true)) return;
        log_event(Event::Stopping, "stopping");
        outbound_policy_.drain();
        // Its endpoint, if it is still there, is used on while clients leave.
        local_endpoint_.begin_shutdown(settings_.bounds.grace / 4);
        const auto done = [this] {
            if (--draining_ == 0) loop_.stop();
        };
        draining_ = 2;
        front_.drain(done, false);
        gate_front_.drain(done, false);
        loop_.add(loop_.now() + settings_.bounds.grace - 200ms, [this] { loop_.stop(); });
    }

    const bootstrap::Settings& settings_;
    Loop loop_;
    Counters counters_, gate_counters_, control_counters_, readiness_counters_;
    const std::uint64_t life_;
    RequestTotals figures_;
    outbound::OutboundPolicy outbound_policy_;
    admission::AdmissionController gate_;
    quota::QuotaLimiter quota_limiter_;
    HopClientProtocol hop_back_;
    EndpointClientProtocol endpoint_back_;
    OutboundServerProtocol outbound_;
    HopServerProtocol inbound_;
    Tally tally_, gate_tally_;
    const std::size_t places_;
    Http1Back hops_, to_endpoint_;
    Engine engine_, gate_engine_;
    Http1Front front_, gate_front_;
    control_api::ApiServer control_, readiness_;
    outbound::UpstreamTable upstream_table_;
    Time figured_{};
    int draining_ = 0;
    bool stopping_ = false;
    bootstrap::ProcessSignals signals_;
    Timer ticker_;
    LocalEndpoint local_endpoint_;
    ControllerClient controllers_;
};

}  // namespace

void run_proxy(const bootstrap::Settings& settings) {
    Proxy proxy(settings);
    proxy.run();
}

}  // namespace martenford::proxy
