// A disk in memory behind SQLite's own interface (sqlite3_vfs), which fails at a chosen operation and forgets
// what was not synced when the power goes: lost, torn at sectors, and in no order.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace martenford::standins {

class FaultyDisk {
  public:
    enum class Fault {
        Power,  ///< from here on nothing is written, synced or read; power_on() decides what is left
        Sync,   ///< this sync fails, and the kernel takes what it should have written for written
        Full,   ///< this write finds no room, once
        Torn,   ///< this write puts half of its bytes and fails
    };

    explicit FaultyDisk(std::string name) : name_(std::move(name)) {
        vfs_.iVersion = 1;
        vfs_.szOsFile = sizeof(Handle);
        vfs_.mxPathname = 512;
        vfs_.zName = name_.c_str();
        vfs_.pAppData = this;
        vfs_.xOpen = [](sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out) {
            auto* handle = reinterpret_cast<Handle*>(file);
            handle->base.pMethods = nullptr;
            FaultyDisk& disk = of(vfs);
            if (disk.powered_off_) return SQLITE_CANTOPEN;
            handle->disk = &disk;
            handle->name = new std::string(path ? path : "temporary");
            if (!(flags & SQLITE_OPEN_CREATE) && !disk.files_.contains(*handle->name)) {
                delete handle->name;
                return SQLITE_CANTOPEN;
            }
            disk.files_[*handle->name];
            handle->base.pMethods = methods();
            if (out) *out = flags;
            return SQLITE_OK;
        };
        vfs_.xDelete = [](sqlite3_vfs* vfs, const char* path, int) {
            FaultyDisk& disk = of(vfs);
            if (disk.powered_off_) return SQLITE_IOERR_DELETE;
            return disk.files_.erase(path) ? SQLITE_OK : SQLITE_IOERR_DELETE_NOENT;
        };
        vfs_.xAccess = [](sqlite3_vfs* vfs, const char* path, int, int* out) {
            *out = of(vfs).files_.contains(path);
            return SQLITE_OK;
        };
        vfs_.xFullPathname = [](sqlite3_vfs*, const char* path, int size, char* out) {
            sqlite3_snprintf(size, out, "%s", path);
            return SQLITE_OK;
        };
        vfs_.xRandomness = [](sqlite3_vfs*, int size, char* out) {
            std::memset(out, 42, static_cast<std::size_t>(size));
            return size;
        };
        vfs_.xSleep = [](sqlite3_vfs*, int microseconds) { return microseconds; };
        vfs_.xCurrentTime = [](sqlite3_vfs*, double* out) {
            *out = 2461376.5;
            return SQLITE_OK;
        };
        vfs_.xGetLastError = [](sqlite3_vfs*, int, char*) { return 0; };
        sqlite3_vfs_register(&vfs_, 0);
    }
    FaultyDisk(const FaultyDisk&) = delete;
    FaultyDisk& operator=(const FaultyDisk&) = delete;
    ~FaultyDisk() { sqlite3_vfs_unregister(&vfs_); }

    const std::string& name() const { return name_; }
    /// The `at`th write, truncation or sync from now on (from 0) meets this.
    void fail_at(std::uint64_t at, Fault fault) {
        remaining_ = at;
        fault_ = fault;
        armed_ = true;
    }
    std::uint64_t operations() const { return operations_; }
    bool powered_off() const { return powered_off_; }
    bool fault_hit() const { return !armed_; }
    void power_off() { powered_off_ = true; }
    /// What was synced is there; of the rest each sector is, or is not, by this seed.
    void power_on(std::uint64_t seed) {
        std::mt19937_64 random(seed);
        for (auto& [name, file] : files_) {
            auto pending = file.pending;
            std::shuffle(pending.begin(), pending.end(), random);
            std::string bytes = file.durable;
            if (file.truncated && random() % 2) bytes.resize(std::min(bytes.size(), file.cached.size()));
            for (const Write& write : pending) {
                for (std::size_t at = 0; at < write.bytes.size(); at += kSector) {
                    if (random() % 2)
                        put(bytes, write.offset + at, std::string_view(write.bytes).substr(at, kSector));
                }
            }
            file = File{bytes, bytes, {}, false};
        }
        powered_off_ = false;
        armed_ = false;
    }

  private:
    static constexpr std::size_t kSector = 512;
    struct Write {
        std::size_t offset;
        std::string bytes;
    };
    struct File {
        std::string cached, durable;  // as the kernel shows it; as the disk has it
        std::vector<Write> pending;
        bool truncated = false;
    };
    struct Handle {
        sqlite3_file base;
        FaultyDisk* disk;
        std::string* name;
    };

