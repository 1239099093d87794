// A thin wrapper of SQLite for data that must survive the process: opening with the durability that we rely
// on, migrations, statements, transactions, and classified errors. It blocks, so only helper processes and
// commands use it, never the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace martenford::store {

/// Errors, classified by what can be done about them.
enum class ErrorKind {
    Full,      ///< the disk, or the file at its configured limit: freeing space helps
    Sync,      ///< a sync or write failed: data since the last sync may be lost (see Database::Database)
    Busy,      ///< another process locks the file for longer than the timeout
    ReadOnly,  ///< the directory or the file is not writable
    Corrupt,   ///< the file is not a valid database
    Newer,     ///< written by a later version of this program
    Other,
};
std::string_view name_of(ErrorKind kind);

struct StoreError : std::runtime_error {
    StoreError(ErrorKind error_kind, const std::string& what) : std::runtime_error(what), kind(error_kind) {}
    ErrorKind kind;
};

struct Options {
    bool read_only = false;
    /// Whether other processes use the file too. If not, the index of the write-ahead log is kept in memory
    /// and no file is mapped.
    bool shared = true;
    std::uint64_t max_bytes = 0;  ///< of the file without its write-ahead log; 0: no limit
    int busy_timeout_ms = 2000;   ///< for another writer, which holds the lock for one batch
    std::string vfs;              ///< name of an SQLite VFS; empty: the default
};

/// One migration of a schema. A released migration is never changed; new ones are appended.
struct Migration {
    const char* sql;
};

class Database;

/// A prepared statement. Call bind_all(), step() and read the columns; the next bind_all() resets it.
class Statement {
  public:
    Statement(Database& database, std::string_view sql);
    Statement(Statement&& other) noexcept
        : database_(other.database_), statement_(std::exchange(other.statement_, nullptr)) {}
    Statement& operator=(Statement&&) = delete;
    ~Statement();

    /// Binds all parameters. Strings and blobs are not copied: they must stay valid until the statement has
    /// run. As in SQLite, parameters are numbered from 1 and columns from 0.
    template <typename... Values>
    Statement& bind_all(const Values&... values) {
        reset();
        int index = 0;
        (bind(++index, values), ...);
        return *this;
    }
    struct Blob {
        std::string_view bytes;
    };
    struct Null {};
    void bind(int index, std::int64_t value);
    void bind(int index, std::uint64_t value) { bind(index, static_cast<std::int64_t>(value)); }
    void bind(int index, int value) { bind(index, static_cast<std::int64_t>(value)); }
    void bind(int index, std::uint32_t value) { bind(index, static_cast<std::int64_t>(value)); }
    void bind(int index, std::string_view text);
    void bind(int index, Blob blob);
    void bind(int index, Null);

    /// Returns whether there is a row. Throws StoreError.
    bool step();
    /// Steps to the end and resets the statement.
    void run();
    void reset();

    std::int64_t number(int column) const;
    std::string text(int column) const;  ///< also reads a blob
    bool is_null(int column) const;

  private:
    Database* database_;
    sqlite3_stmt* statement_ = nullptr;
};

class Database {
  public:
    /// Opens the file, and creates it unless it is opened read-only. Uses a write-ahead log with
    /// synchronous=FULL: a transaction is durable when transaction() returns. First checkpoints and syncs the
    /// whole log of an earlier process: after a failed sync the kernel may treat pages as clean that never
    /// reached the disk, and only writing them again makes them dirty. Throws StoreError.
    Database(const std::string& path, const Options& options);
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;
    ~Database();

    /// Applies the missing migrations, each in a transaction; `user_version` counts them. Throws
    /// ErrorKind::Newer for a file of a later version. Readers do not migrate and handle older versions
    /// themselves (see version()).
    void migrate(const std::vector<Migration>& steps);
    int version();

    void execute(const char* sql);
    std::int64_t number(const char* sql);  ///< first column of the first row; 0 if there is no row
    std::int64_t changes() const;          ///< rows changed by the last statement

    /// Runs `work` in a transaction, which is durable on return and rolled back if `work` throws.
    void transaction(const std::function<void()>& work);
    /// Moves the write-ahead log into the file and syncs both. Throws StoreError, with ErrorKind::Busy if a
    /// reader blocks it for too long.
    void checkpoint();
    /// Checks the integrity of the file. Returns the errors found; empty if there are none.
    std::string check();
    std::uint64_t bytes();  ///< size of the file without its write-ahead log
    sqlite3* handle() { return handle_; }

  private:
    friend class Statement;
    [[noreturn]] void fail(int code, const std::string& operation);
    sqlite3* handle_ = nullptr;
    std::string path_;
};

}  // namespace martenford::store
