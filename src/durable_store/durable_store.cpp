#include "durable_store/durable_store.h"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <string_view>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace martenford::durable_store {

namespace {

StorageError trouble(int code) {
    return {mdb_strerror(code), code == ENOSPC || code == MDB_MAP_FULL || code == EDQUOT};
}

/// The name of a new file lasts once its folder has been synced.
void sync_folder(const std::string& directory) {
    const int folder = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY);
    if (folder < 0) return;
    ::fsync(folder);
    ::close(folder);
}

/// Guards against a file that lost its end, which a disk that syncs falsely brings about: a look at a page
/// beyond it would end the process. Pages of zeros are found to be damaged instead.
void mend_length(MDB_env* env) {
    MDB_envinfo info{};
    MDB_stat stat{};
    int file = -1;
    struct stat found {};
    if (mdb_env_info(env, &info) || mdb_env_stat(env, &stat) || mdb_env_get_fd(env, &file) ||
        ::fstat(file, &found))
        return;
    const auto wanted = std::min((info.me_last_pgno + 1) * stat.ms_psize, info.me_mapsize);
    if (static_cast<std::size_t>(found.st_size) < wanted &&
        ::ftruncate(file, static_cast<off_t>(wanted)) != 0)
        return;
}

}  // namespace

struct DurableStore::Impl {
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;
    static std::variant<std::unique_ptr<Impl>, StorageError> open_in(const std::string& directory,
                                                                     std::size_t most);
    ~Impl() {
        if (env) mdb_env_close(env);
    }
};

std::variant<std::unique_ptr<DurableStore::Impl>, StorageError> DurableStore::Impl::open_in(
    const std::string& directory, std::size_t most) {
    auto impl = std::make_unique<Impl>();
    if (const int code = mdb_env_create(&impl->env)) return trouble(code);
    if (const int code = mdb_env_set_mapsize(impl->env, most)) return trouble(code);
    // One process, one thread: its locks guard against nothing here.
    const std::string path = directory + "/word.mdb";
    if (const int code = mdb_env_open(impl->env, path.c_str(), MDB_NOLOCK | MDB_NOSUBDIR | MDB_NOTLS, 0600))
        return trouble(code);
    mend_length(impl->env);
    MDB_txn* txn = nullptr;
    if (const int code = mdb_txn_begin(impl->env, nullptr, 0, &txn)) return trouble(code);
    if (const int code = mdb_dbi_open(txn, nullptr, 0, &impl->dbi)) {
        mdb_txn_abort(txn);
        return trouble(code);
    }
    if (const int code = mdb_txn_commit(txn)) return trouble(code);
    // What a process that was killed had written and not yet synced is found here, and would be gone with the
    // power after this one has spoken by it.
    if (const int code = mdb_env_sync(impl->env, 1)) return trouble(code);
    sync_folder(directory);
    return impl;
}

namespace {

MDB_val value_of(const std::string& text) {
    return {text.size(), const_cast<char*>(text.data())};
}
std::string_view text_of(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

/// A record on disk: its checksum, then its bytes.
std::optional<std::string_view> checked(const MDB_val& value) {
    std::uint64_t sum = 0;
    if (value.mv_size < sizeof sum) return std::nullopt;
    std::memcpy(&sum, value.mv_data, sizeof sum);
    const auto record = text_of(value).substr(sizeof sum);
    if (XXH3_64bits(record.data(), record.size()) != sum) return std::nullopt;
    return record;
}

int put(MDB_txn* txn, MDB_dbi dbi, const std::string& name, const std::string& record) {
    MDB_val key = value_of(name), held{};
    // Compared with the bytes themselves: what is the same costs no write.
    if (mdb_get(txn, dbi, &key, &held) == 0 && checked(held) == std::string_view(record)) return 0;
    const std::uint64_t sum = XXH3_64bits(record.data(), record.size());
    MDB_val value{sizeof sum + record.size(), nullptr};
    if (const int code = mdb_put(txn, dbi, &key, &value, MDB_RESERVE)) return code;
    std::memcpy(value.mv_data, &sum, sizeof sum);
    std::memcpy(static_cast<char*>(value.mv_data) + sizeof sum, record.data(), record.size());
    return 0;
}

/// Calls `each` with every record until it returns another code than 0.
template <class Each>
int walk(MDB_txn* txn, MDB_dbi dbi, Each each) {
    MDB_cursor* cursor = nullptr;
    if (const int code = mdb_cursor_open(txn, dbi, &cursor)) return code;
    MDB_val key{}, value{};
    int code = mdb_cursor_get(cursor, &key, &value, MDB_FIRST);
    for (; code == 0; code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        if ((code = each(cursor, std::string(text_of(key)), value))) break;
    }
    mdb_cursor_close(cursor);
    return code == MDB_NOTFOUND ? 0 : code;
}

int write_all(MDB_env* env, MDB_dbi dbi, const Records& records) {
    MDB_txn* txn = nullptr;
    if (const int code = mdb_txn_begin(env, nullptr, 0, &txn)) return code;
    int code = walk(txn, dbi, [&](MDB_cursor* cursor, const std::string& name, const MDB_val&) {
        return records.contains(name) ? 0 : mdb_cursor_del(cursor, 0);
    });
    for (auto record = records.begin(); code == 0 && record != records.end(); ++record)
        code = put(txn, dbi, record->first, record->second);
    if (code) {
        mdb_txn_abort(txn);
        return code;
    }
    return mdb_txn_commit(txn);
}

}  // namespace

DurableStore::DurableStore(std::string directory, std::size_t most, std::unique_ptr<Impl> impl)
    : directory_(std::move(directory)), map_bytes_(most), impl_(std::move(impl)) {}
DurableStore::~DurableStore() = default;

std::variant<std::unique_ptr<DurableStore>, StorageError> DurableStore::open(const std::string& directory,
                                                                             std::size_t most) {
    auto opened = Impl::open_in(directory, most);
    if (auto* failed = std::get_if<StorageError>(&opened)) return std::move(*failed);
    return std::unique_ptr<DurableStore>(
        new DurableStore(directory, most, std::get<std::unique_ptr<Impl>>(std::move(opened))));
}

LoadResult DurableStore::load() {
    MDB_txn* txn = nullptr;
    if (!impl_ || mdb_txn_begin(impl_->env, nullptr, MDB_RDONLY, &txn)) return {{}, true};
    LoadResult found;
    const int code = walk(txn, impl_->dbi, [&](MDB_cursor*, const std::string& name, const MDB_val& value) {
        const auto record = checked(value);
        if (!record) return MDB_CORRUPTED;
        found.records[name] = *record;
        return 0;
    });
    mdb_txn_abort(txn);
    if (code) return {{}, true};
    return found;
}

std::variant<std::monostate, StorageError> DurableStore::save(const Records& records) {
    if (!impl_) {
        auto opened = Impl::open_in(directory_, map_bytes_);
        if (auto* failed = std::get_if<StorageError>(&opened)) return std::move(*failed);
        impl_ = std::get<std::unique_ptr<Impl>>(std::move(opened));
    }
    const int code = write_all(impl_->env, impl_->dbi, records);
    // After a failed write of the page that makes a change count, LMDB refuses all that follows for as long
    // as it is open.
    if (code != 0) {
        impl_.reset();
        return trouble(code);
    }
    return std::monostate{};
}

}  // namespace martenford::durable_store
