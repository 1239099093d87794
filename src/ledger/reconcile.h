// The journal held against the ledger tier's own record of what took effect. Blocking, as the book is.
#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <string>

#include "ledger/journal_database.h"

namespace martenford::ledger {

struct Reconciliation {
    std::uint64_t agree_ran = 0;             ///< both say so
    std::uint64_t agree_never_ran = 0;       ///< never ran by the journal, and not in the record
    std::uint64_t possibly_ran = 0;          ///< possibly ran by the journal: the record has it
    std::uint64_t possibly_did_not_run = 0;  ///< and: the record has it not
    std::uint64_t ran_unrecorded = 0;        ///< contradiction: ran by the journal, not in the record
    std::uint64_t never_but_ran = 0;         ///< contradiction: never ran by the journal, in the record
    std::uint64_t not_in_journal = 0;        ///< in the record, not in the journal
    std::uint64_t duplicates = 0;            ///< in the record more than once
    std::uint64_t under_way = 0;             ///< still open: not judged
    std::uint64_t lines = 0;                 ///< of the record
    std::uint64_t contradictions() const { return ran_unrecorded + never_but_ran + duplicates; }
};

/// Reads the record: CSV (RFC 4180) with a line of names first, of which `id` is the request's; a line an
/// effect. Requests of the journal taken in [from, to) are judged. `finding(what, id)` is called for each
/// that doesn't agree. Throws std::runtime_error, with the line's number, where the record can't be read.
Reconciliation reconcile(JournalDatabase& database, std::istream& record, std::int64_t from_ms,
                         std::int64_t to_ms,
                         const std::function<void(const char* what, const std::string& id)>& finding);

}  // namespace martenford::ledger
