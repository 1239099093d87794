#include "strongbox/strongbox.h"

#include <fcntl.h>
#include <lmdb.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace martenford::strongbox {

namespace {

constexpr char kKey[] = "word";

Trouble trouble(int code) {
    return {mdb_strerror(code), code == ENOSPC || code == MDB_MAP_FULL || code == EDQUOT};
}

/// The name of a new file lasts once its folder has been synced.
void sync_folder(const std::string& directory) {
    const int folder = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY);
    if (folder < 0) return;
    ::fsync(folder);
    ::close(folder);
}

}  // namespace

struct Strongbox::Impl {
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;
    ~Impl() {
        if (env) mdb_env_close(env);
    }
};

Strongbox::Strongbox(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Strongbox::~Strongbox() = default;

std::variant<std::unique_ptr<Strongbox>, Trouble> Strongbox::open(const std::string& directory,
                                                                  std::size_t most) {
    auto impl = std::make_unique<Impl>();
    if (const int code = mdb_env_create(&impl->env)) return trouble(code);
    if (const int code = mdb_env_set_mapsize(impl->env, most)) return trouble(code);
    // One process, one thread: its locks guard against nothing here.
    const std::string path = directory + "/word.mdb";
    if (const int code = mdb_env_open(impl->env, path.c_str(), MDB_NOLOCK | MDB_NOSUBDIR | MDB_NOTLS, 0600))
        return trouble(code);
    MDB_txn* txn = nullptr;
    if (const int code = mdb_txn_begin(impl->env, nullptr, 0, &txn)) return trouble(code);
    if (const int code = mdb_dbi_open(txn, nullptr, 0, &impl->dbi)) {
        mdb_txn_abort(txn);
        return trouble(code);
    }
    if (const int code = mdb_txn_commit(txn)) return trouble(code);
    sync_folder(directory);
    return std::unique_ptr<Strongbox>(new Strongbox(std::move(impl)));
}

Found Strongbox::load() {
    MDB_txn* txn = nullptr;
    if (mdb_txn_begin(impl_->env, nullptr, MDB_RDONLY, &txn)) return {{}, true};
    MDB_val key{sizeof kKey - 1, const_cast<char*>(kKey)}, value{};
    const int code = mdb_get(txn, impl_->dbi, &key, &value);
    Found found;
    if (code == MDB_NOTFOUND) {
        found = {};
    } else if (code != 0 || value.mv_size < sizeof(std::uint64_t)) {
        found.damaged = true;
    } else {
        std::uint64_t sum = 0;
        std::memcpy(&sum, value.mv_data, sizeof sum);
        const char* record = static_cast<const char*>(value.mv_data) + sizeof sum;
        const std::size_t size = value.mv_size - sizeof sum;
        if (XXH3_64bits(record, size) == sum) {
            found.record.assign(record, size);
        } else {
            found.damaged = true;
        }
    }
    mdb_txn_abort(txn);
    return found;
}

std::variant<std::monostate, Trouble> Strongbox::save(const std::string& record) {
    MDB_txn* txn = nullptr;
    if (const int code = mdb_txn_begin(impl_->env, nullptr, 0, &txn)) return trouble(code);
    const std::uint64_t sum = XXH3_64bits(record.data(), record.size());
    MDB_val key{sizeof kKey - 1, const_cast<char*>(kKey)}, value{sizeof sum + record.size(), nullptr};
    if (const int code = mdb_put(txn, impl_->dbi, &key, &value, MDB_RESERVE)) {
        mdb_txn_abort(txn);
        return trouble(code);
    }
    std::memcpy(value.mv_data, &sum, sizeof sum);
    std::memcpy(static_cast<char*>(value.mv_data) + sizeof sum, record.data(), record.size());
    if (const int code = mdb_txn_commit(txn)) return trouble(code);
    return std::monostate{};
}

}  // namespace martenford::strongbox