    static FaultyDisk& of(sqlite3_vfs* vfs) { return *static_cast<FaultyDisk*>(vfs->pAppData); }
    static Handle& of(sqlite3_file* file) { return *reinterpret_cast<Handle*>(file); }
    static File& file_of(sqlite3_file* file) { return of(file).disk->files_[*of(file).name]; }
    static void put(std::string& to, std::size_t offset, std::string_view bytes) {
        if (to.size() < offset + bytes.size()) to.resize(offset + bytes.size());
        to.replace(offset, bytes.size(), bytes);
    }
    /// Whether this operation meets the fault.
    bool hits_fault() {
        ++operations_;
        if (!armed_ || remaining_-- > 0) return false;
        armed_ = false;
        if (fault_ == Fault::Power) powered_off_ = true;
        return true;
    }

    static const sqlite3_io_methods* methods() {
        static const sqlite3_io_methods kMethods = [] {
            sqlite3_io_methods m{};
            m.iVersion = 1;
            m.xClose = [](sqlite3_file* file) {
                delete of(file).name;
                return SQLITE_OK;
            };
            m.xRead = [](sqlite3_file* file, void* to, int size, sqlite3_int64 offset) {
                if (of(file).disk->powered_off_) return SQLITE_IOERR_READ;
                const std::string& bytes = file_of(file).cached;
                const auto at = std::min(static_cast<std::size_t>(offset), bytes.size());
                const auto there = std::min(static_cast<std::size_t>(size), bytes.size() - at);
                std::memset(to, 0, static_cast<std::size_t>(size));
                std::memcpy(to, bytes.data() + at, there);
                return there == static_cast<std::size_t>(size) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
            };
            m.xWrite = [](sqlite3_file* file, const void* from, int size, sqlite3_int64 offset) {
                FaultyDisk& disk = *of(file).disk;
                if (disk.powered_off_) return SQLITE_IOERR_WRITE;
                std::string bytes(static_cast<const char*>(from), static_cast<std::size_t>(size));
                int result = SQLITE_OK;
                if (disk.hits_fault()) {
                    if (disk.fault_ == Fault::Full) return SQLITE_FULL;
                    if (disk.fault_ == Fault::Power) return SQLITE_IOERR_WRITE;
                    if (disk.fault_ == Fault::Torn) {
                        bytes.resize(bytes.size() / 2);
                        result = SQLITE_IOERR_WRITE;
                    }
                }
                File& to = file_of(file);
                put(to.cached, static_cast<std::size_t>(offset), bytes);
                to.pending.push_back({static_cast<std::size_t>(offset), std::move(bytes)});
                return result;
            };
            m.xTruncate = [](sqlite3_file* file, sqlite3_int64 size) {
                FaultyDisk& disk = *of(file).disk;
                if (disk.powered_off_) return SQLITE_IOERR_TRUNCATE;
                if (disk.hits_fault() && disk.fault_ != Fault::Sync) return SQLITE_IOERR_TRUNCATE;
                file_of(file).cached.resize(static_cast<std::size_t>(size));
                file_of(file).truncated = true;
                return SQLITE_OK;
            };
            m.xSync = [](sqlite3_file* file, int) {
                FaultyDisk& disk = *of(file).disk;
                if (disk.powered_off_) return SQLITE_IOERR_FSYNC;
                File& it = file_of(file);
                if (disk.hits_fault() && disk.fault_ != Fault::Full) {
                    if (disk.fault_ == Fault::Sync)
                        it.pending.clear();  // clean for the kernel, and not on the disk
                    return SQLITE_IOERR_FSYNC;
                }
                // What a failed sync left behind stays behind: only what was written since goes to the disk.
                for (const Write& write : it.pending) put(it.durable, write.offset, write.bytes);
                if (it.truncated) it.durable.resize(std::min(it.durable.size(), it.cached.size()));
                it.pending.clear();
                it.truncated = false;
                return SQLITE_OK;
            };
            m.xFileSize = [](sqlite3_file* file, sqlite3_int64* out) {
                *out = static_cast<sqlite3_int64>(file_of(file).cached.size());
                return SQLITE_OK;
            };
            m.xLock = [](sqlite3_file*, int) { return SQLITE_OK; };
            m.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
            m.xCheckReservedLock = [](sqlite3_file*, int* out) {
                *out = 0;
                return SQLITE_OK;
            };
            m.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
            m.xSectorSize = [](sqlite3_file*) { return static_cast<int>(kSector); };
            m.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
            return m;
        }();
        return &kMethods;
    }

    std::string name_;
    sqlite3_vfs vfs_{};
    std::map<std::string, File> files_;
    std::uint64_t operations_ = 0, remaining_ = 0;
    Fault fault_ = Fault::Power;
    bool armed_ = false, powered_off_ = false;
};

}  // namespace martenford::standins
