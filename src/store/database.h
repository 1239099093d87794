// A shell round SQLite for what must outlive a process: opening with the durability we rely on, migrations,
// statements, batches, and what a failure means. It blocks: helper processes and commands use it, the event
// loop never.
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

/// What somebody can do about it.
enum class ErrorKind {
    Full,  ///< the disk or the stated bound: room helps
    Sync,  ///< a sync or write failed: what was written since the last one is in doubt (see Database::open)
    Busy,  ///< somebody else holds the file for longer than we wait
    ReadOnly,  ///< the directory or the file can't be written
    Corrupt,   ///< what is in the file can't be right
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
    /// Whether other processes use the file too. Without, the index of the log is in memory and no file is
    /// mapped.
    bool shared = true;
    std::uint64_t max_bytes = 0;  ///< of the file, without its log; 0: no bound of ours
    int busy_timeout_ms = 2000;   ///< wait for another writer; it holds the file for one batch
    std::string vfs;              ///< of SQLite's file systems; empty: the usual one
};

/// One step of a schema. Steps are never changed once released; new ones are added at the end.
struct Migration {
    const char* sql;
};

class Database;

/// A prepared statement. Bind, step, read; reset by the next bind_all().
class Statement {
  public:
    Statement(Database& database, std::string_view sql);
    Statement(Statement&& other) noexcept
        : database_(other.database_), statement_(std::exchange(other.statement_, nullptr)) {}
    Statement& operator=(Statement&&) = delete;
    ~Statement();

    /// Texts are bound as texts, blobs as bytes; both must stay until the statement has run. Columns count
    /// from 1 for binding, 0 for reading, as SQLite's.
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

    /// True: a row is there. Throws StoreError.
    bool step();
    /// Steps to the end.
    void run();
    void reset();

    std::int64_t number(int column) const;
    std::string text(int column) const;  ///< of a blob too
    bool is_null(int column) const;

  private:
    Database* database_;
    sqlite3_stmt* statement_ = nullptr;
};

class Database {
  public:
    /// Opens or, where it may write, makes the file. Write-ahead log, synchronous=FULL: a batch is durable
    /// when commit() has returned. What an earlier process left in the log is checkpointed and synced first,
    /// whole: after a sync that failed the kernel may hold pages as clean that never reached the disk, and
    /// writing them again is what makes them dirty. Throws StoreError.
    Database(const std::string& path, const Options& options);
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;
    ~Database();

    /// Brings the schema up to the last step, each step whole or not at all. `user_version` counts them. A
    /// file of a later version: Fault::Newer; a reader takes an older one as it is (see version()).
    void migrate(const std::vector<Migration>& steps);
    int version();

    void execute(const char* sql);
    std::int64_t number(const char* sql);  ///< of the first column of the first row; 0 where there is none
    std::int64_t changes() const;

    /// All of `work` or nothing of it, durable on return.
    void transaction(const std::function<void()>& work);
    /// Moves the log into the file and syncs both. Throws StoreError, Busy where a reader is in the way for
    /// too long.
    void checkpoint();
    /// Empty: nothing is wrong with the file.
    std::string check();
    std::uint64_t bytes();
    sqlite3* handle() { return handle_; }

  private:
    friend class Statement;
    [[noreturn]] void fail(int code, const std::string& operation);
    sqlite3* handle_ = nullptr;
    std::string path_;
};

}  // namespace martenford::store
