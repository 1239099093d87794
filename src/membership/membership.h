// What is known of a tier's endpoints: uid to id, where each is, and which news to believe at once. Pure:
// lists and times come in, changes for the module and for the back go out. docs/large-fleets.md has the
// reasons.
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

/// FNV-1a over 32 bits: the same at every sidecar, so that all lay out one ring.
std::uint32_t uid_hash(const std::string& uid);

/// A set of ids that takes little more than they do: sorted, by their highest byte, so that putting one in
/// moves a few hundred at most.
class IdSet {
  public:
    /// False: it was in.
    bool insert(std::uint32_t id);
    void erase(std::uint32_t id);

  private:
    std::array<std::vector<std::uint32_t>, 256> ids_;
};

class Membership {
  public:
    struct Options {
        /// A list that takes away more than this share of those that are ready, and `caution_least` or more,
        /// is not believed at once. 1: every list is.
        double max_removal_share = 1.0;
        std::size_t min_checked_removals = 10;  ///< smaller tiers lose half by an ordinary change of version
        /// How long it is doubted; must lie within the platform's drain grace, also after what the loop adds.
        Duration removal_delay{};
    };
    struct PlacedEndpoint {
        EndpointId id{};
        Address address;
        bool ready = false;
        const std::string* uid = nullptr;  ///< until the next list
    };
    /// What others than discovery say of an endpoint. It takes away and never adds: an endpoint is at most as
    /// ready as discovery lists it.
    struct EndpointOverride {
        bool excluded = false;  ///< an operator's word: nothing new goes there
        double weight = 1.0;    ///< an operator's, beside discovery's
        /// Other sidecars' discovery has it drain or gone, at this revision of the list, in the life that
        /// began at `boot_ms`. It counts until the own discovery has told as new a list.
        struct DrainHint {
            std::uint64_t revision = 0;
            std::int64_t boot_ms = 0;
            bool operator==(const DrainHint&) const = default;
        };
        std::optional<DrainHint> drain_hint;
        bool operator==(const EndpointOverride&) const = default;
    };
    /// An endpoint that discovery no longer lists as ready, and the life that this ends.
    struct Drained {
        std::string uid;
        std::int64_t boot_ms = 0;
    };
    /// What follows from a list.
    struct Update {
        decision::DiscoveryUpdate discovered;  ///< for the module; of kind Failed there is none
        std::vector<EndpointId> removed;       ///< for the back, before `placed`
        std::vector<PlacedEndpoint> placed;
        bool need_full_list = false;  ///< the whole list is wanted, at once
        std::vector<Drained> drained;
        std::string log_text;  ///< worth a line of log; mostly empty
    };
    struct Stats {
        std::uint64_t delayed_lists = 0;      ///< lists that were doubted
        std::uint64_t relisted = 0;           ///< endpoints that were listed again within the doubt
        std::uint64_t stale_lists = 0;        ///< changes older than what is held
        std::uint64_t hash_collisions = 0;    ///< uids whose hash another had
        std::uint64_t hinted = 0;             ///< times that others' word took an endpoint away
        std::uint64_t early_id_releases = 0;  ///< ids given free early because too many rested
    };

    explicit Membership(const Options& options) : options_(options) {}

    /// Takes in a list. `cached`: it comes from the configuration. `epoch`: when the Unix epoch was on the
    /// clock of `now`. A list of changes while none is held, and one that is older than what is held, are
    /// refused: the whole is asked for.
    Update apply_list(const TargetList& list, bool cached, Time now, Time epoch);
    /// What was doubted for long enough, as changes. To be called at next_due().
    Update apply_due_removals(Time now);
    /// What is said of an endpoint from here on, known or not.
    Update set_endpoint_override(const std::string& uid, const EndpointOverride& endpoint_override);
    std::optional<Time> next_due() const { return removals_due_; }

    /// Another discovery from here on: revisions mean something else, the endpoints stay.
    void reset_revision() { revision_.reset(); }
    std::optional<std::uint64_t> revision() const { return revision_; }
    bool has_ready() const { return ready_ > 0; }
    std::size_t ready() const { return ready_; }
    std::size_t size() const { return known_.size(); }
    std::size_t pending_removals() const { return pending_removals_.size(); }
    /// Endpoints that others' word keeps away now.
    std::size_t hinted() const { return hinted_.size(); }
    const Stats& stats() const { return stats_; }
    std::optional<EndpointId> id_of(const std::string& uid) const;
    /// Looks at all: for what is rare.
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
    IdSet used_ids_;  // ids in use or at rest
    // An id that is free again may still be on attempts: another uid gets it after a rest only, its own at
    // once.
    std::unordered_map<std::string, IdReservation> reserved_ids_;
    std::deque<std::pair<Time, std::string>>
        reservation_ends_;  // by end; what came back since is passed over
    std::size_t ready_ = 0;
    std::optional<std::uint64_t> revision_;
    std::unordered_set<std::string> pending_removals_;  // to be removed, unless they are listed again before
    std::optional<Time> removals_due_;
    std::unordered_map<std::string, EndpointOverride> endpoint_overrides_;
    std::unordered_set<std::string> hinted_;  // that a hint keeps away now
    Stats stats_;
};

}  // namespace martenford
