// Long polls of proxies (WatchRequest): each is answered as soon as there is something newer than the proxy
// has, or after kWatchTimeout without. No I/O of its own: answers leave through a callback.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "config_service/config_service.h"
#include "core/scheduler.h"
#include "raft/raft_node.h"
#include "registry/registry.h"
#include "rpc/messages.h"

namespace martenford::controller {

/// Id of an accepted connection; not reused while the process runs.
using ConnectionId = std::uint64_t;

/// A request is answered after this time even without an update; a proxy takes a controller that has not
/// answered for 2.2 s for gone.
inline constexpr Duration kWatchTimeout = 900ms;
/// Updates of the registry are collected for this time, so that a burst of them costs each proxy one answer.
inline constexpr Duration kWatchBatchDelay = 15ms;
/// Contact with a quorum that is older counts as lost; seven heartbeats of the leader.
inline constexpr Duration kQuorumContactMaxAge = 700ms;

class Watchers {
  public:
    /// What the watchers observe. All of it outlives them.
    struct Sources {
        const registry::Registry& registry;
        config_service::ConfigService& config_service;
        const raft::RaftNode& raft;
        /// The controllers that a proxy may connect to, from now on.
        std::function<std::vector<raft::Member>(Time now)> known_controllers;
    };
    using Send = std::function<void(ConnectionId, const rpc::WatchResponse&)>;

    Watchers(Scheduler& scheduler, Sources sources, Send send);

    /// Answers at once if there is an update, else keeps the request; it replaces one that is still pending
    /// on this connection.
    void handle(ConnectionId connection, const rpc::WatchRequest& request);
    /// The connection was closed.
    void remove(ConnectionId connection) { pending_.erase(connection); }

    /// The registry has changed: answers those whom it concerns, kWatchBatchDelay later.
    void notify_registry_changed();
    /// Answers at once if another version of the configuration was committed since the last call.
    void notify_if_config_changed();
    /// Answers those whose time is over, and everybody if contact with a quorum was lost or gained: proxies
    /// that have no configuration yet wait for it.
    void tick();

    [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }

  private:
    struct PendingWatch {
        rpc::WatchRequest request;
        Time deadline{};
    };

    [[nodiscard]] bool has_update(const rpc::WatchRequest& request) const;
    void answer_due();
    void answer(ConnectionId connection, const rpc::WatchRequest& request);

    Scheduler& scheduler_;
    Sources sources_;
    Send send_;
    std::map<ConnectionId, PendingWatch> pending_;
    std::uint32_t notified_config_version_ = 0;
    bool has_quorum_contact_ = false;
    bool batch_scheduled_ = false;
    Timer batch_timer_;
};

}  // namespace martenford::controller
