#include "helper/helper.h"

#include <spawn.h>
#include <unistd.h>

#include <filesystem>

extern char** environ;

namespace martenford {

namespace {
constexpr const char* kHelper = "martenford-ledger";
constexpr int kDescriptor = 3;
}  // namespace

std::string helper_beside_this_program() {
    std::error_code ignored;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
    return (self.parent_path() / kHelper).string();
}

pid_t start_helper(std::vector<std::string> words, int descriptor) {
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
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
    const int fault = ::posix_spawn(&pid, words[0].c_str(), &actions, &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return fault == 0 ? pid : -1;
}

}  // namespace martenford
