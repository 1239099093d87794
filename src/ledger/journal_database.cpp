#include "ledger/journal_database.h"

#include <algorithm>
#include <map>
#include <utility>

namespace martenford::ledger {

using store::Database;
using store::Statement;

namespace {

/// Requests under way that are kept in memory; one that is not is read from the file.
constexpr std::size_t kMaxCached = 65'536;

// `effect` is what Life says; `settled` is 1 once nothing more can come: it is over, or its boot has ended.
const std::vector<store::Migration> kSchema{
    {R"(CREATE TABLE boot (
          number INTEGER PRIMARY KEY AUTOINCREMENT,
          id INTEGER NOT NULL UNIQUE,
          name TEXT NOT NULL,
          started_ms INTEGER NOT NULL,
          concluded_ms INTEGER NOT NULL DEFAULT 0);
        CREATE TABLE request (
          boot INTEGER NOT NULL, serial INTEGER NOT NULL,
          id TEXT NOT NULL, klass TEXT NOT NULL, key TEXT, digest BLOB,
          taken_ms INTEGER NOT NULL, taken_mono_ns INTEGER NOT NULL,
          answer INTEGER NOT NULL, answered_ms INTEGER NOT NULL,
          effect INTEGER NOT NULL, settled INTEGER NOT NULL,
          PRIMARY KEY (boot, serial)) WITHOUT ROWID;
        CREATE TABLE attempt (
          boot INTEGER NOT NULL, serial INTEGER NOT NULL, number INTEGER NOT NULL,
          uid TEXT NOT NULL, address TEXT NOT NULL,
          intent_ms INTEGER NOT NULL, written_ms INTEGER NOT NULL, ended_ms INTEGER NOT NULL,
          ending INTEGER NOT NULL,
          PRIMARY KEY (boot, serial, number)) WITHOUT ROWID;
        CREATE TABLE gap (
          boot INTEGER NOT NULL, sequence INTEGER NOT NULL,
          from_ms INTEGER NOT NULL, to_ms INTEGER NOT NULL, requests INTEGER NOT NULL, reason TEXT NOT NULL,
          PRIMARY KEY (boot, sequence)) WITHOUT ROWID;
        CREATE INDEX request_id ON request (id);
        CREATE INDEX request_key ON request (key) WHERE key IS NOT NULL;
        CREATE INDEX request_time ON request (taken_ms);)"},
    // Few are open, or may have run: the list stays short whatever the file holds. One index for both
    // questions: a request enters it with its intent and leaves it when it is known to be harmless.
    {"CREATE INDEX request_doubt ON request (boot, serial) WHERE settled = 0 OR effect = 1;"},
};

constexpr const char* kEntryColumns =
    "SELECT r.boot, r.serial, b.name, r.id, r.klass, r.key, r.digest, r.taken_ms, r.taken_mono_ns, "
    "r.answered_ms, "
    "r.answer, r.effect, r.settled FROM request r JOIN boot b ON b.number = r.boot ";

std::string select(const char* rest) {
    return std::string(kEntryColumns) + rest;
}

}  // namespace

struct JournalDatabase::Statements {
    explicit Statements(Database& db)
        : insert_request(
              db,
              "INSERT INTO request (boot, serial, id, klass, key, digest, taken_ms, taken_mono_ns, "
              "answer, answered_ms, effect, settled) VALUES (?,?,?,?,?,?,?,?,?,?,?,?)"),
          update_request(
              db,
              "UPDATE request SET answer=?, answered_ms=?, effect=?, settled=? WHERE boot=? AND serial=?"),
          identify_request(db,
                           "UPDATE request SET id=?, klass=?, key=?, digest=?, taken_ms=?, taken_mono_ns=? "
                           "WHERE boot=? AND serial=?"),
          save_attempt(db, "REPLACE INTO attempt VALUES (?,?,?,?,?,?,?,?,?)"),
          save_gap(db, "INSERT OR IGNORE INTO gap VALUES (?,?,?,?,?,?)"),
          load_request(
              db,
              "SELECT id, klass, key, digest, taken_ms, taken_mono_ns, answered_ms, answer FROM request "
              "WHERE boot = ? AND serial = ?"),
          load_attempts(db,
                        "SELECT number, uid, address, intent_ms, written_ms, ended_ms, ending FROM attempt "
                        "WHERE boot = ? AND serial = ?") {}
    Statement insert_request, update_request, identify_request, save_attempt, save_gap, load_request,
        load_attempts;
};

