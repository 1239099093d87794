// The known endpoints of a tier: ids of uids, addresses, and which changes of a list to apply at once. No
// I/O: lists and times come in, changes for the decision module and the back end go out. The reasons are in
// docs/large-fleets.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "membership/target.h"

namespace martenford {

/// 32-bit FNV-1a. All sidecars use it, so that all build the same ring.
std::uint32_t uid_hash(const std::string& uid);

/// A compact set of ids: sorted vectors by the highest byte, so that an insertion moves a few hundred ids at
/// most.
class IdSet {
  public:
    /// Returns false if the id was in the set.
    bool insert(std::uint32_t id);
    void erase(std::uint32_t id);

  private:
    std::array<std::vector<std::uint32_t>, 256> ids_;
};

class Membership {
  public:
    struct Options {
        /// A list that removes more than this share of the ready endpoints, and at least min_checked_removals
        /// of them, is not applied at once. 1: every list is.
        double max_removal_share = 1.0;
        std::size_t min_checked_removals = 10;  ///< smaller tiers lose half in an ordinary rollout
        /// How long such removals are delayed. Must be within the platform's drain grace, event-loop latency
        /// included.
        Duration removal_delay{};
    };
    struct PlacedEndpoint {
        EndpointId id{};
        Address address;
        bool ready = false;
        const std::string* uid = nullptr;  ///< valid until the next list is applied
    };
    /// What sources other than discovery say about an endpoint. It only takes away: an endpoint is at most as
    /// ready as discovery lists it.
    struct EndpointOverride {
        bool excluded = false;  ///< excluded by an operator: gets no new requests
        double weight = 1.0;    ///< set by an operator; multiplies discovery's
        /// Other sidecars' discovery lists it as draining or gone, at this revision of the list and for the
        /// life that began at `boot_ms`. Valid until this sidecar's discovery has delivered a list that is as
        /// new.
        struct DrainHint {
            std::uint64_t revision = 0;
            std::int64_t boot_ms = 0;
            bool operator==(const DrainHint&) const = default;
        };
        std::optional<DrainHint> drain_hint;
        bool operator==(const EndpointOverride&) const = default;
    };
    /// An endpoint that discovery no longer lists as ready, and the start of the life that this ends.
    struct Drained {
        std::string uid;
        std::int64_t boot_ms = 0;
    };
    /// The consequences of a list.
    struct Update {
        decision::DiscoveryUpdate discovered;  ///< for the decision module; nothing if of kind Failed
        std::vector<EndpointId> removed;       ///< for the back end; apply before `placed`
        std::vector<PlacedEndpoint> placed;
        bool need_full_list = false;  ///< the full list must be requested at once
        std::vector<Drained> drained;
        std::string log_text;  ///< to be logged; usually empty
    };
    struct Stats {
        std::uint64_t delayed_lists = 0;      ///< lists whose removals were delayed
        std::uint64_t relisted = 0;           ///< endpoints that were listed again during the delay
        std::uint64_t stale_lists = 0;        ///< deltas older than the current list
        std::uint64_t hash_collisions = 0;    ///< uids whose hash collided with another id
        std::uint64_t hinted = 0;             ///< times that a hint removed an endpoint
        std::uint64_t early_id_releases = 0;  ///< ids released early because too many were reserved
    };

    explicit Membership(const Options& options) : options_(options) {}

    /// Applies a list. `cached` means that it comes from the configuration; `epoch` is the time of the Unix
    /// epoch on the clock of `now`. A delta without a current list, or older than it, is rejected, and the
    /// full list is requested.
    Update apply_list(const TargetList& list, bool cached, Time now, Time epoch);
    /// Applies the removals whose delay is over. To be called at next_due().
    Update apply_due_removals(Time now);
    /// Sets the override of an endpoint, known or not.
    Update set_endpoint_override(const std::string& uid, const EndpointOverride& endpoint_override);
    std::optional<Time> next_due() const { return removals_due_; }

    /// Forgets the revision but keeps the endpoints: for another discovery, whose revisions mean something
    /// else.
    void reset_revision() { revision_.reset(); }
    std::optional<std::uint64_t> revision() const { return revision_; }
    bool has_ready() const { return ready_ > 0; }
    std::size_t ready() const { return ready_; }
    std::size_t size() const { return known_.size(); }
    std::size_t pending_removals() const { return pending_removals_.size(); }
    /// Endpoints that hints currently keep out of use.
    std::size_t hinted() const { return hinted_.size(); }
    const Stats& stats() const { return stats_; }
    std::optional<EndpointId> id_of(const std::string& uid) const;
    /// Linear search; for rare use only.
    std::optional<std::string> uid_of(EndpointId id) const;

  private:
    struct KnownEndpoint {
        EndpointId id{};
        decision::Endpoint endpoint;
        Address address;
        std::int64_t boot_ms = 0;
    };
    struct IdReservation {
        EndpointId id{};
        Time until{};
    };
    using List = decision::EndpointList;
    void upsert(const Target& target, Time now, Time epoch, List& changes, Update& update);
    void remove(const std::string& uid, Time now, List& changes, Update& update);
    bool exceeds_removal_limit(std::size_t removals) const;
    bool is_hint_current(const KnownEndpoint& known, const EndpointOverride& endpoint_override) const;
    decision::Endpoint effective(const std::string& uid, const KnownEndpoint& known);
    void add_change(const std::string& uid, const KnownEndpoint& known, List& changes, Update& update);
    EndpointId assign_id(const std::string& uid);
    void release_reserved_ids(Time now);

    Options options_;
    std::unordered_map<std::string, KnownEndpoint> known_;
    IdSet used_ids_;  // ids in use or reserved
    // Attempts in flight may still refer to an id that was released. It is reserved for a while: only its
    // former uid can get it back at once.
    std::unordered_map<std::string, IdReservation> reserved_ids_;
    // By end; entries of ids that are in use again are skipped.
    std::deque<std::pair<Time, std::string>> reservation_ends_;
    std::size_t ready_ = 0;
    std::optional<std::uint64_t> revision_;
    // Removed when the delay ends, unless listed again before.
    std::unordered_set<std::string> pending_removals_;
    std::optional<Time> removals_due_;
    std::unordered_map<std::string, EndpointOverride> endpoint_overrides_;
    std::unordered_set<std::string> hinted_;  // currently kept out of use by a hint
    Stats stats_;
};

}  // namespace martenford
