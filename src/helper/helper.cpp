#include "helper/helper.h"

#include <spawn.h>
#include <unistd.h>

#include <filesystem>

extern char** environ;

namespace martenford {

namespace {
constexpr const char* kHelperName = "martenford-ledger";
constexpr int kDescriptor = 3;
}  // namespace

std::string default_helper_path() {
    std::error_code ignored;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
    return (self.parent_path() / kHelperName).string();
}

pid_t start_helper(std::vector<std::string> arguments, int descriptor) {
    std::vector<char*> argv;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, descriptor, kDescriptor);
    // Guards against a helper that outlives its sidecar and holds its listener: connections would come up to
    // nobody.
    posix_spawn_file_actions_addclosefrom_np(&actions, kDescriptor + 1);
    // A group of its own: what ends the sidecar's group must not end it before it has kept what it was sent.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    posix_spawnattr_setpgroup(&attributes, 0);
    pid_t pid = -1;
    const int error = ::posix_spawn(&pid, arguments[0].c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return error == 0 ? pid : -1;
}

}  // namespace martenford
