// What the shared tables say about an endpoint, and what this sidecar writes to them. Does no I/O.
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

/// What operators and other sidecars say about an endpoint.
struct EndpointOverride {
    bool excluded = false;        ///< an operator has excluded it
    double weight = 1.0;          ///< set by an operator, in addition to discovery's weight
    std::optional<Drain> drains;  ///< set if enough sidecars were told that it drains
};

/// Reads the tables "overrides", "drains" and "verdicts", and returns what this sidecar writes to them. Each
/// entry of "drains" occupies one of kDrainSlots slots of its endpoint; its writer is a witness of the drain.
class EndpointOverrides {
  public:
    /// Slots for the witnesses of one drain. More would add nothing, as up to 300 sidecars see the same list.
    static constexpr std::size_t kDrainSlots = 3;
    /// Witnesses with different names that a drain or an ejection needs, if there are as many other sidecars.
    static constexpr std::size_t kMinWitnesses = 2;
    /// After this time discovery has told all sidecars that it reaches.
    static constexpr Duration kDrainTtl = 60s;
    /// Equals the duration of an endpoint's first ejection.
    static constexpr Duration kVerdictTtl = 60s;
    /// Witnesses write after a random delay of up to this, so that most of them find the slots taken.
    static constexpr Duration kMaxWriteDelay = 100ms;
    /// Time after a write until concurrent writes of others to the same slot have arrived: two push rounds.
    static constexpr Duration kSettleTime = 200ms;
    /// Writes of one drain by one witness, including the first.
    static constexpr int kMaxWrites = 8;

    /// @param name of this sidecar
    /// @param source the registry that its discovery asks; drains of another source are ignored
    EndpointOverrides(const Replica& replica, std::string name, std::string source, std::uint64_t seed)
        : replica_(replica), name_(std::move(name)), source_(std::move(source)), random_(seed) {}

    /// Returns the endpoint of an entry of the tables "overrides" and "drains"; nothing for other tables.
    static std::optional<std::string> endpoint_of(const EntryName& name);
    /// Returns the current override of an endpoint, and remembers when it expires for take_expired().
    /// @param live members of the fleet, this one among them
    EndpointOverride override_of(const std::string& uid, WallTime wall_time, std::size_t live);
    /// Whether enough other sidecars have ejected the endpoint recently.
    bool ejected_by_others(const std::string& uid, WallTime wall_time, std::size_t live) const;
    /// Returns the entry that publishes that this sidecar has ejected the endpoint.
    Write verdict(const std::string& uid, std::uint32_t failed, WallTime wall_time) const;
    /// Returns the endpoints that had an entry expire since the last call.
    std::vector<std::string> take_expired(WallTime wall_time);

    /// Records that this sidecar's discovery reports the endpoint as draining. writes() then returns entries.
    void drained(const std::string& uid, const Drain& drain, Time now);
    /// Returns when writes() is due; nothing if no drain is being observed.
    std::optional<Time> next() const;
    /// Returns the entries that this sidecar has to write now as a witness of drains.
    std::vector<Write> writes(Time now, WallTime wall_time);

  private:
    /// A drain that this sidecar's discovery has reported, until it needs no further writes.
    struct Observation {
        Drain drain;
        Time check_at{};
        int writes = 0;
    };
    /// The slots of an observed drain.
    struct Slots {
        bool has_own = false;  ///< one of them holds this sidecar's entry
        std::optional<std::size_t> free;
    };
    /// Witnesses of a drain of one instance of the endpoint, identified by its boot time.
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
    // At most one expiry per endpoint, so that entries rewritten with new expiries do not accumulate.
    std::set<std::pair<WallTime, std::string>> expiries_;
    std::map<std::string, WallTime> expiry_of_;
    std::map<std::string, Observation> observations_;  // by the endpoint's uid
};

}  // namespace martenford::replica
