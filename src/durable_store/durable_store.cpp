#include "durable_store/durable_store.h"

#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "durable_store/durable_file.h"
#include "durable_store/file_check.h"

namespace martenford::durable_store {

namespace {

/// The database file's access rights: the user that runs the controller, nobody else.
constexpr mdb_mode_t kFileMode = 0600;

StorageError::Code error_code_of(int lmdb_code) {
    switch (lmdb_code) {
        case ENOSPC:
        case EDQUOT:
        case MDB_MAP_FULL:
            return StorageError::Code::DiskFull;
        case MDB_CORRUPTED:
        case MDB_PAGE_NOTFOUND:
        case MDB_INVALID:
        case MDB_VERSION_MISMATCH:
            return StorageError::Code::Damaged;
        default:
            return StorageError::Code::Other;
    }
}

// ---- LMDB's handles

struct EnvironmentCloser {
    void operator()(MDB_env* environment) const { mdb_env_close(environment); }
};
using Environment = std::unique_ptr<MDB_env, EnvironmentCloser>;

struct CursorCloser {
    void operator()(MDB_cursor* cursor) const { mdb_cursor_close(cursor); }
};
using Cursor = std::unique_ptr<MDB_cursor, CursorCloser>;

/// A transaction that is aborted at its destruction unless it was committed. The functions return LMDB's
/// codes.
class Transaction {
  public:
    enum class Access : std::uint8_t { ReadOnly, ReadWrite };

    Transaction() = default;
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction() {
        if (handle_) mdb_txn_abort(handle_);
    }

    [[nodiscard]] int begin(MDB_env* environment, Access access) {
        const unsigned flags = access == Access::ReadOnly ? MDB_RDONLY : 0;
        return mdb_txn_begin(environment, nullptr, flags, &handle_);
    }
    /// Ends the transaction in either case; after an error nothing of it is stored.
    [[nodiscard]] int commit() { return mdb_txn_commit(std::exchange(handle_, nullptr)); }
    MDB_txn* get() const { return handle_; }

  private:
    MDB_txn* handle_ = nullptr;
};

/// Extends a file that is shorter than the pages that LMDB may allocate in it. Those beyond its end are free;
/// a read of one through the memory map would end the process with SIGBUS.
void extend_truncated_file(MDB_env* environment) {
    MDB_envinfo info{};
    MDB_stat database_stat{};
    int fd = -1;
    struct stat file_stat {};
    if (mdb_env_info(environment, &info) != 0) return;
    if (mdb_env_stat(environment, &database_stat) != 0) return;
    if (mdb_env_get_fd(environment, &fd) != 0) return;
    if (::fstat(fd, &file_stat) != 0) return;
    const std::size_t wanted = std::min((info.me_last_pgno + 1) * database_stat.ms_psize, info.me_mapsize);
    if (static_cast<std::size_t>(file_stat.st_size) >= wanted) return;
    // A failure is left to the reads and writes that follow.
    [[maybe_unused]] const int result = ::ftruncate(fd, static_cast<off_t>(wanted));
}

// ---- records: XXH3 of the bytes in the machine's byte order, then the bytes

using Checksum = std::uint64_t;

Checksum checksum_of(std::string_view record) {
    return XXH3_64bits(record.data(), record.size());
}

/// A view of `text` for LMDB, which does not write to it.
MDB_val to_value(const std::string& text) {
    return {text.size(), const_cast<char*>(text.data())};
}

std::string_view to_view(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

/// The record in a stored value; nothing if its checksum does not match.
std::optional<std::string_view> verified_record(const MDB_val& value) {
    Checksum checksum = 0;
    if (value.mv_size < sizeof checksum) return std::nullopt;
    std::memcpy(&checksum, value.mv_data, sizeof checksum);
    const std::string_view record = to_view(value).substr(sizeof checksum);
    if (checksum_of(record) != checksum) return std::nullopt;
    return record;
}

/// Stores a record unless the same bytes are stored already: an unchanged record costs no write.
/// `changed` is set if it was stored.
int put_record(MDB_txn* transaction, MDB_dbi table, const std::string& name, std::string_view record,
               bool& changed) {
    MDB_val key = to_value(name);
    MDB_val stored{};
    if (mdb_get(transaction, table, &key, &stored) == 0 && verified_record(stored) == record) return 0;
    changed = true;
    const Checksum checksum = checksum_of(record);
    MDB_val value{sizeof checksum + record.size(), nullptr};
    if (const int code = mdb_put(transaction, table, &key, &value, MDB_RESERVE)) return code;
    std::memcpy(value.mv_data, &checksum, sizeof checksum);
    std::memcpy(static_cast<char*>(value.mv_data) + sizeof checksum, record.data(), record.size());
    return 0;
}

/// The number of the transaction that saved the records, beside them. If a damaged meta page makes LMDB read
/// an older state, it differs from that of the meta page. Files of releases before 2026-12-06 have none.
constexpr char kTransactionKey[] = "transaction";

std::string transaction_record(MDB_txn* transaction) {
    return std::to_string(mdb_txn_id(transaction));
}

/// Calls `visit(cursor, name, value)` for every record until it returns another code than 0. Returns that
/// code, LMDB's own at an error, or 0.
template <class Visit>
int for_each_record(MDB_txn* transaction, MDB_dbi table, Visit visit) {
    MDB_cursor* opened = nullptr;
    if (const int code = mdb_cursor_open(transaction, table, &opened)) return code;
    const Cursor cursor(opened);
    MDB_val key{};
    MDB_val value{};
    int code = mdb_cursor_get(cursor.get(), &key, &value, MDB_FIRST);
    while (code == 0) {
        code = visit(cursor.get(), std::string(to_view(key)), value);
        if (code != 0) return code;
        code = mdb_cursor_get(cursor.get(), &key, &value, MDB_NEXT);
    }
    return code == MDB_NOTFOUND ? 0 : code;
}

// ---- names

std::string path_in(const std::string& directory) {
    return directory + "/" + kDatabaseFileName;
}

bool exists_in(const std::string& directory, const std::string& name) {
    std::error_code ignored;
    return std::filesystem::exists(directory + "/" + name, ignored);
}

/// @param number from 1 to kMaxDamagedFiles
std::string damaged_file_name(int number) {
    return std::string(kDatabaseFileName) + ".damaged." + std::to_string(number);
}

}  // namespace

// ---- DurableStore::Database: the open file

class DurableStore::Database {
  public:
    static std::variant<std::unique_ptr<Database>, StorageError> open(const std::string& path,
                                                                      std::size_t map_size_bytes);
    /// Return LMDB's codes.
    [[nodiscard]] int read_all(Records& records) const;
    [[nodiscard]] int replace_all(const Records& records) const;

