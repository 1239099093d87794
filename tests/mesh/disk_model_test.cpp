// The data directory of a controller under a loss of power at each operation on the disk: in the first start,
// in the starts that follow, and in saves. The system calls are intercepted; what was not synced when the
// power goes is kept, lost or torn, file by file and name by name, as a disk may do it.
#include <dirent.h>
#include <dlfcn.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "controller/register_storage.h"
#include "mesh/rig/temporary_directory.h"

using namespace martenford;
using namespace martenford::controller;
using rig::TemporaryDirectory;

namespace {

constexpr std::size_t kSectorBytes = 512;
/// Exit code of a child that came to its end; the number of its saves, from 0 on, if the power went before.
constexpr int kCompleted = 100;

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// What a disk is sure to hold of one directory. Used in a child process that loses its power.
class DiskModel {
  public:
    void start(std::string directory, int operations_until_loss, std::uint64_t seed) {
        directory_ = std::move(directory);
        operations_left_ = operations_until_loss;
        random_.seed(seed);
        names_ = current_names();
        for (const auto& [name, file] : names_) contents_[file] = read_file(directory_ + "/" + name);
    }
    void count_save() { ++saves_; }

    /// Whether the descriptor is of the directory, or of a file in it.
    [[nodiscard]] bool watches(int descriptor) const {
        if (directory_.empty() || is_losing_power_) return false;
        std::error_code ignored;
        const auto path =
            std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), ignored);
        return path.string().starts_with(directory_);
    }
    [[nodiscard]] bool watches(const char* path) const {
        return !directory_.empty() && !is_losing_power_ && std::string(path).starts_with(directory_);
    }
    /// Called before each operation.
    void operation() {
        if (operations_left_-- == 0) lose_power();
    }
    /// Called before a write that is on disk when it returns: the power may go in the midst of it.
    void synchronous_write(int descriptor, const void* bytes, std::size_t size, off_t offset) {
        if (operations_left_-- == 0) {
            const std::size_t part = random_() % (size + 1);
            apply(descriptor, bytes, part, offset);
            lose_power();
        }
        apply(descriptor, bytes, size, offset);
    }
    void synced(int descriptor) {
        struct stat status {};
        ::fstat(descriptor, &status);
        if (S_ISDIR(status.st_mode)) {
            names_ = current_names();
        } else {
            contents_[status.st_ino] = read_file("/proc/self/fd/" + std::to_string(descriptor));
        }
    }

  private:
    using Names = std::map<std::string, ino_t>;

    [[nodiscard]] Names current_names() const {
        Names names;
        for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
            struct stat status {};
            ::stat(entry.path().c_str(), &status);
            names[entry.path().filename()] = status.st_ino;
        }
        return names;
    }
    void apply(int descriptor, const void* bytes, std::size_t size, off_t offset) {
        struct stat status {};
        ::fstat(descriptor, &status);
        std::string& content = contents_[status.st_ino];
        content.resize(std::max(content.size(), static_cast<std::size_t>(offset) + size));
        content.replace(static_cast<std::size_t>(offset), size, static_cast<const char*>(bytes), size);
    }
    /// The content of a file after the loss: what was not synced is kept, lost, or kept in some sectors.
    std::string content_after_loss(const std::string& synced, const std::string& written) {
        const auto fate = random_() % 3;
        if (fate == 0) return synced;
        if (fate == 1) return written;
        std::string content = synced;
        content.resize(random_() % 2 == 0 ? written.size() : std::min(synced.size(), written.size()));
        for (std::size_t begin = 0; begin < std::min(content.size(), written.size()); begin += kSectorBytes) {
            if (random_() % 2 == 0) continue;
            const std::size_t size = std::min(kSectorBytes, std::min(content.size(), written.size()) - begin);
            content.replace(begin, size, written, begin, size);
        }
        return content;
    }
    [[noreturn]] void lose_power() {
        is_losing_power_ = true;
        const Names current = current_names();
        std::set<std::string> all;
        for (const Names* names : {static_cast<const Names*>(&names_), &current}) {
            for (const auto& [name, file] : *names) all.insert(name);
        }
        std::map<std::string, std::string> left;
        for (const std::string& name : all) {
            const Names& names = random_() % 2 == 0 ? names_ : current;
            const auto found = names.find(name);
            if (found == names.end()) continue;
            const std::string synced = contents_.contains(found->second) ? contents_[found->second] : "";
            const auto same = std::find_if(current.begin(), current.end(),
                                           [&](const auto& entry) { return entry.second == found->second; });
            left[name] = same == current.end()
                             ? synced
                             : content_after_loss(synced, read_file(directory_ + "/" + same->first));
        }
        for (const std::string& name : all) std::filesystem::remove(directory_ + "/" + name);
        for (const auto& [name, content] : left)
            std::ofstream(directory_ + "/" + name, std::ios::binary) << content;
        ::_exit(saves_);
    }

    std::string directory_;
    int operations_left_ = -1;
    int saves_ = 0;
    bool is_losing_power_ = false;
    std::mt19937_64 random_;
    Names names_;                            // as the last sync of the directory left them
    std::map<ino_t, std::string> contents_;  // as the last sync of each file left it
};

