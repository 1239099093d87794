#include "durable_store/durable_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

namespace martenford::durable_store {
namespace {

/// Access rights of a new file: the user that runs the program, nobody else.
constexpr mode_t kFileMode = 0600;

class FileDescriptor {
  public:
    FileDescriptor(const std::string& path, int flags) : number_(::open(path.c_str(), flags, kFileMode)) {}
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    ~FileDescriptor() { close(); }

    [[nodiscard]] bool is_open() const { return number_ >= 0; }
    [[nodiscard]] int number() const { return number_; }
    int close() { return number_ < 0 ? 0 : ::close(std::exchange(number_, -1)); }

  private:
    int number_;
};

int write_all(int descriptor, std::string_view content) {
    while (!content.empty()) {
        const ssize_t written = ::write(descriptor, content.data(), content.size());
        if (written < 0 && errno == EINTR) continue;
        if (written < 0) return errno;
        content.remove_prefix(static_cast<std::size_t>(written));
    }
    return 0;
}

int write_synced(const std::string& path, std::string_view content) {
    FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC);
    if (!file.is_open()) return errno;
    if (const int error = write_all(file.number(), content)) return error;
    if (::fsync(file.number()) != 0) return errno;
    return file.close() == 0 ? 0 : errno;
}

}  // namespace

int sync_directory(const std::string& directory) {
    const FileDescriptor opened(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (!opened.is_open()) return errno;
    if (::fsync(opened.number()) == 0) return 0;
    // A file system that cannot sync directories says so by one of these.
    const bool is_unsupported = errno == EINVAL || errno == ENOTSUP;
    return is_unsupported ? 0 : errno;
}

int replace_file(const std::string& directory, const std::string& name, std::string_view content) {
    const std::string temporary = name + ".new";
    if (const int error = write_synced(directory + "/" + temporary, content)) return error;
    return rename_file(directory, temporary, name);
}

int rename_file(const std::string& directory, const std::string& from, const std::string& to) {
    const std::string old_path = directory + "/" + from;
    const std::string new_path = directory + "/" + to;
    if (std::rename(old_path.c_str(), new_path.c_str()) != 0) return errno;
    return sync_directory(directory);
}

int remove_file(const std::string& directory, const std::string& name) {
    const std::string path = directory + "/" + name;
    if (::unlink(path.c_str()) != 0) return errno == ENOENT ? 0 : errno;
    return sync_directory(directory);
}

}  // namespace martenford::durable_store
