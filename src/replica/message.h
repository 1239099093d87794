// The messages between replicas, as values and as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replica/entry.h"

namespace martenford::replica {

/// Bytes of entries in one message, so that with its ranges it stays within a frame.
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

/// A range of hash positions: those whose first 4 * level bits are `prefix`.
struct Range {
    std::uint32_t level = 0;
    std::uint64_t prefix = 0, sum = 0, count = 0;
    bool has_summaries = false;             ///< the message has a summary of each of its entries
    std::vector<std::uint64_t> child_sums;  ///< the sums of its 16 subranges, or empty
};

struct EntrySummary {
    std::uint64_t position = 0, hash = 0;
    Timestamp timestamp = 0;  ///< of the latest version
};

struct Message {
    enum class Kind : std::uint8_t {
        Push,       ///< new entries; answered by an Ack if `seq` is not 0
        Repair,     ///< entries that the receiver lacked in a comparison; most other members have them
        Ack,        ///< the entries of the Push with this `seq` are stored
        Ranges,     ///< digests of ranges, and summaries of the entries of some of them
        Request,    ///< hash positions whose entries are requested
        FetchPage,  ///< requests the page of entries from a hash position on
        Page,       ///< answers a FetchPage
    };
    Kind kind = Kind::Push;
    Timestamp sent_at = 0, horizon = 0;  ///< the sender's clock, and up to when it has purged tombstones
    std::uint64_t seq = 0;               ///< the ticket of the write that waits for an Ack; 0: none
    std::vector<NamedEntry> entries;
    std::vector<Range> ranges;
    std::vector<EntrySummary> summaries;
    std::vector<std::uint64_t> requested;                ///< hash positions
    std::uint64_t from_position = 0, next_position = 0;  ///< where this page and the next one begin
    bool is_last = false, busy = false;  ///< of a Page; busy: retry later or at another member
};
constexpr std::uint32_t kKindCount = 7;

std::string bytes_of(const Message& message);
/// Throws framing::FrameError if the bytes are no message or exceed a limit.
Message read_message(std::string_view bytes);
/// Serializes an entry, as it is stored on disk.
std::string bytes_of(const NamedEntry& entry);
/// Throws framing::FrameError if the bytes are no entry.
NamedEntry read_named_entry(std::string_view bytes);
/// Returns how many bytes the entry is counted with in a message: its texts and a fixed overhead.
std::size_t size_of(const NamedEntry& entry);
/// Hash of the entry's versions. Does not depend on its context.
std::uint64_t hash_of(const Entry& entry);
/// Hash of table and key: where the entry is found in the digest tree.
std::uint64_t position_of(const EntryName& name);

}  // namespace martenford::replica
