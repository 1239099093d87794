#include "proxy/proxy.h"

#include <algorithm>
#include <map>
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
#include "proxy/config_version_gate.h"
#include "proxy/inbound_protocol.h"
#include "proxy/local_endpoint.h"
#include "proxy/outbound_protocol.h"
#include "rpc/channel.h"

namespace martenford::proxy {
namespace {

using event_log::Event;
using event_log::log_event;

constexpr Duration kTick = 100ms;
constexpr Duration kAnnounce = 500ms;
constexpr Duration kControllerSilent = 2200ms;  // polls are answered within 0.9 s
constexpr Duration kForgetController = 20s;
// A controller that hears a leader says so within two of the leader's heartbeats.
constexpr Duration kIntakePatience = 400ms;
constexpr Duration kHopConnect = 300ms;
constexpr Duration kHopIdle = 12s, kEndpointIdle = 6s;
constexpr std::size_t kMostControllers = 32;
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

class Proxy {
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
                    [this] { return view_.entries().size(); }),
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
          intake_timer_(loop_),
          local_endpoint_({settings.beat_interval, settings.app, identity_of(settings, life_)},
                          {loop_, to_endpoint_, to_endpoint_, gate_, [this] { announce(); }}) {
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
    struct Controller {
        std::unique_ptr<rpc::ReconnectingClient> client;
        std::uint64_t epoch = 0, seq = 0, taken = 0;
        bool in_touch = false, polled = false, wants = false;
        std::uint32_t passed_over = 0;  // a version that it offered and that was not taken
        Time answered{};
        Time named{};
    };

    // ---- controllers

    void dial_seeds(const bootstrap::Settings& settings) {
        for (const std::string& address : bootstrap::seed_addresses(settings)) dial(address);
    }
    void dial(const std::string& address) {
        if (auto known = controllers_.find(address); known != controllers_.end()) {
            known->second.named = loop_.now();
            return;
        }
        const auto to = parse_address(address);
        if (!to || controllers_.size() >= kMostControllers) return;
        Controller& controller = controllers_[address];
        controller.named = controller.answered = loop_.now();
        controller.client = std::make_unique<rpc::ReconnectingClient>(
            loop_, *to, [this, address](rpc::Message&& message) { heard(address, std::move(message)); },
            [this, address] {
                Controller& up = controllers_.at(address);
                up.answered = loop_.now();
                announce_to(up, quota_demands());
                poll(up);
            },
            [this, address] { lost(address); });
    }
    void lost(const std::string& address) {
        Controller& controller = controllers_.at(address);
        controller.in_touch = controller.polled = false;
        controller.taken = 0;
        apply(view_.remove_controller(address));
    }
    void poll(Controller& controller) {
        if (!controller.client->is_connected()) return;
        controller.polled = true;
        controller.client->send(rpc::WatchRequest{
            controller.epoch, controller.seq, std::max(version_, controller.passed_over), controller.wants});
    }
    void announce_to(Controller& controller, const std::vector<quota::QuotaDemand>& demands) {
        // A life's connections end with it: only this process's own clock can come back.
        const auto asked = static_cast<std::uint64_t>(loop_.now().time_since_epoch().count());
        controller.client->send(
            rpc::RegisterRequest{local_endpoint_.registration(), demands, controller.taken, version_, asked});
    }
    void announce() {
        announced_ = loop_.now();
        const auto demands = quota_demands();
        for (auto& [address, controller] : controllers_) announce_to(controller, demands);
    }
    std::vector<quota::QuotaDemand> quota_demands() {
        // Told anew at most so often: what is asked for is a rate.
        if (const Time now = loop_.now(); now - demanded_ >= kAnnounce / 2) {
            demanded_ = now;
            std::vector<std::string> tenants;
            if (const auto* routes = outbound_.routes()) {
                for (const auto& tenant : routes->tenants())
                    if (tenant.rate_per_s > 0) tenants.push_back(tenant.name);
            }
            demands_ = quota_limiter_.demands(now, tenants);
        }
        return demands_;
    }

    void heard(const std::string& address, rpc::Message&& message) {
        const Time now = loop_.now();
        Controller& controller = controllers_.at(address);
        if (auto* grants = std::get_if<rpc::RegisterResponse>(&message)) {
            controller.taken = grants->response_number;
            const Time asked{Duration{static_cast<Duration::rep>(grants->request_sent_at)}};
            if (grants->from_leader && asked <= now)
                quota_limiter_.apply_leases(now, grants->quota_leases, asked);
        } else if (auto* news = std::get_if<rpc::WatchResponse>(&message)) {
            controller.answered = now;
            controller.in_touch = news->has_quorum_contact;
            controller.epoch = news->registry.epoch;
            controller.seq = news->registry.seq;
            for (const auto& other : news->controllers) dial(other.address);
            apply(view_.apply(now, address, news->registry));
            const bool takes =
                version_gate_.accepts(now, version_, news->config_version, news->has_quorum_contact);
            if (takes && !news->config.empty()) serve(news->config_version, news->config);
            controller.wants = takes && news->config_version > version_;
            controller.passed_over = !takes && news->config_version > version_ ? news->config_version : 0;
            if (controller.passed_over != 0 &&
                !asking_again_) {  // once patience is over, whoever has it is asked
                asking_again_ = true;
                intake_timer_.set(now + kIntakePatience, [this] {
                    for (auto& [other, each] : controllers_) {
                        if (std::exchange(each.passed_over, 0) != 0) poll(each);
                    }
                });
            }
            poll(controller);
        }
    }

    void serve(std::uint32_t version, const std::string& document) {
        const auto json = mesh_config::Json::parse(document, nullptr, false);
        if (json.is_discarded()) return;
        const auto config = mesh_config::read_config(json);
        if (const auto* read = std::get_if<mesh_config::Config>(&config)) {
            version_ = version;
            outbound_.set_routes(std::make_shared<const mesh_config::RouteTable>(version, *read));
            if (const auto* cluster = outbound_.routes()->cluster(settings_.service);
                cluster && !cluster->health_path.empty())
                endpoint_back_.set_health_path(cluster->health_path);
            local_endpoint_.probe_if_unknown();
            demanded_ = {};  // tenants that are new have no share yet
            announce();
            log_event(Event::ConfigApplied, "serves by", {{"version", mesh_config::text_of(version)}});
        }
    }

    // ---- what is known of others

    void apply(const std::vector<std::string>& nodes) {
        using Kind = outbound::UpstreamTable::Change::Kind;
        bool withdrawn = false;
        for (const auto& step : upstream_table_.apply(view_, nodes)) {
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
        ticker_.set(now + kTick, [this] { tick(); });
        if (now - announced_ >= kAnnounce) announce();
        bool in_touch = false;
        for (auto it = controllers_.begin(); it != controllers_.end();) {
            Controller& controller = it->second;
            if (controller.client->is_connected() && now - controller.answered > kControllerSilent) {
                controller.answered = now;
                controller.client->reconnect();
            }
            in_touch |= controller.client->is_connected() && controller.in_touch;
            if (!controller.client->is_connected() &&
                now - std::max(controller.named, controller.answered) > kForgetController &&
                !bootstrap::is_seed_address(settings_, it->first)) {
                it = controllers_.erase(it);
            } else {
                ++it;
            }
        }
        if (in_touch != in_touch_) {
            in_touch_ = in_touch;
            log_event(in_touch ? Event::QuorumContactRestored : Event::QuorumContactLost,
                      in_touch ? "in touch" : "out of touch", {{"version", mesh_config::text_of(version_)}});
        }
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
    std::map<std::string, Controller> controllers_;
    registry::RegistryView view_;
    outbound::UpstreamTable upstream_table_;
    Time announced_{}, demanded_{}, figured_{};
    int draining_ = 0;
    std::vector<quota::QuotaDemand> demands_;
    std::uint32_t version_ = 0;
    ConfigVersionGate version_gate_{kIntakePatience};
    bool asking_again_ = false;
    bool stopping_ = false, in_touch_ = false;
    bootstrap::ProcessSignals signals_;
    Timer ticker_, intake_timer_;
    LocalEndpoint local_endpoint_;
};

}  // namespace

void run_proxy(const bootstrap::Settings& settings) {
    Proxy proxy(settings);
    proxy.run();
}

}  // namespace martenford::proxy
