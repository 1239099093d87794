// What the shared tables say of an endpoint, and what this sidecar adds to them. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"
#include "replica/replica.h"

namespace martenford::replica {

/// What operators and other sidecars say of an endpoint.
struct EndpointOverride {
    bool excluded = false;        ///< an operator has excluded it
    double weight = 1.0;          ///< an operator's, beside discovery's
    std::optional<Drain> drains;  ///< enough other sidecars were told that it drains
};

/// Reads the tables "overrides", "drains" and "verdicts", and says what this sidecar writes there. Each entry
/// of "drains" stands in one of kDrainSlots slots of its endpoint; its writer is a witness.
class EndpointOverrides {
  public:
    /// Slots for the witnesses of one drain: more say nothing new, and 300 sidecars see the same list.
    static constexpr std::size_t kDrainSlots = 3;
    /// Witnesses with different names that a drain or an ejection needs, where there are so many sidecars.
    static constexpr std::size_t kMinWitnesses = 2;
    /// By then discovery has told all sidecars that it reaches.
    static constexpr Duration kDrainTtl = 60s;
    /// As long as an endpoint is ejected the first time.
    static constexpr Duration kVerdictTtl = 60s;
    /// Witnesses write after a random delay up to this one, so that most find the slots taken.
    static constexpr Duration kMaxWriteDelay = 100ms;
    /// After a write, until concurrent writes of others to the same slot have arrived: two pushes.
    static constexpr Duration kSettleTime = 200ms;
    /// Writes of one drain by one witness, the first among them.
    static constexpr int kMaxWrites = 8;

    /// @param name this sidecar's
    /// @param source the discovery that it asks; drains of another source are ignored
    EndpointOverrides(const Replica& replica, std::string name, std::string source, std::uint64_t seed)
        : replica_(replica), name_(std::move(name)), source_(std::move(source)), random_(seed) {}

    /// Returns the endpoint that an entry of this name is about, if its table is one of endpoints.
    static std::optional<std::string> endpoint_of(const EntryName& name);
    /// Returns what holds of an endpoint now, and notes when that changes without a further entry.
    /// @param live members of the fleet, this one among them
    EndpointOverride override_of(const std::string& uid, WallTime wall_time, std::size_t live);
    /// Whether enough other sidecars have ejected the endpoint of late.
    bool ejected_by_others(const std::string& uid, WallTime wall_time, std::size_t live) const;
    /// Returns the entry by which this sidecar tells that it has ejected the endpoint.
    Write verdict(const std::string& uid, std::uint32_t failed, WallTime wall_time) const;
    /// Returns the endpoints of which an entry has expired since the last call.
    std::vector<std::string> take_expired(WallTime wall_time);

    /// This sidecar's discovery says that the endpoint drains. writes() tells what is to be written.
    void drained(const std::string& uid, const Drain& drain, Time now);
    /// When writes() is to be called next.
    std::optional<Time> next() const;
    /// Returns the entries that this sidecar, as a witness of drains, is to write now.
    std::vector<Write> writes(Time now, WallTime wall_time);

  private:
    /// What this sidecar's discovery has told of a drain, until it needs no further writes.
    struct Observation {
        Drain drain;
        Time check_at{};
        int writes = 0;
    };
    /// The slots of an observed drain.
    struct Slots {
        bool has_own = false;  ///< this sidecar's entry stands in one
        std::optional<std::size_t> free;
    };
    /// Witnesses of a drain in one life of the endpoint.
    struct Witnesses {
        std::set<std::string> names;
        std::optional<Drain> oldest;  ///< of the lowest revision
    };
    static std::string slot_key(const std::string& uid, std::size_t slot) {
        return uid + '/' + std::to_string(slot);
    }
    static std::size_t required_witnesses(std::size_t live);
    std::optional<Drain> confirmed_drain(const std::string& uid, WallTime wall_time, std::size_t live,
                                         std::optional<WallTime>& expires) const;
    Slots slots_of(const std::string& uid, const Drain& drain, WallTime wall_time);
    Duration random_write_delay();
    void set_expiry(const std::string& uid, std::optional<WallTime> expires);

    const Replica& replica_;
    const std::string name_, source_;
    std::mt19937_64 random_;
    // The next expiry of each endpoint, once: entries that are written anew with other expiries add nothing.
    std::set<std::pair<WallTime, std::string>> expiries_;
    std::map<std::string, WallTime> expiry_of_;
    std::map<std::string, Observation> observations_;  // by the endpoint's uid
};

}  // namespace martenford::replica
