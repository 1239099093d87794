// Compares the journal with the ledger tier's own record of the requests that took effect. Calls block, like
// those of JournalDatabase.
#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <string>

#include "ledger/journal_database.h"

namespace martenford::ledger {

struct Reconciliation {
    std::uint64_t agree_ran = 0;             ///< ran in both
    std::uint64_t agree_never_ran = 0;       ///< never ran according to the journal, and not in the record
    std::uint64_t possibly_ran = 0;          ///< possibly ran according to the journal; in the record
    std::uint64_t possibly_did_not_run = 0;  ///< possibly ran according to the journal; not in the record
    std::uint64_t ran_unrecorded = 0;  ///< contradiction: ran according to the journal, not in the record
    std::uint64_t never_but_ran = 0;   ///< contradiction: never ran according to the journal, in the record
    std::uint64_t not_in_journal = 0;  ///< in the record, not in the journal
    std::uint64_t duplicates = 0;      ///< in the record more than once
    std::uint64_t under_way = 0;       ///< still open, not compared
    std::uint64_t lines = 0;           ///< lines of the record read
    std::uint64_t contradictions() const { return ran_unrecorded + never_but_ran + duplicates; }
};

/// Reads the record as CSV (RFC 4180): a header line whose column `id` names the request, then one line per
/// effect. Compares the journal's requests taken in [from_ms, to_ms) with it and calls `finding(what, id)`
/// for each disagreement. Throws std::runtime_error with the line number if the record cannot be read.
Reconciliation reconcile(JournalDatabase& database, std::istream& record, std::int64_t from_ms,
                         std::int64_t to_ms,
                         const std::function<void(const char* what, const std::string& id)>& finding);

}  // namespace martenford::ledger
