// A loss of power, and a failing disk, at each single write of LMDB: its calls are seen on their way to the
// kernel, and the file as it may then lie on the disk is put together from them.
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

using namespace martenford;

namespace {

struct Operation {
    bool is_sync = false, lasts_at_once = false;
    std::size_t at = 0;
    std::string bytes;
};
struct Watch {
    ino_t file = 0;  // 0: nothing is watched
    std::vector<Operation> done;
    int fails_in = -1, with = 0;  // the operation that fails, from now; -1: none
} watch;

bool is_watched(int fd) {
    struct stat found {};
    return watch.file != 0 && ::fstat(fd, &found) == 0 && found.st_ino == watch.file;
}
bool fails() {
    if (watch.fails_in < 0 || watch.fails_in-- != 0) return false;
    errno = watch.with;
    return true;
}
void note(int fd, off_t at, const void* bytes, std::size_t size) {
    watch.done.push_back({false, (::fcntl(fd, F_GETFL) & O_DSYNC) != 0, static_cast<std::size_t>(at),
                          std::string(static_cast<const char*>(bytes), size)});
}
template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// In place of the C library's, for LMDB too.
extern "C" ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
    if (is_watched(fd)) {
        if (fails()) return -1;
        note(fd, at, bytes, size);
    }
    return next<ssize_t(int, const void*, size_t, off_t)>("pwrite")(fd, bytes, size, at);
}
extern "C" ssize_t writev(int fd, const struct iovec* parts, int count) {
    if (is_watched(fd)) {
        if (fails()) return -1;
        off_t at = ::lseek(fd, 0, SEEK_CUR);
        for (int i = 0; i < count; at += static_cast<off_t>(parts[i++].iov_len))
            note(fd, at, parts[i].iov_base, parts[i].iov_len);
    }
    return next<ssize_t(int, const struct iovec*, int)>("writev")(fd, parts, count);
}
extern "C" int fdatasync(int fd) {
    if (is_watched(fd)) {
        if (fails()) return -1;
        watch.done.push_back({true, false, 0, ""});
    }
    return next<int(int)>("fdatasync")(fd);
}

namespace {

struct Folder {
    Folder() {
        char path[] = "/tmp/mesh-power-XXXXXX";
        at = ::mkdtemp(path);
    }
    ~Folder() { std::filesystem::remove_all(at); }
    std::string file() const { return at + "/word.mdb"; }
    std::string at;
};

std::unique_ptr<durable_store::DurableStore> open(const Folder& folder) {
    auto opened = durable_store::DurableStore::open(folder.at, 1 << 20);
    REQUIRE(std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened));
    return std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
}
std::string read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}
durable_store::LoadResult found_in(const std::string& image) {
    Folder folder;
    std::ofstream(folder.file(), std::ios::binary) << image;
    return open(folder)->load();
}

/// A register's life: an entry is taken, committed, a vote is given, and so on.
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
void start_watching(const Folder& folder) {
    struct stat found {};
    REQUIRE(::stat(folder.file().c_str(), &found) == 0);
    watch = {};
    watch.file = found.st_ino;
}

}  // namespace

TEST_CASE("power lost at any write, with any of the unsynced ones lost or torn: the last save is there") {
    Folder folder;
    std::string lasting;
    std::vector<std::size_t> ends;  // of each save, in operations
    {
        auto store = open(folder);
        REQUIRE(save(*store, 0));
        lasting = read(folder.file());
        start_watching(folder);
        for (int i = 1; i <= kSaves; ++i) {
            REQUIRE(save(*store, i));
            ends.push_back(watch.done.size());
        }
    }
    const auto done = std::exchange(watch, {}).done;
    REQUIRE(done.size() > 3 * kSaves);  // data, sync and the page that makes them count
    std::vector<const Operation*> unsynced;
    const auto apply = [](std::string& image, const Operation& write, std::size_t from, std::size_t to) {
        image.resize(std::max(image.size(), write.at + to));
        image.replace(write.at + from, to - from, write.bytes, from, to - from);
    };
    std::size_t images = 0;
    for (std::size_t at = 0; at <= done.size(); ++at) {
        const auto saved = static_cast<int>(
            std::count_if(ends.begin(), ends.end(), [&](std::size_t end) { return end <= at; }));
        const auto check = [&](const std::string& image) {
            const auto found = found_in(image);
            CHECK_FALSE(found.damaged);
            CHECK(found.records == records(saved));
            ++images;
        };
        // Each alone is there, lost, or there in its first or its last part; the others all are, or none.
        for (const bool others : {false, true}) {
            for (const Operation* one : unsynced) {
                for (const auto& [from, to] : {std::pair{0.0, 0.0}, {0.0, 0.5}, {0.5, 1.0}, {0.0, 1.0}}) {
                    std::string image = lasting;
                    for (const Operation* other : unsynced) {
                        if (others && other != one) apply(image, *other, 0, other->bytes.size());
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
        if (unsynced.empty()) check(lasting);
        if (at == done.size()) break;
        const Operation& now = done[at];
        if (now.is_sync) {
            for (const Operation* write : unsynced) apply(lasting, *write, 0, write->bytes.size());
            unsynced.clear();
        } else if (now.lasts_at_once) {
            CHECK(now.at / 512 == (now.at + now.bytes.size() - 1) / 512);  // a sector is written whole
            apply(lasting, now, 0, now.bytes.size());
        } else {
            unsynced.push_back(&now);
        }
    }
    MESSAGE(done.size() << " operations, " << images << " images");
}

TEST_CASE("a disk that fails at any one write: what was there stands, and the next save succeeds") {
    std::size_t failed = 0;
    for (const int with : {EIO, ENOSPC}) {
        for (int at = 0;; ++at) {
            Folder folder;
            auto store = open(folder);
            REQUIRE(save(*store, 0));
            start_watching(folder);
            watch.fails_in = at;
            watch.with = with;
            for (int i = 1, held = 0; i <= 4; ++i) {
                const bool saved = save(*store, i);
                const auto found = found_in(read(folder.file()));
                CHECK_FALSE(found.damaged);
                CHECK((found.records == records(i) || (!saved && found.records == records(held))));
                if (!saved) {
                    ++failed;
                    CHECK(save(*store, i));
                    CHECK(found_in(read(folder.file())).records == records(i));
                }
                held = i;
            }
            const bool none = watch.fails_in >= 0;
            watch = {};
            if (none) break;
        }
    }
    CHECK(failed > 20);
}

TEST_CASE(
    "what a restart finds is synced before it is read: the process before may have been killed in a save") {
    Folder folder;
    { REQUIRE(save(*open(folder), 1)); }
    start_watching(folder);
    const auto store = open(folder);
    const auto done = std::exchange(watch, {}).done;
    REQUIRE_FALSE(done.empty());
    CHECK(done.back().is_sync);
    CHECK(store->load().records == records(1));
}
