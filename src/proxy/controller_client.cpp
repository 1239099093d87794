#include "proxy/controller_client.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace martenford::proxy {
namespace {

/// A registration is a lease of 1.6 s (registry::Registry::Options): two may be lost.
constexpr Duration kRegisterInterval = 500ms;
/// Demands are rates: measured over less time they would be noise.
constexpr Duration kMinDemandInterval = kRegisterInterval / 2;
/// Polls are answered within 0.9 s; a controller that takes longer than two is stopped or unreachable.
constexpr Duration kWatchResponseTimeout = 2200ms;
/// A controller that no response has named for so long, and that is not connected, has left for good.
constexpr Duration kForgetControllerTimeout = 20s;
/// How long a proxy without a configuration waits for a controller with quorum contact: one that has a leader
/// says so within two of the leader's heartbeats.
constexpr Duration kFirstConfigWait = 400ms;
/// Bounds the links that faulty responses can make it open.
constexpr std::size_t kMaxControllers = 32;

}  // namespace

ControllerClient::ControllerClient(EventLoop& loop, IsSeed is_seed, ControllerObserver& observer)
    : loop_(loop),
      is_seed_(std::move(is_seed)),
      observer_(observer),
      version_gate_(kFirstConfigWait),
      postponed_poll_timer_(loop) {}

void ControllerClient::connect(const std::string& address) {
    if (const auto known = controllers_.find(address); known != controllers_.end()) {
        known->second.last_named_at = loop_.now();
        return;
    }
    const auto endpoint = parse_address(address);
    if (!endpoint || controllers_.size() >= kMaxControllers) return;
    Controller& controller = controllers_[address];
    controller.last_named_at = controller.last_response_at = loop_.now();
    controller.client = std::make_unique<rpc::ReconnectingClient>(
        loop_, *endpoint,
        [this, address](rpc::Message&& message) { handle_message(address, std::move(message)); },
        [this, address] { handle_connected(address); }, [this, address] { handle_disconnected(address); });
}

void ControllerClient::handle_connected(const std::string& address) {
    Controller& controller = controllers_.at(address);
    controller.last_response_at = loop_.now();
    send_register_request(controller, current_demands());
    send_watch_request(controller);
}

void ControllerClient::handle_disconnected(const std::string& address) {
    Controller& controller = controllers_.at(address);
    controller.has_quorum_contact = false;
    controller.applied_response = 0;
    observer_.on_registry_changed(view_.remove_controller(address));
}

void ControllerClient::send_watch_request(const Controller& controller) const {
    controller.client->send(rpc::WatchRequest{controller.registry_epoch, controller.registry_seq,
                                              std::max(config_version_, controller.postponed_version),
                                              controller.wants_config});
}

void ControllerClient::send_register_request(Controller& controller,
                                             const std::vector<quota::QuotaDemand>& demands) {
    // By this process's steady clock. Connections end with the process, so no other one's time comes back.
    const auto sent_at = static_cast<std::uint64_t>(loop_.now().time_since_epoch().count());
    const auto known_proxies = static_cast<std::uint32_t>(view_.entries().size());
    controller.client->send(rpc::RegisterRequest{observer_.registration(), demands,
                                                 controller.applied_response, config_version_, sent_at,
                                                 known_proxies});
}

const std::vector<quota::QuotaDemand>& ControllerClient::current_demands() {
    const Time now = loop_.now();
    if (now - demands_measured_at_ >= kMinDemandInterval) {
        demands_measured_at_ = now;
        demands_ = observer_.measure_quota_demands(now);
    }
    return demands_;
}

void ControllerClient::register_now() {
    registered_at_ = loop_.now();
    const auto& demands = current_demands();
    for (auto& [address, controller] : controllers_) send_register_request(controller, demands);
}

void ControllerClient::register_with_new_demands() {
    demands_measured_at_ = {};
    register_now();
}

void ControllerClient::handle_message(const std::string& address, rpc::Message&& message) {
    Controller& controller = controllers_.at(address);
    if (const auto* registered = std::get_if<rpc::RegisterResponse>(&message)) {
        handle_register_response(controller, *registered);
    } else if (const auto* watched = std::get_if<rpc::WatchResponse>(&message)) {
        handle_watch_response(address, controller, *watched);
    }
}

void ControllerClient::handle_register_response(Controller& controller,
                                                const rpc::RegisterResponse& response) {
    const Time now = loop_.now();
    controller.applied_response = response.response_number;
    const Time requested_at{Duration{static_cast<Duration::rep>(response.request_sent_at)}};
    // A request time in the future is none of this process's: its leases would last too long.
    if (response.from_leader && requested_at <= now) {
        observer_.on_quota_leases(now, response.quota_leases, requested_at);
    }
}

void ControllerClient::handle_watch_response(const std::string& address, Controller& controller,
                                             const rpc::WatchResponse& response) {
    const Time now = loop_.now();
    controller.last_response_at = now;
    controller.has_quorum_contact = response.has_quorum_contact;
    controller.registry_epoch = response.registry.epoch;
    controller.registry_seq = response.registry.seq;
    for (const auto& other : response.controllers) connect(other.address);
    observer_.on_registry_changed(view_.apply(now, address, response.registry));

    const bool accepts =
        version_gate_.accepts(now, config_version_, response.config_version, response.has_quorum_contact);
    if (accepts && !response.config.empty()) observer_.on_config(response.config_version, response.config);
    const bool is_newer = response.config_version > config_version_;
    controller.wants_config = accepts && is_newer;
    controller.postponed_version = !accepts && is_newer ? response.config_version : 0;
    if (controller.postponed_version != 0) schedule_postponed_polls(now);
    send_watch_request(controller);
}

void ControllerClient::schedule_postponed_polls(Time now) {
    // Only once: from kFirstConfigWait after the first offer on, every newer version is accepted.
    if (std::exchange(postponed_polls_scheduled_, true)) return;
    postponed_poll_timer_.set(now + kFirstConfigWait, [this] {
        for (auto& [address, controller] : controllers_) {
            if (std::exchange(controller.postponed_version, 0) != 0) send_watch_request(controller);
        }
    });
}

std::size_t ControllerClient::quorum_contact_count() const {
    return static_cast<std::size_t>(
        std::count_if(controllers_.begin(), controllers_.end(),
                      [](const auto& entry) { return entry.second.has_quorum_contact; }));
}

bool ControllerClient::is_forgotten(const std::string& address, const Controller& controller,
                                    Time now) const {
    const Time last_sign = std::max(controller.last_named_at, controller.last_response_at);
    return !controller.client->is_connected() && now - last_sign > kForgetControllerTimeout &&
           !is_seed_(address);
}

void ControllerClient::tick() {
    const Time now = loop_.now();
    if (now - registered_at_ >= kRegisterInterval) register_now();
    bool has_contact = false;
    for (auto it = controllers_.begin(); it != controllers_.end();) {
        Controller& controller = it->second;
        if (controller.client->is_connected() && now - controller.last_response_at > kWatchResponseTimeout) {
            controller.last_response_at = now;
            controller.client->reconnect();
        }
        has_contact |= controller.client->is_connected() && controller.has_quorum_contact;
        it = is_forgotten(it->first, controller, now) ? controllers_.erase(it) : std::next(it);
    }
    if (has_contact == std::exchange(has_quorum_contact_, has_contact)) return;
    observer_.on_quorum_contact_changed(has_contact);
}

}  // namespace martenford::proxy
