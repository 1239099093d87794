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

/// An endpoint by the word of operators and of other sidecars.
struct Guide {
    bool away = false;
    double weight = 1.0;
    std::optional<Drain> drains;
};

class Guidance {
  public:
    /// Places for witnesses of one drain: more say nothing new, and 300 sidecars see the same list.
    static constexpr std::size_t kPlaces = 3;
    /// So many of different names convince, where there are so many.
    static constexpr std::size_t kWitnesses = 2;
    /// A hint's life: by then discovery has told all that it reaches.
    static constexpr Duration kHintLife = 60s;
    /// A verdict's life: as long as an endpoint is ejected the first time.
    static constexpr Duration kVerdictLife = 60s;
    /// Witnesses write one after the other, so that the first are enough.
    static constexpr Duration kSpread = 100ms;
    /// After a write, until what others wrote at the same place meanwhile has come: two pushes.
    static constexpr Duration kSettleTime = 200ms;
    /// Writes of one drain by one witness, the first among them.
    static constexpr int kMaxWrites = 8;

    Guidance(const Replica& copy, std::string name, std::string source, std::uint64_t seed)
        : copy_(copy), name_(std::move(name)), source_(std::move(source)), random_(seed) {}

    /// Of the endpoint whose entry is under this name; nothing where the table is none of endpoints.
    static std::optional<std::string> endpoint_of(const Name& name);
    /// `live`: members of the fleet. Remembers when it will change by itself.
    Guide of(const std::string& uid, Wall wall, std::size_t live);
    /// Whether enough others have ejected this endpoint of late.
    bool convicted(const std::string& uid, Wall wall, std::size_t live) const;
    /// This sidecar has ejected it.
    Write verdict(const std::string& uid, std::uint32_t failed, Wall wall) const;
    /// Endpoints whose guide may have changed with time.
    std::vector<std::string> due(Wall wall);

    /// This sidecar's discovery says so. What is to be written about it is given by writes().
    void drained(const std::string& uid, const Drain& drain, Time now);
    std::optional<Time> next() const;
    std::vector<Write> writes(Time now, Wall wall);

  private:
    static std::string place_of(const std::string& uid, std::size_t place) {
        return uid + '/' + std::to_string(place);
    }
    const Replica& copy_;
    const std::string name_, source_;
    std::mt19937_64 random_;
    /// When each endpoint's guide changes by itself, once for each: whoever writes an entry anew with other
    /// ends adds nothing.
    std::set<std::pair<Wall, std::string>> ends_;
    std::map<std::string, Wall> end_of_;
    void ends_at(const std::string& uid, std::optional<Wall> end);
    /// What this sidecar's discovery has told of a drain, until enough witnesses stand.
    struct Observation {
        Drain drain;
        Time look_at{};  ///< when it is next looked whether there is something to write
        int writes = 0;
    };
    /// The table's entries of an observed drain.
    struct Standing {
        bool own = false;  ///< this sidecar's entry stands
        std::optional<std::size_t> free_place;
    };
    Standing standing(const std::string& uid, const Drain& drain, Wall wall);
    Duration spread();
    std::map<std::string, Observation> observations_;  // by the endpoint's uid
};

}  // namespace martenford::replica
