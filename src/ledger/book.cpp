#include "ledger/book.h"

#include <algorithm>
#include <map>
#include <utility>

namespace martenford::ledger {

using store::Database;
using store::Statement;

namespace {

/// Requests under way that are kept in memory; one that is not is read from the file.
constexpr std::size_t kMostLive = 65'536;

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

struct Book::Statements {
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

Book::Book(const std::string& directory, bool for_writing, const store::Options& options)
    : database_(directory + "/" + kBookName, [&] {
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
Book::~Book() = default;

Book::Statements& Book::prepared() {
    if (!statements_) statements_ = std::make_unique<Statements>(database_);
    return *statements_;
}

std::int64_t Book::open_boot(const Hello& hello) {
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

void Book::write(std::int64_t boot, const std::vector<Record>& records) {
    if (boot != std::exchange(live_boot_, boot)) {
        live_.clear();
        Statement last(database_, "SELECT MAX(serial) FROM request WHERE boot = ?");
        last.bind_all(boot).step();
        last_serial_ = static_cast<std::uint64_t>(last.number(0));
    }
    // By serial: each request is written once a batch, however many records it has there.
    struct Change {
        Life before, after;
        bool there = false;
    };
    std::map<std::uint64_t, Change> changes;
    std::uint64_t last_serial = last_serial_;
    database_.transaction([&] {
        for (const Record& record : records) {
            if (const auto* gap = std::get_if<Gap>(&record.what)) {
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
                const auto live = live_.find(record.serial);
                if (auto held =
                        live != live_.end() ? std::optional(live->second) : load(boot, record.serial)) {
                    change.before = change.after = std::move(*held);
                    change.there = true;
                }
            }
            change.after.join(record);
            last_serial = std::max(last_serial, record.serial);
        }
        for (const auto& [serial, change] : changes) {
            save(boot, serial, change.after, change.there ? &change.before : nullptr);
        }
    });
    // Only now: what was not committed must not be taken for known.
    last_serial_ = last_serial;
    for (auto& [serial, change] : changes) {
        if (change.after.over()) {
            live_.erase(serial);
        } else if (live_.size() < kMostLive || live_.contains(serial)) {
            live_.insert_or_assign(serial, std::move(change.after));
        }
    }
}

void Book::save(std::int64_t boot, std::uint64_t serial, const Life& life, const Life* before) {
    if (before && *before == life) return;  // known already
    auto& s = prepared();
    const auto text_or_null = [](Statement& to, int at, const std::string& text) {
        text.empty() ? to.bind(at, Statement::Null{}) : to.bind(at, std::string_view(text));
    };
    const auto blob_or_null = [](Statement& to, int at, const std::string& bytes) {
        bytes.empty() ? to.bind(at, Statement::Null{}) : to.bind(at, Statement::Blob{bytes});
    };
    const auto identify = [&](Statement& to, int at) {
        to.bind(at, std::string_view(life.id()));
        to.bind(at + 1, std::string_view(life.klass()));
        text_or_null(to, at + 2, life.key());
        blob_or_null(to, at + 3, life.digest());
        to.bind(at + 4, life.taken_ms());
        to.bind(at + 5, life.taken_mono_ns());
    };
    const auto answer = static_cast<int>(life.answer()), effect = static_cast<int>(life.effect());
    const int settled = life.over() ? 1 : 0;
    if (!before) {
        s.insert_request.bind_all(boot, serial);
        identify(s.insert_request, 3);
        s.insert_request.bind(9, answer);
        s.insert_request.bind(10, life.answered_ms());
        s.insert_request.bind(11, effect);
        s.insert_request.bind(12, settled);
        s.insert_request.run();
    } else {
        s.update_request.bind_all(answer, life.answered_ms(), effect, settled, boot, serial).run();
        if (before->id() != life.id() || before->key() != life.key() ||
            before->taken_ms() != life.taken_ms()) {
            s.identify_request.reset();
            identify(s.identify_request, 1);
            s.identify_request.bind(7, boot);
            s.identify_request.bind(8, serial);
            s.identify_request.run();
        }
    }
    for (const auto& [number, a] : life.attempts()) {
        if (before) {
            const auto was = before->attempts().find(number);
            if (was != before->attempts().end() && was->second == a) continue;
        }
        s.save_attempt
            .bind_all(boot, serial, number, std::string_view(a.uid), std::string_view(a.address), a.intent_ms,
                      a.written_ms, a.ended_ms, static_cast<int>(a.ending))
            .run();
    }
}

std::optional<Life> Book::load(std::int64_t boot, std::uint64_t serial) {
    Statement& one = prepared().load_request;
    if (!one.bind_all(boot, serial).step()) return std::nullopt;
    Life::Head head{one.text(0),   one.text(1),   one.text(2),   one.text(3),
                    one.number(4), one.number(5), one.number(6), static_cast<Final>(one.number(7))};
    one.reset();
    std::map<std::uint32_t, AttemptLife> attempts;
    Statement& all = prepared().load_attempts;
    all.bind_all(boot, serial);
    while (all.step()) {
        attempts.emplace(static_cast<std::uint32_t>(all.number(0)),
                         AttemptLife{all.text(1), all.text(2), all.number(3), all.number(4), all.number(5),
                                     static_cast<Ending>(all.number(6))});
    }
    all.reset();
    return Life::of(std::move(head), std::move(attempts));
}

bool Book::conclude_before(std::int64_t boot, std::int64_t now_ms, std::size_t most) {
    std::vector<std::pair<std::int64_t, std::uint64_t>> open;
    Statement find(database_, "SELECT boot, serial FROM request WHERE settled = 0 AND boot < ? LIMIT ?");
    find.bind_all(boot, static_cast<std::uint64_t>(most));
    while (find.step()) open.emplace_back(find.number(0), static_cast<std::uint64_t>(find.number(1)));
    find.reset();
    database_.transaction([&] {
        Statement settle(database_,
                         "UPDATE request SET settled = 1, effect = ? WHERE boot = ? AND serial = ?");
        for (const auto& [of, serial] : open) {
            const auto life = load(of, serial);
            settle.bind_all(static_cast<int>(life ? life->effect() : Effect::MayHaveRun), of, serial).run();
        }
        if (open.size() < most) {
            Statement ended(database_,
                            "UPDATE boot SET concluded_ms = ? WHERE number < ? AND concluded_ms = 0");
            ended.bind_all(now_ms, boot).run();
        }
    });
    return open.size() < most;
}

// ---- questions ------------------------------------------------------------------------------------

void Book::each_of(Statement& rows, const Each& each) {
    while (rows.step()) {
        Entry entry;
        entry.boot = rows.number(0);
        entry.serial = static_cast<std::uint64_t>(rows.number(1));
        entry.sidecar = rows.text(2);
        Life::Head head{rows.text(3),   rows.text(4),   rows.text(5),   rows.text(6),
                        rows.number(7), rows.number(8), rows.number(9), static_cast<Final>(rows.number(10))};
        if (rows.number(12) != 0) entry.concluded = static_cast<Effect>(rows.number(11));
        std::map<std::uint32_t, AttemptLife> attempts;
        if (auto life = load(entry.boot, entry.serial)) attempts = life->attempts();
        entry.life = Life::of(std::move(head), std::move(attempts));
        if (!each(entry)) break;
    }
    rows.reset();
}

void Book::by_id(const std::string& id, const Each& each) {
    Statement rows(database_, select("WHERE r.id = ? ORDER BY r.taken_ms"));
    each_of(rows.bind_all(std::string_view(id)), each);
}
void Book::by_key(const std::string& key, const Each& each) {
    Statement rows(database_, select("WHERE r.key = ? ORDER BY r.taken_ms"));
    each_of(rows.bind_all(std::string_view(key)), each);
}
void Book::by_time(std::int64_t from_ms, std::int64_t to_ms, const Each& each) {
    Statement rows(database_, select("WHERE r.taken_ms >= ? AND r.taken_ms < ? ORDER BY r.taken_ms"));
    each_of(rows.bind_all(from_ms, to_ms), each);
}
void Book::open_ones(bool under_way, const Each& each) {
    Statement rows(database_, select(under_way ? "WHERE r.effect = 1 ORDER BY r.taken_ms"
                                               : "WHERE r.effect = 1 AND r.settled = 1 ORDER BY r.taken_ms"));
    each_of(rows, each);
}

std::vector<Book::GapInfo> Book::gaps(std::int64_t from_ms, std::int64_t to_ms) {
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

std::vector<BootInfo> Book::boots() {
    Statement rows(database_, "SELECT number, id, name, started_ms, concluded_ms FROM boot ORDER BY number");
    std::vector<BootInfo> result;
    while (rows.step()) {
        result.push_back({rows.number(0), static_cast<std::uint64_t>(rows.number(1)), rows.text(2),
                          rows.number(3), rows.number(4)});
    }
    return result;
}

Book::Stats Book::stats() {
    const auto count = [&](const char* sql) { return static_cast<std::uint64_t>(database_.number(sql)); };
    Stats result;
    result.requests = count("SELECT COUNT(*) FROM request");
    result.attempts = count("SELECT COUNT(*) FROM attempt");
    result.possibly = count("SELECT COUNT(*) FROM request WHERE effect = 1 AND settled = 1");
    result.under_way = count("SELECT COUNT(*) FROM request WHERE settled = 0");
    result.gaps = count("SELECT COUNT(*) FROM gap");
    result.bytes = database_.bytes();
    result.first_ms = database_.number("SELECT MIN(taken_ms) FROM request");
    result.last_ms = database_.number("SELECT MAX(taken_ms) FROM request");
    return result;
}

std::vector<std::string> Book::verify() {
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

std::vector<Entry> Book::settled_before(std::int64_t before_ms, std::size_t most) {
    // What may have run waits for somebody to look into it: it is not old before it is reconciled.
    Statement rows(
        database_,
        select("WHERE r.taken_ms < ? AND r.settled = 1 AND r.effect <> 1 ORDER BY r.taken_ms LIMIT ?"));
    std::vector<Entry> result;
    each_of(rows.bind_all(before_ms, static_cast<std::uint64_t>(most)), [&](const Entry& entry) {
        result.push_back(entry);
        return true;
    });
    return result;
}

void Book::remove(const std::vector<Entry>& entries) {
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