DiskModel disk;

/// The file system refuses to make directories and cannot sync them.
bool limits_directories = false;

bool is_directory(int descriptor) {
    struct stat status {};
    return ::fstat(descriptor, &status) == 0 && S_ISDIR(status.st_mode);
}

template <class Function>
Function* original(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// These replace the C library's functions in this program, LMDB's calls included.
extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
    if (disk.watches(fd)) disk.operation();
    return original<ssize_t(int, const void*, size_t)>("write")(fd, bytes, size);
}
extern "C" ssize_t pwrite(int fd, const void* bytes, size_t size, off_t offset) {
    if (disk.watches(fd)) {
        if ((::fcntl(fd, F_GETFL) & O_DSYNC) != 0) {
            disk.synchronous_write(fd, bytes, size, offset);
        } else {
            disk.operation();
        }
    }
    return original<ssize_t(int, const void*, size_t, off_t)>("pwrite")(fd, bytes, size, offset);
}
extern "C" ssize_t writev(int fd, const struct iovec* parts, int count) {
    if (disk.watches(fd)) disk.operation();
    return original<ssize_t(int, const struct iovec*, int)>("writev")(fd, parts, count);
}
extern "C" int fdatasync(int fd) {
    if (disk.watches(fd)) disk.operation();
    const int result = original<int(int)>("fdatasync")(fd);
    if (disk.watches(fd)) disk.synced(fd);
    return result;
}
extern "C" int fsync(int fd) {
    if (limits_directories && is_directory(fd)) {
        errno = EINVAL;
        return -1;
    }
    if (disk.watches(fd)) disk.operation();
    const int result = original<int(int)>("fsync")(fd);
    if (disk.watches(fd)) disk.synced(fd);
    return result;
}
extern "C" int rename(const char* from, const char* to) noexcept {
    if (disk.watches(from)) disk.operation();
    return original<int(const char*, const char*)>("rename")(from, to);
}
extern "C" int mkdir(const char* path, mode_t mode) noexcept {
    if (limits_directories) {
        errno = EROFS;
        return -1;
    }
    return original<int(const char*, mode_t)>("mkdir")(path, mode);
}
extern "C" int unlink(const char* path) noexcept {
    if (disk.watches(path)) disk.operation();
    return original<int(const char*)>("unlink")(path);
}

