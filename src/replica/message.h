// What copies say to each other, as values, and as bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replica/entry.h"

namespace martenford::replica {

/// Bytes of entries in one message: with its ranges it stays within a frame.
constexpr std::size_t kMostBatch = 48 * 1024;
constexpr std::size_t kMostRanges = 512, kMostHeads = 2048, kMostWant = 2048;

struct Name {
    std::string table, key;
    auto operator<=>(const Name&) const = default;
};

struct Named {
    Name name;
    Entry entry;
};

/// Those whose place's first 4 * level bits are `prefix`.
struct Range {
    std::uint32_t level = 0;
    std::uint64_t prefix = 0, sum = 0, count = 0;
    bool listed = false;               ///< its entries' heads come with it
    std::vector<std::uint64_t> parts;  ///< the sums of its 16 parts, or none
};

struct Head {
    std::uint64_t place = 0, hash = 0;
    Stamp stamp = 0;
};

struct Message {
    enum class Kind : std::uint8_t {
        Push,    ///< entries; with a seq it is answered by a Got
        Give,    ///< entries that one side lacked: most others have them
        Got,     ///< they are held here
        Ranges,  ///< sums of ranges, and heads of those that are listed
        Want,    ///< places whose entries are asked for
        Fetch,   ///< all entries from a place on, in pages
        Page,
    };
    Kind kind = Kind::Push;
    Stamp sent = 0, horizon = 0;
    std::uint64_t seq = 0;
    std::vector<Named> entries;
    std::vector<Range> ranges;
    std::vector<Head> heads;
    std::vector<std::uint64_t> want;
    std::uint64_t from = 0, next = 0;
    bool end = false, busy = false;
};
constexpr std::uint32_t kKinds = 7;

std::string bytes_of(const Message& message);
/// Throws framing::FrameError where it is none, or is over a bound.
Message read_message(std::string_view bytes);
/// As they are hashed, and as they are kept.
std::string bytes_of(const Named& entry);
/// Throws framing::FrameError where it is none.
Named read_named(std::string_view bytes);
/// How many bytes it takes at least in a message.
std::size_t size_of(const Named& entry);
/// Alike where two copies have the same versions, whatever else they know.
std::uint64_t hash_of(const Entry& entry);
std::uint64_t place_of(const Name& name);

}  // namespace martenford::replica