JournalDatabase::JournalDatabase(const std::string& directory, bool for_writing,
                                 const store::Options& options)
    : database_(directory + "/" + kDatabaseFile, [&] {
          store::Options result = options;
          result.read_only = !for_writing;
          return result;
      }()) {
    if (for_writing) {
        database_.migrate(kSchema);
    } else if (database_.version() > static_cast<int>(kSchema.size())) {
        throw store::StoreError(store::ErrorKind::Newer,
                                directory + ": written by a later version of this program");
    }
}
JournalDatabase::~JournalDatabase() = default;

JournalDatabase::Statements& JournalDatabase::prepared() {
    if (!statements_) statements_ = std::make_unique<Statements>(database_);
    return *statements_;
}

std::int64_t JournalDatabase::register_boot(const Hello& hello) {
    std::int64_t number = 0;
    database_.transaction([&] {
        Statement insert(database_, "INSERT OR IGNORE INTO boot (id, name, started_ms) VALUES (?,?,?)");
        insert.bind_all(hello.boot, std::string_view(hello.name), hello.started_ms).run();
        Statement find(database_, "SELECT number FROM boot WHERE id = ?");
        find.bind_all(hello.boot).step();
        number = find.number(0);
    });
    return number;
}

void JournalDatabase::write(std::int64_t boot, const std::vector<Record>& records) {
    if (boot != std::exchange(cached_boot_, boot)) {
        cached_.clear();
        Statement last(database_, "SELECT MAX(serial) FROM request WHERE boot = ?");
        last.bind_all(boot).step();
        last_serial_ = static_cast<std::uint64_t>(last.number(0));
    }
    // By serial: each request is written once a batch, however many records it has there.
    struct Change {
        RequestHistory before, after;
        bool exists = false;
    };
    std::map<std::uint64_t, Change> changes;
    std::uint64_t last_serial = last_serial_;
    database_.transaction([&] {
        for (const Record& record : records) {
            if (const auto* gap = std::get_if<Gap>(&record.payload)) {
                prepared()
                    .save_gap
                    .bind_all(boot, record.sequence, gap->from_ms, record.wall_ms, gap->requests,
                              std::string_view(gap->reason))
                    .run();
                continue;
            }
            const auto [it, first] = changes.try_emplace(record.serial);
            Change& change = it->second;
            if (first && record.serial <= last_serial_) {
                const auto cached = cached_.find(record.serial);
                if (auto known =
                        cached != cached_.end() ? std::optional(cached->second) : load(boot, record.serial)) {
                    change.before = change.after = std::move(*known);
                    change.exists = true;
                }
            }
            change.after.merge(record);
            last_serial = std::max(last_serial, record.serial);
        }
        for (const auto& [serial, change] : changes) {
            save(boot, serial, change.after, change.exists ? &change.before : nullptr);
        }
    });
    // Only now: what was not committed must not be taken for known.
    last_serial_ = last_serial;
    for (auto& [serial, change] : changes) {
        if (change.after.is_complete()) {
            cached_.erase(serial);
        } else if (cached_.size() < kMaxCached || cached_.contains(serial)) {
            cached_.insert_or_assign(serial, std::move(change.after));
        }
    }
}

void JournalDatabase::save(std::int64_t boot, std::uint64_t serial, const RequestHistory& history,
                           const RequestHistory* before) {
    if (before && *before == history) return;  // known already
    auto& statements = prepared();
    const auto text_or_null = [](Statement& statement, int at, const std::string& text) {
        text.empty() ? statement.bind(at, Statement::Null{}) : statement.bind(at, std::string_view(text));
    };
    const auto blob_or_null = [](Statement& statement, int at, const std::string& bytes) {
        bytes.empty() ? statement.bind(at, Statement::Null{}) : statement.bind(at, Statement::Blob{bytes});
    };
    const auto identify = [&](Statement& statement, int at) {
        statement.bind(at, std::string_view(history.id()));
        statement.bind(at + 1, std::string_view(history.klass()));
        text_or_null(statement, at + 2, history.key());
        blob_or_null(statement, at + 3, history.digest());
        statement.bind(at + 4, history.taken_ms());
        statement.bind(at + 5, history.taken_mono_ns());
    };
    const auto answer = static_cast<int>(history.answer()), effect = static_cast<int>(history.effect());
    const int settled = history.is_complete() ? 1 : 0;
    if (!before) {
        statements.insert_request.bind_all(boot, serial);
        identify(statements.insert_request, 3);
        statements.insert_request.bind(9, answer);
        statements.insert_request.bind(10, history.answered_ms());
        statements.insert_request.bind(11, effect);
        statements.insert_request.bind(12, settled);
        statements.insert_request.run();
    } else {
        statements.update_request.bind_all(answer, history.answered_ms(), effect, settled, boot, serial)
            .run();
        if (before->id() != history.id() || before->key() != history.key() ||
            before->taken_ms() != history.taken_ms()) {
            statements.identify_request.reset();
            identify(statements.identify_request, 1);
            statements.identify_request.bind(7, boot);
            statements.identify_request.bind(8, serial);
            statements.identify_request.run();
        }
    }
    for (const auto& [number, attempt] : history.attempts()) {
        if (before) {
            const auto previous = before->attempts().find(number);
            if (previous != before->attempts().end() && previous->second == attempt) continue;
        }
        statements.save_attempt
            .bind_all(boot, serial, number, std::string_view(attempt.uid), std::string_view(attempt.address),
                      attempt.intent_ms, attempt.written_ms, attempt.ended_ms,
                      static_cast<int>(attempt.ending))
            .run();
    }
}

