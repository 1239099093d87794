#include "controller/controller.h"

#include <utility>
#include <variant>

#include "controller/operator_api.h"
#include "controller/options.h"
#include "event_log/event_log.h"
#include "rpc/channel.h"

namespace martenford::controller {
namespace {

using event_log::Event;
using event_log::log_event;

class ReconnectingPeerLink final : public PeerLink {
  public:
    ReconnectingPeerLink(EventLoop& loop, const Address& address, rpc::Channel::OnMessage on_message,
                         std::function<void()> on_connected)
        : client_(loop, address, std::move(on_message), std::move(on_connected), [] {}) {}
    void send(const rpc::Message& message) override { client_.send(message); }

  private:
    rpc::ReconnectingClient client_;
};

raft::Member own_member(const bootstrap::Settings& settings, raft::MemberId id) {
    return {id, bootstrap::own_address(settings), settings.zone, settings.region, settings.loss_counted};
}

}  // namespace

Controller::Controller(const bootstrap::Settings& settings, OpenedRegister opened, ControllerSockets sockets)
    : settings_(settings),
      storage_(std::move(opened.storage)),
      self_(own_member(settings, opened.state.self_id)),
      raft_(self_, std::move(opened.state), raft_options(settings), bootstrap::random_nonzero_id()),
      config_service_(raft_),
      registry_(bootstrap::random_nonzero_id(), {}),
      quota_service_(quota_options(settings), {registry_, config_service_, raft_}),
      peers_(self_, raft_, peer_dependencies()),
      watchers_(
          loop_,
          {registry_, config_service_, raft_, [this](Time now) { return peers_.known_controllers(now); }},
          [this](ConnectionId connection, const rpc::WatchResponse& response) {
              inbound_.send(connection, response);
          }),
      raft_status_log_(raft_, settings.fault_tolerance,
                       [this](const std::vector<raft::Member>& voters) {
                           for (const raft::Member& voter : voters) peers_.add_member(loop_.now(), voter);
                       }),
      raft_driver_(loop_, raft_, raft_effects()),
      shutdown_(loop_, raft_, settings.bounds.grace,
                {[this] { raft_driver_.process_output(); }, [this] { loop_.stop(); }}),
      signals_(loop_, {[this] { shutdown_.begin(); },
                       [this](const bootstrap::Settings& reloaded) { connect_to_seeds(reloaded); }}),
      tick_timer_(loop_),
      operator_api_(loop_,
                    operator_call_handlers(loop_, config_service_, [this] { raft_driver_.process_output(); }),
                    kMaxOperatorConnections, counters_),
      inbound_(loop_, std::move(sockets.peers),
               {[this](ConnectionId connection, rpc::Message&& message) {
                    on_inbound_message(connection, std::move(message));
                },
                [this](ConnectionId connection) { watchers_.remove(connection); }}) {
    loop_.received_bytes()->set_max_bytes(settings.max_received_bytes());
    connect_config_service(config_service_, settings.control->port());
    operator_api_.listen(std::move(sockets.operators));
    for (const raft::Member& voter : raft_.persistent_state().last_entry.voters) {
        peers_.add_member(loop_.now(), voter);
    }
    connect_to_seeds(settings);
    tick();
    log_event(Event::Started, "listening",
              {{"control", text_of(*settings.control)},
               {"member", std::to_string(self_.id)},
               {"voter", raft_.is_voter() ? "yes" : "no"}});
}

Peers::Dependencies Controller::peer_dependencies() {
    return {[this](const std::string& address, const Address& parsed) {
                return std::make_unique<ReconnectingPeerLink>(
                    loop_, parsed,
                    [this, address](rpc::Message&& message) { on_peer_message(address, std::move(message)); },
                    [this, address] { peers_.send_hello(loop_.now(), address); });
            },
            [this](const std::string& address) { return bootstrap::is_seed_address(settings_, address); },
            storage_.began_empty()};
}

RaftDriver::Effects Controller::raft_effects() {
    RaftDriver::Effects effects;
    effects.persist = [this](const raft::PersistentState& state) { return storage_.save(state); };
    effects.send = [this](const raft::Message& message) { peers_.send(loop_.now(), message); };
    effects.notify_watchers = [this] { watchers_.notify_if_config_changed(); };
    effects.process_pending_calls = [this] { config_service_.process_pending(loop_.now()); };
    effects.on_idle = [this] { raft_status_log_.update(loop_.now()); };
    return effects;
}

void Controller::connect_to_seeds(const bootstrap::Settings& settings) {
    for (const std::string& address : bootstrap::seed_addresses(settings)) {
        peers_.connect(loop_.now(), address);
    }
}

/// On a connection that this controller has opened.
void Controller::on_peer_message(const std::string& address, rpc::Message&& message) {
    const Time now = loop_.now();
    if (!peers_.contains(address)) return;
    if (const auto* hello = std::get_if<rpc::Hello>(&message)) {
        peers_.on_link_hello(now, address, *hello);
    } else if (const auto* raft_message = std::get_if<raft::Message>(&message)) {
        peers_.on_link_message(now, address);
        receive_raft_message(*raft_message);
    }
}

/// On a connection that a proxy or another controller has opened. Responses are not expected here and are
/// ignored.
void Controller::on_inbound_message(ConnectionId connection, rpc::Message&& message) {
    if (const auto* hello = std::get_if<rpc::Hello>(&message)) {
        handle(connection, *hello);
    } else if (const auto* raft_message = std::get_if<raft::Message>(&message)) {
        handle(connection, *raft_message);
    } else if (const auto* request = std::get_if<rpc::RegisterRequest>(&message)) {
        handle(connection, *request);
    } else if (const auto* watch = std::get_if<rpc::WatchRequest>(&message)) {
        handle(connection, *watch);
    }
}

void Controller::handle(ConnectionId connection, const rpc::Hello& hello) {
    const Time now = loop_.now();
    peers_.on_hello(now, hello);
    inbound_.send(connection, peers_.hello(now));
}

void Controller::handle(ConnectionId /*connection*/, const raft::Message& message) {
    if (message.to == self_.id) peers_.learn_address(message.from);
    receive_raft_message(message);
}

void Controller::handle(ConnectionId connection, const rpc::RegisterRequest& request) {
    const Time now = loop_.now();
    if (registry_.renew_lease(now, request.registration)) watchers_.notify_registry_changed();
    inbound_.send(connection, quota_service_.respond(now, request));
}

void Controller::handle(ConnectionId connection, const rpc::WatchRequest& request) {
    watchers_.handle(connection, request);
}

void Controller::receive_raft_message(const raft::Message& message) {
    raft_.receive(loop_.now(), message);
    raft_driver_.process_output();
}

void Controller::tick() {
    const Time now = loop_.now();
    tick_timer_.set(now + kTickInterval, [this] { tick(); });
    peers_.tick(now);
    if (registry_.tick(now)) watchers_.notify_registry_changed();
    watchers_.tick();
    raft_.tick(now);
    raft_driver_.process_output();
}

}  // namespace martenford::controller
