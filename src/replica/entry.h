// The state of one key, and how two replicas of it are merged. Plain values, no I/O.
//
// Each version has a dot (writer, count), and an entry has a causal context: the dots that it has seen. This
// tells an overwrite, whose writer had seen the old version, from a concurrent write: Preguica, Baquero,
// Almeida, Fonte, Goncalves, "Dotted Version Vectors" (2010). Concurrent versions are kept as siblings until
// a writer that has seen them all writes again.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replica/hybrid_clock.h"

namespace martenford::replica {

constexpr std::size_t kMaxTableNameBytes = 32;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxValueBytes = 8 * 1024;  ///< an entry with all its siblings fits in a frame
constexpr std::size_t kMaxReasonBytes = 200;
/// Siblings of an entry. When there are more, those that the rule prefers least are dropped as if
/// overwritten.
constexpr std::size_t kMaxVersions = 6;
/// Writers of one key within the lifetime of a tombstone. When there are more, the one that wrote longest ago
/// and has no version left is forgotten.
constexpr std::size_t kMaxContextItems = 64;

/// Which of several concurrent versions wins.
enum class ConflictRule : std::uint8_t {
    Latest,    ///< last writer wins: the greatest timestamp
    Safer,     ///< the greatest rank, then the greatest timestamp
    Greatest,  ///< the greatest rank; versions of lower rank are dropped and not kept as siblings
    Present,   ///< add wins: a deletion removes only versions that its writer had seen
};
constexpr std::uint32_t kRuleCount = 4;
const char* name_of(ConflictRule rule);

/// Identifies a write. The writer is a process and not a sidecar's name, so no dot is used twice, even after
/// a disk was restored from a backup.
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
    std::string value;           ///< a protobuf message of the table's type, forwarded unchanged
    std::string written_by;      ///< name of the sidecar
    std::string reason;          ///< free text of an operator, or empty
    std::string unknown_fields;  ///< serialized fields that this build doesn't know, forwarded unchanged
    bool operator==(const Version&) const = default;

    bool expired(WallTime wall_time) const { return expires != 0 && expires <= wall_time; }
    /// Since when the version is a tombstone or expired: it only keeps what it overwrote from coming back.
    Timestamp dead_since() const {
        return deleted ? timestamp : expires ? std::max(timestamp, timestamp_of(expires)) : ~Timestamp{0};
    }
};

/// An element of the causal context, which is a version vector with timestamps.
struct ContextItem {
    Dot dot;                  ///< this and all earlier dots of its writer have been seen
    Timestamp timestamp = 0;  ///< of the write with this dot
    bool operator==(const ContextItem&) const = default;
};

/// The time up to which each replica has purged its tombstones (0: it has purged none). For entries older
/// than its horizon, the replica with the greater horizon decides: what only the other one holds was deleted
/// while the other was away.
struct Horizons {
    Timestamp local = 0, remote = 0;
};

struct Entry {
    ConflictRule rule = ConflictRule::Latest;
    std::vector<Version> versions;     ///< ordered by dot; more than one: siblings
    std::vector<ContextItem> context;  ///< ordered by writer; includes the dots of the versions
    bool operator==(const Entry&) const = default;

    bool has_seen(const Dot& dot) const;
    const Version* find(const Dot& dot) const;
    /// Returns the winning version, or null if there is none or the winner is a deletion. Expired versions do
    /// not take part.
    const Version* resolve(WallTime wall_time) const;
    /// Whether there are several versions that have not expired. Never true under ConflictRule::Greatest.
    bool conflicting(WallTime wall_time) const;
    /// Returns the greatest timestamp of the versions, 0 if there are none.
    Timestamp latest_timestamp() const;
    /// Replaces all versions by this one and adds its dot to the context.
    void write(Version version);
    /// Removes all versions if each is a tombstone or expired since `horizon` or earlier, and context items
    /// up to `horizon` that belong to no version. Returns whether no version is left.
    bool purge_before(Timestamp horizon);
};

/// Merges `remote` into `local` and returns whether `local` changed. Commutative, associative and idempotent
/// as long as both horizons are 0 and kMaxVersions is not exceeded.
bool merge(Entry& local, const Entry& remote, const Horizons& horizons = {});

}  // namespace martenford::replica
