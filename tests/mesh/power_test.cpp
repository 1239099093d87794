// The durable store under a loss of power, and on a failing disk, at each single write of LMDB. LMDB's system
// calls are intercepted and recorded; from the record the test builds every image of the file that a loss of
// power may leave, and loads it.
#include <dlfcn.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "durable_store/durable_store.h"
#include "mesh/rig/temporary_directory.h"

using namespace martenford;
using rig::TemporaryDirectory;

namespace {

/// A write or a sync of the watched file.
struct Operation {
    bool is_sync = false;
    bool is_synchronous_write = false;  // through a descriptor with O_DSYNC
    std::size_t offset = 0;
    std::string bytes;
};
struct Watch {
    ino_t file = 0;  // 0: no file is watched
    std::vector<Operation> operations;
    int operations_until_failure = -1;  // the next one fails at 0; negative: none fails
    int failure_errno = 0;
} watch;

bool is_watched(int fd) {
    struct stat found {};
    return watch.file != 0 && ::fstat(fd, &found) == 0 && found.st_ino == watch.file;
}
/// Counts an operation. Returns true with errno set if it is the one to fail.
bool injects_failure() {
    if (watch.operations_until_failure < 0 || watch.operations_until_failure-- != 0) return false;
    errno = watch.failure_errno;
    return true;
}
void record_write(int fd, off_t offset, const void* bytes, std::size_t size) {
    watch.operations.push_back({false, (::fcntl(fd, F_GETFL) & O_DSYNC) != 0,
                                static_cast<std::size_t>(offset),
                                std::string(static_cast<const char*>(bytes), size)});
}
/// The C library's own function of this name.
template <class Function>
Function* original(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// These replace the C library's functions in this program, LMDB's calls included.
extern "C" ssize_t pwrite(int fd, const void* bytes, size_t size, off_t offset) {
    if (is_watched(fd)) {
        if (injects_failure()) return -1;
        record_write(fd, offset, bytes, size);
    }
    return original<ssize_t(int, const void*, size_t, off_t)>("pwrite")(fd, bytes, size, offset);
}
extern "C" ssize_t writev(int fd, const struct iovec* parts, int count) {
    if (is_watched(fd)) {
        if (injects_failure()) return -1;
        off_t offset = ::lseek(fd, 0, SEEK_CUR);
        for (int i = 0; i < count; offset += static_cast<off_t>(parts[i++].iov_len))
            record_write(fd, offset, parts[i].iov_base, parts[i].iov_len);
    }
    return original<ssize_t(int, const struct iovec*, int)>("writev")(fd, parts, count);
}
extern "C" int fdatasync(int fd) {
    if (is_watched(fd)) {
        if (injects_failure()) return -1;
        watch.operations.push_back({true, false, 0, ""});
    }
    return original<int(int)>("fdatasync")(fd);
}

namespace {

std::unique_ptr<durable_store::DurableStore> open(const TemporaryDirectory& directory) {
    auto opened = durable_store::DurableStore::open(directory.path, 1 << 20);
    REQUIRE(std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened));
    return std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
}
std::string read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}
durable_store::LoadResult load_image(const std::string& image) {
    TemporaryDirectory directory;
    std::ofstream(directory.database_file(), std::ios::binary) << image;
    return open(directory)->load();
}

/// The records of save number `i`, as Raft's persistent state makes them: an entry is appended, committed, a
/// vote is granted, and so on.
durable_store::Records records(int i) {
    const auto value = [](int k) {
        return std::string(static_cast<std::size_t>(3000 + 2500 * (k % 4)), 'a' + k);
    };
    durable_store::Records all{{"state", "state " + std::to_string(i)}};
    all["value." + std::to_string(i / 3)] = value(i / 3);
    if (i % 3 == 0 && i > 0) all["value." + std::to_string(i / 3 - 1)] = value(i / 3 - 1);
    return all;
}
constexpr int kSaves = 7;

bool save(durable_store::DurableStore& store, int i) {
    return std::holds_alternative<std::monostate>(store.save(records(i)));
}
void start_watching(const TemporaryDirectory& directory) {
    struct stat found {};
    REQUIRE(::stat(directory.database_file().c_str(), &found) == 0);
    watch = {};
    watch.file = found.st_ino;
}

}  // namespace

