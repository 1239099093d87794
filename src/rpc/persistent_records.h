// Raft's persistent state as named records of durable_store. A data directory holds
//
//   "state"                 term, vote, positions and voters: some hundred bytes. Since 2026-12-02.
//   "value.<term>.<index>"  the value of the entry at that position, up to some megabytes. Since 2026-12-02.
//   "word"                  the complete state in one record, as releases before 2026-12-02 wrote it. Read
//                           if there is no "state"; the next save replaces it.
//
// A value never changes under its key, so a vote or a commit rewrites "state" alone.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "raft/raft_node.h"

namespace martenford::rpc {

/// The same type as durable_store::Records; this package does not depend on that one.
using PersistentRecords = std::map<std::string, std::string>;

/// The records that a save writes: "state" and one or two values.
[[nodiscard]] PersistentRecords to_records(const raft::PersistentState& state);

/// Returns nothing if there are no records, one of them is damaged, or they were not written by one save:
/// "state" holds checksums of its values.
[[nodiscard]] std::optional<raft::PersistentState> from_records(const PersistentRecords& records);

/// The state with both values in one record: the form under the key "word".
std::string encode(const raft::PersistentState& state);
[[nodiscard]] std::optional<raft::PersistentState> decode_persistent_state(std::string_view bytes);

}  // namespace martenford::rpc
