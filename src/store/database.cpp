#include "store/database.h"

#include <sqlite3.h>

#include <string>

namespace martenford::store {

namespace {

/// Pages of the log after which SQLite moves it into the file by itself: 4 MiB, that a start has to read
/// again.
constexpr int kAutocheckpointPages = 1000;
constexpr int kCacheSizeKib = -16 * 1024;  // KiB: the upper levels of the indexes of some million requests
/// What is left of the log's file between checkpoints.
constexpr int kMaxWalBytes = 8 * 1024 * 1024;

ErrorKind kind_of(int extended) {
    switch (extended & 0xff) {
        case SQLITE_FULL:
            return ErrorKind::Full;
        case SQLITE_BUSY:
        case SQLITE_LOCKED:
            return ErrorKind::Busy;
        case SQLITE_READONLY:
        case SQLITE_CANTOPEN:
        case SQLITE_PERM:
            return ErrorKind::ReadOnly;
        case SQLITE_CORRUPT:
        case SQLITE_NOTADB:
            return ErrorKind::Corrupt;
        case SQLITE_IOERR:
            return ErrorKind::Sync;
        default:
            return ErrorKind::Other;
    }
}

}  // namespace

std::string_view name_of(ErrorKind kind) {
    switch (kind) {
        case ErrorKind::Full:
            return "full";
        case ErrorKind::Sync:
            return "io";
        case ErrorKind::Busy:
            return "busy";
        case ErrorKind::ReadOnly:
            return "read-only";
        case ErrorKind::Corrupt:
            return "corrupt";
        case ErrorKind::Newer:
            return "newer";
        case ErrorKind::Other:
            break;
    }
    return "other";
}

Statement::Statement(Database& database, std::string_view sql) : database_(&database) {
    const int code = sqlite3_prepare_v3(database.handle_, sql.data(), static_cast<int>(sql.size()),
                                        SQLITE_PREPARE_PERSISTENT, &statement_, nullptr);
    if (code != SQLITE_OK) database.fail(code, "prepare");
}
Statement::~Statement() {
    sqlite3_finalize(statement_);
}

void Statement::bind(int index, std::int64_t value) {
    sqlite3_bind_int64(statement_, index, value);
}
void Statement::bind(int index, std::string_view text) {
    sqlite3_bind_text(statement_, index, text.data(), static_cast<int>(text.size()), SQLITE_STATIC);
}
void Statement::bind(int index, Blob blob) {
    sqlite3_bind_blob(statement_, index, blob.bytes.data(), static_cast<int>(blob.bytes.size()),
                      SQLITE_STATIC);
}
void Statement::bind(int index, Null) {
    sqlite3_bind_null(statement_, index);
}

bool Statement::step() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    if (code == SQLITE_DONE) return false;
    const int extended = sqlite3_extended_errcode(database_->handle_);
    sqlite3_reset(statement_);
    database_->fail(extended, "step");
}
void Statement::run() {
    while (step()) {
    }
    reset();
}
void Statement::reset() {
    sqlite3_reset(statement_);
}

std::int64_t Statement::number(int column) const {
    return sqlite3_column_int64(statement_, column);
}
std::string Statement::text(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
    return bytes ? std::string(bytes, size) : std::string();
}
bool Statement::is_null(int column) const {
    return sqlite3_column_type(statement_, column) == SQLITE_NULL;
}

Database::Database(const std::string& path, const Options& options) : path_(path) {
    const int flags = options.read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
    const int code = sqlite3_open_v2(path.c_str(), &handle_, flags | SQLITE_OPEN_NOMUTEX,
                                     options.vfs.empty() ? nullptr : options.vfs.c_str());
    try {
        if (code != SQLITE_OK) fail(code, "open");
        sqlite3_extended_result_codes(handle_, 1);
        sqlite3_busy_timeout(handle_, options.busy_timeout_ms);
        if (!options.shared) execute("PRAGMA locking_mode=EXCLUSIVE");
        execute(("PRAGMA cache_size=" + std::to_string(kCacheSizeKib)).c_str());
        if (options.read_only) {
            execute("PRAGMA query_only=1");
            return;
        }
        execute("PRAGMA journal_mode=WAL");
        execute("PRAGMA synchronous=FULL");
        execute(("PRAGMA wal_autocheckpoint=" + std::to_string(kAutocheckpointPages)).c_str());
        execute(("PRAGMA journal_size_limit=" + std::to_string(kMaxWalBytes)).c_str());
        if (options.max_bytes > 0) {
            const auto pages = options.max_bytes / static_cast<std::uint64_t>(number("PRAGMA page_size"));
            execute(("PRAGMA max_page_count=" + std::to_string(pages)).c_str());
        }
        checkpoint();
    } catch (...) {
        sqlite3_close(handle_);
        throw;
    }
}
Database::~Database() {
    sqlite3_close(handle_);
}

void Database::fail(int code, const std::string& operation) {
    const std::string what = handle_ ? sqlite3_errmsg(handle_) : sqlite3_errstr(code);
    throw StoreError(kind_of(code), path_ + ": " + operation + ": " + what);
}

void Database::execute(const char* sql) {
    if (sqlite3_exec(handle_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) {
        fail(sqlite3_extended_errcode(handle_), sql);
    }
}

std::int64_t Database::number(const char* sql) {
    Statement statement(*this, sql);
    return statement.step() ? statement.number(0) : 0;
}

std::int64_t Database::changes() const {
    return sqlite3_changes64(handle_);
}

int Database::version() {
    return static_cast<int>(number("PRAGMA user_version"));
}

void Database::migrate(const std::vector<Migration>& steps) {
    const int current = version();
    if (current > static_cast<int>(steps.size())) {
        throw StoreError(ErrorKind::Newer, path_ + ": has schema " + std::to_string(current) +
                                               ", this program knows " + std::to_string(steps.size()));
    }
    for (int step = current; step < static_cast<int>(steps.size()); ++step) {
        transaction([&] {
            // Another process may have taken the step since.
            if (version() != step) return;
            execute(steps[static_cast<std::size_t>(step)].sql);
            execute(("PRAGMA user_version=" + std::to_string(step + 1)).c_str());
        });
    }
}

void Database::transaction(const std::function<void()>& work) {
    execute("BEGIN IMMEDIATE");
    try {
        work();
        execute("COMMIT");
    } catch (...) {
        // SQLite may have rolled back by itself.
        if (sqlite3_get_autocommit(handle_) == 0)
            sqlite3_exec(handle_, "ROLLBACK", nullptr, nullptr, nullptr);
        throw;
    }
}

void Database::checkpoint() {
    const int code =
        sqlite3_wal_checkpoint_v2(handle_, nullptr, SQLITE_CHECKPOINT_TRUNCATE, nullptr, nullptr);
    if (code != SQLITE_OK) fail(sqlite3_extended_errcode(handle_), "checkpoint");
}

std::string Database::check() {
    Statement statement(*this, "PRAGMA quick_check(10)");
    std::string errors;
    while (statement.step()) {
        if (const auto line = statement.text(0); line != "ok") errors += (errors.empty() ? "" : "; ") + line;
    }
    return errors;
}

std::uint64_t Database::bytes() {
    return static_cast<std::uint64_t>(number("PRAGMA page_count") * number("PRAGMA page_size"));
}

}  // namespace martenford::store