TEST_CASE(
    "durable store: after a loss of power at any write, with unsynced writes lost or torn, the last save is "
    "read") {
    TemporaryDirectory directory;
    std::string synced_image;
    std::vector<std::size_t> save_ends;  // the number of operations at the end of each save
    {
        auto store = open(directory);
        REQUIRE(save(*store, 0));
        synced_image = read(directory.database_file());
        start_watching(directory);
        for (int i = 1; i <= kSaves; ++i) {
            REQUIRE(save(*store, i));
            save_ends.push_back(watch.operations.size());
        }
    }
    const auto operations = std::exchange(watch, {}).operations;
    REQUIRE(operations.size() > 3 * kSaves);  // at least the data, a sync and the meta page for each save
    std::vector<const Operation*> unsynced;
    const auto apply = [](std::string& image, const Operation& write, std::size_t begin, std::size_t end) {
        image.resize(std::max(image.size(), write.offset + end));
        image.replace(write.offset + begin, end - begin, write.bytes, begin, end - begin);
    };
    std::size_t image_count = 0;
    for (std::size_t at = 0; at <= operations.size(); ++at) {
        const auto saved = static_cast<int>(
            std::count_if(save_ends.begin(), save_ends.end(), [&](std::size_t end) { return end <= at; }));
        const auto check = [&](const std::string& image) {
            const auto found = load_image(image);
            CHECK_FALSE(found.damaged);
            CHECK(found.records == records(saved));
            ++image_count;
        };
        // One unsynced write is on disk completely, in its first or second half, or not at all; the others
        // are all on disk, or none is.
        for (const bool others_on_disk : {false, true}) {
            for (const Operation* one : unsynced) {
                for (const auto& [from, to] : {std::pair{0.0, 0.0}, {0.0, 0.5}, {0.5, 1.0}, {0.0, 1.0}}) {
                    std::string image = synced_image;
                    for (const Operation* other : unsynced) {
                        if (others_on_disk && other != one) apply(image, *other, 0, other->bytes.size());
                    }
                    const auto sector = [&](double part) {
                        return static_cast<std::size_t>(part * static_cast<double>(one->bytes.size())) / 512 *
                               512;
                    };
                    apply(image, *one, sector(from), to == 1.0 ? one->bytes.size() : sector(to));
                    check(image);
                }
            }
        }
        if (unsynced.empty()) check(synced_image);
        if (at == operations.size()) break;
        const Operation& operation = operations[at];
        if (operation.is_sync) {
            for (const Operation* write : unsynced) apply(synced_image, *write, 0, write->bytes.size());
            unsynced.clear();
        } else if (operation.is_synchronous_write) {
            CHECK(operation.offset / 512 ==
                  (operation.offset + operation.bytes.size() - 1) / 512);  // a sector is atomic
            apply(synced_image, operation, 0, operation.bytes.size());
        } else {
            unsynced.push_back(&operation);
        }
    }
    MESSAGE(operations.size() << " operations, " << image_count << " images");
}

TEST_CASE("durable store: a save that fails at any one write changes nothing, and the next save succeeds") {
    std::size_t failed = 0;
    for (const int failure_errno : {EIO, ENOSPC}) {
        for (int failing_operation = 0;; ++failing_operation) {
            TemporaryDirectory directory;
            auto store = open(directory);
            REQUIRE(save(*store, 0));
            start_watching(directory);
            watch.operations_until_failure = failing_operation;
            watch.failure_errno = failure_errno;
            for (int i = 1, last_saved = 0; i <= 4; ++i) {
                const bool saved = save(*store, i);
                const auto found = load_image(read(directory.database_file()));
                CHECK_FALSE(found.damaged);
                CHECK((found.records == records(i) || (!saved && found.records == records(last_saved))));
                if (!saved) {
                    ++failed;
                    CHECK(save(*store, i));
                    CHECK(load_image(read(directory.database_file())).records == records(i));
                }
                last_saved = i;
            }
            const bool none_failed = watch.operations_until_failure >= 0;
            watch = {};
            if (none_failed) break;
        }
    }
    CHECK(failed > 20);
}

TEST_CASE(
    "durable store: open() syncs the file before it is read, since the last process may have died in a "
    "save") {
    TemporaryDirectory directory;
    { REQUIRE(save(*open(directory), 1)); }
    start_watching(directory);
    const auto store = open(directory);
    const auto operations = std::exchange(watch, {}).operations;
    REQUIRE_FALSE(operations.empty());
    CHECK(operations.back().is_sync);
    CHECK(store->load().records == records(1));
}