namespace {

const std::vector<std::string> kSeeds{"10.0.0.1:7640", "10.0.0.2:7640", "10.0.0.3:7640"};
constexpr int kSaves = 6;
constexpr int kSeedsOfEachMoment = 8;

OpenedRegister open(const std::string& directory, bool first_boot) {
    auto opened = open_register(directory, {kSeeds[0], kSeeds, first_boot});
    REQUIRE(std::holds_alternative<OpenedRegister>(opened));
    return std::get<OpenedRegister>(std::move(opened));
}

/// Runs `work` in a child process that loses its power at the given operation. Returns the child's exit code,
/// or nothing if it was ended by a signal.
std::optional<int> with_loss_of_power(const std::string& directory, int operation, std::uint64_t seed,
                                      const std::function<void()>& work) {
    const pid_t child = ::fork();
    if (child == 0) {
        disk.start(directory, operation, seed);
        work();
        ::_exit(kCompleted);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    if (!WIFEXITED(status)) return std::nullopt;
    return WEXITSTATUS(status);
}

/// Calls `play(operation, seed)` for each operation until it returns that nothing was left to lose, with
/// several draws of what the disk keeps. Returns the number of plays.
std::size_t at_each_moment(const std::function<bool(int operation, std::uint64_t seed)>& play) {
    std::size_t plays = 0;
    for (std::uint64_t seed = 1; seed <= kSeedsOfEachMoment; ++seed) {
        bool completed = false;
        for (int operation = 0; !completed; ++operation) {
            CAPTURE(operation);
            CAPTURE(seed);
            completed = play(operation, seed);
            ++plays;
        }
    }
    CHECK(plays > 10 * kSeedsOfEachMoment);
    return plays;
}

/// The state of save number `i`: its term tells it.
raft::PersistentState state_of_save(raft::PersistentState state, int i) {
    state.term = static_cast<raft::Term>(10 + i);
    state.voted_for = i % 2 == 0 ? state.self_id : 0;
    state.last_entry.position = {state.term, 1};
    state.last_entry.value = std::string(static_cast<std::size_t>(500 + 5000 * (i % 3)), 'a' + i);
    return state;
}

}  // namespace

// Guards against a first voter that is lost, or comes back with its vote forgotten, after a loss of power in
// the first start and in the start after it.
TEST_CASE("disk model: a loss of power in the first start leaves the first voter, or an empty disk") {
    const raft::MemberId first_voter = open(TemporaryDirectory().path, true).state.self_id;
    std::size_t first_voters = 0;
    const std::size_t losses = at_each_moment([&](int operation, std::uint64_t seed) {
        const TemporaryDirectory directory;
        const auto first =
            with_loss_of_power(directory.path, operation, seed, [&] { open(directory.path, true); });
        REQUIRE(first);
        const bool completed = first == kCompleted;
        const int next_operation = static_cast<int>((seed * 7 + static_cast<unsigned>(operation)) % 30);
        REQUIRE(with_loss_of_power(directory.path, next_operation, seed + 100,
                                   [&] { open(directory.path, false); }));
        const OpenedRegister opened = open(directory.path, false);
        const bool is_first_voter = opened.state.self_id == first_voter;
        CHECK((is_first_voter || (!completed && opened.state.last_entry.voters.empty())));
        CHECK(opened.storage.began_empty());
        first_voters += is_first_voter ? 1 : 0;
        return completed;
    });
    MESSAGE(losses, " losses, ", first_voters, " returned as the first voter");
    CHECK(first_voters > losses / 2);
}

// Guards against an older state after a save that has returned, and against a process that ends at a torn
// file.
TEST_CASE("disk model: after a loss of power in a save the last state that was saved is there") {
    std::size_t damaged = 0;
    const std::size_t losses = at_each_moment([&](int operation, std::uint64_t seed) {
        const TemporaryDirectory directory;
        const raft::PersistentState initial = open(directory.path, true).state;
        const auto saved = with_loss_of_power(directory.path, operation, seed, [&] {
            OpenedRegister opened = open(directory.path, false);
            for (int i = 0; i < kSaves; ++i) {
                if (opened.storage.save(state_of_save(initial, i))) ::_exit(kCompleted + 1);
                disk.count_save();
            }
        });
        REQUIRE(saved);
        REQUIRE(*saved <= kCompleted);
        const bool completed = saved == kCompleted;
        const int saves = completed ? kSaves : *saved;
        const OpenedRegister opened = open(directory.path, true);
        if (opened.state.self_id != initial.self_id) {
            // A meta page that is torn within its sector: without a vote, rather than with an older one.
            CHECK(opened.state.last_entry.voters.empty());
            CHECK_FALSE(opened.storage.began_empty());
            ++damaged;
            return completed;
        }
        const auto term_of = [](int count) { return count == 0 ? 0U : static_cast<raft::Term>(9 + count); };
        const raft::Term term = opened.state.term;
        CHECK((term == term_of(saves) || (!completed && term == term_of(saves + 1))));
        return completed;
    });
    MESSAGE(losses, " losses, ", damaged, " stores set aside");
    CHECK(damaged < losses / 10);
}

// Guards against a controller that never starts: it tries for good to make a directory that is there, or to
// sync one that its file system cannot sync.
TEST_CASE("disk model: a first start needs neither to make its directory nor to sync it") {
    constexpr unsigned kMaxSeconds = 5;
    const TemporaryDirectory directory;
    const auto ended = with_loss_of_power(directory.path, -1, 1, [&] {
        ::alarm(kMaxSeconds);
        limits_directories = true;
        open(directory.path, true);
    });
    CHECK(ended == kCompleted);
    CHECK_FALSE(open(directory.path, false).state.last_entry.voters.empty());
}
