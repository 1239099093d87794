#include "ledger/reconcile.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

namespace martenford::ledger {

namespace {

constexpr std::size_t kLinesPerTransaction = 50'000;
constexpr std::size_t kMaxLineBytes = 64 * 1024;

/// One record of RFC 4180, section 2; quoted fields may hold commas, quotes and line ends. False: there are
/// no more.
bool read_line(std::istream& from, std::vector<std::string>& fields, std::uint64_t& line) {
    fields.assign(1, {});
    bool quoted = false, read_any = false;
    std::size_t size = 0;
    for (int c; (c = from.get()) != std::istream::traits_type::eof(); read_any = true) {
        if (++size > kMaxLineBytes)
            throw std::runtime_error("line " + std::to_string(line + 1) + ": is too long");
        if (quoted) {
            if (c != '"') {
                fields.back() += static_cast<char>(c);
            } else if (from.peek() == '"') {
                fields.back() += static_cast<char>(from.get());
            } else {
                quoted = false;
            }
        } else if (c == '"' && fields.back().empty()) {
            quoted = true;
        } else if (c == ',') {
            fields.emplace_back();
        } else if (c == '\n') {
            ++line;
            return true;
        } else if (c != '\r') {
            fields.back() += static_cast<char>(c);
        }
    }
    if (quoted) throw std::runtime_error("line " + std::to_string(line + 1) + ": a quote is not closed");
    if (read_any) ++line;
    return read_any;
}

}  // namespace

Reconciliation reconcile(JournalDatabase& database, std::istream& record, std::int64_t from_ms,
                         std::int64_t to_ms,
                         const std::function<void(const char*, const std::string&)>& finding) {
    Reconciliation result;
    std::uint64_t line = 0;
    std::vector<std::string> fields;
    if (!read_line(record, fields, line)) throw std::runtime_error("line 1: the record is empty");
    const auto id_at = std::find(fields.begin(), fields.end(), "id") - fields.begin();
    const auto columns = fields.size();
    if (static_cast<std::size_t>(id_at) == columns) throw std::runtime_error("line 1: names no column 'id'");

    // In a file of its own that goes with this connection: the journal is not touched, and nothing of it is
    // locked while the record is read.
    store::Database& db = database.database();
    db.execute(
        "PRAGMA query_only=0; PRAGMA temp_store=FILE; DROP TABLE IF EXISTS temp.record;"
        "CREATE TEMP TABLE record (id TEXT PRIMARY KEY, times INTEGER NOT NULL) WITHOUT ROWID");
    store::Statement insert(
        db, "INSERT INTO temp.record VALUES (?, 1) ON CONFLICT DO UPDATE SET times = times + 1");
    for (bool has_more = true; has_more;) {
        db.execute("BEGIN");
        for (std::size_t n = 0; n < kLinesPerTransaction && (has_more = read_line(record, fields, line));
             ++n) {
            if (fields.size() == 1 && fields[0].empty()) continue;
            if (fields.size() != columns)
                throw std::runtime_error("line " + std::to_string(line) + ": has " +
                                         std::to_string(fields.size()) + " fields, not " +
                                         std::to_string(columns));
            insert.bind_all(std::string_view(fields[static_cast<std::size_t>(id_at)])).run();
            ++result.lines;
        }
        db.execute("COMMIT");
    }
    db.execute("PRAGMA query_only=1");

    // A request that was repeated under one id on another sidecar is in the journal more than once: what any
    // of them says of its effect counts.
    store::Statement compared(
        db,
        "SELECT j.id, j.effect, j.settled, t.times FROM (SELECT id, MAX(effect) AS effect, "
        "MIN(settled) AS settled FROM request WHERE taken_ms >= ? AND taken_ms < ? GROUP BY id) j "
        "LEFT JOIN temp.record t ON t.id = j.id");
    compared.bind_all(from_ms, to_ms);
    while (compared.step()) {
        const auto effect = static_cast<Effect>(compared.number(1));
        const bool settled = compared.number(2) != 0, recorded = !compared.is_null(3);
        const auto count = [&](std::uint64_t& counter, const char* what) {
            ++counter;
            if (what) finding(what, compared.text(0));
        };
        if (compared.number(3) > 1) count(result.duplicates, "took effect more than once");
        if (effect == Effect::Ran) {
            if (recorded) {
                count(result.agree_ran, nullptr);
            } else {
                count(result.ran_unrecorded, "ran by the journal, and the record has it not");
            }
        } else if (!settled) {
            count(result.under_way, nullptr);
        } else if (effect == Effect::MayHaveRun) {
            count(
                recorded ? result.possibly_ran : result.possibly_did_not_run,
                recorded ? "possibly ran by the journal: it did" : "possibly ran by the journal: it did not");
        } else if (recorded) {
            count(result.never_but_ran, "never ran by the journal, and the record has it");
        } else {
            count(result.agree_never_ran, nullptr);
        }
    }
    store::Statement unknown_rows(db,
                                  "SELECT t.id, t.times FROM temp.record t WHERE NOT EXISTS "
                                  "(SELECT 1 FROM request r WHERE r.id = t.id)");
    while (unknown_rows.step()) {
        ++result.not_in_journal;
        finding("in the record, and not in the journal", unknown_rows.text(0));
        if (unknown_rows.number(1) > 1) {
            ++result.duplicates;
            finding("took effect more than once", unknown_rows.text(0));
        }
    }
    return result;
}

}  // namespace martenford::ledger
