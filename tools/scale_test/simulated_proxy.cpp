#include "simulated_proxy.h"

#include <algorithm>
#include <random>

namespace martenford::scale_test {

namespace {

// As in src/proxy/proxy.cpp.
constexpr Duration kTick = 100ms;
constexpr Duration kAnnounce = 500ms;
constexpr Duration kControllerSilent = 2200ms;
constexpr Duration kForgetController = 20s;
constexpr Duration kIntakePatience = 400ms;
constexpr std::size_t kMostControllers = 32;

std::uint64_t drawn() {
    static std::mt19937_64 random{std::random_device{}()};
    return random() | 1;
}

}  // namespace

SimulatedProxy::SimulatedProxy(Loop& loop, const Options& options, Gauge& gauge)
    : loop_(loop),
      options_(options),
      gauge_(gauge),
      outbound_policy_(outbound::OutboundPolicy::Options{options.zone}, drawn()),
      quota_limiter_({}),
      version_gate_(kIntakePatience),
      ticker_(loop),
      intake_timer_(loop) {
    registration_.node = options.node;
    registration_.incarnation = drawn();
    registration_.inbound_address = options.gate;
    registration_.service = options.service;
    registration_.zone = options.zone;
    registration_.slots = 4;
    replace_endpoint();
    for (const Address& seed : options.controllers) dial(text_of(seed));
    ticker_.set(loop_.now() + options.first_tick, [this] { tick(); });
}

void SimulatedProxy::end_endpoint() {
    registration_.state = registry::EndpointState::Absent;
    registration_.instance_id.clear();
    ++registration_.seq;
    announce();
}

void SimulatedProxy::replace_endpoint() {
    registration_.state = registry::EndpointState::Ready;
    registration_.instance_id = options_.node + "-" + std::to_string(++endpoints_);
    ++registration_.seq;
    announce();
}

void SimulatedProxy::dial(const std::string& address) {
    if (const auto known = controllers_.find(address); known != controllers_.end()) {
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
            announce_to(up);
            poll(up);
        },
        [this, address] { lost(address); });
}

void SimulatedProxy::lost(const std::string& address) {
    Controller& controller = controllers_.at(address);
    controller.in_touch = false;
    controller.taken = 0;
    show_touch();
    apply(view_.remove_controller(address));
}

void SimulatedProxy::poll(Controller& controller) {
    controller.client->send(rpc::WatchRequest{controller.epoch, controller.seq,
                                              std::max(version_, controller.passed_over), controller.wants});
}

void SimulatedProxy::announce_to(Controller& controller) {
    if (const Time now = loop_.now(); now - demanded_ >= kAnnounce / 2) {
        demanded_ = now;
        std::vector<std::string> tenants;
        if (routes_) {
            for (const auto& tenant : routes_->tenants())
                if (tenant.rate_per_s > 0) tenants.push_back(tenant.name);
        }
        demands_ = quota_limiter_.demands(now, tenants);
    }
    const auto asked = static_cast<std::uint64_t>(loop_.now().time_since_epoch().count());
    controller.client->send(rpc::RegisterRequest{registration_, demands_, controller.taken, version_, asked});
}

void SimulatedProxy::announce() {
    announced_ = loop_.now();
    for (auto& [address, controller] : controllers_) announce_to(controller);
}

void SimulatedProxy::heard(const std::string& address, rpc::Message&& message) {
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
        show_touch();
        apply(view_.apply(now, address, news->registry));
        const bool takes =
            version_gate_.accepts(now, version_, news->config_version, news->has_quorum_contact);
        if (takes && !news->config.empty()) serve(news->config_version, news->config);
        controller.wants = takes && news->config_version > version_;
        controller.passed_over = !takes && news->config_version > version_ ? news->config_version : 0;
        if (controller.passed_over != 0 && !std::exchange(asking_again_, true)) {
            intake_timer_.set(now + kIntakePatience, [this] {
                for (auto& [other, each] : controllers_) {
                    if (std::exchange(each.passed_over, 0) != 0) poll(each);
                }
            });
        }
        poll(controller);
    }
}

void SimulatedProxy::serve(std::uint32_t version, const std::string& document) {
    const auto json = mesh_config::Json::parse(document, nullptr, false);
    if (json.is_discarded()) return;
    const auto config = mesh_config::read_config(json);
    const auto* read = std::get_if<mesh_config::Config>(&config);
    if (!read) return;
    version_ = version;
    routes_ = std::make_shared<const mesh_config::RouteTable>(version, *read);
    gauge_.served_at_ns.store(std::chrono::nanoseconds(loop_.now().time_since_epoch()).count(),
                              std::memory_order_relaxed);
    gauge_.version.store(version, std::memory_order_release);
    demanded_ = {};
    announce();
}

void SimulatedProxy::apply(const std::vector<std::string>& nodes) {
    using Kind = outbound::UpstreamTable::Change::Kind;
    for (const auto& step : upstream_table_.apply(view_, nodes)) {
        if (step.kind == Kind::Set) outbound_policy_.set_upstream(step.id, step.upstream);
        if (step.kind == Kind::Remove) outbound_policy_.remove_upstream(step.id);
    }
    for (const std::string& node : nodes) {
        const auto known = view_.entries().find(node);
        if (known != view_.entries().end() && known->second.lease_expired) {
            silent_.insert(node);
        } else {
            silent_.erase(node);
        }
    }
    gauge_.live.store(static_cast<std::uint32_t>(view_.entries().size() - silent_.size()),
                      std::memory_order_relaxed);
}

void SimulatedProxy::show_touch() {
    const auto count = std::count_if(controllers_.begin(), controllers_.end(),
                                     [](const auto& g) { return g.second.in_touch; });
    gauge_.in_touch.store(static_cast<std::uint32_t>(count), std::memory_order_relaxed);
}

void SimulatedProxy::tick() {
    const Time now = loop_.now();
    ticker_.set(now + kTick, [this] { tick(); });
    if (now - announced_ >= kAnnounce) announce();
    for (auto it = controllers_.begin(); it != controllers_.end();) {
        Controller& controller = it->second;
        if (controller.client->is_connected() && now - controller.answered > kControllerSilent) {
            controller.answered = now;
            controller.client->reconnect();
        }
        const bool seed = std::any_of(options_.controllers.begin(), options_.controllers.end(),
                                      [&](const Address& a) { return text_of(a) == it->first; });
        if (!seed && !controller.client->is_connected() &&
            now - std::max(controller.named, controller.answered) > kForgetController) {
            it = controllers_.erase(it);
        } else {
            ++it;
        }
    }
}

}  // namespace martenford::scale_test