  private:
    [[nodiscard]] int open_file(const std::string& path, std::size_t map_size_bytes);

    Environment environment_;
    MDB_dbi table_ = 0;
};

std::variant<std::unique_ptr<DurableStore::Database>, StorageError> DurableStore::Database::open(
    const std::string& path, std::size_t map_size_bytes) {
    if (auto error = check_database_file(path, map_size_bytes)) return std::move(*error);
    auto database = std::make_unique<Database>();
    if (const int code = database->open_file(path, map_size_bytes)) return storage_error("open", code);
    return database;
}

int DurableStore::Database::open_file(const std::string& path, std::size_t map_size_bytes) {
    MDB_env* created = nullptr;
    if (const int code = mdb_env_create(&created)) return code;
    environment_.reset(created);
    if (const int code = mdb_env_set_mapsize(created, map_size_bytes)) return code;
    // No locks: they are for several processes or threads, and there is one of each.
    if (const int code =
            mdb_env_open(created, path.c_str(), MDB_NOLOCK | MDB_NOSUBDIR | MDB_NOTLS, kFileMode))
        return code;
    extend_truncated_file(created);
    Transaction transaction;
    if (const int code = transaction.begin(created, Transaction::Access::ReadWrite)) return code;
    if (const int code = mdb_dbi_open(transaction.get(), nullptr, 0, &table_)) return code;
    if (const int code = transaction.commit()) return code;
    // A process that was killed in a save may have left pages that are written and not yet synced. They are
    // readable now, and would be gone after a loss of power though this process has acted on them.
    return mdb_env_sync(created, 1);
}

int DurableStore::Database::read_all(Records& records) const {
    Transaction transaction;
    if (const int code = transaction.begin(environment_.get(), Transaction::Access::ReadOnly)) return code;
    const int code = for_each_record(transaction.get(), table_,
                                     [&records](MDB_cursor*, const std::string& name, const MDB_val& value) {
                                         const auto record = verified_record(value);
                                         if (!record) return MDB_CORRUPTED;
                                         records[name] = *record;
                                         return 0;
                                     });
    if (code != 0) return code;
    const auto saved_by = records.extract(kTransactionKey);
    if (saved_by && saved_by.mapped() != transaction_record(transaction.get())) return MDB_CORRUPTED;
    return 0;
}

int DurableStore::Database::replace_all(const Records& records) const {
    Transaction transaction;
    if (const int code = transaction.begin(environment_.get(), Transaction::Access::ReadWrite)) return code;
    bool changed = false;
    const int removed = for_each_record(transaction.get(), table_,
                                        [&](MDB_cursor* cursor, const std::string& name, const MDB_val&) {
                                            if (records.contains(name) || name == kTransactionKey) return 0;
                                            changed = true;
                                            return mdb_cursor_del(cursor, 0);
                                        });
    if (removed != 0) return removed;
    for (const auto& [name, record] : records) {
        if (const int code = put_record(transaction.get(), table_, name, record, changed)) return code;
    }
    if (changed) {
        const std::string number = transaction_record(transaction.get());
        if (const int code = put_record(transaction.get(), table_, kTransactionKey, number, changed))
            return code;
    }
    return transaction.commit();
}

// ---- DurableStore

StorageError storage_error(std::string_view operation, int code) {
    return {error_code_of(code), operation, std::string(operation) + ": " + mdb_strerror(code)};
}

DurableStore::DurableStore(std::string directory, std::size_t map_size_bytes,
                           std::unique_ptr<Database> database)
    : directory_(std::move(directory)), map_size_bytes_(map_size_bytes), database_(std::move(database)) {}

DurableStore::~DurableStore() = default;

DurableStore::OpenResult DurableStore::open(const std::string& directory, std::size_t map_size_bytes) {
    auto opened = Database::open(path_in(directory), map_size_bytes);
    std::unique_ptr<Database> database;
    if (auto* error = std::get_if<StorageError>(&opened)) {
        if (error->code != StorageError::Code::Damaged) return std::move(*error);
    } else {
        database = std::get<std::unique_ptr<Database>>(std::move(opened));
        // Best effort: only create() needs the name to last.
        [[maybe_unused]] const int result = sync_directory(directory);
    }
    // The constructor is private, so std::make_unique cannot call it.
    return std::unique_ptr<DurableStore>(new DurableStore(directory, map_size_bytes, std::move(database)));
}

DurableStore::OpenResult DurableStore::create(const std::string& directory, std::size_t map_size_bytes,
                                              const Records& records) {
    const std::string name = std::string(kDatabaseFileName) + ".new";
    if (const int error = remove_file(directory, name)) return storage_error("create", error);
    {
        auto opened = Database::open(directory + "/" + name, map_size_bytes);
        if (auto* error = std::get_if<StorageError>(&opened)) return std::move(*error);
        const auto& database = std::get<std::unique_ptr<Database>>(opened);
        if (const int code = database->replace_all(records)) return storage_error("create", code);
    }
    if (const int error = rename_file(directory, name, kDatabaseFileName))
        return storage_error("create", error);
    return open(directory, map_size_bytes);
}

bool DurableStore::exists(const std::string& directory) {
    return exists_in(directory, kDatabaseFileName);
}

std::optional<StorageError> DurableStore::remove(const std::string& directory) {
    const int error = remove_file(directory, kDatabaseFileName);
    if (error == 0) return std::nullopt;
    return storage_error("remove", error);
}

std::variant<std::string, StorageError> DurableStore::set_aside(const std::string& directory) {
    int number = 1;
    while (number < kMaxDamagedFiles && exists_in(directory, damaged_file_name(number))) ++number;
    std::string name = damaged_file_name(number);
    if (const int error = rename_file(directory, kDatabaseFileName, name))
        return storage_error("set aside", error);
    return name;
}

bool DurableStore::has_damaged_files(const std::string& directory) {
    return exists_in(directory, damaged_file_name(1));
}

LoadResult DurableStore::load() {
    LoadResult result;
    if (database_ && database_->read_all(result.records) == 0) return result;
    return {{}, true};
}

DurableStore::SaveResult DurableStore::save(const Records& records) {
    if (!database_) {
        auto opened = Database::open(path_in(directory_), map_size_bytes_);
        if (auto* error = std::get_if<StorageError>(&opened)) return std::move(*error);
        database_ = std::get<std::unique_ptr<Database>>(std::move(opened));
    }
    if (const int code = database_->replace_all(records)) {
        // After a failed write of a meta page LMDB refuses all further writes of this environment.
        database_.reset();
        return storage_error("save", code);
    }
    return std::monostate{};
}

}  // namespace martenford::durable_store
