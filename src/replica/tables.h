// The replicated tables, with the rule that resolves conflicts in each. Tables are declared only here.
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
    std::size_t max_entries;  ///< including tombstones; writes of new keys beyond it are refused
    bool may_delete;
    const char* reason;  ///< why the table has this rule
};

constexpr std::array<Table, 5> kTables{{
    {"overrides", ConflictRule::Safer, 2'000, true,
     "of two operators that write concurrently, the one who excludes an endpoint is right: a wrong "
     "exclusion costs capacity, "
     "a wrong inclusion costs requests"},
    {"verdicts", ConflictRule::Latest, 20'000, true,
     "each sidecar writes its own verdict on an endpoint, under a key that ends in its name: "
     "the later one is "
     "better informed"},
    {"drains", ConflictRule::Latest, 10'000, true,
     "what discovery has told one sidecar and not yet another; of two witnesses in one slot either will do"},
    {"settings", ConflictRule::Latest, 200, true,
     "a document that a person edits is meant as it was last written; concurrent versions are kept and "
     "shown"},
    {"fences", ConflictRule::Greatest, 1'000, false,
     "an epoch that goes back would admit a holder that was fenced off: only the greatest counts, "
     "and none is deleted"},
}};
/// Entries of all tables together. Measurements were made with 100,000.
constexpr std::size_t kMaxEntries = 150'000;
/// Entries of a table that this build does not know. Its rule is taken from its entries.
constexpr std::size_t kMaxUnknownTableEntries = kMaxEntries;

const Table* find_table(std::string_view name);

/// A value as it is stored, parsed from an operator's notation ("exclude", "weight=40", "epoch=7"), with the
/// rank that its conflict rule compares.
struct Value {
    std::string bytes;
    std::uint64_t rank = 0;
};
/// Returns nothing if the table does not accept the text; `error` then says why.
std::optional<Value> read_value(std::string_view table, std::string_view text, std::string& error);
/// Formats a value in an operator's notation. For a table that this build does not know, returns its length.
std::string text_of(std::string_view table, const std::string& bytes);

// ---- values of the tables -------------------------------------------------------------------------------

struct Override {
    enum class Kind : std::uint8_t { Include, Weight, Exclude };
    Kind kind = Kind::Include;
    std::uint32_t percent = 100;  ///< for Kind::Weight
};
std::optional<Override> read_override(const std::string& bytes);

/// An endpoint that discovery no longer lists as ready.
struct Drain {
    std::uint64_t revision = 0;  ///< of the endpoint list without it
    std::int64_t boot_ms = 0;    ///< when the endpoint instance that drains was started
    std::string source;          ///< the registry; revisions of different registries can't be compared
};
std::string bytes_of(const Drain& drain);
std::optional<Drain> read_drain(const std::string& bytes);

/// The opinion of one sidecar on one endpoint.
struct Verdict {
    enum class Kind : std::uint8_t { Failing, Unreachable };
    Kind kind = Kind::Failing;
    std::uint32_t failed = 0, calls = 0;  ///< calls that the sidecar has observed
};
std::string bytes_of(const Verdict& verdict);
std::optional<Verdict> read_verdict(const std::string& bytes);

}  // namespace martenford::replica
