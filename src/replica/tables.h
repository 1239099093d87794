// What sidecars share, and how copies that differ become one: the one place where a table is declared.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "replica/entry.h"

namespace martenford::replica {

struct Table {
    const char* name;
    ConflictRule rule;
    std::size_t max_entries;  ///< entries, tombstones among them; a write over it is refused
    bool may_delete;
    const char* reason;  ///< for the rule
};

constexpr std::array<Table, 5> kTables{{
    {"overrides", ConflictRule::Safer, 2'000, true,
     "of two operators that do not know of each other the one who takes an endpoint out is right: the "
     "other's "
     "wish costs capacity, an endpoint wrongly let in costs requests"},
    {"verdicts", ConflictRule::Latest, 20'000, true,
     "each sidecar writes its own verdict on an endpoint, under a key that ends in its name: the later is "
     "the "
     "better informed"},
    {"drains", ConflictRule::Latest, 10'000, true,
     "what discovery has told one sidecar and not yet another; of two witnesses in one place either will do"},
    {"settings", ConflictRule::Latest, 200, true,
     "a document that a person changes is meant as it was last written; what was written beside it is kept "
     "and shown"},
    {"fences", ConflictRule::Greatest, 1'000, false,
     "an epoch that goes back would let in whoever was shut out: the greatest alone counts, and none is "
     "deleted"},
}};
/// Entries of all tables: 100,000 were measured.
constexpr std::size_t kMaxEntries = 150'000;
/// Of a table that this build does not know; its rule comes with its entries.
constexpr std::size_t kMaxUnknownTableEntries = kMaxEntries;

const Table* find_table(std::string_view name);

/// A value in an operator's words ("exclude", "weight=40", "epoch=7") as it is kept, with its rank.
struct Value {
    std::string bytes;
    std::uint64_t rank = 0;
};
/// Nothing where the table does not take it, and why in `error`.
std::optional<Value> read_value(std::string_view table, std::string_view text, std::string& error);
/// In an operator's words; of a table that this build does not know, its length.
std::string text_of(std::string_view table, const std::string& bytes);

// ---- what the tables hold -----------------------------------------------------------------------------

struct Override {
    enum class Kind : std::uint8_t { Include, Weight, Exclude };
    Kind kind = Kind::Include;
    std::uint32_t percent = 100;  ///< Weight
};
std::optional<Override> read_override(const std::string& bytes);

/// An endpoint that discovery no longer lists as ready.
struct Drain {
    std::uint64_t revision = 0;  ///< of the list that says so
    std::int64_t boot_ms = 0;    ///< of the life that this ends
    std::string source;          ///< the discovery that was asked: revisions of another mean something else
};
std::string bytes_of(const Drain& drain);
std::optional<Drain> read_drain(const std::string& bytes);

/// Of one sidecar on one endpoint.
struct Verdict {
    enum class Kind : std::uint8_t { Failing, Unreachable };
    Kind kind = Kind::Failing;
    std::uint32_t failed = 0, calls = 0;  ///< what it has seen
};
std::string bytes_of(const Verdict& verdict);
std::optional<Verdict> read_verdict(const std::string& bytes);

}  // namespace martenford::replica
