// This sidecar's copy of the shared state on the loop: its time, its links, its operators' calls, and what it
// says of endpoints. What is decided is replica::Replica's and replica::EndpointOverrides's.
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
    /// `fleet`: its name. `options` and `peers` outlive it.
    ReplicationService(EventLoop& loop, const Options& options, peers::Peers& peers, const std::string& fleet,
                       Counters& counters);
    ~ReplicationService() override;

    /// Called for endpoints of which something else may hold than before.
    void on_endpoint_override(std::function<void(const std::string& uid, const EndpointOverride&)> call) {
        on_endpoint_override_ = std::move(call);
    }
    /// Called for endpoints that enough others have ejected.
    void on_ejected_by_others(std::function<void(const std::string& uid)> call) {
        on_ejected_by_others_ = std::move(call);
    }
    /// This sidecar has ejected it, after so many failures.
    void ejected(const std::string& uid, std::uint32_t failed);
    /// This sidecar's discovery says so.
    void drained(const std::string& uid, const Drain& drain);
    /// Calls of operators: "state tables", "state get TABLE", "state put ...", "state outcome N",
    /// "state history", "state self". Words are escaped, as core/words.h has it. Nothing where it is none.
    std::optional<std::string> answer(std::string_view line);

  private:
    /// A member that is gone may come back within it; then it is no longer counted on.
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
    std::map<std::string, Time> last_alive_;  ///< names, with when they were last alive
    std::map<std::uint64_t, Replica::Outcome> outcomes_;
    std::optional<SnapshotClient> snapshot_;
    std::optional<SnapshotClient::Loaded> loaded_;  ///< until the copy is there
    bool from_disk_ = false;
    std::uint64_t last_persist_ = 0, persisted_ = 0;
    /// What must not be said before so much is kept.
    std::deque<std::pair<std::uint64_t, std::function<void()>>> deferred_;
    Timer replica_timer_, periodic_timer_;
    Time started_at_{};
    bool reported_caught_up_ = false, running_ = false;
    Counter &bytes_out_, &unreadable_;
};

}  // namespace martenford::replica
