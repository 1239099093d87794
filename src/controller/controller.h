// The control plane's process: composes its parts on one event loop and passes events between them. What is
// decided is decided in the parts.
#pragma once

#include <memory>
#include <string>

#include "bootstrap/program.h"
#include "bootstrap/settings.h"
#include "config_service/config_service.h"
#include "control_api/control_api.h"
#include "controller/graceful_shutdown.h"
#include "controller/inbound_connections.h"
#include "controller/peers.h"
#include "controller/quota_service.h"
#include "controller/raft_driver.h"
#include "controller/raft_status_log.h"
#include "controller/register_storage.h"
#include "controller/watchers.h"
#include "core/counters.h"
#include "core/loop.h"
#include "raft/raft_node.h"
#include "registry/registry.h"

namespace martenford::controller {

/// Interval of the periodic work: a fifth of Raft's heartbeat, so that its timers fire close to their times.
inline constexpr Duration kTickInterval = 20ms;

/// Both listen.
struct ControllerSockets {
    ListeningSocket peers;      ///< the first of `internal_ports`: proxies and other controllers
    ListeningSocket operators;  ///< `listen_addrs.control`
};

class Controller {
  public:
    /// Serves on the sockets and starts its timers; `settings` outlives it, and `listen_addrs.control` is
    /// set.
    Controller(const bootstrap::Settings& settings, OpenedRegister opened, ControllerSockets sockets);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    /// Returns after SIGTERM or SIGINT, once the shutdown is complete.
    void run() { loop_.run(); }

  private:
    [[nodiscard]] Peers::Dependencies peer_dependencies();
    [[nodiscard]] RaftDriver::Effects raft_effects();

    void connect_to_seeds(const bootstrap::Settings& settings);
    void on_peer_message(const std::string& address, rpc::Message&& message);
    void on_inbound_message(ConnectionId connection, rpc::Message&& message);
    void handle(ConnectionId connection, const rpc::Hello& hello);
    void handle(ConnectionId connection, const raft::Message& message);
    void handle(ConnectionId connection, const rpc::RegisterRequest& request);
    void handle(ConnectionId connection, const rpc::WatchRequest& request);
    void receive_raft_message(const raft::Message& message);
    void tick();

    // Timers and links below refer to the loop, callbacks to what is declared before them.
    const bootstrap::Settings& settings_;
    EventLoop loop_;
    Counters counters_;
    RegisterStorage storage_;
    const raft::Member self_;
    raft::RaftNode raft_;
    config_service::ConfigService config_service_;
    registry::Registry registry_;
    QuotaService quota_service_;
    Peers peers_;
    Watchers watchers_;
    RaftStatusLog raft_status_log_;
    RaftDriver raft_driver_;
    GracefulShutdown shutdown_;
    bootstrap::ProcessSignals signals_;
    Timer tick_timer_;
    control_api::ApiServer operator_api_;
    InboundConnections inbound_;
};

}  // namespace martenford::controller