std::optional<RequestHistory> JournalDatabase::load(std::int64_t boot, std::uint64_t serial) {
    Statement& row = prepared().load_request;
    if (!row.bind_all(boot, serial).step()) return std::nullopt;
    RequestHistory::StoredFields fields{
        row.text(0),   row.text(1),   row.text(2),   row.text(3),
        row.number(4), row.number(5), row.number(6), static_cast<FinalAnswer>(row.number(7))};
    row.reset();
    std::map<std::uint32_t, AttemptHistory> attempts;
    Statement& rows = prepared().load_attempts;
    rows.bind_all(boot, serial);
    while (rows.step()) {
        attempts.emplace(static_cast<std::uint32_t>(rows.number(0)),
                         AttemptHistory{rows.text(1), rows.text(2), rows.number(3), rows.number(4),
                                        rows.number(5), static_cast<Ending>(rows.number(6))});
    }
    rows.reset();
    return RequestHistory::restore(std::move(fields), std::move(attempts));
}

bool JournalDatabase::conclude_earlier_boots(std::int64_t boot, std::int64_t now_ms,
                                             std::size_t max_requests) {
    std::vector<std::pair<std::int64_t, std::uint64_t>> open_requests;
    Statement find(database_, "SELECT boot, serial FROM request WHERE settled = 0 AND boot < ? LIMIT ?");
    find.bind_all(boot, static_cast<std::uint64_t>(max_requests));
    while (find.step())
        open_requests.emplace_back(find.number(0), static_cast<std::uint64_t>(find.number(1)));
    find.reset();
    database_.transaction([&] {
        Statement settle(database_,
                         "UPDATE request SET settled = 1, effect = ? WHERE boot = ? AND serial = ?");
        for (const auto& [of, serial] : open_requests) {
            const auto history = load(of, serial);
            settle.bind_all(static_cast<int>(history ? history->effect() : Effect::MayHaveRun), of, serial)
                .run();
        }
        if (open_requests.size() < max_requests) {
            Statement conclude(database_,
                               "UPDATE boot SET concluded_ms = ? WHERE number < ? AND concluded_ms = 0");
            conclude.bind_all(now_ms, boot).run();
        }
    });
    return open_requests.size() < max_requests;
}

// ---- questions ------------------------------------------------------------------------------------

void JournalDatabase::visit_rows(Statement& rows, const Visitor& visit) {
    while (rows.step()) {
        Entry entry;
        entry.boot = rows.number(0);
        entry.serial = static_cast<std::uint64_t>(rows.number(1));
        entry.sidecar = rows.text(2);
        RequestHistory::StoredFields fields{
            rows.text(3),   rows.text(4),   rows.text(5),   rows.text(6),
            rows.number(7), rows.number(8), rows.number(9), static_cast<FinalAnswer>(rows.number(10))};
        if (rows.number(12) != 0) entry.concluded = static_cast<Effect>(rows.number(11));
        std::map<std::uint32_t, AttemptHistory> attempts;
        if (auto history = load(entry.boot, entry.serial)) attempts = history->attempts();
        entry.history = RequestHistory::restore(std::move(fields), std::move(attempts));
        if (!visit(entry)) break;
    }
    rows.reset();
}

void JournalDatabase::by_id(const std::string& id, const Visitor& visit) {
    Statement rows(database_, select("WHERE r.id = ? ORDER BY r.taken_ms"));
    visit_rows(rows.bind_all(std::string_view(id)), visit);
}
void JournalDatabase::by_key(const std::string& key, const Visitor& visit) {
    Statement rows(database_, select("WHERE r.key = ? ORDER BY r.taken_ms"));
    visit_rows(rows.bind_all(std::string_view(key)), visit);
}
void JournalDatabase::by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit) {
    Statement rows(database_, select("WHERE r.taken_ms >= ? AND r.taken_ms < ? ORDER BY r.taken_ms"));
    visit_rows(rows.bind_all(from_ms, to_ms), visit);
}
void JournalDatabase::unresolved(bool under_way, const Visitor& visit) {
    Statement rows(database_, select(under_way ? "WHERE r.effect = 1 ORDER BY r.taken_ms"
                                               : "WHERE r.effect = 1 AND r.settled = 1 ORDER BY r.taken_ms"));
    visit_rows(rows, visit);
}

