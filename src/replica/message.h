// What copies say to each other, as values, and as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replica/entry.h"

namespace martenford::replica {

/// Bytes of entries in one message: with its ranges it stays within a frame.
constexpr std::size_t kMaxBatchBytes = 48 * 1024;
constexpr std::size_t kMaxRanges = 512, kMaxSummaries = 2048, kMaxRequested = 2048;

struct EntryName {
    std::string table, key;
    auto operator<=>(const EntryName&) const = default;
};

struct NamedEntry {
    EntryName name;
    Entry entry;
};

/// Those whose place's first 4 * level bits are `prefix`.
struct Range {
    std::uint32_t level = 0;
    std::uint64_t prefix = 0, sum = 0, count = 0;
    bool has_summaries = false;             ///< its entries' heads come with it
    std::vector<std::uint64_t> child_sums;  ///< the sums of its 16 parts, or none
};

struct EntrySummary {
    std::uint64_t position = 0, hash = 0;
    Timestamp timestamp = 0;
};

struct Message {
    enum class Kind : std::uint8_t {
        Push,       ///< entries; with a seq it is answered by a Got
        Repair,     ///< entries that one side lacked: most others have them
        Ack,        ///< they are held here
        Ranges,     ///< sums of ranges, and heads of those that are listed
        Request,    ///< places whose entries are asked for
        FetchPage,  ///< all entries from a place on, in pages
        Page,
    };
    Kind kind = Kind::Push;
    Timestamp sent_at = 0, horizon = 0;
    std::uint64_t seq = 0;
    std::vector<NamedEntry> entries;
    std::vector<Range> ranges;
    std::vector<EntrySummary> summaries;
    std::vector<std::uint64_t> requested;
    std::uint64_t from_position = 0, next_position = 0;
    bool is_last = false, busy = false;
};
constexpr std::uint32_t kKindCount = 7;

std::string bytes_of(const Message& message);
/// Throws framing::FrameError where it is none, or is over a bound.
Message read_message(std::string_view bytes);
/// As they are hashed, and as they are kept.
std::string bytes_of(const NamedEntry& entry);
/// Throws framing::FrameError where it is none.
NamedEntry read_named_entry(std::string_view bytes);
/// How many bytes it takes at least in a message.
std::size_t size_of(const NamedEntry& entry);
/// Alike where two copies have the same versions, whatever else they know.
std::uint64_t hash_of(const Entry& entry);
std::uint64_t position_of(const EntryName& name);

}  // namespace martenford::replica
