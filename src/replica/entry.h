// One key's state and how two copies of it become one. Pure values.
//
// Versions carry dots (writer, count), and an entry the dots that it knows of, so that "knew of it and wrote
// over it" and "wrote beside it" differ: Preguica, Baquero, Almeida, Fonte, Goncalves, "Dotted Version
// Vectors" (2010). What was written beside stays, as a sibling, until a writer that knows both writes again.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replica/hybrid_clock.h"

namespace martenford::replica {

constexpr std::size_t kMaxTableNameBytes = 32;    ///< bytes of a table's name
constexpr std::size_t kMaxKeyBytes = 200;         ///< bytes
constexpr std::size_t kMaxValueBytes = 8 * 1024;  ///< bytes; with all siblings an entry fits a frame
constexpr std::size_t kMaxReasonBytes = 200;      ///< bytes of a reason
constexpr std::size_t kMaxVersions = 6;           ///< siblings; over it the oldest are counted as overwritten
/// Writers of one key within the life of a tombstone; over it the one that wrote longest ago is forgotten.
constexpr std::size_t kMaxContextItems = 64;

enum class ConflictRule : std::uint8_t {
    Latest,    ///< of versions beside each other the one with the greatest stamp
    Safer,     ///< the one of the greatest rank, then of the greatest stamp
    Greatest,  ///< the greatest rank alone; what is less is no sibling but gone
    Present,   ///< a removal takes away only what it saw: an addition beside it wins
};
constexpr std::uint32_t kRuleCount = 4;
const char* name_of(ConflictRule rule);

/// A write. Its writer is a process, not a name: a count never goes back, whatever disk is restored.
struct Dot {
    std::uint64_t writer = 0, count = 0;
    auto operator<=>(const Dot&) const = default;
};

struct Version {
    Dot dot;
    Timestamp timestamp = 0;
    WallTime expires = 0;  ///< 0: never
    std::uint64_t rank = 0;
    bool deleted = false;
    std::string value;           ///< a protobuf message that its table knows; passed on as it came
    std::string written_by;      ///< the sidecar's name
    std::string reason;          ///< in a person's words, or empty
    std::string unknown_fields;  ///< fields that this build doesn't know, as they came
    bool operator==(const Version&) const = default;

    bool expired(WallTime wall_time) const { return expires != 0 && expires <= wall_time; }
    /// From when on it is of no use but to keep what it overwrote from coming back.
    Timestamp dead_since() const {
        return deleted ? timestamp : expires ? std::max(timestamp, timestamp_of(expires)) : ~Timestamp{0};
    }
};

struct ContextItem {
    Dot dot;  ///< all of this writer's up to it
    Timestamp timestamp = 0;
    bool operator==(const ContextItem&) const = default;
};

/// Up to when each side has dropped tombstones (0: none). The greater has the word on what is older than it:
/// what the other holds of that, and it does not, was deleted there while the other was away.
struct Horizons {
    Timestamp local = 0, remote = 0;
};

struct Entry {
    ConflictRule rule = ConflictRule::Latest;
    std::vector<Version> versions;     ///< by dot
    std::vector<ContextItem> context;  ///< by writer; covers the versions too
    bool operator==(const Entry&) const = default;

    bool has_seen(const Dot& dot) const;
    const Version* find(const Dot& dot) const;
    /// What it is worth at this time; nothing where it is deleted or expired.
    const Version* resolve(WallTime wall_time) const;
    /// More than one that is still worth something, by this rule.
    bool conflicting(WallTime wall_time) const;
    /// Of its writes the latest.
    Timestamp latest_timestamp() const;
    /// This version over all that stand.
    void write(Version version);
    /// Of what stood before `horizon`, forgets what is overwritten. True: nothing is left.
    bool purge_before(Timestamp horizon);
};

/// Makes `mine` what both know. Commutative, associative and idempotent while the horizons are equal to 0 and
/// kMostVersions is not reached. True: `mine` changed.
bool merge(Entry& local, const Entry& remote, const Horizons& horizons = {});

}  // namespace martenford::replica
