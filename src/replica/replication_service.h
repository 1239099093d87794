// Runs this sidecar's replica of the shared state on the event loop: timers, links to other sidecars, the
// snapshot on disk, operators' commands, and what the state says about endpoints. The decisions are made in
// replica::Replica and replica::EndpointOverrides.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/loop.h"
#include "peers/peers.h"
#include "replica/endpoint_overrides.h"
#include "replica/options.h"
#include "replica/replica.h"
#include "replica/snapshot_client.h"

namespace martenford::replica {

class ReplicationService : private PeerDirectory {
  public:
    /// @param fleet name of the fleet
    /// `options` and `peers` must outlive this object.
    ReplicationService(EventLoop& loop, const Options& options, peers::Peers& peers, const std::string& fleet,
                       Counters& counters);
    ~ReplicationService() override;

    /// Sets the callback for endpoints whose override may have changed.
    void on_endpoint_override(std::function<void(const std::string& uid, const EndpointOverride&)> call) {
        on_endpoint_override_ = std::move(call);
    }
    /// Sets the callback for endpoints that enough other sidecars have ejected.
    void on_ejected_by_others(std::function<void(const std::string& uid)> call) {
        on_ejected_by_others_ = std::move(call);
    }
    /// Publishes that this sidecar has ejected the endpoint after `failed` failures.
    void ejected(const std::string& uid, std::uint32_t failed);
    /// Publishes that this sidecar's discovery reports the endpoint as draining.
    void drained(const std::string& uid, const Drain& drain);
    /// Answers an operator's command: "state tables", "state get TABLE", "state conflicts", "state put ...",
    /// "state delete ...", "state outcome N", "state history", "state self". Words are escaped as in
    /// core/words.h. Returns nothing if `line` is no such command.
    std::optional<std::string> answer(std::string_view line);

  private:
    /// A member that has been gone for longer no longer counts as known.
    static constexpr Duration kMaxAbsence = 7 * 24h;

    std::vector<Peer> sample(std::size_t count) override;
    std::size_t live_count() const override;
    std::size_t known_count() const override { return std::max(live_count(), last_alive_.size()); }

    bool start_replica();
    void wait_for_fleet();
    void run_replica();
    void run_periodic();
    void handle_message(const fleet::Id& from, const std::string& address, const std::string& bytes);
    void persist(const std::set<EntryName>& names);
    void on_persisted(std::uint64_t seq);
    void persist_all();
    void merge_loaded(SnapshotClient::Loaded&& loaded);
    void notify_endpoint_overrides(const std::set<EntryName>& names);
    std::string put(std::string_view words, bool deleted);
    std::string tables() const;
    std::string entries(const std::string& table, bool conflicts) const;
    std::string history() const;
    std::string outcome(std::uint64_t ticket) const;
    std::string self() const;

    EventLoop& loop_;
    const Options& options_;
    peers::Peers& peers_;
    std::optional<Replica> replica_;
    std::optional<EndpointOverrides> endpoint_overrides_;
    std::function<void(const std::string&, const EndpointOverride&)> on_endpoint_override_;
    std::function<void(const std::string&)> on_ejected_by_others_;
    std::map<std::string, Time> last_alive_;  ///< by name of the member
    std::map<std::uint64_t, Replica::Outcome> outcomes_;
    std::optional<SnapshotClient> snapshot_;
    std::optional<SnapshotClient::Loaded> loaded_;  ///< until the replica has started
    bool from_disk_ = false;
    std::uint64_t last_persist_ = 0, persisted_ = 0;
    /// Actions that must wait until the snapshot has stored the request with this number.
    std::deque<std::pair<std::uint64_t, std::function<void()>>> deferred_;
    Timer replica_timer_, periodic_timer_;
    Time started_at_{};
    bool reported_caught_up_ = false, running_ = false;
    Counter &bytes_out_, &unreadable_;
};

}  // namespace martenford::replica