std::vector<JournalDatabase::GapInfo> JournalDatabase::gaps(std::int64_t from_ms, std::int64_t to_ms) {
    Statement rows(database_,
                   "SELECT boot, from_ms, to_ms, requests, reason FROM gap WHERE to_ms >= ? AND from_ms <= ? "
                   "ORDER BY from_ms");
    rows.bind_all(from_ms, to_ms);
    std::vector<GapInfo> result;
    while (rows.step()) {
        result.push_back({rows.number(0), rows.number(1), rows.number(2),
                          static_cast<std::uint64_t>(rows.number(3)), rows.text(4)});
    }
    return result;
}

std::vector<BootInfo> JournalDatabase::boots() {
    Statement rows(database_, "SELECT number, id, name, started_ms, concluded_ms FROM boot ORDER BY number");
    std::vector<BootInfo> result;
    while (rows.step()) {
        result.push_back({rows.number(0), static_cast<std::uint64_t>(rows.number(1)), rows.text(2),
                          rows.number(3), rows.number(4)});
    }
    return result;
}

JournalDatabase::Stats JournalDatabase::stats() {
    const auto count = [&](const char* sql) { return static_cast<std::uint64_t>(database_.number(sql)); };
    Stats result;
    result.requests = count("SELECT COUNT(*) FROM request");
    result.attempts = count("SELECT COUNT(*) FROM attempt");
    result.possibly_ran = count("SELECT COUNT(*) FROM request WHERE effect = 1 AND settled = 1");
    result.under_way = count("SELECT COUNT(*) FROM request WHERE settled = 0");
    result.gaps = count("SELECT COUNT(*) FROM gap");
    result.bytes = database_.bytes();
    result.first_ms = database_.number("SELECT MIN(taken_ms) FROM request");
    result.last_ms = database_.number("SELECT MAX(taken_ms) FROM request");
    return result;
}

std::vector<std::string> JournalDatabase::verify() {
    std::vector<std::string> found;
    if (auto wrong = database_.check(); !wrong.empty()) found.push_back("the file: " + wrong);
    const auto rows_that = [&](const char* sql, const char* what) {
        Statement rows(database_, sql);
        while (rows.step()) found.push_back(rows.text(0) + ": " + what);
    };
    rows_that("SELECT id FROM request WHERE answer = 1 AND effect > 0 AND settled = 1 LIMIT 1000",
              "its client was told that it never ran, and it may have");
    rows_that(
        "SELECT id FROM request r WHERE NOT EXISTS (SELECT 1 FROM attempt a WHERE a.boot = r.boot AND "
        "a.serial = r.serial) LIMIT 1000",
        "has no attempt");
    rows_that(
        "SELECT r.id FROM request r JOIN attempt a ON a.boot = r.boot AND a.serial = r.serial WHERE "
        "a.ending IN (0,1,2,3,4,5) AND r.effect = 0 AND r.settled = 1 LIMIT 1000",
        "is said never to have run beside an attempt that may have");
    return found;
}

std::vector<Entry> JournalDatabase::settled_before(std::int64_t before_ms, std::size_t max_requests) {
    // What may have run waits for somebody to look into it: it is not old before it is reconciled.
    Statement rows(
        database_,
        select("WHERE r.taken_ms < ? AND r.settled = 1 AND r.effect <> 1 ORDER BY r.taken_ms LIMIT ?"));
    std::vector<Entry> result;
    visit_rows(rows.bind_all(before_ms, static_cast<std::uint64_t>(max_requests)), [&](const Entry& entry) {
        result.push_back(entry);
        return true;
    });
    return result;
}

void JournalDatabase::remove(const std::vector<Entry>& entries) {
    database_.transaction([&] {
        Statement request(database_, "DELETE FROM request WHERE boot = ? AND serial = ? AND settled = 1");
        Statement attempts(database_, "DELETE FROM attempt WHERE boot = ? AND serial = ?");
        for (const Entry& entry : entries) {
            request.bind_all(entry.boot, entry.serial).run();
            attempts.bind_all(entry.boot, entry.serial).run();
        }
    });
}

}  // namespace martenford::ledger
